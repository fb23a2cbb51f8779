"""Tests of polling engines' load reports and cache events."""

import collections

import trio
import trio.testing

from lacewingwood import clock as clocks
from lacewingwood.callers import reports
from lacewingwood.upstreams import errors as upstream_errors
from lacewingwood.upstreams import types as upstream_types
from tests.callers import fakes


class _Engines(fakes.EngineClient):
    def __init__(self) -> None:
        super().__init__()
        self.asked: collections.Counter[str] = collections.Counter()
        self.starts: list[int] = []
        self.boot_id = "b1"

    async def load(self, address: str) -> upstream_types.LoadReport:
        self.asked[address] += 1
        if address.endswith(":3"):
            raise upstream_errors.ConnectError("down")
        return upstream_types.LoadReport(
            0, 0, 5, 0, 30, False, {}, self.boot_id
        )

    async def cache_events(
        self, address: str, start: int
    ) -> list[upstream_types.CacheEvent]:
        if address.endswith(":1"):
            self.starts.append(start)
        return [upstream_types.CacheEvent(start, True, "ff")]


async def test_reports_are_polled_at_a_limited_rate() -> None:
    """Guards against missing load data and against excessive polling."""
    world = fakes.World()
    engines = _Engines()
    clock = clocks.ManualClock()
    suspects = world.deps.suspects
    fetcher = reports.ReportPoller(engines, world.router, suspects, clock)
    busy = world.router.fleet.get("e1")
    assert busy is not None
    busy.own_in_flight = 1
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fetcher.run_forever)
        for _ in range(200):
            await trio.testing.wait_all_tasks_blocked()
            clock.advance(50)
        assert busy.slots == 5
        assert 18 <= engines.asked["127.0.0.1:1"] <= 20
        assert 2 <= engines.asked["127.0.0.1:2"] <= 3
        assert engines.starts[:3] == [0, 1, 2]
        assert world.router.affinity.preferred((255,)) is not None
        engines.boot_id = "b2"
        suspects.crashed("e1", ["x:1"], clock.now_ms(), "b1")
        for _ in range(40):
            await trio.testing.wait_all_tasks_blocked()
            clock.advance(50)
        assert busy.boot_id == "b2"
        assert engines.starts[-1] < 10, "serial numbers restart with the engine"
        nursery.cancel_scope.cancel()
