"""Bodies and outputs of items, which are held in memory while there is room.

The log keeps all of them. The least recently used ones are dropped and read
again when they are needed, so that a process can own more jobs than fit into
its memory.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence

import trio

from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import errors
from lacewingwood.jobs import records
from lacewingwood.log import compacted
from lacewingwood.log import errors as log_errors

# Memory of a process for other purposes than jobs and callers' requests.
_BASE_BYTES = 52 << 20
# Part of the rest that is used to hold payloads. Callers' requests may take
# most of it.
_HELD_FRACTION = 0.15
_MIN_HELD_BYTES = 4 << 20
# Smaller payloads are always held: the place in the log takes as much memory.
_MIN_DROPPED_BYTES = 512
# Scans of partitions at once. A page of up to 1 MB takes about 4 MB while it is
# decoded.
_MAX_SCANS = 6
# Payloads that are read from the log at once.
_MAX_READS = 8
# Bytes of a record besides its key and its payload.
_RECORD_OVERHEAD_BYTES = 64


class Payload:
    """The body or the output of an item.

    Attributes:
        size: Length in bytes.
        value: The content, None while it is not held.
        key: Key of the record that contains it.
        offset: Offset of that record, -1 while unknown.
    """

    __slots__ = ("_owner", "key", "offset", "size", "value")

    def __init__(
        self,
        value: bytes,
        key: str = "",
        offset: int = -1,
        owner: "PartitionPayloads | None" = None,
    ) -> None:
        self.value: bytes | None = value
        self.size = len(value)
        self.key = key
        self.offset = offset
        self._owner = owner

    async def load(self) -> bytes:
        """Returns the content, which is read from the log unless it is held.

        Raises:
            log_errors.LogError: The content can't be read now.
        """
        if self._owner is not None:
            return await self._owner.load(self)
        assert self.value is not None
        return self.value

    def locate(self, offset: int) -> None:
        """Sets the offset of the record, so that the content may be dropped."""
        if self.offset < 0 <= offset:
            self.offset = offset
            if self._owner is not None:
                self._owner.cache.hold(self)

    def release(self) -> None:
        """Stops counting the content, which is not needed any more."""
        if self._owner is not None:
            self._owner.cache.release(self)


def of_record(record: compacted.Record, value: bytes) -> Payload:
    """Returns a payload that is always held."""
    return Payload(value, record.key, record.offset)


async def load_all(payloads: Sequence[Payload]) -> list[bytes]:
    """Returns the contents of several payloads.

    Raises:
        log_errors.LogError: One of them can't be read now.
    """
    contents = [payload.value for payload in payloads]
    failures: list[log_errors.LogError] = []

    async def load(index: int) -> None:
        try:
            contents[index] = await payloads[index].load()
        except log_errors.LogError as exc:
            failures.append(exc)

    async with trio.open_nursery() as nursery:
        for index, content in enumerate(contents):
            if content is None:
                nursery.start_soon(load, index)
    if failures:
        raise failures[0]
    return [content for content in contents if content is not None]


def memory_limit(memory_bytes: int) -> float:
    """Returns how many bytes of payloads a process holds.

    Args:
        memory_bytes: Memory that the process may use.
    """
    return max(_MIN_HELD_BYTES, _HELD_FRACTION * (memory_bytes - _BASE_BYTES))


class Cache:
    """The payloads that one process holds, over all partitions.

    Attributes:
        held_bytes: Size of the contents that are held, but for small ones.
    """

    __slots__ = (
        "_evictable",
        "_limit_bytes",
        "_log",
        "_metrics",
        "_pinned",
        "_reads",
        "_scans",
        "held_bytes",
    )

    def __init__(
        self,
        log: compacted.CompactedLog,
        limit_bytes: float,
        metrics: metrics_lib.Registry,
    ) -> None:
        """Creates an empty cache.

        Args:
            log: The log that contains the payloads.
            limit_bytes: Most bytes to hold. Contents whose place in the log is
                not known yet are held beyond that.
            metrics: Registry of counters.
        """
        self.held_bytes = 0
        self._log = log
        self._limit_bytes = limit_bytes
        self._metrics = metrics
        # Payloads that may be dropped, the least recently used first.
        self._evictable: collections.OrderedDict[Payload, None]
        self._evictable = collections.OrderedDict()
        self._pinned: set[Payload] = set()
        self._scans = trio.Semaphore(_MAX_SCANS)
        self._reads = trio.Semaphore(_MAX_READS)

    def partition(self, partition: compacted.Partition) -> "PartitionPayloads":
        """Returns the payloads of a partition."""
        return PartitionPayloads(self, partition)

    async def scan(
        self, partition: compacted.Partition, on_records: compacted.OnRecords
    ) -> int:
        """Scans a partition, few of them at once; see `CompactedLog.scan`."""
        async with self._scans:
            return await self._log.scan(partition, on_records)

    def hold(self, payload: Payload) -> None:
        """Counts a payload that has its content, and drops others for it."""
        if payload in self._pinned:
            self._pinned.remove(payload)
        elif payload not in self._evictable:
            self.held_bytes += payload.size
        if payload.offset < 0:
            self._pinned.add(payload)
        else:
            self._evictable[payload] = None
            self._evictable.move_to_end(payload)
        while self.held_bytes > self._limit_bytes and self._evictable:
            dropped, _ = self._evictable.popitem(last=False)
            dropped.value = None
            self.held_bytes -= dropped.size

    def release(self, payload: Payload) -> None:
        """Stops counting a payload, whose content may still be in use."""
        if payload in self._pinned or payload in self._evictable:
            self._pinned.discard(payload)
            self._evictable.pop(payload, None)
            self.held_bytes -= payload.size

    def touch(self, payload: Payload) -> None:
        """Makes a payload the most recently used one, if it is counted."""
        if payload in self._evictable:
            self._evictable.move_to_end(payload)

    async def read(
        self, partition: compacted.Partition, payload: Payload
    ) -> bytes:
        """Reads a payload from the log.

        Raises:
            log_errors.LogError: The log does not answer, or has no such record.
        """
        async with self._reads:
            self._metrics.add("job_payloads_read")
            record = await self._find(partition, payload)
        content = _content(record) if record is not None else None
        if content is None:
            raise log_errors.UnavailableError(
                f"the log has no record {payload.key}", False
            )
        return content

    async def _find(
        self, partition: compacted.Partition, payload: Payload
    ) -> compacted.Record | None:
        """Returns the record of a payload, None if it was removed."""
        try:
            page = await self._log.read(
                partition,
                payload.offset,
                0,
                payload.size + len(payload.key) + _RECORD_OVERHEAD_BYTES,
            )
        except log_errors.OffsetExpiredError:
            # The log still has the newest record of each key.
            return await self._log.find(partition, payload.key)
        for record in page.records[:1]:
            if record.key == payload.key:
                return record
        return await self._log.find(partition, payload.key)


class PartitionPayloads:
    """The payloads of one partition.

    Attributes:
        cache: The payloads of all partitions.
    """

    __slots__ = ("_partition", "cache")

    def __init__(self, cache: Cache, partition: compacted.Partition) -> None:
        self.cache = cache
        self._partition = partition

    def add(self, record: compacted.Record, value: bytes) -> Payload:
        """Returns the payload of a record; see `Make`."""
        if len(value) < _MIN_DROPPED_BYTES:
            return of_record(record, value)
        payload = Payload(value, record.key, record.offset, self)
        self.cache.hold(payload)
        return payload

    async def load(self, payload: Payload) -> bytes:
        """Returns the content of a payload; see `Payload.load`."""
        content = payload.value
        if content is not None:
            self.cache.touch(payload)
            return content
        content = await self.cache.read(self._partition, payload)
        payload.value = content
        self.cache.hold(payload)
        return content


# Makes the payload of a record from its decoded content.
Make = Callable[[compacted.Record, bytes], Payload]


def _content(record: compacted.Record) -> bytes | None:
    """Returns the payload that a record contains, None if it has none."""
    try:
        change = records.decode(record)
    except errors.JobError:
        return None
    match change:
        case records.BodyChange(_, _, body):
            return body
        case records.ResultChange(_, _, result) if result is not None:
            return result.output
        case _:
            return None
