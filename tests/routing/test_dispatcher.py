"""Tests of the distribution of replicas' slots."""

import random

import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.routing import directory
from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import load

ONLINE, BATCH = load.WorkKind.ONLINE, load.WorkKind.BATCH


def make(
    replicas: int = 2, slots: int = 2, clock: clocks.Clock | None = None
) -> dispatchers.Dispatcher:
    """Returns a dispatcher over replicas r0, r1, and so on."""
    fleet = load.Fleet()
    for n in range(replicas):
        fleet.directory.put(
            directory.Listing(f"r{n}", "s", f"10.0.0.{n}:80", "z", slots)
        )
    fleet.refresh()
    return dispatchers.Dispatcher(
        fleet,
        "z",
        clock or clocks.ManualClock(),
        metrics_lib.Registry(),
        random.Random(1),
    )


def _demand(
    work: load.WorkKind = ONLINE, **fields: object
) -> dispatchers.SlotRequest:
    return dispatchers.SlotRequest(service="s", work=work, **fields)  # type: ignore[arg-type]


def test_requests_spread_over_replicas() -> None:
    """Guards against a queue at one replica while another is idle."""
    dispatcher = make()
    taken = [dispatcher.try_acquire(_demand()) for _ in range(4)]
    names = sorted(slot.replica.listing.id for slot in taken if slot)
    assert names == ["r0", "r0", "r1", "r1"]


def test_full_replicas_take_no_more() -> None:
    """Guards against queues in the replicas, which know no priorities."""
    dispatcher = make()
    for _ in range(4):
        assert dispatcher.try_acquire(_demand())
    assert dispatcher.try_acquire(_demand()) is None
    assert dispatcher.try_acquire(_demand(BATCH)) is None


def test_peers_reports_count() -> None:
    """Guards against gateways that all choose the same replica."""
    dispatcher = make()
    dispatcher.fleet.note_report("peer", {"r0": (2, 0)}, 0)
    slot = dispatcher.try_acquire(_demand())
    assert slot is not None
    assert slot.replica.listing.id == "r1"
    dispatcher.fleet.expire(60_000)
    replica = dispatcher.fleet.get("r0")
    assert replica is not None
    assert replica.online() == 0


def test_online_request_goes_ahead_of_batch_items() -> None:
    """Guards against a request that waits behind batch work."""
    dispatcher = make(replicas=1)
    while dispatcher.try_acquire(_demand(BATCH)):
        pass
    replica = dispatcher.fleet.get("r0")
    assert replica is not None
    assert dispatcher.excess_batch_items(replica, urgent=True) <= 0
    slot = dispatcher.try_acquire(_demand())
    assert slot is not None
    assert dispatcher.excess_batch_items(replica, urgent=True) == 1


def test_leaving_replica_gets_nothing() -> None:
    """Guards against new work for a replica that is about to stop."""
    dispatcher = make(replicas=1)
    dispatcher.fleet.directory.put(
        directory.Listing("r0", "s", "10.0.0.0:80", "z", 2, leaving=True)
    )
    dispatcher.fleet.refresh()
    assert dispatcher.try_acquire(_demand()) is None
    assert not dispatcher.has_replica("s")


def test_last_replica_is_used_in_spite_of_failures() -> None:
    """Guards against a fleet given up on suspicion."""
    dispatcher = make(replicas=1)
    replica = dispatcher.fleet.get("r0")
    assert replica is not None
    replica.note_failure(0)
    assert dispatcher.try_acquire(_demand()) is not None


def test_failed_replica_is_passed_over_for_a_while() -> None:
    """Guards against requests that meet one broken replica after another."""
    clock = clocks.ManualClock()
    dispatcher = make(clock=clock)
    replica = dispatcher.fleet.get("r0")
    assert replica is not None
    replica.note_failure(0)
    slot = dispatcher.try_acquire(_demand())
    assert slot is not None
    assert slot.replica.listing.id == "r1"
    clock.advance(1_000)
    slot = dispatcher.try_acquire(_demand())
    assert slot is not None
    assert slot.replica.listing.id == "r0"


