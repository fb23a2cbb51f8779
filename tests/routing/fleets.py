"""A fleet of gateways and replicas in one process, on simulated time.

The gateways run the real decision code; messages take `Network.delay_ms`.
Replicas run as many requests as they have slots and queue the others.
"""

import bisect
import collections
import dataclasses
import math
import random
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import trio

from lacewingwood import errors as base_errors
from lacewingwood import metrics as metrics_lib
from lacewingwood.peers import errors as peer_errors
from lacewingwood.peers import messages
from lacewingwood.routing import coordinator_links
from lacewingwood.routing import directory
from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import load
from lacewingwood.routing import run_times
from lacewingwood.routing import shards as shards_lib
from lacewingwood.routing import slot_client
from lacewingwood.routing import slot_server
from lacewingwood.routing import slots as slots_lib
from lacewingwood.upstreams import runs

SERVICE = "lm"
OBJECTIVE_MS = 300.0

# Duration of a stream at an idle replica, the number of its events, and that of
# the parts in which it is played.
_STREAM_MS = 520.0
_EVENTS = 19
_PARTS = 4

Handler = Callable[[messages.Message], Awaitable[messages.Message]]


# Time from submission after which an item is due, and the slack below which it
# is urgent, as in `jobs.item_order`.
_DUE_MS = 18_000.0
_URGENT_SLACK_MS = 2_500.0
# A run of an item that is stopped within this time was begun in vain.
EARLY_MS = 1_000.0
# Time in which a replica processes the prompt of each run of an item.
PROMPT_MS = 100.0


def make_request(customer: str = "") -> slots_lib.SlotRequest:
    """Returns an online request that arrives now."""
    now_ms = trio.current_time() * 1000
    return slots_lib.SlotRequest(
        service=SERVICE,
        work=load.WorkKind.ONLINE,
        arrived_ms=now_ms,
        objective_ms=OBJECTIVE_MS,
        deadline_ms=now_ms + 5_000,
        customer=customer,
        tokens=100.0,
    )


class Clock:
    """Trio's clock in ms."""

    def now_ms(self) -> float:
        """Returns the simulated time."""
        return trio.current_time() * 1000

    async def sleep_ms(self, duration_ms: float) -> None:
        """Waits."""
        await trio.sleep(max(0.0, duration_ms) / 1000)


class Bus:
    """Carries messages between the gateways of a fleet.

    Attributes:
        silent: Hosts that neither answer nor send.
        sent: Number of messages.
    """

    def __init__(self, nursery: trio.Nursery, delay_ms: float) -> None:
        self.networks: dict[str, Network] = {}
        self.silent: set[str] = set()
        self.sent = 0
        self._nursery = nursery
        self._delay_ms = delay_ms

    async def deliver(
        self, sender: str, address: str, message: messages.Message
    ) -> messages.Message:
        """Takes a message to its handler and returns the answer."""
        self.sent += 1
        await trio.sleep(self._delay_ms / 1000)
        network = self.networks[address]
        if address in self.silent or sender in self.silent:
            await trio.sleep_forever()
        return await network.handlers[type(message)](message)

    def post(
        self, sender: str, address: str, message: messages.Message
    ) -> None:
        """Delivers a message without waiting."""
        self._nursery.start_soon(self.deliver, sender, address, message)


