"""Tests of the evacuation of a zone: what is known, and where requests go."""

import pytest
import trio
from trio import testing as trio_testing

from lacewingwood.routing import evacuation
from lacewingwood.routing import slots as slots_lib
from tests.routing import fleets


def _ignore(zones: frozenset[str]) -> None:
    pass


def _evacuate(fleet: fleets.Fleet, *zones: str) -> None:
    now_ms = trio.current_time() * 1000
    for gateway in fleet.gateways:
        gateway.dispatcher.fleet.evacuate(frozenset(zones), now_ms)


def _sent(fleet: fleets.Fleet, zone: str) -> int:
    return sum(
        len(fleet.replicas[listing.id].sent_ms)
        for listing in fleet.listings
        if listing.zone == zone
    )


def test_key_missing_from_a_snapshot_revokes() -> None:
    """Guards against a zone that stays empty as its revocation was compacted.

    Its peers, which have not read the snapshot, must take this for newer.
    """
    seen: list[frozenset[str]] = []
    known = evacuation.Evacuations(seen.append)
    known.apply_changes({"z1": (7, True)})
    peer = evacuation.Evacuations(_ignore)
    peer.apply_copy(known.marks())
    assert peer.zones == {"z1"}
    known.apply_snapshot({})
    peer.apply_copy(known.marks())
    assert not peer.zones
    assert seen == [{"z1"}, frozenset()]


def test_old_copy_changes_nothing() -> None:
    """Guards against a late report that revives or revokes an evacuation."""
    known = evacuation.Evacuations(_ignore)
    known.apply_changes({"z1": (7, True)})
    old = known.marks()
    known.apply_changes({"z1": (9, False)})
    known.apply_copy(old)
    assert not known.zones
    known.apply_changes({"z1": (12, True)})
    known.apply_copy({"z1": (9, False)})
    assert known.zones == {"z1"}


def test_store_that_forgot_its_history_is_believed() -> None:
    """Guards against an evacuation that is ignored as its offset is small."""
    known = evacuation.Evacuations(_ignore)
    known.apply_changes({"z1": (700, False), "z2": (701, True)})
    known.apply_snapshot({"z1": (3, True)})
    assert known.zones == {"z1"}
    cut_off = evacuation.Evacuations(_ignore)
    cut_off.apply_changes({"z1": (700, False), "z2": (701, True)})
    cut_off.apply_copy(known.marks())
    assert cut_off.zones == {"z1"}


@pytest.mark.parametrize("coordinated", [True, False])
async def test_nothing_is_sent_to_an_evacuated_zone(
    autojump_clock: trio_testing.MockClock, coordinated: bool
) -> None:
    """Guards against requests and items sent where they will be lost.

    Load returns without a surge once the evacuation is revoked.
    """
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(nursery, gateways=24, replicas=12)
        fleet.coordinated = coordinated
        fleet.nursery.start_soon(fleet.renew_wants)
        fleet.item_ms = 500.0
        await fleet.play_online(40, 2, 200.0)
        _evacuate(fleet, "z1")
        before = _sent(fleet, "z1")
        for gateway in fleet.gateways[:6]:
            gateway.want(5)
        await fleet.play_online(40, 3, 200.0)
        assert _sent(fleet, "z1") == before
        assert fleet.outcome.refused == 0
        revoked_ms = trio.current_time() * 1000
        _evacuate(fleet)
        await fleet.play_online(80, 6, 200.0)
        assert _sent(fleet, "z1") > before
        for listing in fleet.listings[1::2]:
            times = fleet.replicas[listing.id].sent_ms
            first = [t for t in times if 0 <= t - revoked_ms < 1_000]
            # A replica that got none for long looks idle, and would get all.
            assert len(first) <= listing.slots + 2
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("coordinated", [True, False])
async def test_service_without_another_zone_is_refused(
    autojump_clock: trio_testing.MockClock, coordinated: bool
) -> None:
    """Guards against requests that wait until their deadline for no replica."""
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(nursery, gateways=20, replicas=2, slots=1)
        fleet.coordinated = coordinated
        gateway = fleet.gateways[0]
        await trio.sleep(5)
        blockers = [
            await gateway.client.acquire(fleets.make_request())
            for _ in fleet.listings
        ]
        assert all(blockers)
        answers: list[slots_lib.Slot | None] = []

        async def wait() -> None:
            answers.append(await gateway.client.acquire(fleets.make_request()))

        nursery.start_soon(wait)
        await trio.sleep(0.1)
        _evacuate(fleet, "z0", "z1")
        await trio.sleep(1)
        assert answers == [None]
        assert not gateway.client.has_replica(fleets.SERVICE)
        nursery.cancel_scope.cancel()
