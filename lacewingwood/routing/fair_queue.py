"""Start-time fair queueing of requests over customers, in tokens."""

import collections
import dataclasses
import heapq

# Weight of the newest value in the moving average of the service rate.
_SMOOTHING = 0.1
_MIN_RETRY_MS = 100.0


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A waiting request.

    Attributes:
        customer: Who sent it.
        weight: The customer's weight.
        cost: Tokens that it is charged for.
        deadline_ms: When its caller no longer waits.
        waiting: False once it was served, cancelled or dropped.
    """

    customer: str
    weight: float
    cost: float
    deadline_ms: float
    waiting: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """The request would wait too long, or the queue is full.

    Attributes:
        reason: `deadline` or `queue_full`.
        retry_after_ms: When trying again may help.
    """

    reason: str
    retry_after_ms: float


@dataclasses.dataclass(slots=True, eq=False)
class _Flow:
    """One customer's requests.

    Attributes:
        weight: Its weight, as of its latest request.
        start: Start tag of its first waiting request, or the finish tag of
            its last one if none waits.
        waiting: Its waiting requests in order of arrival.
        cost: Sum of their costs.
        serial: Serial of its entry in the heap; others are out of date.
    """

    weight: float
    start: float
    waiting: collections.deque[Ticket]
    cost: float = 0.0
    serial: int = -1


class FairQueue:
    """Serves customers in proportion to their weights while they wait.

    Tags are given when a request reaches the head of its customer's line, so
    that one that is cancelled before is not charged.
    """

    __slots__ = (
        "_cost",
        "_dropped",
        "_flows",
        "_heap",
        "_last_pop_ms",
        "_limit",
        "_serial",
        "_served_cost",
        "_served_gap_ms",
        "_virtual",
        "_waiting",
        "_weight",
    )

    def __init__(self, limit: int = 10_000) -> None:
        self._limit = limit
        self._flows: dict[str, _Flow] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._serial = 0
        self._virtual = 0.0
        self._waiting = 0
        self._weight = 0.0
        self._cost = 0.0
        # Moving averages over the requests served while others waited.
        self._served_cost = 0.0
        self._served_gap_ms = 0.0
        self._dropped: list[Ticket] = []
        self._last_pop_ms: float | None = None

    def __len__(self) -> int:
        return self._waiting

    def push(
        self,
        customer: str,
        weight: float,
        cost: float,
        deadline_ms: float,
        now_ms: float,
    ) -> Ticket | Refused:
        """Adds a request, or refuses one that would miss its deadline."""
        ticket = Ticket(customer, weight, max(cost, 1.0), deadline_ms)
        wait_ms = self.expected_wait_ms(ticket)
        late_ms = now_ms + wait_ms - deadline_ms
        if late_ms >= 0:
            return Refused("deadline", max(late_ms, _MIN_RETRY_MS))
        if self._waiting >= self._limit and not self._evict_for(ticket):
            return Refused("queue_full", max(wait_ms, _MIN_RETRY_MS))
        self._add(ticket)
        return ticket

    def head(self, now_ms: float) -> Ticket | None:
        """Returns the request to serve next; expired ones are dropped."""
        while (flow := self._first_flow()) is not None:
            ticket = flow.waiting[0]
            if ticket.deadline_ms > now_ms:
                return ticket
            self._drop(ticket)
        return None

    def pop(self, now_ms: float) -> Ticket | None:
        """Takes out the request to serve next and charges its customer."""
        ticket = self.head(now_ms)
        if ticket is None:
            return None
        flow = self._flows[ticket.customer]
        self._virtual = flow.start
        self._take(flow, ticket)
        flow.start += ticket.cost / ticket.weight
        self._renew(ticket.customer, flow)
        self._measure(ticket, now_ms)
        return ticket

    def cancel(self, ticket: Ticket) -> None:
        """Takes out a request that no longer waits, without a charge."""
        if not ticket.waiting:
            return
        flow = self._flows[ticket.customer]
        self._take(flow, ticket)
        self._renew(ticket.customer, flow)

    def take_dropped(self) -> list[Ticket]:
        """Returns the requests dropped since the last time it was asked."""
        dropped, self._dropped = self._dropped, []
        return dropped

    def correct(self, ticket: Ticket, tokens: float) -> None:
        """Replaces a served request's estimated cost by its real one."""
        flow = self._flow(ticket.customer, ticket.weight)
        flow.start += (tokens - ticket.cost) / ticket.weight
        flow.start = max(flow.start, self._virtual)
        self._renew(ticket.customer, flow)

    def expected_wait_ms(self, ticket: Ticket) -> float:
        """Returns the time until a new request is served, 0 if not known."""
        if not self._waiting or not self._served_cost:
            return 0.0
        flow = self._flows.get(ticket.customer)
        own = flow.cost if flow else 0.0
        idle = flow is None or not flow.waiting
        weights = self._weight + (ticket.weight if idle else 0.0)
        fair = own * weights / ticket.weight
        tokens = min(fair, self._cost)
        return tokens * self._served_gap_ms / self._served_cost

    def _add(self, ticket: Ticket) -> None:
        flow = self._flow(ticket.customer, ticket.weight)
        if not flow.waiting:
            flow.weight = ticket.weight
            flow.start = max(flow.start, self._virtual)
            self._weight += flow.weight
        flow.waiting.append(ticket)
        flow.cost += ticket.cost
        self._waiting += 1
        self._cost += ticket.cost
        if len(flow.waiting) == 1:
            self._renew(ticket.customer, flow)

    def _flow(self, customer: str, weight: float) -> _Flow:
        flow = self._flows.get(customer)
        if flow is None:
            flow = _Flow(weight, self._virtual, collections.deque())
            self._flows[customer] = flow
        return flow

    def _take(self, flow: _Flow, ticket: Ticket) -> None:
        ticket.waiting = False
        flow.waiting.remove(ticket)
        flow.cost -= ticket.cost
        self._waiting -= 1
        self._cost -= ticket.cost
        if not flow.waiting:
            self._weight -= flow.weight

    def _renew(self, customer: str, flow: _Flow) -> None:
        """Puts a customer where it belongs now in the order of service."""
        self._serial += 1
        flow.serial = self._serial
        if flow.waiting:
            heapq.heappush(self._heap, (flow.start, flow.serial, customer))
        elif flow.start <= self._virtual:
            del self._flows[customer]

    def _first_flow(self) -> _Flow | None:
        while self._heap:
            _, serial, customer = self._heap[0]
            flow = self._flows.get(customer)
            if flow is not None and flow.serial == serial:
                return flow
            heapq.heappop(self._heap)
        return None

    def _evict_for(self, ticket: Ticket) -> bool:
        """Drops the request that would be served last, if that is later.

        A customer that floods the queue loses its own requests so and not
        those of others.
        """
        waiting = {c: f for c, f in self._flows.items() if f.waiting}
        customer = max(waiting, key=lambda c: _finish(waiting[c]))
        flow = self._flows.get(ticket.customer)
        start = max(flow.start if flow else 0.0, self._virtual)
        own = (flow.cost if flow else 0.0) + ticket.cost
        if start + own / ticket.weight >= _finish(waiting[customer]):
            return False
        self._drop(waiting[customer].waiting[-1])
        return True

    def _drop(self, ticket: Ticket) -> None:
        self.cancel(ticket)
        self._dropped.append(ticket)

    def _measure(self, ticket: Ticket, now_ms: float) -> None:
        """Updates the rate of service, which shows only while others wait."""
        last_ms = self._last_pop_ms
        self._last_pop_ms = now_ms if self._waiting else None
        if last_ms is None:
            return
        gap_ms = now_ms - last_ms
        if not self._served_cost:
            self._served_cost, self._served_gap_ms = ticket.cost, gap_ms
        self._served_cost += _SMOOTHING * (ticket.cost - self._served_cost)
        self._served_gap_ms += _SMOOTHING * (gap_ms - self._served_gap_ms)


def _finish(flow: _Flow) -> float:
    """Returns the tag at which all of a customer's requests are served."""
    return flow.start + flow.cost / flow.weight
