"""An item is never listed after a partition has passed to a new gateway."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[2] / "target/deps")
)

import harness as h
import xxhash

_ITEMS = 200
_JOBS = 2
# Gateways that are added, one after another.
_ROUNDS = 3
# Outputs of 40 KB.
_EVENTS, _TEXT_BYTES, _STEP_S = 20, 2_000, 0.01
# `platform_slow`: answers of 4 ms take 60 times as long, for 4.5 s at most. The
# last delayed answers come 0.24 s after the phase.
_SLOW_MS, _SLOW_S = 240, 4.2
# From the jobs' submission until the added gateway takes part.
_LEAD_S = 0.85
_GATEWAYS = 2
_PARTITIONS = 24
_FINISH_S = 18.0
_CALM_S, _IDLE_S = 5.0, 3.0


def _moving_jobs(gateways: int, first: int) -> list[str]:
    """Returns ids of jobs whose partitions an added gateway will get.

    The store deals the partitions in turn; with one more than `gateways`, the
    jobs of each partition that the last one gets have such ids.
    """
    names = (f"{n:016x}" for n in range(first, first + 1_000))
    moving = [
        name
        for name in names
        if xxhash.xxh64_intdigest(f"kaje/{name}".encode())
        % _PARTITIONS
        % (gateways + 1)
        == gateways
    ]
    return moving[:_JOBS]


async def _read_forever(
    fleet: h.Fleet, name: str, listed: dict[int, str]
) -> None:
    """Reads a job's new results twice a second, at one gateway or another."""
    n = 0
    while True:
        n += 1
        gateway = fleet.gateways[n % len(fleet.gateways)]
        answer = await h.read_job(gateway, name, len(listed))
        if answer.status == 200:
            for result in answer.json["results"]:
                listed[len(listed)] = result["id"]
        await asyncio.sleep(0.5)


async def case(fleet: h.Fleet, trouble: bool) -> bool:
    """Adds a gateway while jobs run and, with trouble, the store is slow."""
    fleet.routes = [h.route("b", "batch", **h.BATCH)]
    await fleet.configure()
    await fleet.add_replicas(
        5, events=_EVENTS, step_s=_STEP_S, text_bytes=_TEXT_BYTES
    )
    for replica in fleet.replicas:
        replica.quiet = True
    started = time.monotonic()
    await fleet.add_gateways(_GATEWAYS)
    start_s = time.monotonic() - started
    await asyncio.sleep(3.5)
    for n in range(_ROUNDS):
        if not await _add_gateway(fleet, trouble, start_s, n):
            return False
    return True


async def _add_gateway(
    fleet: h.Fleet, trouble: bool, start_s: float, n: int
) -> bool:
    """Adds a gateway while jobs run; returns whether the rules held."""
    gateways = len(fleet.gateways)
    names = _moving_jobs(gateways, n * 10_000)
    jobs = {name: dict[int, str]() for name in names}
    for name in jobs:
        items = [f"{name}-{n}" for n in range(_ITEMS)]
        answer = await h.submit(fleet.gateways[0], name, items)
        fleet.record.note(f"job {name} of {_ITEMS} items: {answer.status}")
        if answer.status != 202:
            raise h.CouldNotRunError("a job was not accepted")
    readers = [
        asyncio.create_task(_read_forever(fleet, name, listed))
        for name, listed in jobs.items()
    ]
    await asyncio.sleep(max(0.0, _LEAD_S - start_s))
    if trouble:
        await fleet.set_store_faults(delay_ms=_SLOW_MS)
    fleet.record.note("a gateway is added")
    added = fleet.make_gateway(f"front-{gateways}", "zone-0")
    added.start(fleet.seeds)
    await asyncio.sleep(_SLOW_S)
    await fleet.set_store_faults()
    until = time.monotonic() + _FINISH_S + _CALM_S
    while time.monotonic() < until:
        await asyncio.sleep(1.0)
        if all(len(listed) == _ITEMS for listed in jobs.values()):
            break
    for reader in readers:
        reader.cancel()
    return _check(fleet, jobs)


def _check(fleet: h.Fleet, jobs: dict[str, dict[int, str]]) -> bool:
    """Returns whether the rules held."""
    now = time.monotonic()
    runs = fleet.runs()
    calm = all(run.ended and now - run.ended > _CALM_S for run in runs)
    held = True
    for name, listed in jobs.items():
        ids = set(listed.values())
        missing = [
            f"{name}-{n}" for n in range(_ITEMS) if f"{name}-{n}" not in ids
        ]
        twice = len(listed) - len(ids)
        fleet.record.note(
            f"job {name}: {len(listed)} results, {len(missing)} items are not"
            f" listed {missing[:8]}, {twice} stand twice"
        )
        for item in missing[:8]:
            outcomes = [r.outcome for r in runs if r.request_id == item]
            fleet.record.note(f"runs of {item}: {outcomes}")
        held = held and not twice and not (missing and calm)
    last = max((run.ended for run in runs), default=now)
    fleet.record.note(
        f"LOST: the last run ended {now - last:.1f} s ago, and no replica has"
        f" had an item for {_CALM_S:.0f} s: {calm}"
    )
    return held


h.main(case, pathlib.Path(__file__).resolve().parent)
