"""Results of a job's items on the stream `job/ID`.

Every owner of a job first appends `OwnerStarted` with the epoch of its lease.
After that record, every reader ignores records with a lower epoch: they are
void. An owner that was paused until its lease expired therefore cannot add
results. If an item has several results in valid records, the one with the
lowest offset counts.

The log drops records after its retention time. Before that, a holder of the
job's lease copies them: it appends `OwnerStarted`, copies of all earlier valid
results, and then `CopyCompleted`. Once the start of a stream has expired,
readers start at the `OwnerStarted` of a complete copy. They ignore the records
before it, because a void group there can no longer be told from a valid one.
"""

from collections.abc import AsyncIterator

import msgspec

from lacewingwood.batch import deps
from lacewingwood.batch import errors
from lacewingwood.log import errors as log_errors
from lacewingwood.log import types as log_types

# Results larger than this do not fit into a record together with its other
# fields.
MAX_RESULT_BYTES = 900 * 1024

# Number of records in a page. Records are at most 1 MiB, so this bounds the
# memory of a reader.
_PAGE_RECORDS = 16
# Number of records before a group that are read to decide whether it is void.
_MIN_EARLIER_RECORDS = 8


class Result(msgspec.Struct, array_like=True):
    """Result of one item.

    Attributes:
        index: Index of the item in its job.
        custom_id: The caller's id of the item.
        status: HTTP status of the engine's answer, 0 if there is none.
        response: The engine's answer, JSON, or empty.
        error_code: Stable error code, empty on success.
        error_message: Human-readable description, empty on success.
    """

    index: int
    custom_id: str
    status: int
    response: bytes = b""
    error_code: str = ""
    error_message: str = ""

    @property
    def failed(self) -> bool:
        """Whether the item failed."""
        return bool(self.error_code)


class Progress(msgspec.Struct, array_like=True):
    """Progress of a job.

    Attributes:
        completed: Number of items with an answer.
        failed: Number of failed items.
        late: True if the job is expected to miss its deadline.
    """

    completed: int = 0
    failed: int = 0
    late: bool = False


class OwnerStarted(msgspec.Struct, tag="owner_started"):
    """A worker has taken over the job.

    Attributes:
        epoch: Epoch of the worker's lease.
        node_id: Node id of the worker.
    """

    epoch: int
    node_id: str


class ResultGroup(msgspec.Struct, tag="group"):
    """Results that were recorded together.

    Attributes:
        epoch: Epoch of the owner's lease.
        items: The results.
        progress: Progress of the whole job, including these results.
    """

    epoch: int
    items: list[Result]
    progress: Progress


class CopyCompleted(msgspec.Struct, tag="carried"):
    """All valid results before `start` are copied after it.

    Attributes:
        epoch: Epoch of the lease under which they were copied.
        start: Offset of the `OwnerStarted` before the copies.
    """

    epoch: int
    start: int


Record = OwnerStarted | ResultGroup | CopyCompleted

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


class IndexSet:
    """A set of item indexes, one bit each."""

    __slots__ = ("_bits", "_count")

    def __init__(self) -> None:
        self._bits = bytearray()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __contains__(self, index: int) -> bool:
        byte = index >> 3
        return byte < len(self._bits) and bool(
            self._bits[byte] >> (index & 7) & 1
        )

    def add(self, index: int) -> bool:
        """Adds an index; returns False if it was already in the set."""
        if index in self:
            return False
        byte = index >> 3
        if byte >= len(self._bits):
            self._bits.extend(bytes(byte + 1 - len(self._bits)))
        self._bits[byte] |= 1 << (index & 7)
        self._count += 1
        return True


class Replay:
    """Decides which records and results of a stream `job/ID` are valid.

    Attributes:
        epoch: Highest epoch seen, -1 before the first record.
        done: Indexes of the items with a valid result.
        progress: Progress according to the valid results.
    """

    __slots__ = ("done", "epoch", "progress")

    def __init__(self) -> None:
        self.epoch = -1
        self.done = IndexSet()
        self.progress = Progress()

    def apply(self, data: bytes) -> list[Result]:
        """Applies the next record and returns its valid, first results."""
        match decode(data):
            case OwnerStarted(epoch=epoch):
                self.epoch = max(self.epoch, epoch)
            case ResultGroup(epoch=epoch) as group if epoch >= self.epoch:
                self.epoch = epoch
                self.progress.late = group.progress.late
                return [item for item in group.items if self._add_result(item)]
        return []

    def _add_result(self, item: Result) -> bool:
        if not self.done.add(item.index):
            return False
        if item.failed:
            self.progress.failed += 1
        else:
            self.progress.completed += 1
        return True


