"""Clocks of monotonic time in milliseconds."""

import time
from typing import Protocol

import trio


class Clock(Protocol):
    """A source of monotonic time."""

    def now_ms(self) -> float:
        """Returns monotonic time in milliseconds."""

    async def sleep_ms(self, duration_ms: float) -> None:
        """Waits for `duration_ms` milliseconds."""

    async def sleep_until_next_ms(self, interval_ms: float) -> None:
        """Waits until the time is a multiple of an interval.

        Periodic tasks that wait this way are due together, and wake an
        otherwise idle process less often.
        """


class MonotonicClock:
    """The machine's monotonic clock.

    Reads CLOCK_BOOTTIME, which also advances while the machine is suspended,
    so that leases expire during a suspension.
    """

    __slots__ = ()

    def now_ms(self) -> float:
        """Returns monotonic time in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6

    async def sleep_ms(self, duration_ms: float) -> None:
        """Waits for `duration_ms` milliseconds."""
        await trio.sleep(max(0.0, duration_ms) / 1000)

    async def sleep_until_next_ms(self, interval_ms: float) -> None:
        """Waits until the time is a multiple of an interval."""
        await self.sleep_ms(interval_ms - self.now_ms() % interval_ms)


class ManualClock:
    """A clock for tests that advances only by calls of `advance`."""

    __slots__ = ("_now_ms", "_waiters")

    def __init__(self, now_ms: float = 0.0) -> None:
        self._now_ms = now_ms
        self._waiters: list[tuple[float, trio.Event]] = []

    def now_ms(self) -> float:
        """Returns the current time of this clock."""
        return self._now_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        """Waits until the clock was advanced by `duration_ms`."""
        if duration_ms <= 0:
            await trio.lowlevel.checkpoint()
            return
        event = trio.Event()
        self._waiters.append((self._now_ms + duration_ms, event))
        await event.wait()

    async def sleep_until_next_ms(self, interval_ms: float) -> None:
        """Waits until the time is a multiple of an interval."""
        await self.sleep_ms(interval_ms - self._now_ms % interval_ms)

    def advance(self, duration_ms: float) -> None:
        """Moves the clock forward and wakes the sleepers that are due."""
        self._now_ms += duration_ms
        due = [
            event for due_ms, event in self._waiters if due_ms <= self._now_ms
        ]
        self._waiters = [w for w in self._waiters if w[0] > self._now_ms]
        for event in due:
            event.set()
