"""Encoding of jobs as records of compacted topics.

A record's key is `<type letter>/<customer>/<job id>`, followed by an index or a
position for bodies and results. The customer is part of the key, so customers
can't access each other's jobs. Only the key of the job itself may be written
again with different content: a result's key holds its position among the
job's results, and only the partition's owner assigns positions.
"""

import msgspec
import xxhash

from lacewingwood.jobs import errors
from lacewingwood.log import compacted

# The log's protocol encodes the length of a key in one byte.
MAX_KEY_BYTES = 255


class Item(msgspec.Struct, array_like=True, frozen=True):
    """One item without its body.

    Attributes:
        id: Unique within the job.
        target: Path and query of the request to the replica.
        headers: Header fields of that request; names in lower case.
        tokens: Number of tokens of the prompt and the longest output.
    """

    id: str
    target: str
    headers: list[tuple[str, str]]
    tokens: int


# Allowance for hosts' wall clocks, which differ and may be stepped. It is added
# to every time for which a job has to be kept.
MAX_CLOCK_SKEW_MS = 5_000


class Job(msgspec.Struct, array_like=True, frozen=True):
    """A submitted job.

    Attributes:
        customer: Name of the customer that submitted the job.
        id: Unique among the customer's jobs.
        host: Host of the route that the job was submitted to.
        path: Path that the job was submitted to.
        submitted_ms: Unix time of the submission.
        due_ms: Unix time when the results are due.
        expires_ms: Unix time after which items may be given up.
        items: The job's items, without their bodies.
        configuration_version: Version of the configuration under which the job
            was accepted, 0 if unknown.
    """

    customer: str
    id: str
    host: str
    path: str
    submitted_ms: int
    due_ms: int
    expires_ms: int
    items: list[Item]
    configuration_version: int = 0


class Result(msgspec.Struct, array_like=True, frozen=True):
    """The final outcome of an item.

    Attributes:
        item: Index of the item in its job.
        completed: False if the item was given up.
        output: Data of all events of the answer, joined by line feeds.
    """

    item: int
    completed: bool
    output: bytes


class Submission(msgspec.Struct, frozen=True):
    """A job as submitted, with the bodies of its items."""

    job: Job
    bodies: list[bytes]


class JobChange(msgspec.Struct, frozen=True):
    """A job was submitted; `job` is None if it was removed."""

    job_key: str
    job: Job | None


class BodyChange(msgspec.Struct, frozen=True):
    """An item's body was written; `body` is None if it was removed."""

    job_key: str
    item: int
    body: bytes | None


class ResultChange(msgspec.Struct, frozen=True):
    """A result was written; `result` is None if it was removed."""

    job_key: str
    position: int
    result: Result | None


class EndChange(msgspec.Struct, frozen=True):
    """The caller ended a job."""

    job_key: str


Change = JobChange | BodyChange | ResultChange | EndChange

_CLAIM_KEY = "o/"

_epoch_decoder = msgspec.msgpack.Decoder(int)
_encode = msgspec.msgpack.Encoder().encode
_job_decoder = msgspec.msgpack.Decoder(Job)
_body_decoder = msgspec.msgpack.Decoder(bytes)
_result_decoder = msgspec.msgpack.Decoder(Result)


def encode_job(job: Job) -> bytes:
    """Encodes a job's specification."""
    return _encode(job)


def decode_job(data: bytes) -> Job:
    """Decodes a job's specification.

    Raises:
        errors.JobError: The data is malformed.
    """
    try:
        return _job_decoder.decode(data)
    except msgspec.MsgspecError as exc:
        raise errors.JobError(str(exc)) from exc


def job_key(customer: str, job_id: str) -> str:
    """Returns the key that identifies a job within its partition.

    Raises:
        errors.InvalidJobError: The customer or the id can't be part of a key.
    """
    # 20 bytes are reserved for the type letter and the index of an item.
    if "/" in customer or len(customer) + len(job_id) > MAX_KEY_BYTES - 20:
        raise errors.InvalidJobError("the job's id is too long")
    if not job_id.isascii() or "/" in job_id or not job_id:
        raise errors.InvalidJobError("the job's id is not valid")
    return f"{customer}/{job_id}"


def partition_index(key: str, count: int) -> int:
    """Returns the index of the partition that stores a job."""
    return int(xxhash.xxh64_intdigest(key.encode()) % count)


def submission_records(
    key: str, job: Job, bodies: list[bytes]
) -> list[compacted.Record]:
    """Returns the records of a new job.

    The job exists once the last of them is on the log.
    """
    records = [
        # Encoded because an empty value would delete the key.
        compacted.Record(f"b/{key}/{index}", _encode(body))
        for index, body in enumerate(bodies)
    ]
    return [*records, compacted.Record(f"j/{key}", _encode(job))]


def result_records(
    key: str, position: int, result: Result
) -> list[compacted.Record]:
    """Returns the records that store a result and remove the item's body."""
    return [
        compacted.Record(f"r/{key}/{position}", _encode(result)),
        compacted.Record(f"b/{key}/{result.item}", None),
    ]


def end_record(key: str) -> compacted.Record:
    """Returns the record that ends a job."""
    return compacted.Record(f"e/{key}", b"1")


def claim_record(epoch: int) -> compacted.Record:
    """Returns the record by which an owner claims its partition."""
    return compacted.Record(_CLAIM_KEY, _encode(epoch))


def claimed_epoch(record: compacted.Record) -> int:
    """Returns the epoch in a claim record, -1 for any other record."""
    if record.key != _CLAIM_KEY or record.value is None:
        return -1
    try:
        return _epoch_decoder.decode(record.value)
    except msgspec.MsgspecError:
        return -1


def decode(record: compacted.Record) -> Change | None:
    """Decodes a record; returns None if it belongs to no job.

    Raises:
        errors.JobError: The key or the value is malformed.
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
