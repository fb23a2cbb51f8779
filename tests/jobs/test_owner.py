"""Tests of the owner of a partition."""

import contextlib
import functools

import pytest
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import errors
from lacewingwood.jobs import owner as owners
from lacewingwood.jobs import records
from lacewingwood.jobs import table as tables
from lacewingwood.jobs import writer as writers
from lacewingwood.log import compacted
from tests.jobs import fakes

KEY = "kaje/job"
GENERATION = writers.EPOCHS_PER_GENERATION


def make_owner(
    log: fakes.MemoryLog,
    scheduler: fakes.FakeScheduler,
    least_epoch: int = GENERATION,
    now_ms: int = 0,
) -> owners.Owner:
    """Returns an owner over a log in memory."""
    return owners.Owner(
        0,
        fakes.PARTITION,
        least_epoch,
        log,
        scheduler,  # type: ignore[arg-type]
        clocks.MonotonicClock(),
        lambda: now_ms,
        metrics_lib.Registry(),
        keep_ms=120_000,
    )


async def start(nursery: trio.Nursery, owner: owners.Owner) -> None:
    """Runs an owner until it has read its partition."""

    async def run() -> None:
        with contextlib.suppress(compacted.FencedError):
            await owner.run()

    nursery.start_soon(run)
    with trio.fail_after(2):
        await owner.loaded.wait()


async def submit(log: fakes.MemoryLog, items: int = 3) -> None:
    """Writes a job as the service does."""
    written = fakes.submission_records(fakes.make_job(items=items))
    await log.append(fakes.PARTITION, written)


async def until(condition) -> None:  # type: ignore[no-untyped-def]
    """Waits until a condition holds."""
    with trio.fail_after(2):
        while not condition():
            await trio.sleep(0.005)


def read_table(log: fakes.MemoryLog) -> tables.Table:
    """Returns what a new reader would see."""
    part = log.core.partition(fakes.PARTITION.topic, fakes.PARTITION.number)
    table = tables.Table()
    table.load(
        [compacted.Record(k, v, o) for k, (o, v) in sorted(part.newest.items())]
    )
    return table


async def test_results_are_listed_in_order_of_completion() -> None:
    """Guards against results that are lost or listed twice."""
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    owner = make_owner(log, scheduler)
    async with trio.open_nursery() as nursery:
        await start(nursery, owner)
        await submit(log)
        await until(lambda: len(scheduler.tasks) == 3)
        for task in list(scheduler.tasks)[::-1]:
            scheduler.complete(task, b"out %d" % task.index)
        await until(lambda: len(read_table(log).get(KEY).results) == 3)
        total, found, _ = await owner.read(KEY, 0, 0)
        assert total == 3
        assert [r.item for r in found] == [2, 1, 0]
        nursery.cancel_scope.cancel()


async def test_unclear_append_is_repeated_and_takes_effect_once() -> None:
    """Guards against an item at two positions after a lost answer."""
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    owner = make_owner(log, scheduler)
    async with trio.open_nursery() as nursery:
        await start(nursery, owner)
        await submit(log)
        await until(lambda: len(scheduler.tasks) == 3)
        log.lose = 2
        for task in list(scheduler.tasks):
            scheduler.complete(task, b"x")
        await until(lambda: len(read_table(log).get(KEY).results) == 3)
        entry = read_table(log).get(KEY)
        assert entry is not None
        assert sorted(r.item for r in entry.results) == [0, 1, 2]
        nursery.cancel_scope.cancel()


async def test_restarted_owner_takes_a_new_epoch() -> None:
    """Guards against appends taken for repeats of an earlier process.

    Seed: sabeel-serve scale-1, where a restarted process used the epoch of
    the one before, its first append was dropped and the partition had no
    owner from the second on.
    """
    log = fakes.MemoryLog()
    first = fakes.FakeScheduler()
    async with trio.open_nursery() as nursery:
        await start(nursery, make_owner(log, first))
        await submit(log)
        await until(lambda: len(first.tasks) == 3)
        first.complete(next(iter(first.tasks)), b"before")
        await until(lambda: len(read_table(log).get(KEY).results) == 1)
        nursery.cancel_scope.cancel()
    second = fakes.FakeScheduler()
    async with trio.open_nursery() as nursery:
        owner = make_owner(log, second)
        await start(nursery, owner)
        assert owner.epoch > GENERATION
        assert len(second.tasks) == 2
        for task in list(second.tasks):
            second.complete(task, b"after")
        await until(lambda: len(read_table(log).get(KEY).results) == 3)
        assert not owner.lost.is_set()
        nursery.cancel_scope.cancel()


