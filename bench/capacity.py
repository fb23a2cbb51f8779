"""Measures the slopes behind docs/CAPACITY.md (`make capacity`).

Each slope is fitted through at least three sizes by least squares. Memory is
that allocated by Python (tracemalloc), CPU time that of this process.
"""

import gc
import hashlib
import json
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import msgspec

from lacewingwood.batch import results
from lacewingwood.hostlist import types as host_types
from lacewingwood.limits import split
from lacewingwood.peers import messages
from lacewingwood.routing import prefix
from lacewingwood.routing import router as router_lib
from lacewingwood.state import records
from lacewingwood.state import snapshot
from lacewingwood.state import view as view_lib

_SEED = 7
_SIZES = (500, 1_000, 2_000, 4_000)
_CHOICES = 5_000

Body = Callable[[int], records.Body]


def slope(points: list[tuple[float, float]]) -> dict[str, float]:
    """Returns slope and intercept through `points`, and the fit's r squared."""
    sizes, values = zip(*points, strict=True)
    fit = statistics.linear_regression(sizes, values)
    r = statistics.correlation(sizes, values) if len(set(values)) > 1 else 1.0
    return {"slope": fit.slope, "intercept": fit.intercept, "r2": r * r}


def _customer(index: int) -> records.Body:
    return records.CustomerPut(
        records.Customer(f"customer-{index:05}", 10.0, 20)
    )


def _key(index: int) -> records.Body:
    digest = hashlib.sha256(str(index).encode()).hexdigest()
    return records.KeyPut(f"key-{index:05}", digest, "customer-00000")


def _member(index: int) -> records.Body:
    node_id = f"entry-host-{index:05}-0a1b2c3d"
    address = f"10.{index // 65536}.{index // 256 % 256}.{index % 256}:7000"
    member = records.Member(
        node_id, "entry", address, "tanta-a", "delta-north", f"host-{index}"
    )
    return records.MemberJoined(member)


def _lease(index: int) -> records.Body:
    return records.LeaseClaimed(
        f"replica/replica-{index:05}", "entry-host-00000-0a1b2c3d"
    )


def _job(index: int) -> records.Body:
    job = records.Job(
        f"batch_{index:032x}",
        "customer-00000",
        f"file-{index:032x}",
        "/v1/chat/completions",
        80_000,
        1_800_000_000_000,
        1_799_000_000_000,
    )
    return records.JobAccepted(job)


_BODIES: dict[str, Body] = {
    "customer": _customer,
    "key": _key,
    "member": _member,
    "lease": _lease,
    "job": _job,
}


def _encoded(body: Body, count: int) -> list[bytes]:
    unencoded = (
        records.Record(f"{index:032x}", "operator", body(index))
        for index in range(count)
    )
    return [records.encode(record) for record in unencoded]


def _base_view() -> view_lib.View:
    """Returns a view with the entities that the measured records refer to."""
    view = view_lib.View()
    for data in _encoded(_customer, 1) + _encoded(_member, 1):
        view.apply(view.offset, data)
    return view


