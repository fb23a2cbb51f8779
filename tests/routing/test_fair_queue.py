"""Tests of fair queueing."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from lacewingwood.routing import fair_queue

_WEIGHTS = {"vendors": 1.0, "inspectors": 2.0, "districts": 5.0}
_FAR_MS = 1e12


class _ReferenceQueue:
    """Start-time fair queueing that sorts all customers at each pop."""

    def __init__(self) -> None:
        self.queues: dict[str, list[fair_queue.Ticket]] = {}
        self.start: dict[str, float] = {}
        self.last_update: dict[str, int] = {}
        self.virtual = 0.0
        self.updates = 0

    def push(self, ticket: fair_queue.Ticket) -> None:
        queue = self.queues.setdefault(ticket.customer, [])
        if not queue:
            start = max(self.start.get(ticket.customer, 0.0), self.virtual)
            self._set_start(ticket.customer, start)
        queue.append(ticket)

    def cancel(self, ticket: fair_queue.Ticket) -> None:
        self.queues[ticket.customer].remove(ticket)
        self._set_start(ticket.customer, self.start[ticket.customer])

    def pop(self) -> fair_queue.Ticket | None:
        waiting = [c for c, queue in self.queues.items() if queue]
        if not waiting:
            return None
        waiting.sort(key=lambda c: (self.start[c], self.last_update[c]))
        customer = waiting[0]
        ticket = self.queues[customer].pop(0)
        self.virtual = self.start[customer]
        self._set_start(customer, self.virtual + ticket.cost / ticket.weight)
        return ticket

    def _set_start(self, customer: str, start: float) -> None:
        self.updates += 1
        self.start[customer] = start
        self.last_update[customer] = self.updates


class FairQueueMachine(stateful.RuleBasedStateMachine):
    """Checks the order of service against the reference, and its fairness."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = fair_queue.FairQueue()
        self.reference = _ReferenceQueue()
        self.waiting: list[fair_queue.Ticket] = []
        # For each pair of waiting customers: cost divided by weight that each
        # was served since both have been waiting.
        self.served: dict[tuple[str, str], list[float]] = {}

    @stateful.rule(
        customer=st.sampled_from(sorted(_WEIGHTS)),
        cost=st.integers(1, 100),
    )
    def push(self, customer: str, cost: int) -> None:
        ticket = self.queue.push(customer, _WEIGHTS[customer], cost, _FAR_MS, 0)
        assert isinstance(ticket, fair_queue.Ticket)
        self.reference.push(ticket)
        self.waiting.append(ticket)
        self._forget_idle()

    @stateful.rule()
    def pop(self) -> None:
        ticket = self.queue.pop(0)
        assert ticket is self.reference.pop()
        if ticket is None:
            return
        self.waiting.remove(ticket)
        for pair, amounts in self.served.items():
            if ticket.customer in pair:
                index = pair.index(ticket.customer)
                amounts[index] += ticket.cost / ticket.weight
        self._check_shares()
        self._forget_idle()

    @stateful.rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        if self.waiting:
            ticket = data.draw(st.sampled_from(self.waiting))
            self.queue.cancel(ticket)
            self.reference.cancel(ticket)
            self.waiting.remove(ticket)
            self._forget_idle()

    @stateful.invariant()
    def length(self) -> None:
        assert len(self.queue) == len(self.waiting)

    def _check_shares(self) -> None:
        for (one, other), (left, right) in self.served.items():
            bound = 100 / _WEIGHTS[one] + 100 / _WEIGHTS[other]
            assert abs(left - right) <= bound + 1e-6

    def _forget_idle(self) -> None:
        busy = {ticket.customer for ticket in self.waiting}
        pairs = {(a, b) for a in busy for b in busy if a < b}
        self.served = {p: self.served.get(p, [0.0, 0.0]) for p in pairs}


FairQueueTest = FairQueueMachine.TestCase
FairQueueTest.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=80
)


def test_flood_evicts_only_the_flooding_customer() -> None:
    """Guards against a full queue that refuses customers with few requests."""
    queue = fair_queue.FairQueue(limit=10)
    for _ in range(10):
        queue.push("vendors", 1, 50, _FAR_MS, 0)
    refused = queue.push("vendors", 1, 50, _FAR_MS, 0)
    assert isinstance(refused, fair_queue.Refused)
    assert refused.reason == "queue_full"
    other = queue.push("inspectors", 1, 50, _FAR_MS, 0)
    assert isinstance(other, fair_queue.Ticket)
    assert [t.customer for t in queue.take_dropped()] == ["vendors"]
    assert len(queue) == 10


def test_requests_that_would_miss_their_deadline_are_refused() -> None:
    """Guards against requests that wait only to expire."""
    queue = fair_queue.FairQueue()
    for _ in range(20):
        queue.push("vendors", 1, 100, _FAR_MS, 0)
    for i in range(10):
        assert queue.pop(i * 100.0) is not None
    refused = queue.push("vendors", 1, 100, 1500, 1000)
    assert isinstance(refused, fair_queue.Refused)
    assert refused.reason == "deadline"
    assert refused.retry_after_ms == pytest.approx(500, rel=0.2)
    other = queue.push("inspectors", 1, 100, 1500, 1000)
    assert isinstance(other, fair_queue.Ticket)


def test_actual_cost_replaces_the_estimate() -> None:
    """Guards against customers who profit from understating their cost."""
    queue = fair_queue.FairQueue()
    for customer in ("vendors", "inspectors"):
        for _ in range(3):
            queue.push(customer, 1, 10, _FAR_MS, 0)
    first = queue.pop(0)
    assert first is not None
    queue.correct(first, 25)
    served = [queue.pop(0) for _ in range(3)]
    others = [t.customer for t in served if t is not None]
    assert others == [other for other in others if other != first.customer]


def test_expired_requests_are_dropped() -> None:
    """Guards against serving requests whose callers no longer wait."""
    queue = fair_queue.FairQueue()
    expired = queue.push("vendors", 1, 10, 100, 0)
    assert queue.pop(100) is None
    assert queue.take_dropped() == [expired]