async def test_superseded_owner_can_list_nothing() -> None:
    """Guards against two owners that number results differently."""
    log = fakes.MemoryLog()
    old, new = fakes.FakeScheduler(), fakes.FakeScheduler()
    async with trio.open_nursery() as nursery:
        old_owner = make_owner(log, old)
        await start(nursery, old_owner)
        await submit(log)
        await until(lambda: len(old.tasks) == 3)
        await start(nursery, make_owner(log, new, 2 * GENERATION))
        old.complete(next(iter(old.tasks)), b"old")
        await until(old_owner.lost.is_set)
        entry = read_table(log).get(KEY)
        assert entry is not None
        assert not entry.results
        nursery.cancel_scope.cancel()


async def test_late_append_of_a_dead_owner_changes_nothing() -> None:
    """Guards against a call that the store executes seconds later."""
    log = fakes.MemoryLog()
    old, new = fakes.FakeScheduler(), fakes.FakeScheduler()
    async with trio.open_nursery() as nursery:
        await start(nursery, make_owner(log, old))
        await submit(log)
        await until(lambda: len(old.tasks) == 3)
        log.late = 1
        old.complete(next(iter(old.tasks)), b"old")
        await until(lambda: log.late == 0)
        nursery.cancel_scope.cancel()
    async with trio.open_nursery() as nursery:
        await start(nursery, make_owner(log, new, 2 * GENERATION))
        for task in list(new.tasks):
            new.complete(task, b"new")
        await until(lambda: len(read_table(log).get(KEY).results) == 3)
        log.do_late()
        entry = read_table(log).get(KEY)
        assert entry is not None
        assert {r.output for r in entry.results} == {b"new"}
        nursery.cancel_scope.cancel()


async def test_unknown_job_needs_a_fresh_read() -> None:
    """Guards against 404 for a job that was accepted a moment ago."""
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    owner = make_owner(log, scheduler)
    async with trio.open_nursery() as nursery:
        await start(nursery, owner)
        with pytest.raises(errors.UnknownJobError):
            await owner.read(KEY, 0, 0)
        log.down = True
        with pytest.raises(errors.UnsureError):
            await owner.read("kaje/other", 0, 0)
        log.down = False
        await submit(log)
        total, found, _ = await owner.read(KEY, 0, 0)
        assert (total, found) == (3, [])
        nursery.cancel_scope.cancel()


async def test_ended_job_stops_and_gives_no_bodies() -> None:
    """Guards against items of an ended job that go on running."""
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    owner = make_owner(log, scheduler)
    async with trio.open_nursery() as nursery:
        await start(nursery, owner)
        await submit(log)
        await until(lambda: len(scheduler.tasks) == 3)
        assert await owner.body(KEY, "job-1") == b"body 1"
        await owner.end(KEY)
        assert not scheduler.tasks
        with pytest.raises(errors.UnknownJobError):
            await owner.body(KEY, "job-1")
        await owner.end(KEY)
        nursery.cancel_scope.cancel()


async def test_end_written_by_another_gateway_stops_the_items() -> None:
    """Guards against an end that is lost while the owner can't be asked."""
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    async with trio.open_nursery() as nursery:
        await start(nursery, make_owner(log, scheduler))
        await submit(log)
        await until(lambda: len(scheduler.tasks) == 3)
        await log.append(fakes.PARTITION, [records.end(KEY)])
        await until(lambda: not scheduler.tasks)
        nursery.cancel_scope.cancel()


async def test_progress_goes_to_the_next_owner() -> None:
    """Guards against whole runs that are repeated after a planned stop."""
    log = fakes.MemoryLog()
    old, new = fakes.FakeScheduler(), fakes.FakeScheduler()
    async with trio.open_nursery() as nursery:
        first = make_owner(log, old)
        await start(nursery, first)
        await submit(log, items=2)
        await until(lambda: len(old.tasks) == 2)
        running_task, done_task = old.tasks
        running_task.events.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
        running_task.output += [b"a", b"b"]
        log.down = True
        old.complete(done_task, b"whole")
        await trio.sleep(0.01)
        progress = first.give_up_progress()
        log.down = False
        second = make_owner(log, new, 2 * GENERATION)
        await start(nursery, second)
        for part in progress:
            await second.adopt(part)
        await until(lambda: len(read_table(log).get(KEY).results) == 1)
        (task,) = new.tasks
        assert task.events.last_id == 2
        assert task.output == [b"a", b"b"]
        await second.adopt(progress[-1])
        assert list(new.tasks) == [task]
        nursery.cancel_scope.cancel()


