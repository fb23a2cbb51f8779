"""Forecast of how long a request will wait for a slot.

This answers load that exceeds the capacity for seconds: requests that can't
begin before their deadline are told so at once. It performs no I/O.
"""

import collections

# What was seen longer ago than this tells nothing of the wait.
_WINDOW_MS = 2_000.0
# Nothing is forecast from less than this: the first moments of a queue are
# mostly chance, and requests are not refused in doubt.
_MIN_ELAPSED_MS = 500.0
_MIN_SERVED = 20
# The wait may turn out shorter by this factor, as replicas come back or others
# give up, and is still forecast as too long.
_DOUBT = 2.0


class WaitForecast:
    """How fast the requests that wait in one queue leave it."""

    __slots__ = ("_left_ms", "_since_ms")

    def __init__(self) -> None:
        self._left_ms: collections.deque[float] = collections.deque()
        # Since when requests have been waiting without a break.
        self._since_ms: float | None = None

    def note_waiting(self, now_ms: float) -> None:
        """Records that a request starts to wait."""
        if self._since_ms is None:
            self._since_ms = now_ms

    def note_left(self, waiting: int, now_ms: float) -> None:
        """Records that a request waits no longer.

        Also one that was given up makes way for those behind it.

        Args:
            waiting: Number of requests that still wait.
            now_ms: Current time.
        """
        self._left_ms.append(now_ms)
        self._drop_old(now_ms)
        if not waiting:
            self._since_ms = None
            self._left_ms.clear()

    def shortest_wait_ms(self, ahead: int, now_ms: float) -> float:
        """Returns a time that a request waits at least, 0 if not known.

        Args:
            ahead: Number of requests that are served before it.
            now_ms: Current time.
        """
        self._drop_old(now_ms)
        if self._since_ms is None or len(self._left_ms) < _MIN_SERVED:
            return 0.0
        elapsed_ms = min(now_ms - self._since_ms, _WINDOW_MS)
        if elapsed_ms < _MIN_ELAPSED_MS:
            return 0.0
        return ahead * elapsed_ms / len(self._left_ms) / _DOUBT

    def _drop_old(self, now_ms: float) -> None:
        while self._left_ms and self._left_ms[0] <= now_ms - _WINDOW_MS:
            self._left_ms.popleft()
