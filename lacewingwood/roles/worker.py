"""A worker process: runs batch jobs and writes snapshots of shared state."""

import dataclasses
from collections.abc import Callable
from typing import Any

import trio

from lacewingwood import clock as clock_lib
from lacewingwood import metrics as metrics_lib
from lacewingwood import settings
from lacewingwood.batch import deps as batch_deps
from lacewingwood.batch import worker as worker_lib
from lacewingwood.hostlist import types as host_types
from lacewingwood.roles import node as node_lib
from lacewingwood.state import maintenance
from lacewingwood.upstreams import engine


@dataclasses.dataclass(slots=True)
class _Deps:
    """Dependencies of the batch layer, taken from the node."""

    node_id: str
    follower: batch_deps.Follower
    leases: batch_deps.Leases
    network: batch_deps.Network
    log: batch_deps.Log
    engines: batch_deps.Engines
    clock: clock_lib.Clock
    metrics: metrics_lib.Registry
    hosts: Callable[[], list[host_types.Host]]
    wall_ms: Callable[[], int]


def run(cfg: settings.WorkerSettings) -> None:
    """Runs a worker until SIGTERM or SIGINT."""
    node_lib.run(lambda: _main(cfg))


async def _main(cfg: settings.WorkerSettings) -> int:
    node = node_lib.Node(cfg, "worker")
    worker = worker_lib.Worker(_make_deps(node))
    node.add_dump("batch", lambda: _dump(worker))
    async with node.running() as nursery:
        nursery.start_soon(maintenance.SnapshotWriter(node.follower).run)
        nursery.start_soon(worker.run)
        node.announce()
        await node.shutdown.wait()
        with trio.move_on_after(cfg.shutdown_ms / 1000):
            await worker.stop()
        await node.leave()
    return node.exit_code()


def _make_deps(node: node_lib.Node) -> _Deps:
    return _Deps(
        node_id=node.node_id,
        follower=node.follower,
        leases=node.leases,
        network=node.network,
        log=node.log,
        engines=engine.EngineClient(node.clock),
        clock=node.clock,
        metrics=node.metrics,
        hosts=node.watcher.hosts,
        wall_ms=node.wall_ms,
    )


def _dump(worker: worker_lib.Worker) -> dict[str, Any]:
    return {"replicas": sorted(worker.runners), "jobs": worker.jobs}
