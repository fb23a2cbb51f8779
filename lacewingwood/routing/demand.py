"""Forecast of the slots that online requests need within the next moments.

This answers online traffic whose peaks repeat within seconds: batch items that
begin shortly before a peak are stopped by it. Demand that does not repeat is
not forecast, and neither is demand that only varies at random.
"""

import collections
import math

# Demand is kept as its greatest value in intervals of this length, which is
# short against a peak of 2 s.
_BUCKET_MS = 200.0
# Intervals that are kept: two periods of the longest that is searched for.
_MAX_BUCKETS = 80
# Shortest and longest period that is searched for, in intervals.
_MIN_PERIOD = 8
_MAX_PERIOD = 40
# Intervals that must be alike one period apart.
_MIN_OVERLAP = 12
# Demand repeats if it is at least this much like itself one period earlier: 1
# is equal, 0 is what unrelated values have.
_MIN_LIKENESS = 0.6
# The variance of independent arrivals is about their mean. Less than twice this
# is no peak.
_MIN_VARIANCE_RATIO = 2.0
# The period is searched for at this interval; it costs about 1,500 additions.
_SEARCH_INTERVAL_MS = 1_000.0


class DemandForecast:
    """Online demand of one shard; performs no I/O."""

    __slots__ = ("_buckets", "_newest", "_period", "_searched_ms")

    def __init__(self) -> None:
        self._buckets: collections.deque[int]
        self._buckets = collections.deque(maxlen=_MAX_BUCKETS)
        # Number of the newest interval since time 0.
        self._newest = 0
        self._period = 0
        self._searched_ms = -math.inf

    def note(self, demand: int, now_ms: float) -> None:
        """Records how many slots online requests use and wait for."""
        bucket = int(now_ms // _BUCKET_MS)
        if not self._buckets:
            self._buckets.append(demand)
        else:
            passed = bucket - self._newest
            if passed > _MAX_BUCKETS:
                self._buckets.clear()
                self._period = 0
            last = self._buckets[-1] if self._buckets else 0
            # Demand is noted at each change, so it was the same in between.
            self._buckets.extend([last] * (min(passed, _MAX_BUCKETS) - 1))
            if passed > 0:
                self._buckets.append(demand)
            else:
                self._buckets[-1] = max(last, demand)
        self._newest = bucket

    def peak(self, horizon_ms: float, now_ms: float) -> int:
        """Returns the greatest demand expected until a time, 0 if not known.

        Args:
            horizon_ms: Time from now that is looked ahead.
            now_ms: Current time.
        """
        if now_ms - self._searched_ms >= _SEARCH_INTERVAL_MS:
            self._searched_ms = now_ms
            self._period = _find_period(list(self._buckets))
        if not self._period:
            return 0
        first = int(now_ms // _BUCKET_MS) - self._period
        last = int((now_ms + horizon_ms) // _BUCKET_MS) - self._period
        # Positions in `_buckets`, of which the last holds `_newest`.
        offset = len(self._buckets) - 1 - self._newest
        count = len(self._buckets)
        expected = [
            self._buckets[i + offset]
            for i in range(first, last + 1)
            if 0 <= i + offset < count
        ]
        # The greatest single value would mostly be one of chance.
        return max(map(min, expected, expected[1:]), default=0)


def _find_period(values: list[int]) -> int:
    """Returns the period of the values, 0 if they do not repeat."""
    count = len(values)
    if count < _MIN_PERIOD + _MIN_OVERLAP:
        return 0
    mean = sum(values) / count
    variance = sum((v - mean) ** 2 for v in values) / count
    if variance <= _MIN_VARIANCE_RATIO * mean:
        return 0
    best, best_likeness = 0, _MIN_LIKENESS
    longest = min(_MAX_PERIOD, count - _MIN_OVERLAP)
    for period in range(_MIN_PERIOD, longest + 1):
        pairs = zip(values, values[period:], strict=False)
        difference = sum((a - b) ** 2 for a, b in pairs) / (count - period)
        likeness = 1 - difference / (2 * variance)
        if likeness > best_likeness:
            best, best_likeness = period, likeness
    return best
