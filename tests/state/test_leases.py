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
    """One process with all components of the state layer."""

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


def _node(cluster: fakes.Cluster, name: str, region: str = "r") -> _Node:
    follower = cluster.follower(name, region)
    manager = lease_manager.LeaseManager(follower)
    return _Node(
        follower,
        manager,
        maintenance.Presence(follower, manager, fakes.member(name, region)),
        monitor.Monitor(follower),
        trio.CancelScope(),
    )


async def _start(
    cluster: fakes.Cluster,
    nursery: trio.Nursery,
    names: Iterable[str],
    region: str = "r",
) -> list[_Node]:
    nodes = [_node(cluster, name, region) for name in names]
    for node in nodes:
        nursery.start_soon(node.run)
    await cluster.run_for(1000)
    return nodes


async def test_released_lease_is_usable_at_once(nursery: trio.Nursery) -> None:
    """Guards against a hand-over that leaves a job without an owner."""
    cluster = fakes.Cluster()
    a, b, _ = await _start(cluster, nursery, "abc")
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
    """Guards against a planned shutdown after which the successor waits."""
    cluster = fakes.Cluster()
    a, b, _ = await _start(cluster, nursery, "abc")
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
    """Guards against a lease that stays with a dead holder, or has two."""
    cluster = fakes.Cluster()
    a, b, c = await _start(cluster, nursery, "abc")
    await a.leases.claim("job/1")
    a.scope.cancel()
    cluster.network.isolate("a")
    await cluster.run_for(3000)
    assert "a" not in b.follower.view.members
    await c.leases.claim("job/1")
    assert c.leases.held("job/1") is None
    await cluster.run_for(_WAIT_MS - 100)
    assert c.leases.held("job/1") is None
    await cluster.run_for(1000)
    assert c.leases.held("job/1") is not None


async def test_lease_can_be_claimed_after_a_restart_of_all(
    nursery: trio.Nursery,
) -> None:
    """Guards against a majority out of reach because dead members count.

    The new processes have other addresses on the same hosts.
    """
    cluster = fakes.Cluster()
    old = await _start(cluster, nursery, "abc")
    await old[0].leases.claim("job/1")
    for node in old:
        node.scope.cancel()
        cluster.network.isolate(node.follower.node_id)
    new, *_ = await _start(cluster, nursery, ["a2", "b2", "c2"])
    await new.leases.claim("job/1")
    assert new.leases.held("job/1") is None
    await cluster.run_for(_WAIT_MS + 1000)
    assert new.leases.held("job/1") is not None


async def test_claim_that_never_took_effect_passes_on_its_wait(
    nursery: trio.Nursery,
) -> None:
    """Guards against a short-lived successor that hides an active holder."""
    cluster = fakes.Cluster()
    a, b, c = await _start(cluster, nursery, "abc")
    await a.leases.claim("job/1")
    cluster.network.isolate("a")
    await cluster.run_for(3000)
    assert "a" not in b.follower.view.members
    await b.leases.claim("job/1")
    await b.leases.release("job/1")
    await c.leases.claim("job/1")
    assert c.leases.held("job/1") is None
    await cluster.run_for(_WAIT_MS + 1000)
    assert c.leases.held("job/1") is not None
    await c.leases.release("job/1")
    await b.leases.claim("job/1")
    assert b.leases.held("job/1") is not None


async def test_claim_waits_for_the_former_holders_region(
    nursery: trio.Nursery,
) -> None:
    """Guards against a claim that only the claimant's region acknowledges.

    The former holder gets its evidence from the members of its own region.
    """
    cluster = fakes.Cluster()
    a, _, _ = await _start(cluster, nursery, "abc", region="r1")
    d, *_ = await _start(cluster, nursery, "def", region="r2")
    await a.leases.claim("job/1")
    a.scope.cancel()
    for name in "abc":
        cluster.network.isolate(name)
    cluster.log.put(records.MemberLeft("a"), by="op")
    await cluster.run_for(1000)
    await d.leases.claim("job/1")
    await cluster.run_for(2 * _WAIT_MS)
    assert d.leases.held("job/1") is None
    cluster.network.cut.clear()
    await cluster.run_for(_WAIT_MS + 1000)
    assert d.leases.held("job/1") is not None