class Network:
    """The transport of one gateway, as `peers.network.Network`."""

    def __init__(self, bus: Bus, host: str) -> None:
        self.handlers: dict[type, Handler] = {}
        self._bus, self._host = bus, host
        bus.networks[host] = self

    def handle(self, message_type: type, handler: Handler) -> None:
        """Registers a handler."""
        self.handlers[message_type] = handler

    async def call(
        self, address: str, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Sends a request and returns the answer."""
        with trio.move_on_after(timeout_ms / 1000):
            return await self._bus.deliver(self._host, address, message)
        raise peer_errors.TimeoutError(
            "no answer", base_errors.Ran.MAY_HAVE_RUN
        )

    def send(self, address: str, message: messages.Message) -> None:
        """Sends a one-way message."""
        self._bus.post(self._host, address, message)


@dataclasses.dataclass(slots=True)
class Peer:
    """Another gateway, as `roster.Peer`."""

    host: str
    address: str
    zone: str


class Roster:
    """The other gateways, as `roster.Roster`."""

    def __init__(self, host: str, zone: str, fleet: "Fleet") -> None:
        self.host, self.zone = host, zone
        self._fleet = fleet

    def live_peers(self) -> list[Peer]:
        """Returns all other gateways that are not known to be dead."""
        peers = self._fleet.peers.values()
        dead = self._fleet.known_dead
        return [p for p in peers if p.host not in {self.host, *dead}]

    def get(self, host: str) -> Peer | None:
        """Returns a gateway."""
        return self._fleet.peers.get(host)


class Replica:
    """A replica that admits requests in order of arrival.

    Attributes:
        slowness: Returns how long work takes there now, 1.0 as usual.
        growth: Growth of a duration's logarithm from an idle to a full replica.
        figure: Returns what the replica says of that, None for nothing.
    """

    def __init__(self, slots: int) -> None:
        self.limiter = trio.CapacityLimiter(slots)
        self.most_queued = 0
        self.sent_ms: list[float] = []
        self.slowness: Callable[[], float] = lambda: 1.0
        self.growth = 0.0
        self.figure: Callable[[], float | None] = lambda: None

    @property
    def running(self) -> int:
        """Number of requests that have a slot."""
        return self.limiter.borrowed_tokens

    async def run(
        self, duration_ms: float, started: trio.Event, parts: int = 1
    ) -> runs.Timing:
        """Runs a request; `started` is set once it has a slot.

        Args:
            duration_ms: Duration at an idle replica of usual speed.
            started: Set once the request has a slot.
            parts: Number of parts, the first of which ends with the first
                event, whose duration follows from the load and speed then.
        """
        self.sent_ms.append(trio.current_time() * 1000)
        timing = runs.Timing()
        async with self.limiter:
            started.set()
            for _ in range(parts):
                share = self.running / self.limiter.total_tokens
                factor = self.slowness() * math.exp(self.growth * share)
                await trio.sleep(duration_ms * factor / parts / 1000)
                timing.last_ms = trio.current_time() * 1000
                timing.first_ms = timing.first_ms or timing.last_ms
        timing.gaps = _EVENTS - 1
        return timing

    def most_sent(self, window_ms: float = 1_000.0) -> int:
        """Returns the most requests that it got in any period."""
        times = sorted(self.sent_ms)
        return max(
            (
                bisect.bisect_left(times, t + window_ms) - n
                for n, t in enumerate(times)
            ),
            default=0,
        )

    def note_queue(self) -> None:
        """Records the length of the queue."""
        waiting = self.limiter.statistics().tasks_waiting
        self.most_queued = max(self.most_queued, waiting)


@dataclasses.dataclass(slots=True, eq=False)
class Item:
    """A batch item, which goes on where its last run was stopped.

    Attributes:
        added_ms: When it was submitted.
        left_ms: Time that it still has to run.
        started_ms: When its present run began at the replica, None if it does
            not run.
    """

    added_ms: float
    left_ms: float
    started_ms: float | None = None

    def left_at(self, now_ms: float) -> float:
        """Returns the time that it still has to run, its prompt aside."""
        if self.started_ms is None:
            return self.left_ms
        return self.left_ms - max(0.0, now_ms - self.started_ms - PROMPT_MS)

    def is_urgent(self, now_ms: float) -> bool:
        """Returns whether it would miss its due time by waiting much longer."""
        due_ms = self.added_ms + _DUE_MS
        return due_ms - now_ms - self.left_ms < _URGENT_SLACK_MS


class Gateway:
    """The slot client and server of one gateway, and its own batch items."""

    def __init__(self, host: str, zone: str, fleet: "Fleet", seed: int) -> None:
        clock, metrics = Clock(), metrics_lib.Registry()
        own = load.Fleet()
        shard_map = shards_lib.ShardMap()
        own.on_replicas = self._update_replicas
        self._shard_map = shard_map
        self._own = own
        for listing in fleet.listings:
            own.directory.put(listing)
        own.refresh()
        network = Network(fleet.bus, host)
        self.dispatcher = dispatchers.Dispatcher(
            own, zone, clock, metrics, random.Random(seed), fleet.contention
        )
        self.dispatcher.counts_lag = lambda: True
        self.server = slot_server.SlotServer(
            shard_map,
            own.limits,
            network,  # type: ignore[arg-type]
            host,
            clock,
            metrics,
            contention=fleet.contention,
        )
        self.network = network
        self.roster = roster = Roster(host, zone, fleet)
        self.client = slot_client.SlotClient(
            self.dispatcher,
            shard_map,
            coordinator_links.CoordinatorLinks(
                self.server,
                network,  # type: ignore[arg-type]
                roster,  # type: ignore[arg-type]
                clock,
                metrics,
            ),
            self.server,
            network,  # type: ignore[arg-type]
            roster,  # type: ignore[arg-type]
            host,
            clock,
            metrics,
            first_ticket=1,
            rng=random.Random(seed),
        )
        self.client.coordinated = lambda: fleet.coordinated
        self.client.on_batch_slot = self._start_item
        self.client.on_preempt = self._stop_item
        self.host, self.zone = host, zone
        self.waiting_items: list[Item] = []
        self._fleet = fleet
        self._items: dict[slots_lib.Slot, tuple[Item, trio.CancelScope]] = {}

    def _update_replicas(self, replicas: Iterable[load.Replica]) -> None:
        listed = list(replicas)
        self._shard_map.update(listed)
        now_ms = trio.current_time() * 1000
        self._own.limits.update_replicas([r.listing for r in listed], now_ms)

    async def serve_online(
        self, duration_ms: float, customer: str = ""
    ) -> None:
        """Serves one online request and records when it began to run."""
        outcome = self._fleet.outcome
        started_ms = trio.current_time() * 1000
        slot = await self.client.acquire(make_request(customer))
        if slot is None:
            outcome.refused += 1
            outcome.refused_after_ms.append(
                trio.current_time() * 1000 - started_ms
            )
            return
        replica = self._fleet.replicas[slot.replica.listing.id]
        started = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(replica.run, duration_ms, started)
            await trio.sleep(0)
            replica.note_queue()
            await started.wait()
            waited_ms = trio.current_time() * 1000 - started_ms
            outcome.waits_ms.append(waited_ms)
            outcome.waits_by_customer.setdefault(customer, []).append(waited_ms)
        self.client.release(slot)

    async def serve_stream(self, duration_ms: float) -> None:
        """Serves an online request and records when its first event came.

        The gateway learns from it if the fleet learns.
        """
        arrived_ms = trio.current_time() * 1000
        slot = await self.client.acquire(make_request())
        if slot is None:
            self._fleet.outcome.refused += 1
            return
        listing = slot.replica.listing
        replica = self._fleet.replicas[listing.id]
        slot.sent_ms = trio.current_time() * 1000
        self._fleet.outcome.chosen.append(listing.id)
        started = trio.Event()
        running = replica.running + 1
        figure = replica.figure()
        timing = await replica.run(duration_ms, started, _PARTS)
        own = self.dispatcher.fleet
        notice = runs.Notice(running)
        if self._fleet.learns:
            notice = runs.Notice(running, slowness=figure)
        own.note_notice(slot.replica, notice, timing.first_ms)
        if self._fleet.learns:
            now_ms = trio.current_time() * 1000
            slot.deviation = run_times.compare(
                slot.replica, notice, slot.sent_ms, timing, now_ms
            )
        self._fleet.outcome.first_events_ms.append(timing.first_ms - arrived_ms)
        self.client.release(slot)

    def want(self, count: int) -> None:
        """Adds batch items."""
        now_ms = trio.current_time() * 1000
        self.waiting_items += [
            Item(now_ms, self._fleet.item_ms) for _ in range(count)
        ]
        urgent = any(item.is_urgent(now_ms) for item in self.waiting_items)
        left_ms = min((i.left_ms for i in self.waiting_items), default=0.0)
        self.client.want_batch(
            SERVICE, len(self.waiting_items), urgent, left_ms
        )

    def _start_item(self, slot: slots_lib.Slot) -> bool:
        if not self.waiting_items:
            return False
        item = min(self.waiting_items, key=lambda i: (i.left_ms, i.added_ms))
        self.waiting_items.remove(item)
        self._items[slot] = item, trio.CancelScope()
        self._fleet.nursery.start_soon(self._run_item, slot)
        return True

    async def _run_item(self, slot: slots_lib.Slot) -> None:
        outcome = self._fleet.outcome
        replica = self._fleet.replicas[slot.replica.listing.id]
        item, scope = self._items[slot]
        started = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._note_start, item, started)
            with scope:
                await replica.run(item.left_ms + PROMPT_MS, started)
            nursery.cancel_scope.cancel()
        del self._items[slot]
        self.client.release(slot)
        now_ms = trio.current_time() * 1000
        ran_ms = now_ms - item.started_ms if item.started_ms else 0.0
        item.left_ms, item.started_ms = item.left_at(now_ms), None
        if scope.cancelled_caught:
            outcome.items_cut += 1
            outcome.items_cut_early += ran_ms < EARLY_MS
            self.waiting_items.append(item)
        else:
            outcome.items_done += 1
            outcome.item_times_ms.append(now_ms - item.added_ms)

    async def _note_start(self, item: Item, started: trio.Event) -> None:
        await started.wait()
        item.started_ms = trio.current_time() * 1000

    def _stop_item(self, replica: load.Replica) -> None:
        now_ms = trio.current_time() * 1000
        running = [
            (item.left_at(now_ms), n, scope)
            for n, (slot, (item, scope)) in enumerate(self._items.items())
            if slot.replica.listing.id == replica.listing.id
            and not scope.cancel_called
        ]
        if running:
            max(running, key=lambda found: found[:2])[2].cancel()


@dataclasses.dataclass(slots=True)
class Outcome:
    """What callers got.

    Attributes:
        waits_ms: Time until each online request began to run.
        waits_by_customer: The same by customer.
        refused: Online requests that got no slot.
        refused_after_ms: Time after which each of them was told so.
        items_done: Batch items that were completed.
        items_cut: Runs of batch items that were stopped.
        first_events_ms: Time until each streamed request's first event.
        chosen: Replicas of the streamed requests in their order.
        items_cut_early: Those of them that had run for less than `EARLY_MS`.
        item_times_ms: Time from submission to completion of each item.
    """

    waits_ms: list[float] = dataclasses.field(default_factory=list)
    waits_by_customer: dict[str, list[float]] = dataclasses.field(
        default_factory=dict
    )
    refused: int = 0
    refused_after_ms: list[float] = dataclasses.field(default_factory=list)
    items_done: int = 0
    items_cut: int = 0
    first_events_ms: list[float] = dataclasses.field(default_factory=list)
    chosen: list[str] = dataclasses.field(default_factory=list)
    items_cut_early: int = 0
    item_times_ms: list[float] = dataclasses.field(default_factory=list)

    def share_within(self, limit_ms: float) -> float:
        """Returns the share of online requests that began in time."""
        total = len(self.waits_ms) + self.refused
        return sum(w <= limit_ms for w in self.waits_ms) / max(1, total)


class Fleet:
    """Gateways and replicas in zones; plays load on them.

    Attributes:
        contention: True if customers compete for the slots.
        coordinated: False to let gateways take slots by their own picture.
        known_dead: Hosts that the other gateways know to be dead.
        item_ms: Duration of a batch item.
        outcome: What callers got so far.
        learns: True if gateways learn from streams how fast replicas are.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        gateways: int,
        replicas: int,
        zones: int = 2,
        slots: int = 8,
        delay_ms: float = 2.0,
        seed: int = 1,
        contention: bool = False,
    ) -> None:
        self.nursery = nursery
        self.contention = contention
        self.bus = Bus(nursery, delay_ms)
        self.coordinated = True
        self.known_dead: set[str] = set()
        self.item_ms = 4_000.0
        self.outcome = Outcome()
        self.learns = False
        self.rng = random.Random(seed)
        self.replicas = {f"r{n}": Replica(slots) for n in range(replicas)}
        self.listings = [
            directory.Listing(
                f"r{n}", SERVICE, f"10.0.0.{n}:1", f"z{n % zones}", slots
            )
            for n in range(replicas)
        ]
        names = [(f"g{n}", f"z{n % zones}") for n in range(gateways)]
        self.peers = {host: Peer(host, host, zone) for host, zone in names}
        self.gateways = [
            Gateway(host, zone, self, seed + n)
            for n, (host, zone) in enumerate(names)
        ]
        for gateway in self.gateways:
            nursery.start_soon(gateway.client.run)
            nursery.start_soon(gateway.server.run)

    async def play_online(
        self,
        per_s: float,
        seconds: float,
        duration_ms: float = 740.0,
        customers: int = 0,
        name: str = "c",
    ) -> None:
        """Sends online requests at random times and random gateways.

        Args:
            per_s: Requests a second.
            seconds: How long.
            duration_ms: Mean time that a request runs.
            customers: Number of customers that send them, 0 for none.
            name: Prefix of their names.
        """
        end = trio.current_time() + seconds
        while True:
            await trio.sleep(-math.log(1 - self.rng.random()) / per_s)
            if trio.current_time() >= end:
                return
            gateway = self.rng.choice(self.gateways)
            if gateway.host in self.bus.silent:
                continue
            length_ms = duration_ms * self.rng.uniform(0.7, 1.3)
            customer = ""
            if customers:
                customer = f"{name}{self.rng.randrange(customers)}"
            self.nursery.start_soon(gateway.serve_online, length_ms, customer)

    async def play_jobs(
        self, per_s: float, seconds: float, items: int = 10
    ) -> None:
        """Submits jobs of several items at random times and gateways."""
        end = trio.current_time() + seconds
        while True:
            await trio.sleep(-math.log(1 - self.rng.random()) / per_s)
            if trio.current_time() >= end:
                return
            self.rng.choice(self.gateways).want(items)

    async def play_streams(
        self, per_s: float, seconds: float, zones: Mapping[str, float]
    ) -> None:
        """Sends streamed requests at random times.

        Args:
            per_s: Requests a second.
            seconds: How long.
            zones: Weights of the zones whose gateways they arrive at.
        """
        end = trio.current_time() + seconds
        names, weights = list(zones), list(zones.values())
        by_zone = {
            name: [g for g in self.gateways if g.zone == name] for name in names
        }
        while trio.current_time() < end:
            await trio.sleep(-math.log(1 - self.rng.random()) / per_s)
            zone = self.rng.choices(names, weights)[0]
            gateway = self.rng.choice(by_zone[zone])
            if gateway.host in self.bus.silent:
                continue
            length_ms = _STREAM_MS * self.rng.uniform(0.9, 1.1)
            self.nursery.start_soon(gateway.serve_stream, length_ms)

    async def exchange_reports(self, interval_ms: float = 500.0) -> None:
        """Tells each gateway the others' reports until cancelled."""
        while True:
            await trio.sleep(interval_ms / 1000)
            now_ms = trio.current_time() * 1000
            for gateway in self.gateways:
                own = gateway.dispatcher.fleet
                counts, told = own.own_counts(), own.speeds.report(now_ms)
                for other in self.gateways:
                    if other is not gateway:
                        other.dispatcher.fleet.note_report(
                            gateway.host, counts, now_ms, speeds=told
                        )

    async def renew_wants(self, interval_ms: float = 100.0) -> None:
        """Repeats each gateway's number of waiting items until cancelled."""
        while True:
            await trio.sleep(interval_ms / 1000)
            for gateway in self.gateways:
                gateway.want(0)

    def most_queued(self) -> int:
        """Returns the longest queue at a replica so far."""
        return max(r.most_queued for r in self.replicas.values())

    def queued_by_replica(self) -> collections.Counter[int]:
        """Returns how many replicas had each longest queue."""
        return collections.Counter(
            r.most_queued for r in self.replicas.values()
        )