def test_restarted_replica_starts_without_load() -> None:
    """Guards against counts that a replica's earlier start left behind."""
    dispatcher = make(replicas=1)
    assert dispatcher.try_acquire(_demand())
    dispatcher.fleet.directory.put(
        directory.Listing("r0", "s", "10.0.0.0:80", "z", 2, started_ms=99)
    )
    dispatcher.fleet.refresh()
    replica = dispatcher.fleet.get("r0")
    assert replica is not None
    assert replica.in_flight(0) == 0


async def test_waiting_request_gets_the_next_free_slot() -> None:
    """Guards against a request that waits while a slot is free."""
    dispatcher = make(replicas=1, slots=1, clock=clocks.MonotonicClock())
    first = dispatcher.try_acquire(_demand())
    assert first is not None
    got: list[dispatchers.Slot | None] = []

    async def wait() -> None:
        got.append(await dispatcher.acquire(_demand()))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait)
        await trio.sleep(0.01)
        assert not got
        dispatcher.release(first)
    assert got[0] is not None


async def test_request_that_can_be_in_time_goes_first() -> None:
    """Guards against late requests that make others late, too."""
    clock = clocks.MonotonicClock()
    dispatcher = make(replicas=1, slots=1, clock=clock)
    first = dispatcher.try_acquire(_demand())
    assert first is not None
    order: list[str] = []
    now_ms = clock.now_ms()

    async def wait(name: str, demand: dispatchers.SlotRequest) -> None:
        slot = await dispatcher.acquire(demand)
        order.append(name)
        assert slot is not None
        dispatcher.release(slot)

    late = _demand(arrived_ms=now_ms - 900, objective_ms=300)
    fresh = _demand(arrived_ms=now_ms, objective_ms=300)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait, "late", late)
        await trio.sleep(0.005)
        nursery.start_soon(wait, "fresh", fresh)
        await trio.sleep(0.005)
        dispatcher.release(first)
    assert order == ["fresh", "late"]


async def test_acquire_ends_at_the_deadline() -> None:
    """Guards against a request that is held past its time."""
    clock = clocks.MonotonicClock()
    dispatcher = make(replicas=1, slots=1, clock=clock)
    assert dispatcher.try_acquire(_demand())
    deadline_ms = clock.now_ms() + 30
    assert await dispatcher.acquire(_demand(deadline_ms=deadline_ms)) is None
    assert dispatcher.waiting == 0


async def test_cancelled_waiter_leaves_no_slot_taken() -> None:
    """Guards against slots that are lost when callers leave."""
    dispatcher = make(replicas=1, slots=1, clock=clocks.MonotonicClock())
    first = dispatcher.try_acquire(_demand())
    assert first is not None
    with trio.move_on_after(0.02):
        await dispatcher.acquire(_demand())
    dispatcher.release(first)
    assert dispatcher.try_acquire(_demand()) is not None


def _choices(
    dispatcher: dispatchers.Dispatcher, **fields: object
) -> set[str | None]:
    """Returns the replicas that single requests get."""
    found: set[str | None] = set()
    for _ in range(20):
        slot = dispatcher.try_acquire(_demand(**fields))  # type: ignore[arg-type]
        found.add(slot.replica.listing.id if slot else None)
        if slot is not None:
            dispatcher.release(slot)
    return found


def test_replica_that_fails_peers_requests_is_passed_over() -> None:
    """Guards against each gateway having to meet a grey replica itself."""
    dispatcher = make()
    for node in ("a", "b"):
        outcomes = {"r0": (100, 100), "r1": (400, 0)}
        dispatcher.fleet.note_report(node, {}, 0, outcomes)
    assert _choices(dispatcher) == {"r1"}
    dispatcher.fleet.expire(60_000)
    assert _choices(dispatcher) == {"r0", "r1"}


def test_replica_that_fails_one_zone_is_passed_over_there() -> None:
    """Guards against successes in other zones that hide failures in this."""
    dispatcher = make()
    dispatcher.fleet.note_report("a", {}, 0, {"r0": (200, 200)})
    dispatcher.fleet.note_report(
        "zone y", {}, 0, {"r0": (4_000, 0)}, same_zone=False
    )
    assert _choices(dispatcher) == {"r1"}
    other = make()
    other.fleet.note_report("a", {}, 0, {"r0": (2_000, 0)})
    other.fleet.note_report(
        "zone y", {}, 0, {"r0": (200, 200)}, same_zone=False
    )
    assert _choices(other) == {"r0", "r1"}


