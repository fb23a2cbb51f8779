"""Runs batch items on one replica whose lease `replica/ID` is held here."""

import dataclasses
import math

import trio

from lacewingwood.batch import answers
from lacewingwood.batch import capacity
from lacewingwood.batch import deps as deps_module
from lacewingwood.batch import errors
from lacewingwood.batch import offers
from lacewingwood.batch import results
from lacewingwood.batch import schedule
from lacewingwood.peers import messages
from lacewingwood.state import records as state_records
from lacewingwood.upstreams import errors as upstream_errors

# Time limit of an item on the engine. Without it, an item that never completes
# would hold its slot forever.
ITEM_TIMEOUT_MS = 600_000.0

_TICK_MS = 100.0
_LOAD_INTERVAL_MS = 250.0
# Load messages are repeated because the sender does not notice a lost one.
_LOAD_MESSAGE_INTERVAL_MS = 1_000.0
# An item that could not be started within this time is returned to its owner,
# which may have offers of other replicas.
_MAX_QUEUE_TIME_MS = 10_000.0
_MAX_QUEUED = 256
# HTTP statuses that result from the replica's state and not from the item.
_REPLICA_STATUSES = frozenset({404, 408, 409, 421, 425, 429, 502, 503, 504})


@dataclasses.dataclass(slots=True, eq=False)
class _Run:
    """One run of an item, from its arrival at the replica to its outcome.

    Attributes:
        request: The owner's request.
        key: Unique key of the run, also the request id at the engine.
        queued_ms: When the request arrived.
        answer: The answer so far.
        scope: Cancels the request to the engine.
        ended: Set when the run has its outcome.
        outcome: The answer to the owner, None before the end.
    """

    request: messages.RunItem
    key: str
    queued_ms: float
    answer: answers.AnswerBuilder
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )
    ended: trio.Event = dataclasses.field(default_factory=trio.Event)
    outcome: messages.Message | None = None

    def end(self, outcome: messages.Message) -> None:
        self.outcome = outcome
        self.ended.set()


