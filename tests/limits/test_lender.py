"""Tests of lending with late, lost and repeated messages."""

import itertools

import pytest

from lacewingwood.limits import borrower
from lacewingwood.limits import lender
from lacewingwood.limits import split
from lacewingwood.peers import messages

_LIMIT = split.Limit(10.0, 20)
_PART = split.parts(_LIMIT)[0]


def _lender(limit: split.Limit = _LIMIT) -> lender.Lender:
    return lender.Lender(0, 0, limit, 0.0, 0.0, never_lent=True)


def _borrow(serial: int, **fields: object) -> messages.Borrow:
    values = {
        "node_id": "a",
        "customer": "c",
        "part": 0,
        "want": 4.0,
        "demand": 0.0,
        "rate": 0.0,
        "depth": 0.0,
        "level": 0.0,
        "serial": serial,
        "epoch": 0,
        "applied": 0,
        "use_ms": 100.0,
    }
    return messages.Borrow(**(values | fields))


def _return(serial: int, level: float, applied: int) -> messages.Return:
    return messages.Return("a", "c", 0, level, serial, 0, applied)


@pytest.mark.parametrize(
    ("next_request_ms", "level"), [(50.0, _PART.burst - 4), (150.0, 0.0)]
)
def test_lost_answer_is_refunded_only_while_it_counts_as_lent(
    next_request_ms: float, level: float
) -> None:
    """Guards against a refund of tokens that were refilled in the meantime."""
    part = _lender()
    part.borrow(_borrow(1, want=10.0), 0.0)
    part.borrow(_borrow(2, want=4.0), next_request_ms)
    assert part.level(next_request_ms) == pytest.approx(level)


def test_repeated_and_reordered_messages_change_nothing() -> None:
    """Guards against tokens created by repeated and reordered messages."""
    part = _lender()
    first = part.borrow(_borrow(1), 0.0)
    assert part.borrow(_borrow(1), 0.0) is first
    part.borrow(_borrow(3, applied=1, level=4.0, depth=4.0), 0.0)
    before = part.level(0.0)
    assert part.borrow(_borrow(2, applied=0), 0.0) is None
    part.take_back(_return(2, 4.0, 0), 0.0)
    assert part.level(0.0) == before
    part.take_back(_return(4, 4.0, 3), 0.0)
    assert part.level(0.0) == before + 4
    part.take_back(_return(4, 4.0, 3), 0.0)
    assert part.level(0.0) == before + 4


def test_piece_returned_after_its_expiry_adds_nothing() -> None:
    """Guards against counting a piece both as expired and as returned."""
    part = _lender(split.Limit(0.001, 20))
    part.borrow(_borrow(1), 0.0)
    part.take_back(_return(2, 4.0, 1), 200.0)
    assert part.level(200.0) == pytest.approx(_PART.burst - 4, abs=0.01)


def test_piece_ignores_an_answer_that_is_too_late() -> None:
    """Guards against using tokens that the owner no longer counts as lent."""
    piece = borrower.Piece("a", "c", 0, _PART, itertools.count(1))
    request = piece.make_request(0.0, 4.0, 0.0)
    answer = messages.Lent(0, 5.0, 8.0, 4.0, lender.TTL_MS, 0.0, request.serial)
    piece.apply_answer(lender.ANSWER_TIMEOUT_MS, answer)
    assert piece.level(lender.ANSWER_TIMEOUT_MS) == 0


def test_lowered_limit_shrinks_every_piece_at_its_next_renewal() -> None:
    """Guards against renewal of pieces at their old rate and depth."""
    part = _lender(split.Limit(100.0, 100))
    names = ["a", "b", "d"]
    for name in names:
        part.borrow(_borrow(1, node_id=name, demand=20.0), 0.0)
    part.set_limit(split.Limit(50.0, 60), 0.0)
    renewed = [
        part.borrow(
            _borrow(2, node_id=name, demand=20.0, applied=1, level=4.0), 5.0
        )
        for name in names
    ]
    answers = [answer for answer in renewed if answer is not None]
    assert all(answer.rate > 0 for answer in answers)
    assert sum(answer.rate for answer in answers) <= 25
    assert sum(answer.depth for answer in answers) <= 30


def test_answer_in_flight_counts_in_addition_to_the_piece_held() -> None:
    """Guards against refilling depth that the borrower may yet fill."""
    part = _lender(split.Limit(1000.0, 20))
    part.borrow(_borrow(1, want=4.0), 0.0)
    part.borrow(_borrow(2, want=6.0, depth=4.0, applied=1), 0.0)
    assert part.level(50.0) == 0


def test_borrowers_that_come_one_by_one_get_no_more_than_the_limit() -> None:
    """Guards against shares computed from a total demand that was lower."""
    part = _lender(split.Limit(100.0, 100))
    answers = [
        part.borrow(
            _borrow(1, node_id=f"n{index}", want=0.0, demand=1000.0), 0.0
        )
        for index in range(8)
    ]
    lent = [answer for answer in answers if answer is not None]
    assert sum(answer.rate for answer in lent) <= 50
    assert sum(answer.depth for answer in lent) <= 50
