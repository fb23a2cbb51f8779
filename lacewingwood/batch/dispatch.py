"""Sends items of this worker's jobs to replicas that offer room."""

import dataclasses
import functools
import math
import random
from collections.abc import Callable

import trio

from lacewingwood import errors as base_errors
from lacewingwood.batch import deps as deps_module
from lacewingwood.batch import schedule
from lacewingwood.hostlist import types as host_types
from lacewingwood.peers import messages

# A run takes at most the replica's own limit and some time in its queue.
RUN_TIMEOUT_MS = 660_000.0

_WANT_MS = 500.0
_TICK_MS = 100.0
# Without a pause, items that a replica hands back at once and the messages
# about them would go to and fro as fast as the network allows.
_PAUSE_MS = 100.0
_LEAST_WANT_MS = 20.0
# An offer that is not repeated for this time is void.
_OFFER_MS = 3_000.0
# Owners ask only some replicas for room, so that messages grow with the work
# and not with the product of workers and replicas.
_MAX_REPLICAS = 64

NoAnswer = schedule.ItemFault | schedule.ReplicaCrashed | schedule.Interrupted
Outcome = messages.ItemDone | NoAnswer
OutcomeHandler = Callable[[schedule.Item, Outcome], None]


@dataclasses.dataclass(slots=True)
class _Place:
    """A replica as this owner sees it."""

    room: int = 0
    epoch: int = -1
    serial: int = -1
    heard_ms: float = -math.inf
    running: int = 0
    asked: dict[str, int] = dataclasses.field(default_factory=dict)
    asked_ms: float = -math.inf
    paused_until_ms: float = -math.inf

    def open(self, now_ms: float) -> bool:
        """Returns whether an item may be sent there now."""
        heard = now_ms - self.heard_ms <= _OFFER_MS
        paused = now_ms < self.paused_until_ms
        return heard and not paused and self.running < self.room


