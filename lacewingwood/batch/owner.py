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

# Items read ahead of their start, by number and by size.
_AHEAD_ITEMS = 4_096
_AHEAD_BYTES = 8 * 1024 * 1024
# Results of all jobs that an outage of the log keeps in memory; beyond this no
# items are started.
_MAX_PENDING_BYTES = 32 * 1024 * 1024
_CHECK_MS = 100.0
_RETRY_MS = 500.0
# A stop waits this long for what running items have produced.
_HAND_OVER_MS = 2_000.0
# Tokens assumed for an answer whose length the request does not bound.
_ANSWER_TOKENS = 256
_MAX_ANSWER_TOKENS = 1_000_000
_BYTES_PER_TOKEN = 4


class _Limits(msgspec.Struct):
    """Fields of a request that bound its answer."""

    model: str
    max_tokens: Any = None
    max_completion_tokens: Any = None


class _Usage(msgspec.Struct):
    total_tokens: int = 0


class _Answer(msgspec.Struct):
    usage: _Usage | None = None


class _Body(msgspec.Struct):
    """The parts of an input line that the owner needs."""

    custom_id: str
    body: msgspec.Raw


_body_decoder = msgspec.json.Decoder(_Body)
_limits_decoder = msgspec.json.Decoder(_Limits)
_answer_decoder = msgspec.json.Decoder(_Answer)


