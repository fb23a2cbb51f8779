"""What this entry knows of each replica."""

import dataclasses
import random
from collections.abc import Iterable

from lacewingwood.hostlist import types as host_types
from lacewingwood.peers import messages
from lacewingwood.upstreams import types as upstream_types

# Used until an engine's first load report has come.
_DEFAULT_SLOTS = 8
_DEFAULT_STEP_MS = 30.0
# Weight of the newest value in moving averages; about the last ten count.
_SMOOTHING = 0.2
# A holder that has not spoken for this long no longer counts batch correctly.
_HOLDER_REPORT_TTL_MS = 5000.0


@dataclasses.dataclass(slots=True)
class Replica:
    """One engine.

    Attributes:
        id: Identity on the host list.
        address: `host:port`.
        service: Service it belongs to.
        zone: Its availability zone.
        leaving: True once any source has said that it leaves.
        own: Requests in flight from this entry.
        slots: Requests it can generate at once.
        step_ms: Duration of one engine step.
        waiting: Requests queued in the engine by its load report.
        others: Requests of other entries by the room holder's last word.
        batch: Batch items by the room holder's last word.
        word_serial: Serial of that word, -1 before the first.
        word_ms: When that word came.
        versions: Model versions that are loaded; empty if not known.
        boot_id: Changes with each start of the engine.
        first_token_ms: Moving average of times to the first token, 0 if none.
        failures: Failures since the last success.
        ejected_until_ms: No ordinary request before this time.
        probing: True while one request tries it out after an ejection.
        refusing_until_ms: Full before this time by its own word.
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
    holder_serial: int = -1
    holder_report_ms: float = -_HOLDER_REPORT_TTL_MS
    versions: dict[str, str] = dataclasses.field(default_factory=dict)
    boot_id: str = ""
    first_token_ms: float = 0.0
    failures: int = 0
    ejected_until_ms: float = 0.0
    probing: bool = False
    refusing_until_ms: float = 0.0

    def online(self, now_ms: float) -> int:
        """Returns the online requests that it is thought to hold."""
        if now_ms - self.holder_report_ms > _HOLDER_REPORT_TTL_MS:
            return self.own_in_flight
        return self.own_in_flight + self.others_in_flight

    def has_room(self, now_ms: float) -> bool:
        """Tells whether one more request would start at once.

        Before the first load report its slots are not known and it is taken
        to have room.
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
        ejected: Replicas out of choice for failures or slowness, by id.
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
        """Takes over the host list; replicas that are off it are dropped.

        A replica that was seen leaving stays so while the list, which lags,
        shows it as live at the same address.
        """
        listed = {h.id: h for h in hosts if h.kind == self._kind}
        for gone in self._by_id.keys() - listed.keys():
            del self._by_id[gone]
            self.ejected.pop(gone, None)
        for host in listed.values():
            self._update_host(host)
        self._group()

    def apply_holder_report(
        self, word: messages.ReplicaWord, now_ms: float
    ) -> None:
        """Takes over what a room holder says, unless it is out of order."""
        replica = self._by_id.get(word.replica)
        if replica is None or word.serial <= replica.holder_serial:
            return
        replica.holder_serial = word.serial
        replica.holder_report_ms = now_ms
        replica.others_in_flight = max(0, word.online - replica.own_in_flight)
        replica.batch = word.batch
        replica.waiting = word.waiting
        if word.leaving:
            self.mark_leaving(replica.id)

    def reset_holder_serial(self, replica_id: str) -> None:
        """Forgets a holder's word, whose serials its successor restarts."""
        replica = self._by_id.get(replica_id)
        if replica is not None:
            replica.holder_serial = -1

    def apply_load(
        self, replica_id: str, report: upstream_types.LoadReport
    ) -> None:
        """Takes over an engine's load report."""
        replica = self._by_id.get(replica_id)
        if replica is None:
            return
        replica.slots = max(1, report.slots)
        replica.step_ms = report.step_ms or replica.step_ms
        replica.waiting = report.waiting
        replica.versions = report.versions
        if replica.boot_id and replica.boot_id != report.boot_id:
            self._restarted(replica)
        replica.boot_id = report.boot_id
        if report.leaving:
            self.mark_leaving(replica_id)

    def mark_leaving(self, replica_id: str) -> None:
        """Takes a replica out of choice."""
        replica = self._by_id.get(replica_id)
        if replica is None or replica.leaving:
            return
        replica.leaving = True
        self._group()

    def eject(self, replica: Replica, until_ms: float) -> None:
        """Takes a replica out of choice until it has been probed."""
        replica.ejected_until_ms = until_ms
        if self._by_id.get(replica.id) is replica:
            self.ejected[replica.id] = replica

    def readmit(self, replica: Replica) -> None:
        """Takes a replica back into choice with a clean record."""
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

    def _restarted(self, replica: Replica) -> None:
        replica.leaving = False
        self.readmit(replica)
        self._group()

    def _group(self) -> None:
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
