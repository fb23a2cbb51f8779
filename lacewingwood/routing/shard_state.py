"""The tickets of a shard, their order, and what is forecast from them."""

import dataclasses

from lacewingwood.routing import demand as demand_lib
from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import fair_order
from lacewingwood.routing import forecast as forecasts
from lacewingwood.routing import preemption
from lacewingwood.routing import tickets

# Items whose work left differs by less than this are served in order of
# arrival.
_LEFT_STEP_MS = 500.0


@dataclasses.dataclass(slots=True)
class ShardState:
    """What waits and runs in one shard; performs no I/O.

    Attributes:
        contention: True if requests wait in the order of customers' shares, and
            items in that of the work that they have left.
        waiting: Tickets that wait.
        granted: Tickets that have a slot.
        freed: How often slots become free.
        demand: Forecast of the slots that online requests use.
        order: Shares of the customers whose requests wait.
        forecast: Forecast of the time until a request gets a slot.
    """

    contention: bool = False
    waiting: list[tickets.Ticket] = dataclasses.field(default_factory=list)
    granted: dict[tickets.TicketId, tickets.Ticket] = dataclasses.field(
        default_factory=dict
    )
    freed: preemption.FreedSlots = dataclasses.field(
        default_factory=preemption.FreedSlots
    )
    demand: demand_lib.DemandForecast = dataclasses.field(
        default_factory=demand_lib.DemandForecast
    )
    order: fair_order.FairOrder = dataclasses.field(
        default_factory=fair_order.FairOrder
    )
    forecast: forecasts.WaitForecast = dataclasses.field(
        default_factory=forecasts.WaitForecast
    )

    def add(self, ticket: tickets.Ticket, now_ms: float) -> None:
        """Lets a ticket wait."""
        self.waiting.append(ticket)
        if self.contention and not ticket.is_batch:
            req = ticket.req
            ticket.tag = self.order.add(req.customer, req.tokens)
            self.forecast.note_waiting(now_ms)

    def remove(
        self, ticket: tickets.Ticket, now_ms: float, served: bool = False
    ) -> None:
        """Removes a waiting ticket, which has got a slot if `served`."""
        self.waiting.remove(ticket)
        if ticket.is_batch or not self.contention:
            return
        req = ticket.req
        self.forecast.note_left(self.online_waiting(), now_ms)
        if served:
            self.order.note_served(req.customer, req.tokens)
        else:
            self.order.cancel(req.customer, req.tokens)

    def waiting_key(
        self, ticket: tickets.Ticket, now_ms: float
    ) -> tuple[float | bool, ...]:
        """Returns the order in which tickets are served.

        Online requests come first. Urgent items come before other items, then
        those with the least work left.
        """
        req = ticket.req
        if ticket.is_batch:
            left = int(ticket.left_ms // _LEFT_STEP_MS)
            left = left if self.contention else 0
            return True, not req.urgent, left, req.arrived_ms
        if not self.contention:
            return False, *dispatchers.waiting_key(req, now_ms)
        excess = self.order.excess(ticket.tag)
        return False, *dispatchers.fair_waiting_key(req, now_ms, excess)

    def online(self) -> int:
        """Returns the number of online requests that run."""
        return sum(not ticket.is_batch for ticket in self.granted.values())

    def online_waiting(self) -> int:
        """Returns the number of online requests that wait."""
        return sum(not ticket.is_batch for ticket in self.waiting)

    def note_demand(self, now_ms: float) -> None:
        """Records the slots that online requests use and wait for."""
        if not self.contention:
            return
        self.demand.note(self.online() + self.online_waiting(), now_ms)
