"""Reads engine statistics and CPU times from running processes."""

import dataclasses
import json
import os
import pathlib
import time
from typing import Any

import httpcore
import trio

from devtools import deployment

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_ENDED_EARLY = ("cancelled", "disconnected")


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """Totals over all engines since their start.

    Attributes:
        busy_ms: Time that slots were taken, summed over the slots.
        total_ms: Uptime, summed over the slots.
        tokens: Number of tokens generated.
    """

    busy_ms: float
    total_ms: float
    tokens: int

    def since(self, before: "Usage") -> "Usage":
        """Returns the difference from an earlier reading."""
        return Usage(
            self.busy_ms - before.busy_ms,
            self.total_ms - before.total_ms,
            self.tokens - before.tokens,
        )


async def stats(pool: httpcore.AsyncConnectionPool, address: str) -> Any:
    """Returns an engine's statistics."""
    response = await pool.request("GET", f"http://{address}/stats?runs=0")
    return json.loads(response.content)


async def usage(
    pool: httpcore.AsyncConnectionPool, addresses: list[str]
) -> Usage:
    """Reads the statistics of all engines and adds them up."""
    all_stats = [await stats(pool, address) for address in addresses]
    return Usage(
        sum(s["busy_slot_ms"] for s in all_stats),
        sum(s["total_slot_ms"] for s in all_stats),
        sum(s["tokens"] for s in all_stats),
    )


class Cpu:
    """CPU time of processes since the creation of this object."""

    def __init__(self, processes: list[deployment.Process]) -> None:
        self._pids = {p.name: p.pid for p in processes if p.running}
        self._pids["load generator"] = os.getpid()
        self._started = time.monotonic()
        self._before = {n: _read_cpu_s(pid) for n, pid in self._pids.items()}

    def shares(self) -> dict[str, float]:
        """Returns the highest share of a core for each kind of process."""
        elapsed_s = time.monotonic() - self._started
        highest: dict[str, float] = {}
        for name, pid in self._pids.items():
            kind = name.split(".")[0].rstrip("0123456789-")
            share = (_read_cpu_s(pid) - self._before[name]) / elapsed_s
            highest[kind] = round(max(highest.get(kind, 0), share), 3)
        return highest


def _read_cpu_s(pid: int) -> float:
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


class YieldMonitor:
    """Detects streams that end before they are complete, by polling engines.

    A change of the counts lies between two polls; the time of the later poll
    is taken as that of the change.

    Attributes:
        changes: For each change, the times of the polls before and after it
            and the number of streams that ended.
        polls_s: Times between polls of one engine.
    """

    def __init__(
        self, pool: httpcore.AsyncConnectionPool, addresses: list[str]
    ) -> None:
        self.changes: list[tuple[float, float, int]] = []
        self.polls_s: list[float] = []
        self._pool = pool
        self._addresses = addresses

    async def run(
        self,
        period_s: float,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Polls until cancelled; reports when all engines were read once."""
        async with trio.open_nursery() as nursery:
            for address in self._addresses:
                await nursery.start(self._poll, address, period_s)
            task_status.started()

    async def _poll(
        self,
        address: str,
        period_s: float,
        task_status: trio.TaskStatus[None],
    ) -> None:
        last_ended = await self._ended(address)
        last_s = time.perf_counter()
        task_status.started()
        while True:
            await trio.sleep(period_s)
            requested_s = time.perf_counter()
            ended = await self._ended(address)
            now_s = time.perf_counter()
            if ended != last_ended:
                self.changes.append((last_s, now_s, ended - last_ended))
            self.polls_s.append(now_s - last_s)
            last_ended, last_s = ended, requested_s

    async def _ended(self, address: str) -> int:
        outcomes = (await stats(self._pool, address))["outcomes"]
        return sum(outcomes.get(name, 0) for name in _ENDED_EARLY)
