"""Jobs from their acceptance to their output, with workers and engines."""

import contextlib
import random
from collections.abc import AsyncIterator

import trio
from trio import testing as trio_testing

from lacewingwood.batch import intake as intakes
from lacewingwood.batch import worker as workers
from tests.batch import fakes


class Scene:
    """A world with workers that can be killed."""

    def __init__(self, nursery: trio.Nursery, replicas: int = 1) -> None:
        self.world = fakes.World(nursery, replicas)
        self._nursery = nursery
        self._scopes: dict[str, trio.CancelScope] = {}
        self.workers: dict[str, workers.Worker] = {}
        self.deps = fakes.Deps(self.world, "client")
        del self.world.control.members["client"]
        self.intake = intakes.Intake(
            self.world.log,
            self.deps.follower,
            self.deps.clock,
            self.deps.wall_ms,
        )

    def start_worker(self, node_id: str) -> workers.Worker:
        deps = fakes.Deps(self.world, node_id)
        worker = workers.Worker(deps, random.Random(node_id))
        self.workers[node_id] = worker
        self._nursery.start_soon(self._run, node_id, worker)
        return worker

    async def _run(self, node_id: str, worker: workers.Worker) -> None:
        self._scopes[node_id] = trio.CancelScope()
        with self._scopes[node_id]:
            await worker.run()

    def kill(self, node_id: str) -> None:
        """Kills a process; others learn of it and may claim its leases."""
        network = self.world.bus.networks.pop(f"{node_id}:1")
        self._scopes[node_id].cancel()
        network.die()
        control = self.world.control
        del control.members[node_id]
        for name, (holder, _) in list(control.leases.items()):
            if holder == node_id:
                del control.leases[name]

    async def submit(self, data: bytes) -> str:
        stored = await self.intake.store_file(
            fakes.CUSTOMER, "in.jsonl", "batch", fakes.pieces(data)
        )
        status = await self.intake.create_job(
            fakes.CUSTOMER, stored.file_id, "/v1/chat/completions", "24h"
        )
        return status.job.job_id

    async def finished(self, job_id: str, within_s: float = 120) -> None:
        with trio.fail_after(within_s):
            while self.world.control.jobs[job_id].status != "finished":
                await self.world.control.changed.wait()

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
async def scene(replicas: int = 1) -> AsyncIterator[Scene]:
    async with trio.open_nursery() as nursery:
        yield Scene(nursery, replicas)
        nursery.cancel_scope.cancel()


async def test_job_runs_to_readable_output(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against items that are lost or mixed up on the normal path."""
    async with scene() as here:
        here.start_worker("w1")
        data = b"".join(fakes.line(f"q{n}") for n in range(20))
        job_id = await here.submit(data)
        await here.finished(job_id)
        expected = {f"q{n}": "w0 w1 w2 " for n in range(20)}
        assert await here.output(job_id) == expected
        assert await here.errors(job_id) == {}
        assert here.world.engines.all["engine-0:8000"].most <= 4
