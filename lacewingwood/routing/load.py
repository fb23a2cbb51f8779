"""Load of each replica, from this gateway's requests and its peers' reports."""

import dataclasses
import enum
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import structlog

from lacewingwood.limits import replica_limits
from lacewingwood.peers import gateway_messages
from lacewingwood.routing import directory
from lacewingwood.routing import origins
from lacewingwood.routing import outliers
from lacewingwood.routing import peer_reports
from lacewingwood.routing import speeds as speeds_lib
from lacewingwood.upstreams import runs

# A replica's own count of its requests is used for this long; later on, it no
# longer tells what other gateways run there.
_SELF_REPORT_TTL_MS = 300.0
# Pause of a replica after a failure, doubled with each failure in a row.
_PAUSE_MS = 500.0
_MAX_PAUSE_MS = 8_000.0
_MAX_DOUBLINGS = 4
# A replica fails from this many requests in a row on that others answered
# sooner. One is chance; without a limit, a replica that is always slow would go
# on to get requests, since their runs are cancelled and have no outcome.
_OUTRUNS_TO_FAIL = 2
# Pause of a replica after it refused a request because it is full.
_REFUSAL_PAUSE_MS = 60.0
# Peers are told for this long of a replica that leaves. It is remembered for
# longer than a replica takes to leave.
_LEAVING_REPORT_MS = 3_000.0
_LEAVING_RETENTION_MS = 600_000.0


class WorkKind(enum.Enum):
    """Kind of work that occupies a replica's slot."""

    ONLINE = 0
    BATCH = 1


Counts = peer_reports.Counts

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class Replica:
    """One replica and its load.

    Attributes:
        listing: Its entry on the platform's list.
        own_counts: Requests in flight from this gateway: online, batch.
        peer_counts: Requests in flight from all other gateways, by their
            reports: online, batch.
        self_reported_others: Requests in flight from other gateways, by the
            replica's own count.
        self_reported_ms: When the replica last reported its count.
        failures: Consecutive failures of this gateway's requests.
        outruns: Requests of this gateway in a row that second attempts at other
            replicas answered sooner.
        paused_until_ms: Before this time it is used only if no other replica
            can be.
        last_standing: Its standing at the last call of `Fleet.log_standings`.
        last_unusual: True if its lasting speed was not as usual then.
        said_leaving: True if a response of it told that it takes no new work.
        evacuated: True while the operator evacuates its zone.
        version_pending: True until the log knows its software version; used
            only if no other replica can be.
        outcomes: Recent outcomes of this gateway's requests.
        zone_outcomes: Recent outcomes reported by other gateways of this zone.
        other_zone_outcomes: Recent outcomes reported by gateways of other
            zones.
        speed: How fast it works.
    """

    listing: directory.Listing
    own_counts: list[int] = dataclasses.field(default_factory=lambda: [0, 0])
    peer_counts: list[int] = dataclasses.field(default_factory=lambda: [0, 0])
    self_reported_others: int = 0
    self_reported_ms: float = float("-inf")
    failures: int = 0
    outruns: int = 0
    paused_until_ms: float = 0.0
    last_standing: outliers.Standing = outliers.Standing.SOUND
    last_unusual: bool = False
    said_leaving: bool = False
    evacuated: bool = False
    version_pending: bool = False
    outcomes: outliers.Outcomes = dataclasses.field(
        default_factory=outliers.Outcomes
    )
    zone_outcomes: list[int] = dataclasses.field(default_factory=lambda: [0, 0])
    other_zone_outcomes: list[int] = dataclasses.field(
        default_factory=lambda: [0, 0]
    )
    speed: speeds_lib.Speed = dataclasses.field(
        default_factory=speeds_lib.Speed
    )

    @property
    def leaving(self) -> bool:
        """True if it takes no new work, by its entry or its own responses."""
        return self.listing.leaving or self.said_leaving

    @property
    def takes_work(self) -> bool:
        """True if new requests may be sent to it."""
        return not (self.leaving or self.evacuated)

    @property
    def slots(self) -> int:
        """Number of requests that it runs concurrently."""
        return self.listing.slots

    def slowness(self, now_ms: float) -> float:
        """Returns how long work takes there now, 1.0 as usual."""
        return self.speed.slowness(now_ms)

    def online(self) -> int:
        """Returns the number of online requests in flight."""
        return self.own_counts[0] + self.peer_counts[0]

    def batch(self) -> int:
        """Returns the number of batch items in flight."""
        return self.own_counts[1] + self.peer_counts[1]

    def in_flight(self, now_ms: float) -> int:
        """Returns the number of requests in flight.

        Uses the higher of the peers' reports and the replica's own count.
        """
        others = self.peer_counts[0] + self.peer_counts[1]
        if self._has_fresh_report(now_ms):
            others = max(others, self.self_reported_others)
        return self.own_counts[0] + self.own_counts[1] + others

    def min_in_flight(self, now_ms: float) -> int:
        """Returns the requests certain to be in flight if reports are stale.

        Uses the replica's own count if it is recent. Otherwise leaves out the
        peers' batch items, which start and end faster than they are reported.
        """
        others = (
            self.self_reported_others
            if self._has_fresh_report(now_ms)
            else self.peer_counts[0]
        )
        return self.own_counts[0] + self.own_counts[1] + others

    def _has_fresh_report(self, now_ms: float) -> bool:
        return now_ms - self.self_reported_ms < _SELF_REPORT_TTL_MS

    def note_reported_load(self, count: int, now_ms: float) -> None:
        """Records how many requests the replica reports in flight."""
        self.self_reported_others = max(
            0, count - self.own_counts[0] - self.own_counts[1]
        )
        self.self_reported_ms = now_ms

    def standing(self, now_ms: float) -> outliers.Standing:
        """Returns its standing by the recent outcomes of requests there.

        A replica may fail only the gateways of one zone, so this zone's
        outcomes are also classified on their own.
        """
        if self.paused_until_ms > now_ms:
            return outliers.Standing.DEAD
        succeeded, failed = self.outcomes.counts(now_ms)
        zone_counts = (
            succeeded + self.zone_outcomes[0],
            failed + self.zone_outcomes[1],
        )
        all_counts = (
            zone_counts[0] + self.other_zone_outcomes[0],
            zone_counts[1] + self.other_zone_outcomes[1],
        )
        return max(
            outliers.classify(zone_counts), outliers.classify(all_counts)
        )

    def note_success(self, now_ms: float) -> None:
        """Records a successful request and ends a pause."""
        self.failures = 0
        self.outruns = 0
        self.paused_until_ms = 0.0
        self.outcomes.note(failed=False, now_ms=now_ms)

    def note_failure(self, now_ms: float) -> None:
        """Records a failed request and pauses the replica."""
        self.outcomes.note(failed=True, now_ms=now_ms)
        doublings = min(self.failures, _MAX_DOUBLINGS)
        pause_ms = min(_PAUSE_MS * 2**doublings, _MAX_PAUSE_MS)
        self.failures += 1
        self.paused_until_ms = now_ms + pause_ms

    def note_outrun(self, now_ms: float) -> bool:
        """Records a request that another replica answered sooner.

        Returns:
            True if that counts as a failure, since it has happened repeatedly
            without a success.
        """
        self.outruns += 1
        if self.outruns < _OUTRUNS_TO_FAIL:
            self.outcomes.note_outrun(now_ms)
            return False
        self.note_failure(now_ms)
        return True

    def note_full(self, now_ms: float) -> None:
        """Pauses the replica after it refused a request because it is full."""
        self.paused_until_ms = max(
            self.paused_until_ms, now_ms + _REFUSAL_PAUSE_MS
        )


