"""Tests of what callers get while more wants to run than there are slots.

The load is that of a large deployment with a sixth of its replicas gone; what
the earlier decisions gave on it is in docs/decisions/contention.md.
"""

import statistics

import trio
from trio import testing as trio_testing

from tests.routing import fleets

_ONLINE_PER_S = 138.0
_JOBS_PER_S = 1.7
_VALLEY_S, _PEAK_S = 3.4, 2.4


async def test_peaks_stop_few_items_and_delay_none(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against items begun in vain, and against idle slots instead."""
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(nursery, gateways=32, replicas=25, zones=3)
        nursery.start_soon(fleet.renew_wants)
        nursery.start_soon(fleet.play_jobs, _JOBS_PER_S, 17.4)
        for _ in range(3):
            await fleet.play_online(0.385 * _ONLINE_PER_S, _VALLEY_S, 600)
            await fleet.play_online(1.87 * _ONLINE_PER_S, _PEAK_S, 600)
        await trio.sleep(20)
        outcome = fleet.outcome
        assert outcome.share_within(50) >= 0.99
        assert not any(gateway.waiting_items for gateway in fleet.gateways)
        assert outcome.items_cut <= 0.25 * outcome.items_done
        assert statistics.mean(outcome.item_times_ms) <= 4_800
        nursery.cancel_scope.cancel()


async def test_burst_of_one_customer_delays_the_others_by_little(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a customer that takes all slots by sending more.

    80 slots serve 133 requests a second; 20 customers send 80, one sends 80.
    """
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(nursery, gateways=20, replicas=10)
        nursery.start_soon(fleet.play_online, 80, 6, 600, 20)
        await trio.sleep(1)
        nursery.start_soon(fleet.play_online, 80, 3, 600, 1, "burst")
        await trio.sleep(12)
        waits = fleet.outcome.waits_by_customer
        burst = waits.pop("burst0")
        others = [wait_ms for each in waits.values() for wait_ms in each]
        assert sum(w <= 100 for w in others) >= 0.95 * len(others)
        assert max(others) < 600
        assert max(burst) < 4_000
        assert fleet.outcome.refused == 0
        nursery.cancel_scope.cancel()
