"""Tests of the scheduler's preemption of batch items."""

import random

import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import item_tasks
from lacewingwood.jobs import payloads
from lacewingwood.jobs import running
from lacewingwood.jobs import scheduler as schedulers
from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import load
from lacewingwood.routing import slots as slots_lib
from tests.jobs import fakes
from tests.routing import test_dispatcher


def _make_scheduler(
    clock: clocks.ManualClock, lag: bool
) -> tuple[
    dispatchers.Dispatcher, schedulers.Scheduler, list[item_tasks.ItemTask]
]:
    """Returns a scheduler with eight items running on one replica."""
    dispatcher = test_dispatcher.make(replicas=1, slots=8, clock=clock)
    metrics = metrics_lib.Registry()
    scheduler = schedulers.Scheduler(
        dispatcher,
        running.ItemRunner(dispatcher, None, clock, metrics),  # type: ignore[arg-type]
        lambda: None,
        lambda: (0, 1),
        clock,
        lambda: 0,
        metrics,
    )
    job = fakes.make_job("job", 8).job
    tasks = []
    for n in range(8):
        task = item_tasks.ItemTask(
            job, n, payloads.Payload(b"{}"), state=item_tasks.State.RUNNING
        )
        task.slot = dispatcher.try_acquire(
            slots_lib.SlotRequest(service="s", work=load.WorkKind.BATCH)
        )
        task.scope = trio.CancelScope()
        scheduler.add(task, lambda task, result: None)
        tasks.append(task)
    dispatcher.counts_lag = lambda: lag
    return dispatcher, scheduler, tasks


def _count_preempted(
    lag: bool, duration_ms: int, reported: tuple[int, int] = (3, 0)
) -> int:
    """Returns how many items are preempted because of one peer's report.

    Args:
        lag: Whether the dispatcher's counts lag.
        duration_ms: How long the scheduler runs.
        reported: The online requests and the items that the peer reported.
    """
    random.seed(1)
    clock = clocks.ManualClock()
    dispatcher, scheduler, tasks = _make_scheduler(clock, lag)
    # The preempted items do not release their slots, and the report does not
    # change.
    dispatcher.fleet.note_report("peer", {"r0": reported}, 0)
    for _ in range(0, duration_ms, 25):
        clock.advance(25)
        scheduler._preemption.preempt()
    return sum(task.preempted for task in tasks)


def test_items_make_room_for_online_requests() -> None:
    """Guards against online requests that wait for batch items."""
    assert _count_preempted(lag=False, duration_ms=50) == 3


def test_items_are_not_preempted_again_while_counts_are_stale() -> None:
    """Guards against items preempted many times a second."""
    assert _count_preempted(lag=True, duration_ms=500) == 3
    assert _count_preempted(lag=False, duration_ms=500) > 3


def test_stale_counts_of_other_items_preempt_nothing() -> None:
    """Guards against preemption for items that no longer run there."""
    assert _count_preempted(lag=True, duration_ms=500, reported=(0, 6)) == 0
    assert _count_preempted(lag=False, duration_ms=500, reported=(0, 6)) > 0
