"""Decides when a request is also sent to a second replica, and how often.

Handles slow responses of single replicas. A second attempt is made after a
quantile of the recent times to the first event, and a share of the requests of
its route limits it, so that a slow-down of all replicas causes no storm. Each
gateway holds the limit for the requests that it takes; it then holds for all of
them together, also if gateways are lost. Performs no I/O.
"""

import enum
import math

from hdrh import histogram

from lacewingwood import configuration

# Times are recorded in ms, up to a minute, within a hundredth of their value.
_MAX_TIME_MS = 60_000
_SIGNIFICANT_DIGITS = 2
# Times are kept for one to two of these periods. A gateway of a large fleet
# takes a few requests a second of a route, and a quantile needs some dozen.
_PERIOD_MS = 15_000.0
# Fewer times say little of their upper quantiles.
_MIN_TIMES = 20
# The quantile is read again after this time. It takes 0.3 ms.
_READ_INTERVAL_MS = 1_000.0
# The delay is the quantile that leaves as many requests as the limit allows,
# within these bounds: below the median, most second attempts would be for
# requests that are as quick as others; the last percent of some dozen times is
# chance.
_MEDIAN = 0.5
_MIN_QUANTILE = _MEDIAN
_MAX_QUANTILE = 0.98
# Nor is the delay longer than this many medians. If a replica in five is slow,
# upper quantiles are the times of the slow ones, and no delay by them helps.
_MAX_DELAY_MEDIANS = 3.0
# A second attempt before this part of the objective would repeat requests that
# are in time anyway.
_MIN_DELAY_OBJECTIVES = 0.25
# The limit is saved up over this many requests, and can be spent at once.
_SAVED_REQUESTS = 100.0
# Of more routes, the oldest are those of earlier configurations.
_MAX_ROUTES = 1_000


class HeldBack(enum.Enum):
    """Why no second attempt was made.

    Attributes:
        NO_TIMES: Too few times to the first event are known.
        LIMIT: The route's share of second attempts is used up.
        LATE: Too little time is left for it.
        SUSPECT: The request may be one that crashes replicas.
        NO_SLOT: No other replica has a slot to spare, or requests wait.
    """

    NO_TIMES = "no_times"
    LIMIT = "limit"
    LATE = "late"
    SUSPECT = "suspect"
    NO_SLOT = "no_slot"


class RecentTimes:
    """Recent times to the first event of one route."""

    __slots__ = ("_current", "_previous", "_read", "_started_ms")

    def __init__(self) -> None:
        self._current = _make_histogram()
        self._previous = _make_histogram()
        self._started_ms = -math.inf
        # Values that were read, and when, by quantile.
        self._read: dict[float, tuple[float | None, float]] = {}

    def note(self, time_ms: float, now_ms: float) -> None:
        """Adds a time, or the time waited so far of a run that was cut."""
        self._expire(now_ms)
        self._current.record_value(min(max(1, int(time_ms)), _MAX_TIME_MS))

    def quantile_ms(self, quantile: float, now_ms: float) -> float | None:
        """Returns a quantile (0 to 1), None if too few times are recent."""
        value, at_ms = self._read.get(quantile, (None, -math.inf))
        if now_ms - at_ms >= _READ_INTERVAL_MS:
            value = self._compute(quantile, now_ms)
            self._read[quantile] = value, now_ms
        return value

    def _compute(self, quantile: float, now_ms: float) -> float | None:
        self._expire(now_ms)
        total = _make_histogram()
        total.add(self._previous)
        total.add(self._current)
        if total.total_count < _MIN_TIMES:
            return None
        return float(total.get_value_at_percentile(quantile * 100))

    def _expire(self, now_ms: float) -> None:
        age_ms = now_ms - self._started_ms
        if age_ms < _PERIOD_MS:
            return
        if age_ms < 2 * _PERIOD_MS:
            self._previous = self._current
        else:
            self._previous = _make_histogram()
        self._current = _make_histogram()
        self._started_ms = now_ms


