"""Schedules batch items on the slots that online requests leave free."""

import dataclasses
import math
import random
from collections.abc import Callable
from typing import Protocol

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import configuration
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import item_order
from lacewingwood.jobs import item_routes
from lacewingwood.jobs import item_tasks
from lacewingwood.jobs import preemption
from lacewingwood.jobs import records
from lacewingwood.jobs import running
from lacewingwood.routing import directory
from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import load
from lacewingwood.routing import origins
from lacewingwood.routing import slots as slots_lib

# Interval of scheduling rounds, which start waiting items and preempt running
# ones. Peers' reports arrive about as often.
_TICK_MS = 25.0
# The same if coordinators grant the slots: they tell of free slots themselves.
_COORDINATED_TICK_MS = 100.0
# Gateways with waiting items take turns of this length at taking free slots. It
# is long enough for one gateway to take slots and for the others to receive its
# report.
_TURN_MS = 50
# An item is given up this long after its route was removed, in case a newer
# configuration restores the route.
_REMOVED_ROUTE_TIMEOUT_MS = 4_000.0


class Coordination(Protocol):
    """Slots that coordinators grant, in a large fleet."""

    def coordinated(self) -> bool:
        """Returns whether coordinators grant the slots."""

    def want_batch(
        self, service: str, count: int, urgent: bool, left_ms: float = 0.0
    ) -> None:
        """Sets how many slots waiting items of a service need."""


OnResult = Callable[[item_tasks.ItemTask, records.Result], None]
# Service, urgency, and software version of a demand for a slot.
_Demand = tuple[str, bool, str | None]

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True, eq=False)
class _Entry:
    """A scheduled item, and since when its route has been removed."""

    task: item_tasks.ItemTask
    on_result: OnResult
    route_removed_since_ms: float | None = None


