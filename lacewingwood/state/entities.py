"""What the shared state consists of, beside the records' own data."""

import enum
import operator

import msgspec

from lacewingwood.state import records

Entity = tuple[str, str]

# Kind of the entity that a change is about and where its name is.
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
    """What a record did to the view."""

    APPLIED = "applied"
    VOID = "void"
    REPEAT = "repeat"
    UNKNOWN = "unknown"
    BAD = "bad"


class Key(msgspec.Struct):
    """A key as it is known by its digest."""

    key_id: str
    customer: str
    withdrawn: bool = False


class Lease(msgspec.Struct):
    """The last claim of a lease.

    Attributes:
        name: Name of the lease.
        holder: Node id of the last claimant, empty once it let go.
        epoch: Offset of the claim, the fencing number.
        region: Region of the holder.
        waits_on: Regions in which an earlier holder may still be at work. The
            claim takes effect only after a wait for each of them; empty if it
            is effective at once.
        prior: Offset of the last change to this lease before the claim, -1 if
            nobody ever claimed it before.
    """

    name: str
    holder: str
    epoch: int
    region: str = ""
    waits_on: tuple[str, ...] = ()
    prior: int = -1

    @property
    def is_first_claim(self) -> bool:
        """Whether nobody ever claimed this lease before."""
        return self.prior < 0


class JobState(msgspec.Struct):
    """A job and how far it is.

    Attributes:
        job: The job as accepted.
        status: `accepted`, `cancelled` or `finished`.
        cancelled_ms: Wall-clock time of the cancellation, or None.
        finished_ms: Wall-clock time at which its last item ended, or None.
        completed: Items with a result, once finished.
        failed: Items that ended as failed, once finished.
    """

    job: records.Job
    status: str = "accepted"
    cancelled_ms: int | None = None
    finished_ms: int | None = None
    completed: int = 0
    failed: int = 0

    def ended_ms(self) -> int | None:
        """Returns the wall-clock time of its last change, None if it runs."""
        if self.finished_ms is not None:
            return self.finished_ms
        return self.cancelled_ms


class Seen(msgspec.Struct, frozen=True):
    """Where a record was first seen and what it did there."""

    offset: int
    outcome: Outcome


def entity(body: records.Body) -> Entity:
    """Returns kind and name of what a change is about."""
    kind, path = _ENTITIES[type(body)]
    return kind, operator.attrgetter(path)(body)
