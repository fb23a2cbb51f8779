"""Gives replicas' slots to requests, and makes those wait that find none.

Replicas admit in order of arrival and know no priorities, so requests wait
here and not in the replicas' queues.
"""

import collections
import dataclasses
import random
from collections.abc import Callable
from collections.abc import Collection

import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.routing import load
from lacewingwood.routing import outliers

# Online requests that may wait in a replica's own queue: a slot that comes
# free is then taken at once, and a stale count costs nobody the objective.
_OVERSHOOT = 1
# Slots that batch work leaves free on each replica for online requests that
# arrive before a batch item could yield; more if counts lag by some requests,
# or items start on replicas that are full and yield at once.
_RESERVE = 0
_LAGGING_RESERVE = 2
_LAGGING_URGENT_RESERVE = 1
# Requests that can no longer meet their objective wait behind those that can;
# a first event takes about this long after the request was sent.
_FIRST_EVENT_MS = 80.0
# Replicas to choose from if counts lag: a few random ones even out nearly as
# well as the least busy of all, without a rush to it. One more of all zones
# for online requests evens out the zones.
_DRAWN = 2
_DRAWN_ANYWHERE = 1
# Waiting requests look again at this interval: peers' reports and pauses that
# end free slots without an event here.
_POLL_MS = 20.0


@dataclasses.dataclass(slots=True, eq=False)
class SlotRequest:
    """A request for a slot.

    Attributes:
        service: Service that must run it.
        work: Kind of work.
        rank: Priority, 0 is the highest.
        arrived_ms: When the request arrived.
        objective_ms: When its first event is due, counted from `arrived_ms`.
        deadline_ms: When its caller no longer waits.
        exclude: Replicas that must not be used.
        urgent: True for batch work that may take the last free slots.
        repeatable: True if it may run again elsewhere should the run fail.
    """

    service: str
    work: load.WorkKind
    rank: int = 0
    arrived_ms: float = 0.0
    objective_ms: float = 0.0
    deadline_ms: float = float("inf")
    exclude: set[str] = dataclasses.field(default_factory=set)
    urgent: bool = False
    repeatable: bool = True


@dataclasses.dataclass(slots=True, eq=False)
class Slot:
    """A slot on a replica, held until `Dispatcher.release`."""

    replica: load.Replica
    work: load.WorkKind
    held: bool = True


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    demand: SlotRequest
    ready: trio.Event
    slot: Slot | None = None


