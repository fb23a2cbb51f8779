"""Enforces each customer's rate and burst over all entries together."""

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

# A request waits at most this long for an owner.
_WAIT_MS = 250.0
# A request waits for a refill that is nearer than this.
_REFILL_WAIT_MS = 100.0
_MAX_WAITING = 1_000
_TICK_MS = 500.0
# When an owner that failed is asked again.
_UNREACHABLE_RETRY_MS = 100.0
_TIMEOUT_RETRY_MS = 500.0
_POLL_MS = 10.0
_HAND_OVER_MS = 2_000.0
_HAND_OVER_RETRY_MS = 50.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request is within its customer's limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request is beyond its customer's limit; it did not run.

    Attributes:
        retry_after_ms: When another attempt may succeed.
    """

    retry_after_ms: float


class _Waiter:
    """A request that waits for an owner."""

    __slots__ = ("done", "result")

    def __init__(self) -> None:
        self.done = trio.Event()
        self.result: Admitted | Refused | None = None

    def end(self, result: Admitted | Refused) -> None:
        self.result = result
        self.done.set()


class _Account:
    """One customer at this entry.

    Attributes:
        borrower: Its pieces.
        waiting: Requests that wait, in order of arrival.
        changed: Set when an answer has come.
        pumping: True while a task serves `waiting`.
    """

    __slots__ = ("borrower", "changed", "pumping", "waiting")

    def __init__(self, borrower: borrower_lib.Borrower) -> None:
        self.borrower = borrower
        self.waiting: list[_Waiter] = []
        self.changed = trio.Event()
        self.pumping = False

    def serve(self, now_ms: float) -> None:
        """Admits the waiting requests that the pieces allow."""
        while self.waiting and self.borrower.admit(now_ms):
            self.waiting.pop(0).end(Admitted())

    def refuse_all(self, now_ms: float) -> None:
        """Refuses the waiting requests."""
        refused = Refused(self.borrower.retry_ms(now_ms))
        for waiter in self.waiting:
            waiter.end(refused)
        self.waiting.clear()


class Limiter:
    """Admits requests; owns and borrows parts of the customers' buckets."""

    def __init__(
        self,
        node_id: str,
        network: ports.Network,
        leases: ports.Leases,
        customer_of: Callable[[str], records.Customer | None],
        clock: clock_lib.Clock,
        metrics: metrics_lib.Registry,
        *,
        region: str = "",
        region_weights: Mapping[str, float] | None = None,
        never_held: Callable[[str], bool] = lambda name: False,
    ) -> None:
        """Makes the limiter; `run` must run for it to admit anything.

        Args:
            node_id: This process.
            network: Transport to the other processes.
            leases: Who owns the parts.
            customer_of: Returns a customer of the view by name.
            clock: The time.
            metrics: Where decisions are counted.
            region: This process's region.
            region_weights: Share of each region in every limit; None if there
                is one region.
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
        self._accounts: dict[str, _Account] = {}
        self._serials = itertools.count(1)
        self._nursery: trio.Nursery | None = None

        def limit_of(name: str) -> split.Limit | None:
            customer = customer_of(name)
            return self._limit(customer) if customer is not None else None

        self._owner = owner_lib.Owner(
            leases, limit_of, clock, metrics, self._lease_region, never_held
        )
        network.handle(messages.Borrow, self._on_borrow)
        network.handle(messages.Return, self._on_return)
        network.handle(messages.HandOver, self._on_hand_over)

    async def admit(
        self, customer: records.Customer, deadline_ms: float
    ) -> Admitted | Refused:
        """Decides on one request.

        Args:
            customer: The request's customer as the view has it.
            deadline_ms: Time on the clock by which an answer must be given;
                it is given after 250 ms at the latest.
        """
        now_ms = self._clock.now_ms()
        account = self._account(customer, now_ms)
        account.borrower.arrived(now_ms)
        if not account.waiting and account.borrower.admit(now_ms):
            return self._count(Admitted())
        wait_ms = min(_WAIT_MS, deadline_ms - now_ms)
        refused = self._refusal(account, now_ms, wait_ms)
        if refused is not None:
            return self._count(refused)
        return self._count(await self._wait(account, wait_ms))

    async def run(self) -> None:
        """Renews pieces and follows the leases until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                self._owner.watch()
                now_ms = self._clock.now_ms()
                for name, account in list(self._accounts.items()):
                    self._maintain(name, account, now_ms)
                await self._clock.sleep_ms(_TICK_MS)

    def return_pieces(self) -> None:
        """Returns all pieces, before a planned shutdown."""
        now_ms = self._clock.now_ms()
        for name, account in self._accounts.items():
            self._send(name, account.borrower.give_back(now_ms))

    def stop_lending(self) -> list[messages.HandOver]:
        """Ends all lending; returns what `hand_over` has to tell."""
        return self._owner.hand_over()

    async def hand_over(
        self, handed: list[messages.HandOver], released: Mapping[str, int]
    ) -> None:
        """Tells the next owners what is lent, once the leases are released.

        Without it they lend nothing until all pieces have surely ended.

        Args:
            handed: What `stop_lending` returned.
            released: Offsets of the releases, by name of the lease.
        """
        async with trio.open_nursery() as nursery:
            for msg in handed:
                if msg.lease in released:
                    msg.released = released[msg.lease]
                    nursery.start_soon(self._hand_over, msg)

    async def _hand_over(self, msg: messages.HandOver) -> None:
        end_ms = self._clock.now_ms() + _HAND_OVER_MS
        while self._clock.now_ms() < end_ms:
            holder = self._leases.holder(msg.lease)
            try:
                if holder is not None:
                    await self._network.call(
                        holder.address, msg, lender.ANSWER_MS
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
        return split.regional(customer, self._weights, self._region)

    def _account(self, customer: records.Customer, now_ms: float) -> _Account:
        limit = self._limit(customer)
        account = self._accounts.get(customer.name)
        if account is None:
            account = self._accounts[customer.name] = _Account(
                borrower_lib.Borrower(
                    self._node_id, customer.name, limit, now_ms, self._serials
                )
            )
        account.borrower.set_limit(limit)
        return account

    def _count(self, result: Admitted | Refused) -> Admitted | Refused:
        self._metrics.add("limit_decisions", result=type(result).__name__)
        return result

    def _refusal(
        self, account: _Account, now_ms: float, wait_ms: float
    ) -> Refused | None:
        """Refuses at once what waiting would not help."""
        retry_ms = account.borrower.retry_ms(now_ms)
        too_far = retry_ms > min(_REFILL_WAIT_MS, wait_ms)
        full = len(account.waiting) >= _MAX_WAITING
        if wait_ms <= 0 or full or (too_far and not account.borrower.asking()):
            return Refused(max(1.0, retry_ms))
        return None

    async def _wait(
        self, account: _Account, wait_ms: float
    ) -> Admitted | Refused:
        waiter = _Waiter()
        account.waiting.append(waiter)
        if not account.pumping and self._nursery is not None:
            account.pumping = True
            self._nursery.start_soon(self._pump, account)
        try:
            with trio.move_on_after(wait_ms / 1000):
                await waiter.done.wait()
        finally:
            if not waiter.done.is_set():
                account.waiting.remove(waiter)
        retry_ms = account.borrower.retry_ms(self._clock.now_ms())
        return waiter.result or Refused(max(1.0, retry_ms))

    async def _pump(self, account: _Account) -> None:
        """Asks owners until no request waits."""
        try:
            while account.waiting:
                account.changed = trio.Event()
                now_ms = self._clock.now_ms()
                account.serve(now_ms)
                waiting = len(account.waiting)
                self._ask(account, account.borrower.questions(now_ms, waiting))
                if waiting:
                    await self._next(account, now_ms)
        finally:
            account.pumping = False
        self._return_rest(account)

    async def _next(self, account: _Account, now_ms: float) -> None:
        """Waits for an answer or a refill, or gives up on both."""
        retry_ms = account.borrower.retry_ms(now_ms)
        if account.borrower.asking():
            with trio.move_on_after(_POLL_MS / 1000):
                await account.changed.wait()
        elif retry_ms > _REFILL_WAIT_MS:
            account.refuse_all(now_ms)
        else:
            # Parts of a request would end unused during the wait.
            self._return_rest(account)
            wait_ms = account.borrower.refill_ms(now_ms, _REFILL_WAIT_MS)
            await trio.sleep(max(1.0, wait_ms) / 1000)

    def _ask(
        self,
        account: _Account,
        questions: list[tuple[int, messages.Borrow]],
    ) -> None:
        if self._nursery is None:
            return
        for index, question in questions:
            self._nursery.start_soon(
                self._borrow, account, account.borrower.pieces[index], question
            )

    async def _borrow(
        self,
        account: _Account,
        piece: borrower_lib.Piece,
        question: messages.Borrow,
    ) -> None:
        """Asks one owner and takes its answer."""
        retry_ms = _UNREACHABLE_RETRY_MS
        answer: messages.Message | None = None
        try:
            answer = await self._call(question)
        except peer_errors.TimeoutError:
            retry_ms = _TIMEOUT_RETRY_MS
        except base_errors.Error as exc:
            self._metrics.add("limit_borrows_failed", code=exc.code)
        now_ms = self._clock.now_ms()
        if isinstance(answer, messages.Lent):
            piece.lent(now_ms, answer)
        else:
            piece.failed(now_ms, question.serial, retry_ms)
        account.changed.set()

    async def _call(self, question: messages.Borrow) -> messages.Message | None:
        name = split.lease_name(
            question.customer, question.part, self._lease_region
        )
        holder = self._leases.holder(name)
        if holder is None:
            return None
        if holder.node_id == self._node_id:
            return self._owner.lend(question)
        return await self._network.call(
            holder.address, question, lender.ANSWER_MS
        )

    def _maintain(self, name: str, account: _Account, now_ms: float) -> None:
        if account.waiting or account.pumping:
            return
        if not account.borrower.idle(now_ms):
            self._ask(account, account.borrower.renewals(now_ms))
        elif not account.borrower.asking():
            self._send(name, account.borrower.give_back(now_ms))
            del self._accounts[name]

    def _return_rest(self, account: _Account) -> None:
        returns = account.borrower.give_back_rest(self._clock.now_ms())
        if returns:
            self._send(returns[0][1].customer, returns)

    def _send(
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
