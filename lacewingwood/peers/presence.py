"""Tells gateways of each other, and carries their reports.

Gateways of a small fleet report to all others. In a larger one they report to
hubs of their zone, which pass reports on within the zone and send digests of
it to hubs of the other zones.
"""

import dataclasses
from collections.abc import Callable

import msgspec
import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.log import compacted
from lacewingwood.log import errors as log_errors
from lacewingwood.log import follow
from lacewingwood.peers import digests
from lacewingwood.peers import gateway_messages
from lacewingwood.peers import hubs as hubs_lib
from lacewingwood.peers import network as network_lib
from lacewingwood.peers import roster as roster_lib

GATEWAYS = compacted.Partition("gateways", 0)

# Each gateway renews its entry at this interval; two renewals may be lost
# before `roster.ENTRY_TTL_MS` is over.
_RENEW_MS = 3_000.0
_READ_PAUSE_MS = 1_000.0
_READ_WAIT_MS = 1_000.0
_RETRY_MS = 500.0
# Reports follow changes after this pause, which bounds their number.
_REPORT_PAUSE_MS = 25.0
# The same to hubs, and how often these pass on; counts may lag that much, since
# requests choose among replicas at random.
_HUB_REPORT_PAUSE_MS = 250.0
_HUB_PAUSE_MS = 200.0
# Gateways up to which all report to all.
_MESH_LIMIT = 16
_DIGEST_PAUSE_MS = 500.0
# Hubs of another zone that a digest may go to.
_DIGEST_TARGETS = 2
# Pause of reports while a customer is at its limit, and of hubs that are told
# so: what others admit meanwhile is more than was agreed.
_URGENT_PAUSE_MS = 80.0
_URGENT_HUB_PAUSE_MS = 60.0
# Both hubs of a zone send digests; while one is heard this often, the others'
# tell nothing new.
_DIGEST_SENDER_MS = 1_200.0
# A gateway without changes reports this often.
_QUIET_REPORT_MS = 500.0

_log = structlog.get_logger()


class _Entry(msgspec.Struct, array_like=True):
    """A gateway's record on the log."""

    address: str
    zone: str
    started_ms: int
    renewal: int


@dataclasses.dataclass(slots=True)
class _News:
    """What a hub has not passed on yet, by host and by zone."""

    reports: dict[str, gateway_messages.GatewayReport] = dataclasses.field(
        default_factory=dict
    )
    digests: dict[str, gateway_messages.ZoneDigest] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True, frozen=True)
class _DigestSeen:
    """Which digest of a zone was taken over last, and when."""

    sender: str
    started_ms: int
    serial: int
    at_ms: float


