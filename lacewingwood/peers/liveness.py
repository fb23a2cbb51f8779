"""Decides when a connection is idle or its peer silent."""

import enum


class Verdict(enum.Enum):
    """What to do with a connection at a tick."""

    KEEP = "keep"
    PING = "ping"
    SILENT = "silent"
    IDLE = "idle"


class Liveness:
    """State of one connection, asked at regular ticks.

    A peer is silent if nothing arrived in two whole ticks after something was
    sent to it; a ping at the first makes sure that it had to answer.
    """

    __slots__ = ("_awaits", "_idle", "_idle_limit", "_unanswered")

    def __init__(self, idle_limit: int) -> None:
        """Makes the state of a new connection.

        Args:
            idle_limit: Ticks without messages after which it may end.
        """
        self._idle_limit = idle_limit
        self._idle = 0
        self._unanswered = 0
        self._awaits = False

    def message_passed(self) -> None:
        """A message was sent or received."""
        self._idle = 0

    def sent(self) -> None:
        """The peer owes an answer, at least to a ping."""
        self._awaits = True

    def received(self) -> None:
        """Bytes arrived."""
        self._awaits = False
        self._unanswered = 0

    def tick(self) -> Verdict:
        """Returns what to do now that one more tick has passed."""
        self._idle += 1
        if self._awaits:
            self._unanswered += 1
            return Verdict.SILENT if self._unanswered > 2 else Verdict.PING
        if self._idle >= self._idle_limit:
            return Verdict.IDLE
        return Verdict.KEEP
