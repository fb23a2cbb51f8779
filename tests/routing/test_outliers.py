"""Tests of the judgement of replicas by their outcomes."""

import hypothesis
from hypothesis import strategies as st

from lacewingwood.routing import outliers

UNITS = outliers.UNITS
Standing = outliers.Standing


def test_rare_failures_leave_a_replica_sound() -> None:
    """Guards against replicas given up for a lost answer now and then."""
    assert outliers.classify((19 * UNITS, 1 * UNITS)) is Standing.SOUND
    assert outliers.classify(outliers.NONE) is Standing.SOUND


def test_replica_that_fails_part_of_its_requests_is_found() -> None:
    """Guards against a replica whose successes hide its failures."""
    assert outliers.classify((5 * UNITS, 4 * UNITS)) is Standing.FAILING


def test_replica_that_fails_all_requests_is_dead() -> None:
    """Guards against requests for a replica that passes only its checks."""
    assert outliers.classify((0, 4 * UNITS)) is Standing.DEAD


def test_outcomes_fade_until_a_replica_is_tried_again() -> None:
    """Guards against a replica that is given up for good."""
    outcomes = outliers.Outcomes()
    for _ in range(4):
        outcomes.note(failed=True, now_ms=0)
    seen = [
        outliers.classify(outcomes.counts(ms)) for ms in range(0, 9_000, 500)
    ]
    assert seen[0] is Standing.DEAD
    assert Standing.PROBATION in seen
    assert seen[-1] is Standing.SOUND
    assert sorted(seen, reverse=True) == seen


@hypothesis.given(
    good=st.integers(0, 100 * UNITS), failed=st.integers(0, 100 * UNITS)
)
def test_more_failures_never_improve_the_standing(
    good: int, failed: int
) -> None:
    """Guards against a threshold that a worse replica slips through."""
    better = outliers.classify((good, failed))
    assert outliers.classify((good, failed + UNITS)) >= better
    assert outliers.classify((good + UNITS, failed)) <= better
