"""Announces a gateway to the others and exchanges reports with them.

In a small fleet each gateway reports to all others. In a larger one gateways
report to hubs of their zone, which forward the reports within the zone and send
digests of them to hubs of the other zones.
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

# Each gateway renews its entry on the log at this interval. Two renewals in a
# row may fail before the entry expires after `roster.ENTRY_TTL_MS`.
_RENEWAL_INTERVAL_MS = 3_000.0
_READ_PAUSE_MS = 1_000.0
_READ_WAIT_MS = 1_000.0
_RENEWAL_RETRY_MS = 500.0
# Shortest pause between two reports; bounds their rate while counts change.
_REPORT_PAUSE_MS = 25.0
# Shortest pause between reports to hubs, and the interval at which hubs forward
# them. Coordinators count the requests at replicas, so nothing else depends on
# earlier counts than rate limits, whose reports are urgent.
_HUB_REPORT_PAUSE_MS = 450.0
_FORWARD_PAUSE_MS = 400.0
# Number of other gateways from which on reports go through hubs.
_MIN_PEERS_FOR_HUBS = 16
# Interval of digests to other zones, and of reports to gateways whose standby
# hub this one is.
_DIGEST_PAUSE_MS = 500.0
# Number of gateways in each other zone that a digest is sent to.
_DIGEST_TARGETS_PER_ZONE = 2
# The same pauses of reports and of hubs while a customer is at its rate limit:
# requests that other gateways admit on outdated counts exceed the limit.
_URGENT_HUB_REPORT_PAUSE_MS = 80.0
_URGENT_FORWARD_PAUSE_MS = 60.0
# Both hubs of a zone send digests of the same reports. After a digest of one
# sender, those of other senders in its zone are ignored for this long.
_DIGEST_SENDER_TIMEOUT_MS = 1_200.0
# A gateway whose counts do not change reports at this interval.
_MAX_REPORT_PAUSE_MS = 500.0
_SILENCE_CHECK_MS = 400.0

_log = structlog.get_logger()


class _Entry(msgspec.Struct, array_like=True):
    """A gateway's entry on the log."""

    address: str
    zone: str
    started_ms: int
    renewal: int


@dataclasses.dataclass(slots=True)
class _Pending:
    """Reports by host and digests by zone that a hub has yet to forward."""

    reports: dict[str, gateway_messages.GatewayReport] = dataclasses.field(
        default_factory=dict
    )
    digests: dict[str, gateway_messages.ZoneDigest] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True, frozen=True)
class _AcceptedDigest:
    """Identity of the latest accepted digest of a zone, and its arrival."""

    sender: str
    started_ms: int
    serial: int
    received_ms: float


