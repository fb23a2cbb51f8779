"""Forwards routed requests to replicas, with retries and stream resumption."""

import random

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import configuration
from lacewingwood import metrics as metrics_lib
from lacewingwood.callers import attempts as attempts_lib
from lacewingwood.callers import endings as endings_lib
from lacewingwood.callers import errors
from lacewingwood.callers import http
from lacewingwood.callers import progress as progress_lib
from lacewingwood.callers import racing
from lacewingwood.callers import second_attempts
from lacewingwood.callers import stopping
from lacewingwood.routing import fair_order
from lacewingwood.routing import load
from lacewingwood.routing import origins
from lacewingwood.routing import quarantine as quarantines
from lacewingwood.routing import slots as slots_lib
from lacewingwood.upstreams import errors as upstream_errors
from lacewingwood.upstreams import runs

# A request that would reach its replica with less time left is not sent.
_MIN_RUN_MS = 30.0

AbortError = endings_lib.AbortError

_log = structlog.get_logger()


class Forwarder:
    """Runs calls on replicas, retries them and resumes broken streams.

    Attributes:
        stop: Limits of calls while the process stops.
    """

    __slots__ = (
        "_attempts",
        "_clock",
        "_endings",
        "_origins",
        "_quarantine",
        "_racer",
        "_rng",
        "_second_attempts",
        "_slots",
        "stop",
    )

    def __init__(
        self,
        slots: slots_lib.Slots,
        replicas: runs.ReplicaClient,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
        quarantine: quarantines.Quarantine,
        stream_origins: attempts_lib.Origins,
        rng: random.Random | None = None,
        second_attempt_percent: float = 0.0,
    ) -> None:
        """Creates a forwarder.

        Args:
            slots: Gives slots at replicas.
            replicas: Client of the replicas.
            clock: Source of monotonic time.
            metrics: Registry of counters.
            quarantine: What crashes replicas.
            stream_origins: Where streams began.
            rng: Chooses among the targets of a route.
            second_attempt_percent: Second attempts of routes that set none.
        """
        self.stop = stopping.Stop(clock)
        self._slots = slots
        self._clock = clock
        self._endings = endings_lib.Endings(clock, metrics)
        self._quarantine = quarantine
        self._origins = stream_origins
        self._rng = rng or random.Random()
        self._attempts = attempts_lib.Attempts(
            slots,
            replicas,
            clock,
            metrics,
            quarantine,
            stream_origins,
            self._endings,
        )
        self._second_attempts = second_attempts.SecondAttempts(
            second_attempt_percent
        )
        self._racer = racing.Racer(
            self._second_attempts,
            self._attempts,
            slots,
            quarantine,
            clock,
            metrics,
        )

    async def run(self, call: progress_lib.Call) -> None:
        """Runs a call and sends its response.

        Raises:
            errors.CallerError: The call failed before its response was
                started.
            AbortError: The response was started and can't be completed.
            http.DisconnectedError: The caller disconnected.
        """
        service = self._pick_service(call.route)
        self._second_attempts.note_request(call.route)
        progress = progress_lib.Progress(call)
        failure: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._cancel_on_disconnect, call, nursery.cancel_scope
            )
            try:
                await self._run_until_deadline(call, service, progress)
            except (errors.CallerError, AbortError) as exc:
                # Raised outside of the nursery, which would wrap it in an
                # ExceptionGroup.
                failure = exc
            progress.done = True
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if not progress.done:
            raise http.DisconnectedError

    async def _run_until_deadline(
        self,
        call: progress_lib.Call,
        service: str,
        progress: progress_lib.Progress,
    ) -> None:
        with self.stop.limit(call.deadline_ms) as scope:
            await self._run_attempts(call, service, progress)
        if scope.cancelled_caught:
            stopping_ = self.stop.cuts(call.deadline_ms)
            progress.reason = "stopping" if stopping_ else "timeout"
            self._endings.give_up(call, progress, 504)

    async def _cancel_on_disconnect(
        self, call: progress_lib.Call, scope: trio.CancelScope
    ) -> None:
        await call.req.wait_disconnect()
        scope.cancel()

    def _pick_service(self, route: configuration.Route) -> str:
        weights = [target.weight for target in route.targets]
        if not weights:
            raise errors.unavailable("no_target", "the route has no target")
        return self._rng.choices(route.targets, weights)[0].service

    async def _run_attempts(
        self,
        call: progress_lib.Call,
        service: str,
        progress: progress_lib.Progress,
    ) -> None:
        if call.resume_after is not None and (
            call.route.kind is configuration.RouteKind.STREAM
        ):
            await self._find_origin(call, progress)
        while True:
            self._check_quarantine(call, progress)
            slot = await self._acquire_slot(call, service, progress)
            if slot is None:
                self._endings.give_up_without_slot(call, progress)
            try:
                # The cause may have been found while the call waited.
                self._check_quarantine(call, progress)
                attempt = progress_lib.Attempt(progress, slot)
                failure = await self._run_attempt(call, attempt)
            finally:
                self._slots.release(slot)
            if failure is None:
                return
            if progress.may_retry():
                continue
            if isinstance(failure, attempts_lib.ErrorResponse):
                await self._attempts.relay_error_response(
                    call, failure, progress
                )
                return
            self._endings.give_up(call, progress, 502)

    async def _run_attempt(
        self, call: progress_lib.Call, attempt: progress_lib.Attempt
    ) -> Exception | None:
        """Runs an attempt, with a second one if that is worth it.

        Returns:
            Why the call was not completed, None if it was.
        """
        if self._racer.applies(call, attempt.progress):
            return await self._racer.run(call, attempt)
        try:
            await self._attempts.run(call, attempt)
        except (
            upstream_errors.UpstreamError,
            attempts_lib.ErrorResponse,
        ) as exc:
            await self._attempts.note_failure(call, attempt, exc)
            return exc
        return None

    async def _find_origin(
        self, call: progress_lib.Call, progress: progress_lib.Progress
    ) -> None:
        """Finds where a stream began that the caller takes up again.

        Raises:
            errors.CallerError: It is not known, or not a service of the route.
        """
        key = origins.stream_key(call.work.customer, call.resumes)
        found = await self._origins.find(
            key, call.services, call.work.request_id
        )
        if found is None or found.service not in call.services:
            progress.reason = "unknown_origin"
            self._endings.give_up(
                call,
                progress,
                endings_lib.UNAVAILABLE,
                "it is not known which version began the stream",
            )
        progress.origin = found

    def _check_quarantine(
        self, call: progress_lib.Call, progress: progress_lib.Progress
    ) -> None:
        """Gives up a call that is known to crash replicas.

        Raises:
            AbortError: The response was started.
            errors.CallerError: The response was not started.
        """
        verdict = self._quarantine.check(call.work, self._clock.now_ms())
        if verdict is None:
            return
        progress.reason = "quarantined"
        _log.info(
            "request quarantined",
            request_id=call.work.request_id,
            cause=verdict.cause,
            remaining_ms=round(verdict.remaining_ms),
        )
        self._endings.give_up(
            call,
            progress,
            endings_lib.UNAVAILABLE,
            "the request crashes replicas",
            verdict.remaining_ms,
        )

    async def _acquire_slot(
        self,
        call: progress_lib.Call,
        service: str,
        progress: progress_lib.Progress,
    ) -> slots_lib.Slot | None:
        exclude, version = progress.tried, None
        if progress.origin is not None:
            service, version = progress.origin.service, progress.origin.version
            if self._slots.has_replica(service, exclude) and not (
                self._slots.has_replica(service, exclude, version)
            ):
                # The other replicas are all of other versions.
                exclude = set()
        if not self._slots.has_replica(service, exclude=(), version=version):
            progress.reason = "no_replica" if version is None else "no_version"
            return None
        objective_ms = (
            call.route.objective_ms or attempts_lib.DEFAULT_OBJECTIVE_MS
        )
        req = slots_lib.SlotRequest(
            service=service,
            work=load.WorkKind.ONLINE,
            rank=call.priority,
            arrived_ms=call.arrived_ms,
            objective_ms=objective_ms,
            deadline_ms=call.deadline_ms - _MIN_RUN_MS,
            exclude=exclude,
            repeatable=call.route.repeatable
            and progress.attempts_left(begun=1),
            version=version,
            customer=call.work.customer,
            tokens=fair_order.estimate_tokens(len(call.work.body)),
        )
        slot = await self._slots.acquire(req)
        if req.hopeless:
            progress.reason = "no_capacity"
        return slot
