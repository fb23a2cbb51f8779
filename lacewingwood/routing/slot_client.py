"""Gets slots for this gateway's requests, in a large fleet from coordinators.

In a small fleet, and for requests whose coordinators do not answer, slots are
taken by this gateway's own picture of the replicas (`dispatcher`).
"""

import collections
import dataclasses
import itertools
import math
import random
from collections.abc import Callable
from collections.abc import Collection

import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.peers import gateway_messages
from lacewingwood.peers import messages
from lacewingwood.peers import network as network_lib
from lacewingwood.peers import roster as roster_lib
from lacewingwood.routing import coordinator_links
from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import load
from lacewingwood.routing import shards as shards_lib
from lacewingwood.routing import slot_server
from lacewingwood.routing import slots as slots_lib
from lacewingwood.routing import spillover

# What is held and waited for is repeated at this interval; see
# `coordinator.TICKET_TTL_MS`.
_REPEAT_INTERVAL_MS = 400.0
# A waiting online request asks its coordinators again after this time, in case
# one of them has ended.
_WAIT_MS = 300.0
# Shards that one online request asks.
_MAX_SHARDS = 3
# Tickets that batch items wait under in each shard.
_BATCH_TICKETS_PER_SHARD = 2
# A shard that had no free slot at its last answer is asked last for this long.
_HINT_TTL_MS = 150.0
# A grant that is older was held up, as by a stop of this process: it no longer
# fits the bounds of the replicas or the evacuated zones. Waiting requests ask
# again within half of this time, which tells that a grant is newer.
_MAX_GRANT_AGE_MS = 1_000.0
# A request to replicas with a limit that gets no slot by this gateway's own
# picture within this time asks the coordinators again.
_ALONE_MS = 500.0


@dataclasses.dataclass(slots=True, eq=False)
class _Pending:
    """An online request that waits for one of its tickets.

    Attributes:
        req: The request.
        shards: Shard of each ticket, by number.
        slot: The slot, None until one ticket was granted.
        ready: Set once it was.
        asked_ms: When a coordinator was last asked.
        taken_ms: When the slot was taken.
        hopeless: Shards that can't run it before its deadline, by their last
            answers.
    """

    req: slots_lib.SlotRequest
    shards: dict[int, str] = dataclasses.field(default_factory=dict)
    slot: slots_lib.Slot | None = None
    ready: trio.Event = dataclasses.field(default_factory=trio.Event)
    asked_ms: float = 0.0
    taken_ms: float = 0.0
    hopeless: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class _BatchTicket:
    shard: str
    service: str
    asked_ms: float


