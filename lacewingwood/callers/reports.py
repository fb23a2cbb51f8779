"""Polling of engines' load reports and cache events at a limited rate."""

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

# A report and its cache events take about half a kilobyte, so that this rate
# stays below the 15 KB/s that a node may spend on control traffic.
_MAX_POLLS_PER_S = 20
_POLL_INTERVAL_MS = 1000 / _MAX_POLLS_PER_S
# Intervals for one replica: busy ones have requests in flight from here, or
# failures.
_BUSY_INTERVAL_MS = 500.0
_IDLE_INTERVAL_MS = 5000.0
_MAX_CONCURRENT_POLLS = 8
# The replicas to poll are chosen for this interval at once; looking through
# 2,000 replicas for each poll would cost too much.
_PLAN_INTERVAL_MS = 500.0
_PLAN_SIZE = int(_PLAN_INTERVAL_MS / _POLL_INTERVAL_MS)


class ReportPoller:
    """Polls engines in turn; busy ones more often than idle ones."""

    __slots__ = (
        "_clock",
        "_engines",
        "_next_serial",
        "_planned_ms",
        "_polled_ms",
        "_polling",
        "_queue",
        "_router",
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
        self._polled_ms: dict[str, float] = {}
        self._next_serial: dict[str, int] = {}
        self._polling: set[str] = set()
        self._queue: collections.deque[replicas_module.Replica]
        self._queue = collections.deque()
        self._planned_ms = -math.inf

    async def run_forever(self) -> None:
        """Polls engines until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                replica = self._next(self._clock.now_ms())
                if replica is not None:
                    nursery.start_soon(self._poll, replica)
                await self._clock.sleep_ms(_POLL_INTERVAL_MS)

    def _next(self, now_ms: float) -> replicas_module.Replica | None:
        """Returns the next replica to poll, None if none is due."""
        if len(self._polling) >= _MAX_CONCURRENT_POLLS:
            return None
        if not self._queue and now_ms - self._planned_ms >= _PLAN_INTERVAL_MS:
            self._planned_ms = now_ms
            self._queue.extend(self._most_overdue(now_ms))
        return self._queue.popleft() if self._queue else None

    def _most_overdue(self, now_ms: float) -> list[replicas_module.Replica]:
        """Returns the most overdue replicas, at most one plan's number."""
        due = [
            (overdue, replica)
            for replica in self._router.fleet.all()
            if (overdue := self._overdue(replica, now_ms)) >= 1
        ]
        selected = heapq.nlargest(_PLAN_SIZE, due, key=lambda pair: pair[0])
        return [replica for _, replica in selected]

    def _overdue(
        self, replica: replicas_module.Replica, now_ms: float
    ) -> float:
        """Returns the time since the last poll, in the replica's intervals."""
        if replica.id in self._polling:
            return 0.0
        age_ms = now_ms - self._polled_ms.get(replica.id, -math.inf)
        busy = replica.own_in_flight or replica.failures
        return age_ms / (_BUSY_INTERVAL_MS if busy else _IDLE_INTERVAL_MS)

    async def _poll(self, replica: replicas_module.Replica) -> None:
        polled_ms = self._clock.now_ms()
        self._polled_ms[replica.id] = polled_ms
        self._polling.add(replica.id)
        try:
            report = await self._engines.load(replica.address)
            self._apply_report(replica, report, polled_ms)
            await self._poll_cache_events(replica)
        except upstream_errors.UpstreamError:
            pass  # Requests to the replica detect its failures.
        finally:
            self._polling.discard(replica.id)

    def _apply_report(
        self,
        replica: replicas_module.Replica,
        report: upstream_types.LoadReport,
        polled_ms: float,
    ) -> None:
        if replica.boot_id and replica.boot_id != report.boot_id:
            self._router.affinity.note_restart(replica.id)
            self._next_serial.pop(replica.id, None)
        self._router.fleet.apply_load(replica.id, report)
        self._suspects.retract_unless_restarted(
            replica.id, report.boot_id, polled_ms
        )

    async def _poll_cache_events(
        self, replica: replicas_module.Replica
    ) -> None:
        start = self._next_serial.get(replica.id, 0)
        events = await self._engines.cache_events(replica.address, start)
        self._router.affinity.apply_events(replica.id, events)
        if events:
            self._next_serial[replica.id] = events[-1].serial + 1
