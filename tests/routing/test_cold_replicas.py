"""Tests of the bound on cold replicas, by playing load on a fleet.

The figures are those of the deployment that has such replicas: 45 of 8 slots,
each taking 7.1 requests a second while it is cold, behind 86 gateways, with
peaks of 350 online requests a second.
"""

import trio
from trio import testing as trio_testing

from lacewingwood import configuration
from lacewingwood.limits import cold_replicas
from tests.routing import fleets

_SERVICE = configuration.Service(fleets.SERVICE, 3_000.0, 7.1)
_ALLOWED = 7.1 * 1.5 + 5
_DURATION_MS = 250.0


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
