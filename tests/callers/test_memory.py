"""Tests of the budget for callers' bodies."""

from lacewingwood.callers import memory

_KIB = 1 << 10
_LIMIT = 1_000 * _KIB


def _fill(
    budget: memory.Budget, size: int, now_ms: float
) -> tuple[memory.Body, list[memory.Body]]:
    """Opens a body of a size; returns it and the bodies ended for it."""
    body = budget.open(now_ms)
    return body, budget.receive(body, size, now_ms)


def test_stalled_body_is_ended_before_those_that_progress() -> None:
    """Guards against refusing an ordinary request beside stalled ones."""
    budget = memory.Budget(_LIMIT, memory.Pace())
    stalled, _ = _fill(budget, 300 * _KIB, 0)
    steady, _ = _fill(budget, 300 * _KIB, 0)
    budget.receive(steady, 1, 1_900)
    last, ended = _fill(budget, 250 * _KIB, 2_000)
    assert ended == [stalled]
    assert last.reason is steady.reason is None


def test_held_bytes_follow_bodies_to_their_end() -> None:
    """Guards against a budget that leaks, or that a declared size reserves."""
    budget = memory.Budget(_LIMIT, memory.Pace())
    body, _ = _fill(budget, 100 * _KIB, 0)
    other, _ = _fill(budget, 10, 0)
    budget.complete(body)
    assert budget.held_bytes == 100 * _KIB + 10 + memory.TRANSIT_BYTES
    budget.release(body)
    budget.release(other)
    budget.release(other)
    assert (budget.held_bytes, budget.open_bodies) == (0, 0)


def test_copies_of_large_bodies_have_room() -> None:
    """Guards against whole bodies that exceed the memory while they are sent.

    A single one is sent whatever its size, and small ones beside them.
    """
    budget = memory.Budget(_LIMIT, memory.Pace())
    first, _ = _fill(budget, 600 * _KIB, 0)
    assert budget.complete(first) == []
    small, ended = _fill(budget, 20 * _KIB, 0)
    assert ended == budget.complete(small) == []
    second, ended = _fill(budget, 200 * _KIB, 0)
    assert ended == [second]
    budget.release(first)
    third, _ = _fill(budget, 400 * _KIB, 0)
    fourth, _ = _fill(budget, 200 * _KIB, 0)
    assert budget.complete(third) == []
    assert budget.complete(fourth) == [fourth]
    budget.release(third)
    budget.release(small)
    assert budget.held_bytes == 0
    assert not budget.short


def test_small_bodies_get_what_large_ones_may_not_take() -> None:
    """Guards against ordinary requests refused while large ones wait."""
    budget = memory.Budget(_LIMIT, memory.Pace())
    waiting, _ = _fill(budget, 850 * _KIB, 0)
    budget.complete(waiting)
    small, ended = _fill(budget, 20 * _KIB, 0)
    assert ended == []
    budget.complete(small)
    large, ended = _fill(budget, 70 * _KIB, 0)
    assert ended == [large]
    assert large.reason is memory.Reason.MEMORY


def test_large_bodies_are_held_back_while_memory_is_short() -> None:
    """Guards against bodies that all wait, or that wait without end."""
    budget = memory.Budget(_LIMIT, memory.Pace())
    first, _ = _fill(budget, 400 * _KIB, 0)
    second, _ = _fill(budget, 350 * _KIB, 0)
    small, _ = _fill(budget, 100, 0)
    waits = [budget.must_wait(b, 10) for b in (first, second, small)]
    assert waits == [False, True, False]
    budget.receive(first, 1, 1_100)
    assert budget.sweep(1_100) == [second]
    assert not budget.must_wait(first, 1_100)


def test_slow_bodies_are_ended() -> None:
    """Guards against callers that keep a body open forever."""
    budget = memory.Budget(_LIMIT, memory.Pace())
    silent, _ = _fill(budget, 100, 0)
    slow, _ = _fill(budget, 100, 0)
    steady, _ = _fill(budget, 100, 0)
    ended = []
    for second in range(1, 40):
        budget.receive(slow, 50, second * 1_000)
        budget.receive(steady, 200, second * 1_000)
        ended += budget.sweep(second * 1_000)
    assert ended == [silent, slow]
    assert silent.reason is memory.Reason.STALLED
    assert slow.reason is memory.Reason.SLOW


def test_time_in_which_a_body_is_held_back_is_not_its_callers() -> None:
    """Guards against ending a body for a pause that the gateway made."""
    budget = memory.Budget(_LIMIT, memory.Pace())
    first, _ = _fill(budget, 400 * _KIB, 0)
    second, _ = _fill(budget, 350 * _KIB, 0)
    assert budget.must_wait(second, 0)
    budget.release(first)
    assert budget.sweep(15_000) == []
    assert not budget.must_wait(second, 15_000)
    assert budget.sweep(24_000) == []
    assert budget.sweep(26_000) == [second]
