"""Sends items of this worker's jobs to replicas that offer capacity."""

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

# Covers the time limit of a run at the replica and the wait in its queue.
RUN_TIMEOUT_MS = 660_000.0

_WANT_INTERVAL_MS = 500.0
_TICK_MS = 100.0
# A replica that returned an item gets none for this time. Without the pause, an
# item that a replica returns at once would be resent as fast as the network
# allows.
_REPLICA_PAUSE_MS = 100.0
_MIN_WANT_INTERVAL_MS = 20.0
# An offer expires if it is not repeated for this time.
_OFFER_MAX_AGE_MS = 3_000.0
# An owner asks at most this many replicas for capacity, so that the number of
# messages grows with the work and not with the product of workers and replicas.
_MAX_ASKED_REPLICAS = 64

NoAnswer = schedule.ItemFault | schedule.ReplicaCrashed | schedule.Interrupted
Outcome = messages.ItemDone | NoAnswer
OutcomeHandler = Callable[[schedule.Item, Outcome], None]


@dataclasses.dataclass(slots=True)
class _Target:
    """A replica to which this owner may send items.

    Attributes:
        room: Largest number of items that this owner may have there, by the
            last offer.
        epoch: Epoch of the replica's lease in the last offer.
        serial: Serial number of the last offer.
        offered_ms: When the last offer arrived.
        running: Items of this owner that are running or queued there.
        sent_wants: Numbers of waiting items, by customer, as last sent.
        wants_sent_ms: When they were sent.
        paused_until_ms: Until when no item is sent.
    """

    room: int = 0
    epoch: int = -1
    serial: int = -1
    offered_ms: float = -math.inf
    running: int = 0
    sent_wants: dict[str, int] = dataclasses.field(default_factory=dict)
    wants_sent_ms: float = -math.inf
    paused_until_ms: float = -math.inf

    def accepts_items(self, now_ms: float) -> bool:
        """Returns whether an item may be sent to the replica now."""
        offered = now_ms - self.offered_ms <= _OFFER_MAX_AGE_MS
        paused = now_ms < self.paused_until_ms
        return offered and not paused and self.running < self.room


