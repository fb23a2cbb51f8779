"""Tests of a coordinator's grants to many gateways."""

import random

from lacewingwood.limits import cold_replicas
from lacewingwood.limits import replica_limits
from lacewingwood.routing import coordinator as coordinators
from lacewingwood.routing import directory
from lacewingwood.routing import load
from lacewingwood.routing import replica_pauses
from lacewingwood.routing import slots as slots_lib
from lacewingwood.routing import tickets

_SHARD = "s/z/0"


def _ask(
    coordinator: coordinators.Coordinator,
    number: int,
    now_ms: float,
    work: load.WorkKind = load.WorkKind.ONLINE,
    may_preempt: bool = False,
    version: str | None = None,
) -> str:
    """Returns the replica that a new ticket is granted, empty if it waits."""
    req = slots_lib.SlotRequest(
        "s", work, arrived_ms=now_ms, objective_ms=2_000, version=version
    )
    ticket = tickets.Ticket(f"g{number}", number, _SHARD, req, may_preempt)
    return coordinator.ask(ticket, now_ms)[0]


def _make(
    limits: replica_limits.ReplicaLimits, versions: tuple[str, ...] = ("v1",)
) -> coordinators.Coordinator:
    listings = [
        directory.Listing(f"r{n}", "s", "10.0.0.1:80", "z", 8, version=version)
        for n, version in enumerate(versions)
    ]
    listed = [load.Replica(listing) for listing in listings]
    return coordinators.Coordinator(
        lambda shard: listed, limits, random.Random(1)
    )


def test_grants_keep_to_a_replicas_limit() -> None:
    """Guards against a limit that hundreds of gateways exceed together."""
    limits = replica_limits.ReplicaLimits()
    coordinator = _make(limits)
    limits.note_response("r0/0", 2.0, 0)
    granted = 0
    for number, now_ms in enumerate(range(0, 20_000, 50)):
        granted += _ask(coordinator, number, now_ms) != ""
        coordinator.release((f"g{number}", number), now_ms)
    assert 38 <= granted <= 44


def test_waiting_request_is_granted_once_the_limit_allows_it() -> None:
    """Guards against requests that wait although their replica takes one."""
    limits = replica_limits.ReplicaLimits()
    coordinator = _make(limits)
    limits.note_response("r0/0", 1.0, 0)
    assert not _ask(coordinator, 1, 0)
    assert not coordinator.expire(500)
    assert len(coordinator.expire(1_000)) == 1


def test_no_item_is_stopped_at_a_replica_that_takes_no_request() -> None:
    """Guards against items that are stopped for nothing."""
    limits = replica_limits.ReplicaLimits()
    coordinator = _make(limits)
    for number in range(8):
        _ask(coordinator, number, 0, load.WorkKind.BATCH)
    limits.note_response("r0/0", 1.0, 0)
    assert not _ask(coordinator, 100, 0, may_preempt=True)
    counts = coordinator.counts()[_SHARD]
    assert counts[0] > 0
    assert coordinator.expire(100) == []


def test_unlimited_replica_gets_what_a_limited_one_does_not_take() -> None:
    """Guards against a limit of one replica that slows its whole shard."""
    limits = replica_limits.ReplicaLimits()
    coordinator = _make(limits, versions=("v1", "v1"))
    limits.note_response("r0/0", 1.0, 0)
    granted = [_ask(coordinator, number, 0) for number in range(8)]
    assert granted == ["r1"] * 8
    assert coordinator.free_slots(_SHARD, 0) == 0


def test_stream_gets_a_slot_at_its_version_only() -> None:
    """Guards against streams joined from two versions in a large fleet."""
    coordinator = _make(replica_limits.ReplicaLimits(), versions=("v1", "v2"))
    for number in range(8):
        assert _ask(coordinator, number, 0, version="v2") == "r1"
    assert not _ask(coordinator, 8, 0, version="v2")
    assert _ask(coordinator, 9, 0) == "r0"


def test_ticket_that_was_not_used_does_not_count() -> None:
    """Guards against capacity that is lost to requests that asked twice.

    A request asks several shards and uses the first grant. Counted in each, the
    requests that wait grow in number until all replicas look used up.
    """
    limits = replica_limits.ReplicaLimits()
    coordinator = _make(limits)
    limits.cold.configure({"s": cold_replicas.Bound(1.0, 1_000.0, 6)})
    listing = directory.Listing("r0", "s", "10.0.0.1:80", "z", 8, version="v1")
    limits.update_replicas([listing], 0)
    for number in range(20):
        assert _ask(coordinator, number, number)
        coordinator.release(
            (f"g{number}", number), number, replica_pauses.End.UNUSED
        )
    granted = [bool(_ask(coordinator, n, n)) for n in range(20, 30)]
    assert sum(granted) == 4
