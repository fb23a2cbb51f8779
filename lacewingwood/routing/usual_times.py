"""Times of runs that are usual in a service, by the load of the replica."""

import math

# Half-life of the runs, and how many it takes to know what is usual.
_HALF_LIFE_MS = 30_000.0
_MIN_RUNS = 24.0
_MIN_DEVIATIONS = 16.0
# Keeps the slope near 0 while the load has hardly varied.
_RIDGE = 0.02
_MIN_SPREAD = 0.02
# Weight of a run's first event as evidence, beside 1 for its other events: it
# depends on the length of the prompt, which is not known.
FIRST_EVENT_WEIGHT = 0.25


class Usual:
    """Times of one kind that are usual in a service, by the replica's load.

    A decaying linear regression of the time's logarithm on the share of the
    replica's slots that are in use.
    """

    __slots__ = ("_at_ms", "_w", "_x", "_xx", "_xy", "_y")

    def __init__(self) -> None:
        self._w = self._x = self._y = 0.0
        self._xx = self._xy = 0.0
        self._at_ms = 0.0

    @property
    def known(self) -> bool:
        """True once there were enough runs."""
        return self._w >= _MIN_RUNS

    @property
    def slope(self) -> float:
        """Growth of the logarithm from idle to full replicas, at least 0."""
        if not self._w:
            return 0.0
        mean = self._x / self._w
        variance = max(0.0, self._xx / self._w - mean * mean)
        return max(0.0, self._covariance() / (variance + _RIDGE))

    def add(self, x: float, y: float, weight: float, now_ms: float) -> None:
        """Adds a time's logarithm `y` at a load of `x`."""
        factor = _decay(now_ms - self._at_ms)
        self._at_ms = now_ms
        self._w = self._w * factor + weight
        self._x = self._x * factor + weight * x
        self._y = self._y * factor + weight * y
        self._xx = self._xx * factor + weight * x * x
        self._xy = self._xy * factor + weight * x * y

    def at(self, x: float) -> float:
        """Returns the logarithm of the usual time at a load of `x`."""
        return (self._y + self.slope * (x * self._w - self._x)) / self._w

    def _covariance(self) -> float:
        return self._xy / self._w - self._x * self._y / self._w**2


class Service:
    """What is usual in one service.

    Attributes:
        first_event: Time from sending a request to its first event.
        gaps: Time between events.
        shares_hosts: True once a replica has told how long work takes on its
            host. The speeds of other services' replicas are not learned.
    """

    __slots__ = (
        "_at_ms",
        "_squares",
        "_weight",
        "first_event",
        "gaps",
        "shares_hosts",
    )

    def __init__(self) -> None:
        self.first_event = Usual()
        self.gaps = Usual()
        self.shares_hosts = False
        # Decaying sums over the deviations of runs.
        self._weight = self._squares = self._at_ms = 0.0

    @property
    def spread(self) -> float:
        """Standard deviation of a replica's runs, infinite if not known."""
        if self._weight < _MIN_DEVIATIONS:
            return math.inf
        return max(_MIN_SPREAD, math.sqrt(self._squares / self._weight))

    def note_deviation(
        self, deviation: float, weight: float, now_ms: float
    ) -> None:
        """Adds how much a run differs from others at its replica."""
        factor = _decay(now_ms - self._at_ms)
        self._at_ms = now_ms
        self._weight = self._weight * factor + weight
        self._squares = self._squares * factor + weight * deviation**2


def _decay(age_ms: float) -> float:
    return 0.5 ** (max(0.0, age_ms) / _HALF_LIFE_MS)
