"""Tests of partition owners."""

import contextlib
import functools
import math

import pytest
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import errors
from lacewingwood.jobs import owner as owners
from lacewingwood.jobs import payloads
from lacewingwood.jobs import records
from lacewingwood.jobs import table as tables
from lacewingwood.jobs import writer as writers
from lacewingwood.log import compacted
from lacewingwood.routing import origins
from tests.jobs import fakes

KEY = "kaje/job"
EPOCHS_PER_GENERATION = writers.EPOCHS_PER_GENERATION


def make_owner(
    log: fakes.MemoryLog,
    scheduler: fakes.FakeScheduler,
    min_epoch: int = EPOCHS_PER_GENERATION,
    now_ms: int = 0,
    held_bytes: float = math.inf,
) -> owners.Owner:
    """Returns an owner over a log in memory."""
    return owners.Owner(
        0,
        fakes.PARTITION,
        min_epoch,
        log,
        payloads.Cache(log, held_bytes, metrics_lib.Registry()),
        scheduler,  # type: ignore[arg-type]
        clocks.MonotonicClock(),
        lambda: now_ms,
        metrics_lib.Registry(),
        retention_ms=120_000,
    )


async def start(nursery: trio.Nursery, owner: owners.Owner) -> None:
    """Starts an owner and waits until it has read its partition."""

    async def run() -> None:
        with contextlib.suppress(compacted.FencedError):
            await owner.run()

    nursery.start_soon(run)
    with trio.fail_after(2):
        await owner.loaded.wait()


async def submit(log: fakes.MemoryLog, items: int = 3) -> None:
    """Appends a job's records to the log as the service does."""
    written = fakes.submission_records(fakes.make_job(items=items))
    await log.append(fakes.PARTITION, written)


async def until(condition) -> None:  # type: ignore[no-untyped-def]
    """Waits until a condition holds."""
    with trio.fail_after(2):
        while not condition():
            await trio.sleep(0.005)


def read_table(log: fakes.MemoryLog) -> tables.Table:
    """Returns the table that a new reader of the partition builds."""
    part = log.core.partition(fakes.PARTITION.topic, fakes.PARTITION.number)
    table = tables.Table()
    table.load(
        [compacted.Record(k, v, o) for k, (o, v) in sorted(part.newest.items())]
    )
    return table


def contents(entry: tables.Entry | None) -> list[records.Result]:
    """Returns the results of a job whose outputs are all held."""
    found = entry.results if entry is not None else []
    return [
        records.Result(r.item, r.completed, r.output.value or b"")
        for r in found
    ]


def owner_results(owner: owners.Owner) -> list[records.Result]:
    """Returns the results of the job that an owner lists."""
    return contents(owner._table.get(KEY))


async def test_results_are_listed_in_order_of_completion() -> None:
    """Guards against results that are lost or written twice."""
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
    """Guards against two positions of one item after a lost answer."""
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    owner = make_owner(log, scheduler)
    async with trio.open_nursery() as nursery:
        await start(nursery, owner)
        await submit(log)
        await until(lambda: len(scheduler.tasks) == 3)
        log.lost_answers = 2
        for task in list(scheduler.tasks):
            scheduler.complete(task, b"x")
        await until(lambda: len(read_table(log).get(KEY).results) == 3)
        entry = read_table(log).get(KEY)
        assert entry is not None
        assert sorted(r.item for r in entry.results) == [0, 1, 2]
        nursery.cancel_scope.cancel()


async def test_cancelled_append_does_not_swallow_the_next_one() -> None:
    """Guards against results that are listed, but not on the log.

    The caller of an end gives up while the append waits for its answer. The
    append was done, so the log takes a later one under the same sequence
    number for its repetition.
    """
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    owner = make_owner(log, scheduler)
    async with trio.open_nursery() as nursery:
        await start(nursery, owner)
        await submit(log)
        other = fakes.make_job("other", items=2)
        await log.append(fakes.PARTITION, fakes.submission_records(other))
        await until(lambda: len(scheduler.tasks) == 5)
        log.silent_appends = 1
        with trio.move_on_after(0.05):
            await owner.end("kaje/other")
        for task in [t for t in scheduler.tasks if t.job.id == "job"]:
            scheduler.complete(task, b"x")
        await until(lambda: len(owner_results(owner)) == 3)
        assert len(read_table(log).get(KEY).results) == 3
        assert read_table(log).get("kaje/other").ended
        nursery.cancel_scope.cancel()


