"""Assigns replicas' slots to requests and queues requests that find none.

Replicas run requests in order of arrival and have no priorities, so requests
wait in the dispatcher and not in the replicas' own queues.
"""

import collections
import dataclasses
import random
from collections.abc import Callable
from collections.abc import Collection

import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.routing import fair_order
from lacewingwood.routing import forecast as forecasts
from lacewingwood.routing import load
from lacewingwood.routing import outliers
from lacewingwood.routing import ranking
from lacewingwood.routing import slots as slots_lib

# Online requests that may wait in a replica's own queue. A queued request takes
# a freed slot at once, and with so short a queue a stale count does not make
# requests miss their objective.
_MAX_QUEUED_ONLINE = 1
# Slots that batch work leaves free on each replica for online requests that
# arrive before a batch item could be preempted. More are reserved while counts
# lag by some requests; otherwise items would start on full replicas and be
# preempted at once.
_RESERVED_SLOTS = 0
_LAGGING_RESERVED_SLOTS = 2
_LAGGING_URGENT_RESERVED_SLOTS = 1
# Slots that a request which must slow no other leaves free on its replica, for
# the next request.
_SPARE_SLOTS = 1
# Typical time from sending a request to its first event. It decides which
# waiting requests can still meet their objective; the others are served last.
_EXPECTED_FIRST_EVENT_MS = 80.0
# Candidates drawn at random while counts lag. Choosing the least busy of a few
# random replicas balances load nearly as well as choosing the least busy of
# all, without every gateway choosing the same one. For online requests, one
# more candidate from any zone balances load between zones.
_RANDOM_CANDIDATES = 2
_RANDOM_CANDIDATES_ANY_ZONE = 1
# How much longer than coordinators a gateway with late counts waits for each
# request to a replica that limits them. Nearly all that it may send at once, so
# that it uses only what others leave.
_LAGGING_STAGGER_S = 0.6
# Interval at which waiting requests are served even without an event in this
# process, as peers' reports and the end of a replica's pause also free slots.
_POLL_INTERVAL_MS = 20.0


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    req: slots_lib.SlotRequest
    ready: trio.Event
    tag: float = 0.0
    slot: slots_lib.Slot | None = None


@dataclasses.dataclass(slots=True, eq=False)
class _Queue:
    """Shares and forecast of the requests that wait for one service."""

    waiting: int = 0
    order: fair_order.FairOrder = dataclasses.field(
        default_factory=fair_order.FairOrder
    )
    forecast: forecasts.WaitForecast = dataclasses.field(
        default_factory=forecasts.WaitForecast
    )

    def add(self, req: slots_lib.SlotRequest, now_ms: float) -> float:
        """Returns the tag of a request that starts to wait."""
        self.waiting += 1
        self.forecast.note_waiting(now_ms)
        return self.order.add(req.customer, req.tokens)

    def remove(
        self, req: slots_lib.SlotRequest, now_ms: float, served: bool = False
    ) -> None:
        """Removes a request, which has got a slot if `served`."""
        self.waiting -= 1
        self.forecast.note_left(self.waiting, now_ms)
        if served:
            self.order.note_served(req.customer, req.tokens)
        else:
            self.order.cancel(req.customer, req.tokens)


