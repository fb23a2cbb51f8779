"""Runs the items of jobs at replicas, one run after another."""

import random

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import configuration
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import item_tasks
from lacewingwood.jobs import records
from lacewingwood.log import errors as log_errors
from lacewingwood.routing import load
from lacewingwood.routing import run_times
from lacewingwood.routing import slots as slots_lib
from lacewingwood.upstreams import errors as upstream_errors
from lacewingwood.upstreams import event_reader
from lacewingwood.upstreams import event_stream
from lacewingwood.upstreams import runs

# Longest waits for the head of an answer and between two events. The item is
# then run at another replica, from the last received event on.
_HEAD_TIMEOUT_MS = 2_000.0
_EVENT_GAP_TIMEOUT_MS = 1_000.0
# Longest duration of one run at a replica.
_RUN_TIMEOUT_MS = 60_000.0
# Longest wait for an item's body if it has to be read from the log. The slot
# stays unused meanwhile.
_BODY_TIMEOUT_MS = 500.0
# Delay after a run that failed without an event; doubled after each failed
# attempt.
_RETRY_DELAY_MS = 200.0
_MAX_RETRY_DELAY_MS = 20_000.0
# Delay after an item's body could not be read.
_BODY_RETRY_DELAY_MS = 1_000.0
# Longest delay after runs that broke. Items do not crash replicas, so their
# breaks say nothing against them, and replicas are back within seconds.
_MAX_BREAK_DELAY_MS = 2_000.0
# An item that has failed at too few replicas to be blamed itself is given up
# after this many times its route's max_attempts. Three times max_attempts is
# the most that it may run.
_FEW_REPLICAS_ATTEMPT_FACTOR = 2
# Status of a run that counts as a failed attempt.
_FAILED_STATUS = 500
# Status by which a replica says that it can never complete the item.
_UNPROCESSABLE_STATUS = 422

_log = structlog.get_logger()


