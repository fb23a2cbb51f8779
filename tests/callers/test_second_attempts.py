"""Tests of the delay and the limit of second attempts."""

import random

import pytest

from lacewingwood import configuration
from lacewingwood.callers import second_attempts

_OBJECTIVE_MS = 300.0


def _route(percent: float | None = 5.0) -> configuration.Route:
    return configuration.Route(
        "r",
        "h",
        "/",
        configuration.RouteKind.STREAM,
        (),
        second_attempt_percent=percent,
    )


class _Gateway:
    """Requests of one route at one gateway, and its second attempts."""

    def __init__(self, percent: float = 5.0) -> None:
        self.decisions = second_attempts.SecondAttempts()
        self.route = _route(percent)
        self.requests = 0
        self.sent = 0

    def serve(self, time_ms: float, now_ms: float) -> None:
        """Plays a request whose first run would take `time_ms`."""
        self.requests += 1
        self.decisions.note_request(self.route)
        delay_ms = self.delay_ms(now_ms)
        if (
            delay_ms is not None
            and time_ms > delay_ms
            and self.decisions.check(self.route, 5_000, now_ms) is None
        ):
            self.sent += 1
        self.decisions.note_time(self.route, time_ms, now_ms)

    def delay_ms(self, now_ms: float) -> float | None:
        """Returns the present delay."""
        return self.decisions.delay_ms(self.route, _OBJECTIVE_MS, now_ms)


def test_delay_follows_recent_times_and_ends_with_them() -> None:
    """Guards against delays by times of another load, or by none at all."""
    gateway = _Gateway()
    assert gateway.delay_ms(0) is None
    for n in range(100):
        gateway.serve(100 + n, n)
    assert gateway.delay_ms(2_000) == pytest.approx(194, rel=0.02)
    for n in range(500):
        gateway.serve(400 + n % 100, 16_000 + n)
    assert gateway.delay_ms(20_000) == pytest.approx(494, rel=0.02)
    assert gateway.delay_ms(60_000) is None


def test_delay_is_never_below_a_quarter_of_the_objective() -> None:
    """Guards against repeating requests that are in time anyway."""
    gateway = _Gateway()
    for n in range(100):
        gateway.serve(5, n)
    assert gateway.delay_ms(2_000) == _OBJECTIVE_MS / 4


@pytest.mark.parametrize("percent", [0.5, 5.0, 100.0])
def test_slow_down_of_all_replicas_causes_no_storm(percent: float) -> None:
    """Guards against extra load when all replicas are slow.

    Holds at each moment, for a gateway that has just started as well.
    """
    rng = random.Random(1)
    gateway = _Gateway(percent)
    for n in range(3_000):
        slow = 10 if n > 1_000 else 1
        gateway.serve(slow * rng.uniform(50, 150), n * 10.0)
        assert gateway.sent <= gateway.requests * percent / 100
    assert gateway.sent > 0


def test_limit_holds_over_all_gateways_and_the_loss_of_some() -> None:
    """Guards against gateways that each use the limit of all."""
    rng = random.Random(2)
    gateways = [_Gateway() for _ in range(8)]
    for n in range(4_000):
        if n == 2_000:
            # Half of them restart without what they knew.
            lost = gateways[:4]
            gateways[:4] = [_Gateway() for _ in range(4)]
        time_ms = 2_000.0 if rng.random() < 0.2 else 80.0
        rng.choice(gateways).serve(time_ms, n * 5.0)
    sent = sum(gateway.sent for gateway in (*gateways, *lost))
    assert 0 < sent <= 4_000 * 0.05


def test_limit_saved_in_calm_is_bounded() -> None:
    """Guards against a burst after hours without a slow response."""
    limit = second_attempts.Limit()
    for _ in range(100_000):
        limit.note_request(5)
    taken = 0
    while limit.take():
        taken += 1
    assert taken == 5


def test_request_that_can_not_end_in_time_is_not_repeated() -> None:
    """Guards against work for callers that no longer wait."""
    gateway = _Gateway(100)
    for n in range(100):
        gateway.serve(100, n)
    check = gateway.decisions.check
    late = second_attempts.HeldBack.LATE
    assert check(gateway.route, 50, 2_000) is late
    assert check(gateway.route, 500, 2_000) is None


@pytest.mark.parametrize(
    ("of_route", "of_gateway", "expected"),
    [(None, 0.0, 0.0), (None, 3.0, 3.0), (0.0, 3.0, 0.0), (7.0, 3.0, 7.0)],
)
def test_route_overrides_the_gateways_setting(
    of_route: float | None, of_gateway: float, expected: float
) -> None:
    """Guards against second attempts on a route that wants none."""
    decisions = second_attempts.SecondAttempts(of_gateway)
    assert decisions.percent(_route(of_route)) == expected
