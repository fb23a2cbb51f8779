"""Tests of the dispatcher of replicas' slots."""

import random

import msgspec
import trio
import trio.testing

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.routing import directory
from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import load
from lacewingwood.routing import slots as slots_lib
from lacewingwood.upstreams import runs
from tests.routing import fleets

ONLINE, BATCH = load.WorkKind.ONLINE, load.WorkKind.BATCH


def make(
    replicas: int = 2, slots: int = 2, clock: clocks.Clock | None = None
) -> dispatchers.Dispatcher:
    """Returns a dispatcher for replicas r0, r1, and so on."""
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


def _request(
    work: load.WorkKind = ONLINE, **fields: object
) -> slots_lib.SlotRequest:
    return slots_lib.SlotRequest(service="s", work=work, **fields)  # type: ignore[arg-type]


def test_requests_spread_over_replicas() -> None:
    """Guards against a queue at one replica while another is idle."""
    dispatcher = make()
    slots = [dispatcher.try_acquire(_request()) for _ in range(4)]
    names = sorted(slot.replica.listing.id for slot in slots if slot)
    assert names == ["r0", "r0", "r1", "r1"]


def test_full_replicas_take_no_more() -> None:
    """Guards against queues in the replicas, which have no priorities."""
    dispatcher = make()
    for _ in range(4):
        assert dispatcher.try_acquire(_request())
    assert dispatcher.try_acquire(_request()) is None
    assert dispatcher.try_acquire(_request(BATCH)) is None


def test_peers_reports_count_as_load() -> None:
    """Guards against all gateways choosing the same replica."""
    dispatcher = make()
    dispatcher.fleet.note_report("peer", {"r0": (2, 0)}, 0)
    slot = dispatcher.try_acquire(_request())
    assert slot is not None
    assert slot.replica.listing.id == "r1"
    dispatcher.fleet.expire(60_000)
    replica = dispatcher.fleet.get("r0")
    assert replica is not None
    assert replica.online() == 0


def test_online_request_is_admitted_before_preemption() -> None:
    """Guards against online requests that wait behind batch work."""
    dispatcher = make(replicas=1)
    while dispatcher.try_acquire(_request(BATCH)):
        pass
    replica = dispatcher.fleet.get("r0")
    assert replica is not None
    assert dispatcher.excess_batch_items(replica, urgent=True) <= 0
    slot = dispatcher.try_acquire(_request())
    assert slot is not None
    assert dispatcher.excess_batch_items(replica, urgent=True) == 1


def test_leaving_replica_gets_nothing() -> None:
    """Guards against new requests to a replica that is about to stop."""
    dispatcher = make(replicas=1)
    dispatcher.fleet.directory.put(
        directory.Listing("r0", "s", "10.0.0.0:80", "z", 2, leaving=True)
    )
    dispatcher.fleet.refresh()
    assert dispatcher.try_acquire(_request()) is None
    assert not dispatcher.has_replica("s")


def test_last_replica_is_used_despite_failures() -> None:
    """Guards against failures that make a whole fleet unusable."""
    dispatcher = make(replicas=1)
    replica = dispatcher.fleet.get("r0")
    assert replica is not None
    replica.note_failure(0)
    assert dispatcher.try_acquire(_request()) is not None


def test_failed_replica_is_paused() -> None:
    """Guards against further requests to a replica that has just failed."""
    clock = clocks.ManualClock()
    dispatcher = make(clock=clock)
    replica = dispatcher.fleet.get("r0")
    assert replica is not None
    replica.note_failure(0)
    slot = dispatcher.try_acquire(_request())
    assert slot is not None
    assert slot.replica.listing.id == "r1"
    clock.advance(1_000)
    slot = dispatcher.try_acquire(_request())
    assert slot is not None
    assert slot.replica.listing.id == "r0"


def test_restarted_replica_starts_without_load() -> None:
    """Guards against counting requests from before a replica's restart."""
    dispatcher = make(replicas=1)
    assert dispatcher.try_acquire(_request())
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
    first = dispatcher.try_acquire(_request())
    assert first is not None
    granted: list[slots_lib.Slot | None] = []

    async def wait() -> None:
        granted.append(await dispatcher.acquire(_request()))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait)
        await trio.sleep(0.01)
        assert not granted
        dispatcher.release(first)
    assert granted[0] is not None


async def test_request_that_can_meet_its_objective_is_served_first() -> None:
    """Guards against requests past their objective that delay others."""
    clock = clocks.MonotonicClock()
    dispatcher = make(replicas=1, slots=1, clock=clock)
    first = dispatcher.try_acquire(_request())
    assert first is not None
    order: list[str] = []
    now_ms = clock.now_ms()

    async def wait(name: str, req: slots_lib.SlotRequest) -> None:
        slot = await dispatcher.acquire(req)
        order.append(name)
        assert slot is not None
        dispatcher.release(slot)

    late = _request(arrived_ms=now_ms - 900, objective_ms=300)
    fresh = _request(arrived_ms=now_ms, objective_ms=300)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait, "late", late)
        await trio.sleep(0.005)
        nursery.start_soon(wait, "fresh", fresh)
        await trio.sleep(0.005)
        dispatcher.release(first)
    assert order == ["fresh", "late"]