def test_replica_in_doubt_is_tried_with_repeatable_requests() -> None:
    """Guards against single-attempt requests lost to a trial."""
    dispatcher = make()
    dispatcher.fleet.note_report("a", {}, 0, {"r0": (0, 100)})
    assert _choices(dispatcher, repeatable=True) == {"r0", "r1"}
    assert _choices(dispatcher, repeatable=False) == {"r1"}


def test_online_requests_rather_take_a_failing_replica_than_wait() -> None:
    """Guards against a queue beside slots that serve most requests."""
    dispatcher = make(slots=1)
    dispatcher.fleet.note_report("a", {"r1": (1, 0)}, 0, {"r0": (300, 200)})
    assert _choices(dispatcher, repeatable=True) == {"r0"}
    assert _choices(dispatcher, repeatable=False) == {None}
    assert _choices(dispatcher, work=BATCH) == {None}


def test_all_replicas_failing_are_all_used() -> None:
    """Guards against a fleet given up on suspicion."""
    dispatcher = make()
    outcomes = {"r0": (0, 900), "r1": (0, 900)}
    dispatcher.fleet.note_report("a", {}, 0, outcomes)
    assert _choices(dispatcher, repeatable=False) == {"r0", "r1"}


def test_relisted_replica_keeps_peers_outcomes() -> None:
    """Guards against counts that go wrong when a report is replaced."""
    dispatcher = make()
    fleet = dispatcher.fleet
    fleet.note_report("a", {"r0": (1, 1)}, 0, {"r0": (100, 200)})
    listing = fleet.directory.get("r0")
    assert listing is not None
    fleet.directory.remove("r0", 0)
    fleet.refresh()
    fleet.directory.put(listing)
    fleet.refresh()
    replica = fleet.get("r0")
    assert replica is not None
    assert (replica.peer_counts, replica.zone_outcomes) == ([1, 1], [100, 200])
    fleet.forget("a")
    assert (replica.peer_counts, replica.zone_outcomes) == ([0, 0], [0, 0])


def test_batch_work_takes_free_slots_of_all_zones() -> None:
    """Guards against items that crowd the zones of the few owners."""
    dispatcher = make(replicas=0)
    for n in range(8):
        zone = "z" if n < 2 else "y"
        dispatcher.fleet.directory.put(
            directory.Listing(f"r{n}", "s", f"10.0.0.{n}:80", zone, 3)
        )
    dispatcher.fleet.refresh()
    dispatcher.counts_lag = lambda: True
    taken = [dispatcher.try_acquire(_demand(BATCH)) for _ in range(8)]
    zones = [slot.replica.listing.zone for slot in taken if slot]
    assert len(zones) == 8
    assert zones.count("y") >= 4
    # All replicas hold one item now; the last slots are left to online work.
    assert dispatcher.try_acquire(_demand(BATCH)) is None
    urgent = [
        dispatcher.try_acquire(_demand(BATCH, urgent=True)) for _ in range(9)
    ]
    assert [slot is None for slot in urgent] == [False] * 8 + [True]
    online = [dispatcher.try_acquire(_demand()) for _ in range(4)]
    assert any(slot and slot.replica.listing.zone == "z" for slot in online)


def test_fresh_figures_of_a_replica_count_more_than_old_reports() -> None:
    """Guards against items that yield on a replica with free slots."""
    clock = clocks.ManualClock()
    dispatcher = make(replicas=1, slots=8, clock=clock)
    dispatcher.counts_lag = lambda: True
    replica = dispatcher.fleet.get("r0")
    assert replica is not None
    for _ in range(4):
        assert dispatcher.try_acquire(_demand(BATCH))
    dispatcher.fleet.note_report("peer", {"r0": (6, 3)}, 0)
    assert dispatcher.excess_batch_items(replica, urgent=True) == 2
    replica.note_reported_load(7, clock.now_ms())
    assert dispatcher.excess_batch_items(replica, urgent=True) == -1
    replica.note_reported_load(11, clock.now_ms())
    assert dispatcher.excess_batch_items(replica, urgent=True) == 3