async def test_new_owner_knows_all_that_was_listed_before_its_claim() -> None:
    """Guards against results written at positions that others have already.

    The former owner appends more than one read returns between the snapshot
    and the claim of the new one.
    """
    log = fakes.MemoryLog()
    log.max_read_kb = 1
    scheduler = fakes.FakeScheduler()
    async with trio.open_nursery() as nursery:
        former = make_owner(log, scheduler)
        await start(nursery, former)
        await submit(log, items=5)
        await until(lambda: len(scheduler.tasks) == 5)
        scan = log.scan

        async def scan_before_results(*args):  # type: ignore[no-untyped-def]
            found = await scan(*args)
            for task in list(scheduler.tasks)[:4]:
                scheduler.complete(task, bytes(700))
            await until(lambda: len(owner_results(former)) == 4)
            return found

        log.scan = scan_before_results  # type: ignore[method-assign]
        later_scheduler = fakes.FakeScheduler()
        later = make_owner(log, later_scheduler, 2 * EPOCHS_PER_GENERATION)
        await start(nursery, later)
        listed = list(owner_results(former))
        assert owner_results(later) == listed
        (task,) = later_scheduler.tasks
        later_scheduler.complete(task, b"x")
        await until(lambda: len(owner_results(later)) == 5)
        log.scan = scan  # type: ignore[method-assign]
        entry = read_table(log).get(KEY)
        assert entry is not None
        assert contents(entry)[:4] == listed
        assert {r.item for r in entry.results} == set(range(5))
        nursery.cancel_scope.cancel()


async def test_partition_that_is_being_read_answers_nothing() -> None:
    """Guards against a part of a job that is taken for the whole.

    An end would be appended under an epoch that was not claimed yet.
    """
    log = fakes.MemoryLog()
    await submit(log)
    scanned = trio.Event()

    async def never_append(*args: object) -> None:
        scanned.set()
        await trio.sleep_forever()

    append, log.append = log.append, never_append  # type: ignore[method-assign]
    owner = make_owner(log, fakes.FakeScheduler())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(owner.run)
        await scanned.wait()
        log.append = append  # type: ignore[method-assign]
        with pytest.raises(errors.UnavailableError):
            await owner.read(KEY, 0, 0)
        with pytest.raises(errors.UnavailableError):
            await owner.end(KEY)
        nursery.cancel_scope.cancel()
    assert not read_table(log).get(KEY).ended


async def test_job_after_many_records_is_not_denied() -> None:
    """Guards against a 404 for a job that one read of the log does not reach.

    So answered an owner that had slept while others appended.
    """
    log = fakes.MemoryLog()
    owner = make_owner(log, fakes.FakeScheduler())
    async with trio.open_nursery() as nursery:
        await start(nursery, owner)
        log.max_read_kb = 1
        other = fakes.make_job("other", items=60)
        for job in (other, fakes.make_job()):
            written = fakes.submission_records(job)
            await log.append(fakes.PARTITION, written)
        total, _, _ = await owner.read(KEY, 0, 0)
        assert total == 3
        nursery.cancel_scope.cancel()


