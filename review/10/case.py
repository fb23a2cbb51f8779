"""A request crashes each replica some events after it begins to run there.

Its caller sends it again and again, in turn at all gateways, as PROTOCOL.md
tells of such requests: with the same path, caller and body. Other callers send
ordinary requests all the while, on a route whose streams can't be resumed.
"""

import asyncio
import collections
import os
import pathlib
import secrets
import sys
import tempfile
import time

from lib2 import gateway as gateways
from lib2 import http_client
from lib2 import http_server
from lib2 import replica as replicas
from lib2 import store as stores

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Events that a replica sends of the request before it crashes.
CRASH_AFTER = int(os.environ.get("CRASH_AFTER", "3"))
GATEWAYS = 3
REPLICAS = 8
EVENTS = 26
STEP_MS = 20.0
BACK_S = 3.0
# The request comes again this long after its last answer, so often.
AGAIN_S = 3.0
TIMES = 12
ORDINARY_PER_S = 10.0
# Bounds of the sheet and of the rule.
CONTACT_S = 3.0
MOST_RETRIES = 3

_record: list[str] = []
_started = time.time()


def note(text: str) -> None:
    """Adds a line to the record."""
    line = f"{time.time() - _started:8.3f} s  {text}"
    _record.append(line)
    print(line, flush=True)


async def send(address: str, path: str, prompt: str) -> tuple[int, bool]:
    """Sends a request; returns the status and whether the answer is whole."""
    request_id = secrets.token_hex(8)
    status, data = await http_client.call(
        address,
        "POST",
        path,
        {
            "Host": gateways.HOST,
            "Request-Id": request_id,
            "Deadline-Ms": "5000",
            "Authorization": f"Bearer {gateways.KEY}",
            "Model-Id": "m",
            "Token-Count": "350,26",
            "Prompt-Prefix": prompt,
        },
        b"{}",
    )
    return status, data.endswith(b"0\r\n\r\n")


class Ordinary:
    """Ordinary requests at an even rate, to all gateways in turn."""

    def __init__(self, fleet: list[gateways.Gateway]) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._fleet = fleet
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Sends until cancelled."""
        count = 0
        while True:
            gateway = self._fleet[count % len(self._fleet)]
            count += 1
            task = asyncio.ensure_future(self._send(gateway.address))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / ORDINARY_PER_S)

    async def _send(self, address: str) -> None:
        own = secrets.token_hex(4)
        path = f"/wuny96/{own}"
        status, whole = await send(address, path, f"5c1e07a2:100,{own}:250")
        self.outcomes[f"{status}{'' if whole else ' not whole'}"] += 1


async def main(folder: pathlib.Path) -> int:
    """Plays the case; returns the exit code."""
    store = stores.Store()
    server, store_address = await http_server.serve(store.handle)
    store.put("keyed.op", "config", gateways.configuration(11))
    deadly_path = "/lohu930/deadly"
    fleet_replicas = []
    for _ in range(REPLICAS):
        replica = replicas.Replica(
            store, gateways.SERVICE, events=EVENTS, step_ms=STEP_MS
        )
        if TROUBLE:
            replica.crash_path = deadly_path
        replica.crash_after, replica.back_s = CRASH_AFTER, BACK_S
        await replica.start()
        fleet_replicas.append(replica)
    fleet = [
        gateways.Gateway(f"front-{n}", f"zone-{n}", store_address, folder)
        for n in range(GATEWAYS)
    ]
    try:
        for gateway in fleet:
            gateway.write_settings([g.control for g in fleet])
            gateway.start()
        if not await asyncio.to_thread(gateways.wait_ready, fleet):
            note("the gateways did not become ready")
            return 2
        note("the gateways are ready")
        await asyncio.sleep(5)
        return await play(fleet_replicas, fleet, deadly_path)
    finally:
        for gateway in fleet:
            gateway.kill()
        server.close()


async def play(
    fleet_replicas: list[replicas.Replica],
    fleet: list[gateways.Gateway],
    path: str,
) -> int:
    """Sends ordinary requests, and the deadly one again and again."""
    ordinary = Ordinary(fleet)
    sending = asyncio.ensure_future(ordinary.run())
    for n in range(TIMES):
        address = fleet[n % GATEWAYS].address
        status, whole = await send(address, path, "5c1e07a2:100,91bd3f06:250")
        note(f"attempt {n + 1} of the request: {status}, whole: {whole}")
        await asyncio.sleep(AGAIN_S)
    sending.cancel()
    await asyncio.sleep(1)
    crashes = sorted(at for r in fleet_replicas for at in r.crashes)
    runs = sorted(
        (float(str(run["at"])), str(run["replica"]), run["first"], run["last"])
        for replica in fleet_replicas
        for run in replica.runs
        if run["path"] == path
    )
    for at, replica_id, first, last in runs:
        note(
            f"second {at - _started:7.3f}: run at {replica_id}, "
            f"events {first} to {last}"
        )
    note("crashes at " + ", ".join(f"{at - _started:.3f}" for at in crashes))
    note(f"ordinary requests: {dict(ordinary.outcomes)}")
    if len(crashes) < 3:
        note("the rule held: the request crashed fewer than three replicas")
        return 0
    limit = crashes[2] + CONTACT_S
    late = sum(at > limit for at, *_ in runs)
    note(
        f"sent to replicas later than {CONTACT_S:g} s after the third crash: "
        f"{late}; allowed are {MOST_RETRIES}"
    )
    if late > MOST_RETRIES:
        note("BROKEN: the request reached replicas in more retries")
        return 1
    note("the rule held")
    return 0


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as name:
        code = asyncio.run(main(pathlib.Path(name)))
    record = pathlib.Path(__file__).with_name("record.txt")
    record.write_text("\n".join(_record) + "\n", encoding="utf-8")
    sys.exit(code)