class SlotClient:
    """Slots for online requests and batch items.

    Attributes:
        on_batch_slot: Called with a slot for a batch item; returns False if no
            item needs it.
        on_preempt: Called with a replica at which an item has to be stopped.
        coordinated: Returns whether coordinators grant the slots.
    """

    def __init__(
        self,
        dispatcher: dispatchers.Dispatcher,
        shard_map: shards_lib.ShardMap,
        links: coordinator_links.CoordinatorLinks,
        server: slot_server.SlotServer,
        network: network_lib.Network,
        roster: roster_lib.Roster,
        address: str,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
        first_ticket: int,
        rng: random.Random | None = None,
    ) -> None:
        """Creates a client.

        Args:
            dispatcher: Takes slots by this gateway's own picture.
            shard_map: The shards of all replicas.
            links: Carries messages to the coordinators.
            server: Sends what this gateway itself grants to this client.
            network: Receives the messages of other coordinators.
            roster: The other gateways.
            address: Address on which this gateway accepts peer connections.
            clock: Source of monotonic time.
            metrics: Registry of counters.
            first_ticket: Number of the first ticket, greater than those of
                earlier processes on this host.
            rng: Chooses shards.
        """
        self.on_batch_slot: Callable[[slots_lib.Slot], bool]
        self.on_batch_slot = lambda slot: False
        self.on_preempt: Callable[[load.Replica], None] = lambda replica: None
        self.coordinated: Callable[[], bool] = lambda: False
        self._dispatcher = dispatcher
        self._shard_map = shard_map
        self._links = links
        self._roster = roster
        self._address = address
        self._clock = clock
        self._metrics = metrics
        self._numbers = itertools.count(first_ticket)
        self._rng = rng or random.Random()
        self._spillover = spillover.Spillover(rng)
        self._pending: dict[int, _Pending] = {}
        self._batch: dict[int, _BatchTicket] = {}
        self._held: dict[int, slots_lib.Slot] = {}
        # Free slots of a shard by its last answer, and when that came.
        self._hints: dict[str, tuple[int, float]] = {}
        server.deliver = self._deliver
        network.handle(gateway_messages.SlotGrant, self._handle)
        network.handle(gateway_messages.SlotPreempt, self._handle)

    @property
    def fleet(self) -> load.Fleet:
        """The replicas and their load by this gateway's own picture."""
        return self._dispatcher.fleet

    def has_replica(
        self,
        service: str,
        exclude: Collection[str] = frozenset(),
        version: str | None = None,
    ) -> bool:
        """Returns whether a service has a usable replica; see `Slots`."""
        return self._dispatcher.has_replica(service, exclude, version)

    async def acquire(
        self, req: slots_lib.SlotRequest
    ) -> slots_lib.Slot | None:
        """Waits for a slot; returns None if the deadline passes first."""
        if not self.coordinated():
            return await self._dispatcher.acquire(req)
        started_ms = self._clock.now_ms()
        pending = _Pending(req)
        remaining_ms = req.deadline_ms - started_ms
        try:
            with trio.move_on_after(max(0.0, remaining_ms) / 1000):
                while not await self._ask_until_granted(pending):
                    # Tickets of shards that answered before may be granted.
                    self._forget(pending)
                    if pending.slot is not None:
                        break
                    slot, ended = await self._acquire_alone(req)
                    if ended:
                        return slot
        except BaseException:
            if pending.slot is not None:
                self.release(pending.slot)
            raise
        finally:
            self._forget(pending)
        waited_ms = self._clock.now_ms() - started_ms
        self._metrics.histogram("slot_wait").record_ms(waited_ms)
        slot = pending.slot
        if slot is not None and self._is_old(pending.taken_ms):
            slot.unused = True
            self.release(slot)
            return await self.acquire(req)
        return slot

    def release(self, slot: slots_lib.Slot) -> None:
        """Releases a slot; further calls have no effect."""
        if not slot.held:
            return
        self._dispatcher.release(slot)
        if slot.ticket and self._held.pop(slot.ticket, None) is not None:
            shard = self._shard_map.of_replica(slot.replica)
            host = self._links.coordinator_of(shard) if shard else None
            if host is not None:
                self._send_release(host, slot.ticket, slot)

    def want_batch(
        self, service: str, count: int, urgent: bool, left_ms: float = 0.0
    ) -> None:
        """Sets how many slots batch items of a service wait for.

        Args:
            service: The service.
            count: Number of waiting items.
            urgent: True if one of them may take the last free slots.
            left_ms: Time that the item which starts first has to run, 0 if it
                is not known.
        """
        shards = [
            shard
            for shard in self._shard_map.of_service(service)
            if shards_lib.zone_of(shard) not in self.fleet.evacuated
        ]
        mine: list[int] = []
        for number, ticket in list(self._batch.items()):
            if ticket.service != service:
                continue
            if ticket.shard in shards:
                mine.append(number)
            else:
                del self._batch[number]
        wanted = min(count, _BATCH_TICKETS_PER_SHARD * len(shards))
        for number in mine[wanted:]:
            self._end_ticket(number, self._batch.pop(number).shard)
        now_ms = self._clock.now_ms()
        for number in mine[:wanted]:
            # A ticket may be granted while another one is repeated, if this
            # gateway is the coordinator.
            known = self._batch.get(number)
            if known is None:
                continue
            if now_ms - known.asked_ms >= _REPEAT_INTERVAL_MS:
                self._ask_batch(number, known, urgent, left_ms)
        for shard in self._batch_shards(shards, wanted - len(mine)):
            ticket = _BatchTicket(shard, service, now_ms)
            number = next(self._numbers)
            self._batch[number] = ticket
            self._ask_batch(number, ticket, urgent, left_ms)

    async def run(self) -> None:
        """Repeats what this gateway holds until cancelled."""
        while True:
            await self._clock.sleep_ms(_REPEAT_INTERVAL_MS)
            if self._held and self.coordinated():
                self._tell_held()

    async def _ask_until_granted(self, pending: _Pending) -> bool:
        """Asks shards in turn; returns False if no coordinator answers.

        A request for a spare slot asks each shard once, and does not wait. A
        shard without a free slot is asked to stop batch items only if the
        other shards have no free slot either. A request that none of them can
        run in time ends at once; one that has waited goes on waiting.
        """
        for attempt in itertools.count():
            if self.fleet.is_evacuated(pending.req.service):
                return True
            shards = self._shards_for(pending.req)
            answered = False
            for may_preempt in (False,) if pending.req.spare else (False, True):
                for shard in shards:
                    if await self._ask(pending, shard, may_preempt):
                        answered = True
                    if pending.ready.is_set():
                        return True
            if not answered:
                return False
            if pending.req.spare:
                return True
            if attempt == 0 and pending.hopeless.issuperset(shards):
                pending.req.hopeless = True
                self._metrics.add("slots_forecast_late")
                return True
            with trio.move_on_after(_WAIT_MS / 1000):
                await pending.ready.wait()
            if pending.ready.is_set():
                return True
        raise AssertionError

    async def _ask(
        self, pending: _Pending, shard: str, may_preempt: bool
    ) -> bool:
        """Asks for a slot of a shard; returns whether its coordinator answers.

        The ticket stays, and may be granted later.
        """
        host = self._links.coordinator_of(shard)
        if host is None:
            return False
        number = next((n for n, s in pending.shards.items() if s == shard), 0)
        if not number:
            number = next(self._numbers)
            pending.shards[number] = shard
            self._pending[number] = pending
        now_ms = pending.asked_ms = self._clock.now_ms()
        req = pending.req
        message = gateway_messages.SlotAsk(
            host=self._roster.host,
            address=self._address,
            ticket=number,
            shard=shard,
            service=req.service,
            repeatable=req.repeatable,
            may_preempt=may_preempt,
            rank=req.rank,
            age_ms=now_ms - req.arrived_ms,
            objective_ms=req.objective_ms,
            exclude=list(req.exclude),
            version=req.version,
            customer=req.customer,
            tokens=req.tokens,
            timeout_ms=(
                None
                if math.isinf(req.deadline_ms)
                else req.deadline_ms - now_ms
            ),
        )
        answer = await self._links.ask(host, message)
        if answer is None:
            if pending.shards.pop(number, None) is not None:
                # It may still grant the ticket.
                del self._pending[number]
                self._send_release(host, number)
            return False
        self._hints[shard] = answer.free, self._clock.now_ms()
        if answer.hopeless:
            pending.hopeless.add(shard)
        else:
            pending.hopeless.discard(shard)
        if answer.replica and req.spare and answer.free <= 0:
            # The next online request would find no slot.
            self._forget_ticket(pending, number)
        elif answer.replica:
            self._take(number, answer.replica, shard)
        return True

    async def _acquire_alone(
        self, req: slots_lib.SlotRequest
    ) -> tuple[slots_lib.Slot | None, bool]:
        """Takes a slot by this gateway's own picture of the replicas.

        Returns:
            The slot, and False if the coordinators have to be asked again.
        """
        self._metrics.add("slots_uncoordinated")
        now_ms = self._clock.now_ms()
        limits = self.fleet.limits
        limited = any(
            limits.has_limit(replica.listing.incarnation, now_ms)
            for replica in self.fleet.of_service(req.service)
        )
        slot = None
        wait_s = _ALONE_MS / 1000 if limited else math.inf
        with trio.move_on_after(wait_s) as scope:
            slot = await self._dispatcher.acquire(req)
        if slot is not None:
            slot.ticket = next(self._numbers)
            self._held[slot.ticket] = slot
        return slot, not scope.cancelled_caught

    def _shards_for(self, req: slots_lib.SlotRequest) -> list[str]:
        """Returns the shards to ask, usually those of this zone first.

        Shards that were full a moment ago come last.
        """
        now_ms = self._clock.now_ms()
        shards = [
            shard
            for shard in self._shard_map.of_service(req.service)
            if (req.version is None and not self.fleet.evacuated)
            or any(map(req.allows, self._shard_map.replicas(shard)))
        ]
        self._rng.shuffle(shards)
        home = self._roster.zone
        first = self._first_zone(req.service, shards, now_ms)
        if first != home:
            self._metrics.add("requests_sent_out_of_zone")

        def order(shard: str) -> tuple[bool, bool, bool, int]:
            free, at_ms = self._hints.get(shard, (1, 0.0))
            known = now_ms - at_ms < _HINT_TTL_MS
            zone = shards_lib.zone_of(shard)
            preferred, near = zone == first, zone == home
            if req.avoid_zone is not None:
                preferred = near = zone != req.avoid_zone
            return (
                known and free <= 0,
                not preferred,
                not near,
                -free if known else 0,
            )

        return sorted(shards, key=order)[:_MAX_SHARDS]

    def _first_zone(
        self, service: str, shards: list[str], now_ms: float
    ) -> str:
        """Returns the zone whose shards a request asks first."""
        replicas: dict[str, list[load.Replica]] = {}
        for shard in shards:
            zone = shards_lib.zone_of(shard)
            replicas.setdefault(zone, []).extend(
                self._shard_map.replicas(shard)
            )
        durations = {
            zone: spillover.duration(members, now_ms, zone == self._roster.zone)
            for zone, members in replicas.items()
        }
        return self._spillover.zone(service, self._roster.zone, durations)

    def _batch_shards(self, shards: list[str], count: int) -> list[str]:
        """Returns the shards of `count` new tickets for batch items."""
        if count <= 0:
            return []
        waiting = collections.Counter(t.shard for t in self._batch.values())
        chosen = []
        for _ in range(count):
            shard = min(shards, key=lambda s: (waiting[s], self._rng.random()))
            waiting[shard] += 1
            chosen.append(shard)
        return chosen

    def _ask_batch(
        self,
        number: int,
        ticket: _BatchTicket,
        urgent: bool,
        left_ms: float,
    ) -> None:
        ticket.asked_ms = self._clock.now_ms()
        message = gateway_messages.SlotAsk(
            host=self._roster.host,
            address=self._address,
            ticket=number,
            shard=ticket.shard,
            service=ticket.service,
            batch=True,
            urgent=urgent,
            left_ms=left_ms,
        )
        host = self._links.coordinator_of(ticket.shard)
        answer = self._links.send(host, message)
        if answer is not None and answer.replica:
            self._take(number, answer.replica, ticket.shard)

    async def _handle(self, message: messages.Message) -> messages.Message:
        self._deliver(message)
        return messages.Ack()

    def _deliver(self, message: messages.Message) -> None:
        """Applies a coordinator's message."""
        match message:
            case gateway_messages.SlotGrant(ticket, replica_id, shard):
                self._take(ticket, replica_id, shard)
            case gateway_messages.SlotPreempt(replica_id):
                if found := self.fleet.get(replica_id):
                    self.on_preempt(found)

    def _take(self, number: int, replica_id: str, shard: str) -> None:
        """Takes a granted slot, or gives it back if it is not needed."""
        if number in self._held:
            return
        pending = self._pending.get(number)
        batch = self._batch.pop(number, None)
        replica = self.fleet.get(replica_id)
        waiting = pending or batch
        if waiting is not None and self._is_old(waiting.asked_ms):
            self._metrics.add("slot_grants_too_old")
            if pending is not None:
                self._forget_ticket(pending, number)
            else:
                self._end_ticket(number, shard)
            return
        usable = replica is not None and replica.takes_work
        if replica is not None and pending is not None:
            # A coordinator of an earlier release grants any software version.
            usable = pending.req.allows(replica)
        if not usable or (pending is None and batch is None):
            if pending is not None:
                pending.req.exclude.add(replica_id)
                self._forget_ticket(pending, number)
                return
            self._end_ticket(number, shard)
            return
        assert replica is not None
        if batch is not None:
            self._take_batch(number, replica)
        elif pending is not None:
            if pending.ready.is_set():
                self._forget_ticket(pending, number)
                return
            del pending.shards[number]
            del self._pending[number]
            pending.taken_ms = self._clock.now_ms()
            pending.slot = self._hold(number, replica, load.WorkKind.ONLINE)
            pending.ready.set()

    def _is_old(self, since_ms: float) -> bool:
        return self._clock.now_ms() - since_ms > _MAX_GRANT_AGE_MS

    def _take_batch(self, number: int, replica: load.Replica) -> None:
        slot = self._hold(number, replica, load.WorkKind.BATCH)
        if not self.on_batch_slot(slot):
            slot.unused = True
            self.release(slot)

    def _hold(
        self, number: int, replica: load.Replica, work: load.WorkKind
    ) -> slots_lib.Slot:
        slot = self._dispatcher.assign(replica, work)
        slot.ticket = number
        self._held[number] = slot
        return slot

    def _forget(self, pending: _Pending) -> None:
        """Ends the tickets of a request that were not granted."""
        for number in list(pending.shards):
            self._forget_ticket(pending, number)

    def _forget_ticket(self, pending: _Pending, number: int) -> None:
        shard = pending.shards.pop(number)
        self._pending.pop(number, None)
        self._end_ticket(number, shard)

    def _end_ticket(self, number: int, shard: str) -> None:
        """Ends a ticket under which nothing was sent."""
        if host := self._links.coordinator_of(shard) if shard else None:
            self._send_release(host, number)

    def _send_release(
        self,
        host: str,
        number: int,
        slot: slots_lib.Slot | None = None,
    ) -> None:
        """Ends a ticket at a coordinator.

        Args:
            host: Host of the coordinator.
            number: Number of the ticket.
            slot: Slot under which a request was sent, None if none was.
        """
        message = gateway_messages.SlotRelease(self._roster.host, number)
        if slot is None:
            message.unused = True
        else:
            message.refused, message.failed = slot.refused, slot.failed
            message.unused = slot.unused
            message.deviation, message.weight = slot.deviation
        self._links.send(host, message)

    def _tell_held(self) -> None:
        """Tells each coordinator what this gateway holds in its shards."""
        by_shard: dict[str, gateway_messages.SlotsHeld] = {}
        for number, slot in self._held.items():
            shard = self._shard_map.of_replica(slot.replica)
            if not shard:
                continue
            message = by_shard.setdefault(
                shard,
                gateway_messages.SlotsHeld(
                    self._roster.host, self._address, shard, {}, {}
                ),
            )
            held = (
                message.batch
                if slot.work is load.WorkKind.BATCH
                else message.online
            )
            held[number] = slot.replica.listing.id
        for shard, message in by_shard.items():
            self._links.send(self._links.coordinator_of(shard), message)
