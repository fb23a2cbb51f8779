"""Tests of leases, membership and snapshots of running processes."""

import dataclasses
from collections.abc import Iterable

import pytest
import trio

from lacewingwood.peers import messages
from lacewingwood.state import errors
from lacewingwood.state import follower as follower_lib
from lacewingwood.state import freshness
from lacewingwood.state import lease_manager
from lacewingwood.state import leases
from lacewingwood.state import maintenance
from lacewingwood.state import monitor
from lacewingwood.state import placement
from lacewingwood.state import records
from tests.state import fakes

_WAIT_MS = freshness.WINDOW_MS + leases.MARGIN_MS


@dataclasses.dataclass(slots=True)
class _Node:
    """One process with all parts of the state layer."""

    follower: follower_lib.Follower
    leases: lease_manager.LeaseManager
    presence: maintenance.Presence
    monitor: monitor.Monitor
    scope: trio.CancelScope

    async def run(self) -> None:
        with self.scope:
            async with trio.open_nursery() as nursery:
                for part in (self.follower, self.leases, self.monitor):
                    nursery.start_soon(part.run)
                await self.presence.run()


def _node(site: fakes.Site, name: str, region: str = "r") -> _Node:
    follower = site.follower(name, region)
    manager = lease_manager.LeaseManager(follower)
    return _Node(
        follower,
        manager,
        maintenance.Presence(follower, manager, fakes.member(name, region)),
        monitor.Monitor(follower),
        trio.CancelScope(),
    )


async def _start(
    site: fakes.Site,
    nursery: trio.Nursery,
    names: Iterable[str],
    region: str = "r",
) -> list[_Node]:
    nodes = [_node(site, name, region) for name in names]
    for node in nodes:
        nursery.start_soon(node.run)
    await site.run_for(1000)
    return nodes


async def test_released_lease_is_usable_at_once(nursery: trio.Nursery) -> None:
    """Guards against a handover that leaves a job without an owner."""
    site = fakes.Site()
    a, b, _ = await _start(site, nursery, "abc")
    epoch = await a.leases.claim("job/1")
    assert a.leases.held("job/1") == epoch
    await a.leases.release("job/1")
    assert a.leases.held("job/1") is None
    assert b.leases.held("job/1") is None
    later = await b.leases.claim("job/1")
    assert b.leases.held("job/1") == later > epoch
    assert a.leases.holder("job/1") == fakes.member("b")


async def test_lease_of_a_leaving_process_is_free(
    nursery: trio.Nursery,
) -> None:
    """Guards against a planned shutdown that makes a successor wait."""
    site = fakes.Site()
    a, b, _ = await _start(site, nursery, "abc")
    await a.leases.claim("job/1")
    await a.presence.leave()
    assert a.leases.held("job/1") is None
    assert b.leases.held("job/1") is None
    await b.leases.claim("job/1")
    assert b.leases.held("job/1") is not None
    assert not a.presence.evicted.is_set()


async def test_dead_holder_is_succeeded_after_the_wait(
    nursery: trio.Nursery,
) -> None:
    """Guards against a dead owner, and against two owners at once."""
    site = fakes.Site()
    a, b, c = await _start(site, nursery, "abc")
    await a.leases.claim("job/1")
    a.scope.cancel()
    site.network.isolate("a")
    await site.run_for(3000)
    assert "a" not in b.follower.view.members
    await c.leases.claim("job/1")
    assert c.leases.held("job/1") is None
    await site.run_for(_WAIT_MS - 100)
    assert c.leases.held("job/1") is None
    await site.run_for(1000)
    assert c.leases.held("job/1") is not None


async def test_lease_survives_a_restart_of_all(nursery: trio.Nursery) -> None:
    """Guards against a majority that can't be had, as the dead count for it.

    The new processes have other addresses on the same hosts.
    """
    site = fakes.Site()
    old = await _start(site, nursery, "abc")
    await old[0].leases.claim("job/1")
    for node in old:
        node.scope.cancel()
        site.network.isolate(node.follower.node_id)
    new, *_ = await _start(site, nursery, ["a2", "b2", "c2"])
    await new.leases.claim("job/1")
    assert new.leases.held("job/1") is None
    await site.run_for(_WAIT_MS + 1000)
    assert new.leases.held("job/1") is not None


async def test_claim_that_never_took_effect_passes_on_its_wait(
    nursery: trio.Nursery,
) -> None:
    """Guards against a short-lived successor that hides a holder at work."""
    site = fakes.Site()
    a, b, c = await _start(site, nursery, "abc")
    await a.leases.claim("job/1")
    site.network.isolate("a")
    await site.run_for(3000)
    assert "a" not in b.follower.view.members
    await b.leases.claim("job/1")
    await b.leases.release("job/1")
    await c.leases.claim("job/1")
    assert c.leases.held("job/1") is None
    await site.run_for(_WAIT_MS + 1000)
    assert c.leases.held("job/1") is not None
    await c.leases.release("job/1")
    await b.leases.claim("job/1")
    assert b.leases.held("job/1") is not None


