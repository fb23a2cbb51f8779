"""Budget in bytes for what callers make a process hold; no I/O.

Handles callers that send many large bodies at once of which most never become
complete: their sum, not one of them, exceeds the memory of the host.
"""

import enum

# Bytes that a connection takes, with its tasks and parser: 37 KiB were measured
# for connections with an incomplete body.
CONNECTION_BYTES = 40 << 10
# Bytes of a body that are read from the socket and not yet counted.
TRANSIT_BYTES = 32 << 10

# Fraction of the budget from which on bodies are held back.
_SHORT = 0.75
# Fraction to which bodies are ended that are in the way while memory is short.
# With the former, each made room for a few kilobytes of the others only.
_ROOMY = 0.6
# Fraction up to which large bodies may fill it. The rest is for small ones.
_FULL = 0.9
# Ordinary requests are smaller, so that bodies of this size are never held back
# and have the whole budget.
_LARGE_BYTES = 64 << 10
# A body without a byte for this long is ended before others if memory is short.
_STALLED_MS = 1_000.0
# Slower bodies are ended before others if memory is short.
_SLOW_BYTES_PER_S = 64 << 10
# A body that is held back for this long may be ended to make room.
_HELD_BACK_MS = 1_000.0


class Reason(enum.Enum):
    """Why a body is ended."""

    STALLED = "stalled"
    SLOW = "slow"
    MEMORY = "memory"


class Pace:
    """Limits of a body's progress.

    Attributes:
        stall_ms: Longest time without a byte.
        window_ms: Time over which the rate is measured.
        bytes_per_s: Lowest rate over that time.
    """

    __slots__ = ("bytes_per_s", "stall_ms", "window_ms")

    def __init__(
        self,
        stall_ms: float = 10_000.0,
        window_ms: float = 30_000.0,
        bytes_per_s: float = 100.0,
    ) -> None:
        self.stall_ms = stall_ms
        self.window_ms = window_ms
        self.bytes_per_s = bytes_per_s


class Body:
    """A request's body: being received at first, then kept until its end.

    Attributes:
        held_bytes: Bytes that the process holds of it.
        reason: Why it was ended, None while it was not.
    """

    __slots__ = (
        "_byte_ms",
        "_held_since_ms",
        "_last_ms",
        "_started_ms",
        "_waited_ms",
        "_window_bytes",
        "_window_ms",
        "held_bytes",
        "reason",
        "received_bytes",
    )

    def __init__(self, now_ms: float) -> None:
        self.held_bytes = 0
        self.received_bytes = 0
        self.reason: Reason | None = None
        self._started_ms = self._last_ms = self._window_ms = now_ms
        self._window_bytes = 0
        self._byte_ms = self._waited_ms = 0.0
        self._held_since_ms: float | None = None

    def note_received(self, size: int, now_ms: float) -> None:
        """Records bytes that arrived."""
        self._byte_ms = self._byte_ms_until(now_ms)
        self._last_ms = now_ms
        self.received_bytes += size
        self._window_bytes += size

    def hold_back(self, now_ms: float) -> None:
        """Records that no more is read of the body for now."""
        if self._held_since_ms is None:
            self._held_since_ms = now_ms

    def resume(self, now_ms: float) -> None:
        """Records that the body is read again; its caller was not slow."""
        if self._held_since_ms is None:
            return
        self._byte_ms = self._byte_ms_until(now_ms)
        self._waited_ms += now_ms - self._held_since_ms
        self._held_since_ms = None
        self._last_ms = self._window_ms = now_ms
        self._window_bytes = 0

    def violation(self, pace: Pace, now_ms: float) -> Reason | None:
        """Returns how the body falls short of `pace`, None if it doesn't."""
        if self._held_since_ms is not None:
            return None
        if now_ms - self._last_ms > pace.stall_ms:
            return Reason.STALLED
        window_ms = now_ms - self._window_ms
        if window_ms < pace.window_ms:
            return None
        if self._window_bytes * 1000 < pace.bytes_per_s * window_ms:
            return Reason.SLOW
        self._window_ms, self._window_bytes = now_ms, 0
        return None

    def is_stalled(self, now_ms: float) -> bool:
        """Returns whether its caller has sent nothing for a while."""
        if self._held_since_ms is not None:
            return False
        return now_ms - self._last_ms > _STALLED_MS

    def held_back_ms(self, now_ms: float) -> float:
        """Returns for how long the body was held back; 0 if it isn't now."""
        if self._held_since_ms is None:
            return 0.0
        return self._waited_ms + now_ms - self._held_since_ms

    def cost(self, now_ms: float) -> tuple[bool, bool, float]:
        """Returns a key that is greater for less progress for its age.

        The memory that a body took up to now, in bytes times ms, orders those
        that stall, those that are slow, and the others.
        """
        age_ms = now_ms - self._started_ms - self._waited_ms
        if self._held_since_ms is not None:
            age_ms -= now_ms - self._held_since_ms
        slow = age_ms > _STALLED_MS and (
            self.received_bytes * 1000 < _SLOW_BYTES_PER_S * age_ms
        )
        return self.is_stalled(now_ms), slow, self._byte_ms_until(now_ms)

    def _byte_ms_until(self, now_ms: float) -> float:
        return self._byte_ms + self.held_bytes * (now_ms - self._last_ms)


