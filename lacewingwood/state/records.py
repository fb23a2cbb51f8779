"""Records on the stream `control` and their codec."""

import typing
from typing import Any

import msgspec

from lacewingwood.state import errors

SCHEMA_VERSION = 1


class Customer(msgspec.Struct, forbid_unknown_fields=False):
    """A customer and its agreed limits.

    Attributes:
        name: Unique name, which identifies the customer.
        rate: Requests per second over the whole fleet.
        burst: Requests that may arrive at once over the whole fleet.
        weight: Share of the fleet relative to other customers.
    """

    name: str
    rate: float
    burst: int
    weight: float = 1.0


class CustomerPut(msgspec.Struct, tag="customer_put"):
    """Creates or changes a customer."""

    customer: Customer


class CustomerDeleted(msgspec.Struct, tag="customer_deleted"):
    """Removes a customer, its keys included."""

    name: str


class KeyPut(msgspec.Struct, tag="key_put"):
    """Assigns a key to a customer.

    Attributes:
        key_id: Public name of the key, never reused; a withdrawn key's id and
            digest are never valid again.
        digest: SHA-256 of the secret, hexadecimal.
        customer: Name of the customer.
    """

    key_id: str
    digest: str
    customer: str


class KeyWithdrawn(msgspec.Struct, tag="key_withdrawn"):
    """Withdraws a key permanently."""

    key_id: str


