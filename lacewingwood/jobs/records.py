"""Records of jobs in compacted topics.

Keys begin with a letter for the type, then the customer and the job's id, so
that customers can't meet each other's jobs. No key but a job's own is written
twice with different content: a result's key holds its position in the job's
results, which are numbered by the partition's only owner.
"""

import msgspec
import xxhash

from lacewingwood.jobs import errors
from lacewingwood.log import compacted

# A key's length is one byte on the wire.
MAX_KEY_BYTES = 255


class Item(msgspec.Struct, array_like=True, frozen=True):
    """One item without its body.

    Attributes:
        id: Unique in its job.
        target: Path and query at the replica.
        headers: Header fields for the replica; names in lower case.
        tokens: Tokens of the prompt and of the longest output.
    """

    id: str
    target: str
    headers: list[tuple[str, str]]
    tokens: int


# Clocks of hosts differ, and one may be stepped while it runs: what must be
# kept for a time is kept for this much longer.
MAX_CLOCK_SKEW_MS = 5_000


class Job(msgspec.Struct, array_like=True, frozen=True):
    """A submitted job.

    Attributes:
        customer: Whose job it is.
        id: Unique among the customer's jobs.
        host: Host of the route that it came by.
        path: Path that it was submitted to.
        submitted_ms: Unix time of the submission.
        due_ms: Unix time when its results are due.
        expires_ms: Unix time after which items may be given up.
        items: Its items.
    """

    customer: str
    id: str
    host: str
    path: str
    submitted_ms: int
    due_ms: int
    expires_ms: int
    items: list[Item]


class Result(msgspec.Struct, array_like=True, frozen=True):
    """The final outcome of an item.

    Attributes:
        item: Index of the item in its job.
        completed: False if the item was given up.
        output: Data of all events, joined by line feeds.
    """

    item: int
    completed: bool
    output: bytes


class Submission(msgspec.Struct, frozen=True):
    """A job as a caller submits it, with the bodies of its items."""

    job: Job
    bodies: list[bytes]


class JobChange(msgspec.Struct, frozen=True):
    """A job was submitted; None if its records are being removed."""

    job_key: str
    job: Job | None


class BodyChange(msgspec.Struct, frozen=True):
    """An item's body was written or removed."""

    job_key: str
    item: int
    body: bytes | None


class ResultChange(msgspec.Struct, frozen=True):
    """A result was listed at a position, or removed."""

    job_key: str
    position: int
    result: Result | None


class EndChange(msgspec.Struct, frozen=True):
    """A job was ended by its caller."""

    job_key: str


Change = JobChange | BodyChange | ResultChange | EndChange

_CLAIM_KEY = "o/"

_epoch_decoder = msgspec.msgpack.Decoder(int)
_encode = msgspec.msgpack.Encoder().encode
_job_decoder = msgspec.msgpack.Decoder(Job)
_body_decoder = msgspec.msgpack.Decoder(bytes)
_result_decoder = msgspec.msgpack.Decoder(Result)


def job_key(customer: str, job_id: str) -> str:
    """Returns the key of a job within its partition.

    Raises:
        errors.InvalidJobError: The id can't be part of a key.
    """
    # Room for the type and the number of an item.
    if "/" in customer or len(customer) + len(job_id) > MAX_KEY_BYTES - 20:
        raise errors.InvalidJobError("the job's id is too long")
    if not job_id.isascii() or "/" in job_id or not job_id:
        raise errors.InvalidJobError("the job's id is not valid")
    return f"{customer}/{job_id}"


def partition_index(key: str, count: int) -> int:
    """Returns the number of the partition that keeps a job."""
    return int(xxhash.xxh64_intdigest(key.encode()) % count)


def submission_records(
    key: str, job: Job, bodies: list[bytes]
) -> list[compacted.Record]:
    """Returns a job's records; the last one makes the job exist."""
    records = [
        # Encoded, since a record without a value deletes its key.
        compacted.Record(f"b/{key}/{index}", _encode(body))
        for index, body in enumerate(bodies)
    ]
    return [*records, compacted.Record(f"j/{key}", _encode(job))]


def result_records(
    key: str, position: int, result: Result
) -> list[compacted.Record]:
    """Returns the records that list a result and drop the item's body."""
    return [
        compacted.Record(f"r/{key}/{position}", _encode(result)),
        compacted.Record(f"b/{key}/{result.item}", None),
    ]


def end_record(key: str) -> compacted.Record:
    """Returns the record that ends a job."""
    return compacted.Record(f"e/{key}", b"1")


def claim_record(epoch: int) -> compacted.Record:
    """Returns the record with which an owner takes a partition."""
    return compacted.Record(_CLAIM_KEY, _encode(epoch))


def claimed_epoch(record: compacted.Record) -> int:
    """Returns the epoch of a claim, -1 for another record."""
    if record.key != _CLAIM_KEY or record.value is None:
        return -1
    try:
        return _epoch_decoder.decode(record.value)
    except msgspec.MsgspecError:
        return -1


def decode(record: compacted.Record) -> Change | None:
    """Reads a record; None if it is not one of a job.

    Raises:
        errors.JobError: The value is malformed.
    """
    kind, _, rest = record.key.partition("/")
    try:
        match kind:
            case "j":
                return JobChange(rest, _job(record.value))
            case "b":
                key, _, index = rest.rpartition("/")
                return BodyChange(key, int(index), _body(record.value))
            case "r":
                key, _, position = rest.rpartition("/")
                return ResultChange(key, int(position), _result(record.value))
            case "e":
                return EndChange(rest) if record.value else None
    except (msgspec.MsgspecError, ValueError) as exc:
        raise errors.JobError(f"record {record.key}: {exc}") from exc
    return None


def _job(value: bytes | None) -> Job | None:
    return _job_decoder.decode(value) if value else None


def _body(value: bytes | None) -> bytes | None:
    return _body_decoder.decode(value) if value else None


def _result(value: bytes | None) -> Result | None:
    return _result_decoder.decode(value) if value else None
