"""Grants the slots of shards of replicas to the requests of all gateways.

In a large fleet each gateway's picture of the replicas is late, and requests
meet at some replicas while others are free. So one gateway, the coordinator of
a shard, counts what runs at the shard's replicas and queues what finds no slot.
This answers load that comes in peaks close to the capacity of the fleet.

A gateway asks under a ticket, and holds the ticket while its request runs. If
two gateways coordinate the same shard for a while, its replicas queue some
requests themselves.
"""

import dataclasses
import enum
import math
import random
from collections.abc import Callable

from lacewingwood.limits import replica_limits
from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import load
from lacewingwood.routing import ranking
from lacewingwood.routing import speeds

# A gateway repeats what it holds and waits for several times in this period. A
# ticket that was not repeated is dropped, since its gateway has probably ended.
TICKET_TTL_MS = 1_600.0
# A granted ticket that its gateway does not list is kept for this long, as the
# grant may still be on its way.
_GRANT_GRACE_MS = 400.0
# Slots of a shard that batch items leave free, unless they are urgent: these
# and the square root of the running online requests, about the spread of their
# number. Items also make way for online requests, but then part of their work
# is repeated.
_BATCH_RESERVE = 1
# A replica that refused a request as full gets no other for this long.
_REFUSAL_PAUSE_MS = 60.0
# Pause of a replica after a failure, doubled with each failure in a row. A
# replica that has ended fails at once, and would otherwise be the least busy.
_FAILURE_PAUSE_MS = 300.0
_MAX_FAILURE_PAUSE_MS = 4_800.0

TicketId = tuple[str, int]


