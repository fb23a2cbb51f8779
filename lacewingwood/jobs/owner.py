"""The owner of one partition of the job topics.

Only the owner runs the partition's items and writes their results.
"""

import collections
from collections.abc import Callable

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import admission
from lacewingwood.jobs import errors
from lacewingwood.jobs import item_tasks
from lacewingwood.jobs import payloads
from lacewingwood.jobs import records
from lacewingwood.jobs import scheduler as schedulers
from lacewingwood.jobs import table as tables
from lacewingwood.jobs import writer as writers
from lacewingwood.log import compacted
from lacewingwood.log import errors as log_errors
from lacewingwood.log import follow
from lacewingwood.peers import gateway_messages
from lacewingwood.routing import origins
from lacewingwood.upstreams import event_stream

# How long a read waits for records. A longer wait would delay the detection of
# a connection that has gone silent.
_READ_WAIT_MS = 1_500.0
# Pause between reads; limits their rate while records arrive one by one.
_READ_PAUSE_MS = 60.0
_RETRY_DELAY_MS = 150.0
# Output bytes after which a batch is appended; a longer append would delay
# those that wait for it.
_BATCH_TARGET_BYTES = 512 << 10
_REMOVAL_INTERVAL_MS = 5_000.0
# How long an earlier owner's progress waits for this owner to be loaded.
_LOAD_WAIT_MS = 400.0

_log = structlog.get_logger()


