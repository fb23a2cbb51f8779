"""Runs an attempt of a call and, if it is slow, a second one beside it.

The first of the two with a complete first event, or a complete response, wins
and answers; the other is cancelled at once. See `second_attempts`.
"""

import dataclasses
import math

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import configuration
from lacewingwood import errors as base_errors
from lacewingwood import metrics as metrics_lib
from lacewingwood.callers import attempts as attempts_lib
from lacewingwood.callers import progress as progress_lib
from lacewingwood.callers import second_attempts as second_attempts_lib
from lacewingwood.routing import load
from lacewingwood.routing import quarantine as quarantines
from lacewingwood.routing import slots as slots_lib
from lacewingwood.upstreams import errors as upstream_errors

# Time after which the later of two runs is cancelled. They may overlap for 300
# ms, as a request that another replica still works on 400 ms after it was sent
# on breaks a promise; the rest is for a process that is late.
_MAX_OVERLAP_MS = 280.0
# Rank of a second attempt at coordinators: after that of any request.
_LAST_RANK = 1_000_000

_KINDS = configuration.RouteKind.STREAM, configuration.RouteKind.IDEMPOTENT

Failure = upstream_errors.UpstreamError | attempts_lib.ErrorResponse

_log = structlog.get_logger()


class Racer:
    """Runs attempts of the routes that ask for second attempts."""

    __slots__ = (
        "attempts",
        "clock",
        "decisions",
        "metrics",
        "quarantine",
        "slots",
    )

    def __init__(
        self,
        decisions: second_attempts_lib.SecondAttempts,
        attempts: attempts_lib.Attempts,
        slots: slots_lib.Slots,
        quarantine: quarantines.Quarantine,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
    ) -> None:
        self.decisions = decisions
        self.attempts = attempts
        self.slots = slots
        self.quarantine = quarantine
        self.clock = clock
        self.metrics = metrics

    def applies(
        self, call: progress_lib.Call, progress: progress_lib.Progress
    ) -> bool:
        """Returns whether the next attempt of a call may have a second one."""
        route = call.route
        return (
            self.decisions.percent(route) > 0
            and route.kind in _KINDS
            and route.repeatable
            and progress.attempts_left(begun=1)
            and progress.origin is None
            and call.resume_after is None
            and not call.resumes
            and not call.req.started
        )

    async def run(
        self, call: progress_lib.Call, attempt: progress_lib.Attempt
    ) -> Failure | None:
        """Runs an attempt, and a second one if it is slow.

        Returns:
            Why the call was not completed, None if it was.
        """
        objective_ms = (
            call.route.objective_ms or attempts_lib.DEFAULT_OBJECTIVE_MS
        )
        now_ms = self.clock.now_ms()
        delay_ms = self.decisions.delay_ms(call.route, objective_ms, now_ms)
        race = _Race(self, call, attempt)
        if delay_ms is None:
            cause = second_attempts_lib.HeldBack.NO_TIMES
            self.metrics.add("second_attempts_held_back", cause=cause.value)
        return await race.run(delay_ms)

    def hold_back(
        self, call: progress_lib.Call, cause: second_attempts_lib.HeldBack
    ) -> None:
        """Records that a slow request gets no second attempt."""
        self.metrics.add("second_attempts_held_back", cause=cause.value)
        _log.info(
            "second attempt held back",
            request_id=call.work.request_id,
            route=call.route.name,
            cause=cause.value,
        )


@dataclasses.dataclass(slots=True, eq=False)
class _Entry:
    """One of the attempts of a race.

    Attributes:
        attempt: The attempt.
        started_ms: When it was started.
        progress_ms: When it was started, or the head of its response arrived;
            the timeout begins then.
        scope: Cancelled when it has lost, or by its time limit.
        done: True once it has ended.
        failure: Why it failed.
    """

    attempt: progress_lib.Attempt
    started_ms: float
    progress_ms: float = dataclasses.field(init=False)
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )
    done: bool = False
    failure: Failure | None = None

    def __post_init__(self) -> None:
        self.progress_ms = self.started_ms


