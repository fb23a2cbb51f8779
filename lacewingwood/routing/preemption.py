"""Which batch item of a shard is stopped for an online request, and when.

This answers peaks of online requests that meet batch items: while requests and
items end every few ms, most online requests get a slot without that an item is
stopped.
"""

import collections
import math
from collections.abc import Collection
from collections.abc import Iterable

from lacewingwood.routing import slots as slots_lib
from lacewingwood.routing import tickets

# Part of its objective for which an online request waits for a slot rather than
# stop an item. The rest covers a prompt at a busy replica, which takes up to
# about half of the objective on the large deployments.
_WAIT_SHARE = 0.125
# Slots that were freed within this time tell how soon the next ones will be.
_WINDOW_MS = 500.0
# What an item is taken to have left if its gateway does not tell, so that the
# newest of such items is stopped first.
_UNKNOWN_LEFT_MS = 5_000.0


class FreedSlots:
    """How often slots of a shard have become free lately."""

    __slots__ = ("_times_ms",)

    def __init__(self) -> None:
        self._times_ms: collections.deque[float] = collections.deque()

    def note(self, now_ms: float) -> None:
        """Records that a slot has become free."""
        self._times_ms.append(now_ms)
        self._drop_old(now_ms)

    def mean_gap_ms(self, now_ms: float) -> float:
        """Returns the mean time until a slot becomes free, inf if unknown."""
        self._drop_old(now_ms)
        count = len(self._times_ms)
        return _WINDOW_MS / count if count else math.inf

    def _drop_old(self, now_ms: float) -> None:
        while self._times_ms and self._times_ms[0] <= now_ms - _WINDOW_MS:
            self._times_ms.popleft()


def must_preempt(
    req: slots_lib.SlotRequest, ahead: int, gap_ms: float, now_ms: float
) -> bool:
    """Returns whether an item has to be stopped for an online request.

    Args:
        req: The request.
        ahead: Number of requests that wait before it.
        gap_ms: Mean time until a slot becomes free.
        now_ms: Current time.
    """
    start_by_ms = req.arrived_ms + _WAIT_SHARE * req.objective_ms
    return now_ms + (ahead + 1) * gap_ms > start_by_ms


def choose_victim(
    granted: Iterable[tickets.Ticket],
    usable: Collection[str],
    now_ms: float,
    by_work_left: bool = True,
) -> tickets.Ticket | None:
    """Returns the batch ticket to preempt for an online request.

    Of the items that are not urgent, or of all if there are no others, it is
    the one with the most work left, so that those near their end are done, or
    the newest.

    Args:
        granted: The granted tickets of a shard.
        usable: Replicas that the online request may use.
        now_ms: Current time.
        by_work_left: False to choose the newest.
    """
    return max(
        (
            ticket
            for ticket in granted
            if ticket.is_batch
            and not ticket.preempted
            and ticket.replica_id in usable
        ),
        key=lambda ticket: (
            not ticket.req.urgent,
            _left_ms(ticket, now_ms) if by_work_left else ticket.granted_ms,
        ),
        default=None,
    )


def _left_ms(ticket: tickets.Ticket, now_ms: float) -> float:
    """Returns the time that a granted item still has to run."""
    left_ms = ticket.left_ms or _UNKNOWN_LEFT_MS
    return left_ms - (now_ms - ticket.granted_ms)


def settle(granted: Iterable[tickets.Ticket], ended: tickets.Ticket) -> None:
    """Takes the end of an item for the preemption that was asked for.

    A gateway that has several items at a replica chooses which to stop.
    """
    if ended.preempted or not ended.is_batch:
        return
    for ticket in granted:
        if (
            ticket.preempted
            and ticket.holder == ended.holder
            and ticket.replica_id == ended.replica_id
        ):
            ticket.preempted = False
            return