async def test_restarted_owner_takes_a_new_epoch() -> None:
    """Guards against appends taken for repeats of an earlier process.

    A restarted process that reuses its predecessor's epoch has its first
    append dropped as a duplicate, and from the second append on the partition
    has no owner. Found by sabeel-serve scale-1.
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
        assert owner.epoch > EPOCHS_PER_GENERATION
        assert len(second.tasks) == 2
        for task in list(second.tasks):
            second.complete(task, b"after")
        await until(lambda: len(read_table(log).get(KEY).results) == 3)
        assert not owner.lost.is_set()
        nursery.cancel_scope.cancel()


async def test_superseded_owner_cannot_write_results() -> None:
    """Guards against two owners that assign different positions."""
    log = fakes.MemoryLog()
    old, new = fakes.FakeScheduler(), fakes.FakeScheduler()
    async with trio.open_nursery() as nursery:
        old_owner = make_owner(log, old)
        await start(nursery, old_owner)
        await submit(log)
        await until(lambda: len(old.tasks) == 3)
        await start(nursery, make_owner(log, new, 2 * EPOCHS_PER_GENERATION))
        old.complete(next(iter(old.tasks)), b"old")
        await until(old_owner.lost.is_set)
        entry = read_table(log).get(KEY)
        assert entry is not None
        assert not entry.results
        nursery.cancel_scope.cancel()


async def test_late_claim_does_not_take_a_partition_from_its_new_owner() -> (
    None
):
    """Guards against a partition without an owner for the rest of a generation.

    A gateway that has not heard of the new generation claims a partition after
    the new owner did. Found by test_job_is_the_same_at_all_gateways, where
    gateways join one after another.
    """
    log = fakes.MemoryLog()
    scheduler = fakes.FakeScheduler()
    async with trio.open_nursery() as nursery:
        new = make_owner(log, scheduler, 2 * EPOCHS_PER_GENERATION)
        await start(nursery, new)
        late = make_owner(log, fakes.FakeScheduler())
        with trio.move_on_after(1), contextlib.suppress(compacted.FencedError):
            await late.run()
        assert late.lost.is_set()
        await submit(log)
        await until(lambda: len(scheduler.tasks) == 3)
        for task in list(scheduler.tasks):
            scheduler.complete(task, b"x")
        await until(lambda: len(read_table(log).get(KEY).results) == 3)
        assert not new.lost.is_set()
        nursery.cancel_scope.cancel()


async def test_late_append_of_a_dead_owner_changes_nothing() -> None:
    """Guards against an append that the store executes seconds later."""
    log = fakes.MemoryLog()
    old, new = fakes.FakeScheduler(), fakes.FakeScheduler()
    async with trio.open_nursery() as nursery:
        await start(nursery, make_owner(log, old))
        await submit(log)
        await until(lambda: len(old.tasks) == 3)
        log.delayed_appends = 1
        old.complete(next(iter(old.tasks)), b"old")
        await until(lambda: log.delayed_appends == 0)
        nursery.cancel_scope.cancel()
    async with trio.open_nursery() as nursery:
        await start(nursery, make_owner(log, new, 2 * EPOCHS_PER_GENERATION))
        for task in list(new.tasks):
            new.complete(task, b"new")
        await until(lambda: len(read_table(log).get(KEY).results) == 3)
        log.execute_delayed()
        entry = read_table(log).get(KEY)
        assert entry is not None
        assert {r.output for r in contents(entry)} == {b"new"}
        nursery.cancel_scope.cancel()


async def test_unknown_job_needs_a_fresh_read() -> None:
    """Guards against a 404 answer for a job that was just accepted."""
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    owner = make_owner(log, scheduler)
    async with trio.open_nursery() as nursery:
        await start(nursery, owner)
        with pytest.raises(errors.UnknownJobError):
            await owner.read(KEY, 0, 0)
        log.down = True
        with pytest.raises(errors.UnavailableError):
            await owner.read("kaje/other", 0, 0)
        log.down = False
        await submit(log)
        total, found, _ = await owner.read(KEY, 0, 0)
        assert (total, found) == (3, [])
        nursery.cancel_scope.cancel()


async def test_ended_job_stops_and_returns_no_bodies() -> None:
    """Guards against items that run on after their job has ended."""
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    owner = make_owner(log, scheduler)
    async with trio.open_nursery() as nursery:
        await start(nursery, owner)
        await submit(log)
        await until(lambda: len(scheduler.tasks) == 3)
        assert await owner.item_body(KEY, "job-1") == b"body 1"
        await owner.end(KEY)
        assert not scheduler.tasks
        with pytest.raises(errors.UnknownJobError):
            await owner.item_body(KEY, "job-1")
        await owner.end(KEY)
        nursery.cancel_scope.cancel()


async def test_end_that_the_log_refuses_stops_nothing() -> None:
    """Guards against an open job whose items do not run any more."""
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    owner = make_owner(log, scheduler)
    async with trio.open_nursery() as nursery:
        await start(nursery, owner)
        await submit(log)
        await until(lambda: len(scheduler.tasks) == 3)
        log.down = True
        with pytest.raises(errors.UnavailableError):
            await owner.end(KEY)
        assert len(scheduler.tasks) == 3
        log.down = False
        await owner.end(KEY)
        assert not scheduler.tasks
        nursery.cancel_scope.cancel()


async def test_end_written_by_another_gateway_stops_the_items() -> None:
    """Guards against an ignored end record when the owner is unreachable."""
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    async with trio.open_nursery() as nursery:
        await start(nursery, make_owner(log, scheduler))
        await submit(log)
        await until(lambda: len(scheduler.tasks) == 3)
        await log.append(fakes.PARTITION, [records.end_record(KEY)])
        await until(lambda: not scheduler.tasks)
        nursery.cancel_scope.cancel()


async def test_progress_goes_to_the_next_owner() -> None:
    """Guards against items run from the start after a planned shutdown."""
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
        running_task.origin = origins.Origin("s", "v1")
        log.down = True
        old.complete(done_task, b"whole")
        await trio.sleep(0.01)
        progress = first.stop_items()
        log.down = False
        second = make_owner(log, new, 2 * EPOCHS_PER_GENERATION)
        await start(nursery, second)
        for item_progress in progress:
            await second.apply_progress(item_progress)
        await until(lambda: len(read_table(log).get(KEY).results) == 1)
        (task,) = new.tasks
        assert task.events.last_id == 2
        assert task.output == [b"a", b"b"]
        assert task.origin == running_task.origin
        await second.apply_progress(progress[-1])
        assert list(new.tasks) == [task]
        nursery.cancel_scope.cancel()


async def test_progress_does_not_change_after_items_were_stopped() -> None:
    """Guards against duplicate events in a result.

    A cancelled run may still add events that it has already read, between
    the call of `stop_items` and the sending of the progress. Found by
    sabeel-serve trouble-2 --seed 613533121962 (ORDER).
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
        (progress,) = owner.stop_items()
        task.events.feed(b"id: 2\ndata: b\n\n")
        task.output.append(b"b")
        assert progress.last_event == 1
        assert progress.output == [b"a"]
        nursery.cancel_scope.cancel()


