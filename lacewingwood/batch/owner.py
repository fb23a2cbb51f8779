"""Runs the jobs whose lease `job/ID` this worker holds."""

import random
from collections.abc import AsyncIterator
from typing import Any

import msgspec
import trio

from lacewingwood.batch import deps as deps_module
from lacewingwood.batch import dispatch
from lacewingwood.batch import errors
from lacewingwood.batch import files
from lacewingwood.batch import recorder
from lacewingwood.batch import results
from lacewingwood.batch import schedule
from lacewingwood.peers import messages
from lacewingwood.state import errors as state_errors
from lacewingwood.state import records

# Limits of the open items of a job, which are read from its input and have no
# result yet, by number and by size.
_MAX_OPEN_ITEMS = 4_096
_MAX_OPEN_BYTES = 8 * 1024 * 1024
# No items are started while the results of all jobs that the log has not
# acknowledged exceed this size. It bounds memory during an outage of the log.
_MAX_UNRECORDED_BYTES = 32 * 1024 * 1024
_CHECK_INTERVAL_MS = 100.0
_RETRY_DELAY_MS = 500.0
# A handover waits this long for running items to return the text that they have
# produced, and then this long for the log to record results.
_HAND_OVER_TIMEOUT_MS = 2_000.0
# Expected tokens of an answer whose length the request does not limit.
_DEFAULT_ANSWER_TOKENS = 256
_MAX_ANSWER_TOKENS = 1_000_000
_BYTES_PER_TOKEN = 4


class _Limits(msgspec.Struct):
    """Model of a request and the fields that limit its answer."""

    model: str
    max_tokens: Any = None
    max_completion_tokens: Any = None


class _Usage(msgspec.Struct):
    total_tokens: int = 0


class _Answer(msgspec.Struct):
    usage: _Usage | None = None


class _InputLine(msgspec.Struct):
    """Fields of an input line that the owner needs."""

    custom_id: str
    body: msgspec.Raw


_line_decoder = msgspec.json.Decoder(_InputLine)
_limits_decoder = msgspec.json.Decoder(_Limits)
_answer_decoder = msgspec.json.Decoder(_Answer)


class _OwnedJob:
    """A job that this worker owns.

    Attributes:
        job: The job.
        epoch: Epoch of the job's lease.
        recorder: Writes the results to the log.
        estimate: Estimates whether the job is late.
        scope: Cancels the job.
        open_items: Indexes of items that are read and have no result.
        open_bytes: Size of their request bodies.
        stopping: True once the job is being handed over.
        changed: Set and replaced when an item ended or the state changed.
    """

    __slots__ = (
        "changed",
        "epoch",
        "estimate",
        "job",
        "open_bytes",
        "open_items",
        "recorder",
        "scope",
        "stopping",
    )

    def __init__(
        self,
        job: records.Job,
        epoch: int,
        record: recorder.Recorder,
        now_ms: float,
    ) -> None:
        self.job = job
        self.epoch = epoch
        self.recorder = record
        self.estimate = schedule.DeadlineEstimate(now_ms)
        self.scope = trio.CancelScope()
        self.open_items: set[int] = set()
        self.open_bytes = 0
        self.stopping = False
        self.changed = trio.Event()

    def notify(self) -> None:
        """Wakes the tasks that wait for `changed`."""
        changed, self.changed = self.changed, trio.Event()
        changed.set()