class ItemRunner:
    """Runs items at replicas."""

    __slots__ = ("_clock", "_metrics", "_replicas", "_slots")

    def __init__(
        self,
        slots: slots_lib.Slots,
        replicas: runs.ReplicaClient,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
    ) -> None:
        self._slots = slots
        self._replicas = replicas
        self._clock = clock
        self._metrics = metrics

    async def run(
        self,
        task: item_tasks.ItemTask,
        slot: slots_lib.Slot,
        route: configuration.Route,
    ) -> records.Result | None:
        """Runs an item in a slot, which is released at the end.

        A run at another software version than the last one starts from the
        beginning, since what two versions write does not fit together.

        Returns:
            The item's result, or None if it has to run again. In that case
            the task holds the events received so far, and `task.preempted`
            tells whether the run was cancelled to free the slot.
        """
        if task.origin not in (None, load.origin_of(slot.replica)):
            _log.info(
                "item starts again at another version",
                request_id=task.item.id,
                replica=slot.replica.listing.id,
                events=task.events.last_id,
            )
            task.restart()
        task.slot, task.preempted = slot, False
        task.scope = trio.CancelScope(
            deadline=trio.current_time() + _RUN_TIMEOUT_MS / 1000
        )
        started_ms = self._clock.now_ms()
        result: records.Result | None = None
        try:
            with task.scope:
                result = await self._run_once(task, slot, route)
        except Exception:
            # One item must not end the process, which runs all others.
            result = self._note_internal_error(task, route)
        finally:
            self._slots.release(slot)
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
        task: item_tasks.ItemTask,
        slot: slots_lib.Slot,
        route: configuration.Route,
    ) -> records.Result | None:
        replica = slot.replica
        last_id_before = task.events.last_id
        try:
            return await self._exchange(task, slot, route)
        except upstream_errors.UnsendableError as exc:
            # Submissions are checked, but the log may hold older ones.
            _log.error(
                "item can't be sent, given up",
                request_id=task.item.id,
                job=task.job.id,
                detail=exc.message[:80],
            )
            return task.result(completed=False)
        except log_errors.LogError as exc:
            _log.warning(
                "item's body not read",
                request_id=task.item.id,
                job=task.job.id,
                code=exc.code,
                detail=exc.message[:80],
            )
            self._delay_next_run(task, _BODY_RETRY_DELAY_MS)
            return None
        except upstream_errors.UpstreamError as exc:
            if not isinstance(exc, upstream_errors.RefusedError):
                replica.note_failure(self._clock.now_ms())
                slot.failed = True
                self._note_break(task, last_id_before)
            _log_failed_run(task, replica, exc.code, exc.message[:80])
            return None

    async def _exchange(
        self,
        task: item_tasks.ItemTask,
        slot: slots_lib.Slot,
        route: configuration.Route,
    ) -> records.Result | None:
        body = await self._load_body(task, slot)
        slot.sent_ms = self._clock.now_ms()
        async with self._replicas.open(
            slot.replica.listing,
            _make_work(task, body),
            _RUN_TIMEOUT_MS,
            task.events.last_id,
            head_limit_ms=_HEAD_TIMEOUT_MS,
            # A reused connection may break because it was idle for too long.
            fresh=task.breaks > 0,
        ) as run:
            now_ms = self._clock.now_ms()
            self._slots.fleet.note_notice(slot.replica, run.notice, now_ms)
            if run.refused:
                slot.note_refusal(run.misdirected, now_ms)
                raise upstream_errors.RefusedError(
                    "the replica refused the run", run.status, b""
                )
            if run.status == _FAILED_STATUS:
                return self._note_failed_attempt(task, slot, route)
            if run.status >= 300 and run.status != _UNPROCESSABLE_STATUS:
                self._note_other_error(task, slot.replica, run.status)
                return None
            completed = run.status != _UNPROCESSABLE_STATUS
            if completed:
                await self._collect(task, run, slot)
            slot.replica.note_success(self._clock.now_ms())
            return task.result(completed)

    async def _load_body(
        self, task: item_tasks.ItemTask, slot: slots_lib.Slot
    ) -> bytes:
        """Returns an item's body; marks the slot as unused if it can't.

        Raises:
            log_errors.LogError: The log does not answer, or not in time.
        """
        slot.unused = True
        with trio.move_on_after(_BODY_TIMEOUT_MS / 1000):
            body = await task.body.load()
            slot.unused = False
            return body
        raise log_errors.UnavailableError("no answer in time", False)

    async def _collect(
        self, task: item_tasks.ItemTask, run: runs.Run, slot: slots_lib.Slot
    ) -> None:
        task.events.restart()
        reader = event_reader.EventReader(run, task.events, self._clock)
        while events := await reader.next_events(_EVENT_GAP_TIMEOUT_MS):
            task.origin = load.origin_of(slot.replica)
            task.add_output(event_stream.data_lines(events))
        slot.deviation = run_times.compare(
            slot.replica,
            run.notice,
            slot.sent_ms,
            reader.timing,
            self._clock.now_ms(),
        )

    def _note_failed_attempt(
        self,
        task: item_tasks.ItemTask,
        slot: slots_lib.Slot,
        route: configuration.Route,
    ) -> records.Result | None:
        """Counts a failed attempt; returns a result if the item is given up."""
        replica = slot.replica
        if not task.failures:
            # Only an item's first failure counts against the replica: an
            # item that fails at several replicas may itself be at fault.
            replica.outcomes.note(failed=True, now_ms=self._clock.now_ms())
        task.failures += 1
        task.failed_replica_ids.add(replica.listing.id)
        _log_failed_run(task, replica, f"status_{_FAILED_STATUS}")
        if self._should_give_up(task, max(1, route.max_attempts)):
            return task.result(completed=False)
        self._delay_next_run(task, _RETRY_DELAY_MS * 2**task.failures)
        return None

    def _note_other_error(
        self, task: item_tasks.ItemTask, replica: load.Replica, status: int
    ) -> None:
        """Records a status that ends a run without being a failed attempt.

        Statuses such as 429 and 503 are here if the replica does not state that
        it did not run the item.
        """
        if not task.failures and not task.breaks:
            # As with failed attempts, only the first one counts.
            replica.outcomes.note(failed=True, now_ms=self._clock.now_ms())
        self._delay_after_break(task)
        _log_failed_run(task, replica, f"status_{status}")

    def _note_internal_error(
        self, task: item_tasks.ItemTask, route: configuration.Route
    ) -> records.Result | None:
        """Counts a run that raised an unexpected error as a failed attempt."""
        _log.exception(
            "item run raised", request_id=task.item.id, job=task.job.id
        )
        self._metrics.add("item_runs_raised")
        task.failures += 1
        if self._should_give_up(task, max(1, route.max_attempts)):
            return task.result(completed=False)
        self._delay_next_run(task, _RETRY_DELAY_MS * 2**task.failures)
        return None

    def _should_give_up(self, task: item_tasks.ItemTask, attempts: int) -> bool:
        """Returns whether an item has failed often enough to be given up.

        Failures at different replicas count for more, since several failures
        at one replica may be the replica's fault.
        """
        if len(task.failed_replica_ids) >= attempts:
            return True
        return task.failures >= attempts * _FEW_REPLICAS_ATTEMPT_FACTOR

    def _note_break(
        self, task: item_tasks.ItemTask, last_id_before: int | None
    ) -> None:
        """Counts a run that broke without an event and delays the next run.

        A run with events resets the count.
        """
        if task.events.last_id != last_id_before:
            task.breaks = 0
            return
        self._delay_after_break(task)

    def _delay_after_break(self, task: item_tasks.ItemTask) -> None:
        delay_ms = _RETRY_DELAY_MS * 2 ** min(task.breaks, 8)
        self._delay_next_run(task, min(delay_ms, _MAX_BREAK_DELAY_MS))
        task.breaks += 1

    def _delay_next_run(
        self, task: item_tasks.ItemTask, delay_ms: float
    ) -> None:
        # The jitter keeps items that failed together from retrying together.
        jitter = random.uniform(0.8, 1.2)
        task.not_before_ms = self._clock.now_ms() + jitter * min(
            delay_ms, _MAX_RETRY_DELAY_MS
        )


def _make_work(task: item_tasks.ItemTask, body: bytes) -> runs.Work:
    """Returns the request of an item.

    Raises:
        upstream_errors.UnsendableError: It has characters beyond Latin-1.
    """
    item = task.item
    try:
        item.id.encode("latin-1")
        return runs.Work(
            request_id=item.id,
            method="POST",
            target=item.target.encode("latin-1"),
            headers=[
                (b"host", task.job.host.encode("latin-1")),
                *((n.encode(), v.encode("latin-1")) for n, v in item.headers),
            ],
            body=body,
            customer=task.job.customer,
        )
    except UnicodeEncodeError as exc:
        raise upstream_errors.UnsendableError(str(exc)) from exc


def _log_failed_run(
    task: item_tasks.ItemTask,
    replica: load.Replica,
    code: str,
    detail: str = "",
) -> None:
    _log.info(
        "item run failed",
        request_id=task.item.id,
        replica=replica.listing.id,
        code=code,
        detail=detail,
    )


def _outcome(task: item_tasks.ItemTask, result: records.Result | None) -> str:
    if result is not None:
        return "completed" if result.completed else "given up"
    return "yielded" if task.preempted else "again"
