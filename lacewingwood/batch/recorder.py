"""Writes the results of a job to the log in groups, for one owner."""

import trio

from lacewingwood import clock as clocks
from lacewingwood.batch import appends
from lacewingwood.batch import deps
from lacewingwood.batch import errors
from lacewingwood.batch import results
from lacewingwood.log import errors as log_errors

GROUP_INTERVAL_MS = 250.0
MAX_GROUP_BYTES = 256 * 1024

# While the log rejects appends because of its rate limit, the interval between
# groups doubles up to this value.
_MAX_GROUP_INTERVAL_MS = 4_000.0
_ITEM_OVERHEAD_BYTES = 64
_APPEND_TIMEOUT_MS = 2_000.0


class Recorder:
    """Records the results of one job under one lease.

    Each group that `flush` has recorded is valid: the recorder reads the
    records before it and checks that none is from a later owner.

    Attributes:
        replay: State of the job's stream up to this recorder's last record.
    """

    __slots__ = (
        "_clock",
        "_epoch",
        "_flush_wanted",
        "_group_interval_ms",
        "_job_id",
        "_late",
        "_log",
        "_next_offset",
        "_node_id",
        "_pending",
        "_pending_bytes",
        "_recorded",
        "_recorded_late",
        "replay",
    )

    def __init__(
        self,
        log: deps.Log,
        clock: clocks.Clock,
        job_id: str,
        epoch: int,
        node_id: str,
    ) -> None:
        self._log = log
        self._clock = clock
        self._job_id = job_id
        self._epoch = epoch
        self._node_id = node_id
        self._next_offset = 0
        self._late = False
        self._recorded_late = False
        self._group_interval_ms = GROUP_INTERVAL_MS
        self._pending: list[results.Result] = []
        self._pending_bytes = 0
        self._flush_wanted = trio.Event()
        self._recorded = trio.Event()
        self.replay = results.Replay()

    @property
    def pending(self) -> int:
        """Number of results not yet acknowledged by the log."""
        return len(self._pending)

    @property
    def pending_bytes(self) -> int:
        """Size of the results not yet acknowledged by the log."""
        return self._pending_bytes

    async def start(self) -> None:
        """Records the new owner and reads the results of earlier owners.

        Raises:
            errors.SupersededError: A later owner has started.
            errors.UnavailableError: The log is down.
        """
        start = await results.find_start(self._log, self._job_id)
        self._next_offset = max(self._next_offset, start or 0)
        started = results.OwnerStarted(self._epoch, self._node_id)
        await self._append(results.encode(started), _APPEND_TIMEOUT_MS)
        self._recorded_late = self._late = self.replay.progress.late

    async def copy_results(self) -> None:
        """Appends a copy of all valid results to the stream.

        Call this on a recorder that is used for nothing else. It holds one page
        of records in memory at a time.

        Raises:
            errors.SupersededError: A later owner has started.
            errors.CorruptError: Some results have already expired.
            errors.UnavailableError: The log is down; the copy is incomplete.
        """
        position = await results.find_start(self._log, self._job_id)
        if position is None:
            raise errors.CorruptError(f"results of {self._job_id} have expired")
        await self.start()
        started = self._next_offset - 1
        replay = results.Replay()
        while position < started:
            page = await results.read_page(self._log, self._job_id, position)
            if not page.entries:
                raise errors.UnavailableError(
                    "a read of the log lags behind its appends"
                )
            items: list[results.Result] = []
            for entry in page.entries:
                if entry.offset < started:
                    items += replay.apply(entry.data)
            position = page.entries[-1].offset + 1
            await self._append_groups(items)
        completed = results.CopyCompleted(self._epoch, started)
        await self._append(results.encode(completed), _APPEND_TIMEOUT_MS)

    async def _append_groups(self, items: list[results.Result]) -> None:
        while items:
            length = _group_length(items)
            progress = self.replay.progress
            group = results.ResultGroup(self._epoch, items[:length], progress)
            await self._append(results.encode(group), _APPEND_TIMEOUT_MS)
            items = items[length:]

    def add(self, result: results.Result) -> None:
        """Queues a result for recording."""
        self._pending.append(result)
        self._pending_bytes += _size_bytes(result)
        self._flush_wanted.set()

    def set_late(self, late: bool) -> None:
        """Sets whether the job is expected to miss its deadline."""
        self._late = late
        if late != self._recorded_late:
            self._flush_wanted.set()

    async def wait_recorded(self) -> None:
        """Waits until the next group is recorded."""
        await self._recorded.wait()

    async def run(self) -> None:
        """Records groups until cancelled.

        Raises:
            errors.SupersededError: A later owner has started.
        """
        while True:
            await self._flush_wanted.wait()
            if self._pending_bytes < MAX_GROUP_BYTES:
                await self._clock.sleep_ms(self._group_interval_ms)
            try:
                await self.flush()
            except errors.UnavailableError:
                await self._clock.sleep_ms(self._group_interval_ms)

    async def flush(self) -> None:
        """Records all pending results and a change of the late flag.

        Raises:
            errors.SupersededError: A later owner has started.
            errors.UnavailableError: The log is down; results stay pending.
        """
        while self._pending or self._late != self._recorded_late:
            late = self._late
            items = self._pending[: _group_length(self._pending)]
            group = self._make_group(items, late)
            await self._append(results.encode(group), _APPEND_TIMEOUT_MS)
            self._recorded_late = late
            self._pending = self._pending[len(items) :]
            self._pending_bytes -= sum(map(_size_bytes, items))
            self._notify_recorded()
        self._flush_wanted = trio.Event()

    def _notify_recorded(self) -> None:
        changed, self._recorded = self._recorded, trio.Event()
        changed.set()

    def _make_group(
        self, items: list[results.Result], late: bool
    ) -> results.ResultGroup:
        failed = sum(item.failed for item in items)
        before = self.replay.progress
        progress = results.Progress(
            before.completed + len(items) - failed,
            before.failed + failed,
            late,
        )
        return results.ResultGroup(self._epoch, items, progress)

    async def _append(self, data: bytes, timeout_ms: float) -> None:
        offset = await self._append_adapting_rate(data, timeout_ms)
        await self._replay_to(offset)
        if self.replay.epoch > self._epoch:
            raise errors.SupersededError(f"job {self._job_id} has a new owner")
        self.replay.apply(data)
        self._next_offset = offset + 1

    async def _append_adapting_rate(
        self, data: bytes, timeout_ms: float
    ) -> int:
        stream = results.stream_name(self._job_id)
        try:
            offset = await self._log.append(stream, data)
        except log_errors.RateLimitedError:
            self._group_interval_ms = min(
                self._group_interval_ms * 2, _MAX_GROUP_INTERVAL_MS
            )
        except log_errors.UnavailableError:
            pass
        else:
            self._group_interval_ms = max(
                self._group_interval_ms * 0.9, GROUP_INTERVAL_MS
            )
            return offset
        return await appends.append(
            self._log, self._clock, stream, data, timeout_ms
        )

    async def _replay_to(self, offset: int) -> None:
        """Applies the records below `offset` that are not yet applied."""
        while self._next_offset < offset:
            # Expired results are skipped; their items are run again.
            page = await results.read_page(
                self._log, self._job_id, self._next_offset, skip_expired=True
            )
            for entry in page.entries:
                if entry.offset < offset:
                    self.replay.apply(entry.data)
            if not page.entries:
                raise errors.UnavailableError(
                    "a read of the log lags behind its appends"
                )
            self._next_offset = min(page.entries[-1].offset + 1, offset)


def _group_length(items: list[results.Result]) -> int:
    """Returns how many of the first items fit into one record."""
    size = 0
    for count, item in enumerate(items):
        size += _size_bytes(item)
        if size > MAX_GROUP_BYTES and count:
            return count
    return len(items)


def _size_bytes(result: results.Result) -> int:
    return (
        len(result.response)
        + len(result.custom_id)
        + len(result.error_message)
        + _ITEM_OVERHEAD_BYTES
    )
