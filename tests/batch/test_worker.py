"""Batch jobs from acceptance to output, with workers and fake engines."""

import contextlib
import random
import secrets
from collections.abc import AsyncIterator
from unittest import mock

import hypothesis
import msgspec
import pytest
import trio
from hypothesis import strategies as st
from trio import testing as trio_testing

from lacewingwood.batch import errors
from lacewingwood.batch import intake as intakes
from lacewingwood.batch import recorder
from lacewingwood.batch import results
from lacewingwood.batch import worker as workers
from lacewingwood.peers import messages
from tests.batch import fakes


def make_intake(deps: fakes.Deps) -> intakes.Intake:
    return intakes.Intake(deps.log, deps.follower, deps.clock, deps.wall_ms)


class Cluster:
    """Workers that can be killed, and an intake to submit jobs."""

    def __init__(self, nursery: trio.Nursery, replicas: int = 1) -> None:
        self.env = fakes.Environment(nursery, replicas)
        self._nursery = nursery
        self._scopes: dict[str, trio.CancelScope] = {}
        self.workers: dict[str, workers.Worker] = {}
        self.followers: dict[str, fakes.Follower] = {}
        self.deps = fakes.Deps(self.env, "client")
        del self.env.control.members["client"]
        self.intake = make_intake(self.deps)

    def start_worker(self, node_id: str) -> workers.Worker:
        deps = fakes.Deps(self.env, node_id)
        worker = workers.Worker(deps, random.Random(node_id))
        self.workers[node_id] = worker
        self.followers[node_id] = deps.follower
        self._nursery.start_soon(self._run, node_id, worker)
        return worker

    async def _run(self, node_id: str, worker: workers.Worker) -> None:
        self._scopes[node_id] = trio.CancelScope()
        with self._scopes[node_id]:
            await worker.run()

    async def pause(self, node_id: str) -> None:
        """Pauses a process until other processes hold its leases."""
        follower = self.followers[node_id]
        follower.is_fresh = False
        self._take_leases(node_id)
        await trio.sleep(2)
        follower.is_fresh = True

    def _take_leases(self, node_id: str) -> None:
        control = self.env.control
        for name, (holder, _) in list(control.leases.items()):
            if holder == node_id:
                del control.leases[name]

    def kill(self, node_id: str) -> None:
        """Kills a process; the others see this and may claim its leases."""
        network = self.env.bus.networks.pop(f"{node_id}:1")
        self._scopes[node_id].cancel()
        network.kill()
        del self.env.control.members[node_id]
        self._take_leases(node_id)

    async def store(self, data: bytes) -> str:
        stored = await self.intake.store_file(
            fakes.CUSTOMER, "in.jsonl", "batch", fakes.pieces(data)
        )
        return stored.file_id

    async def create(self, file_id: str) -> str:
        status = await self.intake.create_job(
            fakes.CUSTOMER, file_id, "/v1/chat/completions", "24h"
        )
        return status.job.job_id

    async def submit(self, data: bytes) -> str:
        return await self.create(await self.store(data))

    async def finished(self, job_id: str, within_s: float = 120) -> None:
        with trio.fail_after(within_s):
            while self.env.control.jobs[job_id].status != "finished":
                await self.env.control.changed.wait()

    async def output(self, job_id: str) -> dict[str, str]:
        lines = await fakes.read_json(
            self.intake.output(fakes.CUSTOMER, job_id)
        )
        texts = {
            item["custom_id"]: item["response"]["body"]["choices"][0][
                "message"
            ]["content"]
            for item in lines
        }
        assert len(texts) == len(lines)
        return texts

    async def errors(self, job_id: str) -> dict[str, str]:
        lines = await fakes.read_json(
            self.intake.errors(fakes.CUSTOMER, job_id)
        )
        return {item["custom_id"]: item["error"]["code"] for item in lines}


@contextlib.asynccontextmanager
async def running_cluster(replicas: int = 1) -> AsyncIterator[Cluster]:
    async with trio.open_nursery() as nursery:
        yield Cluster(nursery, replicas)
        nursery.cancel_scope.cancel()


