"""Enforces each customer's rate and burst over all entry processes together.

An entry process admits requests from pieces of the customers' token buckets,
which it borrows from the owners of the buckets' parts (see `borrower`). It is
itself the owner of the parts whose leases it holds (see `owner`).
"""

import dataclasses
import itertools
from collections.abc import Callable
from collections.abc import Mapping

import trio

from lacewingwood import clock as clock_lib
from lacewingwood import errors as base_errors
from lacewingwood import metrics as metrics_lib
from lacewingwood.limits import borrower as borrower_lib
from lacewingwood.limits import lender
from lacewingwood.limits import owner as owner_lib
from lacewingwood.limits import ports
from lacewingwood.limits import split
from lacewingwood.peers import errors as peer_errors
from lacewingwood.peers import messages
from lacewingwood.state import records

# Longest time that a request waits for tokens.
_MAX_WAIT_MS = 250.0
# A request is refused at once if the next refill takes longer than this.
_MAX_REFILL_WAIT_MS = 100.0
_MAX_WAITING = 1_000
_MAINTENANCE_INTERVAL_MS = 500.0
# Delay before another request to an owner that failed to answer.
_UNREACHABLE_RETRY_MS = 100.0
_TIMEOUT_RETRY_MS = 500.0
_POLL_MS = 10.0
_HAND_OVER_TIMEOUT_MS = 2_000.0
_HAND_OVER_RETRY_MS = 50.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request was within its customer's limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request exceeded its customer's limit; it did not run.

    Attributes:
        retry_after_ms: Time after which another attempt may succeed.
    """

    retry_after_ms: float


class _Waiter:
    """A request that waits for tokens."""

    __slots__ = ("done", "result")

    def __init__(self) -> None:
        self.done = trio.Event()
        self.result: Admitted | Refused | None = None

    def resolve(self, result: Admitted | Refused) -> None:
        self.result = result
        self.done.set()


class _CustomerState:
    """State of one customer in this entry process.

    Attributes:
        borrower: Pieces borrowed for the customer.
        waiting: Requests that wait for tokens, in order of arrival.
        changed: Set when an owner has answered or failed to.
        is_serving: True while a task serves `waiting`.
    """

    __slots__ = ("borrower", "changed", "is_serving", "waiting")

    def __init__(self, borrower: borrower_lib.Borrower) -> None:
        self.borrower = borrower
        self.waiting: list[_Waiter] = []
        self.changed = trio.Event()
        self.is_serving = False

    def admit_waiting(self, now_ms: float) -> None:
        """Admits as many waiting requests as the pieces hold tokens for."""
        while self.waiting and self.borrower.admit(now_ms):
            self.waiting.pop(0).resolve(Admitted())

    def refuse_all(self, now_ms: float) -> None:
        """Refuses all waiting requests."""
        refused = Refused(self.borrower.retry_ms(now_ms))
        for waiter in self.waiting:
            waiter.resolve(refused)
        self.waiting.clear()


class Limiter:
    """Admits requests; owns and borrows parts of the customers' buckets."""

    def __init__(
        self,
        node_id: str,
        network: ports.Network,
        leases: ports.Leases,
        find_customer: Callable[[str], records.Customer | None],
        clock: clock_lib.Clock,
        metrics: metrics_lib.Registry,
        *,
        region: str = "",
        region_weights: Mapping[str, float] | None = None,
        never_held: Callable[[str], bool] = lambda name: False,
    ) -> None:
        """Creates a limiter, which admits requests only while `run` runs.

        Args:
            node_id: Node id of this process.
            network: Transport to the other processes.
            leases: The leases on bucket parts.
            find_customer: Returns a customer by name, None if there is none.
            clock: Source of time.
            metrics: Counts decisions and failures.
            region: Region of this process.
            region_weights: Share of each region in every limit; None if there
                is only one region.
            never_held: Returns whether a lease certainly had no earlier holder.
        """
        self._node_id = node_id
        self._network = network
        self._leases = leases
        self._clock = clock
        self._metrics = metrics
        self._weights = dict(region_weights or {})
        self._region = region
        self._lease_region = region if len(self._weights) > 1 else ""
        self._states: dict[str, _CustomerState] = {}
        self._serials = itertools.count(1)
        self._nursery: trio.Nursery | None = None

        def find_limit(name: str) -> split.Limit | None:
            customer = find_customer(name)
            return self._limit(customer) if customer is not None else None

        self._owner = owner_lib.Owner(
            leases, find_limit, clock, metrics, self._lease_region, never_held
        )
        network.handle(messages.Borrow, self._on_borrow)
        network.handle(messages.Return, self._on_return)
        network.handle(messages.HandOver, self._on_hand_over)

    async def admit(
        self, customer: records.Customer, deadline_ms: float
    ) -> Admitted | Refused:
        """Admits or refuses a request.

        Args:
            customer: The request's customer in the current view.
            deadline_ms: Clock time by which to decide; the decision takes 250
                ms at the longest.
        """
        now_ms = self._clock.now_ms()
        state = self._state(customer, now_ms)
        state.borrower.note_arrival(now_ms)
        if not state.waiting and state.borrower.admit(now_ms):
            return self._count_decision(Admitted())
        wait_ms = min(_MAX_WAIT_MS, deadline_ms - now_ms)
        refused = self._refuse_early(state, now_ms, wait_ms)
        if refused is not None:
            return self._count_decision(refused)
        return self._count_decision(await self._wait(state, wait_ms))

    async def run(self) -> None:
        """Renews pieces and tracks the held leases until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                self._owner.update_leases()
                now_ms = self._clock.now_ms()
                for name, state in list(self._states.items()):
                    self._maintain(name, state, now_ms)
                await self._clock.sleep_ms(_MAINTENANCE_INTERVAL_MS)

    def return_pieces(self) -> None:
        """Returns all pieces, before a planned shutdown."""
        now_ms = self._clock.now_ms()
        for name, state in self._states.items():
            self._send_returns(name, state.borrower.return_pieces(now_ms))

    def stop_lending(self) -> list[messages.HandOver]:
        """Stops lending; returns the messages for `hand_over` to send."""
        return self._owner.hand_over()

    async def hand_over(
        self, hand_overs: list[messages.HandOver], released: Mapping[str, int]
    ) -> None:
        """Tells the next owners what is lent, once the leases are released.

        An owner that gets no such message lends nothing until all pieces lent
        before have certainly expired.

        Args:
            hand_overs: Messages that `stop_lending` returned.
            released: Offsets of the releases, by name of the lease.
        """
        async with trio.open_nursery() as nursery:
            for msg in hand_overs:
                if msg.lease in released:
                    msg.released = released[msg.lease]
                    nursery.start_soon(self._hand_over, msg)

    async def _hand_over(self, msg: messages.HandOver) -> None:
        end_ms = self._clock.now_ms() + _HAND_OVER_TIMEOUT_MS
        while self._clock.now_ms() < end_ms:
            holder = self._leases.holder(msg.lease)
            try:
                if holder is not None:
                    await self._network.call(
                        holder.address, msg, lender.ANSWER_TIMEOUT_MS
                    )
                    return
            except base_errors.Error as exc:
                self._metrics.add("limit_hand_overs_failed", code=exc.code)
            await self._clock.sleep_ms(_HAND_OVER_RETRY_MS)

    async def _on_hand_over(self, msg: messages.HandOver) -> messages.Message:
        self._owner.take_over(msg, self._leases.prior(msg.lease))
        self._metrics.add("limit_hand_overs")
        return messages.Ack()

    def _limit(self, customer: records.Customer) -> split.Limit:
        return split.regional_limit(customer, self._weights, self._region)

    def _state(
        self, customer: records.Customer, now_ms: float
    ) -> _CustomerState:
        limit = self._limit(customer)
        state = self._states.get(customer.name)
        if state is None:
            state = self._states[customer.name] = _CustomerState(
                borrower_lib.Borrower(
                    self._node_id, customer.name, limit, now_ms, self._serials
                )
            )
        state.borrower.set_limit(limit)
        return state

    def _count_decision(self, result: Admitted | Refused) -> Admitted | Refused:
        self._metrics.add("limit_decisions", result=type(result).__name__)
        return result

    def _refuse_early(
        self, state: _CustomerState, now_ms: float, wait_ms: float
    ) -> Refused | None:
        """Returns a refusal if waiting would not help, otherwise None."""
        retry_ms = state.borrower.retry_ms(now_ms)
        is_refill_late = retry_ms > min(_MAX_REFILL_WAIT_MS, wait_ms)
        full = len(state.waiting) >= _MAX_WAITING
        if (
            wait_ms <= 0
            or full
            or (is_refill_late and not state.borrower.has_pending_request())
        ):
            return Refused(max(1.0, retry_ms))
        return None

    async def _wait(
        self, state: _CustomerState, wait_ms: float
    ) -> Admitted | Refused:
        waiter = _Waiter()
        state.waiting.append(waiter)
        if not state.is_serving and self._nursery is not None:
            state.is_serving = True
            self._nursery.start_soon(self._serve_waiting, state)
        try:
            with trio.move_on_after(wait_ms / 1000):
                await waiter.done.wait()
        finally:
            if not waiter.done.is_set():
                state.waiting.remove(waiter)
        retry_ms = state.borrower.retry_ms(self._clock.now_ms())
        return waiter.result or Refused(max(1.0, retry_ms))

    async def _serve_waiting(self, state: _CustomerState) -> None:
        """Borrows from the owners until no request waits."""
        try:
            while state.waiting:
                state.changed = trio.Event()
                now_ms = self._clock.now_ms()
                state.admit_waiting(now_ms)
                waiting = len(state.waiting)
                self._send_requests(
                    state, state.borrower.borrow_requests(now_ms, waiting)
                )
                if waiting:
                    await self._wait_for_change(state, now_ms)
        finally:
            state.is_serving = False
        self._return_leftovers(state)

    async def _wait_for_change(
        self, state: _CustomerState, now_ms: float
    ) -> None:
        """Waits for an answer or a refill, or refuses all waiting requests."""
        retry_ms = state.borrower.retry_ms(now_ms)
        if state.borrower.has_pending_request():
            with trio.move_on_after(_POLL_MS / 1000):
                await state.changed.wait()
        elif retry_ms > _MAX_REFILL_WAIT_MS:
            state.refuse_all(now_ms)
        else:
            # Fractions of a token would expire unused during the wait.
            self._return_leftovers(state)
            wait_ms = state.borrower.refill_wait_ms(now_ms, _MAX_REFILL_WAIT_MS)
            await trio.sleep(max(1.0, wait_ms) / 1000)

    def _send_requests(
        self,
        state: _CustomerState,
        requests: list[tuple[int, messages.Borrow]],
    ) -> None:
        if self._nursery is None:
            return
        for index, request in requests:
            self._nursery.start_soon(
                self._borrow, state, state.borrower.pieces[index], request
            )

    async def _borrow(
        self,
        state: _CustomerState,
        piece: borrower_lib.Piece,
        request: messages.Borrow,
    ) -> None:
        """Sends a borrow request to an owner and applies the answer."""
        retry_ms = _UNREACHABLE_RETRY_MS
        answer: messages.Message | None = None
        try:
            answer = await self._call(request)
        except peer_errors.TimeoutError:
            retry_ms = _TIMEOUT_RETRY_MS
        except base_errors.Error as exc:
            self._metrics.add("limit_borrows_failed", code=exc.code)
        now_ms = self._clock.now_ms()
        if isinstance(answer, messages.Lent):
            piece.apply_answer(now_ms, answer)
        else:
            piece.note_failure(now_ms, request.serial, retry_ms)
        state.changed.set()

    async def _call(self, request: messages.Borrow) -> messages.Message | None:
        name = split.lease_name(
            request.customer, request.part, self._lease_region
        )
        holder = self._leases.holder(name)
        if holder is None:
            return None
        if holder.node_id == self._node_id:
            return self._owner.lend(request)
        return await self._network.call(
            holder.address, request, lender.ANSWER_TIMEOUT_MS
        )

    def _maintain(
        self, name: str, state: _CustomerState, now_ms: float
    ) -> None:
        if state.waiting or state.is_serving:
            return
        if not state.borrower.is_idle(now_ms):
            self._send_requests(state, state.borrower.renewals(now_ms))
        elif not state.borrower.has_pending_request():
            self._send_returns(name, state.borrower.return_pieces(now_ms))
            del self._states[name]

    def _return_leftovers(self, state: _CustomerState) -> None:
        returns = state.borrower.return_leftovers(self._clock.now_ms())
        if returns:
            self._send_returns(returns[0][1].customer, returns)

    def _send_returns(
        self, customer: str, returns: list[tuple[int, messages.Return]]
    ) -> None:
        for index, msg in returns:
            name = split.lease_name(customer, index, self._lease_region)
            holder = self._leases.holder(name)
            if holder is None:
                continue
            if holder.node_id == self._node_id:
                self._take_back(msg)
            else:
                self._network.send(holder.address, msg)

    def _take_back(self, msg: messages.Return) -> None:
        try:
            self._owner.take_back(msg)
        except base_errors.Error as exc:
            self._metrics.add("limit_returns_failed", code=exc.code)

    async def _on_borrow(self, msg: messages.Borrow) -> messages.Message:
        return self._owner.lend(msg)

    async def _on_return(self, msg: messages.Return) -> None:
        self._take_back(msg)
