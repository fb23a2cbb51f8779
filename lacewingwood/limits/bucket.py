"""A token bucket that takes the time as an argument."""

# Sums of fractions of a request may fall short of a whole one by rounding.
ROUNDING = 1e-9


class Bucket:
    """Admits at most rate x length + depth in a window of any length."""

    __slots__ = ("_level", "_updated_ms", "depth", "rate")

    def __init__(
        self, rate: float, depth: float, level: float, now_ms: float
    ) -> None:
        """Makes a bucket.

        Args:
            rate: Refill in requests a second.
            depth: Most requests that it can hold.
            level: Requests that it holds at first.
            now_ms: Monotonic time, as in all methods.
        """
        self.rate = rate
        self.depth = depth
        self._level = min(level, depth)
        self._updated_ms = now_ms

    def level(self, now_ms: float) -> float:
        """Returns the requests it holds."""
        self._refill(now_ms)
        return self._level

    def take(self, now_ms: float, amount: float) -> bool:
        """Takes `amount` requests; returns False and takes none if short."""
        self._refill(now_ms)
        if self._level + ROUNDING < amount:
            return False
        self._level = max(0.0, self._level - amount)
        return True

    def put(self, now_ms: float, amount: float) -> None:
        """Adds requests up to its depth."""
        self._refill(now_ms)
        self._level = min(self.depth, self._level + amount)

    def configure(self, now_ms: float, rate: float, depth: float) -> None:
        """Changes rate and depth from now on."""
        self._refill(now_ms)
        self.rate = rate
        self.depth = depth
        self._level = min(self._level, depth)

    def wait_ms(self, now_ms: float, amount: float) -> float:
        """Returns how long until it holds `amount`, infinity for never."""
        missing = amount - self.level(now_ms)
        if missing <= ROUNDING:
            return 0.0
        if self.rate <= 0 or amount > self.depth + ROUNDING:
            return float("inf")
        return missing / self.rate * 1000

    def _refill(self, now_ms: float) -> None:
        passed_ms = now_ms - self._updated_ms
        if passed_ms <= 0:
            return
        self._updated_ms = now_ms
        self._level = min(
            self.depth, self._level + self.rate * passed_ms / 1000
        )
