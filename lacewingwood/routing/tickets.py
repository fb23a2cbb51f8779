"""Tickets under which gateways ask a coordinator for slots."""

import dataclasses

from lacewingwood.routing import load
from lacewingwood.routing import slots as slots_lib

TicketId = tuple[str, int]


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request for a slot, and the slot that it was given.

    Attributes:
        holder: Host of the gateway that asks.
        number: Number of the ticket among those of the gateway.
        shard: The shard.
        req: What is asked for; its times are those of this process's clock.
        may_preempt: True if a batch item may be stopped for it.
        left_ms: Time that a batch item has to run, 0 if it is not known.
        tag: Its place by its customer's share of the work; see `fair_order`.
        replica_id: Replica that runs it, empty while it waits.
        granted_ms: When it was granted.
        seen_ms: When its gateway last named it.
        preempted: True once its gateway was asked to stop it.
    """

    holder: str
    number: int
    shard: str
    req: slots_lib.SlotRequest
    may_preempt: bool = False
    left_ms: float = 0.0
    tag: float = 0.0
    replica_id: str = ""
    granted_ms: float = 0.0
    seen_ms: float = 0.0
    preempted: bool = False

    @property
    def id(self) -> TicketId:
        """Identifies the ticket at this coordinator."""
        return self.holder, self.number

    @property
    def is_batch(self) -> bool:
        """True for a batch item."""
        return self.req.work is load.WorkKind.BATCH


@dataclasses.dataclass(slots=True, frozen=True)
class Grant:
    """A ticket that waited has got a replica."""

    ticket: Ticket


@dataclasses.dataclass(slots=True, frozen=True)
class Preempt:
    """The gateway of a batch ticket has to stop an item at its replica."""

    ticket: Ticket


Decision = Grant | Preempt
