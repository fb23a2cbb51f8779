"""A token bucket whose methods take the present time as an argument."""

# Tolerance in tokens for rounding errors: sums of fractions of a token may fall
# short of a whole token by as much.
ROUNDING = 1e-9


class Bucket:
    """Admits at most rate * duration + depth requests in any time window.

    Each request takes one token.

    Attributes:
        rate: Tokens per second that are refilled.
        depth: Maximum number of tokens.
    """

    __slots__ = ("_level", "_updated_ms", "depth", "rate")

    def __init__(
        self, rate: float, depth: float, level: float, now_ms: float
    ) -> None:
        """Creates a bucket.

        Args:
            rate: Tokens per second that are refilled.
            depth: Maximum number of tokens.
            level: Initial number of tokens.
            now_ms: Monotonic time, as in all methods.
        """
        self.rate = rate
        self.depth = depth
        self._level = min(level, depth)
        self._updated_ms = now_ms

    def level(self, now_ms: float) -> float:
        """Returns the number of tokens."""
        self._refill(now_ms)
        return self._level

    def take(self, now_ms: float, amount: float) -> bool:
        """Takes `amount` tokens; returns False and takes none if too few."""
        self._refill(now_ms)
        if self._level + ROUNDING < amount:
            return False
        self._level = max(0.0, self._level - amount)
        return True

    def put(self, now_ms: float, amount: float) -> None:
        """Adds `amount` tokens, up to the depth."""
        self._refill(now_ms)
        self._level = min(self.depth, self._level + amount)

    def configure(self, now_ms: float, rate: float, depth: float) -> None:
        """Changes the rate and the depth; excess tokens are dropped."""
        self._refill(now_ms)
        self.rate = rate
        self.depth = depth
        self._level = min(self._level, depth)

    def wait_ms(self, now_ms: float, amount: float) -> float:
        """Returns the time until it holds `amount` tokens, inf if never."""
        missing = amount - self.level(now_ms)
        if missing <= ROUNDING:
            return 0.0
        if self.rate <= 0 or amount > self.depth + ROUNDING:
            return float("inf")
        return missing / self.rate * 1000

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms <= 0:
            return
        self._updated_ms = now_ms
        self._level = min(
            self.depth, self._level + self.rate * elapsed_ms / 1000
        )
