"""Divides the batch capacity of a replica among the owners of jobs.

The holder of the replica's lease collects the demand of each owner and offers
it a number of items. This module does no I/O.
"""

import dataclasses
import math
from collections.abc import Callable
from collections.abc import Iterable

from lacewingwood.batch import schedule
from lacewingwood.peers import messages

# Offers are repeated because the sender does not notice a lost message.
_OFFER_INTERVAL_MS = 1_000.0
# An owner gets no more offers when its last demand is older than this.
_DEMAND_MAX_AGE_MS = 3_000.0
# Each customer with waiting items may queue at least one at the replica, up to
# this number of customers, so that their shares hold even if the replica has
# few slots.
_MIN_OFFERED_CUSTOMERS = 16


@dataclasses.dataclass(slots=True, frozen=True)
class PlacedItem:
    """An item that runs on the replica or is queued for it.

    Attributes:
        node_id: Node id of the job's owner.
        customer: Customer to whom the job belongs.
    """

    node_id: str
    customer: str


@dataclasses.dataclass(slots=True)
class _Demand:
    """What one owner could send to the replica, and the last offer to it.

    Attributes:
        wants: Number of waiting items by customer.
        serial: Serial number of the owner's last message.
        received_ms: When that message arrived.
        offered: Last offer to the owner, -1 if none.
        offered_ms: When that offer was sent.
    """

    wants: dict[str, int]
    serial: int
    received_ms: float
    offered: int = -1
    offered_ms: float = -math.inf


class Offers:
    """Demands of job owners for one replica, and the offers made to them."""

    __slots__ = ("_demands", "_virtual_start", "_weight")

    def __init__(
        self,
        weight: Callable[[str], float],
        virtual_start: Callable[[str], float],
    ) -> None:
        """Creates a table without owners.

        Args:
            weight: Returns a customer's weight.
            virtual_start: Returns a customer's virtual start time; customers
                with a lower one come first.
        """
        self._weight = weight
        self._virtual_start = virtual_start
        self._demands: dict[str, _Demand] = {}

    def update_demand(self, message: messages.WantItems, now_ms: float) -> bool:
        """Stores an owner's demand; returns False if it is outdated."""
        last = self._demands.get(message.node_id)
        if last is not None and message.serial <= last.serial:
            return False
        demand = last or _Demand({}, 0, now_ms)
        demand.wants = message.wants
        demand.serial = message.serial
        demand.received_ms = now_ms
        self._demands[message.node_id] = demand
        return True

    def offers_due(
        self,
        free: int,
        capacity: int,
        running: Iterable[PlacedItem],
        queued: list[PlacedItem],
        now_ms: float,
    ) -> dict[str, int]:
        """Returns the offers to send now, by owner, and records them as sent.

        Args:
            free: Number of items that could be started now.
            capacity: Number of items that may run at a time, 0 to offer
                nothing.
            running: Items on the engine.
            queued: Items in the replica's queue.
            now_ms: The time.
        """
        self._drop_expired(now_ms)
        offers = dict.fromkeys(self._demands, 0)
        if capacity:
            self._add_running(running, offers)
            self._add_shares(free + math.ceil(capacity / 4), queued, offers)
        changed: dict[str, int] = {}
        for name, demand in self._demands.items():
            repeat = now_ms - demand.offered_ms >= _OFFER_INTERVAL_MS
            if offers[name] != demand.offered or repeat:
                changed[name] = demand.offered = offers[name]
                demand.offered_ms = now_ms
        return changed

    def _drop_expired(self, now_ms: float) -> None:
        for name, demand in list(self._demands.items()):
            if now_ms - demand.received_ms > _DEMAND_MAX_AGE_MS:
                del self._demands[name]

    def _add_running(
        self, items: Iterable[PlacedItem], offers: dict[str, int]
    ) -> None:
        """Adds the running items of each owner to `offers`."""
        for item in items:
            if item.node_id in offers:
                offers[item.node_id] += 1

    def _add_shares(
        self, total: int, queued: list[PlacedItem], offers: dict[str, int]
    ) -> None:
        """Adds each owner's share of `total` slots to `offers`.

        A customer's share is divided equally among the owners of its jobs.
        """
        demands = self._demand_by_customer(queued)
        total = max(total, min(len(demands), _MIN_OFFERED_CUSTOMERS))
        shares = schedule.allocate(total, demands, self._weight)
        for customer, share in shares.items():
            owners = self._demand_by_owner(customer, queued)
            owner_shares = schedule.allocate(share, owners, lambda _: 1.0)
            for name, owner_share in owner_shares.items():
                offers[name] += owner_share

    def _demand_by_customer(self, queued: list[PlacedItem]) -> dict[str, int]:
        totals: dict[str, int] = {}
        for item in queued:
            totals[item.customer] = totals.get(item.customer, 0) + 1
        for demand in self._demands.values():
            for customer, count in demand.wants.items():
                totals[customer] = totals.get(customer, 0) + count
        # `allocate` gives slots left over by rounding to the first customers.
        names = sorted(totals, key=self._virtual_start)
        return {name: totals[name] for name in names}

    def _demand_by_owner(
        self, customer: str, queued: list[PlacedItem]
    ) -> dict[str, int]:
        counts = {
            name: demand.wants.get(customer, 0)
            for name, demand in self._demands.items()
        }
        for item in queued:
            if item.customer == customer and item.node_id in counts:
                counts[item.node_id] += 1
        return counts
