"""Runs the soak: `python -m soak --seed N --seconds S --gateways G`.

Callers send streams and jobs to gateways as real processes, over open and new
connections, while faults are injected from outside. Promises are checked while
it runs and at the end; a line of JSON tells the result, and the exit code is 1
if a promise was broken. The logs stay for a run that failed.
"""

import json
import pathlib
import random
import sys
import tempfile

import cyclopts
import trio

from devtools import fleet as fleets
from soak import callers as callers_lib
from soak import checks
from soak import faults as faults_lib
from soak import proxy as proxies

_SETTLE_S = 25.0
_EVENTS = 8

app = cyclopts.App(name="soak", help=__doc__)


@app.default
def main(
    *,
    seed: int = 1,
    seconds: float = 12.0,
    gateways: int = 4,
    replicas: int = 3,
    callers: int = 6,
) -> None:
    """Plays one seed."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    shape = fleets.Shape(gateways=0, replicas=replicas, events=_EVENTS)
    with fleets.running(shape, directory) as fleet:
        report = trio.run(
            _play, fleet, random.Random(seed), seconds, gateways, callers
        )
    report = {"seed": seed, **report}
    if report["broken"]:
        report["logs"] = str(directory)
    print(json.dumps(report), flush=True)
    sys.exit(1 if report["broken"] else 0)


async def _play(
    fleet: fleets.Fleet,
    rng: random.Random,
    seconds: float,
    gateways: int,
    callers: int,
) -> dict[str, object]:
    async with trio.open_nursery() as nursery:
        ways = []
        for n in range(gateways):
            way = proxies.Proxy(fleet.store_address)
            await nursery.start(way.run)
            ways.append(way)
            fleet.add_gateway(f"gateway-{n}", f"zone-{n % 2}", way.address)
        await trio.to_thread.run_sync(fleet.wait_ready)
        faults = faults_lib.Faults(fleet, ways, rng)
        group = callers_lib.Callers(fleet, rng, _EVENTS)
        async with trio.open_nursery() as calling:
            for _ in range(callers):
                calling.start_soon(group.send_streams)
            calling.start_soon(group.send_jobs)
            await faults.play(seconds)
            calling.cancel_scope.cancel()
        await _end_faults(fleet, ways)
        await group.read_until_done(_SETTLE_S)
        runs = await trio.to_thread.run_sync(fleet.runs)
        nursery.cancel_scope.cancel()
    broken = [
        *group.broken,
        *checks.check_runs(group.sent, runs),
        *checks.check_jobs(group.jobs, runs),
    ]
    served = sum(sent.status == 200 and sent.whole for sent in group.sent)
    return {
        "broken": broken,
        "requests": len(group.sent),
        "served": served,
        "jobs": len(group.jobs),
        "accepted": sum(job.accepted for job in group.jobs),
        "faults": faults.log,
    }


async def _end_faults(fleet: fleets.Fleet, ways: list[proxies.Proxy]) -> None:
    for way in ways:
        way.set_mode(proxies.Mode.PASS)
    for process in (fleet.store, *fleet.replicas):
        await trio.to_thread.run_sync(fleet.set_faults, process)
    for gateway in fleet.gateways:
        if not gateway.running:
            gateway.start()
    await trio.to_thread.run_sync(fleet.wait_ready)


if __name__ == "__main__":
    app()
