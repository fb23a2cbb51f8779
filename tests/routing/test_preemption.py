"""Tests of when an item is stopped for an online request, and which."""

import math

from lacewingwood.routing import load
from lacewingwood.routing import preemption
from lacewingwood.routing import slots as slots_lib
from lacewingwood.routing import tickets


def _granted(
    number: int, left_ms: float, granted_ms: float, urgent: bool = False
) -> tickets.Ticket:
    req = slots_lib.SlotRequest("s", load.WorkKind.BATCH, urgent=urgent)
    return tickets.Ticket(
        "g",
        number,
        "s/z/0",
        req,
        left_ms=left_ms,
        replica_id="r0",
        granted_ms=granted_ms,
    )


def test_item_runs_on_while_other_slots_become_free() -> None:
    """Guards against stopped items where a request waits for moments only."""
    req = slots_lib.SlotRequest(
        "s", load.WorkKind.ONLINE, arrived_ms=1_000, objective_ms=300
    )
    freed = preemption.FreedSlots()
    assert preemption.must_preempt(req, 0, freed.mean_gap_ms(1_000), 1_000)
    for now_ms in range(500, 1_000, 10):
        freed.note(now_ms)
    gap_ms = freed.mean_gap_ms(1_000)
    assert not preemption.must_preempt(req, 0, gap_ms, 1_000)
    # Too many wait before it, or it has waited for long enough.
    assert preemption.must_preempt(req, 8, gap_ms, 1_000)
    assert preemption.must_preempt(req, 0, gap_ms, 1_040)
    assert freed.mean_gap_ms(5_000) == math.inf


def test_item_near_its_end_is_not_stopped() -> None:
    """Guards against items that are stopped again and again near their end."""
    resumed = _granted(1, left_ms=600, granted_ms=900)
    older = _granted(2, left_ms=4_000, granted_ms=0)
    urgent = _granted(3, left_ms=4_000, granted_ms=900, urgent=True)
    granted = [resumed, older, urgent]
    assert preemption.choose_victim(granted, {"r0"}, 1_000) is older
    assert preemption.choose_victim(granted, {"r1"}, 1_000) is None


def test_items_of_unknown_length_stop_newest_first() -> None:
    """Guards against lost work while gateways of an earlier release ask."""
    granted = [_granted(1, 0, 100), _granted(2, 0, 900)]
    assert preemption.choose_victim(granted, {"r0"}, 1_000) is granted[1]
