"""Grants the slots of shards of replicas to the requests of all gateways.

In a large fleet each gateway's picture of the replicas is late, and requests
meet at some replicas while others are free. So one gateway, the coordinator of
a shard, counts what runs at the shard's replicas and queues what finds no slot.
This answers load that comes in peaks close to the capacity of the fleet.

A gateway asks under a ticket, and holds the ticket while its request runs. If
two gateways coordinate the same shard for a while, its replicas queue some
requests themselves.
"""

import math
import random
from collections.abc import Callable

from lacewingwood.limits import replica_limits
from lacewingwood.routing import batch_reserve
from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import load
from lacewingwood.routing import preemption
from lacewingwood.routing import ranking
from lacewingwood.routing import replica_pauses
from lacewingwood.routing import shard_state
from lacewingwood.routing import slots as slots_lib
from lacewingwood.routing import speeds
from lacewingwood.routing import tickets

# A gateway repeats what it holds and waits for several times in this period. A
# ticket that was not repeated is dropped, since its gateway has probably ended.
TICKET_TTL_MS = 1_600.0
# A granted ticket that its gateway does not list is kept for this long, as the
# grant may still be on its way.
_GRANT_GRACE_MS = 400.0


class Coordinator:
    """Grants slots; performs no I/O.

    Each method returns the decisions that concern earlier tickets, which the
    caller has to send.

    Attributes:
        is_settled: Returns whether this gateway is the only coordinator of a
            shard; see `coordinator_links`.
    """

    __slots__ = (
        "_contention",
        "_limits",
        "_pauses",
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
        contention: bool = False,
    ) -> None:
        """Creates a coordinator without tickets.

        Args:
            replicas_of: Returns the replicas of a shard.
            limits: Rates at which replicas take requests.
            rng: Breaks ties between replicas.
            contention: True if customers compete for the slots: requests are
                then served in fair shares, and items make room by forecasts.
        """
        self.is_settled: Callable[[str], bool] = lambda shard: True
        self._contention = contention
        self._replicas_of = replicas_of
        self._limits = limits or replica_limits.ReplicaLimits()
        self._rng = rng or random.Random()
        self._shards: dict[str, shard_state.ShardState] = {}
        self._tickets: dict[tickets.TicketId, tickets.Ticket] = {}
        self._pauses = replica_pauses.ReplicaPauses()

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

    def ask(
        self, ticket: tickets.Ticket, now_ms: float
    ) -> tuple[str, list[tickets.Decision]]:
        """Grants a ticket or lets it wait.

        A ticket that is known is updated: its gateway repeats it.

        Returns:
            The replica, empty if the ticket waits, and the decisions.
        """
        known = self._tickets.get(ticket.id)
        if known is None:
            self._tickets[ticket.id] = known = ticket
            self._shard(ticket.shard).add(ticket, now_ms)
        known.seen_ms = now_ms
        if known.replica_id:
            return known.replica_id, []
        known.may_preempt = ticket.may_preempt
        known.left_ms = ticket.left_ms
        known.req.urgent = ticket.req.urgent
        decisions = self._serve(known.shard, now_ms)
        # The answer tells of this grant.
        others = [d for d in decisions if d != tickets.Grant(known)]
        return known.replica_id, others

    def is_hopeless(self, ticket_id: tickets.TicketId, now_ms: float) -> bool:
        """Returns whether a waiting request can't begin before its deadline.

        That is forecast from the requests before it, of which some may be
        served by other shards. Requests that only some replicas may run are
        not forecast.
        """
        ticket = self._tickets.get(ticket_id)
        if not self._contention or ticket is None:
            return False
        if ticket.replica_id or ticket.is_batch:
            return False
        req = ticket.req
        if req.version is not None or math.isinf(req.deadline_ms):
            return False
        shard = self._shard(ticket.shard)
        longest_ms = shard.forecast.shortest_wait_ms(len(shard.waiting), now_ms)
        if now_ms + longest_ms <= req.deadline_ms:
            # It need not be found which of them come before it.
            return False
        key = shard.waiting_key(ticket, now_ms)
        ahead = sum(shard.waiting_key(t, now_ms) < key for t in shard.waiting)
        wait_ms = shard.forecast.shortest_wait_ms(ahead, now_ms)
        return now_ms + wait_ms > req.deadline_ms

    def release(
        self,
        ticket_id: tickets.TicketId,
        now_ms: float,
        end: replica_pauses.End = replica_pauses.End.DONE,
        deviation: speeds.Deviation = speeds.NO_DEVIATION,
    ) -> list[tickets.Decision]:
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
            shard.remove(ticket, now_ms)
            return []
        del shard.granted[ticket.id]
        shard.freed.note(now_ms)
        if end is replica_pauses.End.UNUSED:
            self._note_unsent(ticket)
        else:
            self._pauses.note_end(ticket.replica_id, end, now_ms)
        replica = self._find(self._replicas_of(ticket.shard), ticket.replica_id)
        if replica is not None and deviation[1]:
            replica.speed.note_deviation(*deviation, now_ms)
        preemption.settle(shard.granted.values(), ticket)
        return self._serve(ticket.shard, now_ms)

    def note_held(
        self,
        holder: str,
        shard: str,
        held: dict[int, tuple[str, load.WorkKind]],
        now_ms: float,
    ) -> list[tickets.Decision]:
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
                self._drop(ticket, now_ms)
        service = shard.partition("/")[0]
        for number, (replica_id, work) in held.items():
            ticket = self._tickets.get((holder, number)) or tickets.Ticket(
                holder, number, shard, slots_lib.SlotRequest(service, work)
            )
            ticket.seen_ms = now_ms
            if not ticket.replica_id:
                if self._tickets.pop(ticket.id, None) is not None:
                    self._shard(ticket.shard).remove(ticket, now_ms)
                self._grant(ticket, replica_id, now_ms)
        return self._serve(shard, now_ms)

    def expire(self, now_ms: float) -> list[tickets.Decision]:
        """Drops tickets of gateways that have ended; serves all shards."""
        limit_ms = now_ms - TICKET_TTL_MS
        for ticket in list(self._tickets.values()):
            if ticket.seen_ms < limit_ms:
                self._drop(ticket, now_ms)
        decisions: list[tickets.Decision] = []
        for name, shard in list(self._shards.items()):
            if not shard.waiting and not shard.granted:
                del self._shards[name]
            else:
                decisions += self._serve(name, now_ms)
        return decisions

    def _shard(self, name: str) -> shard_state.ShardState:
        shard = self._shards.get(name)
        if shard is None:
            shard = shard_state.ShardState(self._contention)
            self._shards[name] = shard
        return shard

    def _drop(self, ticket: tickets.Ticket, now_ms: float) -> None:
        shard = self._shard(ticket.shard)
        del self._tickets[ticket.id]
        if ticket.replica_id:
            del shard.granted[ticket.id]
        else:
            shard.remove(ticket, now_ms)

    def _serve(self, name: str, now_ms: float) -> list[tickets.Decision]:
        """Grants free slots in order: online requests, then batch items."""
        shard = self._shard(name)
        shard.note_demand(now_ms)
        if not shard.waiting:
            return []
        decisions: list[tickets.Decision] = []
        replicas = self._replicas_of(name)
        if not any(self._may_send(r, name, now_ms) for r in replicas):
            # Spares a look at each waiting ticket, which may be hundreds.
            return []
        busy = self._busy_slots(shard)
        shard.waiting.sort(key=lambda ticket: shard.waiting_key(ticket, now_ms))
        gap_ms = shard.freed.mean_gap_ms(now_ms)
        ahead = 0
        for ticket in list(shard.waiting):
            replica = self._choose(ticket, replicas, busy, now_ms)
            if (
                replica is None
                and ticket.may_preempt
                and self._must_preempt(ticket, ahead, gap_ms, now_ms)
                and (victim := self._victim(shard, ticket, replicas, now_ms))
            ):
                victim.preempted = True
                busy[victim.replica_id] -= 1
                decisions.append(tickets.Preempt(victim))
                replica = self._find(replicas, victim.replica_id)
            if replica is None:
                ahead += 1
                continue
            shard.remove(ticket, now_ms, served=True)
            self._grant(ticket, replica.listing.id, now_ms)
            self._limits.note_sent(replica.listing.incarnation, now_ms)
            busy[replica.listing.id] = busy.get(replica.listing.id, 0) + 1
            decisions.append(tickets.Grant(ticket))
            if not any(self._may_send(r, name, now_ms) for r in replicas):
                break
        return decisions

    def _must_preempt(
        self, ticket: tickets.Ticket, ahead: int, gap_ms: float, now_ms: float
    ) -> bool:
        return not self._contention or preemption.must_preempt(
            ticket.req, ahead, gap_ms, now_ms
        )

    def _grant(
        self, ticket: tickets.Ticket, replica_id: str, now_ms: float
    ) -> None:
        ticket.replica_id, ticket.granted_ms = replica_id, now_ms
        self._tickets[ticket.id] = ticket
        self._shard(ticket.shard).granted[ticket.id] = ticket

    def _busy_slots(self, shard: shard_state.ShardState) -> dict[str, int]:
        """Returns the used slots by replica, without preempted items."""
        busy: dict[str, int] = {}
        for ticket in shard.granted.values():
            if not ticket.preempted:
                busy[ticket.replica_id] = busy.get(ticket.replica_id, 0) + 1
        return busy

    def _choose(
        self,
        ticket: tickets.Ticket,
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
            state = self._shard(ticket.shard)
            reserve = batch_reserve.reserve(
                state.demand if self._contention else None,
                state.online(),
                ticket.left_ms,
                now_ms,
            )
            if free <= reserve:
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
            r
            for r in staying
            if not self._pauses.is_paused(r.listing.id, now_ms)
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

    def _note_unsent(self, ticket: tickets.Ticket) -> None:
        """Takes back what was counted for a ticket that was not used.

        A request asks several shards, and may be granted a slot in each.
        """
        replicas = self._replicas_of(ticket.shard)
        replica = self._find(replicas, ticket.replica_id)
        if replica is not None:
            self._limits.cold.note_unsent(
                replica.listing.incarnation, ticket.granted_ms
            )

    def _victim(
        self,
        shard: shard_state.ShardState,
        ticket: tickets.Ticket,
        replicas: list[load.Replica],
        now_ms: float,
    ) -> tickets.Ticket | None:
        """Returns the batch ticket to preempt for an online request."""
        usable = {
            r.listing.id
            for r in self._usable(replicas, now_ms)
            if ticket.req.allows(r) and self._may_send(r, ticket.shard, now_ms)
        }
        return preemption.choose_victim(
            shard.granted.values(), usable, now_ms, self._contention
        )

    def _find(
        self, replicas: list[load.Replica], replica_id: str
    ) -> load.Replica | None:
        return next((r for r in replicas if r.listing.id == replica_id), None)


def _usable_slots(
    replica: load.Replica, ticket: tickets.Ticket, now_ms: float
) -> int:
    """Returns how many requests a replica may run for a ticket's to start."""
    if ticket.is_batch:
        return replica.slots
    req = ticket.req
    return ranking.usable_slots(
        replica, req.arrived_ms, req.objective_ms, now_ms
    )
