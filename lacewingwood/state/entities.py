"""Types of the shared state beside those in `records`."""

import enum
import operator

import msgspec

from lacewingwood.state import records

Entity = tuple[str, str]

# Kind of the entity that a record changes, and the attribute with its name.
_ENTITIES = {
    records.CustomerPut: ("customer", "customer.name"),
    records.CustomerDeleted: ("customer", "name"),
    records.KeyPut: ("key", "key_id"),
    records.KeyWithdrawn: ("key", "key_id"),
    records.RoutePut: ("route", "route.name"),
    records.RouteDeleted: ("route", "name"),
    records.ModelPut: ("model", "model.name"),
    records.ModelDeleted: ("model", "name"),
    records.MemberJoined: ("member", "member.node_id"),
    records.MemberLeft: ("member", "node_id"),
    records.LeaseClaimed: ("lease", "name"),
    records.LeaseReleased: ("lease", "name"),
    records.JobAccepted: ("job", "job.job_id"),
    records.JobCancelled: ("job", "job_id"),
    records.JobFinished: ("job", "job_id"),
    records.Snapshot: ("snapshot", "snapshot_id"),
}


class Outcome(enum.Enum):
    """Effect of a record on the view.

    Attributes:
        APPLIED: The record changed the view.
        VOID: The record conflicts with an earlier one and has no effect.
        REPEAT: The record was read before.
        UNKNOWN: The record's type or schema version is not known here.
        BAD: The bytes are not a record.
    """

    APPLIED = "applied"
    VOID = "void"
    REPEAT = "repeat"
    UNKNOWN = "unknown"
    BAD = "bad"


class Key(msgspec.Struct):
    """A customer's key, found by its digest."""

    key_id: str
    customer: str
    withdrawn: bool = False


class Lease(msgspec.Struct):
    """The last claim of a lease.

    Attributes:
        name: Name of the lease.
        holder: Node id of the last claimant, empty after its release.
        epoch: Offset of the claim, the fencing number.
        region: Region of the holder.
        waits_on: Regions in which an earlier holder may still use the lease.
            The claim takes effect only after a wait for each of them; empty if
            it takes effect at once.
        prior: Offset of the last change to this lease before the claim, -1 if
            it was never claimed before.
    """

    name: str
    holder: str
    epoch: int
    region: str = ""
    waits_on: tuple[str, ...] = ()
    prior: int = -1

    @property
    def is_first_claim(self) -> bool:
        """Whether this lease was never claimed before."""
        return self.prior < 0


class JobState(msgspec.Struct):
    """A job and its status.

    Attributes:
        job: The job as accepted.
        status: `accepted`, `cancelled` or `finished`.
        cancelled_ms: Wall-clock time of the cancellation, or None.
        finished_ms: Wall-clock time at which its last item ended, or None.
        completed: Number of items with a result, set when finished.
        failed: Number of items that failed, set when finished.
    """

    job: records.Job
    status: str = "accepted"
    cancelled_ms: int | None = None
    finished_ms: int | None = None
    completed: int = 0
    failed: int = 0

    def ended_ms(self) -> int | None:
        """Returns when it finished, otherwise when it was cancelled."""
        if self.finished_ms is not None:
            return self.finished_ms
        return self.cancelled_ms


class RecordResult(msgspec.Struct, frozen=True):
    """Offset at which a record was first read, and its effect there."""

    offset: int
    outcome: Outcome


def entity(body: records.Body) -> Entity:
    """Returns kind and name of the entity that a change is about."""
    kind, path = _ENTITIES[type(body)]
    return kind, operator.attrgetter(path)(body)
