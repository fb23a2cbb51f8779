"""Divides a replica's room among the owners of jobs. No I/O."""

import dataclasses
import math
from collections.abc import Callable
from collections.abc import Iterable

from lacewingwood.batch import schedule
from lacewingwood.peers import messages

# Offers are repeated, as a lost one is not noticed.
_REPEAT_MS = 1_000.0
# An owner that has not asked for this time gets no more offers.
_WANT_MS = 3_000.0
# Every customer that wants room has an item queued, up to so many, so that
# shares hold even where a replica has few slots.
_QUEUED_CUSTOMERS = 16


@dataclasses.dataclass(slots=True, frozen=True)
class PlacedItem:
    """An item that is on the replica or in its queue."""

    node_id: str
    customer: str


@dataclasses.dataclass(slots=True)
class _Want:
    wants: dict[str, int]
    serial: int
    heard_ms: float
    offered: int = -1
    offered_ms: float = -math.inf


class Offers:
    """What owners want of one replica and what they were offered."""

    __slots__ = ("_owners", "_virtual_start", "_weight")

    def __init__(
        self,
        weight: Callable[[str], float],
        virtual_start: Callable[[str], float],
    ) -> None:
        """Makes an empty table.

        Args:
            weight: Gives a customer's weight.
            virtual_start: Gives a customer's virtual start time; customers
                with a lower one come first.
        """
        self._weight = weight
        self._virtual_start = virtual_start
        self._owners: dict[str, _Want] = {}

    def update_demand(self, message: messages.WantItems, now_ms: float) -> bool:
        """Takes what an owner could send; returns False if out of date."""
        known = self._owners.get(message.node_id)
        if known is not None and message.serial <= known.serial:
            return False
        want = known or _Want({}, 0, now_ms)
        want.wants = message.wants
        want.serial = message.serial
        want.heard_ms = now_ms
        self._owners[message.node_id] = want
        return True

    def offers_due(
        self,
        free: int,
        capacity: int,
        running: Iterable[PlacedItem],
        queued: list[PlacedItem],
        now_ms: float,
    ) -> dict[str, int]:
        """Returns the offers to send now, by owner, and notes them as sent.

        Args:
            free: Items that could be started now.
            capacity: Items that may run at once, 0 to offer nothing.
            running: Items on the engine.
            queued: Items in the queue.
            now_ms: The time.
        """
        self._drop_silent(now_ms)
        offers = dict.fromkeys(self._owners, 0)
        if capacity:
            self._count(running, offers)
            self._divide(free + math.ceil(capacity / 4), queued, offers)
        due: dict[str, int] = {}
        for name, want in self._owners.items():
            repeat = now_ms - want.offered_ms >= _REPEAT_MS
            if offers[name] != want.offered or repeat:
                due[name] = want.offered = offers[name]
                want.offered_ms = now_ms
        return due

    def _drop_silent(self, now_ms: float) -> None:
        for name, want in list(self._owners.items()):
            if now_ms - want.heard_ms > _WANT_MS:
                del self._owners[name]

    def _count(
        self, places: Iterable[PlacedItem], offers: dict[str, int]
    ) -> None:
        for place in places:
            if place.node_id in offers:
                offers[place.node_id] += 1

    def _divide(
        self, total: int, queued: list[PlacedItem], offers: dict[str, int]
    ) -> None:
        """Adds places for items that are not yet running."""
        wants = self._by_customer(queued)
        total = max(total, min(len(wants), _QUEUED_CUSTOMERS))
        parts = schedule.allocate(total, wants, self._weight)
        for customer, part in parts.items():
            owners = self._by_owner(customer, queued)
            shares = schedule.allocate(part, owners, lambda _: 1.0)
            for name, share in shares.items():
                offers[name] += share

    def _by_customer(self, queued: list[PlacedItem]) -> dict[str, int]:
        totals: dict[str, int] = {}
        for place in queued:
            totals[place.customer] = totals.get(place.customer, 0) + 1
        for want in self._owners.values():
            for customer, count in want.wants.items():
                totals[customer] = totals.get(customer, 0) + count
        names = sorted(totals, key=self._virtual_start)
        return {name: totals[name] for name in names}

    def _by_owner(
        self, customer: str, queued: list[PlacedItem]
    ) -> dict[str, int]:
        wants = {n: w.wants.get(customer, 0) for n, w in self._owners.items()}
        for place in queued:
            if place.customer == customer and place.node_id in wants:
                wants[place.node_id] += 1
        return wants