class Dispatcher:
    """Runs scheduled items on replicas that offer capacity."""

    __slots__ = (
        "_asked_ids",
        "_deps",
        "_jobs",
        "_may_send",
        "_nursery",
        "_on_outcome",
        "_rng",
        "_schedule",
        "_serial",
        "_targets",
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
        """Creates a dispatcher.

        Args:
            deps: Services of the worker's process.
            queue: Items to run.
            on_outcome: Called with the outcome of every run that was not
                abandoned.
            may_send: Returns whether items of a job id may be sent now.
            rng: Chooses the replicas to ask for capacity.
        """
        self._deps = deps
        self._schedule = queue
        self._on_outcome = on_outcome
        self._may_send = may_send
        self._rng = rng
        self._targets: dict[str, _Target] = {}
        self._asked_ids: set[str] = set()
        self._jobs: dict[str, dict[int, trio.CancelScope]] = {}
        self._serial = 0
        self._wake = trio.Event()
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Dispatches until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._wake_periodically)
            while True:
                self._wake = trio.Event()
                self._dispatch(nursery)
                await self._wake.wait()

    def wake(self) -> None:
        """Starts a round of dispatch; called after items were scheduled."""
        self._wake.set()

    def handle_offer(self, message: messages.RoomOffer) -> None:
        """Stores a replica's offer unless it is outdated."""
        target = self._targets.setdefault(message.replica, _Target())
        newest = (target.epoch, target.serial)
        if (message.epoch, message.serial) <= newest:
            return
        target.epoch, target.serial = message.epoch, message.serial
        target.room = message.room
        target.offered_ms = self._deps.clock.now_ms()
        self.wake()

    def running_count(self, job_id: str) -> int:
        """Returns the number of a job's items that are at replicas."""
        return len(self._jobs.get(job_id, ()))

    def stop_job(self, job_id: str, epoch: int, abandon: bool) -> None:
        """Stops a job's items on all replicas.

        Args:
            job_id: Id of the job.
            epoch: Epoch of the lease under which the items were sent.
            abandon: True to discard the outcomes, False to wait for them and
                keep the text that the items produced.
        """
        for replica, target in self._targets.items():
            holder = self._deps.leases.holder(f"replica/{replica}")
            if holder is not None and target.epoch >= 0:
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

    def _dispatch(self, nursery: trio.Nursery) -> None:
        now_ms = self._deps.clock.now_ms()
        hosts = self._asked_hosts()
        self._rng.shuffle(hosts)
        for host in hosts:
            target = self._targets.setdefault(host.id, _Target())
            while target.accepts_items(now_ms):
                item = self._schedule.pop_next(
                    functools.partial(self.can_run, host)
                )
                if item is None:
                    break
                self._start_run(nursery, host, target, item)
        self._send_wants(hosts)

    def _asked_hosts(self) -> list[host_types.Host]:
        """Returns the live replicas that this owner asks for capacity.

        If there are too many, a random choice is kept while they live.
        """
        hosts = [
            host
            for host in self._deps.hosts()
            if host.kind == "engine" and host.state == "live"
        ]
        if len(hosts) <= _MAX_ASKED_REPLICAS:
            return hosts
        ids = {host.id for host in hosts}
        self._asked_ids &= ids
        spare = sorted(ids - self._asked_ids)
        missing = _MAX_ASKED_REPLICAS - len(self._asked_ids)
        self._asked_ids.update(self._rng.sample(spare, missing))
        return [host for host in hosts if host.id in self._asked_ids]

    def _send_wants(self, hosts: list[host_types.Host]) -> None:
        """Tells replicas how many items could be sent to them."""
        now_ms = self._deps.clock.now_ms()
        for host in hosts:
            target = self._targets.setdefault(host.id, _Target())
            wants = self._schedule.waiting_by_customer(
                functools.partial(self.can_run, host)
            )
            changed = bool(wants) != bool(target.sent_wants)
            due = now_ms - target.wants_sent_ms >= _WANT_INTERVAL_MS
            early = now_ms - target.wants_sent_ms < _MIN_WANT_INTERVAL_MS
            if early or not (changed or (due and wants)):
                continue
            holder = self._deps.leases.holder(f"replica/{host.id}")
            if holder is None:
                continue
            target.sent_wants = wants
            target.wants_sent_ms = now_ms
            self._serial += 1
            want = messages.WantItems(
                self._deps.node_id, host.id, wants, self._serial
            )
            self._deps.network.send(holder.address, want)

    async def _wake_periodically(self) -> None:
        while True:
            await self._deps.clock.sleep_ms(_TICK_MS)
            self.wake()

    def _start_run(
        self,
        nursery: trio.Nursery,
        host: host_types.Host,
        target: _Target,
        item: schedule.Item,
    ) -> None:
        scope = trio.CancelScope()
        self._jobs.setdefault(item.job_id, {})[item.index] = scope
        target.running += 1
        nursery.start_soon(self._run, host, target, item, scope)

    async def _run(
        self,
        host: host_types.Host,
        target: _Target,
        item: schedule.Item,
        scope: trio.CancelScope,
    ) -> None:
        outcome: Outcome = schedule.Interrupted()
        try:
            with scope:
                outcome = await self._run_on_replica(host, target, item)
        finally:
            target.running -= 1
            running = self._jobs.get(item.job_id, {})
            if running.get(item.index) is scope:
                del running[item.index]
                if not running:
                    del self._jobs[item.job_id]
        if not scope.cancelled_caught:
            self._on_outcome(item, outcome)
        self.wake()

    async def _run_on_replica(
        self, host: host_types.Host, target: _Target, item: schedule.Item
    ) -> Outcome:
        holder = self._deps.leases.holder(f"replica/{host.id}")
        request = self._make_request(host.id, item)
        if holder is None or request is None:
            self._pause(target)
            return schedule.Interrupted()
        try:
            answer = await self._deps.network.call(
                holder.address, request, RUN_TIMEOUT_MS
            )
        except base_errors.Error:
            # The lease holder died or does not answer; the item is run again.
            self._pause(target)
            return schedule.Interrupted()
        return self._parse_answer(host.id, target, answer)

    def _parse_answer(
        self, replica: str, target: _Target, answer: messages.Message
    ) -> Outcome:
        match answer:
            case messages.ItemDone():
                return answer
            case messages.ItemYielded(text=text):
                return schedule.Interrupted(text)
            case messages.ItemFailed(crashed=True, text=text):
                self._pause(target)
                return schedule.ReplicaCrashed(replica, text)
            case messages.ItemFailed(own_fault=True, code=code, message=why):
                return schedule.ItemFault(code, why)
            case messages.ItemFailed(text=text):
                self._pause(target)
                return schedule.Interrupted(text)
        self._pause(target)
        return schedule.Interrupted()

    def _pause(self, target: _Target) -> None:
        """Stops sending for a while to a replica that did not run an item."""
        target.room = 0
        target.paused_until_ms = self._deps.clock.now_ms() + _REPLICA_PAUSE_MS

    def _make_request(
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
