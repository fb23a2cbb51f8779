"""Tests of handing over a part of a bucket to its next owner."""

import itertools

import hypothesis
from hypothesis import strategies

from lacewingwood.limits import borrower
from lacewingwood.limits import bucket
from lacewingwood.limits import lender
from lacewingwood.limits import split
from lacewingwood.peers import messages

_LIMIT = split.Limit(rate=20.0, burst=20)
_NO_EARLIER_LEASE_MS = float("-inf")


def _entries() -> list[borrower.Borrower]:
    return [
        borrower.Borrower(f"e{i}", "c", _LIMIT, 0.0, itertools.count(1))
        for i in range(2)
    ]


def _borrow(
    entry: borrower.Borrower,
    owner: lender.Lender,
    now_ms: float,
    waiting: int,
) -> None:
    entry.note_arrival(now_ms)
    for index, request in entry.borrow_requests(now_ms, waiting):
        answer = owner.borrow(request, now_ms) if index == 0 else None
        piece = entry.pieces[index]
        if answer is None:
            piece.note_failure(now_ms, request.serial, 1_000.0)
        else:
            piece.apply_answer(now_ms, answer)


@hypothesis.given(
    before=strategies.lists(
        strategies.tuples(strategies.integers(0, 1), strategies.integers(1, 6)),
        max_size=20,
    ),
    after=strategies.lists(
        strategies.tuples(strategies.integers(0, 1), strategies.integers(1, 6)),
        max_size=40,
    ),
    is_delivered=strategies.booleans(),
)
def test_new_owner_lends_no_more_than_the_rest(
    before: list[tuple[int, int]],
    after: list[tuple[int, int]],
    is_delivered: bool,
) -> None:
    """Guards against over-admission when a planned stop moves a part.

    All admissions before and after the hand-over conform to a bucket with the
    part's limit, whether the hand-over message arrives or not.
    """
    part = split.parts(_LIMIT)[0]
    check = bucket.Bucket(part.rate, part.burst, part.burst, 0.0)
    entries = _entries()
    owner = lender.Lender(
        1, 0, _LIMIT, 0.0, _NO_EARLIER_LEASE_MS, never_lent=True
    )
    now_ms = 0.0
    for steps in (before, after):
        for index, waiting in steps:
            now_ms += 40.0
            _borrow(entries[index], owner, now_ms, waiting)
            piece = entries[index].pieces[0]
            used = float(int(piece.level(now_ms) + bucket.ROUNDING))
            piece.take(now_ms, used)
            assert check.take(now_ms, used)
        handed = owner.hand_over(now_ms)
        assert handed is not None
        now_ms += 500.0
        lend_from_ms = now_ms + lender.TTL_MS
        owner = lender.Lender(2, 0, _LIMIT, now_ms, lend_from_ms)
        if is_delivered:
            owner.take_over(handed, now_ms, now_ms)


def test_new_owner_lends_at_once_after_a_hand_over_message() -> None:
    """Guards against refusals for 15 s after each planned stop."""
    levels = []
    for is_delivered in (False, True):
        old = lender.Lender(
            1, 0, _LIMIT, 0.0, _NO_EARLIER_LEASE_MS, never_lent=True
        )
        handed = old.hand_over(100.0)
        assert isinstance(handed, messages.HandedPart)
        new = lender.Lender(2, 0, _LIMIT, 200.0, 200.0 + lender.TTL_MS)
        if is_delivered:
            new.take_over(handed, 200.0, 200.0)
        levels.append(new.level(200.0))
    assert levels == [0.0, 10.0]
