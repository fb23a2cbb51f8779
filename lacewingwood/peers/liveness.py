"""Decides when a connection is idle or its peer no longer responds."""

import enum


class Verdict(enum.Enum):
    """What to do with a connection at a tick.

    Attributes:
        KEEP: Nothing.
        PING: Send a ping, which the peer has to answer.
        SILENT: Drop the connection; the peer does not respond.
        IDLE: Close the connection; it is no longer used.
    """

    KEEP = "keep"
    PING = "ping"
    SILENT = "silent"
    IDLE = "idle"


class Liveness:
    """Tracks the traffic of one connection between regular ticks.

    A peer is silent if nothing arrived in two whole ticks after something was
    sent to it. A ping at the first tick ensures that it had to answer.
    """

    __slots__ = (
        "_awaiting_response",
        "_idle_limit_ticks",
        "_idle_ticks",
        "_unanswered_ticks",
    )

    def __init__(self, idle_limit_ticks: int) -> None:
        """Creates the state of a new connection.

        Args:
            idle_limit_ticks: Ticks without messages after which the connection
                is idle.
        """
        self._idle_limit_ticks = idle_limit_ticks
        self._idle_ticks = 0
        self._unanswered_ticks = 0
        self._awaiting_response = False

    def note_message(self) -> None:
        """Records that a message was sent or received."""
        self._idle_ticks = 0

    def expect_response(self) -> None:
        """Records that the peer has something to respond to, if only a ping."""
        self._awaiting_response = True

    def note_received(self) -> None:
        """Records that bytes arrived from the peer."""
        self._awaiting_response = False
        self._unanswered_ticks = 0

    def tick(self) -> Verdict:
        """Returns what to do now that one more tick has passed."""
        self._idle_ticks += 1
        if self._awaiting_response:
            self._unanswered_ticks += 1
            return (
                Verdict.SILENT if self._unanswered_ticks > 2 else Verdict.PING
            )
        if self._idle_ticks >= self._idle_limit_ticks:
            return Verdict.IDLE
        return Verdict.KEEP
