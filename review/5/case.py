"""A finished job is answered 404 once the route that took it is removed."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import harness as h

_BATCH_HOST = "night.example"
_JOB = "7c41e09b52d6a3f8"
_ITEMS = 10
_SETTLE_S = 1.0
_READS = 4


async def _read(gateway: h.Gateway) -> h.Answer:
    headers = {**h.caller_headers(""), "Host": _BATCH_HOST}
    path = f"/-/lots/{_JOB}?after=0"
    return await h.call(gateway.address, "GET", path, b"", headers)


async def case(fleet: h.Fleet, trouble: bool) -> bool:
    """Removes the batch route after all results have been read."""
    online = h.route("s", "streaming", resumable=True, gap_aim_ms=250)
    batch = {**h.route("b", "batch", **h.BATCH), "host": _BATCH_HOST}
    fleet.routes = [online, batch]
    await fleet.configure()
    await fleet.add_replicas(4)
    for replica in fleet.replicas:
        replica.quiet = True
    await fleet.add_gateways(3)
    await asyncio.sleep(3.5)
    items = [f"{_JOB}-{n}" for n in range(_ITEMS)]
    answer = await h.submit(fleet.gateways[0], _JOB, items, host=_BATCH_HOST)
    accepted = time.monotonic()
    fleet.record.note(f"job {_JOB} of {_ITEMS} items: {answer.status}")
    before: bytes = b""
    while time.monotonic() - accepted < 18:
        await asyncio.sleep(0.5)
        answer = await _read(fleet.gateways[1])
        if answer.status == 200 and len(answer.json["results"]) == _ITEMS:
            before = answer.body
            break
    if not before:
        raise h.CouldNotRunError("the job was not done in time")
    fleet.record.note(f"read before: 200, {_ITEMS} results")
    if trouble:
        fleet.routes = [online]
    await fleet.configure()
    broken = 0
    for _ in range(_READS):
        await asyncio.sleep(2.5)
        age_s = time.monotonic() - accepted
        for gateway in fleet.gateways:
            answer = await _read(gateway)
            lost = answer.status in (404, 410) and age_s > _SETTLE_S
            changed = answer.status == 200 and answer.body != before
            broken += lost or changed
            fleet.record.note(
                f"read {age_s:.1f} s after the 202 at {gateway.name}:"
                f" {answer.status} {answer.body[:60]!r}"
            )
    fleet.record.note(
        f"LOST: {broken} of {_READS * 3} reads are without the job"
    )
    return broken == 0


h.main(case, pathlib.Path(__file__).resolve().parent)
