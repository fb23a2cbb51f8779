"""Runs one item of a job at replicas until it has an outcome."""

import dataclasses
import enum
import random

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import configuration
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import records
from lacewingwood.peers import gateway_messages
from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import outliers
from lacewingwood.upstreams import errors as upstream_errors
from lacewingwood.upstreams import event_stream
from lacewingwood.upstreams import runs

# Longest wait for the head of an answer, and between events; slower replicas
# are left for others, from the last event on.
_HEAD_LIMIT_MS = 2_000.0
_GAP_LIMIT_MS = 1_000.0
# Time that a replica gets for one run.
_RUN_LIMIT_MS = 60_000.0
# Pause after a run that failed without an event, doubled each time. An item
# that crashes replicas must not reach one after another.
_PAUSE_MS = 200.0
_MAX_PAUSE_MS = 20_000.0
# Breaks before the first event after which an item is taken to crash its
# replicas.
_SUSPECT_BREAKS = 2
_SUSPECT_PAUSE_MS = 6_000.0
# An item that fails at too few replicas to blame it gets this many times its
# route's attempts; after three times as many it must not run again.
_ATTEMPTS_AT_FEW_REPLICAS = 2
# Status of an item that can never be done.
_CANNOT_BE_DONE = 422

_log = structlog.get_logger()


class State(enum.Enum):
    """Where an item is between its submission and its result."""

    WAITING = 0
    RUNNING = 1
    DONE = 2


@dataclasses.dataclass(slots=True, eq=False)
class ItemTask:
    """One item on its way.

    Attributes:
        job: Its job.
        index: Index in the job.
        body: Its decoded body.
        state: Where it is.
        events: What earlier runs gave, for the next one to go on from.
        output: Data of the events so far.
        failures: Answers that count as failed attempts.
        failed_at: Replicas that gave such answers, as far as known here.
        breaks: Runs in a row that broke before their first event.
        not_before_ms: No run before this time.
        slot: The slot it runs in, None while it waits.
        scope: Cancels its run.
        yielded: True if its run was cancelled to make room.
    """

    job: records.Job
    index: int
    body: bytes
    state: State = State.WAITING
    events: event_stream.Splitter = dataclasses.field(
        default_factory=event_stream.Splitter
    )
    output: list[bytes] = dataclasses.field(default_factory=list)
    failures: int = 0
    failed_at: set[str] = dataclasses.field(default_factory=set)
    breaks: int = 0
    not_before_ms: float = 0.0
    slot: dispatchers.Slot | None = None
    scope: trio.CancelScope | None = None
    yielded: bool = False

    @property
    def item(self) -> records.Item:
        """The item."""
        return self.job.items[self.index]

    def behind(self, other: gateway_messages.JobProgress) -> bool:
        """Returns whether another run of the item has come further."""
        if other.completed is not None or other.failures > self.failures:
            return True
        return (other.last_event or 0) > (self.events.last_id or 0)

    def result(self, completed: bool) -> records.Result:
        """Returns its outcome."""
        output = b"\n".join(self.output) if completed else b""
        return records.Result(self.index, completed, output)


