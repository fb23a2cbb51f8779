"""Tests by exhaustive search that a lease never has two holders at once."""

from collections.abc import Callable

import pytest

from lacewingwood.state import freshness
from lacewingwood.state import leases
from tests.state import lease_search

_LIMIT = 200_000
_HALF_WINDOW_MS = freshness.WINDOW_MS / 2


@pytest.mark.parametrize(
    ("start", "tick_ms"),
    [
        (lease_search.start(2, 0, 0), _HALF_WINDOW_MS),
        (lease_search.start(2, 1, 0), freshness.WINDOW_MS),
        (lease_search.start(3, 0, 0), freshness.WINDOW_MS),
        (lease_search.start(2, 0, 1), freshness.WINDOW_MS),
    ],
    ids=["short-ticks", "lost-answer", "three-claims", "release"],
)
def test_holders_never_overlap(
    start: lease_search.State, tick_ms: float
) -> None:
    """Guards against two owners of a job or of a bucket part at once."""
    rules = lease_search.Rules(tick_ms)
    states, overlap = lease_search.search(start, rules, _LIMIT)
    assert not overlap
    assert states > 10_000


def _without_wait(patch: pytest.MonkeyPatch) -> lease_search.Rules:
    patch.setattr(leases, "MARGIN_MS", -freshness.WINDOW_MS)
    return lease_search.Rules()


def _without_majority(patch: pytest.MonkeyPatch) -> lease_search.Rules:
    patch.setattr(freshness, "majority", lambda quorum_set: 1)
    return lease_search.Rules()


def _without_newest_offset(patch: pytest.MonkeyPatch) -> lease_search.Rules:
    original = freshness.Freshness.note_answer

    def note_answer(
        self: freshness.Freshness, node_id: str, sent_ms: float, offset: int
    ) -> None:
        original(self, node_id, sent_ms, 0)

    patch.setattr(freshness.Freshness, "note_answer", note_answer)
    return lease_search.Rules()


def _timed_from_receipt(patch: pytest.MonkeyPatch) -> lease_search.Rules:
    return lease_search.Rules(timed_from_receipt=True)


def _release_hides_wait(patch: pytest.MonkeyPatch) -> lease_search.Rules:
    return lease_search.Rules(release_counts_as_effective=True)


@pytest.mark.parametrize(
    ("weaken", "start"),
    [
        (_without_wait, lease_search.start(2, 0, 0)),
        (_without_majority, lease_search.start(2, 0, 0)),
        (_without_newest_offset, lease_search.start(2, 0, 0)),
        (_timed_from_receipt, lease_search.start(2, 0, 0)),
        (_release_hides_wait, lease_search.start(3, 0, 1)),
    ],
)
def test_search_finds_an_overlap_in_a_weaker_protocol(
    monkeypatch: pytest.MonkeyPatch,
    weaken: Callable[[pytest.MonkeyPatch], lease_search.Rules],
    start: lease_search.State,
) -> None:
    """Guards against a search that passes because it misses states."""
    rules = weaken(monkeypatch)
    _, overlap = lease_search.search(start, rules, _LIMIT)
    assert overlap