async def test_results_handed_over_during_an_append_are_no_error() -> None:
    """Guards against a crash if the owner retires during an append."""
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    owner = make_owner(log, scheduler)
    async with trio.open_nursery() as nursery:
        await start(nursery, owner)
        await submit(log, items=2)
        await until(lambda: len(scheduler.tasks) == 2)
        log.lost_answers = 1
        for task in list(scheduler.tasks):
            scheduler.complete(task, b"x")
        await until(lambda: log.lost_answers == 0)
        owner.stop_items()
        await until(lambda: len(read_table(log).get(KEY).results) == 2)
        await trio.sleep(0.3)
        assert not owner.lost.is_set()
        nursery.cancel_scope.cancel()


async def test_finished_jobs_are_removed_after_their_retention() -> None:
    """Guards against a store that fills up with old jobs."""
    now_ms = 120_001 + records.MAX_CLOCK_SKEW_MS
    assert await _job_keys_after_removal(now_ms) == []


async def test_clock_that_is_ahead_removes_no_job_early() -> None:
    """Guards against a job removed before its retention time has passed."""
    assert await _job_keys_after_removal(122_000)


async def _job_keys_after_removal(now_ms: int) -> list[str]:
    """Returns a job's keys that remain after a removal at `now_ms`."""
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    owner = make_owner(log, scheduler, now_ms=now_ms)
    async with trio.open_nursery() as nursery:
        await start(nursery, owner)
        await submit(log, items=1)
        await until(lambda: len(scheduler.tasks) == 1)
        scheduler.complete(next(iter(scheduler.tasks)), b"x")
        await until(lambda: read_table(log).get(KEY).complete)
        await owner.remove_expired_jobs()
        nursery.cancel_scope.cancel()
    part = log.core.partition(fakes.PARTITION.topic, fakes.PARTITION.number)
    return [key for key in part.newest if "job" in key]


def test_positions_are_stable_under_random_interleavings() -> None:
    """Guards against positions that change, over short random histories.

    Owners start and restart in any order, answers are lost and appends are
    executed late. The results that a reader has seen must remain a prefix of
    the results that every later reader sees.
    """
    import hypothesis
    from hypothesis import strategies as st

    steps = st.lists(
        st.sampled_from(
            [
                "new_owner",
                "restart_owner",
                "complete_item",
                "lose_answer",
                "delay_append",
                "execute_delayed",
            ]
        ),
        max_size=14,
    )

    @hypothesis.settings(max_examples=60, deadline=None)
    @hypothesis.given(steps=steps, seed=st.integers(0, 1000))
    def check(steps: list[str], seed: int) -> None:
        trio.run(functools.partial(_run_history, steps, seed))

    check()


async def _run_history(steps: list[str], seed: int) -> None:
    log = fakes.MemoryLog()
    await submit(log, items=5)
    seen: list[records.Result] = []
    generation = 1
    schedulers: list[fakes.FakeScheduler] = []
    async with trio.open_nursery() as nursery:
        for number, step in enumerate(steps):
            match step:
                case "new_owner" | "restart_owner":
                    generation += step == "new_owner"
                    scheduler = fakes.FakeScheduler()
                    schedulers.append(scheduler)
                    owner = make_owner(
                        log, scheduler, generation * EPOCHS_PER_GENERATION
                    )
                    await start(nursery, owner)
                case "complete_item" if schedulers:
                    chosen = schedulers[(seed + number) % len(schedulers)]
                    if chosen.tasks:
                        task = list(chosen.tasks)[seed % len(chosen.tasks)]
                        chosen.complete(task, b"%d" % number)
                case "lose_answer":
                    log.lost_answers = 1
                case "delay_append":
                    log.delayed_appends = 1
                case "execute_delayed":
                    log.execute_delayed()
            await trio.sleep(0.001)
            entry = read_table(log).get(KEY)
            assert entry is not None
            assert contents(entry)[: len(seen)] == seen
            seen = contents(entry)
            finished_items = [result.item for result in seen]
            assert len(set(finished_items)) == len(finished_items)
        nursery.cancel_scope.cancel()
