"""The other gateways that a gateway knows, and their latest reports."""

import dataclasses
import math
from collections.abc import Callable
from collections.abc import Iterable

import structlog

from lacewingwood import clock as clocks
from lacewingwood.peers import gateway_messages

# A gateway that has not renewed its entry on the log for this long is assumed
# to have stopped.
ENTRY_TTL_MS = 9_000.0
# A peer that has not reported for this long is assumed to be unreachable or
# dead.
REPORT_TIMEOUT_MS = 1_500.0
# The log counts as reachable for this long after an answer. Longer than a read
# waits for a record, which is up to a second.
_LOG_TIMEOUT_MS = 1_600.0

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class Peer:
    """Another gateway.

    Attributes:
        host: The gateway's host.
        address: Address on which it accepts peer connections.
        zone: Its zone, empty until its entry on the log was read.
        started_ms: Unix time at which its process started.
        serial: Sequence number of the last report of this process.
        entry_ms: When a change of its entry on the log was last read.
        report_ms: When it last reported, itself or in a digest of its zone.
        report: Its last report, None before the first.
        owned: Epochs of the job partitions that it owns.
        version: Version of its configuration.
    """

    host: str
    address: str
    zone: str = ""
    started_ms: int = 0
    serial: int = 0
    entry_ms: float = float("-inf")
    report_ms: float = float("-inf")
    report: gateway_messages.GatewayReport | None = None
    owned: dict[int, int] = dataclasses.field(default_factory=dict)
    version: int = 0

    def note_start(self, started_ms: int) -> None:
        """Records a new process, whose reports are numbered from 1 again."""
        self.started_ms, self.serial = started_ms, 0


