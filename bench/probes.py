"""Readings taken from running processes: engines' statistics and CPU time."""

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
    """What all engines have done since they were started."""

    busy_ms: float
    total_ms: float
    tokens: int

    def since(self, before: "Usage") -> "Usage":
        """Returns what was done after `before`."""
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
    """Adds up what the engines have done."""
    all_stats = [await stats(pool, address) for address in addresses]
    return Usage(
        sum(s["busy_slot_ms"] for s in all_stats),
        sum(s["total_slot_ms"] for s in all_stats),
        sum(s["tokens"] for s in all_stats),
    )


class Cpu:
    """CPU time of processes since this object was made."""

    def __init__(self, processes: list[deployment.Process]) -> None:
        self._pids = {p.name: p.pid for p in processes if p.running}
        self._pids["load generator"] = os.getpid()
        self._started = time.monotonic()
        self._before = {n: _cpu_s(pid) for n, pid in self._pids.items()}

    def shares(self) -> dict[str, float]:
        """Returns each kind of process's highest share of a core."""
        elapsed = time.monotonic() - self._started
        highest: dict[str, float] = {}
        for name, pid in self._pids.items():
            kind = name.split(".")[0].rstrip("0123456789-")
            share = (_cpu_s(pid) - self._before[name]) / elapsed
            highest[kind] = round(max(highest.get(kind, 0), share), 3)
        return highest


def _cpu_s(pid: int) -> float:
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


class YieldWatch:
    """Sees when engines' streams are ended before they are complete.

    Polls the engines' statistics; a change is known to lie between two
    samples, and the later one is taken.

    Attributes:
        changes: For each change, the times of the samples around it and the
            streams that it ended.
        polls_s: Times between samples of one engine.
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
        """Polls until cancelled; reports when all have been read once."""
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
        last = await self._ended(address)
        last_at = time.perf_counter()
        task_status.started()
        while True:
            await trio.sleep(period_s)
            asked = time.perf_counter()
            ended = await self._ended(address)
            now = time.perf_counter()
            if ended != last:
                self.changes.append((last_at, now, ended - last))
            self.polls_s.append(now - last_at)
            last, last_at = ended, asked

    async def _ended(self, address: str) -> int:
        outcomes = (await stats(self._pool, address))["outcomes"]
        return sum(outcomes.get(name, 0) for name in _ENDED_EARLY)
