"""Runs batch items on one replica, whose lease `replica/ID` is held here."""

import dataclasses
import math

import trio

from lacewingwood.batch import answers
from lacewingwood.batch import deps as deps_module
from lacewingwood.batch import errors
from lacewingwood.batch import offers
from lacewingwood.batch import results
from lacewingwood.batch import room as rooms
from lacewingwood.batch import schedule
from lacewingwood.peers import messages
from lacewingwood.upstreams import errors as upstream_errors

# Time given to one item on the engine; items that produce no end within it
# would otherwise hold their slot for ever.
ITEM_MS = 600_000.0

_TICK_MS = 100.0
_LOAD_MS = 250.0
# Words are repeated, as a lost one is not noticed.
_REPEAT_MS = 1_000.0
# An item that could not be started in this time goes back to its owner, which
# may know of room elsewhere.
_QUEUE_MS = 10_000.0
_MAX_QUEUED = 256
# Statuses that tell of the replica's state and not of the item.
_TRANSIENT = frozenset({404, 408, 409, 425, 429, 502, 503, 504})


@dataclasses.dataclass(slots=True, eq=False)
class _Run:
    request: messages.RunItem
    key: str
    queued_ms: float
    answer: answers.Answer
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )
    ended: trio.Event = dataclasses.field(default_factory=trio.Event)
    outcome: messages.Message | None = None

    def end(self, outcome: messages.Message) -> None:
        self.outcome = outcome
        self.ended.set()


