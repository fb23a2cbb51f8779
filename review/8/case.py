"""All gateways but one are lost while large batch jobs are open.

The script plays the platform's part as DEPLOY.md tells it: a process that
exceeds the `memory_mb` of its settings is killed, and started again after a
short delay. The jobs are as large as the configuration allows.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import secrets
import signal
import sys
import tempfile
import time

from lib2 import gateway as gateways
from lib2 import http_client
from lib2 import http_server
from lib2 import replica as replicas
from lib2 import store as stores

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS = 5
# The machines of the site have 128 to 552 MB.
MEMORY_MB = 170
JOBS = 56
ITEMS = 14
# The site's largest item bodies have 420,000 bytes. A job has 4.0 MB, of the
# 4,194,304 bytes that `max_body_bytes` allows.
BODY_BYTES = 215_000
# The site has 3.2 a second.
JOBS_PER_S = 1.5
RESTART_S = 1.0
# `finish_s` of the sheet; then the jobs are read, again after each failure.
FINISH_S = 18.0
READING_S = 20.0

_record: list[str] = []
_started = time.monotonic()


def note(text: str) -> None:
    """Adds a line to the record."""
    line = f"{time.monotonic() - _started:8.3f} s  {text}"
    _record.append(line)
    print(line, flush=True)


def headers(request_id: str) -> dict[str, str]:
    """Returns the headers of a client's request."""
    return {
        "Host": gateways.HOST,
        "Authorization": f"Bearer {gateways.KEY}",
        "Request-Id": request_id,
        "Content-Type": "application/json",
    }


def make_job() -> tuple[str, bytes]:
    """Returns a job's id and its body."""
    items = []
    for _ in range(ITEMS):
        item_id = secrets.token_hex(8)
        body = secrets.token_bytes(BODY_BYTES)
        items.append(
            {
                "id": item_id,
                "path": f"/pule252/3/{item_id}",
                "headers": {"Model-Id": "m", "Token-Count": "350,200"},
                "body": base64.b64encode(body).decode(),
                "tokens": 550,
            }
        )
    return secrets.token_hex(8), json.dumps({"items": items}).encode()


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process."""
    try:
        text = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


class Platform:
    """Kills processes that exceed their memory, and starts them again."""

    def __init__(self, fleet: list[gateways.Gateway]) -> None:
        self.gone: set[str] = set()
        self.kills = 0
        self.peaks: dict[str, float] = collections.defaultdict(float)
        self._fleet = fleet
        self._due: dict[str, float] = {}

    async def run(self) -> None:
        """Watches until cancelled."""
        while True:
            for gateway in self._fleet:
                if gateway.name not in self.gone:
                    self._watch(gateway)
            await asyncio.sleep(0.05)

    def _watch(self, gateway: gateways.Gateway) -> None:
        now = time.monotonic()
        if not gateway.running:
            due = self._due.setdefault(gateway.name, now + RESTART_S)
            if now >= due:
                del self._due[gateway.name]
                gateway.start()
            return
        assert gateway.process is not None
        used = resident_mb(gateway.process.pid)
        self.peaks[gateway.name] = max(self.peaks[gateway.name], used)
        if used > MEMORY_MB:
            self.kills += 1
            note(f"{gateway.name} has {used:.0f} MB and is killed")
            gateway.signal(signal.SIGKILL)


async def main(folder: pathlib.Path) -> int:
    """Plays the case; returns the exit code."""
    store = stores.Store()
    server, store_address = await http_server.serve(store.handle)
    store.put("keyed.op", "config", gateways.configuration(11))
    fleet_replicas = [
        replicas.Replica(store, gateways.SERVICE, events=180, step_ms=60.0)
        for _ in range(3)
    ]
    for replica in fleet_replicas:
        await replica.start()
    fleet = [
        gateways.Gateway(
            f"front-{n}", f"zone-{n}", store_address, folder, MEMORY_MB
        )
        for n in range(GATEWAYS)
    ]
    try:
        for gateway in fleet:
            gateway.write_settings([g.control for g in fleet[:3]])
            gateway.start()
        if not await asyncio.to_thread(gateways.wait_ready, fleet):
            note("the gateways did not become ready")
            return 2
        note("the gateways are ready")
        await asyncio.sleep(5)
        return await play(fleet)
    finally:
        for gateway in fleet:
            gateway.kill()
        server.close()


async def play(fleet: list[gateways.Gateway]) -> int:
    """Submits the jobs, loses gateways and reads the jobs."""
    platform = Platform(fleet)
    watching = asyncio.ensure_future(platform.run())
    accepted: list[str] = []
    for n in range(JOBS):
        due = time.monotonic() + 1 / JOBS_PER_S
        job_id, body = make_job()
        status, _ = await http_client.call(
            fleet[n % GATEWAYS].address,
            "POST",
            f"/pule252/{job_id}",
            headers(job_id),
            body,
        )
        if status == 202:
            accepted.append(job_id)
        else:
            note(f"job {job_id}: {status}")
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    note(f"{len(accepted)} of {JOBS} jobs are accepted")
    note_peaks(platform)
    if platform.kills:
        note("a process exceeded its memory before the disruption")
        return 2
    if TROUBLE:
        for gateway in fleet[1:]:
            platform.gone.add(gateway.name)
            gateway.signal(signal.SIGKILL)
        note(f"{GATEWAYS - 1} of {GATEWAYS} machines are lost for good")
    await asyncio.sleep(FINISH_S)
    unread = await read_all(fleet[0], accepted)
    note_peaks(platform)
    watching.cancel()
    note(f"processes killed for their memory: {platform.kills}")
    note(f"jobs that can't be read: {len(unread)} of {len(accepted)}")
    if unread:
        note("BROKEN: accepted jobs can't be read")
        return 1
    note("the rule held")
    return 0


async def read_all(gateway: gateways.Gateway, jobs: list[str]) -> set[str]:
    """Reads each job from the start; returns those that never answer 200."""
    unread = set(jobs)
    end = time.monotonic() + READING_S
    statuses: collections.Counter[int] = collections.Counter()
    while unread and time.monotonic() < end:
        for job_id in sorted(unread):
            if time.monotonic() > end:
                break
            status, _ = await http_client.call(
                gateway.address,
                "GET",
                f"/-/lots/{job_id}?after=0",
                headers(secrets.token_hex(8)),
                timeout_s=2.5,
            )
            statuses[status] += 1
            if status == 200:
                unread.discard(job_id)
        await asyncio.sleep(0.5)
    note(f"answers to reads by status: {dict(statuses)}")
    return unread


def note_peaks(platform: Platform) -> None:
    """Records the peaks of memory so far."""
    peaks = ", ".join(f"{n} {mb:.0f}" for n, mb in platform.peaks.items())
    note(f"most MB so far: {peaks}; allowed are {MEMORY_MB}")


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as name:
        code = asyncio.run(main(pathlib.Path(name)))
    path = pathlib.Path(__file__).with_name("record.txt")
    path.write_text("\n".join(_record) + "\n", encoding="utf-8")
    sys.exit(code)