class Limit:
    """Second attempts that one route's requests allow at this gateway.

    It begins at nothing, so at no moment were there more second attempts than
    the percentage of all requests until then.
    """

    __slots__ = ("_saved",)

    def __init__(self) -> None:
        self._saved = 0.0

    def note_request(self, percent: float) -> None:
        """Adds the share of one request."""
        share = percent / 100
        cap = max(1.0, share * _SAVED_REQUESTS)
        self._saved = min(self._saved + share, cap)

    def take(self) -> bool:
        """Uses up one second attempt; returns False if none is left."""
        if self._saved < 1.0 - 1e-9:
            return False
        self._saved -= 1.0
        return True

    def give_back(self) -> None:
        """Returns a second attempt that did not run."""
        self._saved += 1.0


class _Route:
    __slots__ = ("limit", "times")

    def __init__(self) -> None:
        self.limit = Limit()
        self.times = RecentTimes()


class SecondAttempts:
    """Delays and limits of all routes that ask for second attempts."""

    __slots__ = ("_default_percent", "_routes")

    def __init__(self, default_percent: float = 0.0) -> None:
        """Creates the decisions of a gateway that has seen no request.

        Args:
            default_percent: Second attempts as a percentage of the requests of
                routes that set none, 0 for none.
        """
        self._default_percent = default_percent
        self._routes: dict[str, _Route] = {}

    def percent(self, route: configuration.Route) -> float:
        """Returns the limit of a route, 0 if it makes no second attempts."""
        if route.second_attempt_percent is None:
            return self._default_percent
        return route.second_attempt_percent

    def note_request(self, route: configuration.Route) -> None:
        """Counts a request towards the limit of its route."""
        if percent := self.percent(route):
            self._state(route).limit.note_request(percent)

    def note_time(
        self, route: configuration.Route, time_ms: float, now_ms: float
    ) -> None:
        """Records the time to a first event; see `RecentTimes.note`."""
        self._state(route).times.note(time_ms, now_ms)

    def delay_ms(
        self, route: configuration.Route, objective_ms: float, now_ms: float
    ) -> float | None:
        """Returns the delay of a second attempt, None if it is not known."""
        quantile = 1 - self.percent(route) / 100
        quantile = min(max(quantile, _MIN_QUANTILE), _MAX_QUANTILE)
        times = self._state(route).times
        delay_ms = times.quantile_ms(quantile, now_ms)
        median_ms = times.quantile_ms(_MEDIAN, now_ms)
        if delay_ms is None or median_ms is None:
            return None
        delay_ms = min(delay_ms, median_ms * _MAX_DELAY_MEDIANS)
        return max(delay_ms, objective_ms * _MIN_DELAY_OBJECTIVES)

    def check(
        self, route: configuration.Route, left_ms: float, now_ms: float
    ) -> HeldBack | None:
        """Returns why none may be made now, None if one may.

        Uses up one of the route's second attempts if it may.

        Args:
            route: The route.
            left_ms: Time until the request's caller stops waiting.
            now_ms: Current time.
        """
        state = self._state(route)
        usual_ms = state.times.quantile_ms(_MEDIAN, now_ms)
        if usual_ms is None:
            return HeldBack.NO_TIMES
        if left_ms < usual_ms:
            return HeldBack.LATE
        return None if state.limit.take() else HeldBack.LIMIT

    def give_back(self, route: configuration.Route) -> None:
        """Returns a second attempt that did not run to the route's limit."""
        self._state(route).limit.give_back()

    def _state(self, route: configuration.Route) -> _Route:
        state = self._routes.get(route.name)
        if state is None:
            state = self._routes[route.name] = _Route()
            if len(self._routes) > _MAX_ROUTES:
                del self._routes[next(iter(self._routes))]
        return state


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, _MAX_TIME_MS, _SIGNIFICANT_DIGITS)