class Dispatcher:
    """Assigns replicas' slots by the load that this gateway knows of.

    Attributes:
        fleet: The replicas and their load.
        on_change: Called when this gateway's counts have changed.
        counts_lag: Returns whether peers' counts may be some requests behind.
        stagger_s: Returns how much longer than others this gateway waits for
            each request to a replica that limits them.
        contention: True if customers compete for the slots; waiting requests
            are then served in their fair shares.
        turn: Returns this gateway's position among those that run, their number
            and the Unix time; see `cold_replicas`.
    """

    __slots__ = (
        "_clock",
        "_metrics",
        "_order",
        "_queues",
        "_rng",
        "_waiting",
        "_zone",
        "contention",
        "counts_lag",
        "fleet",
        "on_change",
        "stagger_s",
        "turn",
    )

    def __init__(
        self,
        fleet: load.Fleet,
        zone: str,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
        rng: random.Random | None = None,
        contention: bool = False,
    ) -> None:
        self.fleet = fleet
        self.contention = contention
        self.on_change = lambda: None
        self.counts_lag: Callable[[], bool] = lambda: False
        self.stagger_s: Callable[[], float] = lambda: 0.0
        self.turn: Callable[[], tuple[int, int, int]] = lambda: (0, 1, 0)
        self._zone = zone
        self._clock = clock
        self._metrics = metrics
        self._rng = rng or random.Random()
        # Time of the last look at the order of the gateways, `stagger_s`, and
        # `turn`: one look serves for all replicas.
        self._order = (float("-inf"), 0.0, (0, 1, 0))
        self._waiting: collections.deque[_Waiter] = collections.deque()
        # Order and forecast of what waits, by service.
        self._queues: dict[str, _Queue] = {}

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def has_replica(
        self,
        service: str,
        exclude: Collection[str] = frozenset(),
        version: str | None = None,
    ) -> bool:
        """Returns whether a service has a usable replica; see `Slots`."""
        req = slots_lib.SlotRequest(
            service, load.WorkKind.ONLINE, exclude=set(exclude), version=version
        )
        return any(map(req.allows, self.fleet.of_service(service)))

    def try_acquire(self, req: slots_lib.SlotRequest) -> slots_lib.Slot | None:
        """Returns a slot if one is free now."""
        replica = self._choose_replica(req)
        if replica is None:
            return None
        now_ms = self._clock.now_ms()
        self.fleet.limits.note_sent(
            replica.listing.incarnation, now_ms, alone=self.counts_lag()
        )
        return self.assign(replica, req.work)

    async def acquire(
        self, req: slots_lib.SlotRequest
    ) -> slots_lib.Slot | None:
        """Waits for a slot.

        Returns:
            None if the deadline passes first, or if it is known before that no
            replica can run the request in time.
        """
        if req.spare:
            others = (waiter.req.service for waiter in self._waiting)
            return None if req.service in others else self.try_acquire(req)
        if not self._waiting and (slot := self.try_acquire(req)):
            return slot
        if self._is_hopeless(req):
            self._metrics.add("slots_hopeless")
            return None
        started_ms = self._clock.now_ms()
        if self._is_forecast_late(req, started_ms):
            req.hopeless = True
            self._metrics.add("slots_forecast_late")
            return None
        queue = self._queues.setdefault(req.service, _Queue())
        tag = queue.add(req, started_ms)
        waiter = _Waiter(req, trio.Event(), tag)
        self._waiting.append(waiter)
        remaining_ms = req.deadline_ms - started_ms
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
                queue.remove(req, self._clock.now_ms())
        waited_ms = self._clock.now_ms() - started_ms
        self._metrics.histogram("slot_wait").record_ms(waited_ms)
        return waiter.slot

    def release(self, slot: slots_lib.Slot) -> None:
        """Releases a slot; further calls have no effect."""
        if not slot.held:
            return
        slot.held = False
        slot.replica.own_counts[slot.work.value] -= 1
        deviation, weight = slot.deviation
        if weight and not slot.ticket:
            # The coordinator learns it from the end of a ticket.
            now_ms = self._clock.now_ms()
            slot.replica.speed.note_deviation(deviation, weight, now_ms)
        self.on_change()
        self.serve_waiting()

    def serve_waiting(self) -> None:
        """Assigns free slots to waiting requests in order of priority."""
        if not self._waiting:
            return
        now_ms = self._clock.now_ms()
        ordered = sorted(
            self._waiting, key=lambda w: self._waiter_key(w, now_ms)
        )
        for waiter in ordered:
            req = waiter.req
            slot = self.try_acquire(req)
            if slot is not None:
                waiter.slot = slot
                self._waiting.remove(waiter)
                self._queues[req.service].remove(req, now_ms, served=True)
                waiter.ready.set()

    def _waiter_key(
        self, waiter: _Waiter, now_ms: float
    ) -> tuple[float | bool, ...]:
        req = waiter.req
        if not self.contention:
            return waiting_key(req, now_ms)
        excess = self._queues[req.service].order.excess(waiter.tag)
        return fair_waiting_key(req, now_ms, excess)

    def excess_batch_items(self, replica: load.Replica, urgent: bool) -> int:
        """Returns how many batch items must be preempted on a replica.

        Items that are not urgent leave `_RESERVED_SLOTS` free for the next
        online requests, which then need not wait for a preemption.
        """
        reserve = 0 if urgent else _RESERVED_SLOTS
        now_ms = self._clock.now_ms()
        lag = self.counts_lag()
        occupied = (
            replica.min_in_flight(now_ms) if lag else replica.in_flight(now_ms)
        )
        return min(replica.batch(), occupied + reserve - replica.slots)

    def _is_hopeless(self, req: slots_lib.SlotRequest) -> bool:
        """Returns whether limited replicas can't run a request in time.

        That is certain if the requests that wait before it at this gateway are
        more than all usable replicas take until its deadline.
        """
        now_ms = self._clock.now_ms()
        limits = self.fleet.limits
        usable = [r.listing.incarnation for r in self._usable(req)]
        if not usable or not all(
            limits.has_limit(name, now_ms) for name in usable
        ):
            return False
        left_ms = req.deadline_ms - now_ms
        # Taken as within its customer's share, for the least number before it.
        key: tuple[float | bool, ...] = waiting_key(req, now_ms)
        if self.contention:
            key = fair_waiting_key(req, now_ms)
        before = sum(
            waiter.req.service == req.service
            and self._waiter_key(waiter, now_ms) <= key
            for waiter in self._waiting
        )
        return before + 1 > sum(
            limits.expected(name, now_ms, left_ms) for name in usable
        )

    def _is_forecast_late(
        self, req: slots_lib.SlotRequest, now_ms: float
    ) -> bool:
        """Returns whether a request can't begin before its deadline.

        That is forecast from what waits before it at this gateway. Requests
        that only some replicas may run are not forecast.
        """
        if not self.contention:
            return False
        queue = self._queues.get(req.service)
        if queue is None or not queue.waiting or req.version is not None:
            return False
        key = fair_waiting_key(
            req, now_ms, queue.order.next_excess(req.customer)
        )
        ahead = sum(
            waiter.req.service == req.service
            and self._waiter_key(waiter, now_ms) < key
            for waiter in self._waiting
        )
        wait_ms = queue.forecast.shortest_wait_ms(ahead, now_ms)
        return now_ms + wait_ms > req.deadline_ms

    async def _wait(self, waiter: _Waiter) -> None:
        while not waiter.ready.is_set():
            with trio.move_on_after(_POLL_INTERVAL_MS / 1000):
                await waiter.ready.wait()
            if not waiter.ready.is_set():
                self.serve_waiting()
            req = waiter.req
            if req.version is not None and not self._usable(req):
                # The last replica of its version has left.
                return
            if self.fleet.is_evacuated(req.service):
                return

    def assign(
        self, replica: load.Replica, work: load.WorkKind
    ) -> slots_lib.Slot:
        """Returns a slot at a replica, whether or not one is free."""
        replica.own_counts[work.value] += 1
        self.on_change()
        return slots_lib.Slot(replica, work)

    def _choose_replica(
        self, req: slots_lib.SlotRequest
    ) -> load.Replica | None:
        now_ms = self._clock.now_ms()
        usable = self._usable(req)
        # Failures alone must not make all replicas of a service unusable.
        for tier in tiers(usable, req, now_ms):
            if replica := self._least_busy(tier, req, now_ms):
                return replica
        return None

    def _usable(self, req: slots_lib.SlotRequest) -> list[load.Replica]:
        """Returns the replicas that may run a request, their load aside."""
        allowed = [
            r for r in self.fleet.of_service(req.service) if req.allows(r)
        ]
        return [r for r in allowed if not r.version_pending] or allowed

    def _least_busy(
        self,
        replicas: list[load.Replica],
        req: slots_lib.SlotRequest,
        now_ms: float,
    ) -> load.Replica | None:
        reserve = self._reserve(req)
        available = [
            r
            for r in replicas
            if _has_free_slot(r, req, reserve, now_ms)
            and self._may_send(r, req, now_ms)
        ]
        if not available:
            return None
        if req.avoid_zone is not None:
            available = [
                r for r in available if r.listing.zone != req.avoid_zone
            ] or available
        if self.counts_lag():
            available = self._draw_candidates(available, req.work)
        return min(available, key=lambda r: self._load_key(r, now_ms))

    def _may_send(
        self, replica: load.Replica, req: slots_lib.SlotRequest, now_ms: float
    ) -> bool:
        """Returns whether a replica's own limit allows another request."""
        limits = self.fleet.limits
        incarnation = replica.listing.incarnation
        if not limits.has_limit(incarnation, now_ms):
            return True
        batch = req.work is load.WorkKind.BATCH
        if self._order[0] != now_ms:
            self._order = now_ms, self.stagger_s(), self.turn()
        _, stagger_s, turn = self._order
        if self.counts_lag():
            return limits.may_send_alone(
                incarnation, now_ms, batch, _LAGGING_STAGGER_S, turn
            )
        return limits.may_send(incarnation, now_ms, batch, stagger_s, turn=turn)

    def _reserve(self, req: slots_lib.SlotRequest) -> int:
        """Returns the slots that batch work must leave free on a replica."""
        if self.counts_lag():
            return (
                _LAGGING_URGENT_RESERVED_SLOTS
                if req.urgent
                else _LAGGING_RESERVED_SLOTS
            )
        return 0 if req.urgent else _RESERVED_SLOTS

    def _draw_candidates(
        self, replicas: list[load.Replica], work: load.WorkKind
    ) -> list[load.Replica]:
        """Returns random candidates, for online requests mostly of this zone.

        Gateways with stale counts would otherwise all choose the same replica.
        Batch work uses free slots of any zone, since few gateways run batch
        work and their own zones may be the busiest.
        """
        if work is load.WorkKind.BATCH:
            return self._sample(
                replicas, _RANDOM_CANDIDATES + _RANDOM_CANDIDATES_ANY_ZONE
            )
        same_zone = [r for r in replicas if r.listing.zone == self._zone]
        return [
            *self._sample(same_zone or replicas, _RANDOM_CANDIDATES),
            *self._sample(replicas, _RANDOM_CANDIDATES_ANY_ZONE),
        ]

    def _sample(
        self, replicas: list[load.Replica], count: int
    ) -> list[load.Replica]:
        return self._rng.sample(replicas, min(count, len(replicas)))

    def _load_key(
        self, replica: load.Replica, now_ms: float
    ) -> tuple[float, bool, float]:
        busy = replica.in_flight(now_ms) / replica.slots
        # Requests that a replica still takes are kept for a burst as long as
        # others have slots.
        limits = self.fleet.limits
        used = limits.used_share(replica.listing.incarnation, now_ms)
        is_far = replica.listing.zone != self._zone
        finish = ranking.finish(replica, max(busy, used), now_ms)
        return finish, is_far, self._rng.random()