class Roster:
    """All other gateways that have been known since the start.

    Attributes:
        host: This gateway's host.
        zone: This gateway's zone.
        on_peer_lost: Called with the host of a peer that has left or no longer
            reports.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        clock: clocks.Clock,
        log_age_ms: Callable[[], float],
    ) -> None:
        """Creates an empty roster.

        Args:
            host: This gateway's host.
            zone: This gateway's zone.
            clock: Source of time.
            log_age_ms: Returns the time since the log last answered this
                gateway.
        """
        self.on_peer_lost: Callable[[str], None] = lambda host: None
        self.host = host
        self.zone = zone
        self._clock = clock
        self._log_age_ms = log_age_ms
        self._peers: dict[str, Peer] = {}
        self._silent: set[str] = set()

    def __len__(self) -> int:
        """Returns the number of gateways known since the start."""
        return len(self._peers)

    def get(self, host: str) -> Peer | None:
        """Returns the gateway on a host, or None if it is unknown."""
        return self._peers.get(host)

    def live_peers(self) -> list[Peer]:
        """Returns the peers that have reported recently."""
        limit_ms = self._clock.now_ms() - REPORT_TIMEOUT_MS
        return [
            peer for peer in self._peers.values() if peer.report_ms >= limit_ms
        ]

    def expected_peers(self) -> list[Peer]:
        """Returns the peers that are expected to run.

        That is all that recently renewed their entry on the log or reported.
        """
        limit_ms = self._clock.now_ms() - ENTRY_TTL_MS
        return [
            peer
            for peer in self._peers.values()
            if max(peer.entry_ms, peer.report_ms) >= limit_ms
        ]

    def is_in_zone(self, host: str) -> bool:
        """Returns whether the gateway on a host is, or may be, in this zone."""
        peer = self._peers.get(host)
        return peer is not None and self.shares_zone(peer)

    def shares_zone(self, peer: Peer) -> bool:
        """Returns whether a peer is, or may be, in this zone.

        It may be as long as its zone is unknown.
        """
        return peer.zone in ("", self.zone)

    def reachable_share(self) -> float:
        """Returns the share of the expected gateways that is reachable.

        This gateway is one of them. The share is below 1 if a network
        partition separates this part of the fleet from another.
        """
        live = len(self.live_peers()) + 1
        limit_ms = self._clock.now_ms() - ENTRY_TTL_MS
        silence_ms = self._clock.now_ms() - REPORT_TIMEOUT_MS
        silent = sum(
            1
            for peer in self._peers.values()
            if peer.report_ms < silence_ms and peer.entry_ms >= limit_ms
        )
        return live / (live + silent)

    def owner_at(self, partition: int) -> tuple[str, int] | None:
        """Returns address and epoch of the peer that owns a partition.

        If several peers report it as theirs, the greatest epoch wins.
        """
        best: tuple[str, int] | None = None
        for peer in self.live_peers():
            epoch = peer.owned.get(partition)
            if epoch is not None and (best is None or epoch > best[1]):
                best = peer.address, epoch
        return best

    def peers_reaching_log(self) -> list[str]:
        """Returns the addresses of peers that can reach the log."""
        return [
            peer.address
            for peer in self.live_peers()
            if peer.report is not None
            and peer.report.log_age_ms < _LOG_TIMEOUT_MS
        ]

    def log_lost(self) -> bool:
        """Returns whether the log has not answered this gateway recently."""
        return self._log_age_ms() >= _LOG_TIMEOUT_MS

    def isolated(self) -> bool:
        """Returns whether other gateways are known but none reports."""
        return bool(self._peers) and not self.live_peers()

    def is_candidate(self, count: int) -> bool:
        """Returns whether this gateway is among `count` chosen live ones.

        Each zone has an equal share of them, the first by host. Gateways that
        know different peers choose differently, so some more may be chosen.
        """
        live = self.live_peers()
        zones = {self.zone, *(peer.zone for peer in live)}
        before = sum(
            peer.host < self.host for peer in live if peer.zone == self.zone
        )
        return before < math.ceil(count / len(zones))

    def rank(self) -> tuple[int, int]:
        """Returns this gateway's rank among the live ones.

        Returns:
            Its position in the order of their hosts, from 0, and their number.
        """
        hosts = [peer.host for peer in self.live_peers()]
        return sum(host < self.host for host in hosts), len(hosts) + 1

    def batch_rank(self) -> tuple[int, int]:
        """Returns this gateway's rank among those with waiting batch items.

        Returns:
            Its position in the order of their hosts, from 0, and their number.
        """
        hosts = [
            peer.host
            for peer in self.live_peers()
            if peer.report is not None and peer.report.waiting
        ]
        return sum(host < self.host for host in hosts), len(hosts) + 1

    def addresses(self) -> list[str]:
        """Returns the addresses of all peers, of live ones first."""
        live = [peer.address for peer in self.live_peers()]
        known = [peer.address for peer in self._peers.values()]
        return list(dict.fromkeys([*live, *known]))

    def note_entry(
        self, host: str, address: str, zone: str, started_ms: int
    ) -> bool:
        """Records an entry on the log; returns whether the peer is new."""
        peer = self._peers.get(host)
        new = peer is None
        if peer is None:
            peer = self._peers[host] = Peer(host, address)
        peer.address = address
        peer.zone = zone
        if started_ms > peer.started_ms:
            peer.note_start(started_ms)
        peer.entry_ms = self._clock.now_ms()
        return new

    def note_removal(self, host: str) -> None:
        """Records that a gateway's entry was removed from the log."""
        if peer := self._peers.get(host):
            peer.entry_ms = float("-inf")

    def note_report(self, report: gateway_messages.GatewayReport) -> bool:
        """Records a report; returns False if it is outdated or a repeat."""
        if report.host == self.host:
            return False
        peer = self._peers.get(report.host)
        if peer is None:
            peer = self._peers[report.host] = Peer(report.host, report.address)
        if not self._is_newer(peer, report):
            return False
        if self._is_silent(peer):
            _log.info("peer heard", peer=report.host, address=report.address)
        peer.address = report.address
        peer.started_ms, peer.serial = report.started_ms, report.serial
        peer.report = report
        peer.owned, peer.version = report.owned, report.version
        peer.report_ms = self._clock.now_ms()
        if report.leaving:
            peer.entry_ms = peer.report_ms = float("-inf")
            peer.report = None
            peer.owned = {}
            self.on_peer_lost(peer.host)
            _log.info("peer left", peer=report.host)
        return True

    def note_counts(self, hosts: Iterable[gateway_messages.HostCounts]) -> None:
        """Records the counts of gateways from another zone's digest."""
        now_ms = self._clock.now_ms()
        for counts in hosts:
            peer = self._peers.get(counts.host)
            if peer is None or self._is_outdated(peer, counts.started_ms):
                continue
            if counts.started_ms != peer.started_ms:
                peer.note_start(counts.started_ms)
            peer.owned, peer.version = counts.owned, counts.version
            peer.report_ms = now_ms

    def check_silence(self) -> None:
        """Calls `on_peer_lost` for peers that stopped reporting.

        It is called once for each period of silence, and only for peers that
        have reported themselves.
        """
        now_ms = self._clock.now_ms()
        for peer in self._peers.values():
            if not self._is_silent(peer):
                self._silent.discard(peer.host)
            elif peer.host not in self._silent:
                self._silent.add(peer.host)
                if peer.report is not None:
                    age_ms = round(now_ms - peer.report_ms)
                    _log.warning("peer lost", peer=peer.host, age_ms=age_ms)
                    self.on_peer_lost(peer.host)

    def _is_newer(
        self, peer: Peer, report: gateway_messages.GatewayReport
    ) -> bool:
        if report.started_ms == peer.started_ms:
            return report.serial > peer.serial
        return not self._is_outdated(peer, report.started_ms)

    def _is_outdated(self, peer: Peer, started_ms: int) -> bool:
        """Returns whether a message is from an earlier process of the peer.

        If the last known process is silent, an earlier start time means that
        the clock of the host was set back, and the message is current.
        """
        return started_ms < peer.started_ms and not self._is_silent(peer)

    def _is_silent(self, peer: Peer) -> bool:
        return self._clock.now_ms() - peer.report_ms > REPORT_TIMEOUT_MS
