"""Copies that keep files and results beyond the log's retention time."""

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


async def _copy_nothing(_: retention.RetentionCopier) -> None:
    pass


@pytest.mark.parametrize("copying", [True, False])
async def test_jobs_outlive_retention(
    autojump_clock: trio_testing.MockClock, copying: bool
) -> None:
    """Guards against input and results that expire while still needed."""
    idle = mock.patch.object(
        retention.RetentionCopier, "_check_all", _copy_nothing
    )
    async with test_worker.running_cluster() as cluster:
        cluster.env.log = cluster.deps.log = fakes.AgingLog(_RETENTION_S * 1000)
        cluster.intake = test_worker.make_intake(cluster.deps)
        with contextlib.nullcontext() if copying else idle:
            cluster.start_worker("w1")
            ended = await cluster.submit(fakes.line("a") + fakes.line("b"))
            await cluster.finished(ended)
            engine = cluster.env.engines.by_address["engine-0:8000"]
            engine.step_ms = 500
            data = b"".join(fakes.line(f"q{n}", 20) for n in range(60))
            running = await cluster.submit(data)
            await trio.sleep(_RETENTION_S * 2)
            if copying:
                found = await results.read_progress(cluster.env.log, running)
                assert 20 < found.completed < 60
            cluster.kill("w1")
            cluster.start_worker("w2")
            await cluster.finished(running, 1000)
            await trio.sleep(_RETENTION_S * 3)
        if not copying:
            for job_id in (ended, running):
                with pytest.raises(errors.CorruptError):
                    await cluster.output(job_id)
            return
        assert len(await cluster.output(ended)) == 2
        text = "".join(f"w{n} " for n in range(20))
        expected = {f"q{n}": text for n in range(60)}
        assert await cluster.output(running) == expected
        # Only items that were running at the kill were run again.
        assert len(engine.bodies) <= 62 + engine.slots
        # The input of an ended job is not needed and expires.
        read = cluster.intake.file_content
        job = cluster.env.control.jobs[running].job
        with pytest.raises(errors.CorruptError):
            async for _ in await read(fakes.CUSTOMER, job.input_file):
                pass


class _JobStream:
    """A job's stream with its owners and the results expected from it."""

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
            # Two results fit into a group, so a copy takes several records.
            response = b"%d" % index * 100_000
            self.expected[index] = response
            self.owner.add(results.Result(index, "c", 200, response))
            await self.owner.flush()

    async def record_superseded(self) -> None:
        """Lets an owner that has lost its lease record every item."""
        if len(self.stale) > 1:
            superseded = self.stale.pop()
            for index in range(_ITEMS):
                superseded.add(results.Result(index, "c", 200, b"late"))
            with pytest.raises(errors.SupersededError):
                await superseded.flush()

    async def copy_partly(self, appends: int) -> None:
        """Copies the results but is cancelled after some appends."""
        scope = trio.CancelScope()
        left = [False] * appends + [True]

        def count() -> bool:
            if left.pop(0):
                scope.cancel()
            left.append(False)
            return False

        self.log.loses_answer = count
        with scope:
            await self.recorder().copy_results()
        self.log.loses_answer = lambda: False

    async def copy_twice(self) -> None:
        """Copies concurrently as the lease's holder and as its successor."""
        first = self.recorder()
        self.stale.append(self.owner)
        self.epoch += 1
        second = self.owner = self.recorder()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_copy_unless_superseded, first)
            nursery.start_soon(second.copy_results)

    async def check(self) -> None:
        found = [r async for r in results.read_results(self.log, "j")]
        assert len(found) == len(self.expected)
        assert {r.index: r.response for r in found} == self.expected
        progress = await results.read_progress(self.log, "j")
        assert progress.completed == len(self.expected)


async def _copy_unless_superseded(copier: recorder.Recorder) -> None:
    with contextlib.suppress(errors.SupersededError):
        await copier.copy_results()


_STEPS = st.one_of(
    st.sampled_from(["start", "record", "record", "superseded", "twice"]),
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
def test_copies_keep_results_unchanged(
    rounds: list[tuple[list[str | int], int]],
) -> None:
    """Guards against copies that add, change, void or lose results.

    In each round, owners change, record after they were superseded and are
    cancelled during copies; then one copy completes. The stream is read every
    second.
    """

    async def run() -> None:
        stream = _JobStream()
        await stream.start_owner()
        for steps, pause_s in rounds:
            for step in steps:
                await _run_step(stream, step)
                await stream.check()
            await stream.recorder().copy_results()
            for _ in range(pause_s):
                await stream.check()
                await trio.sleep(1)

    trio.run(run, clock=trio_testing.MockClock(autojump_threshold=0))


async def _run_step(stream: _JobStream, step: str | int) -> None:
    match step:
        case "start":
            await stream.start_owner()
        case "record":
            await stream.record()
        case "superseded":
            await stream.record_superseded()
        case "twice":
            await stream.copy_twice()
        case int(appends):
            await stream.copy_partly(appends)


async def test_oldest_void_group_stays_void(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a void group that is read as valid.

    That may happen once the record with the higher epoch before it has expired.
    """
    stream = _JobStream()
    await stream.start_owner()
    await stream.record()
    await stream.start_owner()
    await stream.start_owner()
    await stream.recorder().copy_results()
    await trio.sleep(1)
    superseded_offset = len(stream.log.streams["job/j"])
    await stream.record_superseded()
    await trio.sleep(15)
    await stream.recorder().copy_results()
    await trio.sleep(_RETENTION_S - 15.5)
    stream.log.expire()
    assert stream.log.first_offsets["job/j"] == superseded_offset
    await stream.check()


async def test_file_survives_interrupted_copies(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a file that incomplete copies make unreadable."""
    log = fakes.AgingLog(_RETENTION_S * 1000)
    store = files.FileStore(log, fakes.Clock())
    data = b"0123456789abcdef" * 200_000
    stored = await store.store("c", "f", "batch", fakes.pieces(data), 0)
    assert stored.chunks == 5
    # Appends take time, so that the chunks of a copy expire one by one.
    log.append_s = 1.3
    for appends in range(8):
        before = len(log.streams[files.stream_name(stored.file_id)])
        with trio.CancelScope() as scope:
            log.loses_answer = lambda scope=scope, end=before + appends: (
                len(log.streams[files.stream_name(stored.file_id)]) > end
                and scope.cancel()
            )
            await store.copy(stored.file_id)
        log.loses_answer = lambda: False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(store.copy, stored.file_id)
            nursery.start_soon(store.copy, stored.file_id)
        for _ in range(9):
            await trio.sleep(1)
            pieces = [p async for p in store.read(stored.file_id)]
            assert b"".join(pieces) == data
            assert await store.info(stored.file_id) == stored