class Scheduler:
    """Schedules the items of all partitions that this gateway owns."""

    __slots__ = (
        "_clock",
        "_contenders",
        "_coordination",
        "_current_configuration",
        "_dispatcher",
        "_entries",
        "_metrics",
        "_nursery",
        "_order",
        "_preemption",
        "_runner",
        "_wake",
        "_wall_ms",
        "_wanted_services",
    )

    def __init__(
        self,
        dispatcher: dispatchers.Dispatcher,
        runner: running.ItemRunner,
        current_configuration: item_routes.CurrentConfiguration,
        contenders: Callable[[], tuple[int, int]],
        clock: clocks.Clock,
        wall_ms: Callable[[], int],
        metrics: metrics_lib.Registry,
        coordination: Coordination | None = None,
    ) -> None:
        """Creates a scheduler, which does nothing until `run` is called.

        Args:
            dispatcher: Assigns the replicas' slots.
            runner: Runs the items.
            current_configuration: Returns the configuration, if any.
            contenders: Returns this gateway's position among the gateways with
                waiting items, and their number.
            clock: Source of monotonic time.
            wall_ms: Returns Unix time.
            metrics: Registry of counters.
            coordination: Grants slots in a large fleet; None if slots are
                always taken from the dispatcher.
        """
        self._dispatcher = dispatcher
        self._coordination = coordination
        self._wanted_services: set[str] = set()
        self._runner = runner
        self._current_configuration = current_configuration
        self._contenders = contenders
        self._clock = clock
        self._wall_ms = wall_ms
        self._metrics = metrics
        self._entries: dict[item_tasks.ItemTask, _Entry] = {}
        self._nursery: trio.Nursery | None = None
        self._wake = trio.Event()
        self._order = item_order.ItemOrder(wall_ms)
        self._preemption = preemption.Preemption(
            dispatcher, self._order, self._entries.keys(), clock
        )

    @property
    def counts(self) -> tuple[int, int]:
        """Numbers of waiting and running items."""
        running_count = sum(
            task.state is item_tasks.State.RUNNING for task in self._entries
        )
        return len(self._entries) - running_count, running_count

    def add(self, task: item_tasks.ItemTask, on_result: OnResult) -> None:
        """Adds an item; `on_result` is called unless the item is removed."""
        self._entries[task] = _Entry(task, on_result)
        self._wake.set()

    def remove(self, task: item_tasks.ItemTask) -> None:
        """Removes an item and cancels its run; `on_result` is not called."""
        if self._entries.pop(task, None) is not None and task.scope:
            task.scope.cancel()

    async def run(self) -> None:
        """Runs the scheduling rounds until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                tick_ms = _TICK_MS
                if self._is_coordinated():
                    tick_ms = _COORDINATED_TICK_MS
                    self._ask_for_slots()
                else:
                    self._preemption.preempt()
                    self._start_waiting()
                self._wake = trio.Event()
                timeout_s = tick_ms / 1000 if self._entries else math.inf
                with trio.move_on_after(timeout_s):
                    await self._wake.wait()

    def start_one(self, slot: slots_lib.Slot) -> bool:
        """Starts the most urgent waiting item in a granted slot.

        Returns:
            False if no item can use the slot.
        """
        now_ms = self._clock.now_ms()
        listing = slot.replica.listing
        for entry in self._waiting_in_order():
            task = entry.task
            if task.not_before_ms > now_ms:
                continue
            route = self._usable_route(entry, now_ms)
            if route is None or listing.id in self._excluded(task, listing):
                continue
            origin = self._origin_to_keep(task, route)
            if origin not in (None, load.origin_of(slot.replica)):
                continue
            if any(t.service == listing.service for t in route.targets):
                self._start_in(entry, slot, route)
                return True
        return False

    def preempt_one(self, replica: load.Replica) -> None:
        """Stops an item at a replica that an online request needs."""
        self._preemption.preempt_one(replica)

    def _is_coordinated(self) -> bool:
        return self._coordination is not None and (
            self._coordination.coordinated()
        )

    def _ask_for_slots(self) -> None:
        """Tells the coordinators how many items wait for a slot."""
        assert self._coordination is not None
        now_ms = self._clock.now_ms()
        counts: dict[str, int] = dict.fromkeys(self._wanted_services, 0)
        urgent: set[str] = set()
        left_ms: dict[str, float] = {}
        for entry in self._waiting_in_order():
            if entry.task.not_before_ms > now_ms:
                continue
            route = self._usable_route(entry, now_ms)
            if route is None:
                continue
            service = _choose_service(route)
            counts[service] = counts.get(service, 0) + 1
            left_ms.setdefault(service, self._order.remaining_ms(entry.task))
            if self._order.is_urgent(entry.task):
                urgent.add(service)
        self._wanted_services = {s for s, count in counts.items() if count}
        for service, count in counts.items():
            self._coordination.want_batch(
                service, count, service in urgent, left_ms.get(service, 0.0)
            )

    def _waiting_in_order(self) -> list[_Entry]:
        waiting = [
            entry
            for entry in self._entries.values()
            if entry.task.state is item_tasks.State.WAITING
        ]
        waiting.sort(key=lambda entry: self._order.start_key(entry.task))
        return waiting

    def _excluded(
        self, task: item_tasks.ItemTask, listing: directory.Listing
    ) -> set[str]:
        """Returns the replicas at which an item failed, if there are others."""
        exclude = task.failed_replica_ids
        if self._dispatcher.has_replica(listing.service, exclude):
            return exclude
        return set()

    def _origin_to_keep(
        self, task: item_tasks.ItemTask, route: configuration.Route
    ) -> origins.Origin | None:
        """Returns where an item has to go on, None if it may run anywhere.

        An item whose version has no replica any more starts again.
        """
        origin = task.origin
        if origin is None or all(
            target.service != origin.service for target in route.targets
        ):
            return None
        has_replica = self._dispatcher.has_replica(
            origin.service, version=origin.version
        )
        return origin if has_replica else None

    def _start_waiting(self) -> None:
        if not self._entries or not self._has_turn():
            return
        now_ms = self._clock.now_ms()
        waiting = self._waiting_in_order()
        full_services: set[_Demand] = set()
        for entry in waiting:
            if entry.task.not_before_ms <= now_ms:
                self._start(entry, now_ms, full_services)

    def _has_turn(self) -> bool:
        """Returns whether it is this gateway's turn to take free slots.

        All gateways see the same free slots and would take them at the same
        time, so they take turns by wall clock. If the clocks differ, several
        gateways may take the same slots.
        """
        position, count = self._contenders()
        return self._wall_ms() // _TURN_MS % count == position

    def _start(
        self, entry: _Entry, now_ms: float, full_services: set[_Demand]
    ) -> None:
        """Starts an item if its service has a free slot.

        Args:
            entry: The item.
            now_ms: Monotonic time.
            full_services: Services without a free slot, with the urgency and
                the version that were tried; a service without one is added.
        """
        task = entry.task
        route = self._usable_route(entry, now_ms)
        if route is None:
            return
        origin = self._origin_to_keep(task, route)
        service = origin.service if origin else _choose_service(route)
        version = origin.version if origin else None
        urgent = self._order.is_urgent(task)
        if full_services & {
            (service, urgent, None),
            (service, urgent, version),
        }:
            return
        exclude = task.failed_replica_ids
        if not self._dispatcher.has_replica(service, exclude, version):
            exclude = set()
        demand = slots_lib.SlotRequest(
            service=service,
            work=load.WorkKind.BATCH,
            exclude=exclude,
            urgent=urgent,
            version=version,
        )
        slot = self._dispatcher.try_acquire(demand)
        if slot is None:
            if not exclude:
                full_services.add((service, urgent, version))
            return
        self._start_in(entry, slot, route)

    def _usable_route(
        self, entry: _Entry, now_ms: float
    ) -> configuration.Route | None:
        """Returns the route of an item that may run; may give up the item."""
        task = entry.task
        since_expiry_ms = self._wall_ms() - task.job.expires_ms
        if since_expiry_ms >= records.MAX_CLOCK_SKEW_MS:
            self._finish(entry, task.result(completed=False))
            return None
        route = item_routes.find(
            self._current_configuration(), task.job, task.item
        )
        if route is item_routes.NoRoute.REMOVED:
            self._note_removed_route(entry, now_ms)
            return None
        entry.route_removed_since_ms = None
        return route if isinstance(route, configuration.Route) else None

    def _start_in(
        self, entry: _Entry, slot: slots_lib.Slot, route: configuration.Route
    ) -> None:
        entry.task.state = item_tasks.State.RUNNING
        assert self._nursery is not None
        self._nursery.start_soon(self._run, entry, slot, route)

    async def _run(
        self,
        entry: _Entry,
        slot: slots_lib.Slot,
        route: configuration.Route,
    ) -> None:
        task = entry.task
        started_ms = self._clock.now_ms()
        from_start = task.events.last_id is None
        result = await self._runner.run(task, slot, route)
        if result is None:
            task.state = item_tasks.State.WAITING
        elif self._entries.get(task) is entry:
            if result.completed and from_start:
                self._order.note_run(task, self._clock.now_ms() - started_ms)
            self._finish(entry, result)
        self._wake.set()

    def _finish(self, entry: _Entry, result: records.Result) -> None:
        entry.task.state = item_tasks.State.DONE
        self._entries.pop(entry.task, None)
        slack_ms = entry.task.job.due_ms - self._wall_ms()
        in_time = "yes" if slack_ms >= 0 else "no"
        outcome = "completed" if result.completed else "given_up"
        self._metrics.add("items_ended", outcome=outcome, in_time=in_time)
        entry.on_result(entry.task, result)

    def _note_removed_route(self, entry: _Entry, now_ms: float) -> None:
        if entry.route_removed_since_ms is None:
            entry.route_removed_since_ms = now_ms
        elif now_ms - entry.route_removed_since_ms > _REMOVED_ROUTE_TIMEOUT_MS:
            task = entry.task
            _log.info(
                "item given up",
                request_id=task.item.id,
                job=task.job.id,
                reason="route removed",
            )
            self._finish(entry, task.result(completed=False))


def _choose_service(route: configuration.Route) -> str:
    """Returns one of a route's services by their weights."""
    weights = [target.weight for target in route.targets]
    return random.choices(route.targets, weights)[0].service
