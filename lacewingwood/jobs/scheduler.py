"""Decides which items run when, in what online requests leave."""

import dataclasses
import math
import random
from collections.abc import Callable

import trio

from lacewingwood import clock as clocks
from lacewingwood import configuration
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import records
from lacewingwood.jobs import running
from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import load

# Interval at which slots are looked for and items yield; peers' reports come
# about as often.
_TICK_MS = 25.0
# Gateways with waiting items take free slots in turns of this length: time for
# one to take them and for the others to hear of it.
_TURN_MS = 50
# After some items were told to yield, the counts are out of date for this long;
# the longer time is for counts that come through hubs and digests. Items told
# to yield again meanwhile would leave slots free and have to be read again.
_YIELD_PAUSE_MS = 60.0
_LAGGING_YIELD_PAUSE_MS = 600.0
# An item whose deadline is nearer than its run and this time takes the slots,
# too, that others leave free for the next online request.
_URGENT_SLACK_MS = 2_500.0
# An item that will be late by more than this gains nothing from urgency.
_HOPELESS_SLACK_MS = -1_000.0
# Until the first item was completed, a run is taken to last this long.
_FIRST_RUN_MS = 5_000.0
_LEAST_RUN_MS = 300.0
# Weight of the newest run in the moving averages.
_SMOOTHING = 0.1
# A route must be missing for this long before its items are given up: a new
# process may not have the newest configuration yet.
_ROUTE_GONE_MS = 4_000.0

FindRoute = Callable[[str, str], configuration.Route | None]
OnResult = Callable[[running.ItemTask, records.Result], None]


@dataclasses.dataclass(slots=True, eq=False)
class _Entry:
    task: running.ItemTask
    on_result: OnResult
    route_missing_ms: float | None = None


