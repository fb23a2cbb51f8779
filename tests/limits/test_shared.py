"""Tests of rate limits that all gateways share."""

import random

import hypothesis
from hypothesis import strategies as st

from lacewingwood.limits import shared

RATE, BURST = 10.0, 10.0


def _make_limits(
    now_ms: float = 0.0, **tolerances: float
) -> shared.SharedLimits:
    limits = shared.SharedLimits(**tolerances)
    limits.configure({"c": (RATE, BURST)}, now_ms)
    return limits


def _admit_until_refused(limits: shared.SharedLimits, now_ms: float) -> int:
    count = 0
    while limits.admit("c", now_ms) is None:
        count += 1
    return count


def test_burst_and_rate_are_admitted() -> None:
    """Guards against refusals within the rate and the burst."""
    limits = _make_limits()
    assert _admit_until_refused(limits, 60_000) == 10
    assert _admit_until_refused(limits, 61_000) == 10
    assert limits.admit("c", 61_000) is not None
    assert limits.admit("c", 61_101) is None


def test_customer_without_a_rate_is_not_limited() -> None:
    """Guards against a limit where none is configured."""
    limits = shared.SharedLimits()
    limits.configure({"c": (0, 0)}, 0)
    assert all(limits.admit("c", 0) is None for _ in range(1000))


def test_peers_admissions_count() -> None:
    """Guards against gateways that each admit the whole rate."""
    limits = _make_limits()
    limits.note_report("peer", 1, {"c": 100}, 60_000)
    limits.note_report("peer", 1, {"c": 107}, 60_000)
    assert _admit_until_refused(limits, 60_000) == 3


def test_restarted_peer_counts_from_zero() -> None:
    """Guards against missed or repeated counts after a peer's restart."""
    limits = _make_limits()
    limits.note_report("peer", 1, {"c": 100}, 60_000)
    limits.note_report("peer", 2, {"c": 2}, 60_000)
    assert _admit_until_refused(limits, 60_000) == 8


def test_customer_that_is_dropped_and_set_again_has_one_limit() -> None:
    """Guards against gateways that each admit the whole rate.

    A version of the configuration drops the customer, and the next one has it
    again; the peer knows the count of before.
    """
    here, peer = _make_limits(), _make_limits()
    peer.note_report("here", 1, {"c": 0}, 0)
    for start_ms, expected in ((60_000, 10), (120_000, 10)):
        admitted = _admit_until_refused(here, start_ms)
        counts = here.recent_admissions(start_ms)
        peer.note_report("here", 1, counts, start_ms)
        assert admitted + _admit_until_refused(peer, start_ms) == expected
        for limits in (here, peer):
            limits.configure({}, start_ms)
            limits.configure({"c": (RATE, BURST)}, start_ms)


def test_counts_of_removed_customers_are_bounded() -> None:
    """Guards against memory that grows with each customer of the past."""
    limits = shared.SharedLimits(burst_tolerance=100)
    for n in range(10_500):
        limits.configure({f"c{n}": (RATE, BURST)}, n)
        assert limits.admit(f"c{n}", n) is None
    assert len(limits._removed_counts) <= 10_000


def test_outdated_report_changes_nothing() -> None:
    """Guards against a late report that is taken for a restart."""
    limits = _make_limits()
    limits.note_report("peer", 1, {"c": 100}, 60_000)
    limits.note_report("peer", 1, {"c": 104}, 60_000)
    limits.note_report("peer", 1, {"c": 102}, 60_000)
    limits.note_report("peer", 1, {"c": 104}, 60_000)
    assert _admit_until_refused(limits, 60_000) == 6


def test_share_of_silent_peers_is_not_refilled() -> None:
    """Guards against the whole rate in each part of a partitioned fleet."""
    limits = _make_limits()
    _admit_until_refused(limits, 60_000)
    limits.share = 0.5
    assert _admit_until_refused(limits, 62_000) == 10


def test_new_process_takes_its_peers_levels_once() -> None:
    """Guards against refusals after a restart, and against a second burst."""
    limits = _make_limits(now_ms=0)
    limits.init_levels({"c": 6.0}, 0)
    limits.init_levels({"c": 10.0}, 0)
    assert _admit_until_refused(limits, 0) == 6


def test_half_of_the_tolerances_is_used() -> None:
    """Guards against refusals of requests that the tolerances allow."""
    limits = _make_limits(rate_tolerance=0.1, burst_tolerance=20)
    assert _admit_until_refused(limits, 60_000) == int(BURST * 1.05 + 10)


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(
    seed=st.integers(0, 10_000),
    gateways=st.integers(1, 6),
    lag_ms=st.sampled_from([25.0, 100.0]),
    pressure=st.floats(0.5, 8.0),
)
def test_no_window_sees_more_than_the_agreement(
    seed: int, gateways: int, lag_ms: float, pressure: float
) -> None:
    """Guards against more admissions than agreed over all gateways.

    Reports arrive `lag_ms` late; requests admitted meanwhile are covered by
    the configured tolerances.
    """
    rng = random.Random(seed)
    fleet = [
        _make_limits(rate_tolerance=0.1, burst_tolerance=20)
        for _ in range(gateways)
    ]
    admitted: list[float] = []
    in_flight: list[tuple[float, int, dict[str, int]]] = []
    now_ms, next_report_ms = 30_000.0, 30_000.0
    while now_ms < 45_000:
        now_ms += rng.expovariate(pressure * RATE / 1000)
        while next_report_ms < now_ms:
            for n, limits in enumerate(fleet):
                in_flight.append(
                    (
                        next_report_ms + lag_ms,
                        n,
                        limits.recent_admissions(now_ms),
                    )
                )
            next_report_ms += lag_ms
        arrived = [m for m in in_flight if m[0] <= now_ms]
        in_flight = [m for m in in_flight if m[0] > now_ms]
        for at_ms, sender, counts in arrived:
            for n, limits in enumerate(fleet):
                if n != sender:
                    limits.note_report(str(sender), 1, counts, at_ms)
        if rng.choice(fleet).admit("c", now_ms) is None:
            admitted.append(now_ms)
    window_ms = 5_000.0
    limit = (RATE * window_ms / 1000 + BURST) * 1.1 + 20
    for start, first in enumerate(admitted):
        in_window = [t for t in admitted[start:] if t <= first + window_ms]
        assert len(in_window) <= limit
