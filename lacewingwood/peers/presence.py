"""Which gateways there are, and what they tell each other.

Gateways of a small fleet report to all others. In a larger one they report
to those of their zone, and two of each zone send digests of it to the other
zones, where their receivers pass them on.
"""

import dataclasses
import random
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
from lacewingwood.peers import network as network_lib

GATEWAYS = compacted.Partition("gateways", 0)

# Each gateway renews its entry at this interval, and is no longer counted
# after three times that.
_RENEW_MS = 3_000.0
_ENTRY_TTL_MS = 3 * _RENEW_MS
_READ_PAUSE_MS = 1_000.0
_READ_WAIT_MS = 1_000.0
_RETRY_MS = 500.0
# Reports follow changes after this pause, which bounds their number; within the
# zones of a large fleet it is longer, since 20 peers each send and receive.
_REPORT_PAUSE_MS = 25.0
_ZONE_REPORT_PAUSE_MS = 250.0
# Gateways up to which all report to all.
_MESH_LIMIT = 16
# Gateways of a zone that send digests, and how often.
_DIGEST_SENDERS = 2
_DIGEST_PAUSE_MS = 500.0
# Pause of reports and digests while a customer is at its limit: what others
# admit meanwhile is more than it agreed to.
_URGENT_PAUSE_MS = 80.0
# A count that changed is repeated for this long, since digests can be lost.
_DIGEST_REPEAT_MS = 2_000.0
# A log that answered this long ago is reached; reads wait up to a second.
_LOG_FRESH_MS = 1_600.0
# A gateway without changes reports this often.
_QUIET_REPORT_MS = 500.0
# A peer that has not reported for this long is taken to be cut off or dead.
_SILENCE_MS = 1_500.0

_log = structlog.get_logger()


class _Entry(msgspec.Struct, array_like=True):
    """A gateway's record on the log."""

    address: str
    zone: str
    started_ms: int
    renewal: int


@dataclasses.dataclass(slots=True)
class Peer:
    """Another gateway.

    Attributes:
        host: Its host.
        address: Its peer listener.
        zone: Its zone, empty while only reports are known.
        started_ms: Unix time of its start.
        entry_ms: When its entry was last seen to change.
        report_ms: When its last report came.
        report: Its last report, None before the first.
        owned: Job partitions that it owns, with their epochs.
        version: Version of its configuration.
        changed: When each of its customers' counts was last seen to change.
    """

    host: str
    address: str
    zone: str = ""
    started_ms: int = 0
    entry_ms: float = float("-inf")
    report_ms: float = float("-inf")
    report: gateway_messages.GatewayReport | None = None
    owned: dict[int, int] = dataclasses.field(default_factory=dict)
    version: int = 0
    changed: dict[str, float] = dataclasses.field(default_factory=dict)