def measure_state(body: Body) -> dict[str, Any]:
    """Measures the cost of an entity to every process that keeps a view."""
    memory: list[tuple[float, float]] = []
    cpu: list[tuple[float, float]] = []
    wire: list[tuple[float, float]] = []
    for size in _SIZES:
        data = _encoded(body, size)
        started = time.process_time()
        _apply(_base_view(), data)
        cpu.append((size, (time.process_time() - started) * 1e6))
        gc.collect()
        tracemalloc.start()
        view = _apply(_base_view(), [bytes(bytearray(d)) for d in data])
        gc.collect()
        memory.append((size, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        wire.append((size, sum(map(len, data))))
        del view
    return {
        "memory_bytes": slope(memory),
        "apply_us": slope(cpu),
        "record_bytes": slope(wire),
    }


def _apply(view: view_lib.View, data: list[bytes]) -> view_lib.View:
    for record in data:
        view.apply(view.offset, record)
    return view


def measure_snapshot() -> dict[str, Any]:
    """Measures a snapshot of a view by its number of customers."""
    size: list[tuple[float, float]] = []
    write: list[tuple[float, float]] = []
    read: list[tuple[float, float]] = []
    for count in _SIZES:
        view = _apply(view_lib.View(), _encoded(_customer, count))
        _apply(view, _encoded(_key, count))
        started = time.process_time()
        parts = snapshot.split(view, "s")
        write.append((count, (time.process_time() - started) * 1e6))
        encoded = b"".join(part.data for part in parts)
        size.append((count, len(encoded)))
        started = time.process_time()
        view_lib.decode(encoded)
        read.append((count, (time.process_time() - started) * 1e6))
    return {
        "bytes": slope(size),
        "write_us": slope(write),
        "read_us": slope(read),
    }


def _fleet(replicas: int) -> router_lib.Router:
    rng = random.Random(_SEED)
    router = router_lib.Router(router_lib.Settings(zone="tanta-a"), rng)
    router.fleet.update_hosts(
        host_types.Host(
            f"replica-{index:05}",
            f"10.1.{index // 256}.{index % 256}:8000",
            "engine",
            f"model-{index % 15}",
            "tanta-a",
            "delta-north",
            "live",
        )
        for index in range(replicas)
    )
    return router


def measure_routing() -> dict[str, Any]:
    """Measures a routing choice and the router's memory by replica count."""
    memory: list[tuple[float, float]] = []
    cpu: list[tuple[float, float]] = []
    blocks = prefix.block_hashes("model-0", b"x" * 4_000)
    for count in _SIZES:
        gc.collect()
        tracemalloc.start()
        router = _fleet(count)
        memory.append((count, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        req = router_lib.RouteRequest("model-0", "model-0", blocks=blocks)
        started = time.process_time()
        for choice in range(_CHOICES):
            router.choose(req, float(choice))
        spent_s = time.process_time() - started
        cpu.append((count, spent_s / _CHOICES * 1e6))
    return {"memory_bytes": slope(memory), "choose_us": slope(cpu)}


def measure_items() -> dict[str, Any]:
    """Measures the memory and CPU time of a job's owner for each item."""
    memory: list[tuple[float, float]] = []
    cpu: list[tuple[float, float]] = []
    for count in (10_000, 100_000, 940_000):
        gc.collect()
        tracemalloc.start()
        done = results.IndexSet()
        for index in range(count):
            done.add(index)
        memory.append((count, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        done = results.IndexSet()
        started = time.process_time()
        for index in range(count):
            done.add(index)
        cpu.append((count, (time.process_time() - started) * 1e6))
    return {"memory_bytes": slope(memory), "record_us": slope(cpu)}


def measure_messages() -> dict[str, Any]:
    """Returns the encoded sizes of frequent messages."""
    samples: list[messages.Message] = [
        messages.Ping("entry-host-00123-0a1b2c3d", 1_234_567),
        messages.Pong("entry-host-00123-0a1b2c3d", 1_234_567, 12.5),
        messages.OnlineCount(
            "entry-host-00123-0a1b2c3d", "replica-01234", 12, 1_234_567
        ),
        messages.ReplicaWord("replica-01234", 12, 30, 2, False, 1_234_567),
        messages.Borrow(
            node_id="entry-host-00123-0a1b2c3d",
            customer="customer-01234",
            part=0,
            want=1.0,
            demand=3.5,
            rate=2.0,
            depth=4.0,
            level=1.5,
            serial=1_234_567,
            epoch=987_654,
        ),
        messages.Lent(987_654, 2.0, 4.0, 1.5, 15_000.0, 0.0),
    ]
    return {
        type(sample).__name__: len(msgspec.msgpack.encode(sample))
        for sample in samples
    }


def main() -> int:
    """Runs all measurements and prints them."""
    report: dict[str, Any] = {
        "command": "make capacity",
        "python": sys.version.split()[0],
        "sizes": _SIZES,
        "state": {kind: measure_state(body) for kind, body in _BODIES.items()},
        "snapshot": measure_snapshot(),
        "routing": measure_routing(),
        "batch_item": measure_items(),
        "message_bytes": measure_messages(),
        "limit_leases": len(split.lease_names()),
    }
    print(json.dumps(report, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