class Presence:
    """Announces a gateway and exchanges reports.

    Attributes:
        roster: The other gateways.
        on_report: Called with each report of a peer.
        on_digest: Called with each digest of another zone.
        is_urgent: Returns whether this gateway's counts must be told at once.
    """

    def __init__(
        self,
        roster: roster_lib.Roster,
        address: str,
        seeds: list[str],
        log: compacted.CompactedLog,
        network: network_lib.Network,
        make_report: Callable[[], gateway_messages.GatewayReport],
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
        started_ms: int,
    ) -> None:
        """Makes the presence of a gateway, which `run` announces.

        Args:
            roster: The other gateways.
            address: Where it takes messages of other gateways.
            seeds: Addresses to try while the log shows no gateways.
            log: Where gateways have their entries.
            network: Carries the reports.
            make_report: Returns this gateway's report.
            clock: Source of time.
            metrics: Where events are counted.
            started_ms: Unix time of this gateway's start.
        """
        self.on_report: Callable[[gateway_messages.GatewayReport], None]
        self.on_report = lambda report: None
        self.on_digest: Callable[[gateway_messages.ZoneDigest], None]
        self.on_digest = lambda digest: None
        self.is_urgent: Callable[[], bool] = lambda: False
        self.roster = roster
        self._host = roster.host
        self._zone = roster.zone
        self._address = address
        self._seeds = [seed for seed in seeds if seed != address]
        self._log = log
        self._network = network
        self._make_report = make_report
        self._clock = clock
        self._metrics = metrics
        self._started_ms = started_ms
        self._changed = trio.Event()
        self._leaving = False
        self._hubs = hubs_lib.Hubs()
        self._report_serial = self._digest_serial = 0
        # The newest digest of each other zone.
        self._digests: dict[str, _DigestSeen] = {}
        # Set once others report to this gateway as a hub, and what it has not
        # passed on to them yet.
        self._subscribed = trio.Event()
        self._hurry = trio.Event()
        self._news, self._standby_news = _News(), _News()
        network.handle(gateway_messages.GatewayReport, self._handle_report)
        network.handle(gateway_messages.ZoneReports, self._handle_reports)
        network.handle(gateway_messages.ZoneDigest, self._handle_digest)
        self._follower = follow.Follower(
            log,
            GATEWAYS,
            self._apply,
            self._apply,
            clock,
            metrics,
            wait_ms=_READ_WAIT_MS,
            pause_ms=_READ_PAUSE_MS,
        )

    @property
    def uses_hubs(self) -> bool:
        """True if reports go through hubs since the fleet is large."""
        return len(self.roster) >= _MESH_LIMIT

    def addresses(self) -> list[str]:
        """Returns peers to ask, those heard lately first."""
        return list(dict.fromkeys([*self.roster.addresses(), *self._seeds]))

    def schedule_report(self) -> None:
        """Makes a report go out soon."""
        self._changed.set()

    async def run(self) -> None:
        """Announces this gateway and reports to the others."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._renew_entry)
            nursery.start_soon(self._report)
            nursery.start_soon(self._serve_as_hub)
            nursery.start_soon(self._watch_silence)

    async def leave(self) -> None:
        """Tells all others that this gateway stops."""
        self._leaving = True
        self._send_report([peer.address for peer in self._near()])
        try:
            await self._log.append(
                GATEWAYS, [compacted.Record(self._host, None)]
            )
        except log_errors.LogError as exc:
            _log.warning("entry not removed", code=exc.code)

    async def _renew_entry(self) -> None:
        renewal = 0
        while not self._leaving:
            renewal += 1
            entry = _Entry(self._address, self._zone, self._started_ms, renewal)
            record = compacted.Record(self._host, msgspec.msgpack.encode(entry))
            pause_ms = _RENEW_MS
            try:
                await self._log.append(GATEWAYS, [record])
            except log_errors.LogError as exc:
                self._metrics.add("entry_renewals_failed", code=exc.code)
                pause_ms = _RETRY_MS
            await self._clock.sleep_ms(pause_ms)

    def _apply(self, page: list[compacted.Record]) -> None:
        for record in page:
            if record.key == self._host:
                continue
            if record.value is None:
                self.roster.note_removal(record.key)
                continue
            try:
                entry = msgspec.msgpack.decode(record.value, type=_Entry)
            except msgspec.MsgspecError:
                self._metrics.add("gateway_entries_malformed")
                continue
            if self.roster.note_entry(
                record.key, entry.address, entry.zone, entry.started_ms
            ):
                self._changed.set()

    async def _report(self) -> None:
        while True:
            self._changed = trio.Event()
            self._send_report(self._report_targets(), self.uses_hubs)
            pause_ms = _REPORT_PAUSE_MS
            if self.uses_hubs:
                urgent = self.is_urgent()
                pause_ms = _URGENT_PAUSE_MS if urgent else _HUB_REPORT_PAUSE_MS
            await self._clock.sleep_ms(pause_ms)
            with trio.move_on_after((_QUIET_REPORT_MS - pause_ms) / 1000):
                await self._changed.wait()

    def _report_targets(self) -> list[str]:
        """Returns the addresses that this gateway reports to."""
        near = self._near()
        if self.uses_hubs:
            by_host = {peer.host: peer.address for peer in near}
            chosen = self._hubs.choose(by_host, self._clock.now_ms())
            return [by_host[host] for host in chosen]
        return [peer.address for peer in near] or self._seeds

    def _send_report(self, addresses: list[str], one_hub: bool = False) -> None:
        """Sends a report; with `one_hub`, all but the first are on standby."""
        report = self._own_report()
        for n, address in enumerate(dict.fromkeys(addresses)):
            report.standby = one_hub and n > 0
            self._network.send(address, report)

    def _own_report(self) -> gateway_messages.GatewayReport:
        self._report_serial += 1
        report = self._make_report()
        report.serial, report.leaving = self._report_serial, self._leaving
        report.urgent = self.uses_hubs and self.is_urgent()
        return report

    def _near(self) -> list[roster_lib.Peer]:
        """Returns the peers that reports are exchanged with."""
        present = self.roster.expected_peers()
        if not self.uses_hubs:
            return present
        return [peer for peer in present if self.roster.shares_zone(peer)]

    async def _serve_as_hub(self) -> None:
        """Passes on what is new while others take this gateway for a hub."""
        full_ms = self._clock.now_ms()
        while True:
            if not self._subscribers():
                self._subscribed = trio.Event()
                await self._subscribed.wait()
            urgent = await self._wait_for_news()
            self._pass_on(self._news, self._subscribers(standby=False))
            now_ms = self._clock.now_ms()
            if urgent or now_ms - full_ms >= _DIGEST_PAUSE_MS:
                full_ms = now_ms
                self._pass_on(self._standby_news, self._subscribers(True))
                self._send_digest()

    async def _wait_for_news(self) -> bool:
        """Waits until news are due; returns whether they are urgent."""
        await self._clock.sleep_ms(_URGENT_HUB_PAUSE_MS)
        with trio.move_on_after((_HUB_PAUSE_MS - _URGENT_HUB_PAUSE_MS) / 1000):
            await self._hurry.wait()
        urgent = self._hurry.is_set()
        if urgent:
            self._hurry = trio.Event()
        return urgent

    def _pass_on(self, news: _News, addresses: list[str]) -> None:
        message = gateway_messages.ZoneReports(
            self._host,
            [self._own_report(), *news.reports.values()],
            list(news.digests.values()),
        )
        news.reports.clear()
        news.digests.clear()
        for address in addresses:
            self._network.send(address, message)

    def _subscribers(self, standby: bool | None = None) -> list[str]:
        """Returns the addresses of those that take this gateway for a hub."""
        hosts = self._hubs.subscribers(self._clock.now_ms(), standby)
        peers = [self.roster.get(host) for host in hosts]
        return [peer.address for peer in peers if peer is not None]

    def _send_digest(self) -> None:
        digest = self._make_digest()
        zones: dict[str, list[roster_lib.Peer]] = {}
        heard = {peer.host for peer in self.roster.live_peers()}
        for peer in self.roster.expected_peers():
            if not self.roster.shares_zone(peer):
                zones.setdefault(peer.zone, []).append(peer)
        for peers in zones.values():
            # Those that were heard first, then by host: likely hubs. Two, since
            # a dead one is heard until its silence has lasted.
            peers.sort(key=lambda peer: (peer.host not in heard, peer.host))
            for target in peers[:_DIGEST_TARGETS]:
                self._network.send(target.address, digest)

    def _make_digest(self) -> gateway_messages.ZoneDigest:
        reports = [self._own_report()]
        for peer in self.roster.live_peers():
            if peer.report is not None and self.roster.shares_zone(peer):
                reports.append(peer.report)
        self._digest_serial += 1
        return digests.make(
            self._zone,
            self._host,
            self._started_ms,
            self._digest_serial,
            reports,
        )

    async def _handle_report(
        self, report: gateway_messages.GatewayReport
    ) -> None:
        if report.leaving:
            self._hubs.unsubscribe(report.host)
        elif self.uses_hubs:
            now_ms = self._clock.now_ms()
            self._hubs.subscribe(report.host, now_ms, report.standby)
            self._subscribed.set()
        self._take_report(report)

    async def _handle_reports(
        self, message: gateway_messages.ZoneReports
    ) -> None:
        self._hubs.note_heard(message.hub, self._clock.now_ms())
        for report in message.reports:
            self._take_report(report)
        for digest in message.digests:
            self._take_digest(digest)

    def _take_report(self, report: gateway_messages.GatewayReport) -> None:
        if not self.roster.note_report(report):
            return
        if report.urgent:
            self._hurry.set()
        for news in (self._news, self._standby_news):
            news.reports[report.host] = report
        if not report.leaving:
            self.on_report(report)

    async def _handle_digest(self, digest: gateway_messages.ZoneDigest) -> None:
        """Takes a digest; a gateway that is no hub passes it on to hubs."""
        if self._take_digest(digest) and not self._subscribers():
            for address in self._report_targets():
                self._network.send(address, digest)

    def _take_digest(self, digest: gateway_messages.ZoneDigest) -> bool:
        """Takes a digest over; returns False if it is none of news."""
        if digest.zone == self._zone or not self._is_news(digest):
            return False
        self._digests[digest.zone] = _DigestSeen(
            digest.sender,
            digest.started_ms,
            digest.serial,
            self._clock.now_ms(),
        )
        if digest.urgent:
            self._hurry.set()
        for news in (self._news, self._standby_news):
            news.digests[digest.zone] = digest
        self.roster.note_counts(digest.hosts)
        self.on_digest(digest)
        return True

    def _is_news(self, digest: gateway_messages.ZoneDigest) -> bool:
        seen = self._digests.get(digest.zone)
        if seen is None:
            return True
        if seen.sender != digest.sender:
            return self._clock.now_ms() - seen.at_ms > _DIGEST_SENDER_MS
        if seen.started_ms != digest.started_ms:
            return True
        return digest.serial > seen.serial

    async def _watch_silence(self) -> None:
        while True:
            await self._clock.sleep_ms(roster_lib.REPORT_TIMEOUT_MS / 3)
            self.roster.check_silence()
