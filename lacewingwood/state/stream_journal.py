"""Journal of the streams that began while a service runs several versions.

A gateway appends the beginnings of its streams under a few keys of its own,
each of which holds those of a short period, so that the journal keeps the
newest ones and does not grow. A read starts where the last one ended.
"""

import zlib
from collections.abc import Callable

import msgspec
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.log import compacted
from lacewingwood.log import errors
from lacewingwood.routing import origins
from lacewingwood.state import shared_reads

_TOPIC = "streams"
# Four partitions take some 1,000 appends a second; half of it is used.
PARTITIONS = 4
_APPEND_PAUSE_PER_GATEWAY_MS = 2.0
# A key holds the beginnings of one period, and is used again after a minute.
_PERIOD_MS = 500
_PERIODS = 128
_MAX_PER_RECORD = 4_000
_RETRY_MS = 100.0
# Beginnings that could not be appended in this time are dropped: streams are
# taken up again within seconds.
_MAX_QUEUED = 2_000


class _Entry(msgspec.Struct, array_like=True):
    """Streams that began at one version."""

    origin: origins.Origin
    keys: list[int]


class _Beginning(msgspec.Struct):
    key: int
    origin: origins.Origin
    written: trio.Event


class StreamJournal:
    """Appends the beginnings of streams, and finds those of other gateways."""

    def __init__(
        self,
        log: compacted.CompactedLog,
        host: str,
        gateways: Callable[[], int],
        partitions: int,
        clock: clocks.Clock,
        wall_ms: Callable[[], int],
        metrics: metrics_lib.Registry,
    ) -> None:
        """Creates a journal; `run` writes it.

        Args:
            log: Log that keeps it.
            host: This gateway's host.
            gateways: Returns the number of gateways, which share the appends.
            partitions: Partitions that the log has for each topic.
            clock: Source of monotonic time.
            wall_ms: Returns Unix time.
            metrics: Counts appends.
        """
        self._log = log
        self._host = host
        self._gateways = gateways
        self._clock = clock
        self._wall_ms = wall_ms
        self._metrics = metrics
        self._partitions = min(PARTITIONS, partitions)
        number = zlib.crc32(host.encode()) % self._partitions
        self._partition = compacted.Partition(_TOPIC, number)
        self._queue: list[_Beginning] = []
        self._queued = trio.Event()
        self._period = -1
        self._period_entries: dict[origins.Origin, list[int]] = {}
        self._positions: dict[int, int] = {}
        self._read = shared_reads.SharedRead(self._read_all)
        self._known = origins.Beginnings()

    def add(self, key: int, origin: origins.Origin) -> trio.Event:
        """Adds a beginning; the event is set once it is on the log."""
        beginning = _Beginning(key, origin, trio.Event())
        if len(self._queue) < _MAX_QUEUED:
            self._queue.append(beginning)
            self._queued.set()
        return beginning.written

    async def find(self, key: int) -> tuple[bool, origins.Origin | None]:
        """Reads the journal up to now and looks a stream up.

        Returns:
            Whether the log answered, and the origin, None if it is not there.
        """
        answered = await self._read.run()
        return answered, self._known.get(key)

    async def run(self) -> None:
        """Appends beginnings until cancelled."""
        while True:
            if not self._queue:
                self._queued = trio.Event()
                await self._queued.wait()
            pause_ms = self._gateways() * _APPEND_PAUSE_PER_GATEWAY_MS
            try:
                await self._append()
            except errors.LogError as exc:
                self._metrics.add("stream_appends_failed", code=exc.code)
                pause_ms = max(pause_ms, _RETRY_MS)
            await self._clock.sleep_ms(pause_ms)

    async def _append(self) -> None:
        """Appends all that is queued, with the rest of its period."""
        beginnings = self._queue[:_MAX_PER_RECORD]
        period = self._wall_ms() // _PERIOD_MS
        if period != self._period:
            self._period, self._period_entries = period, {}
        for beginning in beginnings:
            keys = self._period_entries.setdefault(beginning.origin, [])
            keys.append(beginning.key)
        record = compacted.Record(
            f"{self._host}/{period % _PERIODS}",
            msgspec.msgpack.encode(
                [_Entry(o, keys) for o, keys in self._period_entries.items()]
            ),
        )
        await self._log.append(self._partition, [record])
        del self._queue[: len(beginnings)]
        for beginning in beginnings:
            beginning.written.set()

    async def _read_all(self) -> bool:
        failures: list[errors.LogError] = []
        async with trio.open_nursery() as nursery:
            for number in range(self._partitions):
                nursery.start_soon(self._read_partition, number, failures)
        return not failures

    async def _read_partition(
        self, number: int, failures: list[errors.LogError]
    ) -> None:
        partition = compacted.Partition(_TOPIC, number)
        try:
            try:
                await self._read_on(partition)
            except errors.OffsetExpiredError:
                del self._positions[number]
                await self._read_on(partition)
        except errors.LogError as exc:
            failures.append(exc)

    async def _read_on(self, partition: compacted.Partition) -> None:
        number = partition.number
        if number not in self._positions:
            snapshot = await self._log.snapshot(partition)
            self._apply(snapshot.records)
            self._positions[number] = snapshot.next_offset
            return
        end = await self._read_page(partition)
        while (position := self._positions[number]) < end:
            await self._read_page(partition)
            if self._positions[number] == position:
                raise errors.UnavailableError(
                    "a read returned no record before the end", False
                )

    async def _read_page(self, partition: compacted.Partition) -> int:
        """Applies the next records; returns where the partition ends."""
        start = self._positions[partition.number]
        page = await self._log.read(partition, start, 0)
        self._apply(page.records)
        self._positions[partition.number] = page.next_offset
        return page.end

    def _apply(self, records: list[compacted.Record]) -> None:
        now_ms = self._clock.now_ms()
        for record in records:
            try:
                entries = msgspec.msgpack.decode(
                    record.value or b"\x90", type=list[_Entry]
                )
            except msgspec.MsgspecError:
                self._metrics.add("stream_records_malformed")
                continue
            for entry in entries:
                for key in entry.keys:
                    self._known.note(key, entry.origin, now_ms)