class Scheduler:
    """All items of the partitions that this gateway owns."""

    __slots__ = (
        "_clock",
        "_contenders",
        "_dispatcher",
        "_entries",
        "_events",
        "_find_route",
        "_metrics",
        "_nursery",
        "_run_ms",
        "_runner",
        "_wake",
        "_wall_ms",
        "_yielded_ms",
    )

    def __init__(
        self,
        dispatcher: dispatchers.Dispatcher,
        runner: running.ItemRunner,
        find_route: FindRoute,
        contenders: Callable[[], tuple[int, int]],
        clock: clocks.Clock,
        wall_ms: Callable[[], int],
        metrics: metrics_lib.Registry,
    ) -> None:
        self._dispatcher = dispatcher
        self._runner = runner
        self._find_route = find_route
        self._contenders = contenders
        self._clock = clock
        self._wall_ms = wall_ms
        self._metrics = metrics
        self._entries: dict[running.ItemTask, _Entry] = {}
        self._nursery: trio.Nursery | None = None
        self._wake = trio.Event()
        # Moving averages over completed items: duration and events.
        self._run_ms = _FIRST_RUN_MS
        self._yielded_ms: dict[str, float] = {}
        self._events = 0.0

    @property
    def counts(self) -> tuple[int, int]:
        """Numbers of items that wait and that run."""
        ran = sum(task.state is running.State.RUNNING for task in self._entries)
        return len(self._entries) - ran, ran

    def add(self, task: running.ItemTask, on_result: OnResult) -> None:
        """Takes an item; `on_result` gets its outcome unless it is removed."""
        self._entries[task] = _Entry(task, on_result)
        self._wake.set()

    def remove(self, task: running.ItemTask) -> None:
        """Stops an item; there will be no outcome."""
        if self._entries.pop(task, None) is not None and task.scope:
            task.scope.cancel()

    async def run(self) -> None:
        """Schedules until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                self._yield_slots()
                self._fill()
                self._wake = trio.Event()
                tick_s = _TICK_MS / 1000 if self._entries else math.inf
                with trio.move_on_after(tick_s):
                    await self._wake.wait()

    def slack_ms(self, task: running.ItemTask) -> float:
        """Returns the time until an item must run to be done when due."""
        left_ms = task.job.due_ms - self._wall_ms()
        return left_ms - self._remaining_ms(task)

    def _remaining_ms(self, task: running.ItemTask) -> float:
        done = (task.events.last_id or 0) / self._events if self._events else 0
        return max(_LEAST_RUN_MS, self._run_ms * (1 - min(done, 1.0)))

    def _fill(self) -> None:
        now_ms = self._clock.now_ms()
        waiting = [
            entry
            for entry in self._entries.values()
            if entry.task.state is running.State.WAITING
        ]
        if not waiting:
            return
        if not self._has_turn():
            return
        waiting.sort(key=lambda entry: self._order(entry.task))
        full: set[tuple[str, bool]] = set()
        for entry in waiting:
            if entry.task.not_before_ms <= now_ms:
                self._start(entry, now_ms, full)

    def _has_turn(self) -> bool:
        """Returns whether this gateway may take free slots now.

        All gateways see the same free slots and would all take them; so they
        take turns, by the time of day. Clocks that differ cost collisions.
        """
        position, count = self._contenders()
        return self._wall_ms() // _TURN_MS % count == position

    def _order(self, task: running.ItemTask) -> tuple[bool, bool, float]:
        """Returns the order of starts.

        Items that are late anyway gain less than those that can be in time;
        and while there is too little room, items that are begun are finished
        first, else all of them come too late.
        """
        hopeless = self.slack_ms(task) < _HOPELESS_SLACK_MS
        if task.events.last_id is None:
            return hopeless, True, task.job.due_ms
        return hopeless, False, self._remaining_ms(task)

    def _start(
        self, entry: _Entry, now_ms: float, full: set[tuple[str, bool]]
    ) -> None:
        """Starts an item if a slot is free; notes services without one."""
        task = entry.task
        expired_ms = self._wall_ms() - task.job.expires_ms
        if expired_ms >= records.MAX_CLOCK_SKEW_MS:
            self._finish(entry, task.result(completed=False))
            return
        route = self._find_route(task.job.host, task.item.target)
        if route is None or not route.targets:
            self._note_no_route(entry, now_ms)
            return
        entry.route_missing_ms = None
        weights = [target.weight for target in route.targets]
        service = random.choices(route.targets, weights)[0].service
        urgent = self._urgent(task)
        if (service, urgent) in full:
            return
        exclude = task.failed_at
        if not self._dispatcher.known(service, exclude):
            exclude = set()
        demand = dispatchers.Demand(
            service=service,
            work=load.Work.BATCH,
            exclude=exclude,
            urgent=urgent,
        )
        slot = self._dispatcher.try_acquire(demand)
        if slot is None:
            if not exclude:
                full.add((service, urgent))
            return
        task.state = running.State.RUNNING
        assert self._nursery is not None
        self._nursery.start_soon(self._run, entry, slot, route)

    async def _run(
        self,
        entry: _Entry,
        slot: dispatchers.Slot,
        route: configuration.Route,
    ) -> None:
        task = entry.task
        started_ms = self._clock.now_ms()
        whole = task.events.last_id is None
        result = await self._runner.run(task, slot, route)
        if result is None:
            task.state = running.State.WAITING
        elif self._entries.get(task) is entry:
            if result.completed and whole:
                self._measure(task, self._clock.now_ms() - started_ms)
            self._finish(entry, result)
        self._wake.set()

    def _finish(self, entry: _Entry, result: records.Result) -> None:
        entry.task.state = running.State.DONE
        self._entries.pop(entry.task, None)
        slack_ms = entry.task.job.due_ms - self._wall_ms()
        in_time = "yes" if slack_ms >= 0 else "no"
        done = "completed" if result.completed else "given_up"
        self._metrics.add("items_ended", outcome=done, in_time=in_time)
        entry.on_result(entry.task, result)

    def _measure(self, task: running.ItemTask, took_ms: float) -> None:
        events = task.events.last_id or 0
        if not self._events:
            self._run_ms, self._events = took_ms, float(events)
        self._run_ms += _SMOOTHING * (took_ms - self._run_ms)
        self._events += _SMOOTHING * (events - self._events)

    def _note_no_route(self, entry: _Entry, now_ms: float) -> None:
        if entry.route_missing_ms is None:
            entry.route_missing_ms = now_ms
        elif now_ms - entry.route_missing_ms > _ROUTE_GONE_MS:
            self._finish(entry, entry.task.result(completed=False))

    def _yield_slots(self) -> None:
        """Stops items on replicas that online requests need."""
        for replica in self._dispatcher.fleet.all():
            if not replica.own[load.Work.BATCH.value]:
                continue
            if replica.listing.leaving or self._yielded_lately(replica):
                continue
            yielded = self._yield_some(replica, urgent=False)
            self._yield_some(replica, urgent=True, already=yielded)

    def _yield_some(
        self, replica: load.Replica, urgent: bool, already: int = 0
    ) -> int:
        """Stops items of one urgency on a replica; returns how many."""
        excess = self._dispatcher.excess(replica, urgent) - already
        if excess <= 0:
            return 0
        # Other gateways see the same excess; each takes its part.
        share = replica.own[load.Work.BATCH.value] / replica.batch()
        wanted = excess * share
        count = int(wanted) + (random.random() < wanted % 1)
        stopped = self._most_patient(replica, urgent, count)
        for task in stopped:
            task.yielded = True
            if task.scope is not None:
                task.scope.cancel()
        if stopped:
            self._yielded_ms[replica.listing.id] = self._clock.now_ms()
        return len(stopped)

    def _yielded_lately(self, replica: load.Replica) -> bool:
        last_ms = self._yielded_ms.get(replica.listing.id, -math.inf)
        lag = self._dispatcher.counts_lag()
        pause_ms = _LAGGING_YIELD_PAUSE_MS if lag else _YIELD_PAUSE_MS
        return self._clock.now_ms() - last_ms < pause_ms

    def _most_patient(
        self, replica: load.Replica, urgent: bool, count: int
    ) -> list[running.ItemTask]:
        """Returns the running items on a replica that can best wait."""
        candidates = [
            task
            for task in self._entries
            if task.slot is not None
            and task.slot.replica is replica
            and not task.yielded
            and self._urgent(task) == urgent
        ]
        candidates.sort(key=self._patience, reverse=True)
        return candidates[:count]

    def _urgent(self, task: running.ItemTask) -> bool:
        return _HOPELESS_SLACK_MS < self.slack_ms(task) < _URGENT_SLACK_MS

    def _patience(self, task: running.ItemTask) -> tuple[bool, float]:
        """Returns how well an item can wait.

        Late ones can best, then those that are furthest from their end.
        """
        hopeless = self.slack_ms(task) < _HOPELESS_SLACK_MS
        return hopeless, self._remaining_ms(task)
