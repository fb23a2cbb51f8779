"""The only writer of results in one partition of the jobs' topic."""

import collections
from collections.abc import Callable

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import errors
from lacewingwood.jobs import records
from lacewingwood.jobs import running
from lacewingwood.jobs import scheduler as schedulers
from lacewingwood.jobs import table as tables
from lacewingwood.jobs import writer as writers
from lacewingwood.log import compacted
from lacewingwood.log import errors as log_errors
from lacewingwood.log import follow
from lacewingwood.peers import gateway_messages
from lacewingwood.upstreams import event_stream

# A read that waits longer would notice a silent connection too late.
_READ_WAIT_MS = 1_500.0
# Bounds the reads a second while records come one by one.
_READ_PAUSE_MS = 60.0
_RETRY_MS = 150.0
# Most bytes of one append; a longer one would hold up the others.
_APPEND_BYTES = 512 << 10
_SWEEP_MS = 5_000.0
# An earlier owner's progress may come before the partition was read.
_ADOPT_WAIT_MS = 400.0

_log = structlog.get_logger()


class Owner:
    """Runs the jobs of one partition and lists their results.

    All writes carry an epoch: once a later owner has set a greater one,
    nothing of this owner can be appended any more, whatever it believes.

    Attributes:
        index: Number of the partition among all.
        partition: The partition.
        loaded: Set once the partition was read.
    """

    def __init__(
        self,
        index: int,
        partition: compacted.Partition,
        min_epoch: int,
        log: compacted.CompactedLog,
        scheduler: schedulers.Scheduler,
        clock: clocks.Clock,
        wall_ms: Callable[[], int],
        metrics: metrics_lib.Registry,
        *,
        retention_ms: float,
    ) -> None:
        """Makes an owner that `run` drives.

        Args:
            index: Number of the partition among all.
            partition: The partition.
            min_epoch: Greater than those of owners on other hosts.
            log: Where the records are.
            scheduler: Runs the items.
            clock: Source of time.
            wall_ms: Returns Unix time.
            metrics: Where events are counted.
            retention_ms: How long a job stays readable after its submission.
        """
        self.index = index
        self.partition = partition
        self.loaded = trio.Event()
        self._writer = writers.Writer(log, partition, min_epoch, clock, metrics)
        self._scheduler = scheduler
        self._clock = clock
        self._wall_ms = wall_ms
        self._metrics = metrics
        self._retention_ms = retention_ms
        self._table = tables.Table()
        self._tasks: dict[tuple[str, int], running.ItemTask] = {}
        self._outbox: collections.deque[tuple[str, records.Result]]
        self._outbox = collections.deque()
        self._has_work = trio.Event()
        self._changed = trio.Event()
        self._follower = follow.Follower(
            log,
            partition,
            self._apply_all,
            self._apply_all,
            clock,
            metrics,
            wait_ms=_READ_WAIT_MS,
            pause_ms=_READ_PAUSE_MS,
        )

    @property
    def epoch(self) -> int:
        """This owner's epoch."""
        return self._writer.epoch

    @property
    def lost(self) -> trio.Event:
        """Set once a later owner was noticed, or this one has ended."""
        return self._writer.lost

    async def run(self) -> None:
        """Owns the partition until cancelled or fenced.

        Items run on until `stop_items` is called.
        """
        try:
            await self._claim()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._follower.run)
                nursery.start_soon(self._write_results)
                nursery.start_soon(self._sweep)
                await self.lost.wait()
                nursery.cancel_scope.cancel()
        finally:
            self.lost.set()
            self._notify()

    async def read(
        self, key: str, start: int, wait_ms: float
    ) -> tuple[int, list[records.Result], records.Job]:
        """Returns total, results from `start` on, and the job.

        Raises:
            errors.UnknownJobError: No such job exists.
            errors.UnavailableError: This owner can't tell.
        """
        entry = await self._find(key)
        assert entry.job is not None
        limit = trio.current_time() + wait_ms / 1000
        while len(entry.results) <= start and not entry.complete:
            changed = self._changed
            with trio.move_on_at(limit) as scope:
                await changed.wait()
            if scope.cancelled_caught or self.lost.is_set():
                break
        if self.lost.is_set() and len(entry.results) <= start:
            raise errors.UnavailableError("the partition has a new owner")
        return len(entry.job.items), entry.results[start:], entry.job

    async def item_body(self, key: str, item_id: str) -> bytes:
        """Returns the body of an item that is not listed yet.

        Raises:
            errors.UnknownJobError: There is none.
            errors.UnavailableError: This owner can't tell.
        """
        entry = await self._find(key)
        index = entry.item_index(item_id)
        if index is None or index in entry.listed or entry.ended:
            raise errors.UnknownJobError("the item has no body any more")
        body = entry.bodies.get(index)
        if body is None:
            raise errors.UnavailableError(
                "the item's body has not been read yet"
            )
        return body

    async def end(self, key: str) -> None:
        """Ends a job; returns once that is on the log.

        Raises:
            errors.UnknownJobError: No such job exists.
            errors.UnavailableError: The log can't be written now.
        """
        entry = await self._find(key)
        if entry.ended:
            return
        self._drop_tasks(key)
        try:
            await self._append([records.end_record(key)])
        except log_errors.LogError as exc:
            raise errors.UnavailableError(exc.message) from exc
        _log.info("job ended", job=key, epoch=self.epoch)

    async def apply_progress(
        self, progress: gateway_messages.JobProgress
    ) -> None:
        """Goes on from what an earlier owner reached with an item.

        Raises:
            errors.UnavailableError: The partition is not read yet.
        """
        with trio.move_on_after(_ADOPT_WAIT_MS / 1000):
            await self.loaded.wait()
        if not self.loaded.is_set():
            raise errors.UnavailableError("the partition is being read")
        key = records.job_key(progress.customer, progress.job_id)
        task = self._tasks.get((key, progress.item))
        if task is None or not task.behind(progress):
            return
        self._scheduler.remove(task)
        if progress.completed is not None:
            output = b"\n".join(progress.output)
            result = records.Result(progress.item, progress.completed, output)
            self._note_result(task, result)
            return
        following = running.ItemTask(task.job, task.index, task.body)
        following.events = event_stream.Splitter(progress.last_event)
        following.output = list(progress.output)
        following.failures = progress.failures
        self._tasks[key, task.index] = following
        self._scheduler.add(following, self._note_result)

    def stop_items(self) -> list[gateway_messages.JobProgress]:
        """Stops all items; returns what the next owner can go on from."""
        progress = [
            _progress(key, result.item, None, [result.output], 0, result)
            for key, result in self._outbox
        ]
        self._outbox.clear()
        for (key, index), task in self._tasks.items():
            self._scheduler.remove(task)
            if task.events.last_id is not None or task.failures:
                progress.append(
                    _progress(
                        key,
                        index,
                        task.events.last_id,
                        # The run may take what it has read already before
                        # its cancellation reaches it.
                        list(task.output),
                        task.failures,
                        None,
                    )
                )
        self._tasks.clear()
        return progress

    async def remove_expired_jobs(self) -> None:
        """Removes the records of jobs that need not be readable any more."""
        limit_ms = (
            self._wall_ms() - self._retention_ms - records.MAX_CLOCK_SKEW_MS
        )
        for entry in list(self._table.entries()):
            job = entry.job
            if job and job.submitted_ms < limit_ms and not entry.open:
                await self._try_append(_removal(entry))

    def has_job(self, key: str) -> bool:
        """Returns whether a job is known to exist."""
        return self._table.get(key) is not None

    async def _find(self, key: str) -> tables.Entry:
        """Returns a job; makes sure that an unknown one does not exist."""
        entry = self._table.get(key)
        if entry is None:
            if not self.loaded.is_set() or self.lost.is_set():
                raise errors.UnavailableError("the partition is being read")
            await self._catch_up()
            entry = self._table.get(key)
        if entry is None:
            raise errors.UnknownJobError("no such job")
        return entry

    async def _catch_up(self) -> None:
        try:
            await self._follower.step(0)
        except log_errors.LogError as exc:
            raise errors.UnavailableError(exc.message) from exc
        if self.lost.is_set():
            raise errors.UnavailableError("the partition has a new owner")

    async def _claim(self) -> None:
        """Shuts out all earlier owners, then reads all that they wrote."""
        snapshot = await self._writer.claim()
        self._table.load(snapshot.records)
        self._follower.position = snapshot.next_offset
        await self._read_rest()

    async def _read_rest(self) -> None:
        """Reads what was written between the snapshot and the claim."""
        while True:
            try:
                await self._follower.step(0)
                break
            except log_errors.LogError as exc:
                self._metrics.add("claims_failed", code=exc.code)
                await self._clock.sleep_ms(_RETRY_MS)
        self.loaded.set()
        entries = self._table.entries()
        for entry in entries:
            self._sync_tasks(entry)
        _log.info(
            "partition loaded",
            partition=self.index,
            epoch=self.epoch,
            jobs=len(list(entries)),
            items=len(self._tasks),
        )
        self._notify()

    def _apply_all(self, page: list[compacted.Record]) -> None:
        for record in page:
            change = self._table.apply(record)
            match change:
                case records.JobChange(key, job) if job is not None:
                    entry = self._table.get(key)
                    if entry is not None and self.loaded.is_set():
                        self._sync_tasks(entry)
                case records.EndChange(key):
                    self._drop_tasks(key)
                case _:
                    pass
        if page:
            self._notify()

    def _sync_tasks(self, entry: tables.Entry) -> None:
        """Hands items without a result to the scheduler, once each."""
        if not entry.open or entry.job is None:
            return
        queued = {i for key, _, i in self._queued() if key == entry.key}
        for index in entry.unlisted():
            if (entry.key, index) in self._tasks or index in queued:
                continue
            body = entry.bodies.get(index)
            if body is None:
                _log.error("item without body", job=entry.key, item=index)
                continue
            task = running.ItemTask(entry.job, index, body)
            self._tasks[entry.key, index] = task
            self._scheduler.add(task, self._note_result)

    def _queued(self) -> list[tuple[str, records.Result, int]]:
        return [(key, result, result.item) for key, result in self._outbox]

    def _drop_tasks(self, key: str) -> None:
        for job_key, index in [k for k in self._tasks if k[0] == key]:
            self._scheduler.remove(self._tasks.pop((job_key, index)))

    def _note_result(
        self, task: running.ItemTask, result: records.Result
    ) -> None:
        key = records.job_key(task.job.customer, task.job.id)
        self._tasks.pop((key, task.index), None)
        self._outbox.append((key, result))
        self._has_work.set()

    async def _write_results(self) -> None:
        await self.loaded.wait()
        while True:
            if not self._outbox:
                self._has_work = trio.Event()
                await self._has_work.wait()
            await self._write_some()

    async def _write_some(self) -> None:
        """Lists as many results as fit into one append."""
        batch: list[compacted.Record] = []
        positions: dict[str, int] = {}
        taken: list[tuple[str, records.Result]] = []
        size = 0
        for pair in self._outbox:
            key, result = pair
            entry = self._table.get(key)
            if entry is not None and result.item not in entry.listed:
                position = positions.setdefault(key, len(entry.results))
                positions[key] += 1
                batch += records.result_records(key, position, result)
                size += len(result.output)
            taken.append(pair)
            if size >= _APPEND_BYTES:
                break
        if batch and not await self._try_append(batch):
            return
        # It may have been given to the next owner meanwhile.
        for pair in taken:
            if self._outbox and self._outbox[0] is pair:
                self._outbox.popleft()

    async def _try_append(self, batch: list[compacted.Record]) -> bool:
        try:
            await self._append(batch)
        except compacted.FencedError:
            return False
        except log_errors.LogError as exc:
            self._metrics.add("result_appends_failed", code=exc.code)
            await self._clock.sleep_ms(_RETRY_MS)
            return False
        return True

    async def _append(self, batch: list[compacted.Record]) -> None:
        """Appends under this owner's epoch and takes the records over."""
        await self._writer.append(batch)
        for record in batch:
            self._table.apply(record)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def _sweep(self) -> None:
        await self.loaded.wait()
        while True:
            await self._clock.sleep_ms(_SWEEP_MS)
            await self.remove_expired_jobs()


def _progress(
    key: str,
    index: int,
    last_event: int | None,
    output: list[bytes],
    failures: int,
    result: records.Result | None,
) -> gateway_messages.JobProgress:
    customer, _, job_id = key.partition("/")
    completed = result.completed if result is not None else None
    return gateway_messages.JobProgress(
        customer, job_id, index, last_event, output, failures, completed
    )


def _removal(entry: tables.Entry) -> list[compacted.Record]:
    """Returns the records that remove a job."""
    key = entry.key
    keys = [f"b/{key}/{index}" for index in entry.bodies]
    keys += [f"r/{key}/{n}" for n in range(len(entry.results))]
    if entry.ended:
        keys.append(f"e/{key}")
    return [compacted.Record(k, None) for k in [*keys, f"j/{key}"]]
