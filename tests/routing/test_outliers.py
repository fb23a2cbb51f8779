"""Tests of the classification of replicas by their outcomes."""

import hypothesis
from hypothesis import strategies as st

from lacewingwood.routing import outliers

UNITS = outliers.UNITS
Standing = outliers.Standing


def test_rare_failures_leave_a_replica_sound() -> None:
    """Guards against avoiding replicas for an occasional lost response."""
    assert outliers.classify((19 * UNITS, 1 * UNITS)) is Standing.SOUND
    assert outliers.classify(outliers.NONE) is Standing.SOUND


def test_replica_that_fails_part_of_its_requests_is_failing() -> None:
    """Guards against a replica whose successes hide its failures."""
    assert outliers.classify((5 * UNITS, 4 * UNITS)) is Standing.FAILING


def test_replica_that_fails_all_requests_is_dead() -> None:
    """Guards against routing to a replica that passes only health checks."""
    assert outliers.classify((0, 4 * UNITS)) is Standing.DEAD


def test_outcomes_decay_until_a_replica_is_probed_again() -> None:
    """Guards against avoiding a replica for ever."""
    outcomes = outliers.Outcomes()
    for _ in range(4):
        outcomes.note(failed=True, now_ms=0)
    standings = [
        outliers.classify(outcomes.counts(ms)) for ms in range(0, 9_000, 500)
    ]
    assert standings[0] is Standing.DEAD
    assert Standing.PROBATION in standings
    assert standings[-1] is Standing.SOUND
    assert sorted(standings, reverse=True) == standings


@hypothesis.given(
    good=st.integers(0, 100 * UNITS), failed=st.integers(0, 100 * UNITS)
)
def test_more_failures_never_improve_the_standing(
    good: int, failed: int
) -> None:
    """Guards against thresholds that rank a worse replica higher."""
    better = outliers.classify((good, failed))
    assert outliers.classify((good, failed + UNITS)) >= better
    assert outliers.classify((good + UNITS, failed)) <= better