async def test_minority_cannot_declare_others_left(
    nursery: trio.Nursery,
) -> None:
    """Guards against an isolated host that evicts unreachable members."""
    cluster = fakes.Cluster()
    nodes = await _start(cluster, nursery, "abcde")
    cluster.network.isolate("a")
    await cluster.run_for(5000)
    assert set(nodes[1].follower.view.members) == set("bcde")
    assert nodes[0].presence.evicted.is_set()


async def test_one_broken_link_evicts_nobody(nursery: trio.Nursery) -> None:
    """Guards against an eviction that only one member asks for."""
    cluster = fakes.Cluster()
    nodes = await _start(cluster, nursery, "abcd")
    cluster.network.cut.add(frozenset("ab"))
    await cluster.run_for(5000)
    assert set(nodes[0].follower.view.members) == set("abcd")
    questions = [
        request
        for port in cluster.network.nodes.values()
        for _, request in port.calls
        if isinstance(request, messages.Reachable)
    ]
    assert questions


async def test_leases_are_claimed_by_the_members_assigned(
    nursery: trio.Nursery,
) -> None:
    """Guards against leases without a holder or with the wrong one."""
    cluster = fakes.Cluster()
    nodes = await _start(cluster, nursery, "abc")
    names = [f"replica/{index}" for index in range(30)]
    for node in nodes:
        nursery.start_soon(node.leases.claim_assigned, lambda: names, "entry")
    await cluster.run_for(2000)
    members = nodes[0].follower.view.members.values()
    for name in names:
        assigned = placement.preferred(name, members, "entry")
        holders = [
            node.follower.node_id for node in nodes if node.leases.held(name)
        ]
        assert assigned is not None
        assert holders == [assigned.node_id]


async def test_release_is_retried_after_an_outage(
    nursery: trio.Nursery,
) -> None:
    """Guards against a lease that stays with a process that released it."""
    cluster = fakes.Cluster()
    a, b, _ = await _start(cluster, nursery, "abc")
    await a.leases.claim("job/1")
    cluster.log.is_down = True

    async def release() -> None:
        with pytest.raises(errors.UnavailableError):
            await a.leases.release("job/1")

    nursery.start_soon(release)
    await cluster.run_for(17_000, step_ms=250)
    assert a.leases.held("job/1") is None
    cluster.log.is_down = False
    await cluster.run_for(5000)
    assert "job/1" not in b.follower.view.leases


async def test_leaving_ends_the_use_of_leases(nursery: trio.Nursery) -> None:
    """Guards against a process that uses leases while it is leaving."""
    cluster = fakes.Cluster()
    a, *_ = await _start(cluster, nursery, "abc")
    await a.leases.claim("job/1")
    cluster.log.is_down = True

    async def leave() -> None:
        with pytest.raises(errors.UnavailableError):
            await a.presence.leave()

    nursery.start_soon(leave)
    await cluster.run_for(100)
    assert a.leases.held("job/1") is None
    await cluster.run_for(16_000, step_ms=250)
    assert a.leases.held("job/1") is None


async def test_snapshots_are_written_before_records_expire(
    nursery: trio.Nursery,
) -> None:
    """Guards against a log from which a new process can't load its view."""
    cluster = fakes.Cluster()
    cluster.log.retention_ms = 20_000
    nodes = await _start(cluster, nursery, "abc")
    for node in nodes:
        nursery.start_soon(maintenance.SnapshotWriter(node.follower).run)
    await cluster.run_for(20_000, step_ms=250)
    oldest_kept_ms = cluster.clock.now_ms() - cluster.log.retention_ms / 2
    cluster.log.first = next(
        e.offset for e in cluster.log.entries if e.time_ms >= oldest_kept_ms
    )
    late = cluster.follower("late")
    nursery.start_soon(late.run)
    await cluster.run_for(1000)
    assert late.view.encode() == nodes[0].follower.view.encode()
    assert set(late.view.members) == set("abc")