class ReplicaRunner:
    """The batch side of one replica."""

    __slots__ = (
        "_address",
        "_deps",
        "_epoch",
        "_last_word",
        "_last_word_ms",
        "_nursery",
        "_offers",
        "_queue",
        "_replica",
        "_room",
        "_runs",
        "_serial",
        "_shares",
        "_started",
    )

    def __init__(
        self, deps: deps_module.Deps, replica: str, address: str, epoch: int
    ) -> None:
        self._deps = deps
        self._replica = replica
        self._address = address
        self._epoch = epoch
        self._room = rooms.Room(deps.clock.now_ms())
        self._runs: dict[str, _Run] = {}
        self._queue: list[_Run] = []
        self._shares = schedule.Shares()
        self._offers = offers.Offers(self._weight, self._shares.start_of)
        self._serial = 0
        self._started = 0
        self._last_word: tuple[int, int, int, bool] | None = None
        self._last_word_ms = -math.inf
        self._nursery: trio.Nursery | None = None

    @property
    def room(self) -> rooms.Room:
        """The replica's room, for status pages."""
        return self._room

    @property
    def epoch(self) -> int:
        """Fencing number of the lease under which this runs."""
        return self._epoch

    @property
    def address(self) -> str:
        """Where the replica serves."""
        return self._address

    async def run(self) -> None:
        """Runs until cancelled; all items then go back to their owners."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._poll_load)
                await self._tick()
        finally:
            self._nursery = None
            for run in [*self._queue, *self._runs.values()]:
                if run.outcome is None:
                    run.end(messages.ItemYielded(run.answer.text))

    def count(self, message: messages.OnlineCount) -> None:
        """Takes an entry's count and makes room at once."""
        now_ms = self._deps.clock.now_ms()
        running, serial = message.running, message.serial
        if self._room.count(message.node_id, running, serial, now_ms):
            self._apply()

    def want(self, message: messages.WantItems) -> None:
        """Takes what a job owner could send and offers it room."""
        if self._offers.want(message, self._deps.clock.now_ms()):
            self._send_offers()

    def stop(self, message: messages.StopItems) -> None:
        """Stops a job's items."""
        for run in [*self._queue, *self._runs.values()]:
            request = run.request
            if request.job_id != message.job_id:
                continue
            if request.epoch <= message.epoch:
                self._stop(run)

    def stop_where(self, jobs: set[str], owners: set[str]) -> None:
        """Stops items of jobs other than `jobs` or owners not in `owners`."""
        for run in [*self._queue, *self._runs.values()]:
            request = run.request
            if request.job_id not in jobs or request.node_id not in owners:
                self._stop(run)

    def set_leaving(self, leaving: bool) -> None:
        """Notes whether the replica is to get no new work."""
        self._room.set_leaving(leaving)
        self._apply()

    async def run_item(self, request: messages.RunItem) -> messages.Message:
        """Runs one item and returns how it ended."""
        if self._nursery is None or len(self._queue) >= _MAX_QUEUED:
            return messages.Refused("no_room", "no room on this replica")
        self._started += 1
        run = _Run(
            request,
            f"{request.job_id}-{request.index}-{self._epoch}-{self._started}",
            self._deps.clock.now_ms(),
            answers.Answer(request.endpoint, request.resume_text),
        )
        self._queue.append(run)
        self._apply()
        try:
            await run.ended.wait()
        finally:
            # The owner no longer waits, for instance as its connection broke.
            if run.outcome is None:
                self._stop(run)
        if run.outcome is None:
            raise AssertionError("an item ended without an outcome")
        return run.outcome

    def _stop(self, run: _Run) -> None:
        if run in self._queue:
            self._queue.remove(run)
            run.end(messages.ItemYielded(run.answer.text))
            return
        run.scope.cancel()

    def _apply(self) -> None:
        """Acts on what the room decides."""
        if self._nursery is None:
            return
        now_ms = self._deps.clock.now_ms()
        decision = self._room.decide(self._fresh(), now_ms)
        for key in decision.cancel:
            self._runs[key].scope.cancel()
        for _ in range(decision.start):
            run = self._next()
            if run is None:
                break
            self._start(run, now_ms)
        if decision.cancel or decision.reason:
            self._send_offers()

    def _fresh(self) -> bool:
        held = self._deps.leases.held(f"replica/{self._replica}")
        return held == self._epoch and self._deps.follower.fresh()

    def _next(self) -> _Run | None:
        suspects = any(run.request.suspect for run in self._runs.values())
        waiting = [
            run for run in self._queue if not (suspects and run.request.suspect)
        ]
        if not waiting:
            return None
        run = min(waiting, key=self._order)
        self._queue.remove(run)
        return run

    def _order(self, run: _Run) -> tuple[float, float]:
        request = run.request
        start = self._shares.start_of(request.customer)
        return start, run.queued_ms + request.due_ms

    def _start(self, run: _Run, now_ms: float) -> None:
        if self._nursery is None:
            raise AssertionError("an item was started before the runner")
        customer = run.request.customer
        weight = self._weight(customer)
        self._shares.charge(customer, run.request.cost, weight)
        self._runs[run.key] = run
        self._room.started(run.key, now_ms)
        self._nursery.start_soon(self._stream, run)

    async def _stream(self, run: _Run) -> None:
        outcome: messages.Message = messages.ItemYielded(run.answer.text)
        try:
            with run.scope:
                outcome = await self._ask_engine(run)
            if run.scope.cancelled_caught:
                outcome = messages.ItemYielded(run.answer.text)
        finally:
            del self._runs[run.key]
            self._room.ended(run.key, self._deps.clock.now_ms())
            run.end(outcome)
            self._deps.metrics.add("batch_runs", outcome=type(outcome).__name__)
            self._apply()

    async def _ask_engine(self, run: _Run) -> messages.Message:
        request = run.request
        try:
            body = answers.streaming_body(request.body, request.resume_text)
            deadline_ms = self._deps.clock.now_ms() + ITEM_MS
            async with self._deps.engines.stream(
                self._address, request.endpoint, body, run.key, deadline_ms
            ) as stream:
                async for payload in stream.chunks():
                    run.answer.feed(payload)
            return _finished(run.answer)
        except errors.BatchError as exc:
            return messages.ItemFailed(exc.code, exc.message, True)
        except upstream_errors.UpstreamError as exc:
            failed = _failed(exc, run.answer.text)
            if not failed.own_fault:
                # The engine may be gone; the next load report tells.
                self._room.pause()
            return failed

    async def _poll_load(self) -> None:
        while True:
            try:
                load = await self._deps.engines.load(self._address)
            except upstream_errors.UpstreamError:
                self._deps.metrics.add("batch_load_report_failed")
            else:
                self._room.report(load, self._deps.clock.now_ms())
                self._apply()
            await self._deps.clock.sleep_ms(_LOAD_MS)

    async def _tick(self) -> None:
        while True:
            now_ms = self._deps.clock.now_ms()
            self._room.drop_dead(set(self._deps.follower.view.members), now_ms)
            self._apply()
            self._return_queued(now_ms)
            self._send_offers()
            self._send_word(now_ms)
            await self._deps.clock.sleep_ms(_TICK_MS)

    def _return_queued(self, now_ms: float) -> None:
        capacity, _ = self._room.capacity(self._fresh(), now_ms)
        for run in list(self._queue):
            closed = not capacity or self._room.paused
            if closed or now_ms - run.queued_ms >= _QUEUE_MS:
                self._stop(run)

    def _send_offers(self) -> None:
        now_ms = self._deps.clock.now_ms()
        room = self._room
        capacity, _ = room.capacity(self._fresh(), now_ms)
        if room.paused:
            capacity = 0
        due = self._offers.due(
            max(0, capacity - room.batch - len(room.stopping)),
            capacity,
            map(_place, self._runs.values()),
            [_place(run) for run in self._queue],
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

    def _send_word(self, now_ms: float) -> None:
        room = self._room
        word = (room.online, room.batch, room.waiting, room.leaving)
        due = now_ms - self._last_word_ms >= _REPEAT_MS
        if word == self._last_word and not due:
            return
        self._last_word = word
        self._last_word_ms = now_ms
        self._serial += 1
        message = messages.ReplicaWord(self._replica, *word, self._serial)
        members = self._deps.follower.view.members
        for name in room.entries():
            if name in members:
                self._deps.network.send(members[name].address, message)

    def _weight(self, customer: str) -> float:
        found = self._deps.follower.view.customers.get(customer)
        return max(found.weight, 1e-6) if found is not None else 1.0


def _place(run: _Run) -> offers.Place:
    return offers.Place(run.request.node_id, run.request.customer)


def _finished(answer: answers.Answer) -> messages.Message:
    response = answer.encode()
    if len(response) > results.MAX_RESULT_BYTES:
        return messages.ItemFailed(
            "result_too_large", "the answer is too large", True
        )
    return messages.ItemDone(response)


def _failed(
    exc: upstream_errors.UpstreamError, text: str
) -> messages.ItemFailed:
    match exc:
        case upstream_errors.RefusedError(status=status):
            own_fault = status not in _TRANSIENT
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
