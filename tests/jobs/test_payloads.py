"""Tests of what is held of the bodies and outputs of items."""

import hypothesis
import pytest
import trio
from hypothesis import strategies as st

from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import admission
from lacewingwood.jobs import errors
from lacewingwood.jobs import owner as owners
from lacewingwood.jobs import payloads
from lacewingwood.jobs import records
from lacewingwood.log import compacted
from lacewingwood.log import errors as log_errors
from tests.jobs import fakes
from tests.jobs import test_owner

KEY = test_owner.KEY
_LIMIT = 10_000
_ITEMS = 40
_BODY_BYTES = 1_000


def _body(index: int) -> bytes:
    return b"%04d" % index * (_BODY_BYTES // 4)


async def _submit(log: fakes.MemoryLog) -> None:
    """Appends a job with four times as many bytes as may be held."""
    job = fakes.make_job(items=_ITEMS).job
    bodies = [_body(n) for n in range(_ITEMS)]
    written = records.submission_records(KEY, job, bodies)
    await log.append(fakes.PARTITION, written)


def _make_owner(
    log: fakes.MemoryLog, scheduler: fakes.FakeScheduler
) -> owners.Owner:
    return test_owner.make_owner(log, scheduler, held_bytes=_LIMIT)


def _held(owner: owners.Owner) -> int:
    return owner._cache.held_bytes


async def test_owner_holds_no_more_bodies_than_fit() -> None:
    """Guards against a process that can't hold the jobs it owns (LOST).

    The last gateway of a fleet was killed for its memory while it loaded the
    bodies of all jobs, and again after each restart.
    """
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    await _submit(log)
    async with trio.open_nursery() as nursery:
        owner = _make_owner(log, scheduler)
        await test_owner.start(nursery, owner)
        assert 0 < _held(owner) <= _LIMIT
        assert len(scheduler.tasks) == _ITEMS
        for task in scheduler.tasks:
            assert await task.body.load() == _body(task.index)
            assert _held(owner) <= _LIMIT
            assert await owner.item_body(KEY, task.item.id) == _body(task.index)
        nursery.cancel_scope.cancel()


async def test_bodies_of_later_jobs_are_dropped_as_well() -> None:
    """Guards against memory that grows while jobs are submitted."""
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    async with trio.open_nursery() as nursery:
        owner = _make_owner(log, scheduler)
        await test_owner.start(nursery, owner)
        await _submit(log)
        await test_owner.until(lambda: len(scheduler.tasks) == _ITEMS)
        assert _held(owner) <= _LIMIT
        nursery.cancel_scope.cancel()


async def test_outputs_are_dropped_and_read_again() -> None:
    """Guards against an owner that holds all results of its jobs (LOST)."""
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    await _submit(log)
    async with trio.open_nursery() as nursery:
        owner = _make_owner(log, scheduler)
        await test_owner.start(nursery, owner)
        for task in list(scheduler.tasks):
            scheduler.complete(task, _body(task.index) * 2)

        def is_settled() -> bool:
            entry = owner._table.get(KEY)
            return (
                entry is not None
                and entry.complete
                and (_held(owner) <= _LIMIT)
            )

        await test_owner.until(is_settled)
        _, results, _ = await owner.read(KEY, 0, 0)
        assert len(results) == _ITEMS
        outputs = await payloads.load_all([r.output for r in results])
        assert outputs == [_body(r.item) * 2 for r in results]
        assert _held(owner) <= _LIMIT
        nursery.cancel_scope.cancel()


async def test_body_is_found_after_the_log_forgot_its_history() -> None:
    """Guards against a body that is lost with the offset of its record."""
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    await _submit(log)
    async with trio.open_nursery() as nursery:
        owner = _make_owner(log, scheduler)
        await test_owner.start(nursery, owner)
        log.core.compact()
        for task in scheduler.tasks:
            assert await task.body.load() == _body(task.index)
        nursery.cancel_scope.cancel()


async def test_body_that_can_not_be_read_is_not_denied() -> None:
    """Guards against a 404 for a body during an outage of the log."""
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    await _submit(log)
    async with trio.open_nursery() as nursery:
        owner = _make_owner(log, scheduler)
        await test_owner.start(nursery, owner)
        log.down = True
        task = next(t for t in scheduler.tasks if t.body.value is None)
        with pytest.raises(errors.UnavailableError):
            await owner.item_body(KEY, task.item.id)
        with pytest.raises(log_errors.LogError):
            await task.body.load()
        log.down = False
        assert await task.body.load() == _body(task.index)
        nursery.cancel_scope.cancel()


async def test_ended_and_removed_jobs_make_room() -> None:
    """Guards against memory that is counted for jobs that are gone."""
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    await _submit(log)
    async with trio.open_nursery() as nursery:
        owner = _make_owner(log, scheduler)
        await test_owner.start(nursery, owner)
        task = next(iter(scheduler.tasks))
        scheduler.complete(task, bytes(2_000))
        entry = owner._table.get(KEY)
        assert entry is not None
        await test_owner.until(lambda: entry.results)
        await owner.end(KEY)
        assert _held(owner) == 2_000
        await owner._append(owners._removal_records(entry))
        assert _held(owner) == 0
        nursery.cancel_scope.cancel()


async def test_count_of_waiting_tokens_holds_no_bodies() -> None:
    """Guards against a gateway that holds the jobs of others to accept one."""
    log = fakes.MemoryLog()
    await _submit(log)
    view = admission.SnapshotView(log, fakes.PARTITION)
    await view.refresh()
    entry = view.table.get(KEY)
    assert entry is not None
    assert len(entry.unfinished_items()) == _ITEMS
    assert not any(body.value for body in entry.bodies.values())


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["add", "own", "locate", "load", "release"]),
        st.integers(0, 7),
        st.integers(0, 3_000),
    ),
    max_size=40,
)


@hypothesis.given(steps=_STEPS)
def test_what_is_held_is_counted(steps: list[tuple[str, int, int]]) -> None:
    """Guards against a count that drifts, and against lost contents."""

    async def check() -> None:
        log = fakes.MemoryLog()
        cache = payloads.Cache(log, 4_000, metrics_lib.Registry())
        source = cache.partition(fakes.PARTITION)
        part = log.core.partition(fakes.PARTITION.topic, 0)
        made: dict[int, tuple[payloads.Payload, bytes, int]] = {}
        for step, slot, size in steps:
            if step in ("add", "own"):
                value = bytes([slot]) * size
                key, offset = f"b/kaje/job/{slot}", part.end
                encoded = records.submission_records(
                    "kaje/job", fakes.make_job().job, [value]
                )[0].value
                record = compacted.Record(key, encoded, offset)
                await log.append(fakes.PARTITION, [record])
                if slot in made:
                    made.pop(slot)[0].release()
                if step == "own":
                    record = compacted.Record(key, encoded)
                made[slot] = source.add(record, value), value, offset
            elif slot in made:
                payload, value, offset = made[slot]
                match step:
                    case "locate":
                        payload.locate(offset)
                    case "load":
                        assert await payload.load() == value
                    case "release":
                        payload.release()
                        del made[slot]
            held = [
                payload
                for payload, value, _ in made.values()
                if payload.value is not None and len(value) >= 512
            ]
            assert cache.held_bytes == sum(p.size for p in held)
            movable = sum(p.size for p in held if p.offset >= 0)
            pinned = cache.held_bytes - movable
            assert cache.held_bytes <= max(4_000, pinned)

    trio.run(check)
