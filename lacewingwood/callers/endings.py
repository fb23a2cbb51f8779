"""Ends calls that no replica completed, and records how attempts ended."""

from typing import NoReturn

import structlog

from lacewingwood import clock as clocks
from lacewingwood import errors as base_errors
from lacewingwood import metrics as metrics_lib
from lacewingwood.callers import errors
from lacewingwood.callers import progress as progress_lib
from lacewingwood.upstreams import errors as upstream_errors

Ran = base_errors.Ran

# Retry-After if no replica can be used.
_NO_REPLICA_RETRY_AFTER_MS = 300.0
# Retry-After of a stream whose version has no replica. One that has crashed is
# back within seconds.
_NO_VERSION_RETRY_AFTER_MS = 1_000.0

# Most parts of a prompt, and most characters of them, in a line of the log.
_MAX_LOGGED_PARTS = 6
_MAX_LOGGED_PROMPT = 120

UNAVAILABLE = 503

_log = structlog.get_logger()


class AbortError(Exception):
    """Makes the server abort a response that can't be completed."""


class Endings:
    """Ends calls without a response, and records outcomes."""

    __slots__ = ("_clock", "_metrics")

    def __init__(
        self, clock: clocks.Clock, metrics: metrics_lib.Registry
    ) -> None:
        self._clock = clock
        self._metrics = metrics

    def give_up(
        self,
        call: progress_lib.Call,
        progress: progress_lib.Progress,
        status: int,
        refusal: str = "no replica accepted the request",
        retry_after_ms: float | None = _NO_REPLICA_RETRY_AFTER_MS,
    ) -> NoReturn:
        """Ends a call that no replica completed.

        Args:
            call: The call.
            progress: Its attempts.
            status: Status of the response if a replica may have run the call.
            refusal: What the caller is told if no replica has.
            retry_after_ms: When the caller may try again in that case, None
                if that is not expected to help.

        Raises:
            AbortError: The response was started.
            errors.CallerError: The response was not started.
        """
        now_ms = self._clock.now_ms()
        ran = progress.effect()
        _log.info(
            "request given up",
            request_id=call.work.request_id,
            route=call.route.name,
            customer=call.work.customer,
            reason=progress.reason,
            ran=ran.value,
            pending=bool(progress.pending),
            attempts=progress.attempts,
            refusals=progress.refusals,
            waited_ms=round(now_ms - call.arrived_ms),
            started=call.req.started,
        )
        self._metrics.add("requests_given_up", reason=progress.reason)
        if call.req.started:
            raise AbortError
        if ran is Ran.NOT_RUN:
            raise errors.unavailable(progress.reason, refusal, retry_after_ms)
        if status == UNAVAILABLE:
            status = 502
        raise errors.CallerError(
            status,
            progress.reason,
            "the request may have run, and no replica completed it",
            ran=ran,
        )

    def give_up_without_slot(
        self, call: progress_lib.Call, progress: progress_lib.Progress
    ) -> NoReturn:
        """Ends a call for which no slot was found; raises as `give_up`."""
        if progress.reason == "no_capacity":
            # A caller that returns within its deadline would be late as well.
            self.give_up(
                call,
                progress,
                UNAVAILABLE,
                "no replica can begin the request before its deadline",
                None,
            )
        if progress.reason != "no_version":
            self.give_up(call, progress, UNAVAILABLE)
        self.give_up(
            call,
            progress,
            UNAVAILABLE,
            "no replica of the version that began the stream is left",
            _NO_VERSION_RETRY_AFTER_MS,
        )

    def record_failure(
        self,
        call: progress_lib.Call,
        attempt: progress_lib.Attempt,
        exc: upstream_errors.UpstreamError,
    ) -> None:
        """Records a failed attempt."""
        slot = attempt.slot
        replica = slot.replica
        attempt.record_failure(exc)
        now_ms = self._clock.now_ms()
        slow = isinstance(exc, upstream_errors.TimeoutError)
        if slow and replica.in_flight(now_ms) > replica.slots:
            # The requests queued on the replica explain the timeout, so it
            # does not count as a failure; other replicas would be as full.
            replica.note_full(now_ms)
            slot.refused = True
        elif not isinstance(exc, upstream_errors.RefusedError):
            replica.note_failure(now_ms)
            slot.failed = True
        self._note_failure(call, attempt, exc.code, exc.message[:80], exc.ran)

    def record_error_response(
        self,
        call: progress_lib.Call,
        attempt: progress_lib.Attempt,
        status: int,
    ) -> None:
        """Records an attempt that its replica failed with a status."""
        progress, slot = attempt.progress, attempt.slot
        slot.replica.note_failure(self._clock.now_ms())
        slot.failed = True
        code = progress.reason = f"status_{status}"
        progress.tried.add(slot.replica.listing.id)
        self._note_failure(call, attempt, code, "", Ran.MAY_HAVE_RUN)

    def record_relayed_error(
        self, call: progress_lib.Call, progress: progress_lib.Progress
    ) -> None:
        """Records that the caller gets the error response of a replica."""
        self._metrics.add("errors_relayed", reason=progress.reason)
        _log.info(
            "error relayed",
            request_id=call.work.request_id,
            route=call.route.name,
            customer=call.work.customer,
            reason=progress.reason,
            attempts=progress.attempts,
            refusals=progress.refusals,
            total_ms=round(self._clock.now_ms() - call.arrived_ms),
        )

    def _note_failure(
        self,
        call: progress_lib.Call,
        attempt: progress_lib.Attempt,
        code: str,
        detail: str,
        ran: Ran,
    ) -> None:
        progress, replica = attempt.progress, attempt.slot.replica
        self._metrics.add("attempt_failures", code=code)
        _log.info(
            "attempt failed",
            request_id=call.work.request_id,
            replica=replica.listing.id,
            code=code,
            detail=detail,
            ran=ran.value,
            attempts=progress.attempts,
            failures=replica.failures,
            events=progress.splitter.last_id if progress.splitter else None,
            prompt=_describe_prompt(call.work.prompt),
        )

    def record_success(
        self,
        call: progress_lib.Call,
        attempt: progress_lib.Attempt,
        status: int,
    ) -> None:
        """Records a call that was completed with a status."""
        progress, slot = attempt.progress, attempt.slot
        now_ms = self._clock.now_ms()
        total_ms = now_ms - call.arrived_ms
        self._metrics.histogram("request").record_ms(total_ms)
        self._metrics.add("requests_served", route=call.route.name)
        _log.info(
            "served",
            request_id=call.work.request_id,
            route=call.route.name,
            customer=call.work.customer,
            replica=slot.replica.listing.id,
            status=status,
            attempts=progress.attempts,
            refusals=progress.refusals,
            total_ms=round(total_ms),
        )


def _describe_prompt(prompt: tuple[str, ...]) -> str:
    return " ".join(prompt[:_MAX_LOGGED_PARTS])[:_MAX_LOGGED_PROMPT]
