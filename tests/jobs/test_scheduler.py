"""Tests of what runs when, and of items that make room."""

import random

import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import running
from lacewingwood.jobs import scheduler as schedulers
from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import load
from tests.jobs import fakes
from tests.routing import test_dispatcher


def _make(
    clock: clocks.ManualClock, lag: bool
) -> tuple[
    dispatchers.Dispatcher, schedulers.Scheduler, list[running.ItemTask]
]:
    """Returns a scheduler with eight items that run on one replica."""
    dispatcher = test_dispatcher.make(replicas=1, slots=8, clock=clock)
    metrics = metrics_lib.Registry()
    scheduler = schedulers.Scheduler(
        dispatcher,
        running.ItemRunner(dispatcher, None, clock, metrics),  # type: ignore[arg-type]
        lambda host, path: None,
        lambda: (0, 1),
        clock,
        lambda: 0,
        metrics,
    )
    job = fakes.make_job("job", 8).job
    tasks = []
    for n in range(8):
        task = running.ItemTask(job, n, b"{}", state=running.State.RUNNING)
        task.slot = dispatcher.try_acquire(
            dispatchers.SlotRequest(service="s", work=load.WorkKind.BATCH)
        )
        task.scope = trio.CancelScope()
        scheduler.add(task, lambda task, result: None)
        tasks.append(task)
    dispatcher.counts_lag = lambda: lag
    return dispatcher, scheduler, tasks


def _yielded_over(
    lag: bool, duration_ms: int, others: tuple[int, int] = (3, 0)
) -> int:
    """Returns how many items yield to what an old report tells of others."""
    random.seed(1)
    clock = clocks.ManualClock()
    dispatcher, scheduler, tasks = _make(clock, lag)
    # The items that yield release their slots at once, but the replica's
    # other holders are known only by a report that does not change.
    dispatcher.fleet.note_report("peer", {"r0": others}, 0)
    for _ in range(0, duration_ms, 25):
        clock.advance(25)
        scheduler._yield_slots()
    return sum(task.yielded for task in tasks)


def test_items_make_room_for_online_requests() -> None:
    """Guards against requests that wait behind batch work."""
    assert _yielded_over(lag=False, duration_ms=50) == 3


def test_items_do_not_yield_again_while_counts_are_old() -> None:
    """Guards against items that start and yield many times a second."""
    assert _yielded_over(lag=True, duration_ms=500) == 3
    assert _yielded_over(lag=False, duration_ms=500) > 3


def test_items_do_not_yield_to_old_counts_of_other_items() -> None:
    """Guards against items counted where they no longer run."""
    assert _yielded_over(lag=True, duration_ms=500, others=(0, 6)) == 0
    assert _yielded_over(lag=False, duration_ms=500, others=(0, 6)) > 0
