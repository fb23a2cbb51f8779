"""Reaches the coordinators of shards, at other gateways or at this one."""

import dataclasses
from collections.abc import Callable

import structlog

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.peers import errors as peer_errors
from lacewingwood.peers import gateway_messages
from lacewingwood.peers import network as network_lib
from lacewingwood.peers import roster as roster_lib
from lacewingwood.routing import shards as shards_lib
from lacewingwood.routing import slot_server

# An answer takes 1 to 5 ms. A coordinator that takes longer than this is
# replaced by the next for `_SUSPECT_MS`. Three that have ended are then passed
# over within half of the usual objective of 300 ms.
_ANSWER_TIMEOUT_MS = 40.0
_SUSPECT_MS = 1_000.0
# How long a coordinator is kept before the live gateways are looked at again.
_ELECTION_TTL_MS = 100.0
# A new coordinator keeps to half of the replicas' bounds for this long,
# in which the gateways learn of it.
_SETTLING_MS = 1_500.0

# Messages that a gateway sends without waiting for an answer.
OneWay = (
    gateway_messages.SlotAsk
    | gateway_messages.SlotRelease
    | gateway_messages.SlotsHeld
)

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class _Tenure:
    """Whether this gateway coordinates a shard, by the reports of the others.

    Attributes:
        is_own: True if it does.
        since_ms: When this last changed.
        checked_ms: When it was last worked out.
    """

    is_own: bool
    since_ms: float
    checked_ms: float


class CoordinatorLinks:
    """Finds each shard's coordinator and carries messages to it."""

    __slots__ = (
        "_clock",
        "_created_ms",
        "_elected",
        "_metrics",
        "_network",
        "_roster",
        "_server",
        "_suspects",
        "_tenures",
    )

    def __init__(
        self,
        server: slot_server.SlotServer,
        network: network_lib.Network,
        roster: roster_lib.Roster,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
    ) -> None:
        """Creates the links.

        Args:
            server: Answers for the shards that this gateway coordinates.
            network: Carries messages to other gateways.
            roster: The other gateways.
            clock: Source of monotonic time.
            metrics: Registry of counters.
        """
        self._server = server
        self._network = network
        self._roster = roster
        self._clock = clock
        self._metrics = metrics
        # Coordinators that did not answer, and until when they are passed over.
        self._suspects: dict[str, float] = {}
        # The coordinator of each shard, and when it was worked out.
        self._elected: dict[str, tuple[str | None, float]] = {}
        self._tenures: dict[str, _Tenure] = {}
        self._created_ms = clock.now_ms()
        server.set_settled(self.is_settled)

    def coordinator_of(self, shard: str) -> str | None:
        """Returns the host of a shard's coordinator, None if none is usable."""
        now_ms = self._clock.now_ms()
        elected = self._elected.get(shard)
        if elected is None or now_ms - elected[1] > _ELECTION_TTL_MS:
            elected = self._elect(shard, now_ms), now_ms
            self._elected[shard] = elected
        return elected[0]

    def is_settled(self, shard: str) -> bool:
        """Returns whether no other gateway has granted slots of a shard lately.

        It is False while the others that are heard include the coordinator,
        which some gateways pass over as it did not answer them, and for a while
        after this gateway took its place. A coordinator that is lost was silent
        for longer than that.
        """
        now_ms = self._clock.now_ms()
        tenure = self._tenures.get(shard)
        if tenure is None or now_ms - tenure.checked_ms > _ELECTION_TTL_MS:
            self._elect(shard, now_ms)
            tenure = self._tenures[shard]
        return tenure.is_own and now_ms - tenure.since_ms > _SETTLING_MS

    def _note_tenure(self, shard: str, is_own: bool, now_ms: float) -> None:
        tenure = self._tenures.get(shard)
        if tenure is None:
            # The gateways learn one after another that this one has started.
            tenure = _Tenure(is_own, self._created_ms, now_ms)
            self._tenures[shard] = tenure
        elif is_own != tenure.is_own:
            tenure.is_own, tenure.since_ms = is_own, now_ms
        tenure.checked_ms = now_ms

    async def ask(
        self, host: str, message: gateway_messages.SlotAsk
    ) -> gateway_messages.SlotAnswer | None:
        """Asks a coordinator for a slot; returns None if it does not answer."""
        if host == self._roster.host:
            return self._server.ask(message)
        peer = self._roster.get(host)
        if peer is None:
            return None
        try:
            answer = await self._network.call(
                peer.address, message, _ANSWER_TIMEOUT_MS
            )
        except peer_errors.PeerError as exc:
            self._suspects[host] = self._clock.now_ms() + _SUSPECT_MS
            self._elected.pop(message.shard, None)
            self._metrics.add("coordinator_failures", code=exc.code)
            _log.info(
                "coordinator does not answer",
                coordinator=host,
                shard=message.shard,
                code=exc.code,
            )
            return None
        if isinstance(answer, gateway_messages.SlotAnswer):
            return answer
        return None

    def send(
        self, host: str | None, message: OneWay
    ) -> gateway_messages.SlotAnswer | None:
        """Sends a message without waiting; it may be lost.

        Returns:
            The answer to a `SlotAsk` if this gateway is the coordinator.
        """
        if host != self._roster.host:
            if peer := self._roster.get(host or ""):
                self._network.send(peer.address, message)
            return None
        match message:
            case gateway_messages.SlotAsk():
                return self._server.ask(message)
            case gateway_messages.SlotRelease():
                self._server.release(message)
            case gateway_messages.SlotsHeld():
                self._server.note_held(message)
        return None

    def _elect(self, shard: str, now_ms: float) -> str | None:
        """Returns the host that coordinates a shard, of those that answer."""
        first = self._rank(shard, lambda host: True)
        self._note_tenure(shard, first == self._roster.host, now_ms)
        if self._suspects.get(first or "", 0.0) <= now_ms:
            return first
        return self._rank(
            shard, lambda host: self._suspects.get(host, 0.0) <= now_ms
        )

    def _rank(self, shard: str, usable: Callable[[str], bool]) -> str | None:
        """Returns the first usable host of a shard, one of its zone if any."""
        live = self._roster.live_peers()
        zone = shards_lib.zone_of(shard)
        hosts = [peer.host for peer in live if peer.zone == zone]
        if self._roster.zone == zone:
            hosts.append(self._roster.host)
        if not hosts:
            hosts = [peer.host for peer in live] + [self._roster.host]
        return shards_lib.elect(shard, hosts, usable)
