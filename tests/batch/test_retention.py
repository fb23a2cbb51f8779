"""Files and results that outlive the log's retention time."""

import contextlib
from unittest import mock

import hypothesis
import pytest
import trio
from hypothesis import strategies as st
from trio import testing as trio_testing

from lacewingwood.batch import errors
from lacewingwood.batch import files
from lacewingwood.batch import recorder
from lacewingwood.batch import results
from lacewingwood.batch import retention
from tests.batch import fakes
from tests.batch import test_worker

_RETENTION_S = 40
_ITEMS = 12


async def _carry_nothing(_: retention.RetentionCopier) -> None:
    pass


@pytest.mark.parametrize("carried", [True, False])
async def test_jobs_outlive_retention(
    autojump_clock: trio_testing.MockClock, carried: bool
) -> None:
    """Guards against input and results that fall off while still needed."""
    idle = mock.patch.object(
        retention.RetentionCopier, "_check_all", _carry_nothing
    )
    async with test_worker.scene() as here:
        here.world.log = here.deps.log = fakes.AgingLog(_RETENTION_S * 1000)
        here.intake = test_worker.make_intake(here.deps)
        with contextlib.nullcontext() if carried else idle:
            here.start_worker("w1")
            ended = await here.submit(fakes.line("a") + fakes.line("b"))
            await here.finished(ended)
            engine = here.world.engines.all["engine-0:8000"]
            engine.step_ms = 500
            data = b"".join(fakes.line(f"q{n}", 20) for n in range(60))
            running = await here.submit(data)
            await trio.sleep(_RETENTION_S * 2)
            if carried:
                found = await results.read_progress(here.world.log, running)
                assert 20 < found.completed < 60
            here.kill("w1")
            here.start_worker("w2")
            await here.finished(running, 1000)
            await trio.sleep(_RETENTION_S * 3)
        if not carried:
            for job_id in (ended, running):
                with pytest.raises(errors.CorruptError):
                    await here.output(job_id)
            return
        assert len(await here.output(ended)) == 2
        text = "".join(f"w{n} " for n in range(20))
        expected = {f"q{n}": text for n in range(60)}
        assert await here.output(running) == expected
        # Only what ran at the kill was run again.
        assert len(engine.bodies) <= 62 + engine.slots
        # Nothing needs the input of an ended job.
        read = here.intake.file_content
        job = here.world.control.jobs[running].job
        with pytest.raises(errors.CorruptError):
            async for _ in await read(fakes.CUSTOMER, job.input_file):
                pass


class _Scene:
    """A job's stream with all its owners, and what must be read from it."""

    def __init__(self) -> None:
        self.log = fakes.AgingLog(_RETENTION_S * 1000)
        self.epoch = 0
        self.stale: list[recorder.Recorder] = []
        self.owner = self.recorder()
        self.expected: dict[int, bytes] = {}

    def recorder(self) -> recorder.Recorder:
        clock = fakes.Clock()
        return recorder.Recorder(self.log, clock, "j", self.epoch, "w")

    async def start_owner(self) -> None:
        self.stale.append(self.owner)
        self.epoch += 1
        self.owner = self.recorder()
        await self.owner.start()
        done = {i for i in range(_ITEMS) if i in self.owner.replay.done}
        assert done == set(self.expected)

    async def record(self) -> None:
        index = len(self.expected)
        if index < _ITEMS:
            # Two fit into a group, so that a copy takes several records.
            response = b"%d" % index * 100_000
            self.expected[index] = response
            self.owner.add(results.Result(index, "c", 200, response))
            await self.owner.flush()

    async def record_late(self) -> None:
        """Lets an owner that has lost its lease record every item."""
        if len(self.stale) > 1:
            late = self.stale.pop()
            for index in range(_ITEMS):
                late.add(results.Result(index, "c", 200, b"late"))
            with pytest.raises(errors.SupersededError):
                await late.flush()

    async def carry_part(self, appends: int) -> None:
        """Carries until the carrier dies after some appends."""
        scope = trio.CancelScope()
        left = [False] * appends + [True]

        def count() -> bool:
            if left.pop(0):
                scope.cancel()
            left.append(False)
            return False

        self.log.lose = count
        with scope:
            await self.recorder().copy_results()
        self.log.lose = lambda: False

    async def carry_twice(self) -> None:
        """Carries with the lease's holder and its successor at once."""
        first = self.recorder()
        self.stale.append(self.owner)
        self.epoch += 1
        second = self.owner = self.recorder()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_carry, first)
            nursery.start_soon(second.copy_results)

    async def check(self) -> None:
        found = [r async for r in results.read_results(self.log, "j")]
        assert len(found) == len(self.expected)
        assert {r.index: r.response for r in found} == self.expected
        progress = await results.read_progress(self.log, "j")
        assert progress.completed == len(self.expected)