async def test_wait_asks_the_former_holders_region(
    nursery: trio.Nursery,
) -> None:
    """Guards against a takeover that only its own region acknowledges.

    A holder in the other region gets its evidence from that region's members.
    """
    site = fakes.Site()
    a, _, _ = await _start(site, nursery, "abc", region="r1")
    d, *_ = await _start(site, nursery, "def", region="r2")
    await a.leases.claim("job/1")
    a.scope.cancel()
    for name in "abc":
        site.network.isolate(name)
    site.log.put(records.MemberLeft("a"), by="op")
    await site.run_for(1000)
    await d.leases.claim("job/1")
    await site.run_for(2 * _WAIT_MS)
    assert d.leases.held("job/1") is None
    site.network.cut.clear()
    await site.run_for(_WAIT_MS + 1000)
    assert d.leases.held("job/1") is not None


async def test_minority_cannot_declare_others_left(
    nursery: trio.Nursery,
) -> None:
    """Guards against a cut-off host that evicts all those it can't reach."""
    site = fakes.Site()
    nodes = await _start(site, nursery, "abcde")
    site.network.isolate("a")
    await site.run_for(5000)
    assert set(nodes[1].follower.view.members) == set("bcde")
    assert nodes[0].presence.evicted.is_set()


async def test_one_broken_link_evicts_nobody(nursery: trio.Nursery) -> None:
    """Guards against an eviction on the word of a single watcher."""
    site = fakes.Site()
    nodes = await _start(site, nursery, "abcd")
    site.network.cut.add(frozenset("ab"))
    await site.run_for(5000)
    assert set(nodes[0].follower.view.members) == set("abcd")
    questions = [
        request
        for port in site.network.nodes.values()
        for _, request in port.calls
        if isinstance(request, messages.Reachable)
    ]
    assert questions


async def test_keeps_the_leases_that_placement_gives(
    nursery: trio.Nursery,
) -> None:
    """Guards against leases without a holder, or with one that is not due."""
    site = fakes.Site()
    nodes = await _start(site, nursery, "abc")
    names = [f"replica/{index}" for index in range(30)]
    for node in nodes:
        nursery.start_soon(node.leases.claim_assigned, lambda: names, "entry")
    await site.run_for(2000)
    members = nodes[0].follower.view.members.values()
    for name in names:
        due = placement.preferred(name, members, "entry")
        holders = [
            node.follower.node_id for node in nodes if node.leases.held(name)
        ]
        assert due is not None
        assert holders == [due.node_id]


async def test_release_is_repeated_after_an_outage(
    nursery: trio.Nursery,
) -> None:
    """Guards against a lease that stays with a process that gave it up."""
    site = fakes.Site()
    a, b, _ = await _start(site, nursery, "abc")
    await a.leases.claim("job/1")
    site.log.is_down = True

    async def release() -> None:
        with pytest.raises(errors.UnavailableError):
            await a.leases.release("job/1")

    nursery.start_soon(release)
    await site.run_for(17_000, step_ms=250)
    assert a.leases.held("job/1") is None
    site.log.is_down = False
    await site.run_for(5000)
    assert "job/1" not in b.follower.view.leases


async def test_leaving_ends_the_use_of_leases(nursery: trio.Nursery) -> None:
    """Guards against a process that works on while its leave is in flight."""
    site = fakes.Site()
    a, *_ = await _start(site, nursery, "abc")
    await a.leases.claim("job/1")
    site.log.is_down = True

    async def leave() -> None:
        with pytest.raises(errors.UnavailableError):
            await a.presence.leave()

    nursery.start_soon(leave)
    await site.run_for(100)
    assert a.leases.held("job/1") is None
    await site.run_for(16_000, step_ms=250)
    assert a.leases.held("job/1") is None


async def test_snapshots_are_written_before_records_expire(
    nursery: trio.Nursery,
) -> None:
    """Guards against a log from which no process can start any more."""
    site = fakes.Site()
    site.log.retention_ms = 20_000
    nodes = await _start(site, nursery, "abc")
    for node in nodes:
        nursery.start_soon(maintenance.SnapshotWriter(node.follower).run)
    await site.run_for(20_000, step_ms=250)
    horizon = site.clock.now_ms() - site.log.retention_ms / 2
    site.log.first = next(
        e.offset for e in site.log.entries if e.time_ms >= horizon
    )
    late = site.follower("late")
    nursery.start_soon(late.run)
    await site.run_for(1000)
    assert late.view.encode() == nodes[0].follower.view.encode()
    assert set(late.view.members) == set("abc")