class ReplicaRunner:
    """Queues and runs batch items on one replica within its free capacity."""

    __slots__ = (
        "_address",
        "_capacity",
        "_deps",
        "_epoch",
        "_last_load",
        "_last_load_ms",
        "_nursery",
        "_offers",
        "_queue",
        "_replica",
        "_run_number",
        "_runs",
        "_serial",
        "_shares",
    )

    def __init__(
        self, deps: deps_module.Deps, replica: str, address: str, epoch: int
    ) -> None:
        self._deps = deps
        self._replica = replica
        self._address = address
        self._epoch = epoch
        self._capacity = capacity.ReplicaCapacity(deps.clock.now_ms())
        self._runs: dict[str, _Run] = {}
        self._queue: list[_Run] = []
        self._shares = schedule.FairShares()
        self._offers = offers.Offers(self._weight, self._shares.virtual_start)
        self._serial = 0
        self._run_number = 0
        self._last_load: tuple[int, int, int, bool] | None = None
        self._last_load_ms = -math.inf
        self._nursery: trio.Nursery | None = None

    @property
    def replica_capacity(self) -> capacity.ReplicaCapacity:
        """Batch capacity of the replica."""
        return self._capacity

    @property
    def epoch(self) -> int:
        """Fencing number of the lease under which this runs."""
        return self._epoch

    @property
    def address(self) -> str:
        """The replica's network address."""
        return self._address

    async def run(self) -> None:
        """Runs until cancelled, then returns all items to their owners."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._poll_load)
                await self._run_periodic_work()
        finally:
            self._nursery = None
            for run in [*self._queue, *self._runs.values()]:
                if run.outcome is None:
                    run.end(messages.ItemYielded(run.answer.text))

    def handle_online_count(self, message: messages.OnlineCount) -> None:
        """Stores an entry process's count and cancels items if needed."""
        now_ms = self._deps.clock.now_ms()
        running, serial = message.running, message.serial
        if self._capacity.update_online_count(
            message.node_id, running, serial, now_ms
        ):
            self._apply_decision()

    def handle_want(self, message: messages.WantItems) -> None:
        """Stores the demand of a job owner and sends changed offers."""
        if self._offers.update_demand(message, self._deps.clock.now_ms()):
            self._send_offers()

    def stop_items(self, message: messages.StopItems) -> None:
        """Stops a job's items unless they were sent under a later epoch.

        Items of a later owner go on.
        """
        for run in [*self._queue, *self._runs.values()]:
            request = run.request
            if request.job_id != message.job_id:
                continue
            if request.epoch <= message.epoch:
                self._stop_run(run)

    def stop_orphans(self, jobs: set[str], owners: set[str]) -> None:
        """Stops items whose job or owner is gone.

        Args:
            jobs: Ids of the jobs in progress.
            owners: Node ids of the members.
        """
        for run in [*self._queue, *self._runs.values()]:
            request = run.request
            if request.job_id not in jobs or request.node_id not in owners:
                self._stop_run(run)

    def set_leaving(self, leaving: bool) -> None:
        """Stores whether the replica must get no new work."""
        self._capacity.set_leaving(leaving)
        self._apply_decision()

    async def run_item(self, request: messages.RunItem) -> messages.Message:
        """Runs one item and returns how it ended."""
        if self._nursery is None or len(self._queue) >= _MAX_QUEUED:
            return messages.Refused(
                "no_room", "the replica accepts no more items"
            )
        self._run_number += 1
        run = _Run(
            request,
            f"{request.job_id}-{request.index}-{self._epoch}-{self._run_number}",
            self._deps.clock.now_ms(),
            answers.AnswerBuilder(request.endpoint, request.resume_text),
        )
        self._queue.append(run)
        self._apply_decision()
        try:
            await run.ended.wait()
        finally:
            # The owner's call was cancelled, for instance because its
            # connection broke.
            if run.outcome is None:
                self._stop_run(run)
        if run.outcome is None:
            raise AssertionError("an item ended without an outcome")
        return run.outcome

    def _stop_run(self, run: _Run) -> None:
        if run in self._queue:
            self._queue.remove(run)
            run.end(messages.ItemYielded(run.answer.text))
            return
        run.scope.cancel()

    def _apply_decision(self) -> None:
        """Starts or cancels items to match the current capacity."""
        if self._nursery is None:
            return
        now_ms = self._deps.clock.now_ms()
        decision = self._capacity.decide(self._lease_current(), now_ms)
        for key in decision.cancel:
            self._runs[key].scope.cancel()
        for _ in range(decision.start):
            run = self._pop_next()
            if run is None:
                break
            self._start_run(run, now_ms)
        if decision.cancel or decision.reason:
            self._send_offers()

    def _lease_current(self) -> bool:
        held = self._deps.leases.held(f"replica/{self._replica}")
        return held == self._epoch and self._deps.follower.fresh()

    def _pop_next(self) -> _Run | None:
        # Only one suspect item runs at a time, so that a crash which it causes
        # does not count against another suspect.
        suspect_running = any(
            run.request.suspect for run in self._runs.values()
        )
        waiting = [
            run
            for run in self._queue
            if not (suspect_running and run.request.suspect)
        ]
        if not waiting:
            return None
        run = min(waiting, key=self._queue_order)
        self._queue.remove(run)
        return run

    def _queue_order(self, run: _Run) -> tuple[float, float]:
        request = run.request
        start = self._shares.virtual_start(request.customer)
        return start, run.queued_ms + request.due_ms

    def _start_run(self, run: _Run, now_ms: float) -> None:
        if self._nursery is None:
            raise AssertionError(
                "an item was started while the runner is not running"
            )
        customer = run.request.customer
        weight = self._weight(customer)
        self._shares.charge(customer, run.request.cost, weight)
        self._runs[run.key] = run
        self._capacity.add_item(run.key, now_ms)
        self._nursery.start_soon(self._execute, run)

    async def _execute(self, run: _Run) -> None:
        outcome: messages.Message = messages.ItemYielded(run.answer.text)
        try:
            with run.scope:
                outcome = await self._run_on_engine(run)
            if run.scope.cancelled_caught:
                outcome = messages.ItemYielded(run.answer.text)
        finally:
            del self._runs[run.key]
            self._capacity.remove_item(run.key, self._deps.clock.now_ms())
            run.end(outcome)
            self._deps.metrics.add("batch_runs", outcome=type(outcome).__name__)
            self._apply_decision()

    async def _run_on_engine(self, run: _Run) -> messages.Message:
        request = run.request
        try:
            body = answers.streaming_body(request.body, request.resume_text)
            deadline_ms = self._deps.clock.now_ms() + ITEM_TIMEOUT_MS
            async with self._deps.engines.stream(
                self._address, request.endpoint, body, run.key, deadline_ms
            ) as stream:
                async for payload in stream.chunks():
                    run.answer.feed(payload)
            return _completed_message(run.answer)
        except errors.BatchError as exc:
            return messages.ItemFailed(exc.code, exc.message, True)
        except upstream_errors.UpstreamError as exc:
            failed = _failed_message(exc, run.answer.text)
            if not failed.own_fault:
                # The engine may be down; the next load report shows it.
                self._capacity.pause()
            return failed

    async def _poll_load(self) -> None:
        while True:
            try:
                load = await self._deps.engines.load(self._address)
            except upstream_errors.UpstreamError:
                self._deps.metrics.add("batch_load_report_failed")
            else:
                self._capacity.update_load(load, self._deps.clock.now_ms())
                self._apply_decision()
            await self._deps.clock.sleep_ms(_LOAD_INTERVAL_MS)

    async def _run_periodic_work(self) -> None:
        while True:
            now_ms = self._deps.clock.now_ms()
            self._capacity.drop_dead_entries(
                set(self._deps.follower.view.members), now_ms
            )
            self._apply_decision()
            self._return_queued(now_ms)
            self._send_offers()
            self._send_load(now_ms)
            await self._deps.clock.sleep_ms(_TICK_MS)

    def _return_queued(self, now_ms: float) -> None:
        item_limit, _ = self._capacity.item_limit(self._lease_current(), now_ms)
        for run in list(self._queue):
            closed = not item_limit or self._capacity.paused
            if closed or now_ms - run.queued_ms >= _MAX_QUEUE_TIME_MS:
                self._stop_run(run)

    def _send_offers(self) -> None:
        now_ms = self._deps.clock.now_ms()
        cap = self._capacity
        item_limit, _ = cap.item_limit(self._lease_current(), now_ms)
        if cap.paused:
            item_limit = 0
        due = self._offers.offers_due(
            max(0, item_limit - cap.batch_count - len(cap.cancelling)),
            item_limit,
            map(_placed_item, self._runs.values()),
            [_placed_item(run) for run in self._queue],
            now_ms,
        )
        members = self._deps.follower.view.members
        for name, offered in due.items():
            if name not in members:
                continue
            self._serial += 1
            offer = messages.RoomOffer(
                self._replica, offered, self._epoch, self._serial
            )
            self._deps.network.send(members[name].address, offer)

    def _send_load(self, now_ms: float) -> None:
        cap = self._capacity
        load = (
            cap.online_count,
            cap.batch_count,
            cap.engine_waiting,
            cap.leaving,
        )
        due = now_ms - self._last_load_ms >= _LOAD_MESSAGE_INTERVAL_MS
        if load == self._last_load and not due:
            return
        self._last_load = load
        self._last_load_ms = now_ms
        self._serial += 1
        message = messages.ReplicaWord(
            self._replica, *load, self._serial, self._epoch
        )
        for member in self._load_receivers():
            self._deps.network.send(member.address, message)

    def _load_receivers(self) -> list[state_records.Member]:
        """Returns the entry processes to which the load is sent.

        These are the ones that use the replica. While it is leaving, all of
        them: one that has not used it yet would choose it for its next request.
        """
        members = self._deps.follower.view.members
        if self._capacity.leaving:
            return [m for m in members.values() if m.role == "entry"]
        names = self._capacity.entry_ids()
        return [members[name] for name in names if name in members]

    def _weight(self, customer: str) -> float:
        found = self._deps.follower.view.customers.get(customer)
        return max(found.weight, 1e-6) if found is not None else 1.0


def _placed_item(run: _Run) -> offers.PlacedItem:
    return offers.PlacedItem(run.request.node_id, run.request.customer)


def _completed_message(answer: answers.AnswerBuilder) -> messages.Message:
    response = answer.encode()
    if len(response) > results.MAX_RESULT_BYTES:
        return messages.ItemFailed(
            "result_too_large", "the answer is too large", True
        )
    return messages.ItemDone(response)


def _failed_message(
    exc: upstream_errors.UpstreamError, text: str
) -> messages.ItemFailed:
    match exc:
        case upstream_errors.RefusedError(status=status):
            own_fault = status not in _REPLICA_STATUSES
            message = f"{exc.message}: {exc.body[:500]!r}"
            return messages.ItemFailed(exc.code, message, own_fault, text=text)
        case upstream_errors.BrokenError():
            return messages.ItemFailed(exc.code, exc.message, False, True, text)
        case (
            upstream_errors.TimeoutError()
            | upstream_errors.InvalidResponseError()
        ):
            return messages.ItemFailed(exc.code, exc.message, True)
    return messages.ItemFailed(exc.code, exc.message, False, text=text)