class _Running:
    """One job that runs here."""

    __slots__ = (
        "ahead_bytes",
        "changed",
        "epoch",
        "estimate",
        "job",
        "open",
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
        self.open: set[int] = set()
        self.ahead_bytes = 0
        self.stopping = False
        self.changed = trio.Event()

    def notify(self) -> None:
        changed, self.changed = self.changed, trio.Event()
        changed.set()


class Owner:
    """Runs all jobs that this worker owns."""

    __slots__ = ("_deps", "_dispatcher", "_jobs", "_schedule")

    def __init__(self, deps: deps_module.Deps, rng: random.Random) -> None:
        self._deps = deps
        self._schedule = schedule.Schedule(self._weight)
        self._dispatcher = dispatch.Dispatcher(
            deps, self._schedule, self._ended, self._may_send, rng
        )
        self._jobs: dict[str, _Running] = {}

    @property
    def jobs(self) -> dict[str, int]:
        """Epochs of the jobs that run here, by id."""
        return {name: running.epoch for name, running in self._jobs.items()}

    async def run(self) -> None:
        """Dispatches items until cancelled."""
        await self._dispatcher.run()

    def handle_offer(self, message: messages.RoomOffer) -> None:
        """Takes a replica's offer of room."""
        self._dispatcher.handle_offer(message)

    async def run_job(self, job: records.Job, epoch: int) -> None:
        """Runs one job until it ends, is cancelled or belongs to another."""
        record = recorder.Recorder(
            self._deps.log,
            self._deps.clock,
            job.job_id,
            epoch,
            self._deps.node_id,
        )
        running = _Running(job, epoch, record, self._deps.clock.now_ms())
        self._jobs[job.job_id] = running
        try:
            with running.scope:
                await self._run_job(running)
        except* errors.SupersededError:
            self._deps.metrics.add("batch_jobs_superseded")
        finally:
            # Replaced if the lease was lost and claimed again meanwhile.
            if self._jobs.get(job.job_id) is running:
                del self._jobs[job.job_id]
                self._schedule.remove_job(job.job_id)
                self._dispatcher.stop_job(job.job_id, epoch, abandon=True)

    async def hand_over(self, job_id: str) -> None:
        """Stops a job and records what has ended, before its release."""
        running = self._jobs.get(job_id)
        if running is None:
            return
        running.stopping = True
        self._schedule.remove_job(job_id)
        self._dispatcher.stop_job(job_id, running.epoch, abandon=False)
        with trio.move_on_after(_HAND_OVER_MS / 1000):
            while self._dispatcher.running_count(job_id):
                await running.changed.wait()
        with trio.move_on_after(_HAND_OVER_MS / 1000):
            await self._flush(running)
        running.scope.cancel()

    async def _flush(self, running: _Running) -> None:
        try:
            await running.recorder.flush()
        except errors.BatchError:
            self._deps.metrics.add("batch_hand_over_unrecorded")

    async def _run_job(self, running: _Running) -> None:
        await self._start(running)
        job = running.job
        due_ms = self._due_ms(job)
        self._schedule.add_job(job.job_id, job.customer, due_ms)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(running.recorder.run)
            nursery.start_soon(self._watch, running)
            await self._feed(running)
            while len(running.recorder.replay.done) < job.items:
                await running.recorder.wait_recorded()
            await self._finish(running)
            nursery.cancel_scope.cancel()

    async def _start(self, running: _Running) -> None:
        while True:
            try:
                await running.recorder.start()
            except errors.UnavailableError:
                await self._deps.clock.sleep_ms(_RETRY_MS)
            else:
                return

    async def _feed(self, running: _Running) -> None:
        """Puts every item without a result on the schedule."""
        start = 0
        while True:
            try:
                async for index, line in self._lines(running, start):
                    await self._put(running, index, line)
                    start = index + 1
            except errors.UnavailableError:
                await self._deps.clock.sleep_ms(_RETRY_MS)
            except errors.BatchError as exc:
                self._fail_rest(running, start, exc)
                return
            else:
                return

    async def _lines(
        self, running: _Running, start: int
    ) -> AsyncIterator[tuple[int, bytes]]:
        index = 0
        store = files.FileStore(self._deps.log, self._deps.clock)
        async for line in store.read_lines(running.job.input_file):
            if index >= start:
                yield index, line
            index += 1

    async def _put(self, running: _Running, index: int, line: bytes) -> None:
        if index in running.recorder.replay.done or index in running.open:
            return
        while self._ahead(running):
            await running.changed.wait()
        item = _item(running.job.job_id, index, line)
        running.open.add(index)
        running.ahead_bytes += len(item.body)
        self._schedule.add_item(item)
        self._dispatcher.wake()

    def _may_send(self, job_id: str) -> bool:
        """Returns whether the job may be run and its results fit in memory."""
        running = self._jobs.get(job_id)
        held = self._deps.leases.held(f"job/{job_id}")
        if running is None or held != running.epoch:
            return False
        pending = sum(r.recorder.pending_bytes for r in self._jobs.values())
        return pending < _MAX_PENDING_BYTES

    def _ahead(self, running: _Running) -> bool:
        """Returns whether enough items are read."""
        return (
            len(running.open) >= _AHEAD_ITEMS
            or running.ahead_bytes >= _AHEAD_BYTES
        )

    def _fail_rest(
        self, running: _Running, start: int, exc: errors.BatchError
    ) -> None:
        """Ends items whose input can no longer be read."""
        for index in range(start, running.job.items):
            if index not in running.recorder.replay.done:
                running.recorder.add(
                    results.Result(index, "", 0, b"", exc.code, exc.message)
                )

    def _ended(self, item: schedule.Item, outcome: dispatch.Outcome) -> None:
        """Takes the outcome of a run."""
        running = self._jobs.get(item.job_id)
        if running is None or item.index not in running.open:
            return
        match outcome:
            case messages.ItemDone(response=response):
                self._schedule.adjust_cost(
                    item, _tokens(response, item.cost_tokens)
                )
                result = results.Result(
                    item.index, item.custom_id, 200, response
                )
                self._record(running, item, result)
            case _:
                self._retry(running, item, outcome)
        running.notify()

    def _retry(
        self,
        running: _Running,
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
        self._record(running, item, result)

    def _record(
        self, running: _Running, item: schedule.Item, result: results.Result
    ) -> None:
        running.open.discard(item.index)
        running.ahead_bytes -= len(item.body)
        running.estimate.item_ended()
        running.recorder.add(result)

    async def _watch(self, running: _Running) -> None:
        """Stops the job on cancellation or when its lease is lost."""
        job_id = running.job.job_id
        while True:
            state = self._deps.follower.view.jobs.get(job_id)
            ended = state is None or state.status == "cancelled"
            if ended or self._lost(running):
                running.scope.cancel()
            self._note_pace(running)
            running.notify()
            await self._wait_change()

    async def _wait_change(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_after_check, nursery.cancel_scope)
            await self._deps.follower.wait_change()
            nursery.cancel_scope.cancel()

    async def _cancel_after_check(self, scope: trio.CancelScope) -> None:
        await self._deps.clock.sleep_ms(_CHECK_MS)
        scope.cancel()

    def _lost(self, running: _Running) -> bool:
        # A process that is not fresh has no usable lease but may get it back.
        held = self._deps.leases.held(f"job/{running.job.job_id}")
        return self._deps.follower.fresh() and held != running.epoch

    def _note_pace(self, running: _Running) -> None:
        if running.stopping:
            return
        recorded = len(running.recorder.replay.done)
        remaining = running.job.items - recorded - running.recorder.pending
        now_ms = self._deps.clock.now_ms()
        due_ms = self._due_ms(running.job)
        late = running.estimate.is_late(now_ms, due_ms, remaining)
        running.recorder.set_late(late)

    async def _finish(self, running: _Running) -> None:
        progress = running.recorder.replay.progress
        body = records.JobFinished(
            running.job.job_id,
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
                await self._deps.clock.sleep_ms(_RETRY_MS)
            else:
                return

    def _due_ms(self, job: records.Job) -> float:
        """Returns when the job is due on the monotonic clock."""
        left_ms = job.due_ms - self._deps.wall_ms()
        return self._deps.clock.now_ms() + left_ms

    def _weight(self, customer: str) -> float:
        found = self._deps.follower.view.customers.get(customer)
        return max(found.weight, 1e-6) if found is not None else 1.0


def _item(job_id: str, index: int, line: bytes) -> schedule.Item:
    parsed = _body_decoder.decode(line)
    body = bytes(parsed.body)
    limits = _limits_decoder.decode(body)
    cost = len(body) / _BYTES_PER_TOKEN + _answer_tokens(limits)
    return schedule.Item(
        job_id, index, parsed.custom_id, body, limits.model, cost
    )


def _answer_tokens(limits: _Limits) -> int:
    # The engine judges these fields; a wrong value only spoils the estimate.
    for tokens in (limits.max_completion_tokens, limits.max_tokens):
        if isinstance(tokens, int) and 0 < tokens <= _MAX_ANSWER_TOKENS:
            return tokens
    return _ANSWER_TOKENS


def _tokens(response: bytes, cost: float) -> float:
    """Returns the tokens an answer used, or `cost` if it doesn't tell."""
    try:
        usage = _answer_decoder.decode(response).usage
    except msgspec.MsgspecError:
        return cost
    return float(usage.total_tokens) if usage is not None else cost