class Dispatcher:
    """Runs scheduled items on replicas."""

    __slots__ = (
        "_deps",
        "_jobs",
        "_may_send",
        "_nursery",
        "_on_outcome",
        "_places",
        "_rng",
        "_schedule",
        "_serial",
        "_used",
        "_wake",
    )

    def __init__(
        self,
        deps: deps_module.Deps,
        queue: schedule.Schedule,
        on_outcome: OutcomeHandler,
        may_send: Callable[[str], bool],
        rng: random.Random,
    ) -> None:
        """Makes a dispatcher.

        Args:
            deps: What it uses.
            queue: Items to run.
            on_outcome: Called with the outcome of every run.
            may_send: Tells by job id whether items may be sent at all.
            rng: Chooses the replicas to ask for room.
        """
        self._deps = deps
        self._schedule = queue
        self._on_outcome = on_outcome
        self._may_send = may_send
        self._rng = rng
        self._places: dict[str, _Place] = {}
        self._used: set[str] = set()
        self._jobs: dict[str, dict[int, trio.CancelScope]] = {}
        self._serial = 0
        self._wake = trio.Event()
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Dispatches until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._repeat_wants)
            while True:
                self._wake = trio.Event()
                self._pump(nursery)
                await self._wake.wait()

    def wake(self) -> None:
        """Looks for items to send; call this after adding some."""
        self._wake.set()

    def handle_offer(self, message: messages.RoomOffer) -> None:
        """Takes a replica's offer of room."""
        place = self._places.setdefault(message.replica, _Place())
        newest = (place.epoch, place.serial)
        if (message.epoch, message.serial) <= newest:
            return
        place.epoch, place.serial = message.epoch, message.serial
        place.room = message.room
        place.heard_ms = self._deps.clock.now_ms()
        self.wake()

    def running_count(self, job_id: str) -> int:
        """Returns the number of a job's items that are out at replicas."""
        return len(self._jobs.get(job_id, ()))

    def stop_job(self, job_id: str, epoch: int, abandon: bool) -> None:
        """Stops a job's items on all replicas.

        Args:
            job_id: The job.
            epoch: Epoch of the lease under which they were sent.
            abandon: True to forget them, False to await what they produced.
        """
        for replica, place in self._places.items():
            holder = self._deps.leases.holder(f"replica/{replica}")
            if holder is not None and place.epoch >= 0:
                stop = messages.StopItems(replica, job_id, epoch)
                self._deps.network.send(holder.address, stop)
        if abandon:
            for scope in self._jobs.pop(job_id, {}).values():
                scope.cancel()

    def can_run(self, host: host_types.Host, item: schedule.Item) -> bool:
        """Returns whether an item may run on a replica."""
        model = self._deps.follower.view.models.get(item.model)
        return (
            model is not None
            and model.service == host.service
            and host.id not in item.crashed_on
            and self._may_send(item.job_id)
        )

    def _pump(self, nursery: trio.Nursery) -> None:
        now_ms = self._deps.clock.now_ms()
        hosts = self._replicas()
        self._rng.shuffle(hosts)
        for host in hosts:
            place = self._places.setdefault(host.id, _Place())
            while place.open(now_ms):
                item = self._schedule.pop_next(
                    functools.partial(self.can_run, host)
                )
                if item is None:
                    break
                self._send(nursery, host, place, item)
        self._ask(hosts)

    def _replicas(self) -> list[host_types.Host]:
        hosts = [
            host
            for host in self._deps.hosts()
            if host.kind == "engine" and host.state == "live"
        ]
        if len(hosts) <= _MAX_REPLICAS:
            return hosts
        ids = {host.id for host in hosts}
        self._used &= ids
        spare = sorted(ids - self._used)
        missing = _MAX_REPLICAS - len(self._used)
        self._used.update(self._rng.sample(spare, missing))
        return [host for host in hosts if host.id in self._used]

    def _ask(self, hosts: list[host_types.Host]) -> None:
        """Tells replicas what could be sent to them."""
        now_ms = self._deps.clock.now_ms()
        for host in hosts:
            place = self._places.setdefault(host.id, _Place())
            wants = self._schedule.waiting_by_customer(
                functools.partial(self.can_run, host)
            )
            changed = bool(wants) != bool(place.asked)
            due = now_ms - place.asked_ms >= _WANT_MS
            early = now_ms - place.asked_ms < _LEAST_WANT_MS
            if early or not (changed or (due and wants)):
                continue
            holder = self._deps.leases.holder(f"replica/{host.id}")
            if holder is None:
                continue
            place.asked = wants
            place.asked_ms = now_ms
            self._serial += 1
            want = messages.WantItems(
                self._deps.node_id, host.id, wants, self._serial
            )
            self._deps.network.send(holder.address, want)

    async def _repeat_wants(self) -> None:
        while True:
            await self._deps.clock.sleep_ms(_TICK_MS)
            self.wake()

    def _send(
        self,
        nursery: trio.Nursery,
        host: host_types.Host,
        place: _Place,
        item: schedule.Item,
    ) -> None:
        scope = trio.CancelScope()
        self._jobs.setdefault(item.job_id, {})[item.index] = scope
        place.running += 1
        nursery.start_soon(self._run, host, place, item, scope)

    async def _run(
        self,
        host: host_types.Host,
        place: _Place,
        item: schedule.Item,
        scope: trio.CancelScope,
    ) -> None:
        outcome: Outcome = schedule.Interrupted()
        try:
            with scope:
                outcome = await self._call(host, place, item)
        finally:
            place.running -= 1
            running = self._jobs.get(item.job_id, {})
            if running.get(item.index) is scope:
                del running[item.index]
                if not running:
                    del self._jobs[item.job_id]
        if not scope.cancelled_caught:
            self._on_outcome(item, outcome)
        self.wake()

    async def _call(
        self, host: host_types.Host, place: _Place, item: schedule.Item
    ) -> Outcome:
        holder = self._deps.leases.holder(f"replica/{host.id}")
        request = self._request(host.id, item)
        if holder is None or request is None:
            self._pause(place)
            return schedule.Interrupted()
        try:
            answer = await self._deps.network.call(
                holder.address, request, RUN_TIMEOUT_MS
            )
        except base_errors.Error:
            # The holder died or does not answer; the item may be run again.
            self._pause(place)
            return schedule.Interrupted()
        return self._outcome(host.id, place, answer)

    def _outcome(
        self, replica: str, place: _Place, answer: messages.Message
    ) -> Outcome:
        match answer:
            case messages.ItemDone():
                return answer
            case messages.ItemYielded(text=text):
                return schedule.Interrupted(text)
            case messages.ItemFailed(crashed=True, text=text):
                self._pause(place)
                return schedule.ReplicaCrashed(replica, text)
            case messages.ItemFailed(own_fault=True, code=code, message=why):
                return schedule.ItemFault(code, why)
            case messages.ItemFailed(text=text):
                self._pause(place)
                return schedule.Interrupted(text)
        self._pause(place)
        return schedule.Interrupted()

    def _pause(self, place: _Place) -> None:
        """Sends nothing for a while to a replica that did not take an item."""
        place.room = 0
        place.paused_until_ms = self._deps.clock.now_ms() + _PAUSE_MS

    def _request(
        self, replica: str, item: schedule.Item
    ) -> messages.RunItem | None:
        state = self._deps.follower.view.jobs.get(item.job_id)
        epoch = self._deps.leases.held(f"job/{item.job_id}")
        if state is None or epoch is None:
            return None
        return messages.RunItem(
            item.job_id,
            item.index,
            epoch,
            replica,
            state.job.endpoint,
            item.body,
            item.partial_text,
            float(state.job.due_ms - self._deps.wall_ms()),
            self._deps.node_id,
            state.job.customer,
            item.cost_tokens,
            bool(item.crashed_on),
        )