class Budget:
    """Counts the bytes that are held and decides which bodies are ended.

    A body that is ended is no longer counted; whoever receives it must drop it
    at once.

    Attributes:
        limit_bytes: The budget.
        held_bytes: Bytes that are counted at present.
    """

    __slots__ = (
        "_copies",
        "_copy_bytes",
        "_open",
        "_pace",
        "held_bytes",
        "limit_bytes",
    )

    def __init__(self, limit_bytes: float, pace: Pace) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._pace = pace
        # Bodies that are being received, the oldest first.
        self._open: dict[Body, None] = {}
        # Copies of large bodies that are complete, and their sum.
        self._copies: dict[Body, int] = {}
        self._copy_bytes = 0

    @property
    def short(self) -> bool:
        """Whether large bodies are held back."""
        return self.held_bytes + self._copy_bytes > _SHORT * self.limit_bytes

    @property
    def open_bodies(self) -> int:
        """Number of bodies that are being received."""
        return len(self._open)

    def note_connections(self, change: int) -> None:
        """Counts connections that were opened, or closed if negative."""
        self.held_bytes += change * CONNECTION_BYTES

    def open(self, now_ms: float) -> Body:
        """Begins to receive a body."""
        body = Body(now_ms)
        self._open[body] = None
        self._hold(body, TRANSIT_BYTES)
        return body

    def receive(self, body: Body, size: int, now_ms: float) -> list[Body]:
        """Counts bytes of a body; returns the bodies that are ended for them.

        They may include the body itself.
        """
        body.note_received(size, now_ms)
        self._hold(body, size)
        large = body.received_bytes > _LARGE_BYTES
        full = self.limit_bytes
        if large:
            full = _FULL * full - self._copy_bytes
        if self.held_bytes <= full:
            return []
        ended: list[Body] = []
        by_cost = sorted(
            self._open, key=lambda other: other.cost(now_ms), reverse=True
        )
        for other in by_cost:
            goal = _SHORT * self.limit_bytes
            if self.held_bytes <= (goal if other.is_stalled(now_ms) else full):
                break
            if other.received_bytes > _LARGE_BYTES or other.is_stalled(now_ms):
                ended.append(self._end(other, Reason.MEMORY))
        if self.held_bytes > full and body.reason is None:
            ended.append(self._end(body, Reason.MEMORY))
        return ended

    def drop(self, body: Body, size: int) -> None:
        """Stops counting bytes of a body that are no longer held."""
        self._hold(body, -size)

    def complete(self, body: Body) -> list[Body]:
        """Ends the receiving of a body; what it holds still counts.

        A large body is copied when it is sent to a replica. The copies count
        where large bodies are held back or ended: 20 whole bodies of 4 MiB took
        a process of 170 MiB to 194 MiB without that.

        Returns:
            The body if it is ended because there is no room for its copy.
        """
        if self._open.pop(body, body) is not None:
            return []
        self._hold(body, -TRANSIT_BYTES)
        if body.received_bytes <= _LARGE_BYTES:
            return []
        # The only large body is sent, whatever its size.
        needed_bytes = self._copy_bytes + body.held_bytes
        if self._copies and self.held_bytes + needed_bytes > self.limit_bytes:
            return [self._end(body, Reason.MEMORY)]
        self._copies[body] = body.held_bytes
        self._copy_bytes = needed_bytes
        return []

    def release(self, body: Body) -> None:
        """Stops counting a body."""
        self._open.pop(body, None)
        self._copy_bytes -= self._copies.pop(body, 0)
        self._hold(body, -body.held_bytes)

    def must_wait(self, body: Body, now_ms: float) -> bool:
        """Returns whether no more may be read of a body for now.

        The oldest body is read, so that one of them makes progress.
        """
        if body.reason is not None or not (
            self.short and body.received_bytes > _LARGE_BYTES
        ):
            body.resume(now_ms)
            return False
        if body is self._oldest_large(now_ms):
            body.resume(now_ms)
            return False
        body.hold_back(now_ms)
        return True

    def sweep(self, now_ms: float) -> list[Body]:
        """Ends bodies that are too slow, or in the way if memory is short.

        Called several times a second.
        """
        ended = [
            self._end(body, reason)
            for body in list(self._open)
            if (reason := body.violation(self._pace, now_ms)) is not None
        ]
        if not self.short:
            return ended
        for body in sorted(
            self._open, key=lambda body: body.cost(now_ms), reverse=True
        ):
            if self.held_bytes <= _ROOMY * self.limit_bytes:
                break
            stalled = body.is_stalled(now_ms)
            waits = body.held_back_ms(now_ms) > _HELD_BACK_MS
            # Small ones end as well once there are so many that others are.
            full = self.held_bytes > _FULL * self.limit_bytes
            large = body.received_bytes > _LARGE_BYTES
            if (stalled or waits) and (large or full):
                ended.append(self._end(body, Reason.MEMORY))
        return ended

    def _oldest_large(self, now_ms: float) -> Body | None:
        for body in self._open:
            if body.received_bytes > _LARGE_BYTES and not body.is_stalled(
                now_ms
            ):
                return body
        return None

    def _end(self, body: Body, reason: Reason) -> Body:
        body.reason = reason
        self.release(body)
        return body

    def _hold(self, body: Body, size: int) -> None:
        # A body that was ended isn't counted, whatever is still read of it.
        if body.reason is None or size < 0:
            size = max(size, -body.held_bytes)
            body.held_bytes += size
            self.held_bytes += size