async def test_all_entries_hear_that_a_replica_is_leaving(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against an entry's first request going to a leaving replica.

    The entry has not used the replica, so the holder of its lease has no
    counts of that entry.
    """
    async with running_cluster() as cluster:
        entry = fakes.Deps(cluster.env, "entry-1")
        member = cluster.env.control.members["entry-1"]
        cluster.env.control.members["entry-1"] = msgspec.structs.replace(
            member, role="entry"
        )
        words: list[messages.ReplicaWord] = []

        async def note_word(word: messages.ReplicaWord) -> messages.Message:
            words.append(word)
            return messages.Ack()

        entry.network.handle(messages.ReplicaWord, note_word)
        cluster.start_worker("w1")
        await trio.sleep(2)
        assert not words
        cluster.env.engines.by_address["engine-0:8000"].leaving = True
        await trio.sleep(2)
        assert words
        assert all(word.leaving for word in words)


async def test_job_runs_to_readable_output(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against items that are lost or mixed up without any fault."""
    async with running_cluster() as cluster:
        cluster.start_worker("w1")
        data = b"".join(fakes.line(f"q{n}") for n in range(20))
        job_id = await cluster.submit(data)
        await cluster.finished(job_id)
        expected = {f"q{n}": "w0 w1 w2 " for n in range(20)}
        assert await cluster.output(job_id) == expected
        assert await cluster.errors(job_id) == {}
        assert cluster.env.engines.by_address["engine-0:8000"].max_running <= 4


async def test_job_survives_worker_deaths_and_lost_appends(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against items lost or counted twice when owners die."""
    rng = random.Random(7)
    async with running_cluster(replicas=3) as cluster:
        cluster.env.log.loses_answer = lambda: rng.random() < 0.3
        for name in ("w1", "w2", "w3"):
            cluster.start_worker(name)
        data = b"".join(fakes.line(f"q{n}", 5) for n in range(400))
        job_id = await cluster.submit(data)
        kills = 0
        for number in range(6):
            await trio.sleep(1.5)
            holder, _ = cluster.env.control.leases.get(f"job/{job_id}", ("", 0))
            if holder:
                cluster.start_worker(f"spare-{number}")
                cluster.kill(holder)
                kills += 1
        assert kills >= 2
        await cluster.finished(job_id)
        texts = await cluster.output(job_id)
        expected = {f"q{n}": "w0 w1 w2 w3 w4 " for n in range(400)}
        assert texts == expected
        assert [f.completed for f in cluster.env.control.finishes] == [400]


_FAULTS = st.sampled_from(["kill", "pause", "crash", "outage", "resend"])


@hypothesis.given(
    faults=st.lists(
        st.tuples(st.integers(0, 1_500), _FAULTS), min_size=1, max_size=5
    ),
    seed=st.integers(0, 1_000),
)
@hypothesis.settings(max_examples=60)
def test_every_item_ends_once_under_faults(
    faults: list[tuple[int, str]], seed: int
) -> None:
    """Guards against lost or duplicate items under faults at any time."""
    rng = random.Random(seed)

    def token_hex(size: int) -> str:
        return rng.randbytes(size).hex()

    async def run() -> None:
        async with running_cluster(replicas=2) as cluster:
            cluster.env.log.loses_answer = lambda: rng.random() < 0.2
            for name in ("w1", "w2"):
                cluster.start_worker(name)
            data = b"".join(fakes.line(f"q{n}", 8) for n in range(40))
            file_id = await cluster.store(data)
            job_id = await cluster.create(file_id)
            for number, (delay_ms, fault) in enumerate(faults):
                await trio.sleep(delay_ms / 1000)
                await _inject(cluster, fault, number, file_id)
            await cluster.finished(job_id)
            # A crash of a replica counts against each item that it ran, so
            # items that ran on two crashed replicas may have failed.
            failed = await cluster.errors(job_id)
            crashed = any(fault == "crash" for _, fault in faults)
            assert set(failed.values()) <= {"replica_crashed"}
            assert crashed or not failed
            texts = await cluster.output(job_id)
            assert not texts.keys() & failed.keys()
            assert len(texts) + len(failed) == 40
            assert set(texts.values()) <= {"".join(f"w{n} " for n in range(8))}
            (finish,) = cluster.env.control.finishes
            counts = (finish.completed, finish.failed)
            assert counts == (len(texts), len(failed))
            # Items resent without a pause would cause far more messages.
            max_messages = 300 + 300 * trio.current_time()
            assert cluster.env.bus.message_count < max_messages

    # File ids are random; the patch derives them from the seed.
    with mock.patch.object(secrets, "token_hex", token_hex):
        trio.run(run, clock=trio_testing.MockClock(autojump_threshold=0))


async def _inject(
    cluster: Cluster, fault: str, number: int, file_id: str
) -> None:
    holders = sorted({h for h, _ in cluster.env.control.leases.values()})
    match fault:
        case "kill" if holders:
            cluster.start_worker(f"spare-{number}")
            cluster.kill(holders[number % len(holders)])
        case "pause" if holders:
            await cluster.pause(holders[number % len(holders)])
        case "crash":
            cluster.env.engines.by_address[f"engine-{number % 2}:8000"].crash()
        case "outage":
            cluster.env.log.down = True
            await trio.sleep(3)
            cluster.env.log.down = False
        case "resend":
            await cluster.create(file_id)


async def test_online_burst_makes_items_yield_and_resume(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against batch items that hold slots needed by online requests."""
    async with running_cluster() as cluster:
        cluster.start_worker("w1")
        engine = cluster.env.engines.by_address["engine-0:8000"]
        job_id = await cluster.submit(
            b"".join(fakes.line(f"q{n}", 50) for n in range(8))
        )
        with trio.fail_after(10):
            while len(engine.running) < engine.slots:
                await trio.sleep(0.01)
        await trio.sleep(0.2)
        count = messages.OnlineCount("e1", "replica-0", 4, 1)
        cluster.deps.network.send("w1:1", count)
        await trio.sleep(0.01)
        assert not engine.running
        cluster.deps.network.send(
            "w1:1", messages.OnlineCount("e1", "replica-0", 0, 2)
        )
        await cluster.finished(job_id)
        whole = "".join(f"w{n} " for n in range(50))
        assert set((await cluster.output(job_id)).values()) == {whole}
        assert any(body.get("resume_text") for body in engine.bodies)


async def test_cancelled_job_stops_within_a_second(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a cancelled job that goes on using engines."""
    async with running_cluster() as cluster:
        cluster.start_worker("w1")
        engine = cluster.env.engines.by_address["engine-0:8000"]
        job_id = await cluster.submit(
            b"".join(fakes.line(f"q{n}", 500) for n in range(30))
        )
        await trio.sleep(5)
        assert engine.running
        status = await cluster.intake.cancel(fakes.CUSTOMER, job_id)
        assert status.cancelled_ms is not None
        await trio.sleep(1)
        assert not engine.running
        started = len(engine.bodies)
        await trio.sleep(20)
        assert len(engine.bodies) == started
        assert not cluster.workers["w1"].jobs


async def test_item_that_crashes_replicas_fails_alone(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against one item that crashes every replica in turn."""
    async with running_cluster(replicas=4) as cluster:
        cluster.start_worker("w1")
        lines = [fakes.line(f"q{n}", 10) for n in range(30)]
        lines.insert(5, fakes.line("bad", 10, poison=True))
        lines.insert(9, fakes.line("refused", 10, refuse=True))
        job_id = await cluster.submit(b"".join(lines))
        await cluster.finished(job_id)
        crashes = sum(
            e.crashes for e in cluster.env.engines.by_address.values()
        )
        assert crashes <= 2
        assert await cluster.errors(job_id) == {
            "bad": "replica_crashed",
            "refused": "upstream_refused",
        }
        assert len(await cluster.output(job_id)) == 30


@pytest.mark.parametrize("status", [408, 421, 429, 503])
async def test_refusal_that_says_nothing_of_an_item_does_not_end_it(
    status: int, autojump_clock: trio_testing.MockClock
) -> None:
    """Guards against failing an item that another run would complete."""
    async with running_cluster() as cluster:
        cluster.start_worker("w1")
        engine = cluster.env.engines.by_address["engine-0:8000"]
        engine.refusals = [status] * 6
        job_id = await cluster.submit(fakes.line("q", 10))
        await cluster.finished(job_id)
        assert not await cluster.errors(job_id)
        assert len(await cluster.output(job_id)) == 1
        assert not engine.refusals


async def test_results_survive_log_outage(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against results that are dropped when the log is down."""
    async with running_cluster() as cluster:
        cluster.start_worker("w1")
        engine = cluster.env.engines.by_address["engine-0:8000"]
        job_id = await cluster.submit(
            b"".join(fakes.line(f"q{n}", 10) for n in range(100))
        )
        await trio.sleep(2)
        cluster.env.log.down = True
        await trio.sleep(60)
        cluster.env.log.down = False
        await cluster.finished(job_id)
        assert len(await cluster.output(job_id)) == 100
        assert len(engine.bodies) == 100


async def test_planned_stop_hands_over_jobs(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a shutdown that loses results or keeps leases."""
    async with running_cluster(replicas=2) as cluster:
        first = cluster.start_worker("w1")
        job_id = await cluster.submit(
            b"".join(fakes.line(f"q{n}", 20) for n in range(60))
        )
        await trio.sleep(4)
        cluster.start_worker("w2")
        del cluster.env.control.members["w1"]
        with trio.fail_after(5):
            await first.stop()
        holders = {h for h, _ in cluster.env.control.leases.values()}
        assert "w1" not in holders
        await cluster.finished(job_id)
        assert len(await cluster.output(job_id)) == 60
        engines = cluster.env.engines.by_address.values()
        in_flight = sum(engine.slots for engine in engines)
        assert sum(len(e.bodies) for e in engines) <= 60 + in_flight


async def test_expired_results_are_rerun_or_reported(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against output silently truncated by the log's retention."""
    async with running_cluster() as cluster:
        cluster.start_worker("w1")
        data = b"".join(fakes.line(f"q{n}", 20) for n in range(60))
        job_id = await cluster.submit(data)
        await trio.sleep(4)
        cluster.kill("w1")
        stream = f"job/{job_id}"
        assert len(cluster.env.log.streams[stream]) > 4
        cluster.env.log.first_offsets[stream] = 4
        cluster.start_worker("w2")
        await cluster.finished(job_id)
        (finish,) = cluster.env.control.finishes
        assert finish.completed == 60
        with pytest.raises(errors.CorruptError):
            await cluster.output(job_id)


async def test_superseded_owner_records_nothing(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against results from an owner that lost its lease."""
    async with running_cluster() as cluster:
        old = recorder.Recorder(
            cluster.env.log, cluster.deps.clock, "j", epoch=3, node_id="w1"
        )
        await old.start()
        old.add(results.Result(0, "a", 200, b"1"))
        await old.flush()
        new = recorder.Recorder(
            cluster.env.log, cluster.deps.clock, "j", epoch=8, node_id="w2"
        )
        await new.start()
        assert 0 in new.replay.done
        old.add(results.Result(1, "b", 200, b"old"))
        with pytest.raises(errors.SupersededError):
            await old.flush()
        new.add(results.Result(1, "b", 200, b"new"))
        await new.flush()
        found = [r async for r in results.read_results(cluster.env.log, "j")]
        assert [(r.index, r.response) for r in found] == [
            (0, b"1"),
            (1, b"new"),
        ]
        latest = await results.read_progress(cluster.env.log, "j")
        assert latest.completed == 2