class End(enum.Enum):
    """How a request ended at its replica.

    Attributes:
        DONE: It was completed, or its caller gave it up.
        REFUSED: The replica refused it as full.
        FAILED: The replica failed it.
        UNUSED: Its gateway did not need the slot, and sent nothing.
    """

    DONE = 0
    REFUSED = 1
    FAILED = 2
    UNUSED = 3


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request for a slot, and the slot that it was given.

    Attributes:
        holder: Host of the gateway that asks.
        number: Number of the ticket among those of the gateway.
        shard: The shard.
        req: What is asked for; its times are those of this process's clock.
        may_preempt: True if a batch item may be stopped for it.
        replica_id: Replica that runs it, empty while it waits.
        granted_ms: When it was granted.
        seen_ms: When its gateway last named it.
        preempted: True once its gateway was asked to stop it.
    """

    holder: str
    number: int
    shard: str
    req: dispatchers.SlotRequest
    may_preempt: bool = False
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


@dataclasses.dataclass(slots=True)
class _Shard:
    waiting: list[Ticket] = dataclasses.field(default_factory=list)
    granted: dict[TicketId, Ticket] = dataclasses.field(default_factory=dict)


class Coordinator:
    """Grants slots; performs no I/O.

    Attributes:
        is_settled: Returns whether this gateway is the only coordinator of a
            shard; see `coordinator_links`.

    Each method returns the decisions that concern earlier tickets, which the
    caller has to send.
    """

    __slots__ = (
        "_failures",
        "_limits",
        "_paused_ms",
        "_replicas_of",
        "_rng",
        "_shards",
        "_tickets",
        "is_settled",
    )

    def __init__(
        self,
        replicas_of: Callable[[str], list[load.Replica]],
        limits: replica_limits.ReplicaLimits | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Creates a coordinator without tickets.

        Args:
            replicas_of: Returns the replicas of a shard.
            limits: Rates at which replicas take requests.
            rng: Breaks ties between replicas.
        """
        self.is_settled: Callable[[str], bool] = lambda shard: True
        self._replicas_of = replicas_of
        self._limits = limits or replica_limits.ReplicaLimits()
        self._rng = rng or random.Random()
        self._shards: dict[str, _Shard] = {}
        self._tickets: dict[TicketId, Ticket] = {}
        # Pauses of replicas, and their failures in a row.
        self._paused_ms: dict[str, float] = {}
        self._failures: dict[str, int] = {}

    def counts(self) -> dict[str, tuple[int, int]]:
        """Returns the numbers of waiting and granted tickets by shard."""
        return {
            name: (len(shard.waiting), len(shard.granted))
            for name, shard in self._shards.items()
        }

    def free_slots(self, shard: str, now_ms: float) -> int:
        """Returns the slots of a shard that are free or used by batch items."""
        state = self._shards.get(shard)
        granted = state.granted.values() if state is not None else ()
        online = sum(not ticket.is_batch for ticket in granted)
        replicas = self._usable(self._replicas_of(shard), now_ms)
        slots = sum(
            replica.slots
            for replica in replicas
            if self._may_send(replica, shard, now_ms)
        )
        return slots - online

    def ask(self, ticket: Ticket, now_ms: float) -> tuple[str, list[Decision]]:
        """Grants a ticket or lets it wait.

        A ticket that is known is updated: its gateway repeats it.

        Returns:
            The replica, empty if the ticket waits, and the decisions.
        """
        known = self._tickets.get(ticket.id)
        if known is None:
            self._tickets[ticket.id] = known = ticket
            self._shard(ticket.shard).waiting.append(ticket)
        known.seen_ms = now_ms
        if known.replica_id:
            return known.replica_id, []
        known.may_preempt = ticket.may_preempt
        known.req.urgent = ticket.req.urgent
        decisions = self._serve(known.shard, now_ms)
        # The answer tells of this grant.
        others = [d for d in decisions if d != Grant(known)]
        return known.replica_id, others

    def release(
        self,
        ticket_id: TicketId,
        now_ms: float,
        end: End = End.DONE,
        deviation: speeds.Deviation = speeds.NO_DEVIATION,
    ) -> list[Decision]:
        """Ends a ticket, granted or not.

        Args:
            ticket_id: The ticket.
            now_ms: Current time.
            end: How its request ended.
            deviation: How much slower than usual its run was.
        """
        ticket = self._tickets.pop(ticket_id, None)
        if ticket is None:
            return []
        shard = self._shard(ticket.shard)
        if not ticket.replica_id:
            shard.waiting.remove(ticket)
            return []
        del shard.granted[ticket.id]
        if end is End.UNUSED:
            self._note_unsent(ticket)
        else:
            self._note_end(ticket.replica_id, end, now_ms)
        replica = self._find(self._replicas_of(ticket.shard), ticket.replica_id)
        if replica is not None and deviation[1]:
            replica.speed.note_deviation(*deviation, now_ms)
        self._settle_preemption(shard, ticket)
        return self._serve(ticket.shard, now_ms)

    def note_held(
        self,
        holder: str,
        shard: str,
        held: dict[int, tuple[str, load.WorkKind]],
        now_ms: float,
    ) -> list[Decision]:
        """Takes over what a gateway holds in a shard.

        Unknown tickets were granted by an earlier coordinator or taken by the
        gateway while it could reach none.

        Args:
            holder: Host of the gateway.
            shard: The shard.
            held: Replica and kind of work of each granted ticket, by number.
            now_ms: Current time.
        """
        state = self._shard(shard)
        for ticket in list(state.granted.values()):
            if ticket.holder != holder or ticket.number in held:
                continue
            if now_ms - ticket.granted_ms > _GRANT_GRACE_MS:
                self._drop(ticket)
        service = shard.partition("/")[0]
        for number, (replica_id, work) in held.items():
            ticket = self._tickets.get((holder, number)) or Ticket(
                holder, number, shard, dispatchers.SlotRequest(service, work)
            )
            ticket.seen_ms = now_ms
            if not ticket.replica_id:
                if self._tickets.pop(ticket.id, None) is not None:
                    self._shard(ticket.shard).waiting.remove(ticket)
                self._grant(ticket, replica_id, now_ms)
        return self._serve(shard, now_ms)

    def expire(self, now_ms: float) -> list[Decision]:
        """Drops tickets of gateways that have ended; serves all shards."""
        limit_ms = now_ms - TICKET_TTL_MS
        for ticket in list(self._tickets.values()):
            if ticket.seen_ms < limit_ms:
                self._drop(ticket)
        decisions: list[Decision] = []
        for name, shard in list(self._shards.items()):
            if not shard.waiting and not shard.granted:
                del self._shards[name]
            else:
                decisions += self._serve(name, now_ms)
        return decisions

    def _note_end(self, replica_id: str, end: End, now_ms: float) -> None:
        """Pauses a replica after a failure or a refusal."""
        match end:
            case End.DONE:
                self._failures.pop(replica_id, None)
                return
            case End.REFUSED:
                pause_ms = _REFUSAL_PAUSE_MS
            case End.FAILED if self._is_paused(replica_id, now_ms):
                # The requests of one crash end at the same moment.
                return
            case End.FAILED:
                failures = self._failures.get(replica_id, 0)
                self._failures[replica_id] = failures + 1
                pause_ms = min(
                    _FAILURE_PAUSE_MS * 2.0**failures, _MAX_FAILURE_PAUSE_MS
                )
        until_ms = self._paused_ms.get(replica_id, 0.0)
        self._paused_ms[replica_id] = max(until_ms, now_ms + pause_ms)

    def _shard(self, name: str) -> _Shard:
        return self._shards.setdefault(name, _Shard())

    def _drop(self, ticket: Ticket) -> None:
        shard = self._shard(ticket.shard)
        del self._tickets[ticket.id]
        if ticket.replica_id:
            del shard.granted[ticket.id]
        else:
            shard.waiting.remove(ticket)

    def _serve(self, name: str, now_ms: float) -> list[Decision]:
        """Grants free slots in order: online requests, then batch items."""
        shard = self._shard(name)
        if not shard.waiting:
            return []
        decisions: list[Decision] = []
        replicas = self._replicas_of(name)
        if not any(self._may_send(r, name, now_ms) for r in replicas):
            # Spares a look at each waiting ticket, which may be hundreds.
            return []
        busy = self._busy_slots(shard)
        shard.waiting.sort(key=lambda ticket: _waiting_key(ticket, now_ms))
        for ticket in list(shard.waiting):
            replica = self._choose(ticket, replicas, busy, now_ms)
            if replica is None and ticket.may_preempt:
                victim = self._victim(shard, ticket, replicas, now_ms)
                if victim is not None:
                    victim.preempted = True
                    busy[victim.replica_id] -= 1
                    decisions.append(Preempt(victim))
                    replica = self._find(replicas, victim.replica_id)
            if replica is None:
                continue
            shard.waiting.remove(ticket)
            self._grant(ticket, replica.listing.id, now_ms)
            self._limits.note_sent(replica.listing.incarnation, now_ms)
            busy[replica.listing.id] = busy.get(replica.listing.id, 0) + 1
            decisions.append(Grant(ticket))
            if not any(self._may_send(r, name, now_ms) for r in replicas):
                break
        return decisions

    def _grant(self, ticket: Ticket, replica_id: str, now_ms: float) -> None:
        ticket.replica_id, ticket.granted_ms = replica_id, now_ms
        self._tickets[ticket.id] = ticket
        self._shard(ticket.shard).granted[ticket.id] = ticket

    def _busy_slots(self, shard: _Shard) -> dict[str, int]:
        """Returns the used slots by replica, without preempted items."""
        busy: dict[str, int] = {}
        for ticket in shard.granted.values():
            if not ticket.preempted:
                busy[ticket.replica_id] = busy.get(ticket.replica_id, 0) + 1
        return busy

    def _choose(
        self,
        ticket: Ticket,
        replicas: list[load.Replica],
        busy: dict[str, int],
        now_ms: float,
    ) -> load.Replica | None:
        """Returns the least busy replica with a free slot."""
        req = ticket.req
        usable = [
            replica
            for replica in self._usable(replicas, now_ms)
            if req.allows(replica)
            and self._may_send(replica, ticket.shard, now_ms, ticket.is_batch)
        ]
        if ticket.is_batch and not req.urgent:
            free = sum(
                max(0, r.slots - busy.get(r.listing.id, 0)) for r in usable
            )
            online = sum(
                not t.is_batch
                for t in self._shard(ticket.shard).granted.values()
            )
            if free <= _BATCH_RESERVE + math.sqrt(online):
                return None
        for tier in dispatchers.tiers(usable, req, now_ms):
            free_replicas = [
                r
                for r in tier
                if busy.get(r.listing.id, 0) < _usable_slots(r, ticket, now_ms)
            ]
            if free_replicas:
                return min(
                    free_replicas,
                    key=lambda r: (
                        ranking.finish(
                            r,
                            max(
                                busy.get(r.listing.id, 0) / r.slots,
                                self._limits.used_share(
                                    r.listing.incarnation, now_ms
                                ),
                            ),
                            now_ms,
                        ),
                        self._rng.random(),
                    ),
                )
        return None

    def _usable(
        self, replicas: list[load.Replica], now_ms: float
    ) -> list[load.Replica]:
        """Returns the replicas that are not paused, or all if all are."""
        staying = [r for r in replicas if r.takes_work]
        staying = [r for r in staying if not r.version_pending] or staying
        return [
            r for r in staying if not self._is_paused(r.listing.id, now_ms)
        ] or staying

    def _may_send(
        self,
        replica: load.Replica,
        shard: str,
        now_ms: float,
        batch: bool = False,
    ) -> bool:
        """Returns whether a replica's own limit allows another request."""
        incarnation = replica.listing.incarnation
        if not self._limits.has_limit(incarnation, now_ms):
            return True
        cautious = not self.is_settled(shard)
        return self._limits.may_send(
            incarnation, now_ms, batch, cautious=cautious
        )

    def _note_unsent(self, ticket: Ticket) -> None:
        """Takes back what was counted for a ticket that was not used.

        A request asks several shards, and may be granted a slot in each.
        """
        replicas = self._replicas_of(ticket.shard)
        replica = self._find(replicas, ticket.replica_id)
        if replica is not None:
            self._limits.cold.note_unsent(
                replica.listing.incarnation, ticket.granted_ms
            )

    def _is_paused(self, replica_id: str, now_ms: float) -> bool:
        return self._paused_ms.get(replica_id, 0.0) > now_ms

    def _victim(
        self,
        shard: _Shard,
        ticket: Ticket,
        replicas: list[load.Replica],
        now_ms: float,
    ) -> Ticket | None:
        """Returns the batch ticket to preempt for an online request.

        Of the items that are not urgent, or of all if there are no others, it
        is the newest, which has done the least work.
        """
        usable = {
            r.listing.id
            for r in self._usable(replicas, now_ms)
            if ticket.req.allows(r) and self._may_send(r, ticket.shard, now_ms)
        }
        candidates = [
            t
            for t in shard.granted.values()
            if t.is_batch and not t.preempted and t.replica_id in usable
        ]
        return max(
            candidates,
            key=lambda t: (not t.req.urgent, t.granted_ms),
            default=None,
        )

    def _settle_preemption(self, shard: _Shard, ended: Ticket) -> None:
        """Takes the end of an item for the preemption that was asked for.

        A gateway that has several items at a replica chooses which to stop.
        """
        if ended.preempted or not ended.is_batch:
            return
        for ticket in shard.granted.values():
            if (
                ticket.preempted
                and ticket.holder == ended.holder
                and ticket.replica_id == ended.replica_id
            ):
                ticket.preempted = False
                return

    def _find(
        self, replicas: list[load.Replica], replica_id: str
    ) -> load.Replica | None:
        return next((r for r in replicas if r.listing.id == replica_id), None)


def _usable_slots(replica: load.Replica, ticket: Ticket, now_ms: float) -> int:
    """Returns how many requests a replica may run for a ticket's to start."""
    if ticket.is_batch:
        return replica.slots
    req = ticket.req
    return ranking.usable_slots(
        replica, req.arrived_ms, req.objective_ms, now_ms
    )


def _waiting_key(
    ticket: Ticket, now_ms: float
) -> tuple[bool, bool, int, float]:
    """Returns the order in which tickets are served.

    Online requests come first, those that can still meet their objective before
    the others. Urgent items come before other items.
    """
    if ticket.is_batch:
        return True, not ticket.req.urgent, 0, ticket.req.arrived_ms
    return False, *dispatchers.waiting_key(ticket.req, now_ms)
