"""Tests of what callers get while more wants to run than there are slots.

The load is that of a large deployment with a sixth of its replicas gone; what
the earlier decisions gave on it is in docs/decisions/contention.md.
"""

import statistics

import msgspec
import trio
from trio import testing as trio_testing

from lacewingwood.peers import gateway_messages
from lacewingwood.routing import slot_client
from lacewingwood.routing import slots as slots_lib
from tests.routing import fleets

_ONLINE_PER_S = 138.0
_JOBS_PER_S = 1.7
_VALLEY_S, _PEAK_S = 3.4, 2.4


async def test_peaks_stop_few_items_and_delay_none(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against items begun in vain, and against idle slots instead."""
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(
            nursery, gateways=32, replicas=25, zones=3, contention=True
        )
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
        fleet = fleets.Fleet(nursery, gateways=20, replicas=10, contention=True)
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


async def test_refusal_of_all_shards_comes_at_once(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a refusal that comes as late as a response.

    One shard that does not refuse is enough to wait there.
    """
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(
            nursery, gateways=20, replicas=2, slots=1, contention=True
        )
        client = fleet.gateways[0].client
        slots = [await client.acquire(fleets.make_request()) for _ in range(2)]
        hopeless = {"lm/z0/0", "lm/z1/0"}
        for gateway in fleet.gateways:
            _answer_hopeless(gateway, hopeless)
        started = trio.current_time()
        req = fleets.make_request()
        assert await client.acquire(req) is None
        assert req.hopeless
        assert trio.current_time() - started <= 0.25 * fleets.OBJECTIVE_MS / 1e3
        hopeless.remove("lm/z1/0")
        nursery.start_soon(_release_later, client, slots)
        assert await client.acquire(fleets.make_request()) is not None
        nursery.cancel_scope.cancel()


def _answer_hopeless(gateway: fleets.Gateway, shards: set[str]) -> None:
    """Makes a gateway refuse what waits in some shards."""
    ask = gateway.server.ask

    def answer(
        message: gateway_messages.SlotAsk,
    ) -> gateway_messages.SlotAnswer:
        hopeless = message.shard in shards
        return msgspec.structs.replace(ask(message), hopeless=hopeless)

    gateway.server.ask = answer  # type: ignore[method-assign]


async def _release_later(
    client: slot_client.SlotClient, slots: list[slots_lib.Slot | None]
) -> None:
    await trio.sleep(1)
    for slot in slots:
        assert slot is not None
        client.release(slot)
