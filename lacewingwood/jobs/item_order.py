"""The order in which batch items start, and in which they are stopped.

This answers batch work that needs more slots than online requests leave free.
It performs no I/O.
"""

from collections.abc import Callable

from lacewingwood.jobs import item_tasks

# An item with less slack than this is urgent: it also takes the slots that
# other items leave free for the next online request.
_URGENT_SLACK_MS = 2_500.0
# An item with less slack than this is late: it will miss its deadline by more
# than this time even if it runs at once, so it gains nothing from urgency.
_LATE_SLACK_MS = -1_000.0
# Estimated duration of a run until the first item has been completed.
_INITIAL_RUN_MS = 5_000.0
# Lower bound of the estimate of an item's remaining run time.
_MIN_REMAINING_MS = 300.0
# Weight of the newest run in the exponential moving averages.
_AVERAGE_WEIGHT = 0.1


class ItemOrder:
    """Orders items by their due times and by the work that they have left."""

    __slots__ = ("_average_events", "_average_run_ms", "_wall_ms")

    def __init__(self, wall_ms: Callable[[], int]) -> None:
        """Creates an order without estimates.

        Args:
            wall_ms: Returns Unix time.
        """
        self._wall_ms = wall_ms
        # Moving averages of the duration and number of events of an item, over
        # items that one run completed from the start.
        self._average_run_ms = _INITIAL_RUN_MS
        self._average_events = 0.0

    def note_run(self, task: item_tasks.ItemTask, took_ms: float) -> None:
        """Learns from an item that one run completed from the start."""
        events = task.events.last_id or 0
        if not self._average_events:
            self._average_run_ms, self._average_events = took_ms, float(events)
        self._average_run_ms += _AVERAGE_WEIGHT * (
            took_ms - self._average_run_ms
        )
        self._average_events += _AVERAGE_WEIGHT * (
            events - self._average_events
        )

    def slack_ms(self, task: item_tasks.ItemTask) -> float:
        """Returns how long an item can still wait without missing its deadline.

        The slack is negative if the item will miss its deadline.
        """
        left_ms = task.job.due_ms - self._wall_ms()
        return left_ms - self.remaining_ms(task)

    def remaining_ms(self, task: item_tasks.ItemTask) -> float:
        """Returns the estimated time that an item still has to run."""
        progress = (
            (task.events.last_id or 0) / self._average_events
            if self._average_events
            else 0
        )
        return max(
            _MIN_REMAINING_MS, self._average_run_ms * (1 - min(progress, 1.0))
        )

    def is_urgent(self, task: item_tasks.ItemTask) -> bool:
        """Returns whether an item is in time only if it starts soon."""
        return _LATE_SLACK_MS < self.slack_ms(task) < _URGENT_SLACK_MS

    def start_key(self, task: item_tasks.ItemTask) -> tuple[bool, bool, float]:
        """Returns the sort key by which waiting items are started.

        Late items come last, since they gain less from a slot. Then items with
        progress come before new ones: if slots are short, sharing them among
        all items would make all of them late.
        """
        late = self.slack_ms(task) < _LATE_SLACK_MS
        if task.events.last_id is None:
            return late, True, task.job.due_ms
        return late, False, self.remaining_ms(task)

    def preemption_key(self, task: item_tasks.ItemTask) -> tuple[bool, float]:
        """Returns the sort key of preemption; the greatest is preempted first.

        Late items are preempted first, then those with the most work left.
        """
        late = self.slack_ms(task) < _LATE_SLACK_MS
        return late, self.remaining_ms(task)