class Owner:
    """Runs the jobs of one partition and writes their results.

    All appends carry this owner's epoch. Once a later owner has claimed the
    partition with a greater epoch, the log rejects the appends of this owner,
    even if it has not noticed yet.

    Attributes:
        index: Index of the partition among those of all job topics.
        partition: The partition.
        loaded: Set once the partition has been read.
    """

    def __init__(
        self,
        index: int,
        partition: compacted.Partition,
        min_epoch: int,
        log: compacted.CompactedLog,
        cache: payloads.Cache,
        scheduler: schedulers.Scheduler,
        clock: clocks.Clock,
        wall_ms: Callable[[], int],
        metrics: metrics_lib.Registry,
        *,
        retention_ms: float,
    ) -> None:
        """Creates an owner, which does nothing until `run` is called.

        Args:
            index: Index of the partition among those of all job topics.
            partition: The partition.
            min_epoch: Lowest epoch to claim; greater than the epochs of all
                earlier owners on other hosts.
            log: The log that stores the records.
            cache: Holds bodies and outputs.
            scheduler: Runs the items.
            clock: Source of monotonic time.
            wall_ms: Returns Unix time.
            metrics: Registry of counters.
            retention_ms: How long a job stays readable after its submission.
        """
        self.index = index
        self.partition = partition
        self.loaded = trio.Event()
        self._log = log
        self._writer = writers.Writer(log, partition, min_epoch, clock, metrics)
        self._scheduler = scheduler
        self._clock = clock
        self._wall_ms = wall_ms
        self._metrics = metrics
        self._retention_ms = retention_ms
        self._cache = cache
        self._table = tables.Table(cache.partition(partition).add)
        self._tasks: dict[tuple[str, int], item_tasks.ItemTask] = {}
        self._outbox: collections.deque[tuple[str, records.Result]]
        self._outbox = collections.deque()
        self._outbox_filled = trio.Event()
        self._changed = trio.Event()
        # Appends of several submissions at once would conflict.
        self._admission_lock = trio.Lock()
        self._follower = follow.Follower(
            log,
            partition,
            self._apply_records,
            self._apply_records,
            clock,
            metrics,
            wait_ms=_READ_WAIT_MS,
            pause_ms=_READ_PAUSE_MS,
            scan=cache.scan,
        )

    @property
    def epoch(self) -> int:
        """This owner's epoch."""
        return self._writer.epoch

    @property
    def lost(self) -> trio.Event:
        """Set once the log has reported a later owner, or `run` has ended."""
        return self._writer.lost

    async def run(self) -> None:
        """Owns the partition until cancelled or fenced by a later owner.

        The scheduler continues to run the items until `stop_items` is called.
        """
        try:
            await self._claim()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._follower.run)
                nursery.start_soon(self._write_results)
                nursery.start_soon(self._remove_expired_periodically)
                await self.lost.wait()
                nursery.cancel_scope.cancel()
        finally:
            self.lost.set()
            self._notify()

    async def read(
        self, key: str, start: int, wait_ms: float
    ) -> tuple[int, list[tables.ListedResult], records.Job]:
        """Reads results of a job.

        Args:
            key: The job's key.
            start: Position of the first result to return.
            wait_ms: How long to wait if no such result exists yet.

        Returns:
            The job's number of items, the results from `start` on, and the
            job.

        Raises:
            errors.UnknownJobError: No such job exists.
            errors.UnavailableError: The partition is not loaded, the log can't
                be read, or a later owner exists.
        """
        entry = await self._find(key)
        assert entry.job is not None
        deadline = trio.current_time() + wait_ms / 1000
        while len(entry.results) <= start and not entry.complete:
            changed = self._changed
            with trio.move_on_at(deadline) as scope:
                await changed.wait()
            if scope.cancelled_caught or self.lost.is_set():
                break
        if self.lost.is_set() and len(entry.results) <= start:
            raise errors.UnavailableError("the partition has a new owner")
        return len(entry.job.items), entry.results[start:], entry.job

    async def item_body(self, key: str, item_id: str) -> bytes:
        """Returns the body of an item that has no result yet.

        Raises:
            errors.UnknownJobError: No such job or item exists, the item has a
                result, or the job has ended.
            errors.UnavailableError: The partition is not loaded, the log can't
                be read, a later owner exists, or the body was not read yet.
        """
        entry = await self._find(key)
        index = entry.item_index(item_id)
        if index is None or index in entry.finished_items or entry.ended:
            raise errors.UnknownJobError("no unfinished item with this id")
        body = entry.bodies.get(index)
        if body is None:
            raise errors.UnavailableError(
                "the item's body has not been read yet"
            )
        try:
            return await body.load()
        except log_errors.LogError as exc:
            raise errors.UnavailableError(exc.message) from exc

    async def end(self, key: str) -> None:
        """Ends a job; returns once the end record is on the log.

        Raises:
            errors.UnknownJobError: No such job exists.
            errors.UnavailableError: The partition is not loaded, a later owner
                exists, or the log can't be read or written.
        """
        entry = await self._find(key)
        if entry.ended:
            return
        try:
            await self._append([records.end_record(key)])
        except log_errors.LogError as exc:
            raise errors.UnavailableError(exc.message) from exc
        # Not before: the job is still open if the log refuses its end.
        self._cancel_tasks(key)
        _log.info("job ended", job=key, epoch=self.epoch)

    async def admit(
        self,
        job: records.Job,
        batches: list[list[compacted.Record]],
        limit: int,
        find_route: admission.FindRoute,
    ) -> None:
        """Accepts a job if it fits the limit of its route's waiting tokens.

        See `admission.Admission`.

        Raises:
            errors.UnavailableError: The partition is not loaded, a later owner
                exists, or the job's route is not known here.
        """
        if find_route(job.host, job.path) is None:
            # Without the route, the tokens of all routes would be counted.
            raise errors.UnavailableError("the job's route is not known")
        with trio.move_on_after(_LOAD_WAIT_MS / 1000):
            await self.loaded.wait()
        if not self.loaded.is_set() or self.lost.is_set():
            raise errors.UnavailableError("the partition is being read")
        async with self._admission_lock:
            await admission.Admission(
                self._log,
                self.partition,
                self,
                job,
                batches,
                limit,
                find_route,
            ).run()

    @property
    def table(self) -> tables.Table:
        """The partition's jobs, see `admission.View`."""
        return self._table

    async def refresh(self) -> int:
        """Reads to the log's end, see `admission.View`."""
        await self._follower.catch_up()
        return self._follower.position

    async def apply_progress(
        self, progress: gateway_messages.JobProgress
    ) -> None:
        """Continues an item from the progress that an earlier owner made.

        Raises:
            errors.UnavailableError: The partition is not loaded yet.
        """
        with trio.move_on_after(_LOAD_WAIT_MS / 1000):
            await self.loaded.wait()
        if not self.loaded.is_set():
            raise errors.UnavailableError("the partition is being read")
        key = records.job_key(progress.customer, progress.job_id)
        task = self._tasks.get((key, progress.item))
        if task is None or not task.is_behind(progress):
            return
        self._scheduler.remove(task)
        if progress.completed is not None:
            output = b"\n".join(progress.output)
            result = records.Result(progress.item, progress.completed, output)
            self._note_result(task, result)
            return
        resumed = item_tasks.ItemTask(task.job, task.index, task.body)
        resumed.failures = progress.failures
        if progress.origin is not None:
            resumed.events = event_stream.Splitter(progress.last_event)
            resumed.origin = progress.origin
            resumed.add_output(progress.output)
        self._tasks[key, task.index] = resumed
        self._scheduler.add(resumed, self._note_result)

    def stop_items(self) -> list[gateway_messages.JobProgress]:
        """Stops all items; returns their progress for the next owner."""
        progress = [
            self._progress_message(
                key, result.item, None, [result.output], 0, result, None
            )
            for key, result in self._outbox
        ]
        self._outbox.clear()
        for (key, index), task in self._tasks.items():
            self._scheduler.remove(task)
            if task.events.last_id is not None or task.failures:
                progress.append(
                    self._progress_message(
                        key,
                        index,
                        task.events.last_id,
                        # Copied, since the cancelled run may still add events
                        # that it has already read.
                        list(task.output),
                        task.failures,
                        None,
                        task.origin,
                    )
                )
        self._tasks.clear()
        return progress

    async def remove_expired_jobs(self) -> None:
        """Removes the records of finished jobs whose retention has expired."""
        limit_ms = (
            self._wall_ms() - self._retention_ms - records.MAX_CLOCK_SKEW_MS
        )
        for entry in list(self._table.entries()):
            job = entry.job
            if job and job.submitted_ms < limit_ms and not entry.open:
                await self._try_append(_removal_records(entry))

    def has_job(self, key: str) -> bool:
        """Returns whether the specification of a job has been read."""
        return self._table.get(key) is not None

    async def _find(self, key: str) -> tables.Entry:
        """Returns a job; reads the log's end before denying that it exists."""
        if not self.loaded.is_set():
            # The table holds a part of the partition, and only until the claim
            # is tried again.
            raise errors.UnavailableError("the partition is being read")
        entry = self._table.get(key)
        if entry is None:
            if self.lost.is_set():
                raise errors.UnavailableError("the partition has a new owner")
            await self._catch_up()
            entry = self._table.get(key)
        if entry is None:
            raise errors.UnknownJobError("no such job")
        return entry

    async def _catch_up(self) -> None:
        try:
            await self.refresh()
        except log_errors.LogError as exc:
            raise errors.UnavailableError(exc.message) from exc
        if self.lost.is_set():
            raise errors.UnavailableError("the partition has a new owner")

    async def _claim(self) -> None:
        """Fences all earlier owners, then reads all of their records."""
        self._follower.position = await self._writer.claim(
            self._cache.scan, self._table
        )
        await self._read_after_snapshot()

    async def _read_after_snapshot(self) -> None:
        """Reads the records between the snapshot and the claim.

        All of them must be known before a result is written: results are
        numbered by the number of those before them.
        """
        start = self._follower.position
        while True:
            try:
                await self._follower.catch_up()
                break
            except log_errors.LogError as exc:
                self._metrics.add("claims_failed", code=exc.code)
                await self._clock.sleep_ms(_RETRY_DELAY_MS)
        self.loaded.set()
        entries = self._table.entries()
        for entry in entries:
            self._schedule_items(entry)
        _log.info(
            "partition loaded",
            partition=self.index,
            epoch=self.epoch,
            after_snapshot=self._follower.position - start,
            jobs=len(list(entries)),
            items=len(self._tasks),
        )
        self._notify()

    def _apply_records(self, page: list[compacted.Record]) -> None:
        for record in page:
            change = self._table.apply(record)
            match change:
                case records.JobChange(key, job) if job is not None:
                    entry = self._table.get(key)
                    if entry is not None and self.loaded.is_set():
                        self._schedule_items(entry)
                case records.EndChange(key):
                    self._cancel_tasks(key)
                case _:
                    pass
        if page:
            self._notify()

    def _schedule_items(self, entry: tables.Entry) -> None:
        """Adds a job's unfinished items to the scheduler, once each."""
        if not entry.open or entry.job is None:
            return
        unwritten = {
            i for key, _, i in self._unwritten_results() if key == entry.key
        }
        for index in entry.unfinished_items():
            if (entry.key, index) in self._tasks or index in unwritten:
                continue
            body = entry.bodies.get(index)
            if body is None:
                _log.error(
                    "unfinished item has no body", job=entry.key, item=index
                )
                continue
            task = item_tasks.ItemTask(entry.job, index, body)
            self._tasks[entry.key, index] = task
            self._scheduler.add(task, self._note_result)

    def _unwritten_results(self) -> list[tuple[str, records.Result, int]]:
        return [(key, result, result.item) for key, result in self._outbox]

    def _cancel_tasks(self, key: str) -> None:
        for job_key, index in [k for k in self._tasks if k[0] == key]:
            self._scheduler.remove(self._tasks.pop((job_key, index)))

    def _note_result(
        self, task: item_tasks.ItemTask, result: records.Result
    ) -> None:
        key = records.job_key(task.job.customer, task.job.id)
        self._tasks.pop((key, task.index), None)
        self._outbox.append((key, result))
        self._outbox_filled.set()

    async def _write_results(self) -> None:
        await self.loaded.wait()
        while True:
            if not self._outbox:
                self._outbox_filled = trio.Event()
                await self._outbox_filled.wait()
            await self._write_batch()

    async def _write_batch(self) -> None:
        """Writes queued results in one append of about the target size."""
        batch: list[compacted.Record] = []
        next_positions: dict[str, int] = {}
        written: list[tuple[str, records.Result]] = []
        batch_bytes = 0
        for queued in self._outbox:
            key, result = queued
            entry = self._table.get(key)
            if entry is not None and result.item not in entry.finished_items:
                position = next_positions.setdefault(key, len(entry.results))
                next_positions[key] += 1
                batch += records.result_records(key, position, result)
                batch_bytes += len(result.output)
            written.append(queued)
            if batch_bytes >= _BATCH_TARGET_BYTES:
                break
        if batch and not await self._try_append(batch):
            return
        # `stop_items` may have emptied the outbox during the append.
        for queued in written:
            if self._outbox and self._outbox[0] is queued:
                self._outbox.popleft()

    async def _try_append(self, batch: list[compacted.Record]) -> bool:
        try:
            await self._append(batch)
        except compacted.FencedError:
            return False
        except log_errors.LogError as exc:
            self._metrics.add("result_appends_failed", code=exc.code)
            await self._clock.sleep_ms(_RETRY_DELAY_MS)
            return False
        return True

    async def _append(self, batch: list[compacted.Record]) -> None:
        """Appends under this owner's epoch, then updates the table."""
        await self._writer.append(batch)
        for record in batch:
            self._table.apply(record)
        self._notify()

    def _progress_message(
        self,
        key: str,
        index: int,
        last_event: int | None,
        output: list[bytes],
        failures: int,
        result: records.Result | None,
        origin: origins.Origin | None,
    ) -> gateway_messages.JobProgress:
        customer, _, job_id = key.partition("/")
        return gateway_messages.JobProgress(
            customer,
            job_id,
            index,
            last_event,
            output,
            failures,
            result.completed if result is not None else None,
            self.index,
            origin,
        )

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def _remove_expired_periodically(self) -> None:
        await self.loaded.wait()
        while True:
            await self._clock.sleep_ms(_REMOVAL_INTERVAL_MS)
            await self.remove_expired_jobs()


def _removal_records(entry: tables.Entry) -> list[compacted.Record]:
    """Returns the records that remove a job."""
    key = entry.key
    keys = [f"b/{key}/{index}" for index in entry.bodies]
    keys += [f"r/{key}/{n}" for n in range(len(entry.results))]
    if entry.ended:
        keys.append(f"e/{key}")
    return [compacted.Record(k, None) for k in [*keys, f"j/{key}"]]
