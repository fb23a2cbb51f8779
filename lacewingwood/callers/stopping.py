"""Time limits of requests while the process stops.

The server closes all connections when the time for a planned shutdown ends. A
request that is still running then would get no answer, and one that may run
once only could not be sent again. So running requests end a little earlier,
with an answer, and a late request that might not end in time is refused.
"""

import contextlib
import math
from collections.abc import Iterator

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood.callers import errors

# Time to send the answers that are still due before connections are closed.
_ANSWER_MARGIN_MS = 150.0
# Retry-After of a refused request: another host can serve it at once.
_RETRY_AFTER_MS = 0.0

_log = structlog.get_logger()


class Stop:
    """Ends or refuses requests that would outlast a planned shutdown."""

    __slots__ = ("_answer_by_ms", "_clock", "_drained_ms", "_scopes")

    def __init__(self, clock: clocks.Clock) -> None:
        """Creates the limits of a process that does not stop."""
        self._clock = clock
        self._drained_ms = math.inf
        self._answer_by_ms = math.inf
        self._scopes: set[trio.CancelScope] = set()

    def begin(self, drain_ms: float, grace_ms: float) -> None:
        """Limits all requests, also those that are running.

        Args:
            drain_ms: Time in which all requests are still accepted, since the
                load balancer may not know of the shutdown.
            grace_ms: Time after that until connections are closed.
        """
        now_ms = self._clock.now_ms()
        end_ms = now_ms + drain_ms + grace_ms
        self._drained_ms = now_ms + drain_ms
        self._answer_by_ms = max(now_ms, end_ms - _ANSWER_MARGIN_MS)
        limit = self._to_trio_time(self._answer_by_ms)
        for scope in self._scopes:
            scope.deadline = min(scope.deadline, limit)

    def check(self, request_id: str, deadline_ms: float) -> None:
        """Refuses a request that comes late and may not end in time.

        Args:
            request_id: Id of the request, for the log.
            deadline_ms: When its caller stops waiting.

        Raises:
            errors.CallerError: It is refused, and was not run.
        """
        now_ms = self._clock.now_ms()
        if now_ms < self._drained_ms or deadline_ms <= self._answer_by_ms:
            return
        _log.info(
            "request refused",
            request_id=request_id,
            reason="stopping",
            left_ms=round(self._answer_by_ms - now_ms),
            deadline_in_ms=round(deadline_ms - now_ms),
        )
        raise errors.unavailable(
            "stopping", "this host is about to stop", _RETRY_AFTER_MS
        )

    @contextlib.contextmanager
    def limit(self, deadline_ms: float) -> Iterator[trio.CancelScope]:
        """Cancels the block at a deadline, or before the process stops."""
        earliest_ms = min(deadline_ms, self._answer_by_ms)
        scope = trio.CancelScope(deadline=self._to_trio_time(earliest_ms))
        self._scopes.add(scope)
        try:
            with scope:
                yield scope
        finally:
            self._scopes.discard(scope)

    def cuts(self, deadline_ms: float) -> bool:
        """Returns whether a request ends here before its deadline."""
        return self._answer_by_ms < deadline_ms

    def _to_trio_time(self, at_ms: float) -> float:
        left_ms = max(0.0, at_ms - self._clock.now_ms())
        return trio.current_time() + left_ms / 1000
