"""State of each replica as this entry knows it."""

import dataclasses
import random
from collections.abc import Iterable

from lacewingwood.hostlist import types as host_types
from lacewingwood.peers import messages
from lacewingwood.upstreams import types as upstream_types

# Used until an engine's first load report arrives.
_DEFAULT_SLOTS = 8
_DEFAULT_STEP_MS = 30.0
# Weight of the newest value in moving averages, which thus cover about the last
# ten values.
_SMOOTHING = 0.2
# A lease holder that has sent no report for this long no longer counts batch
# items correctly.
_HOLDER_REPORT_TTL_MS = 5000.0


@dataclasses.dataclass(slots=True)
class Replica:
    """One engine.

    Attributes:
        id: Identity on the host list.
        address: `host:port`.
        service: Service that the engine belongs to.
        zone: Availability zone.
        leaving: True once any source has reported that it is leaving.
        own_in_flight: Requests in flight from this entry.
        slots: Number of requests that it can generate concurrently.
        step_ms: Duration of one engine step.
        waiting: Requests queued in the engine by its load report.
        others_in_flight: Requests in flight from other entries, by the last
            report of the worker that holds the replica's lease.
        batch: Batch items in flight, by that report.
        holder_serial: Epoch and serial of that report; a later holder has a
            greater epoch.
        holder_report_ms: When that report arrived.
        versions: Model versions that are loaded; empty if not known.
        boot_id: Changes with each start of the engine.
        first_token_ms: Moving average of times to the first token, 0 if none.
        failures: Consecutive failures.
        ejected_until_ms: Nonzero while ejected; then the time from which it may
            be probed.
        probing: True while a request probes it after an ejection.
        refusing_until_ms: Regarded as full before this time, as it refused a
            request.
    """

    id: str
    address: str
    service: str
    zone: str
    leaving: bool = False
    own_in_flight: int = 0
    slots: int = _DEFAULT_SLOTS
    step_ms: float = _DEFAULT_STEP_MS
    waiting: int = 0
    others_in_flight: int = 0
    batch: int = 0
    holder_serial: tuple[int, int] = (-1, -1)
    holder_report_ms: float = -_HOLDER_REPORT_TTL_MS
    versions: dict[str, str] = dataclasses.field(default_factory=dict)
    boot_id: str = ""
    first_token_ms: float = 0.0
    failures: int = 0
    ejected_until_ms: float = 0.0
    probing: bool = False
    refusing_until_ms: float = 0.0

    def online(self, now_ms: float) -> int:
        """Returns the estimated number of online requests in flight."""
        if now_ms - self.holder_report_ms > _HOLDER_REPORT_TTL_MS:
            return self.own_in_flight
        return self.own_in_flight + self.others_in_flight

    def has_room(self, now_ms: float) -> bool:
        """Returns whether one more request would start without queueing.

        Before the first load report its slots are not known, and it is assumed
        to have a free one.
        """
        if self.refusing_until_ms > now_ms:
            return False
        return not self.boot_id or self.online(now_ms) < self.slots

    def note_first_token(self, duration_ms: float) -> None:
        """Adds one time to the first token."""
        if not self.first_token_ms:
            self.first_token_ms = duration_ms
            return
        change = duration_ms - self.first_token_ms
        self.first_token_ms += _SMOOTHING * change


class Fleet:
    """All replicas, or upstreams of another kind, by id and by service.

    Attributes:
        ejected: Replicas ejected for failures or slowness, by id.
    """

    __slots__ = ("_by_id", "_by_service", "_kind", "ejected")

    def __init__(self, kind: str = "engine") -> None:
        self._kind = kind
        self.ejected: dict[str, Replica] = {}
        self._by_id: dict[str, Replica] = {}
        self._by_service: dict[str, list[Replica]] = {}

    def get(self, replica_id: str) -> Replica | None:
        """Returns a replica, or None if it is not known."""
        return self._by_id.get(replica_id)

    def all(self) -> list[Replica]:
        """Returns all replicas that are known."""
        return list(self._by_id.values())

    def of_service(self, service: str) -> list[Replica]:
        """Returns the replicas of a service that are not leaving."""
        return self._by_service.get(service, [])

    def update_hosts(self, hosts: Iterable[host_types.Host]) -> None:
        """Applies the host list; replicas that are no longer on it are dropped.

        A replica once reported as leaving remains so even if the list, which
        lags, still shows it as live at the same address.
        """
        listed = {h.id: h for h in hosts if h.kind == self._kind}
        for unlisted in self._by_id.keys() - listed.keys():
            del self._by_id[unlisted]
            self.ejected.pop(unlisted, None)
        for host in listed.values():
            self._update_host(host)
        self._group_by_service()

    def apply_holder_report(
        self, report: messages.ReplicaWord, now_ms: float
    ) -> None:
        """Applies a report of a replica's lease holder unless out of order."""
        replica = self._by_id.get(report.replica)
        if replica is None:
            return
        serial = report.epoch, report.serial
        if serial <= replica.holder_serial:
            return
        replica.holder_serial = serial
        replica.holder_report_ms = now_ms
        replica.others_in_flight = max(0, report.online - replica.own_in_flight)
        replica.batch = report.batch
        replica.waiting = report.waiting
        if report.leaving:
            self.mark_leaving(replica.id)

    def apply_load(
        self, replica_id: str, report: upstream_types.LoadReport
    ) -> None:
        """Applies an engine's load report."""
        replica = self._by_id.get(replica_id)
        if replica is None:
            return
        replica.slots = max(1, report.slots)
        replica.step_ms = report.step_ms or replica.step_ms
        replica.waiting = report.waiting
        replica.versions = report.versions
        if replica.boot_id and replica.boot_id != report.boot_id:
            self._note_restart(replica)
        replica.boot_id = report.boot_id
        if report.leaving:
            self.mark_leaving(replica_id)

    def mark_leaving(self, replica_id: str) -> None:
        """Stops routing to a replica that is leaving."""
        replica = self._by_id.get(replica_id)
        if replica is None or replica.leaving:
            return
        replica.leaving = True
        self._group_by_service()

    def eject(self, replica: Replica, until_ms: float) -> None:
        """Ejects a replica; it may be probed from `until_ms` on."""
        replica.ejected_until_ms = until_ms
        if self._by_id.get(replica.id) is replica:
            self.ejected[replica.id] = replica

    def readmit(self, replica: Replica) -> None:
        """Ends a replica's ejection and resets its failure statistics."""
        replica.ejected_until_ms = 0.0
        replica.failures = 0
        replica.first_token_ms = 0.0
        self.ejected.pop(replica.id, None)

    def _update_host(self, host: host_types.Host) -> None:
        known = self._by_id.get(host.id)
        if known is None or known.address != host.address:
            known = Replica(host.id, host.address, host.service, host.zone)
            self._by_id[host.id] = known
            self.ejected.pop(host.id, None)
        known.service = host.service
        known.zone = host.zone
        known.leaving = known.leaving or host.state == "leaving"

    def _note_restart(self, replica: Replica) -> None:
        replica.leaving = False
        self.readmit(replica)
        self._group_by_service()

    def _group_by_service(self) -> None:
        groups: dict[str, list[Replica]] = {}
        for replica in self._by_id.values():
            if not replica.leaving:
                groups.setdefault(replica.service, []).append(replica)
        self._by_service = groups


def sample(
    replicas: list[Replica], count: int, rng: random.Random
) -> list[Replica]:
    """Returns `count` replicas at random, or all if there are no more."""
    if len(replicas) <= count:
        return list(replicas)
    return rng.sample(replicas, count)
