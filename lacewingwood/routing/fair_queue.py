"""Start-time fair queueing of requests between customers, by token cost."""

import collections
import dataclasses
import heapq

# Weight of the newest value in the moving average of the service rate.
_SMOOTHING = 0.1
_MIN_RETRY_AFTER_MS = 100.0


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A waiting request.

    Attributes:
        customer: Customer that sent it.
        weight: The customer's weight.
        cost: Cost that the customer is charged, in tokens.
        deadline_ms: Time after which its caller no longer waits.
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
        retry_after_ms: Time after which a retry may succeed.
    """

    reason: str
    retry_after_ms: float


@dataclasses.dataclass(slots=True, eq=False)
class _Flow:
    """One customer's requests.

    Attributes:
        weight: The customer's weight, set when it starts to wait.
        start: Start tag of its first waiting request, or the finish tag of
            its last request if none waits.
        waiting: Its waiting requests in order of arrival.
        cost: Sum of the costs of its waiting requests.
        serial: Serial of its current heap entry; entries of this customer with
            other serials are stale.
    """

    weight: float
    start: float
    waiting: collections.deque[Ticket]
    cost: float = 0.0
    serial: int = -1


class FairQueue:
    """Queue that serves waiting customers in proportion to their weights.

    A request is tagged when it reaches the head of its customer's queue, so a
    request that is cancelled before costs its customer nothing.
    """

    __slots__ = (
        "_avg_served_cost",
        "_avg_service_gap_ms",
        "_dropped",
        "_flows",
        "_heap",
        "_last_pop_ms",
        "_max_waiting",
        "_serial",
        "_virtual_time",
        "_waiting",
        "_waiting_cost",
        "_waiting_weight",
    )

    def __init__(self, limit: int = 10_000) -> None:
        self._max_waiting = limit
        self._flows: dict[str, _Flow] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._serial = 0
        self._virtual_time = 0.0
        self._waiting = 0
        self._waiting_weight = 0.0
        self._waiting_cost = 0.0
        # Moving averages of cost and of time between requests, over requests
        # that were served while others waited.
        self._avg_served_cost = 0.0
        self._avg_service_gap_ms = 0.0
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
        """Adds a request, or refuses it.

        A request is refused if it would miss its deadline, or if the queue is
        full and no other request would be served later than it.
        """
        ticket = Ticket(customer, weight, max(cost, 1.0), deadline_ms)
        wait_ms = self.expected_wait_ms(ticket)
        late_ms = now_ms + wait_ms - deadline_ms
        if late_ms >= 0:
            return Refused("deadline", max(late_ms, _MIN_RETRY_AFTER_MS))
        if self._waiting >= self._max_waiting and not self._evict_for(ticket):
            return Refused("queue_full", max(wait_ms, _MIN_RETRY_AFTER_MS))
        self._add(ticket)
        return ticket

    def head(self, now_ms: float) -> Ticket | None:
        """Returns the request to serve next; drops expired requests."""
        while (flow := self._first_flow()) is not None:
            ticket = flow.waiting[0]
            if ticket.deadline_ms > now_ms:
                return ticket
            self._drop(ticket)
        return None

    def pop(self, now_ms: float) -> Ticket | None:
        """Removes the request to serve next and charges its customer."""
        ticket = self.head(now_ms)
        if ticket is None:
            return None
        flow = self._flows[ticket.customer]
        self._virtual_time = flow.start
        self._remove(flow, ticket)
        flow.start += ticket.cost / ticket.weight
        self._update_heap(ticket.customer, flow)
        self._update_service_rate(ticket, now_ms)
        return ticket

    def cancel(self, ticket: Ticket) -> None:
        """Removes a request without charging its customer."""
        if not ticket.waiting:
            return
        flow = self._flows[ticket.customer]
        self._remove(flow, ticket)
        self._update_heap(ticket.customer, flow)

    def take_dropped(self) -> list[Ticket]:
        """Returns the requests that were dropped since the last call."""
        dropped, self._dropped = self._dropped, []
        return dropped

    def correct(self, ticket: Ticket, tokens: float) -> None:
        """Replaces a served request's estimated cost by its actual cost."""
        flow = self._flow(ticket.customer, ticket.weight)
        flow.start += (tokens - ticket.cost) / ticket.weight
        flow.start = max(flow.start, self._virtual_time)
        self._update_heap(ticket.customer, flow)

    def expected_wait_ms(self, ticket: Ticket) -> float:
        """Returns the expected wait of a new request, 0 if not known."""
        if not self._waiting or not self._avg_served_cost:
            return 0.0
        flow = self._flows.get(ticket.customer)
        own_tokens = flow.cost if flow else 0.0
        idle = flow is None or not flow.waiting
        weights = self._waiting_weight + (ticket.weight if idle else 0.0)
        fair_tokens = own_tokens * weights / ticket.weight
        tokens = min(fair_tokens, self._waiting_cost)
        return tokens * self._avg_service_gap_ms / self._avg_served_cost

    def _add(self, ticket: Ticket) -> None:
        flow = self._flow(ticket.customer, ticket.weight)
        if not flow.waiting:
            flow.weight = ticket.weight
            flow.start = max(flow.start, self._virtual_time)
            self._waiting_weight += flow.weight
        flow.waiting.append(ticket)
        flow.cost += ticket.cost
        self._waiting += 1
        self._waiting_cost += ticket.cost
        if len(flow.waiting) == 1:
            self._update_heap(ticket.customer, flow)

    def _flow(self, customer: str, weight: float) -> _Flow:
        flow = self._flows.get(customer)
        if flow is None:
            flow = _Flow(weight, self._virtual_time, collections.deque())
            self._flows[customer] = flow
        return flow

    def _remove(self, flow: _Flow, ticket: Ticket) -> None:
        ticket.waiting = False
        flow.waiting.remove(ticket)
        flow.cost -= ticket.cost
        self._waiting -= 1
        self._waiting_cost -= ticket.cost
        if not flow.waiting:
            self._waiting_weight -= flow.weight

    def _update_heap(self, customer: str, flow: _Flow) -> None:
        """Updates a customer's heap entry, or drops an idle customer.

        An idle customer is kept while its start tag is ahead of the virtual
        time, so that it cannot reset its charges by a pause.
        """
        self._serial += 1
        flow.serial = self._serial
        if flow.waiting:
            heapq.heappush(self._heap, (flow.start, flow.serial, customer))
        elif flow.start <= self._virtual_time:
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
        """Drops the request that would be served last, if later than `ticket`.

        A customer that floods the queue thus loses its own requests and not
        those of others. Returns False if `ticket` would be served last.
        """
        waiting = {c: f for c, f in self._flows.items() if f.waiting}
        customer = max(waiting, key=lambda c: _finish(waiting[c]))
        flow = self._flows.get(ticket.customer)
        start = max(flow.start if flow else 0.0, self._virtual_time)
        own_tokens = (flow.cost if flow else 0.0) + ticket.cost
        if start + own_tokens / ticket.weight >= _finish(waiting[customer]):
            return False
        self._drop(waiting[customer].waiting[-1])
        return True

    def _drop(self, ticket: Ticket) -> None:
        self.cancel(ticket)
        self._dropped.append(ticket)

    def _update_service_rate(self, ticket: Ticket, now_ms: float) -> None:
        """Updates the service rate, measurable only while requests wait."""
        last_ms = self._last_pop_ms
        self._last_pop_ms = now_ms if self._waiting else None
        if last_ms is None:
            return
        gap_ms = now_ms - last_ms
        if not self._avg_served_cost:
            self._avg_served_cost, self._avg_service_gap_ms = (
                ticket.cost,
                gap_ms,
            )
        self._avg_served_cost += _SMOOTHING * (
            ticket.cost - self._avg_served_cost
        )
        self._avg_service_gap_ms += _SMOOTHING * (
            gap_ms - self._avg_service_gap_ms
        )


def _finish(flow: _Flow) -> float:
    """Returns the tag at which all of a customer's requests are served."""
    return flow.start + flow.cost / flow.weight