class Presence:
    """The gateways and their reports.

    Attributes:
        on_report: Called with each report of a peer.
        on_digest: Called with each digest of another zone.
        on_silent: Called with the host of a peer that has gone silent.
        is_urgent: Returns whether counts must be told at once.
    """

    def __init__(
        self,
        host: str,
        zone: str,
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
            host: This gateway's host.
            zone: Its zone.
            address: Its peer listener.
            seeds: Peer listeners to try while the log shows none.
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
        self.on_silent: Callable[[str], None] = lambda host: None
        self._host = host
        self._zone = zone
        self._address = address
        self._seeds = [seed for seed in seeds if seed != address]
        self._log = log
        self._network = network
        self._make_report = make_report
        self._clock = clock
        self._metrics = metrics
        self._started_ms = started_ms
        self._peers: dict[str, Peer] = {}
        self._changed = trio.Event()
        self._leaving = False
        self._serial = 0
        # For each sender of digests its process, and the newest serial.
        self._newest_digests: dict[str, tuple[int, int]] = {}
        self._own_changed: dict[str, float] = {}
        self._own_admitted: dict[str, int] = {}
        network.handle(gateway_messages.GatewayReport, self._handle_report)
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
    def zoned(self) -> bool:
        """True if reports stay within the zone since the fleet is large."""
        return len(self._peers) >= _MESH_LIMIT

    def heard(self) -> list[Peer]:
        """Returns the peers that have reported lately."""
        limit_ms = self._clock.now_ms() - _SILENCE_MS
        return [p for p in self._peers.values() if p.report_ms >= limit_ms]

    def is_near(self, host: str) -> bool:
        """Returns whether a gateway is in this zone."""
        peer = self._peers.get(host)
        return peer is not None and peer.zone == self._zone

    def share(self) -> float:
        """Returns this part's share of all gateways that should be there."""
        heard = len(self.heard()) + 1
        limit_ms = self._clock.now_ms() - _ENTRY_TTL_MS
        silence_ms = self._clock.now_ms() - _SILENCE_MS
        silent = sum(
            1
            for peer in self._peers.values()
            if peer.report_ms < silence_ms and peer.entry_ms >= limit_ms
        )
        return heard / (heard + silent)

    def owner_at(self, partition: int) -> tuple[str, int] | None:
        """Returns address and epoch of the peer that owns a partition.

        Of several that believe so, the one with the greatest epoch.
        """
        best: tuple[str, int] | None = None
        for peer in self.heard():
            epoch = peer.owned.get(partition)
            if epoch is not None and (best is None or epoch > best[1]):
                best = peer.address, epoch
        return best

    def log_reachers(self) -> list[str]:
        """Returns addresses of peers that the log answered lately."""
        return [
            peer.address
            for peer in self.heard()
            if peer.report is not None
            and peer.report.log_age_ms < _LOG_FRESH_MS
        ]

    def log_lost(self) -> bool:
        """Returns whether the log has not answered this gateway lately."""
        return self._make_report().log_age_ms >= _LOG_FRESH_MS

    def isolated(self) -> bool:
        """Returns whether other gateways are known but none is heard."""
        return bool(self._peers) and not self.heard()

    def contenders(self) -> tuple[int, int]:
        """Returns this gateway's place among those with waiting batch items.

        That is its position in their order and their number.
        """
        hosts = [
            peer.host
            for peer in self.heard()
            if peer.report is not None and peer.report.waiting
        ]
        return sum(host < self._host for host in hosts), len(hosts) + 1

    def addresses(self) -> list[str]:
        """Returns peers to ask, those heard lately first."""
        heard = [peer.address for peer in self.heard()]
        known = [peer.address for peer in self._peers.values()]
        return list(dict.fromkeys([*heard, *known, *self._seeds]))

    def note_change(self) -> None:
        """Makes a report go out soon."""
        self._changed.set()

    async def run(self) -> None:
        """Announces this gateway and reports to the others."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._renew_entry)
            nursery.start_soon(self._report)
            nursery.start_soon(self._send_digests)
            nursery.start_soon(self._watch_silence)

    async def leave(self) -> None:
        """Tells all others that this gateway stops."""
        self._leaving = True
        self._send_report()
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
                peer = self._peers.get(record.key)
                if peer is not None:
                    peer.entry_ms = float("-inf")
                continue
            try:
                entry = msgspec.msgpack.decode(record.value, type=_Entry)
            except msgspec.MsgspecError:
                self._metrics.add("gateway_entries_malformed")
                continue
            self._note_entry(record.key, entry)

    def _note_entry(self, host: str, entry: _Entry) -> None:
        peer = self._peers.get(host)
        if peer is None:
            peer = self._peers[host] = Peer(host, entry.address)
            self._changed.set()
        peer.address = entry.address
        peer.zone = entry.zone
        peer.started_ms = max(peer.started_ms, entry.started_ms)
        peer.entry_ms = self._clock.now_ms()

    async def _report(self) -> None:
        while True:
            self._changed = trio.Event()
            self._send_report()
            pause_ms = _REPORT_PAUSE_MS
            if self.zoned:
                pause_ms = self._pause_ms(_ZONE_REPORT_PAUSE_MS)
            await self._clock.sleep_ms(pause_ms)
            with trio.move_on_after((_QUIET_REPORT_MS - pause_ms) / 1000):
                await self._changed.wait()

    def _pause_ms(self, usual_ms: float) -> float:
        return _URGENT_PAUSE_MS if self.is_urgent() else usual_ms

    def _send_report(self) -> None:
        report = self._make_report()
        report.leaving = self._leaving
        targets = {peer.address for peer in self._near()} or set(self._seeds)
        for address in targets:
            self._network.send(address, report)
        now_ms = self._clock.now_ms()
        for customer, count in report.admitted.items():
            if self._own_admitted.get(customer) != count:
                self._own_changed[customer] = now_ms
        self._own_admitted = report.admitted

    def _present(self) -> list[Peer]:
        """Returns the peers that should be there."""
        limit_ms = self._clock.now_ms() - _ENTRY_TTL_MS
        return [
            peer
            for peer in self._peers.values()
            if max(peer.entry_ms, peer.report_ms) >= limit_ms
        ]

    def _near(self) -> list[Peer]:
        """Returns the peers that reports are exchanged with."""
        present = self._present()
        if not self.zoned:
            return present
        return [peer for peer in present if peer.zone in ("", self._zone)]

    async def _send_digests(self) -> None:
        while True:
            await self._clock.sleep_ms(self._pause_ms(_DIGEST_PAUSE_MS))
            if self._sends_digests():
                self._send_digest()

    def _sends_digests(self) -> bool:
        """Returns whether this gateway speaks for its zone."""
        if not self.zoned or self._leaving:
            return False
        near = [p.host for p in self.heard() if p.zone in ("", self._zone)]
        return self._host in sorted([*near, self._host])[:_DIGEST_SENDERS]

    def _send_digest(self) -> None:
        digest = self._make_digest()
        zones: dict[str, list[Peer]] = {}
        for peer in self._present():
            if peer.zone not in ("", self._zone):
                zones.setdefault(peer.zone, []).append(peer)
        for peers in zones.values():
            self._network.send(random.choice(peers).address, digest)

    def _make_digest(self) -> gateway_messages.ZoneDigest:
        limit_ms = self._clock.now_ms() - _DIGEST_REPEAT_MS
        reports = [(self._make_report(), self._own_changed)]
        for peer in self.heard():
            if peer.report is not None and peer.zone in ("", self._zone):
                reports.append((peer.report, peer.changed))
        self._serial += 1
        return digests.make(
            self._zone,
            self._host,
            self._started_ms,
            self._serial,
            reports,
            limit_ms,
        )

    async def _handle_digest(self, digest: gateway_messages.ZoneDigest) -> None:
        if digest.zone == self._zone:
            return
        if not digest.passed_on:
            digest.passed_on = True
            for peer in self._near():
                self._network.send(peer.address, digest)
        newest = self._newest_digests.get(digest.sender)
        if (
            newest
            and newest[0] == digest.started_ms
            and (newest[1] >= digest.serial)
        ):
            return
        self._newest_digests[digest.sender] = digest.started_ms, digest.serial
        now_ms = self._clock.now_ms()
        for counts in digest.hosts:
            known = self._peers.get(counts.host)
            if known is None or self._is_outdated(known, counts.started_ms):
                continue
            known.started_ms = counts.started_ms
            known.owned, known.version = counts.owned, counts.version
            known.report_ms = now_ms
        self.on_digest(digest)

    async def _handle_report(
        self, report: gateway_messages.GatewayReport
    ) -> None:
        if report.host == self._host:
            return
        peer = self._peers.get(report.host)
        if peer is None:
            peer = self._peers[report.host] = Peer(report.host, report.address)
        if self._is_outdated(peer, report.started_ms):
            return
        if self._is_silent(peer):
            _log.info("peer heard", peer=report.host, address=report.address)
        now_ms = self._clock.now_ms()
        before = peer.report.admitted if peer.report else {}
        for customer, count in report.admitted.items():
            if before.get(customer) != count:
                peer.changed[customer] = now_ms
        peer.address = report.address
        peer.started_ms = report.started_ms
        peer.report = report
        peer.owned, peer.version = report.owned, report.version
        peer.report_ms = now_ms
        if report.leaving:
            peer.entry_ms = peer.report_ms = float("-inf")
            peer.report = None
            peer.owned = {}
            self.on_silent(peer.host)
            _log.info("peer left", peer=report.host)
            return
        self.on_report(report)

    def _is_outdated(self, peer: Peer, started_ms: int) -> bool:
        """Returns whether a message is of a process that ran there before.

        An earlier start than that of a silent one means a clock set back.
        """
        return started_ms < peer.started_ms and not self._is_silent(peer)

    def _is_silent(self, peer: Peer) -> bool:
        return self._clock.now_ms() - peer.report_ms > _SILENCE_MS

    async def _watch_silence(self) -> None:
        silent: set[str] = set()
        while True:
            await self._clock.sleep_ms(_SILENCE_MS / 3)
            for peer in self._peers.values():
                if not self._is_silent(peer):
                    silent.discard(peer.host)
                elif peer.host not in silent:
                    silent.add(peer.host)
                    if peer.report is not None:
                        age_ms = self._clock.now_ms() - peer.report_ms
                        _log.warning(
                            "peer lost", peer=peer.host, age_ms=round(age_ms)
                        )
                        self.on_silent(peer.host)