class _Race:
    """The attempts of one call that run at once; implements `Race`."""

    __slots__ = (
        "_call",
        "_entries",
        "_first",
        "_racer",
        "_start",
        "_winner",
    )

    def __init__(
        self,
        racer: Racer,
        call: progress_lib.Call,
        attempt: progress_lib.Attempt,
    ) -> None:
        self._racer = racer
        self._call = call
        attempt.race = self
        self._first = _Entry(attempt, racer.clock.now_ms())
        self._entries = [self._first]
        self._winner: _Entry | None = None
        # Cancelled once no second attempt is to be started any more.
        self._start = trio.CancelScope()

    async def run(self, delay_ms: float | None) -> Failure | None:
        """Runs the first attempt, and a second one after a delay, if any."""
        if delay_ms is None:
            await self._run(self._first)
        else:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run_second, delay_ms)
                await self._run(self._first)
        if self._winner is not None:
            return self._winner.failure
        failures = [e.failure for e in self._entries if e.failure is not None]
        for failure in failures:
            if (
                isinstance(failure, attempts_lib.ErrorResponse)
                and failure.relayable
            ):
                return failure
        return failures[0]

    def note_head(self, attempt: progress_lib.Attempt) -> None:
        """Records that a replica has begun to respond; see `Race`."""
        entry = next(e for e in self._entries if e.attempt is attempt)
        entry.progress_ms = self._racer.clock.now_ms()
        self._limit_times()

    def claim(self, attempt: progress_lib.Attempt) -> bool:
        """Returns whether an attempt may answer its caller; see `Race`."""
        if self._winner is not None:
            return self._winner.attempt is attempt
        entry = next(e for e in self._entries if e.attempt is attempt)
        if entry.scope.cancel_called:
            # Its time limit has passed, and it is about to be cancelled.
            return False
        self._winner = entry
        entry.scope.deadline = math.inf
        self._start.cancel()
        for other in self._entries:
            if other is not entry and not other.done:
                self._lose(other)
        # If the second attempt wins, the first one would have taken longer
        # than this, which is beyond the quantile anyway.
        self._note_time()
        return True

    def _lose(self, entry: _Entry) -> None:
        # Counted at once: what the winner may do depends on it.
        entry.attempt.abandon()
        entry.scope.cancel()
        if entry is self._first:
            # Its run has no outcome of its own, and a replica that is slow each
            # time would go on to get requests.
            slot = entry.attempt.slot
            slot.failed = slot.replica.note_outrun(self._racer.clock.now_ms())

    async def _run(self, entry: _Entry) -> None:
        attempt = entry.attempt
        attempts = self._racer.attempts
        self._limit_times()
        try:
            with entry.scope:
                try:
                    await attempts.run(self._call, attempt)
                except (
                    upstream_errors.UpstreamError,
                    attempts_lib.ErrorResponse,
                ) as exc:
                    entry.failure = exc
            if entry.scope.cancelled_caught:
                self._note_cut(entry)
            entry.done = True
            # What failed is sent again by the call itself.
            self._start.cancel()
            self._limit_times()
            if entry.failure is not None:
                # Outside of the scope, so that the end of a replica is noted
                # even if the other attempt answers in the meantime.
                await attempts.note_failure(self._call, attempt, entry.failure)
        finally:
            entry.done = True
            self._racer.slots.release(attempt.slot)

    def _note_cut(self, entry: _Entry) -> None:
        """Records that an attempt has lost or was not in time."""
        attempt = entry.attempt
        if self._winner is not None or entry is not self._first:
            if self._winner is None and self._first.done:
                self._time_out(entry)
            attempt.abandon()
            return
        self._note_time()
        self._time_out(entry)

    def _time_out(self, entry: _Entry) -> None:
        attempt = entry.attempt
        waited_ms = self._racer.clock.now_ms() - entry.started_ms
        may_have_run = attempt.awaits_outcome or attempt.counted
        entry.failure = upstream_errors.TimeoutError(
            f"no first event for {waited_ms:.0f} ms",
            base_errors.Ran.MAY_HAVE_RUN
            if may_have_run
            else base_errors.Ran.NOT_RUN,
        )

    def _note_time(self) -> None:
        now_ms = self._racer.clock.now_ms()
        waited_ms = now_ms - self._first.started_ms
        self._racer.decisions.note_time(self._call.route, waited_ms, now_ms)

    def _limit_times(self) -> None:
        """Limits the attempts that run by what may still follow them."""
        if self._winner is not None:
            return
        running = [entry for entry in self._entries if not entry.done]
        uncounted = sum(not entry.attempt.counted for entry in running)
        more = self._first.attempt.progress.attempts_left(begun=uncounted)
        timeout_ms = attempts_lib.first_event_timeout_ms(self._call.route)
        now_ms = self._racer.clock.now_ms()
        streams = self._call.route.kind is configuration.RouteKind.STREAM
        for entry in running:
            left_ms = math.inf
            if more and (streams or not entry.attempt.counted):
                left_ms = entry.progress_ms + timeout_ms - now_ms
            if entry is not self._first and len(running) > 1:
                overlap_ms = now_ms - entry.started_ms
                left_ms = min(left_ms, _MAX_OVERLAP_MS - overlap_ms)
            entry.scope.deadline = trio.current_time() + left_ms / 1000

    async def _run_second(self, delay_ms: float) -> None:
        """Runs a second attempt after a delay if it may and can be made."""
        racer, call = self._racer, self._call
        slot: slots_lib.Slot | None = None
        with self._start:
            await racer.clock.sleep_ms(delay_ms)
            slot = await self._acquire_slot()
        if slot is None:
            return
        if self._winner is not None or self._first.done:
            slot.unused = True
            racer.slots.release(slot)
            racer.decisions.give_back(call.route)
            return
        attempt = progress_lib.Attempt(
            self._first.attempt.progress, slot, race=self
        )
        entry = _Entry(attempt, racer.clock.now_ms())
        self._entries.append(entry)
        self._note_sent(entry, delay_ms)
        try:
            await self._run(entry)
        finally:
            self._note_end(entry)

    async def _acquire_slot(self) -> slots_lib.Slot | None:
        """Takes a slot for a second attempt, None if none may be made."""
        racer, call = self._racer, self._call
        now_ms = racer.clock.now_ms()
        route = call.route
        if racer.quarantine.is_suspect(call.work):
            racer.hold_back(call, second_attempts_lib.HeldBack.SUSPECT)
            return None
        left_ms = call.deadline_ms - now_ms
        cause = racer.decisions.check(route, left_ms, now_ms)
        if cause is not None:
            racer.hold_back(call, cause)
            return None
        slot = None
        try:
            slot = await racer.slots.acquire(self._make_request())
        finally:
            if slot is None:
                racer.decisions.give_back(route)
        if slot is not None and self._is_slower(slot):
            slot.unused = True
            racer.slots.release(slot)
            racer.decisions.give_back(route)
            slot = None
        if slot is None:
            racer.hold_back(call, second_attempts_lib.HeldBack.NO_SLOT)
        return slot

    def _is_slower(self, slot: slots_lib.Slot) -> bool:
        """Returns whether a replica is known to be slower than the first."""
        now_ms = self._racer.clock.now_ms()
        first = self._first.attempt.slot.replica
        return slot.replica.slowness(now_ms) > first.slowness(now_ms)

    def _make_request(self) -> slots_lib.SlotRequest:
        call, progress = self._call, self._first.attempt.progress
        listing = self._first.attempt.slot.replica.listing
        return slots_lib.SlotRequest(
            service=listing.service,
            work=load.WorkKind.ONLINE,
            # At coordinators, behind all that wait: by its rank, and as one
            # that has missed its objective.
            rank=_LAST_RANK,
            arrived_ms=call.arrived_ms,
            objective_ms=0.0,
            deadline_ms=call.deadline_ms,
            exclude={*progress.tried, listing.id},
            repeatable=False,
            spare=True,
            avoid_zone=listing.zone,
        )

    def _note_sent(self, entry: _Entry, delay_ms: float) -> None:
        call = self._call
        self._racer.metrics.add("second_attempts_sent", route=call.route.name)
        _log.info(
            "second attempt sent",
            request_id=call.work.request_id,
            route=call.route.name,
            replica=entry.attempt.slot.replica.listing.id,
            first=self._first.attempt.slot.replica.listing.id,
            delay_ms=round(delay_ms),
            waited_ms=round(entry.started_ms - self._first.started_ms),
        )

    def _note_end(self, entry: _Entry) -> None:
        """Records whether a second attempt was worth it."""
        racer, call = self._racer, self._call
        if self._winner is entry:
            outcome = "won"
            racer.metrics.add("second_attempts_won", route=call.route.name)
        else:
            outcome = self._wasted_cause(entry)
            racer.metrics.add("second_attempts_wasted", cause=outcome)
        if outcome == "refused":
            racer.decisions.give_back(call.route)
        _log.info(
            "second attempt ended",
            request_id=call.work.request_id,
            route=call.route.name,
            replica=entry.attempt.slot.replica.listing.id,
            outcome=outcome,
            ran_ms=round(racer.clock.now_ms() - entry.started_ms),
        )

    def _wasted_cause(self, entry: _Entry) -> str:
        if isinstance(entry.failure, upstream_errors.RefusedError):
            return "refused"
        if entry.failure is not None:
            return "failed"
        if self._winner is not None:
            return "first_won"
        return "overlap" if entry.scope.cancelled_caught else "given_up"