async def test_acquire_ends_at_the_deadline() -> None:
    """Guards against a request that waits past its deadline."""
    clock = clocks.MonotonicClock()
    dispatcher = make(replicas=1, slots=1, clock=clock)
    assert dispatcher.try_acquire(_request())
    deadline_ms = clock.now_ms() + 30
    assert await dispatcher.acquire(_request(deadline_ms=deadline_ms)) is None
    assert dispatcher.waiting == 0


async def test_cancelled_waiter_leaves_no_slot_taken() -> None:
    """Guards against leaking slots when callers cancel."""
    dispatcher = make(replicas=1, slots=1, clock=clocks.MonotonicClock())
    first = dispatcher.try_acquire(_request())
    assert first is not None
    with trio.move_on_after(0.02):
        await dispatcher.acquire(_request())
    dispatcher.release(first)
    assert dispatcher.try_acquire(_request()) is not None


def _choices(
    dispatcher: dispatchers.Dispatcher, **fields: object
) -> set[str | None]:
    """Returns the replicas that 20 successive requests are assigned to."""
    found: set[str | None] = set()
    for _ in range(20):
        slot = dispatcher.try_acquire(_request(**fields))  # type: ignore[arg-type]
        found.add(slot.replica.listing.id if slot else None)
        if slot is not None:
            dispatcher.release(slot)
    return found


def test_replica_that_fails_peers_requests_is_avoided() -> None:
    """Guards against each gateway having to detect a failing replica itself."""
    dispatcher = make()
    for node in ("a", "b"):
        outcomes = {"r0": (100, 100), "r1": (400, 0)}
        dispatcher.fleet.note_report(node, {}, 0, outcomes)
    assert _choices(dispatcher) == {"r1"}
    dispatcher.fleet.expire(60_000)
    assert _choices(dispatcher) == {"r0", "r1"}


def test_replica_that_fails_one_zone_is_avoided_there() -> None:
    """Guards against other zones' successes hiding this zone's failures."""
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


def test_replica_on_probation_gets_only_repeatable_requests() -> None:
    """Guards against probing with requests that cannot be retried."""
    dispatcher = make()
    dispatcher.fleet.note_report("a", {}, 0, {"r0": (0, 100)})
    assert _choices(dispatcher, repeatable=True) == {"r0", "r1"}
    assert _choices(dispatcher, repeatable=False) == {"r1"}


def test_online_requests_use_a_failing_replica_rather_than_wait() -> None:
    """Guards against waiting while a replica that serves most requests is free.

    Batch items and requests that cannot be retried wait.
    """
    dispatcher = make(slots=1)
    dispatcher.fleet.note_report("a", {"r1": (1, 0)}, 0, {"r0": (300, 200)})
    assert _choices(dispatcher, repeatable=True) == {"r0"}
    assert _choices(dispatcher, repeatable=False) == {None}
    assert _choices(dispatcher, work=BATCH) == {None}


def test_all_replicas_are_used_if_all_are_failing() -> None:
    """Guards against failures that make a whole fleet unusable."""
    dispatcher = make()
    outcomes = {"r0": (0, 900), "r1": (0, 900)}
    dispatcher.fleet.note_report("a", {}, 0, outcomes)
    assert _choices(dispatcher, repeatable=False) == {"r0", "r1"}


def test_relisted_replica_keeps_peers_outcomes() -> None:
    """Guards against wrong counts when reports outlive a replica's entry."""
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


def test_batch_work_uses_free_slots_of_all_zones() -> None:
    """Guards against batch items crowding the zones of the few job owners."""
    dispatcher = make(replicas=0)
    for n in range(8):
        zone = "z" if n < 2 else "y"
        dispatcher.fleet.directory.put(
            directory.Listing(f"r{n}", "s", f"10.0.0.{n}:80", zone, 3)
        )
    dispatcher.fleet.refresh()
    dispatcher.counts_lag = lambda: True
    slots = [dispatcher.try_acquire(_request(BATCH)) for _ in range(8)]
    zones = [slot.replica.listing.zone for slot in slots if slot]
    assert len(zones) == 8
    assert zones.count("y") >= 4
    # Each replica runs one item now; the other slots are reserved for online
    # requests.
    assert dispatcher.try_acquire(_request(BATCH)) is None
    urgent = [
        dispatcher.try_acquire(_request(BATCH, urgent=True)) for _ in range(9)
    ]
    assert [slot is None for slot in urgent] == [False] * 8 + [True]
    online = [dispatcher.try_acquire(_request()) for _ in range(4)]
    assert any(slot and slot.replica.listing.zone == "z" for slot in online)


