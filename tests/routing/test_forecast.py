"""Tests of refusals by the forecast of the wait."""

import random

from lacewingwood.routing import forecast as forecasts

_SERVICE_MS = 10.0
_DEADLINE_MS = 1_000.0


def _play(
    rates: list[float], speed: list[float] | None = None, seed: int = 1
) -> tuple[int, int, int]:
    """Returns the late, the forecast late, and the falsely forecast late.

    Nothing is refused, so each forecast is compared with what happened.

    Args:
        rates: Requests a second in each second.
        speed: Relative speed of the server in each second; usually 100 requests
            a second are served.
        seed: Seed of the arrivals.
    """
    rng = random.Random(seed)
    forecast = forecasts.WaitForecast()
    arrivals = sorted(
        (second + rng.random()) * 1_000
        for second, rate in enumerate(rates)
        for _ in range(round(rate))
    )
    queue: list[tuple[float, bool]] = []
    late = refused = false = 0
    now_ms = 0.0
    while arrivals or queue:
        while arrivals and arrivals[0] <= now_ms:
            at_ms = arrivals.pop(0)
            wait_ms = forecast.shortest_wait_ms(len(queue), at_ms)
            forecast.note_waiting(at_ms)
            queue.append((at_ms, wait_ms > _DEADLINE_MS))
        if queue:
            at_ms, is_refused = queue.pop(0)
            forecast.note_left(len(queue), now_ms)
            in_time = now_ms - at_ms <= _DEADLINE_MS
            late += not in_time
            refused += is_refused
            false += is_refused and in_time
        second = min(int(now_ms // 1_000), len(rates) - 1)
        now_ms += _SERVICE_MS / (speed[second] if speed else 1.0)
    return late, refused, false


def test_no_request_is_refused_that_would_begin_in_time() -> None:
    """Guards against false refusals at bursts and while capacity comes back."""
    calm = [50.0] * 3
    for seed in range(10):
        assert _play([*calm, 190.0, 190.0, 50.0], seed=seed)[1] == 0
        for speed in ([1.0] * 9, [1.0, 0.5, 0.5, 0.5, 1, 1, 1, 1, 1]):
            rates = [90.0, 90.0, 220.0, 220.0, 220.0, 50.0, 50.0, 50.0, 50.0]
            assert _play(rates, speed, seed)[2] == 0


def test_what_cannot_begin_before_its_deadline_is_known_at_once() -> None:
    """Guards against requests that wait for a slot that they can't get."""
    late, refused, false = _play([400.0] * 5)
    assert refused >= 0.6 * late
    assert false == 0


def test_nothing_is_forecast_from_old_or_few_figures() -> None:
    """Guards against refusals by a coordinator that has just started."""
    forecast = forecasts.WaitForecast()
    forecast.note_waiting(0)
    for now_ms in range(0, 400, 10):
        forecast.note_left(100, now_ms)
    assert forecast.shortest_wait_ms(10_000, 400) == 0
    assert forecast.shortest_wait_ms(10_000, 600) > 0
    assert forecast.shortest_wait_ms(10_000, 2_700) == 0