class Presence:
    """Announces a gateway and exchanges reports with its peers.

    Attributes:
        roster: The other gateways.
        on_report: Called with each new report of a peer that is not leaving.
        on_digest: Called with each new digest of another zone.
        is_urgent: Returns whether other gateways need this gateway's counts
            without delay.
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
        """Creates the presence of a gateway; `run` announces it.

        Args:
            roster: The other gateways.
            address: Address on which the gateway accepts peer connections.
            seeds: Addresses to report to while no other gateway is known.
            log: Log with the entries of the gateways.
            network: Sends and receives the reports.
            make_report: Returns this gateway's report.
            clock: Source of time.
            metrics: Counts failed renewals and malformed entries.
            started_ms: Unix time at which this process started.
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
        # The latest accepted digest of each other zone.
        self._digests: dict[str, _AcceptedDigest] = {}
        # Set once other gateways report to this one as their hub.
        self._subscribed = trio.Event()
        # Set once an urgent report or digest waits to be forwarded.
        self._urgent_waiting = trio.Event()
        # For gateways whose first hub this one is, and for those whose standby
        # it is.
        self._pending, self._standby_pending = _Pending(), _Pending()
        network.handle(gateway_messages.GatewayReport, self._handle_report)
        network.handle(gateway_messages.ZoneReports, self._handle_zone_reports)
        network.handle(gateway_messages.ZoneDigest, self._handle_digest)
        self._follower = follow.Follower(
            log,
            GATEWAYS,
            self._apply_entries,
            self._apply_entries,
            clock,
            metrics,
            wait_ms=_READ_WAIT_MS,
            pause_ms=_READ_PAUSE_MS,
        )

    @property
    def uses_hubs(self) -> bool:
        """True if reports go through hubs because the fleet is large."""
        return len(self.roster) >= _MIN_PEERS_FOR_HUBS

    def addresses(self) -> list[str]:
        """Returns the addresses of all peers, of live ones first, and seeds."""
        return list(dict.fromkeys([*self.roster.addresses(), *self._seeds]))

    def schedule_report(self) -> None:
        """Requests a report after the shortest pause since the last one."""
        self._changed.set()

    async def run(self) -> None:
        """Announces this gateway and exchanges reports until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._renew_entry)
            nursery.start_soon(self._run_reports)
            nursery.start_soon(self._run_hub)
            nursery.start_soon(self._check_silence)

    async def leave(self) -> None:
        """Tells the peers that this gateway stops, and removes its entry."""
        self._leaving = True
        self._send_report([peer.address for peer in self._direct_peers()])
        try:
            await self._log.append(
                GATEWAYS, [compacted.Record(self._host, None)]
            )
        except log_errors.LogError as exc:
            _log.warning(
                "gateway entry not removed from the log",
                code=exc.code,
            )

    async def _renew_entry(self) -> None:
        renewal = 0
        while not self._leaving:
            renewal += 1
            entry = _Entry(self._address, self._zone, self._started_ms, renewal)
            record = compacted.Record(self._host, msgspec.msgpack.encode(entry))
            pause_ms = _RENEWAL_INTERVAL_MS
            try:
                await self._log.append(GATEWAYS, [record])
            except log_errors.LogError as exc:
                self._metrics.add("entry_renewals_failed", code=exc.code)
                pause_ms = _RENEWAL_RETRY_MS
            await self._clock.sleep_ms(pause_ms)

    def _apply_entries(self, page: list[compacted.Record]) -> None:
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

    async def _run_reports(self) -> None:
        while True:
            self._changed = trio.Event()
            self._send_report(self._report_targets(), self.uses_hubs)
            pause_ms = _REPORT_PAUSE_MS
            if self.uses_hubs:
                urgent = self.is_urgent()
                pause_ms = (
                    _URGENT_HUB_REPORT_PAUSE_MS
                    if urgent
                    else _HUB_REPORT_PAUSE_MS
                )
            await self._clock.sleep_ms(pause_ms)
            with trio.move_on_after((_MAX_REPORT_PAUSE_MS - pause_ms) / 1000):
                await self._changed.wait()

    def _report_targets(self) -> list[str]:
        """Returns the addresses to report to; the standby hub is last."""
        direct_peers = self._direct_peers()
        if self.uses_hubs:
            by_host = {peer.host: peer.address for peer in direct_peers}
            chosen = self._hubs.choose(by_host, self._clock.now_ms())
            return [by_host[host] for host in chosen]
        return [peer.address for peer in direct_peers] or self._seeds

    def _send_report(self, addresses: list[str], to_hubs: bool = False) -> None:
        """Sends a report; with `to_hubs`, to all but the first as standbys."""
        report = self._own_report()
        for n, address in enumerate(dict.fromkeys(addresses)):
            report.standby = to_hubs and n > 0
            self._network.send(address, report)

    def _own_report(self) -> gateway_messages.GatewayReport:
        """Returns a new report of this gateway with the next serial."""
        self._report_serial += 1
        report = self._make_report()
        report.serial, report.leaving = self._report_serial, self._leaving
        report.urgent = self.uses_hubs and self.is_urgent()
        return report

    def _direct_peers(self) -> list[roster_lib.Peer]:
        """Returns the peers with which reports may be exchanged directly."""
        expected = self.roster.expected_peers()
        if not self.uses_hubs:
            return expected
        return [peer for peer in expected if self.roster.shares_zone(peer)]

    async def _run_hub(self) -> None:
        """Forwards reports and digests while gateways report to this hub."""
        digest_ms = self._clock.now_ms()
        while True:
            if not self._subscribers():
                self._subscribed = trio.Event()
                await self._subscribed.wait()
            urgent = await self._wait_to_forward()
            self._forward(self._pending, self._subscribers(standby=False))
            now_ms = self._clock.now_ms()
            if urgent or now_ms - digest_ms >= _DIGEST_PAUSE_MS:
                digest_ms = now_ms
                self._forward(self._standby_pending, self._subscribers(True))
                self._send_digest()

    async def _wait_to_forward(self) -> bool:
        """Waits until forwarding is due; returns whether it is urgent."""
        await self._clock.sleep_ms(_URGENT_FORWARD_PAUSE_MS)
        with trio.move_on_after(
            (_FORWARD_PAUSE_MS - _URGENT_FORWARD_PAUSE_MS) / 1000
        ):
            await self._urgent_waiting.wait()
        urgent = self._urgent_waiting.is_set()
        if urgent:
            self._urgent_waiting = trio.Event()
        return urgent

    def _forward(self, pending: _Pending, addresses: list[str]) -> None:
        """Sends all that is pending, and an own report, and clears it."""
        message = gateway_messages.ZoneReports(
            self._host,
            [self._own_report(), *pending.reports.values()],
            list(pending.digests.values()),
        )
        pending.reports.clear()
        pending.digests.clear()
        for address in addresses:
            self._network.send(address, message)

    def _subscribers(self, standby: bool | None = None) -> list[str]:
        """Returns the addresses of gateways that report to this hub."""
        hosts = self._hubs.subscribers(self._clock.now_ms(), standby)
        peers = [self.roster.get(host) for host in hosts]
        return [peer.address for peer in peers if peer is not None]

    def _send_digest(self) -> None:
        digest = self._make_digest()
        zones: dict[str, list[roster_lib.Peer]] = {}
        live = {peer.host for peer in self.roster.live_peers()}
        for peer in self.roster.expected_peers():
            if not self.roster.shares_zone(peer):
                zones.setdefault(peer.zone, []).append(peer)
        for peers in zones.values():
            # Live peers first, in the order of hosts, as these are likely to be
            # the hubs of their zone. Several, since a dead peer counts as live
            # until `roster.REPORT_TIMEOUT_MS` has passed.
            peers.sort(key=lambda peer: (peer.host not in live, peer.host))
            for target in peers[:_DIGEST_TARGETS_PER_ZONE]:
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
        self._accept_report(report)

    async def _handle_zone_reports(
        self, message: gateway_messages.ZoneReports
    ) -> None:
        self._hubs.note_answer(message.hub, self._clock.now_ms())
        for report in message.reports:
            self._accept_report(report)
        for digest in message.digests:
            self._accept_digest(digest)

    def _accept_report(self, report: gateway_messages.GatewayReport) -> None:
        if not self.roster.note_report(report):
            return
        if report.urgent:
            self._urgent_waiting.set()
        for pending in (self._pending, self._standby_pending):
            pending.reports[report.host] = report
        if not report.leaving:
            self.on_report(report)

    async def _handle_digest(self, digest: gateway_messages.ZoneDigest) -> None:
        """Accepts a digest; a gateway that is not a hub forwards it to hubs."""
        if self._accept_digest(digest) and not self._subscribers():
            for address in self._report_targets():
                self._network.send(address, digest)

    def _accept_digest(self, digest: gateway_messages.ZoneDigest) -> bool:
        """Accepts a digest; returns False if it contains nothing new."""
        if digest.zone == self._zone or not self._is_new(digest):
            return False
        self._digests[digest.zone] = _AcceptedDigest(
            digest.sender,
            digest.started_ms,
            digest.serial,
            self._clock.now_ms(),
        )
        if digest.urgent:
            self._urgent_waiting.set()
        for pending in (self._pending, self._standby_pending):
            pending.digests[digest.zone] = digest
        self.roster.note_counts(digest.hosts)
        self.on_digest(digest)
        return True

    def _is_new(self, digest: gateway_messages.ZoneDigest) -> bool:
        """Returns whether a digest replaces the latest one of its zone."""
        latest = self._digests.get(digest.zone)
        if latest is None:
            return True
        if latest.sender != digest.sender:
            return (
                self._clock.now_ms() - latest.received_ms
                > _DIGEST_SENDER_TIMEOUT_MS
            )
        if latest.started_ms != digest.started_ms:
            return True
        return digest.serial > latest.serial

    async def _check_silence(self) -> None:
        while True:
            await self._clock.sleep_until_next_ms(_SILENCE_CHECK_MS)
            self.roster.check_silence()
