"""Engines' load reports and cache events, fetched within a fixed budget."""

import collections
import heapq
import math

import trio

from lacewingwood import clock as clocks
from lacewingwood.callers import dependencies
from lacewingwood.routing import replicas as replicas_module
from lacewingwood.routing import router as routers
from lacewingwood.routing import suspects as suspects_module
from lacewingwood.upstreams import errors as upstream_errors
from lacewingwood.upstreams import types as upstream_types

# A report and its events take about half a kilobyte, so that this rate stays
# below the 15 KB/s that a node may spend on control traffic.
_POLLS_PER_S = 20
_TICK_MS = 1000 / _POLLS_PER_S
# Replicas with requests in flight from here, or failures, are asked this often
# at most.
_BUSY_AGE_MS = 500.0
_IDLE_AGE_MS = 5000.0
_MAX_RUNNING = 8
# Looking through 2,000 replicas for each request would cost too much.
_PLAN_MS = 500.0
_PLAN_SIZE = int(_PLAN_MS / _TICK_MS)


class ReportPoller:
    """Asks engines in turn, those that are in use first."""

    __slots__ = (
        "_asked_ms",
        "_clock",
        "_due",
        "_engines",
        "_next_serial",
        "_planned_ms",
        "_router",
        "_running",
        "_suspects",
    )

    def __init__(
        self,
        engines: dependencies.EngineClient,
        router: routers.Router,
        suspects: suspects_module.Suspects,
        clock: clocks.Clock,
    ) -> None:
        self._engines = engines
        self._router = router
        self._suspects = suspects
        self._clock = clock
        self._asked_ms: dict[str, float] = {}
        self._next_serial: dict[str, int] = {}
        self._running: set[str] = set()
        self._due: collections.deque[replicas_module.Replica]
        self._due = collections.deque()
        self._planned_ms = -math.inf

    async def run_forever(self) -> None:
        """Asks one engine after the other."""
        async with trio.open_nursery() as nursery:
            while True:
                replica = self._next(self._clock.now_ms())
                if replica is not None:
                    nursery.start_soon(self._ask, replica)
                await self._clock.sleep_ms(_TICK_MS)

    def _next(self, now_ms: float) -> replicas_module.Replica | None:
        """Returns the next replica to ask, if any is due."""
        if len(self._running) >= _MAX_RUNNING:
            return None
        if not self._due and now_ms - self._planned_ms >= _PLAN_MS:
            self._planned_ms = now_ms
            self._due.extend(self._plan(now_ms))
        return self._due.popleft() if self._due else None

    def _plan(self, now_ms: float) -> list[replicas_module.Replica]:
        """Returns the most overdue replicas, as many as may be asked."""
        due = [
            (overdue, replica)
            for replica in self._router.fleet.all()
            if (overdue := self._overdue(replica, now_ms)) >= 1
        ]
        first = heapq.nlargest(_PLAN_SIZE, due, key=lambda pair: pair[0])
        return [replica for _, replica in first]

    def _overdue(
        self, replica: replicas_module.Replica, now_ms: float
    ) -> float:
        """Returns the age of a report as a multiple of what it may be."""
        if replica.id in self._running:
            return 0.0
        age_ms = now_ms - self._asked_ms.get(replica.id, -math.inf)
        wanted = replica.own or replica.failures
        return age_ms / (_BUSY_AGE_MS if wanted else _IDLE_AGE_MS)

    async def _ask(self, replica: replicas_module.Replica) -> None:
        asked_ms = self._clock.now_ms()
        self._asked_ms[replica.id] = asked_ms
        self._running.add(replica.id)
        try:
            report = await self._engines.load(replica.address)
            self._apply(replica, report, asked_ms)
            await self._ask_events(replica)
        except upstream_errors.UpstreamError:
            pass  # Requests find out what is wrong.
        finally:
            self._running.discard(replica.id)

    def _apply(
        self,
        replica: replicas_module.Replica,
        report: upstream_types.LoadReport,
        asked_ms: float,
    ) -> None:
        if replica.boot_id and replica.boot_id != report.boot_id:
            self._router.affinity.restarted(replica.id)
            self._next_serial.pop(replica.id, None)
        self._router.fleet.apply_load(replica.id, report)
        self._suspects.survived(replica.id, report.boot_id, asked_ms)

    async def _ask_events(self, replica: replicas_module.Replica) -> None:
        start = self._next_serial.get(replica.id, 0)
        events = await self._engines.cache_events(replica.address, start)
        self._router.affinity.apply_events(replica.id, events)
        if events:
            self._next_serial[replica.id] = events[-1].serial + 1
