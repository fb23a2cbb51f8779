"""How busy each replica is, from this gateway's work and its peers' reports."""

import dataclasses
import enum
from collections.abc import Iterable
from collections.abc import Mapping

import structlog

from lacewingwood.routing import directory
from lacewingwood.routing import outliers

# A peer that has not reported for this long no longer runs what it reported.
_REPORT_TTL_MS = 2_000.0
# A replica's own figures say what others run there for about this long.
_OWN_FIGURES_TTL_MS = 300.0
# A replica that failed is passed over for this long, doubled each time.
_PAUSE_MS = 500.0
_MAX_PAUSE_MS = 8_000.0
_MAX_DOUBLINGS = 4
# A replica that is full by its own word is passed over for this long.
_FULL_PAUSE_MS = 60.0


class WorkKind(enum.Enum):
    """What occupies a replica's slot."""

    ONLINE = 0
    BATCH = 1


Counts = tuple[int, int]
_NONE: Counts = (0, 0)

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class Replica:
    """One replica and what is known of its load.

    Attributes:
        listing: Its entry on the platform's list.
        own: Requests of this gateway that it holds: online, batch.
        others: The same of all other gateways, by their reports.
        foreign: Requests of others by the replica's own figures.
        foreign_ms: When it gave these figures.
        failures: Failures of this gateway's requests in a row.
        paused_until_ms: Used before this time only if no other can be.
        last_standing: Its standing when `Fleet.log_standings` last looked.
        outcomes: How this gateway's requests ended lately.
        near_outcomes: The same of other gateways in this zone, by report.
        far_outcomes: The same of the other zones' gateways.
    """

    listing: directory.Listing
    own_counts: list[int] = dataclasses.field(default_factory=lambda: [0, 0])
    peer_counts: list[int] = dataclasses.field(default_factory=lambda: [0, 0])
    self_reported_others: int = 0
    self_reported_ms: float = float("-inf")
    failures: int = 0
    paused_until_ms: float = 0.0
    last_standing: outliers.Standing = outliers.Standing.SOUND
    outcomes: outliers.Outcomes = dataclasses.field(
        default_factory=outliers.Outcomes
    )
    zone_outcomes: list[int] = dataclasses.field(default_factory=lambda: [0, 0])
    other_zone_outcomes: list[int] = dataclasses.field(
        default_factory=lambda: [0, 0]
    )

    @property
    def slots(self) -> int:
        """Requests that it runs at once."""
        return self.listing.slots

    def online(self) -> int:
        """Returns the online requests that it holds."""
        return self.own_counts[0] + self.peer_counts[0]

    def batch(self) -> int:
        """Returns the batch items that it holds."""
        return self.own_counts[1] + self.peer_counts[1]

    def in_flight(self, now_ms: float) -> int:
        """Returns the requests that it holds, by the fuller account."""
        others = self.peer_counts[0] + self.peer_counts[1]
        if self._has_fresh_report(now_ms):
            others = max(others, self.self_reported_others)
        return self.own_counts[0] + self.own_counts[1] + others

    def min_in_flight(self, now_ms: float) -> int:
        """Returns the requests that it surely holds if reports are old.

        By its own figures, or without others' batch items: these come and go
        faster than reports of them.
        """
        others = (
            self.self_reported_others
            if self._has_fresh_report(now_ms)
            else self.peer_counts[0]
        )
        return self.own_counts[0] + self.own_counts[1] + others

    def _has_fresh_report(self, now_ms: float) -> bool:
        return now_ms - self.self_reported_ms < _OWN_FIGURES_TTL_MS

    def note_reported_load(self, held: int, now_ms: float) -> None:
        """Takes over the number of requests that the replica says it holds."""
        self.self_reported_others = max(
            0, held - self.own_counts[0] - self.own_counts[1]
        )
        self.self_reported_ms = now_ms

    def standing(self, now_ms: float) -> outliers.Standing:
        """Returns what it may be used for, by what requests met there.

        It may fail the callers of one zone alone, so this zone's outcomes are
        judged by themselves, too.
        """
        if self.paused_until_ms > now_ms:
            return outliers.Standing.DEAD
        good, failed = self.outcomes.counts(now_ms)
        zone = (good + self.zone_outcomes[0], failed + self.zone_outcomes[1])
        all_ = (
            zone[0] + self.other_zone_outcomes[0],
            zone[1] + self.other_zone_outcomes[1],
        )
        return max(outliers.classify(zone), outliers.classify(all_))

    def note_success(self, now_ms: float) -> None:
        """Notes that it answered well."""
        self.failures = 0
        self.paused_until_ms = 0.0
        self.outcomes.note(failed=False, now_ms=now_ms)

    def note_failure(self, now_ms: float) -> None:
        """Notes that it failed a request."""
        self.outcomes.note(failed=True, now_ms=now_ms)
        doublings = min(self.failures, _MAX_DOUBLINGS)
        pause_ms = min(_PAUSE_MS * 2**doublings, _MAX_PAUSE_MS)
        self.failures += 1
        self.paused_until_ms = now_ms + pause_ms

    def note_full(self, now_ms: float) -> None:
        """Notes that it refused a request because it is full."""
        self.paused_until_ms = max(
            self.paused_until_ms, now_ms + _FULL_PAUSE_MS
        )


