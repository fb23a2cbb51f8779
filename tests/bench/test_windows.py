"""Tests of the exact checks of a token bucket limit."""

import hypothesis
from hypothesis import strategies as st

from bench import windows

_TIMES = st.lists(st.integers(0, 60), max_size=25).map(
    lambda ticks: sorted(tick / 8 for tick in ticks)
)


def _brute_force_excess(times: list[float], rate: float, burst: float) -> float:
    excesses = [
        sum(a <= t <= b for t in times) - rate * (b - a) - burst
        for a in times
        for b in times
        if a <= b
    ]
    return max([0.0, *excesses])


@hypothesis.given(_TIMES, st.integers(1, 8), st.integers(1, 6))
def test_excess_is_that_of_the_worst_window(times, rate, burst):
    """Guards against an excess in a window that the check skips."""
    expected = _brute_force_excess(times, rate, burst)
    assert windows.point_excess(times, rate, burst) == expected
    spans = [windows.Span(time, time) for time in times]
    assert windows.certain_excess(spans, rate, burst) == expected


@hypothesis.given(
    _TIMES, st.lists(st.integers(0, 16), min_size=25), st.integers(1, 8)
)
def test_slow_answers_show_no_excess(times, delays, rate):
    """Guards against an excess that is only due to late sends or responses."""
    spans = [
        windows.Span(time - delay / 8, time + delay / 16)
        for time, delay in zip(times, delays, strict=False)
    ]
    found = windows.certain_excess(spans, rate, 2)
    assert found <= windows.point_excess(times, rate, 2)


@hypothesis.given(_TIMES, st.integers(1, 8), st.integers(1, 6))
def test_ideal_bucket_admits_as_much_as_allowed(times, rate, burst):
    """Guards against an ideal bucket that differs from the limit."""
    admitted = windows.conforming(times, rate, burst)
    admitted_times = [t for t, ok in zip(times, admitted, strict=True) if ok]
    assert windows.point_excess(admitted_times, rate, burst) == 0
    if _brute_force_excess(times, rate, burst) == 0:
        assert all(admitted)