class Owner:
    """Runs all jobs that this worker owns."""

    __slots__ = ("_deps", "_dispatcher", "_jobs", "_schedule")

    def __init__(self, deps: deps_module.Deps, rng: random.Random) -> None:
        self._deps = deps
        self._schedule = schedule.Schedule(self._weight)
        self._dispatcher = dispatch.Dispatcher(
            deps, self._schedule, self._handle_outcome, self._may_send, rng
        )
        self._jobs: dict[str, _OwnedJob] = {}

    @property
    def jobs(self) -> dict[str, int]:
        """Lease epochs of the jobs that run here, by job id."""
        return {name: owned.epoch for name, owned in self._jobs.items()}

    async def run(self) -> None:
        """Dispatches items until cancelled."""
        await self._dispatcher.run()

    def handle_offer(self, message: messages.RoomOffer) -> None:
        """Stores a replica's offer of capacity."""
        self._dispatcher.handle_offer(message)

    async def run_job(self, job: records.Job, epoch: int) -> None:
        """Runs one job until it ends, is cancelled or gets another owner."""
        record = recorder.Recorder(
            self._deps.log,
            self._deps.clock,
            job.job_id,
            epoch,
            self._deps.node_id,
        )
        owned = _OwnedJob(job, epoch, record, self._deps.clock.now_ms())
        self._jobs[job.job_id] = owned
        try:
            with owned.scope:
                await self._run_job(owned)
        except* errors.SupersededError:
            self._deps.metrics.add("batch_jobs_superseded")
        finally:
            # The entry was replaced if the lease was lost and claimed again.
            if self._jobs.get(job.job_id) is owned:
                del self._jobs[job.job_id]
                self._schedule.remove_job(job.job_id)
                self._dispatcher.stop_job(job.job_id, epoch, abandon=True)

    async def hand_over(self, job_id: str) -> None:
        """Stops a job and records its results before its lease is released."""
        owned = self._jobs.get(job_id)
        if owned is None:
            return
        owned.stopping = True
        self._schedule.remove_job(job_id)
        self._dispatcher.stop_job(job_id, owned.epoch, abandon=False)
        with trio.move_on_after(_HAND_OVER_TIMEOUT_MS / 1000):
            while self._dispatcher.running_count(job_id):
                await owned.changed.wait()
        with trio.move_on_after(_HAND_OVER_TIMEOUT_MS / 1000):
            await self._flush_results(owned)
        owned.scope.cancel()

    async def _flush_results(self, owned: _OwnedJob) -> None:
        try:
            await owned.recorder.flush()
        except errors.BatchError:
            self._deps.metrics.add("batch_hand_over_unrecorded")

    async def _run_job(self, owned: _OwnedJob) -> None:
        await self._start_recorder(owned)
        job = owned.job
        due_ms = self._due_ms(job)
        self._schedule.add_job(job.job_id, job.customer, due_ms)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(owned.recorder.run)
            nursery.start_soon(self._watch_job, owned)
            await self._schedule_items(owned)
            while len(owned.recorder.replay.done) < job.items:
                await owned.recorder.wait_recorded()
            await self._publish_finished(owned)
            nursery.cancel_scope.cancel()

    async def _start_recorder(self, owned: _OwnedJob) -> None:
        while True:
            try:
                await owned.recorder.start()
            except errors.UnavailableError:
                await self._deps.clock.sleep_ms(_RETRY_DELAY_MS)
            else:
                return

    async def _schedule_items(self, owned: _OwnedJob) -> None:
        """Schedules every item without a result."""
        start = 0
        while True:
            try:
                async for index, line in self._read_lines(owned, start):
                    await self._schedule_item(owned, index, line)
                    start = index + 1
            except errors.UnavailableError:
                await self._deps.clock.sleep_ms(_RETRY_DELAY_MS)
            except errors.BatchError as exc:
                self._fail_unread(owned, start, exc)
                return
            else:
                return

    async def _read_lines(
        self, owned: _OwnedJob, start: int
    ) -> AsyncIterator[tuple[int, bytes]]:
        index = 0
        store = files.FileStore(self._deps.log, self._deps.clock)
        async for line in store.read_lines(owned.job.input_file):
            if index >= start:
                yield index, line
            index += 1

    async def _schedule_item(
        self, owned: _OwnedJob, index: int, line: bytes
    ) -> None:
        if index in owned.recorder.replay.done or index in owned.open_items:
            return
        while self._read_ahead_full(owned):
            await owned.changed.wait()
        item = _parse_item(owned.job.job_id, index, line)
        owned.open_items.add(index)
        owned.open_bytes += len(item.body)
        self._schedule.add_item(item)
        self._dispatcher.wake()

    def _may_send(self, job_id: str) -> bool:
        """Returns whether items of a job may be sent to replicas.

        The job's lease must be held, and the unrecorded results must be within
        their limit.
        """
        owned = self._jobs.get(job_id)
        held = self._deps.leases.held(f"job/{job_id}")
        if owned is None or held != owned.epoch:
            return False
        pending = sum(r.recorder.pending_bytes for r in self._jobs.values())
        return pending < _MAX_UNRECORDED_BYTES

    def _read_ahead_full(self, owned: _OwnedJob) -> bool:
        """Returns whether the open items reached one of their limits."""
        return (
            len(owned.open_items) >= _MAX_OPEN_ITEMS
            or owned.open_bytes >= _MAX_OPEN_BYTES
        )

    def _fail_unread(
        self, owned: _OwnedJob, start: int, exc: errors.BatchError
    ) -> None:
        """Records a failure for items whose input cannot be read."""
        for index in range(start, owned.job.items):
            if index not in owned.recorder.replay.done:
                owned.recorder.add(
                    results.Result(index, "", 0, b"", exc.code, exc.message)
                )

    def _handle_outcome(
        self, item: schedule.Item, outcome: dispatch.Outcome
    ) -> None:
        """Records the result of a run or schedules the item again."""
        owned = self._jobs.get(item.job_id)
        if owned is None or item.index not in owned.open_items:
            return
        match outcome:
            case messages.ItemDone(response=response):
                self._schedule.adjust_cost(
                    item, _used_tokens(response, item.cost_tokens)
                )
                result = results.Result(
                    item.index, item.custom_id, 200, response
                )
                self._record_result(owned, item, result)
            case _:
                self._retry_or_fail(owned, item, outcome)
        owned.notify()

    def _retry_or_fail(
        self,
        owned: _OwnedJob,
        item: schedule.Item,
        outcome: dispatch.NoAnswer,
    ) -> None:
        failure = schedule.apply_outcome(item, outcome)
        if failure is None:
            self._schedule.add_item(item)
            return
        result = results.Result(
            item.index,
            item.custom_id,
            0,
            b"",
            failure.code,
            failure.message,
        )
        self._record_result(owned, item, result)

    def _record_result(
        self, owned: _OwnedJob, item: schedule.Item, result: results.Result
    ) -> None:
        owned.open_items.discard(item.index)
        owned.open_bytes -= len(item.body)
        owned.estimate.item_ended()
        owned.recorder.add(result)

    async def _watch_job(self, owned: _OwnedJob) -> None:
        """Stops the job when it is cancelled or its lease is lost."""
        job_id = owned.job.job_id
        while True:
            state = self._deps.follower.view.jobs.get(job_id)
            ended = state is None or state.status == "cancelled"
            if ended or self._lease_lost(owned):
                owned.scope.cancel()
            self._update_late(owned)
            owned.notify()
            await self._wait_change_or_check()

    async def _wait_change_or_check(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._cancel_after_interval, nursery.cancel_scope
            )
            await self._deps.follower.wait_change()
            nursery.cancel_scope.cancel()

    async def _cancel_after_interval(self, scope: trio.CancelScope) -> None:
        await self._deps.clock.sleep_ms(_CHECK_INTERVAL_MS)
        scope.cancel()

    def _lease_lost(self, owned: _OwnedJob) -> bool:
        # While the view is outdated, no lease is usable, but it may still be
        # held once the view is current again.
        held = self._deps.leases.held(f"job/{owned.job.job_id}")
        return self._deps.follower.fresh() and held != owned.epoch

    def _update_late(self, owned: _OwnedJob) -> None:
        if owned.stopping:
            return
        recorded = len(owned.recorder.replay.done)
        remaining = owned.job.items - recorded - owned.recorder.pending
        now_ms = self._deps.clock.now_ms()
        due_ms = self._due_ms(owned.job)
        late = owned.estimate.is_late(now_ms, due_ms, remaining)
        owned.recorder.set_late(late)

    async def _publish_finished(self, owned: _OwnedJob) -> None:
        progress = owned.recorder.replay.progress
        body = records.JobFinished(
            owned.job.job_id,
            progress.completed,
            progress.failed,
            self._deps.wall_ms(),
        )
        while True:
            try:
                await self._deps.follower.publish(body)
            except state_errors.ConflictError:
                return
            except state_errors.StateError:
                await self._deps.clock.sleep_ms(_RETRY_DELAY_MS)
            else:
                return

    def _due_ms(self, job: records.Job) -> float:
        """Returns the job's deadline on the monotonic clock."""
        left_ms = job.due_ms - self._deps.wall_ms()
        return self._deps.clock.now_ms() + left_ms

    def _weight(self, customer: str) -> float:
        found = self._deps.follower.view.customers.get(customer)
        return max(found.weight, 1e-6) if found is not None else 1.0


def _parse_item(job_id: str, index: int, line: bytes) -> schedule.Item:
    parsed = _line_decoder.decode(line)
    body = bytes(parsed.body)
    limits = _limits_decoder.decode(body)
    cost = len(body) / _BYTES_PER_TOKEN + _answer_tokens(limits)
    return schedule.Item(
        job_id, index, parsed.custom_id, body, limits.model, cost
    )


def _answer_tokens(limits: _Limits) -> int:
    # The engine validates these fields; a wrong value only makes the estimate
    # wrong.
    for tokens in (limits.max_completion_tokens, limits.max_tokens):
        if isinstance(tokens, int) and 0 < tokens <= _MAX_ANSWER_TOKENS:
            return tokens
    return _DEFAULT_ANSWER_TOKENS


def _used_tokens(response: bytes, cost: float) -> float:
    """Returns the tokens an answer used, or `cost` if it does not say."""
    try:
        usage = _answer_decoder.decode(response).usage
    except msgspec.MsgspecError:
        return cost
    return float(usage.total_tokens) if usage is not None else cost