class ItemRunner:
    """Runs items, one run at a time each."""

    __slots__ = ("_clock", "_dispatcher", "_metrics", "_replicas")

    def __init__(
        self,
        dispatcher: dispatchers.Dispatcher,
        replicas: runs.ReplicaClient,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
    ) -> None:
        self._dispatcher = dispatcher
        self._replicas = replicas
        self._clock = clock
        self._metrics = metrics

    async def run(
        self,
        task: ItemTask,
        slot: dispatchers.Slot,
        route: configuration.Route,
    ) -> records.Result | None:
        """Runs an item in a slot, which is released at the end.

        Returns its result, or None if it must run again; the task then holds
        what the run gave, and `yielded` tells whether it was made to stop.
        """
        task.slot, task.yielded = slot, False
        task.scope = trio.CancelScope(
            deadline=trio.current_time() + _RUN_LIMIT_MS / 1000
        )
        started_ms = self._clock.now_ms()
        result: records.Result | None = None
        try:
            with task.scope:
                result = await self._run_once(task, slot, route)
        finally:
            self._dispatcher.release(slot)
            task.slot = task.scope = None
        took_ms = self._clock.now_ms() - started_ms
        self._metrics.add("item_runs", ended="done" if result else "again")
        _log.info(
            "item run",
            request_id=task.item.id,
            job=task.job.id,
            customer=task.job.customer,
            replica=slot.replica.listing.id,
            outcome=_outcome(task, result),
            events=task.events.last_id,
            failures=task.failures,
            breaks=task.breaks,
            ms=round(took_ms),
        )
        return result

    async def _run_once(
        self,
        task: ItemTask,
        slot: dispatchers.Slot,
        route: configuration.Route,
    ) -> records.Result | None:
        replica = slot.replica
        before = task.events.last_id
        try:
            return await self._exchange(task, slot, route)
        except upstream_errors.UpstreamError as exc:
            now_ms = self._clock.now_ms()
            if isinstance(exc, upstream_errors.RefusedError):
                replica.note_full(now_ms)
            else:
                sound = replica.standing(now_ms) is outliers.Standing.SOUND
                replica.note_failure(now_ms)
                self._note_break(task, before, sound)
            _log.info(
                "item run failed",
                request_id=task.item.id,
                replica=replica.listing.id,
                code=exc.code,
                detail=exc.message[:80],
            )
            return None

    async def _exchange(
        self,
        task: ItemTask,
        slot: dispatchers.Slot,
        route: configuration.Route,
    ) -> records.Result | None:
        async with self._replicas.open(
            slot.replica.listing,
            _work(task),
            _RUN_LIMIT_MS,
            task.events.last_id,
            head_limit_ms=_HEAD_LIMIT_MS,
            # A kept connection may break for being idle too long; only a fresh
            # one tells whether the item is at fault.
            fresh=task.breaks > 0,
        ) as run:
            if run.reported_in_flight >= 0:
                slot.replica.note_reported_load(
                    run.reported_in_flight, self._clock.now_ms()
                )
            if run.refused:
                raise upstream_errors.RefusedError("not run", run.status, b"")
            if run.status >= 300 and run.status != _CANNOT_BE_DONE:
                return self._note_attempt(task, slot, run.status, route)
            completed = run.status != _CANNOT_BE_DONE
            if completed:
                await self._collect(task, run)
            slot.replica.note_success(self._clock.now_ms())
            return task.result(completed)

    async def _collect(self, task: ItemTask, run: runs.Run) -> None:
        task.events.restart()
        while chunk := await run.next_chunk(_GAP_LIMIT_MS):
            whole = task.events.feed(chunk)
            task.output += event_stream.data_lines(whole)
        if not task.events.between_events:
            raise upstream_errors.BrokenError("the stream ended in an event")

    def _note_attempt(
        self,
        task: ItemTask,
        slot: dispatchers.Slot,
        status: int,
        route: configuration.Route,
    ) -> records.Result | None:
        """Counts a replica's failure answer; gives up after the last one."""
        if status == 500:
            replica = slot.replica
            if not task.failures:
                # One that failed elsewhere, too, may itself be at fault.
                replica.outcomes.note(failed=True, now_ms=self._clock.now_ms())
            task.failures += 1
            task.failed_at.add(replica.listing.id)
        if self._is_hopeless(task, max(1, route.max_attempts)):
            return task.result(completed=False)
        self._pause(task, _PAUSE_MS * 2**task.failures)
        return None

    def _is_hopeless(self, task: ItemTask, attempts: int) -> bool:
        """Returns whether an item failed often enough to be given up.

        Several failures of one replica may be the replica's fault.
        """
        if len(task.failed_at) >= attempts:
            return True
        return task.failures >= attempts * _ATTEMPTS_AT_FEW_REPLICAS

    def _note_break(
        self, task: ItemTask, before: int | None, sound: bool
    ) -> None:
        """Counts a run without an event, which may be the item's own fault."""
        if task.events.last_id != before:
            task.breaks = 0
            return
        # A replica that fails other requests, too, tells nothing of this one.
        task.breaks += sound
        if task.breaks >= _SUSPECT_BREAKS:
            doublings = min(task.breaks - _SUSPECT_BREAKS, 8)
            self._pause(task, _SUSPECT_PAUSE_MS * 2**doublings)
        else:
            self._pause(task, _PAUSE_MS)

    def _pause(self, task: ItemTask, pause_ms: float) -> None:
        # Spread, so that items that failed together don't return together.
        spread = random.uniform(0.8, 1.2)
        task.not_before_ms = self._clock.now_ms() + spread * min(
            pause_ms, _MAX_PAUSE_MS
        )


def _work(task: ItemTask) -> runs.Work:
    item = task.item
    return runs.Work(
        request_id=item.id,
        method="POST",
        target=item.target.encode("latin-1"),
        headers=[
            (b"host", task.job.host.encode("latin-1")),
            *((n.encode(), v.encode("latin-1")) for n, v in item.headers),
        ],
        body=task.body,
        customer=task.job.customer,
    )


def _outcome(task: ItemTask, result: records.Result | None) -> str:
    if result is not None:
        return "completed" if result.completed else "given up"
    return "yielded" if task.yielded else "again"
