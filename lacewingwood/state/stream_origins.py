"""Finds out which software version began a stream that is taken up again.

A stream may be taken up at a gateway that has just started, after all others
have ended. What it can know: that a single version can have begun it; what the
journal on the log tells; what other gateways remember. If none of these tells,
the origin is unknown, and nothing is guessed.
"""

from collections.abc import Collection

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.peers import errors as peer_errors
from lacewingwood.peers import gateway_messages
from lacewingwood.peers import messages
from lacewingwood.peers import network as network_lib
from lacewingwood.peers import roster as roster_lib
from lacewingwood.routing import load
from lacewingwood.routing import origins
from lacewingwood.state import shared_reads
from lacewingwood.state import software_versions
from lacewingwood.state import stream_journal

# Longest wait for the journal before the first event is passed on. An append
# takes a few ms; a stream whose beginning is not there may be refused later.
_JOURNAL_WAIT_MS = 40.0
# Longest wait for the log when a stream is taken up, and for each peer.
_LOG_WAIT_MS = 400.0
_PEER_WAIT_MS = 150.0
# In larger fleets no peer is asked: a caller may ask for streams that nobody
# knows, and each question goes to all.
_MAX_PEERS = 16
# When a second version appears, the streams that began this lately are added to
# the journal.
_RECENT_MS = 30_000.0

_log = structlog.get_logger()


class StreamOrigins:
    """Records and finds the origins of streams."""

    def __init__(
        self,
        versions: software_versions.SoftwareVersions,
        journal: stream_journal.StreamJournal,
        network: network_lib.Network,
        roster: roster_lib.Roster,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
    ) -> None:
        """Creates the record of a gateway that has begun no stream.

        Args:
            versions: The versions at which streams can have begun.
            journal: What gateways have told the log.
            network: Asks and answers other gateways.
            roster: The other gateways.
            clock: Source of monotonic time.
            metrics: Counts where origins were found.
        """
        self._versions = versions
        self._journal = journal
        self._network = network
        self._roster = roster
        self._clock = clock
        self._metrics = metrics
        self._own = origins.Beginnings()
        self._confirm = shared_reads.SharedRead(versions.confirm)
        versions.on_new = self._note_new_version
        network.handle(gateway_messages.FindOrigin, self._answer_peer)

    async def note_begun(
        self, key: int, replica: load.Replica, services: Collection[str]
    ) -> origins.Origin:
        """Records that a replica began a stream; call before its first event.

        Args:
            key: The stream.
            replica: The replica.
            services: All services that may run requests of its route.
        """
        origin = load.origin_of(replica)
        self._own.note(key, origin, self._clock.now_ms())
        if self._versions.of_services(services) != {origin}:
            started_ms = self._clock.now_ms()
            written = self._journal.add(key, origin)
            with trio.move_on_after(_JOURNAL_WAIT_MS / 1000):
                await written.wait()
            waited_ms = self._clock.now_ms() - started_ms
            self._metrics.histogram("stream_journal").record_ms(waited_ms)
        return origin

    async def find(
        self, key: int, services: Collection[str], request_id: str
    ) -> origins.Origin | None:
        """Returns the origin of a stream, None if it is not known.

        Args:
            key: The stream.
            services: All services that may run requests of its route.
            request_id: The request that takes it up, for the log.
        """
        source, origin = "here", self._own.get(key)
        confirmed = False
        if origin is None:
            with trio.move_on_after(_LOG_WAIT_MS / 1000):
                confirmed = await self._confirm.run()
                source, origin = await self._find_on_log(
                    key, services, confirmed
                )
        if origin is None:
            source, origin = await self._find_at_peers(key, services, confirmed)
        self._metrics.add("stream_origins", source=source)
        _log.info(
            "stream taken up",
            request_id=request_id,
            source=source,
            confirmed=confirmed,
            version=origin.version if origin else None,
            versions=sorted(
                o.version for o in self._versions.of_services(services)
            ),
        )
        return origin

    async def _find_on_log(
        self, key: int, services: Collection[str], confirmed: bool
    ) -> tuple[str, origins.Origin | None]:
        if not confirmed:
            return "unknown", None
        possible = self._versions.of_services(services)
        if len(possible) == 1:
            return "only version", next(iter(possible))
        return "journal", (await self._journal.find(key))[1]

    async def _find_at_peers(
        self, key: int, services: Collection[str], confirmed: bool
    ) -> tuple[str, origins.Origin | None]:
        """Asks all other gateways.

        If the log did not answer and all of them know the same single version,
        none of them can have begun the stream at another one.
        """
        peers = self._roster.expected_peers()
        if not peers or len(peers) > _MAX_PEERS:
            return "unknown", None
        message = gateway_messages.FindOrigin(key, sorted(services))
        answers: list[gateway_messages.OriginFound] = []

        async def ask(address: str) -> None:
            try:
                answer = await self._network.call(
                    address, message, _PEER_WAIT_MS
                )
            except peer_errors.PeerError as exc:
                self._metrics.add("origin_questions_failed", code=exc.code)
                return
            if isinstance(answer, gateway_messages.OriginFound):
                answers.append(answer)

        async with trio.open_nursery() as nursery:
            for peer in peers:
                nursery.start_soon(ask, peer.address)
        found = {a.origin for a in answers if a.origin is not None}
        if len(found) == 1:
            return "peer", found.pop()
        possible = self._versions.of_services(services)
        for answer in answers:
            possible.update(answer.possible)
        if not confirmed and len(answers) == len(peers) and len(possible) == 1:
            return "only version", possible.pop()
        return "unknown", None

    async def _answer_peer(
        self, message: gateway_messages.FindOrigin
    ) -> messages.Message:
        return gateway_messages.OriginFound(
            self._own.get(message.key),
            sorted(
                self._versions.of_services(message.services),
                key=lambda origin: (origin.service, origin.version),
            ),
        )

    def _note_new_version(self, origin: origins.Origin) -> None:
        """Adds recent streams to the journal if they need it from now on."""
        if len(self._versions.of_services([origin.service])) < 2:
            return
        oldest_ms = self._clock.now_ms() - _RECENT_MS
        for key, begun_at in self._own.since(oldest_ms):
            if begun_at.service == origin.service:
                self._journal.add(key, begun_at)
