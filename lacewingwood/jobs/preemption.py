"""Stops batch items on replicas whose slots online requests need."""

import math
import random
from collections.abc import Iterable

from lacewingwood import clock as clocks
from lacewingwood.jobs import item_order
from lacewingwood.jobs import item_tasks
from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import load

# After items of a replica were preempted, the replica's counts are out of date
# for this long; the longer time applies to counts that arrive through hubs and
# digests. Preempting more items meanwhile would leave slots unused and repeat
# the prefill of those items.
_PAUSE_MS = 60.0
_LAGGING_PAUSE_MS = 600.0


class Preemption:
    """Chooses the running items to stop, and cancels their runs."""

    __slots__ = ("_clock", "_dispatcher", "_order", "_preempted_ms", "_tasks")

    def __init__(
        self,
        dispatcher: dispatchers.Dispatcher,
        order: item_order.ItemOrder,
        tasks: Iterable[item_tasks.ItemTask],
        clock: clocks.Clock,
    ) -> None:
        """Creates a preemption that has stopped nothing yet.

        Args:
            dispatcher: Tells the load of the replicas.
            order: Decides which items are stopped first.
            tasks: View of all items; those that run have a slot.
            clock: Source of monotonic time.
        """
        self._dispatcher = dispatcher
        self._order = order
        self._tasks = tasks
        self._clock = clock
        self._preempted_ms: dict[str, float] = {}

    def preempt(self) -> None:
        """Preempts the excess items of all replicas."""
        for replica in self._dispatcher.fleet.all():
            if not replica.own_counts[load.WorkKind.BATCH.value]:
                continue
            if not replica.takes_work or self._preempted_recently(replica):
                continue
            preempted = self._preempt_on_replica(replica, urgent=False)
            self._preempt_on_replica(
                replica, urgent=True, already_stopped=preempted
            )

    def preempt_one(self, replica: load.Replica) -> None:
        """Stops an item at a replica that an online request needs."""
        victims = self._victims(replica, False, 1) or self._victims(
            replica, True, 1
        )
        self._stop(replica, victims)

    def _preempt_on_replica(
        self, replica: load.Replica, urgent: bool, already_stopped: int = 0
    ) -> int:
        """Preempts a replica's excess items; returns how many.

        Args:
            replica: The replica.
            urgent: Whether to preempt urgent items or the others.
            already_stopped: Number of items preempted just before, which the
                replica's counts still contain.
        """
        excess = (
            self._dispatcher.excess_batch_items(replica, urgent)
            - already_stopped
        )
        if excess <= 0:
            return 0
        # Other gateways see the same excess. Each preempts in proportion to its
        # own items on the replica, rounded at random.
        share = replica.own_counts[load.WorkKind.BATCH.value] / replica.batch()
        target_count = excess * share
        count = int(target_count) + (random.random() < target_count % 1)
        stopped = self._victims(replica, urgent, count)
        self._stop(replica, stopped)
        return len(stopped)

    def _stop(
        self, replica: load.Replica, stopped: list[item_tasks.ItemTask]
    ) -> None:
        for task in stopped:
            task.preempted = True
            if task.scope is not None:
                task.scope.cancel()
        if stopped:
            self._preempted_ms[replica.listing.id] = self._clock.now_ms()

    def _preempted_recently(self, replica: load.Replica) -> bool:
        last_ms = self._preempted_ms.get(replica.listing.id, -math.inf)
        lag = self._dispatcher.counts_lag()
        pause_ms = _LAGGING_PAUSE_MS if lag else _PAUSE_MS
        return self._clock.now_ms() - last_ms < pause_ms

    def _victims(
        self, replica: load.Replica, urgent: bool, count: int
    ) -> list[item_tasks.ItemTask]:
        """Returns up to `count` of a replica's running items to preempt."""
        candidates = [
            task
            for task in self._tasks
            if task.slot is not None
            and task.slot.replica is replica
            and not task.preempted
            and self._order.is_urgent(task) == urgent
        ]
        candidates.sort(key=self._order.preemption_key, reverse=True)
        return candidates[:count]
