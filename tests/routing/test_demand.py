"""Tests of the forecast of online demand and the slots it keeps from items."""

import random

from lacewingwood.routing import batch_reserve
from lacewingwood.routing import demand as demand_lib

_PERIOD_MS = 5_800
_PEAK_MS = 2_400
_VALLEY, _PEAK = 20, 60


def _play(duration_ms: int, peaks: bool = True) -> demand_lib.DemandForecast:
    """Returns a forecast after demand with noise, each period's peak last."""
    rng = random.Random(1)
    forecast = demand_lib.DemandForecast()
    for now_ms in range(0, duration_ms, 50):
        is_peak = now_ms % _PERIOD_MS >= _PERIOD_MS - _PEAK_MS
        level = _PEAK if peaks and is_peak else _VALLEY
        forecast.note(round(rng.gauss(level, level**0.5 / 2)), now_ms)
    return forecast


def test_items_do_not_start_just_before_a_peak() -> None:
    """Guards against items that are begun only to be stopped by a peak."""
    now_ms = 3 * _PERIOD_MS - _PEAK_MS - 600
    forecast = _play(now_ms)
    reserve = batch_reserve.reserve(forecast, _VALLEY, 4_000.0, now_ms)
    assert reserve >= 30
    # It ends before the peak.
    assert batch_reserve.reserve(forecast, _VALLEY, 200.0, now_ms) < 10


def test_items_start_after_a_peak() -> None:
    """Guards against slots that stay unused between two peaks."""
    now_ms = 3 * _PERIOD_MS + 1_000
    forecast = _play(now_ms)
    assert batch_reserve.reserve(forecast, _VALLEY, 4_000.0, now_ms) < 12


def test_steady_demand_is_not_forecast() -> None:
    """Guards against slots kept free for peaks that chance has made."""
    forecast = _play(20_000, peaks=False)
    assert forecast.peak(2_000.0, 20_000.0) == 0


def test_forecast_ends_with_the_traffic() -> None:
    """Guards against slots kept free for traffic that has stopped."""
    forecast = _play(20_000)
    for now_ms in range(20_000, 40_000, 100):
        forecast.note(0, now_ms)
    assert forecast.peak(2_000.0, 40_000.0) == 0
