"""Time limits and the number of callers' connections; no I/O.

Handles callers that open connections and leave them idle or send heads without
end, so that descriptors run out.
"""

import enum
import math

# A connection without a request may be closed for another one if it is older.
# Younger ones are about to send their first request.
_NEW_MS = 1_000.0


class Phase(enum.Enum):
    """What a connection is doing."""

    NEW = "new"
    HEAD = "head"
    BUSY = "busy"
    IDLE = "idle"


class End(enum.Enum):
    """Why a connection is ended."""

    FIRST_BYTE = "first_byte"
    HEADER_TIMEOUT = "header_timeout"
    IDLE_TIMEOUT = "idle_timeout"
    EVICTED = "evicted"


class Entry:
    """A connection.

    Attributes:
        phase: What it is doing.
        deadline_ms: When it is ended unless its phase changes before.
    """

    __slots__ = ("deadline_ms", "opened_ms", "phase")

    def __init__(self, now_ms: float, deadline_ms: float) -> None:
        self.phase = Phase.NEW
        self.opened_ms = now_ms
        self.deadline_ms = deadline_ms


class ConnectionTable:
    """The open connections and the limits for them.

    Attributes:
        header_ms: Time limit for a request's head.
        idle_ms: Time limit for a connection without a request.
        first_byte_ms: Time limit for the first byte of a connection.
        most: Number of connections that may be open.
    """

    __slots__ = (
        "_entries",
        "_idle",
        "first_byte_ms",
        "header_ms",
        "idle_ms",
        "most",
    )

    def __init__(
        self,
        most: float = math.inf,
        first_byte_ms: float = 60_000.0,
        header_ms: float = 60_000.0,
        idle_ms: float = 300_000.0,
    ) -> None:
        self.most = most
        self.first_byte_ms = first_byte_ms
        self.header_ms = header_ms
        self.idle_ms = idle_ms
        self._entries: dict[Entry, None] = {}
        # Those without a request, the least recently used first.
        self._idle: dict[Entry, None] = {}

    @property
    def open(self) -> int:
        """Number of open connections."""
        return len(self._entries)

    @property
    def idle(self) -> int:
        """Number of connections without a request."""
        return len(self._idle)

    @property
    def full(self) -> bool:
        """Whether a connection must be closed before one is added."""
        return len(self._entries) >= self.most

    def evict(self, now_ms: float) -> Entry | None:
        """Removes the least recently used idle connection, if there is one."""
        for entry in self._idle:
            if entry.phase is Phase.IDLE or now_ms - entry.opened_ms > _NEW_MS:
                self.remove(entry)
                return entry
        return None

    def add(self, now_ms: float) -> Entry:
        """Adds a connection."""
        entry = Entry(now_ms, now_ms + self.first_byte_ms)
        self._entries[entry] = self._idle[entry] = None
        return entry

    def remove(self, entry: Entry) -> None:
        """Removes a connection; does nothing if it was removed before."""
        self._entries.pop(entry, None)
        self._idle.pop(entry, None)

    def note_data(self, entry: Entry, now_ms: float) -> None:
        """Records data of a connection, which begin a head if it was idle."""
        if entry.phase in (Phase.NEW, Phase.IDLE):
            self._idle.pop(entry, None)
            entry.phase = Phase.HEAD
            entry.deadline_ms = now_ms + self.header_ms

    def note_busy(self, entry: Entry) -> None:
        """Records that a connection has a request."""
        self._idle.pop(entry, None)
        entry.phase = Phase.BUSY
        entry.deadline_ms = math.inf

    def note_idle(self, entry: Entry, now_ms: float) -> None:
        """Records that a connection's requests have ended."""
        entry.phase = Phase.IDLE
        entry.deadline_ms = now_ms + self.idle_ms
        if entry in self._entries:
            self._idle.pop(entry, None)
            self._idle[entry] = None

    def expired(self, now_ms: float) -> list[tuple[Entry, End]]:
        """Removes and returns connections that exceed a time limit."""
        due = [e for e in self._entries if e.deadline_ms <= now_ms]
        for entry in due:
            self.remove(entry)
        return [(entry, _CAUSES[entry.phase]) for entry in due]


_CAUSES = {
    Phase.NEW: End.FIRST_BYTE,
    Phase.HEAD: End.HEADER_TIMEOUT,
    Phase.IDLE: End.IDLE_TIMEOUT,
}