def stream_name(job_id: str) -> str:
    """Returns the name of a job's stream."""
    return f"job/{job_id}"


def encode(record: Record) -> bytes:
    """Encodes a record for the log."""
    return _encoder.encode(record)


def decode(data: bytes) -> Record | None:
    """Decodes a record; returns None if its type is unknown."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError:
        return None


async def read_page(
    log: deps.Log, job_id: str, start: int, skip_expired: bool = False
) -> log_types.Page:
    """Reads a page of records from a job's stream.

    Args:
        log: The log.
        job_id: Id of the job.
        start: Offset of the first record to read.
        skip_expired: True to start at the oldest record if `start` has expired.

    Raises:
        errors.CorruptError: The records have expired.
        errors.UnavailableError: The log is down.
    """
    while True:
        try:
            return await log.read(stream_name(job_id), start, _PAGE_RECORDS, 0)
        except log_errors.OffsetExpiredError as exc:
            if not skip_expired or exc.first <= start:
                message = f"results of {job_id} have expired"
                raise errors.CorruptError(message) from exc
            start = exc.first
        except log_errors.LogError as exc:
            raise errors.UnavailableError(exc.message) from exc


async def find_start(log: deps.Log, job_id: str) -> int | None:
    """Returns the offset from which the stream has all valid results.

    That is 0 while the log keeps the whole stream, otherwise the start of a
    complete copy, or None if there is none. A copy that is about to expire is
    used only if no other follows.

    Raises:
        errors.UnavailableError: The log is down.
    """
    page = await read_page(log, job_id, 0, skip_expired=True)
    if page.first == 0 or not page.entries:
        return 0 if page.first == 0 else None
    safe_ms = page.entries[0].time_ms + page.retention_ms // 8
    found: int | None = None
    while page.entries:
        for entry in page.entries:
            match decode(entry.data):
                case CopyCompleted(start=start) if start >= page.first:
                    found = start
                    if entry.time_ms >= safe_ms:
                        return found
        following = page.entries[-1].offset + 1
        page = await read_page(log, job_id, following, skip_expired=True)
    return found


async def read_results(log: deps.Log, job_id: str) -> AsyncIterator[Result]:
    """Iterates over the valid results in the order of recording.

    Raises:
        errors.CorruptError: Some results have expired.
        errors.UnavailableError: The log is down.
    """
    replay = Replay()
    start = await find_start(log, job_id)
    if start is None:
        raise errors.CorruptError(f"results of {job_id} have expired")
    while True:
        page = await read_page(log, job_id, start)
        for entry in page.entries:
            for item in replay.apply(entry.data):
                yield item
        if not page.entries:
            return
        start = page.entries[-1].offset + 1


async def read_progress(log: deps.Log, job_id: str) -> Progress:
    """Returns the progress in the latest valid group.

    The last records suffice, because each group has the progress of the whole
    job. A group is void if an earlier record has a higher epoch. Such a record
    is always close before a void group, because an owner that lost its lease
    stops at its first void group.
    """
    start = (await read_page(log, job_id, 0, skip_expired=True)).head
    entries: list[log_types.Entry] = []
    while start > 0:
        end, start = start, max(0, start - _PAGE_RECORDS)
        page = await read_page(log, job_id, start, skip_expired=True)
        start = max(start, page.first)
        entries = [e for e in page.entries if e.offset < end] + entries
        latest = _latest_group(entries)
        at_first = start <= page.first
        if latest >= _MIN_EARLIER_RECORDS or (latest >= 0 and at_first):
            group = decode(entries[latest].data)
            return (
                group.progress if isinstance(group, ResultGroup) else Progress()
            )
        if at_first:
            break
    return Progress()


def _latest_group(entries: list[log_types.Entry]) -> int:
    """Returns the index of the last group that is not void, -1 if none."""
    latest = epoch = -1
    for index, entry in enumerate(entries):
        match decode(entry.data):
            case OwnerStarted(epoch=started) | CopyCompleted(epoch=started):
                epoch = max(epoch, started)
            case ResultGroup(epoch=written) if written >= epoch:
                epoch = written
                latest = index
    return latest
