"""The gateways that a gateway knows of, and what they last told."""

import dataclasses
from collections.abc import Callable
from collections.abc import Iterable

import structlog

from lacewingwood import clock as clocks
from lacewingwood.peers import gateway_messages

# A gateway whose entry on the log was not renewed for this long is gone.
ENTRY_TTL_MS = 9_000.0
# A peer that has not reported for this long is taken to be cut off or dead.
REPORT_TIMEOUT_MS = 1_500.0
# A log that answered this long ago is reached; reads wait up to a second.
_LOG_FRESH_MS = 1_600.0

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class Peer:
    """Another gateway.

    Attributes:
        host: Its host.
        address: Where it takes messages of other gateways.
        zone: Its zone, empty while only reports are known.
        started_ms: Unix time of its start.
        serial: Number of its last report in this process.
        entry_ms: When its entry was last seen to change.
        report_ms: When its last report came.
        report: Its last report, None before the first.
        owned: Job partitions that it owns, with their epochs.
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
        """Notes another process, whose reports count from one again."""
        self.started_ms, self.serial = started_ms, 0


class Roster:
    """All other gateways.

    Attributes:
        host: This gateway's host.
        zone: Its zone.
        on_peer_lost: Called with the host of a peer that has gone silent.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        clock: clocks.Clock,
        log_age_ms: Callable[[], float],
    ) -> None:
        """Makes an empty roster.

        Args:
            host: This gateway's host.
            zone: Its zone.
            clock: Source of time.
            log_age_ms: Returns the time since the log answered this gateway.
        """
        self.on_peer_lost: Callable[[str], None] = lambda host: None
        self.host = host
        self.zone = zone
        self._clock = clock
        self._log_age_ms = log_age_ms
        self._peers: dict[str, Peer] = {}
        self._silent: set[str] = set()

    def __len__(self) -> int:
        """Returns the number of gateways that were ever known."""
        return len(self._peers)

    def get(self, host: str) -> Peer | None:
        """Returns a gateway, or None if it is not known."""
        return self._peers.get(host)

    def live_peers(self) -> list[Peer]:
        """Returns the peers that have reported lately."""
        limit_ms = self._clock.now_ms() - REPORT_TIMEOUT_MS
        return [p for p in self._peers.values() if p.report_ms >= limit_ms]

    def expected_peers(self) -> list[Peer]:
        """Returns the peers that should be there."""
        limit_ms = self._clock.now_ms() - ENTRY_TTL_MS
        return [
            peer
            for peer in self._peers.values()
            if max(peer.entry_ms, peer.report_ms) >= limit_ms
        ]

    def is_in_zone(self, host: str) -> bool:
        """Returns whether a gateway is in this zone."""
        peer = self._peers.get(host)
        return peer is not None and self.shares_zone(peer)

    def shares_zone(self, peer: Peer) -> bool:
        """Returns whether a peer is, or may be, in this zone."""
        return peer.zone in ("", self.zone)

    def reachable_share(self) -> float:
        """Returns this part's share of all gateways that should be there."""
        heard = len(self.live_peers()) + 1
        limit_ms = self._clock.now_ms() - ENTRY_TTL_MS
        silence_ms = self._clock.now_ms() - REPORT_TIMEOUT_MS
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
        for peer in self.live_peers():
            epoch = peer.owned.get(partition)
            if epoch is not None and (best is None or epoch > best[1]):
                best = peer.address, epoch
        return best

    def peers_reaching_log(self) -> list[str]:
        """Returns addresses of peers that the log answered lately."""
        return [
            peer.address
            for peer in self.live_peers()
            if peer.report is not None
            and peer.report.log_age_ms < _LOG_FRESH_MS
        ]

    def log_lost(self) -> bool:
        """Returns whether the log has not answered this gateway lately."""
        return self._log_age_ms() >= _LOG_FRESH_MS

    def isolated(self) -> bool:
        """Returns whether other gateways are known but none is heard."""
        return bool(self._peers) and not self.live_peers()

    def batch_rank(self) -> tuple[int, int]:
        """Returns this gateway's place among those with waiting batch items.

        That is its position in their order and their number.
        """
        hosts = [
            peer.host
            for peer in self.live_peers()
            if peer.report is not None and peer.report.waiting
        ]
        return sum(host < self.host for host in hosts), len(hosts) + 1

    def addresses(self) -> list[str]:
        """Returns peers to ask, those heard lately first."""
        heard = [peer.address for peer in self.live_peers()]
        known = [peer.address for peer in self._peers.values()]
        return list(dict.fromkeys([*heard, *known]))

    def note_entry(
        self, host: str, address: str, zone: str, started_ms: int
    ) -> bool:
        """Takes over an entry of the log; returns whether it is a new peer."""
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
        """Notes that a gateway's entry was removed."""
        if peer := self._peers.get(host):
            peer.entry_ms = float("-inf")

    def note_report(self, report: gateway_messages.GatewayReport) -> bool:
        """Takes over a report; returns False if it is none of news."""
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
        """Takes over what another zone's digest tells of its gateways."""
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
        """Notes which peers have gone silent since the last check."""
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
        """Returns whether a message is of a process that ran there before.

        An earlier start than that of a silent one means a clock set back.
        """
        return started_ms < peer.started_ms and not self._is_silent(peer)

    def _is_silent(self, peer: Peer) -> bool:
        return self._clock.now_ms() - peer.report_ms > REPORT_TIMEOUT_MS