class Fleet:
    """All replicas with their load.

    Attributes:
        directory: Directory that provides the listings.
        limits: Rates at which replicas take requests.
        speeds: How fast the replicas work.
        evacuated: Zones to whose replicas nothing more is sent.
        on_replicas: Called with all replicas when one was added, removed or
            listed anew.
    """

    __slots__ = (
        "_by_service",
        "_leaving",
        "_replicas",
        "_reports",
        "directory",
        "evacuated",
        "limits",
        "on_replicas",
        "speeds",
    )

    def __init__(self) -> None:
        self.on_replicas: Callable[[Iterable[Replica]], None]
        self.on_replicas = lambda replicas: None
        self.directory = directory.Directory()
        self.limits = replica_limits.ReplicaLimits()
        self.speeds = speeds_lib.Speeds()
        self.evacuated: frozenset[str] = frozenset()
        self._replicas: dict[str, Replica] = {}
        # When the replicas, by incarnation, said that they leave. Kept while
        # they are not listed, since an entry may lapse and come back.
        self._leaving: dict[str, float] = {}
        self._by_service: dict[str, list[Replica]] = {}
        self._reports = peer_reports.PeerReports()

    def refresh(self) -> None:
        """Updates the replicas from the directory."""
        listed = {x.id: x for x in self.directory.replicas()}
        for replica_id in [i for i in self._replicas if i not in listed]:
            del self._replicas[replica_id]
            self.speeds.forget(replica_id)
        for replica_id, listing in listed.items():
            replica = self._replicas.get(replica_id)
            if replica is None or _restarted(replica.listing, listing):
                self.speeds.forget(replica_id)
                speed = self.speeds.of(replica_id, listing.service)
                replica = Replica(listing, speed=speed)
                self._replicas[replica_id] = replica
                self._reports.apply_to(replica_id, replica)
            replica.listing = listing
            replica.evacuated = listing.zone in self.evacuated
        self._mark_leaving()
        self._by_service = {}
        for replica in self._replicas.values():
            service = replica.listing.service
            self._by_service.setdefault(service, []).append(replica)
        self.on_replicas(self._replicas.values())

    def evacuate(self, zones: frozenset[str], now_ms: float) -> None:
        """Sets the evacuated zones; load returns gradually to the others."""
        returned = self.evacuated - zones
        self.evacuated = zones
        for replica in self._replicas.values():
            replica.evacuated = replica.listing.zone in zones
        self.limits.note_returned(
            [
                replica.listing
                for replica in self._replicas.values()
                if replica.listing.zone in returned
            ],
            now_ms,
        )

    def is_evacuated(self, service: str) -> bool:
        """Returns whether an evacuation leaves a service without replicas."""
        replicas = self.of_service(service)
        return any(r.evacuated for r in replicas) and not any(
            r.takes_work for r in replicas
        )

    def get(self, replica_id: str) -> Replica | None:
        """Returns a replica, or None if it is not listed."""
        return self._replicas.get(replica_id)

    def of_service(self, service: str) -> list[Replica]:
        """Returns all replicas of a service, leaving ones included."""
        return self._by_service.get(service, [])

    def all(self) -> Iterable[Replica]:
        """Returns all replicas."""
        return self._replicas.values()

    def note_notice(
        self, replica: Replica, notice: runs.Notice, now_ms: float
    ) -> None:
        """Records what a replica says of itself with a response."""
        if notice.in_flight >= 0:
            replica.note_reported_load(notice.in_flight, now_ms)
        if notice.slowness is not None:
            replica.speed.note_figure(notice.slowness, now_ms)
        incarnation = replica.listing.incarnation
        self.limits.note_response(incarnation, notice.rate_limit, now_ms)
        if notice.leaving and incarnation not in self._leaving:
            self._leaving[incarnation] = now_ms
            _log.info(
                "replica leaving", replica=replica.listing.id, source="response"
            )
            self._mark_leaving()

    def note_leaving(self, incarnations: Iterable[str], now_ms: float) -> None:
        """Records replicas that told peers that they take no new work."""
        for incarnation in incarnations:
            if incarnation not in self._leaving:
                # Not reported again: the peer reports it itself.
                self._leaving[incarnation] = now_ms - _LEAVING_REPORT_MS
                _log.info("replica leaving", replica=incarnation, source="peer")
                self._mark_leaving()

    def recently_leaving(self, now_ms: float) -> list[str]:
        """Returns replicas that told this gateway lately that they leave."""
        return [
            incarnation
            for incarnation, at_ms in self._leaving.items()
            if now_ms - at_ms < _LEAVING_REPORT_MS
        ]

    def own_counts(self) -> dict[str, Counts]:
        """Returns this gateway's requests in flight, to report to its peers."""
        return {
            replica_id: (replica.own_counts[0], replica.own_counts[1])
            for replica_id, replica in self._replicas.items()
            if replica.own_counts[0] or replica.own_counts[1]
        }

    def log_standings(self, now_ms: float) -> None:
        """Logs each change of a replica's standing or lasting speed."""
        for replica in self._replicas.values():
            unusual = replica.speed.is_unusual(now_ms)
            if unusual is not replica.last_unusual:
                replica.last_unusual = unusual
                _log.info(
                    "replica speed",
                    replica=replica.listing.id,
                    unusual=unusual,
                    **replica.speed.describe(now_ms),
                )
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
        """Returns recent outcomes of this gateway, to report to its peers."""
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
        speeds: Mapping[str, gateway_messages.ReplicaSpeed] | None = None,
    ) -> None:
        """Applies the report of one peer, or of all peers of another zone.

        Args:
            node: Identity of the peer or zone, whose earlier report is
                replaced.
            counts: Their requests in flight at each replica.
            now_ms: Current time.
            outcomes: Recent outcomes of their requests at each replica.
            same_zone: True for peers of this zone.
            speeds: What their runs tell of each replica's speed.
        """
        before = self._reports.get(node)
        self.speeds.note_report(
            node, speeds or {}, before.speeds if before else (), now_ms
        )
        report = peer_reports.Report(
            now_ms, counts, outcomes or {}, same_zone, speeds or {}
        )
        self._reports.replace(node, report, self._replicas)

    def expire(self, now_ms: float) -> None:
        """Drops reports and limits that have not been renewed in time."""
        self.limits.expire(now_ms)
        for incarnation, at_ms in list(self._leaving.items()):
            if now_ms - at_ms > _LEAVING_RETENTION_MS:
                del self._leaving[incarnation]
        self._reports.expire(now_ms, self._replicas)

    def _mark_leaving(self) -> None:
        for replica in self._replicas.values():
            if replica.listing.incarnation in self._leaving:
                replica.said_leaving = True

    def forget(self, node: str) -> None:
        """Drops the report of a peer that has stopped.

        What its runs told of replicas' speeds fades by itself.
        """
        self._reports.forget(node, self._replicas)


def origin_of(replica: Replica) -> origins.Origin:
    """Returns the service and the software version of a replica."""
    return origins.Origin(replica.listing.service, replica.listing.version)


def _restarted(old: directory.Listing, new: directory.Listing) -> bool:
    return old.started_ms != new.started_ms or old.address != new.address