@dataclasses.dataclass(slots=True)
class _Report:
    at_ms: float
    counts: Mapping[str, Counts]
    outcomes: Mapping[str, outliers.Counts]
    same_zone: bool


class Fleet:
    """All replicas with their load.

    Attributes:
        directory: Where the listings come from.
    """

    __slots__ = ("_by_service", "_replicas", "_reports", "directory")

    def __init__(self) -> None:
        self.directory = directory.Directory()
        self._replicas: dict[str, Replica] = {}
        self._by_service: dict[str, list[Replica]] = {}
        self._reports: dict[str, _Report] = {}

    def refresh(self) -> None:
        """Takes over the directory's present content."""
        listed = {x.id: x for x in self.directory.replicas()}
        for replica_id in [i for i in self._replicas if i not in listed]:
            del self._replicas[replica_id]
        for replica_id, listing in listed.items():
            replica = self._replicas.get(replica_id)
            if replica is None or _restarted(replica.listing, listing):
                replica = self._replicas[replica_id] = Replica(listing)
                self._recount(replica)
            replica.listing = listing
        self._by_service = {}
        for replica in self._replicas.values():
            service = replica.listing.service
            self._by_service.setdefault(service, []).append(replica)

    def get(self, replica_id: str) -> Replica | None:
        """Returns a replica, or None if it is not listed."""
        return self._replicas.get(replica_id)

    def of_service(self, service: str) -> list[Replica]:
        """Returns all replicas of a service, leaving ones included."""
        return self._by_service.get(service, [])

    def all(self) -> Iterable[Replica]:
        """Returns all replicas."""
        return self._replicas.values()

    def own_counts(self) -> dict[str, Counts]:
        """Returns what this gateway runs, for its peers."""
        return {
            replica_id: (replica.own_counts[0], replica.own_counts[1])
            for replica_id, replica in self._replicas.items()
            if replica.own_counts[0] or replica.own_counts[1]
        }

    def log_standings(self, now_ms: float) -> None:
        """Logs which replicas' standing has changed, and by which outcomes."""
        for replica in self._replicas.values():
            standing = replica.standing(now_ms)
            if standing is replica.last_standing:
                continue
            _log.info(
                "replica standing",
                replica=replica.listing.id,
                standing=standing.name.lower(),
                before=replica.last_standing.name.lower(),
                own=replica.outcomes.counts(now_ms),
                near=replica.zone_outcomes,
                far=replica.other_zone_outcomes,
                paused_ms=max(0, round(replica.paused_until_ms - now_ms)),
            )
            replica.last_standing = standing

    def own_outcomes(self, now_ms: float) -> dict[str, outliers.Counts]:
        """Returns how this gateway's requests ended lately, for its peers."""
        counts = {
            replica_id: replica.outcomes.counts(now_ms)
            for replica_id, replica in self._replicas.items()
            if replica.outcomes.at_ms
        }
        return {i: c for i, c in counts.items() if c != outliers.NONE}

    def note_report(
        self,
        node: str,
        counts: Mapping[str, Counts],
        now_ms: float,
        outcomes: Mapping[str, outliers.Counts] | None = None,
        same_zone: bool = True,
    ) -> None:
        """Takes over what a peer, or the peers of a zone, run.

        Args:
            node: Who they are; replaces the report before.
            counts: What they run at each replica.
            now_ms: Present time.
            outcomes: How their requests ended lately at each replica.
            same_zone: True for peers of this zone.
        """
        self.forget(node)
        report = _Report(now_ms, counts, outcomes or {}, same_zone)
        self._reports[node] = report
        self._count(report, 1)

    def expire(self, now_ms: float) -> None:
        """Forgets reports of peers that have been silent for long."""
        limit_ms = now_ms - _REPORT_TTL_MS
        for node in [n for n, r in self._reports.items() if r.at_ms < limit_ms]:
            self.forget(node)

    def forget(self, node: str) -> None:
        """Forgets the report of a peer that has stopped."""
        report = self._reports.pop(node, None)
        if report is not None:
            self._count(report, -1)

    def _count(self, report: _Report, sign: int) -> None:
        for replica_id, counts in report.counts.items():
            if replica := self._replicas.get(replica_id):
                _add(replica.peer_counts, counts, sign)
        for replica_id, outcomes in report.outcomes.items():
            if replica := self._replicas.get(replica_id):
                same = replica.zone_outcomes
                _add(
                    same if report.same_zone else replica.other_zone_outcomes,
                    outcomes,
                    sign,
                )

    def _recount(self, replica: Replica) -> None:
        replica_id = replica.listing.id
        for report in self._reports.values():
            _add(replica.peer_counts, report.counts.get(replica_id, _NONE), 1)
            outcomes = report.outcomes.get(replica_id, outliers.NONE)
            same = replica.zone_outcomes
            _add(
                same if report.same_zone else replica.other_zone_outcomes,
                outcomes,
                1,
            )


def _add(counts: list[int], change: tuple[int, int], sign: int) -> None:
    counts[0] += sign * change[0]
    counts[1] += sign * change[1]


def _restarted(old: directory.Listing, new: directory.Listing) -> bool:
    return old.started_ms != new.started_ms or old.address != new.address
