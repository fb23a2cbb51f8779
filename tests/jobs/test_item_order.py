"""Tests of the order in which items start and are stopped."""

from lacewingwood.jobs import item_order
from lacewingwood.jobs import item_tasks
from lacewingwood.jobs import payloads
from tests.jobs import fakes


def _make_task(due_ms: int, last_id: int | None = None) -> item_tasks.ItemTask:
    submission = fakes.make_job("job", 1, submitted_ms=due_ms - 18_000)
    task = item_tasks.ItemTask(submission.job, 0, payloads.Payload(b"{}"))
    task.events.last_id = last_id
    return task


def test_items_that_would_miss_their_due_time_are_urgent() -> None:
    """Guards against items that wait until they can't be in time."""
    order = item_order.ItemOrder(lambda: 10_000)
    # A run is estimated at 5 s.
    assert not order.is_urgent(_make_task(due_ms=18_000))
    assert order.is_urgent(_make_task(due_ms=17_000))
    # Nothing can save it.
    assert not order.is_urgent(_make_task(due_ms=13_000))


def test_items_with_progress_start_first_and_stop_last() -> None:
    """Guards against many items begun of which none is completed."""
    order = item_order.ItemOrder(lambda: 0)
    done = _make_task(18_000, last_id=100)
    order.note_run(done, 4_000.0)
    half, new = _make_task(18_000, last_id=50), _make_task(18_000)
    assert order.remaining_ms(half) == 2_000.0
    assert min(new, half, key=order.start_key) is half
    assert max(new, half, key=order.preemption_key) is new