async def test_progress_is_as_of_the_moment_it_is_taken() -> None:
    """Guards against events that stand twice in a result.

    Seed: hunt on sabeel-serve, trouble-2 --seed 613533121962 (ORDER): a run
    that was just cancelled took what it had read already, after its progress
    had been taken but before it was sent.
    """
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    owner = make_owner(log, scheduler)
    async with trio.open_nursery() as nursery:
        await start(nursery, owner)
        await submit(log, items=1)
        await until(lambda: len(scheduler.tasks) == 1)
        (task,) = scheduler.tasks
        task.events.feed(b"id: 1\ndata: a\n\n")
        task.output.append(b"a")
        (progress,) = owner.give_up_progress()
        task.events.feed(b"id: 2\ndata: b\n\n")
        task.output.append(b"b")
        assert progress.last_event == 1
        assert progress.output == [b"a"]
        nursery.cancel_scope.cancel()


async def test_results_given_up_during_an_append_are_no_error() -> None:
    """Guards against a process that ends when an owner retires meanwhile."""
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    owner = make_owner(log, scheduler)
    async with trio.open_nursery() as nursery:
        await start(nursery, owner)
        await submit(log, items=2)
        await until(lambda: len(scheduler.tasks) == 2)
        log.lose = 1
        for task in list(scheduler.tasks):
            scheduler.complete(task, b"x")
        await until(lambda: log.lose == 0)
        owner.give_up_progress()
        await until(lambda: len(read_table(log).get(KEY).results) == 2)
        await trio.sleep(0.3)
        assert not owner.lost.is_set()
        nursery.cancel_scope.cancel()


async def test_finished_jobs_are_removed_after_their_time() -> None:
    """Guards against a store that fills up with jobs nobody reads."""
    now_ms = 120_001 + records.CLOCK_SLACK_MS
    assert await _job_keys_after_removal(now_ms) == []


async def test_clock_that_is_ahead_removes_no_job_early() -> None:
    """Guards against a job that can't be read for as long as it must be."""
    assert await _job_keys_after_removal(122_000)


async def _job_keys_after_removal(now_ms: int) -> list[str]:
    """Returns the keys left when old jobs are removed at a time of day."""
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    owner = make_owner(log, scheduler, now_ms=now_ms)
    async with trio.open_nursery() as nursery:
        await start(nursery, owner)
        await submit(log, items=1)
        await until(lambda: len(scheduler.tasks) == 1)
        scheduler.complete(next(iter(scheduler.tasks)), b"x")
        await until(lambda: read_table(log).get(KEY).complete)
        await owner.remove_old_jobs()
        nursery.cancel_scope.cancel()
    part = log.core.partition(fakes.PARTITION.topic, fakes.PARTITION.number)
    return [key for key in part.newest if "job" in key]


def test_positions_hold_under_all_interleavings() -> None:
    """Guards against positions that change, over small random histories.

    Owners come and go in any order, answers are lost and calls are done late;
    what a reader has seen of a job must stay the beginning of what every
    later reader sees.
    """
    import hypothesis
    from hypothesis import strategies as st

    steps = st.lists(
        st.sampled_from(
            ["owner", "restart", "result", "lose", "late", "do_late"]
        ),
        max_size=14,
    )

    @hypothesis.settings(max_examples=60, deadline=None)
    @hypothesis.given(steps=steps, seed=st.integers(0, 1000))
    def check(steps: list[str], seed: int) -> None:
        trio.run(functools.partial(_play, steps, seed))

    check()


async def _play(steps: list[str], seed: int) -> None:
    log = fakes.MemoryLog()
    await submit(log, items=5)
    seen: list[records.Result] = []
    generation = 1
    schedulers: list[fakes.FakeScheduler] = []
    async with trio.open_nursery() as nursery:
        for number, step in enumerate(steps):
            match step:
                case "owner" | "restart":
                    generation += step == "owner"
                    scheduler = fakes.FakeScheduler()
                    schedulers.append(scheduler)
                    owner = make_owner(log, scheduler, generation * GENERATION)
                    await start(nursery, owner)
                case "result" if schedulers:
                    chosen = schedulers[(seed + number) % len(schedulers)]
                    if chosen.tasks:
                        task = list(chosen.tasks)[seed % len(chosen.tasks)]
                        chosen.complete(task, b"%d" % number)
                case "lose":
                    log.lose = 1
                case "late":
                    log.late = 1
                case "do_late":
                    log.do_late()
            await trio.sleep(0.001)
            entry = read_table(log).get(KEY)
            assert entry is not None
            assert entry.results[: len(seen)] == seen
            seen = list(entry.results)
            listed = [result.item for result in seen]
            assert len(set(listed)) == len(listed)
        nursery.cancel_scope.cancel()