def test_recent_count_of_a_replica_overrides_stale_reports() -> None:
    """Guards against preempting items on a replica that has free slots."""
    clock = clocks.ManualClock()
    dispatcher = make(replicas=1, slots=8, clock=clock)
    dispatcher.counts_lag = lambda: True
    replica = dispatcher.fleet.get("r0")
    assert replica is not None
    for _ in range(4):
        assert dispatcher.try_acquire(_request(BATCH))
    dispatcher.fleet.note_report("peer", {"r0": (6, 3)}, 0)
    assert dispatcher.excess_batch_items(replica, urgent=True) == 2
    replica.note_reported_load(7, clock.now_ms())
    assert dispatcher.excess_batch_items(replica, urgent=True) == -1
    replica.note_reported_load(11, clock.now_ms())
    assert dispatcher.excess_batch_items(replica, urgent=True) == 3


def test_replica_that_says_it_leaves_gets_no_new_work() -> None:
    """Guards against new work that a replica has no time to finish.

    Its entry may lapse and come back meanwhile, or never tell.
    """
    dispatcher = make(slots=8)
    fleet = dispatcher.fleet
    replica = fleet.get("r0")
    assert replica is not None
    listing = replica.listing
    fleet.note_notice(replica, runs.Notice(leaving=True), 0)
    fleet.directory.remove("r0", 100_000)
    fleet.refresh()
    fleet.directory.put(listing)
    fleet.refresh()
    for work in (ONLINE, BATCH):
        slot = dispatcher.try_acquire(_request(work))
        assert slot is not None
        assert slot.replica.listing.id == "r1"
    # A new start under the same id takes work again.
    fleet.directory.put(msgspec.structs.replace(listing, started_ms=5))
    fleet.directory.remove("r1", 100_000)
    fleet.refresh()
    assert dispatcher.try_acquire(_request())


def test_replica_that_leaves_by_a_peers_report_gets_no_new_work() -> None:
    """Guards against a request of each gateway to a leaving replica."""
    dispatcher = make(replicas=1)
    dispatcher.fleet.note_leaving(["r0/0"], 0)
    assert not dispatcher.has_replica("s")
    assert not dispatcher.fleet.recently_leaving(0)


async def test_stream_is_given_up_once_its_version_has_no_replica(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against holding what can't be served until its deadline."""
    clock = fleets.Clock()
    dispatcher = make(replicas=2, slots=1, clock=clock)
    fleet = dispatcher.fleet
    old = fleet.get("r0")
    assert old is not None
    listing = msgspec.structs.replace(old.listing, version="v1")
    fleet.directory.put(listing)
    fleet.refresh()
    while dispatcher.try_acquire(_request(version="v1")):
        pass

    async def leave() -> None:
        await trio.sleep(1)
        fleet.directory.put(msgspec.structs.replace(listing, leaving=True))
        fleet.refresh()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(leave)
        req = _request(version="v1", deadline_ms=clock.now_ms() + 5_000)
        assert await dispatcher.acquire(req) is None
    assert trio.current_time() < 1.1


def _limit(dispatcher: dispatchers.Dispatcher, name: str, rate: float) -> None:
    """Lets a replica name a limit, of which one request is left."""
    replica = dispatcher.fleet.get(name)
    assert replica is not None
    notice = runs.Notice(rate_limit=rate)
    dispatcher.fleet.note_notice(replica, notice, -1_000 / rate)


def test_limited_replica_leaves_requests_to_others() -> None:
    """Guards against unused replicas beside one that takes few requests."""
    dispatcher = make(slots=8)
    _limit(dispatcher, "r0", 1.0)
    slots = [
        dispatcher.try_acquire(_request(objective_ms=300)) for _ in range(8)
    ]
    names = [slot.replica.listing.id for slot in slots if slot]
    assert sorted(names) == ["r0"] + ["r1"] * 7


def test_each_request_to_a_limited_replica_counts_once() -> None:
    """Guards against retries, items and resumed streams beyond the limit."""
    clock = clocks.ManualClock()
    dispatcher = make(replicas=1, slots=8, clock=clock)
    _limit(dispatcher, "r0", 2.0)
    taken = 0
    for _ in range(100):
        if slot := dispatcher.try_acquire(_request()):
            taken += 1
            dispatcher.release(slot)
        clock.advance(100)
    assert 19 <= taken <= 22


async def test_request_that_limits_rule_out_is_refused_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against waiting for a deadline that can't be met."""
    clock = fleets.Clock()
    dispatcher = make(replicas=1, slots=8, clock=clock)
    _limit(dispatcher, "r0", 0.5)
    waits: list[float] = []

    async def acquire() -> None:
        started_ms = clock.now_ms()
        req = _request(deadline_ms=started_ms + 6_000)
        if await dispatcher.acquire(req) is None:
            waits.append(clock.now_ms() - started_ms)

    async with trio.open_nursery() as nursery:
        for _ in range(12):
            nursery.start_soon(acquire)
            await trio.testing.wait_all_tasks_blocked()
    # One request every 2 s can be served, with one at once.
    assert sum(wait == 0 for wait in waits) >= 7
