"""Tests of the bound on cold replicas, by playing load on a fleet.

The figures are those of the deployment that has such replicas: 45 of 8 slots,
each taking 7.1 requests a second while it is cold, behind 86 gateways, with
peaks of 350 online requests a second.
"""

import trio
from trio import testing as trio_testing

from lacewingwood import configuration
from lacewingwood.limits import cold_replicas
from lacewingwood.routing import directory
from tests.routing import fleets

_SERVICE = configuration.Service(fleets.SERVICE, 3_000.0, 7.1)
_ALLOWED = 7.1 * 1.5 + 5
_PEAK_PER_S = 350.0
_DURATION_MS = 250.0
_HEARTBEAT_MS = 1_200.0


async def _make_fleet(nursery: trio.Nursery) -> fleets.Fleet:
    """Returns a fleet in which a zone has lost most of its replicas.

    Its gateways ask there first, so its replicas get more than the others.
    """
    fleet = fleets.Fleet(nursery, gateways=86, replicas=45, zones=4)
    fleet.item_ms = 3_000.0
    bounds = cold_replicas.bounds([_SERVICE], 1.5, 5)
    for position, gateway in enumerate(fleet.gateways):
        own = gateway.dispatcher.fleet
        own.limits.cold.configure(bounds)
        for listing in fleet.listings[12::4]:
            own.directory.remove(listing.id, 0)
        own.refresh()
        gateway.dispatcher.turn = lambda position=position: (  # type: ignore[misc]
            position,
            86,
            int(trio.current_time() * 1000),
        )
    # Coordinators that have just started use half of the bound.
    await trio.sleep(2)
    return fleet


def _most_sent(fleet: fleets.Fleet) -> int:
    """Returns the most requests in a second at any replica.

    Any of them may have turned cold at any time.
    """
    return max(replica.most_sent() for replica in fleet.replicas.values())


async def _list_late(fleet: fleets.Fleet, listing: directory.Listing) -> None:
    """Lets the gateways learn a replica's entry within a heartbeat."""
    for gateway in fleet.gateways:
        await trio.sleep(_HEARTBEAT_MS / 86 / 1000)
        gateway.dispatcher.fleet.directory.put(listing)
        gateway.dispatcher.fleet.refresh()


async def test_replicas_may_turn_cold_at_any_time_of_a_peak(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a crash of a replica that no gateway knows to be cold.

    A replica that is added looks idle, and would get what all others lack. At a
    peak the bound may delay one request of a hundred beyond its objective.
    """
    async with trio.open_nursery() as nursery:
        fleet = await _make_fleet(nursery)
        fleet.nursery.start_soon(fleet.renew_wants)
        await fleet.play_online(190, 3, _DURATION_MS)
        for gateway in fleet.gateways[:8]:
            gateway.want(10)
        fleet.replicas["new"] = fleets.Replica(8)
        listing = directory.Listing(
            "new", fleets.SERVICE, "10.0.1.1:1", "z0", 8, warming_ms=2_900.0
        )
        nursery.start_soon(_list_late, fleet, listing)
        await fleet.play_online(_PEAK_PER_S, 4, _DURATION_MS)
        await trio.sleep(5)
        assert _most_sent(fleet) <= _ALLOWED
        assert fleet.outcome.refused == 0
        assert fleet.outcome.share_within(100) >= 0.99
        nursery.cancel_scope.cancel()


async def test_bound_holds_while_coordinators_are_lost_and_replaced(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against successors that repeat what a lost coordinator granted.

    A fifth of the gateways fall silent at a peak; the others learn of it
    1.5 s later.
    """
    async with trio.open_nursery() as nursery:
        fleet = await _make_fleet(nursery)
        await fleet.play_online(_PEAK_PER_S, 4, _DURATION_MS)
        fleet.bus.silent = {g.host for g in fleet.gateways[::5]}
        await fleet.play_online(_PEAK_PER_S, 1.5, _DURATION_MS)
        fleet.known_dead = set(fleet.bus.silent)
        await fleet.play_online(_PEAK_PER_S, 3, _DURATION_MS)
        await trio.sleep(5)
        assert _most_sent(fleet) <= _ALLOWED
        assert fleet.outcome.refused == 0
        nursery.cancel_scope.cancel()


async def test_bound_holds_while_no_coordinator_answers(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against 86 gateways that each send what all together may."""
    async with trio.open_nursery() as nursery:
        fleet = await _make_fleet(nursery)
        for gateway in fleet.gateways:
            gateway.client.coordinated = lambda: False
        await fleet.play_online(60, 3, _DURATION_MS)
        await trio.sleep(5)
        assert _most_sent(fleet) <= 5
        assert fleet.outcome.refused == 0
        nursery.cancel_scope.cancel()
