"""Shares one read of the log among the callers that need it at a time."""

from collections.abc import Awaitable
from collections.abc import Callable

import trio


class _Round:
    __slots__ = ("done", "succeeded")

    def __init__(self) -> None:
        self.done = trio.Event()
        self.succeeded = False


class SharedRead:
    """Runs a read for all who ask for it before it starts.

    The read returns whether the log gave a usable answer.
    """

    __slots__ = ("_lock", "_next", "_read")

    def __init__(self, read: Callable[[], Awaitable[bool]]) -> None:
        self._read = read
        self._lock = trio.Lock()
        self._next: _Round | None = None

    async def run(self) -> bool:
        """Waits for a read that starts after this call; returns its result."""
        waiting = self._next
        if waiting is not None:
            await waiting.done.wait()
            return waiting.succeeded
        mine = self._next = _Round()
        try:
            async with self._lock:
                self._next = None
                mine.succeeded = await self._read()
        finally:
            if self._next is mine:
                self._next = None
            mine.done.set()
        return mine.succeeded