class Dispatcher:
    """Slots of all replicas, as far as this gateway knows.

    Attributes:
        fleet: The replicas and their load.
        on_change: Called when this gateway's counts have changed.
        counts_lag: Returns whether peers' counts are old by some requests.
    """

    __slots__ = (
        "_clock",
        "_metrics",
        "_rng",
        "_waiting",
        "_zone",
        "counts_lag",
        "fleet",
        "on_change",
    )

    def __init__(
        self,
        fleet: load.Fleet,
        zone: str,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
        rng: random.Random | None = None,
    ) -> None:
        self.fleet = fleet
        self.on_change = lambda: None
        self.counts_lag: Callable[[], bool] = lambda: False
        self._zone = zone
        self._clock = clock
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._waiting: collections.deque[_Waiter] = collections.deque()

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def has_replica(
        self, service: str, exclude: Collection[str] = frozenset()
    ) -> bool:
        """Returns whether a replica of a service, besides some, can be used."""
        return any(
            not r.listing.leaving and r.listing.id not in exclude
            for r in self.fleet.of_service(service)
        )

    def try_acquire(self, demand: SlotRequest) -> Slot | None:
        """Returns a slot if one is free now."""
        replica = self._choose(demand)
        return self._take(replica, demand.work) if replica else None

    async def acquire(self, demand: SlotRequest) -> Slot | None:
        """Waits for a slot; None if there was none before the deadline."""
        if not self._waiting and (slot := self.try_acquire(demand)):
            return slot
        waiter = _Waiter(demand, trio.Event())
        self._waiting.append(waiter)
        asked_ms = self._clock.now_ms()
        remaining_ms = demand.deadline_ms - asked_ms
        try:
            with trio.move_on_after(max(0.0, remaining_ms) / 1000):
                await self._wait(waiter)
        except BaseException:
            if waiter.slot is not None:
                self.release(waiter.slot)
            raise
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)
        waited_ms = self._clock.now_ms() - asked_ms
        self._metrics.histogram("slot_wait").record_ms(waited_ms)
        return waiter.slot

    def release(self, slot: Slot) -> None:
        """Gives a slot back."""
        if not slot.held:
            return
        slot.held = False
        slot.replica.own_counts[slot.work.value] -= 1
        self.on_change()
        self.serve_waiting()

    def serve_waiting(self) -> None:
        """Gives free slots to waiting requests, the most urgent first."""
        if not self._waiting:
            return
        now_ms = self._clock.now_ms()
        ordered = sorted(self._waiting, key=lambda w: _order(w.demand, now_ms))
        for waiter in ordered:
            slot = self.try_acquire(waiter.demand)
            if slot is not None:
                waiter.slot = slot
                self._waiting.remove(waiter)
                waiter.ready.set()

    def excess_batch_items(self, replica: load.Replica, urgent: bool) -> int:
        """Returns by how much batch work must shrink on a replica.

        Items that are not urgent leave a slot free for the next online
        request, which then need not wait for one to yield.
        """
        reserve = 0 if urgent else _RESERVE
        now_ms = self._clock.now_ms()
        lag = self.counts_lag()
        held = (
            replica.min_in_flight(now_ms) if lag else replica.in_flight(now_ms)
        )
        return min(replica.batch(), held + reserve - replica.slots)

    async def _wait(self, waiter: _Waiter) -> None:
        while not waiter.ready.is_set():
            with trio.move_on_after(_POLL_MS / 1000):
                await waiter.ready.wait()
            if not waiter.ready.is_set():
                self.serve_waiting()

    def _take(self, replica: load.Replica, work: load.WorkKind) -> Slot:
        replica.own_counts[work.value] += 1
        self.on_change()
        return Slot(replica, work)

    def _choose(self, demand: SlotRequest) -> load.Replica | None:
        now_ms = self._clock.now_ms()
        usable = [
            r
            for r in self.fleet.of_service(demand.service)
            if not r.listing.leaving and r.listing.id not in demand.exclude
        ]
        # Suspicion alone must not take the last replicas out of use.
        for tier in _tiers(usable, demand, now_ms):
            if replica := self._least_busy(tier, demand, now_ms):
                return replica
        return None

    def _least_busy(
        self, replicas: list[load.Replica], demand: SlotRequest, now_ms: float
    ) -> load.Replica | None:
        reserve = self._reserve(demand)
        open_ = [r for r in replicas if _has_room(r, demand, reserve, now_ms)]
        if not open_:
            return None
        if self.counts_lag():
            open_ = self._draw(open_, demand.work)
        return min(open_, key=lambda r: self._load_order(r, now_ms))

    def _reserve(self, demand: SlotRequest) -> int:
        """Returns the slots that batch work must leave free on a replica."""
        if self.counts_lag():
            return (
                _LAGGING_URGENT_RESERVE if demand.urgent else _LAGGING_RESERVE
            )
        return 0 if demand.urgent else _RESERVE

    def _draw(
        self, replicas: list[load.Replica], work: load.WorkKind
    ) -> list[load.Replica]:
        """Returns a few random replicas, for online requests mostly near ones.

        Gateways whose counts are old would all choose the same replica.
        Batch work takes what is left in any zone: few gateways have it, and
        their own zones may be the busiest.
        """
        if work is load.WorkKind.BATCH:
            return self._sample(replicas, _DRAWN + _DRAWN_ANYWHERE)
        near = [r for r in replicas if r.listing.zone == self._zone]
        return [
            *self._sample(near or replicas, _DRAWN),
            *self._sample(replicas, _DRAWN_ANYWHERE),
        ]

    def _sample(
        self, replicas: list[load.Replica], count: int
    ) -> list[load.Replica]:
        return self._rng.sample(replicas, min(count, len(replicas)))

    def _load_order(
        self, replica: load.Replica, now_ms: float
    ) -> tuple[float, bool, float]:
        busy = replica.in_flight(now_ms) / replica.slots
        return busy, replica.listing.zone != self._zone, self._rng.random()


def _tiers(
    replicas: list[load.Replica], demand: SlotRequest, now_ms: float
) -> list[list[load.Replica]]:
    """Returns the replicas that a request may use, in order of preference.

    Requests that may run again take part in trying out replicas that failed
    before; online ones rather use a replica that often fails than wait.
    """
    sound: list[load.Replica] = []
    doubtful: list[load.Replica] = []
    dead: list[load.Replica] = []
    for replica in replicas:
        match replica.standing(now_ms):
            case outliers.Standing.SOUND:
                sound.append(replica)
            case outliers.Standing.PROBATION:
                (sound if demand.repeatable else doubtful).append(replica)
            case outliers.Standing.FAILING:
                doubtful.append(replica)
            case outliers.Standing.DEAD:
                dead.append(replica)
    tiers = [tier for tier in (sound, doubtful) if tier] or [dead]
    if demand.repeatable and demand.work is load.WorkKind.ONLINE:
        return tiers
    return tiers[:1]


def _has_room(
    replica: load.Replica, demand: SlotRequest, reserve: int, now_ms: float
) -> bool:
    total = replica.in_flight(now_ms)
    if demand.work is load.WorkKind.ONLINE:
        # Batch items yield, so only online work counts against it.
        if total < replica.slots:
            return True
        return (
            replica.online() < replica.slots
            and total < replica.slots + _OVERSHOOT
        )
    return total + reserve < replica.slots


def _order(demand: SlotRequest, now_ms: float) -> tuple[bool, int, float]:
    due_ms = demand.arrived_ms + demand.objective_ms - _FIRST_EVENT_MS
    return now_ms > due_ms, demand.rank, demand.arrived_ms