async def _carry(copier: recorder.Recorder) -> None:
    with contextlib.suppress(errors.SupersededError):
        await copier.copy_results()


_STEPS = st.one_of(
    st.sampled_from(["start", "record", "record", "late", "twice"]),
    st.integers(0, 9),
)


@hypothesis.given(
    rounds=st.lists(
        st.tuples(st.lists(_STEPS, max_size=4), st.integers(1, 15)),
        min_size=4,
        max_size=12,
    )
)
@hypothesis.settings(max_examples=60)
def test_copies_change_no_result(
    rounds: list[tuple[list[str | int], int]],
) -> None:
    """Guards against copies that add, change, void or lose results.

    In each round owners change, record late and die while they carry; then
    one copy is made. The stream is read every second.
    """

    async def run() -> None:
        here = _Scene()
        await here.start_owner()
        for steps, pause_s in rounds:
            for step in steps:
                await _do(here, step)
                await here.check()
            await here.recorder().copy_results()
            for _ in range(pause_s):
                await here.check()
                await trio.sleep(1)

    trio.run(run, clock=trio_testing.MockClock(autojump_threshold=0))


async def _do(here: _Scene, step: str | int) -> None:
    match step:
        case "start":
            await here.start_owner()
        case "record":
            await here.record()
        case "late":
            await here.record_late()
        case "twice":
            await here.carry_twice()
        case int(appends):
            await here.carry_part(appends)


async def test_late_group_at_the_start_of_the_stream_stays_void(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a void group that counts once what voids it is gone."""
    here = _Scene()
    await here.start_owner()
    await here.record()
    await here.start_owner()
    await here.start_owner()
    await here.recorder().copy_results()
    await trio.sleep(1)
    late_offset = len(here.log.streams["job/j"])
    await here.record_late()
    await trio.sleep(15)
    await here.recorder().copy_results()
    await trio.sleep(_RETENTION_S - 15.5)
    here.log.expire()
    assert here.log.first["job/j"] == late_offset
    await here.check()


async def test_file_outlives_carriers_that_die(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a file that parts of copies make unreadable."""
    log = fakes.AgingLog(_RETENTION_S * 1000)
    store = files.FileStore(log, fakes.Clock())
    data = b"0123456789abcdef" * 200_000
    stored = await store.store("c", "f", "batch", fakes.pieces(data), 0)
    assert stored.chunks == 5
    # Parts of a copy expire one by one.
    log.append_s = 1.3
    for appends in range(8):
        before = len(log.streams[files.stream_name(stored.file_id)])
        with trio.CancelScope() as scope:
            log.lose = lambda scope=scope, end=before + appends: (
                len(log.streams[files.stream_name(stored.file_id)]) > end
                and scope.cancel()
            )
            await store.copy(stored.file_id)
        log.lose = lambda: False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(store.copy, stored.file_id)
            nursery.start_soon(store.copy, stored.file_id)
        for _ in range(9):
            await trio.sleep(1)
            pieces = [p async for p in store.read(stored.file_id)]
            assert b"".join(pieces) == data
            assert await store.info(stored.file_id) == stored