def tiers(
    replicas: list[load.Replica], req: slots_lib.SlotRequest, now_ms: float
) -> list[list[load.Replica]]:
    """Returns the replicas that a request may use, in order of preference.

    Repeatable requests also probe replicas on probation. Repeatable online
    requests use a replica that often fails rather than wait.
    """
    preferred: list[load.Replica] = []
    fallback: list[load.Replica] = []
    last_resort: list[load.Replica] = []
    for replica in replicas:
        match replica.standing(now_ms):
            case outliers.Standing.SOUND:
                preferred.append(replica)
            case outliers.Standing.PROBATION:
                (preferred if req.repeatable else fallback).append(replica)
            case outliers.Standing.FAILING:
                fallback.append(replica)
            case outliers.Standing.DEAD:
                last_resort.append(replica)
    tiers = [tier for tier in (preferred, fallback) if tier] or [last_resort]
    if req.repeatable and req.work is load.WorkKind.ONLINE:
        return tiers
    return tiers[:1]


def _has_free_slot(
    replica: load.Replica,
    req: slots_lib.SlotRequest,
    reserve: int,
    now_ms: float,
) -> bool:
    total = replica.in_flight(now_ms)
    if req.spare:
        sound = replica.standing(now_ms) is outliers.Standing.SOUND
        return sound and total + _SPARE_SLOTS < replica.slots
    if req.work is load.WorkKind.ONLINE:
        # Batch items are preempted for online requests, so one may be queued on
        # a full replica unless online requests alone fill it.
        usable = ranking.usable_slots(
            replica, req.arrived_ms, req.objective_ms, now_ms
        )
        if total < usable:
            return True
        return (
            replica.online() < usable
            and total < replica.slots + _MAX_QUEUED_ONLINE
        )
    return total + reserve < replica.slots


def waiting_key(
    req: slots_lib.SlotRequest, now_ms: float
) -> tuple[bool, int, float]:
    """Returns the order in which requests are served.

    Those that can still meet their objective come first.
    """
    return _misses_objective(req, now_ms), req.rank, req.arrived_ms


def _misses_objective(req: slots_lib.SlotRequest, now_ms: float) -> bool:
    due_ms = req.arrived_ms + req.objective_ms - _EXPECTED_FIRST_EVENT_MS
    return now_ms > due_ms


def fair_waiting_key(
    req: slots_lib.SlotRequest, now_ms: float, excess: float = 0.0
) -> tuple[float, bool, int, bool, float]:
    """Returns the order in which requests of competing customers are served.

    Those that are ahead of their customer's share come last. Of the others
    those that have waited for long come first, then those of higher priority,
    then those that can still meet their objective.

    Args:
        req: The request.
        now_ms: Current time.
        excess: How far it is ahead of its customer's share.
    """
    overdue = fair_order.is_overdue(req.arrived_ms, req.deadline_ms, now_ms)
    late = _misses_objective(req, now_ms)
    return excess, not overdue, req.rank, late, req.arrived_ms