class Route(msgspec.Struct):
    """A route from a path prefix and host to a service.

    Attributes:
        name: Unique name.
        prefix: Path prefix, starting with a slash.
        service: Service whose upstreams serve the requests.
        host: Host header to match, or an empty string for any.
        open: True if no key is required.
        idempotent_methods: Methods whose requests may be retried.
        timeout_ms: Time limit for the first byte of an upstream's response.
    """

    name: str
    prefix: str
    service: str
    host: str = ""
    open: bool = False
    idempotent_methods: list[str] = msgspec.field(
        default_factory=lambda: ["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]
    )
    timeout_ms: int = 30_000


class RoutePut(msgspec.Struct, tag="route_put"):
    """Creates or changes a route to a plain service."""

    route: Route


class RouteDeleted(msgspec.Struct, tag="route_deleted"):
    """Removes a route."""

    name: str


class Model(msgspec.Struct):
    """A model that callers may request.

    Attributes:
        name: Name in callers' requests.
        service: Service whose replicas run it.
        version: Version that replicas should have loaded.
        artifact: Name of its weights in the weight store.
        min_ready: Minimum number of replicas that serve during a rollout.
    """

    name: str
    service: str
    version: str
    artifact: str = ""
    min_ready: int = 1


class ModelPut(msgspec.Struct, tag="model_put"):
    """Creates a model or publishes a new version of it."""

    model: Model


class ModelDeleted(msgspec.Struct, tag="model_deleted"):
    """Removes a model."""

    name: str


class Member(msgspec.Struct):
    """A process of this system.

    Attributes:
        node_id: Id of the process, unique for each start.
        role: `entry` or `worker`.
        address: `host:port` of its peer listener.
        zone: Availability zone.
        region: Region.
        host: Identity of its host on the platform's host list.
        admin: `host:port` of its admin listener.
    """

    node_id: str
    role: str
    address: str
    zone: str
    region: str
    host: str = ""
    admin: str = ""


class MemberJoined(msgspec.Struct, tag="member_joined"):
    """A process has started and joins the members."""

    member: Member


class MemberLeft(msgspec.Struct, tag="member_left"):
    """A process has stopped, or other processes found that it failed."""

    node_id: str


class LeaseClaimed(msgspec.Struct, tag="lease_claimed"):
    """Claims a lease; the record's offset is its fencing number.

    Attributes:
        name: Name of the lease, such as `job/ID`.
        holder: Node id of the claimant.
    """

    name: str
    holder: str


class LeaseReleased(msgspec.Struct, tag="lease_released"):
    """Releases a lease that `holder` has.

    Attributes:
        name: Name of the lease.
        holder: Node id of the last claimant.
        effective: True if the claim had taken effect, so that no earlier
            holder can still use the lease.
    """

    name: str
    holder: str
    effective: bool = False


class Job(msgspec.Struct):
    """A batch job as it was accepted.

    Attributes:
        job_id: Id derived from the customer and its request, so that a resent
            request finds the same job.
        customer: Name of the customer that owns the job.
        input_file: Id of the file with its items.
        endpoint: Path of the requests that the items hold.
        items: Number of items.
        due_ms: Wall-clock time by which it must end, ms since the epoch.
        created_ms: Wall-clock time of acceptance, ms since the epoch.
        metadata: Key-value pairs set by the caller.
    """

    job_id: str
    customer: str
    input_file: str
    endpoint: str
    items: int
    due_ms: int
    created_ms: int
    metadata: dict[str, str] = {}


class JobAccepted(msgspec.Struct, tag="job_accepted"):
    """A job is accepted; it will complete unless it is cancelled."""

    job: Job


class JobCancelled(msgspec.Struct, tag="job_cancelled"):
    """A customer cancels its job."""

    job_id: str
    at_ms: int


class JobFinished(msgspec.Struct, tag="job_finished"):
    """All items of a job have ended.

    Attributes:
        job_id: Id of the job.
        completed: Number of items with a result.
        failed: Number of items that failed.
        at_ms: Wall-clock time of the last item's end, ms since the epoch.
    """

    job_id: str
    completed: int
    failed: int
    at_ms: int


class Snapshot(msgspec.Struct, tag="snapshot"):
    """One part of a snapshot of the whole view.

    Attributes:
        snapshot_id: Id shared by all parts of the snapshot.
        covers: Offset below which all records are covered by the snapshot.
        part: Index of this part, from 0.
        parts: Number of parts.
        data: This part of the encoded view.
    """

    snapshot_id: str
    covers: int
    part: int
    parts: int
    data: bytes


Body = (
    CustomerPut
    | CustomerDeleted
    | KeyPut
    | KeyWithdrawn
    | RoutePut
    | RouteDeleted
    | ModelPut
    | ModelDeleted
    | MemberJoined
    | MemberLeft
    | LeaseClaimed
    | LeaseReleased
    | JobAccepted
    | JobCancelled
    | JobFinished
    | Snapshot
)


class Record(msgspec.Struct):
    """A change as it is stored on the log.

    Attributes:
        id: Id of the change, the same when the change is resent.
        by: Writer of the change: a node id or an operator's name.
        body: The change itself.
        based_on: Offset of the entity's last change that the writer saw, -1 if
            it saw none, or None to apply the change whatever came before.
        v: Schema version of the body.
    """

    id: str
    by: str
    body: Body
    based_on: int | None = None
    v: int = SCHEMA_VERSION


class UnknownRecord(msgspec.Struct):
    """A well-formed record of an unknown type or a newer schema version."""

    id: str
    by: str
    body: msgspec.Raw
    based_on: int | None = None
    v: int = SCHEMA_VERSION


class _Type(msgspec.Struct):
    """The field of a body that all schema versions have."""

    type: str


_KNOWN_TYPES = frozenset(
    str(kind.__struct_config__.tag) for kind in typing.get_args(Body)
)

# Bytes that are not msgpack can also fail to decode as text, or exceed the
# recursion limit by their nesting.
_DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)
_unknown_decoder = msgspec.msgpack.Decoder(UnknownRecord)


def encode(record: Record) -> bytes:
    """Returns the bytes of `record` for the log."""
    return _encoder.encode(record)


def decode(data: bytes) -> Record | UnknownRecord:
    """Decodes a record read from the log.

    Raises:
        errors.BadRecordError: `data` is not a record.
    """
    try:
        record = _decoder.decode(data)
        if record.v <= SCHEMA_VERSION:
            return record
    except _DECODE_ERRORS:
        pass
    try:
        return _decode_unknown(data)
    except _DECODE_ERRORS as exc:
        raise errors.BadRecordError(f"invalid record: {exc}") from exc


def _decode_unknown(data: bytes) -> UnknownRecord:
    """Decodes a record of an unknown type or a newer schema version."""
    record = _unknown_decoder.decode(data)
    kind = msgspec.msgpack.decode(record.body, type=_Type).type
    if record.v <= SCHEMA_VERSION and kind in _KNOWN_TYPES:
        raise errors.BadRecordError(f"malformed record of type {kind}")
    record.body = record.body.copy()
    return record


def to_json(value: Any) -> Any:
    """Returns `value` converted to builtin types that JSON supports."""
    return msgspec.to_builtins(value, str_keys=True)
