"""Scheduling and retries of batch items."""

from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from lacewingwood.batch import schedule

WEIGHTS = {"a": 1.0, "b": 2.5, "c": 10.0}


def item(job_id: str, index: int, cost: float) -> schedule.Item:
    return schedule.Item(job_id, index, f"c{index}", b"", "m", cost)


class ScheduleMachine(stateful.RuleBasedStateMachine):
    """Compares the schedule with a model that sorts all items each time.

    Guards against items that are lost, duplicated or out of order.
    """

    def __init__(self) -> None:
        super().__init__()
        self.subject = schedule.Schedule(WEIGHTS.__getitem__)
        self.jobs: dict[str, tuple[str, float]] = {}
        self.waiting: list[schedule.Item] = []
        self.virtual_time = 0.0
        self.finish_times: dict[str, float] = {}
        self.serial = 0

    @stateful.rule(
        customer=st.sampled_from(sorted(WEIGHTS)), due=st.integers(0, 5)
    )
    def add_job(self, customer: str, due: int) -> None:
        job_id = f"j{len(self.jobs)}"
        self.jobs[job_id] = (customer, due)
        self.subject.add_job(job_id, customer, due)

    @stateful.precondition(lambda self: self.jobs)
    @stateful.rule(data=st.data(), cost=st.integers(1, 9))
    def put(self, data: st.DataObject, cost: int) -> None:
        job_id = data.draw(st.sampled_from(sorted(self.jobs)))
        self.serial += 1
        added = item(job_id, self.serial, cost)
        self.subject.add_item(added)
        self.waiting.append(added)

    @stateful.rule(blocked=st.integers(0, 5))
    def take(self, blocked: int) -> None:
        def can_run(candidate: schedule.Item) -> bool:
            return candidate.index % 5 != blocked

        def order(candidate: schedule.Item) -> Any:
            customer, due = self.jobs[candidate.job_id]
            start = max(self.virtual_time, self.finish_times.get(customer, 0.0))
            return start, due, candidate.job_id, candidate.index

        heads: dict[str, schedule.Item] = {}
        for waiting in sorted(self.waiting, key=lambda i: i.index):
            heads.setdefault(waiting.job_id, waiting)
        runnable = sorted(filter(can_run, heads.values()), key=order)
        taken = self.subject.pop_next(can_run)
        assert taken is (runnable[0] if runnable else None)
        if taken is not None:
            customer = self.jobs[taken.job_id][0]
            self.virtual_time = order(taken)[0]
            cost = taken.cost_tokens / WEIGHTS[customer]
            self.finish_times[customer] = self.virtual_time + cost
            self.waiting.remove(taken)

    @stateful.invariant()
    def all_items_are_waiting(self) -> None:
        demands: dict[str, int] = {}
        for waiting in self.waiting:
            customer = self.jobs[waiting.job_id][0]
            demands[customer] = demands.get(customer, 0) + 1
        assert self.subject.waiting_by_customer(lambda _: True) == demands


TestSchedule = ScheduleMachine.TestCase


@hypothesis.given(
    st.lists(st.integers(1, 50), min_size=60, max_size=200),
    st.floats(0.2, 5),
)
def test_shares_follow_weights(costs: list[int], weight: float) -> None:
    """Guards against a customer that gets more than its weighted share."""
    weights = {"a": weight, "b": 1.0}
    subject = schedule.Schedule(weights.__getitem__)
    used = dict.fromkeys(weights, 0.0)
    for name in weights:
        subject.add_job(name, name, 0)
        for index, cost in enumerate(costs):
            subject.add_item(item(name, index, cost))
    while subject.waiting_count("a") and subject.waiting_count("b"):
        taken = subject.pop_next(lambda _: True)
        assert taken is not None
        used[taken.job_id] += taken.cost_tokens
        difference = abs(used["a"] / weight - used["b"])
        assert difference <= max(costs) / weight + max(costs) + 1e-6


@hypothesis.given(
    st.integers(0, 60),
    st.dictionaries(st.sampled_from("abc"), st.integers(0, 40)),
)
def test_allocate_satisfies_demand(total: int, demands: dict[str, int]) -> None:
    """Guards against slots that are left unused or allocated twice."""
    shares = schedule.allocate(total, demands, WEIGHTS.__getitem__)
    assert sum(shares.values()) == min(total, sum(demands.values()))
    assert all(0 <= shares[name] <= demands[name] for name in demands)


_OUTCOMES = st.one_of(
    st.builds(schedule.Interrupted, st.text(max_size=2)),
    st.builds(schedule.ItemFault, st.just("c"), st.just("m")),
    st.builds(schedule.ReplicaCrashed, st.sampled_from(["r1", "r2", "r3"])),
)


@hypothesis.given(st.lists(_OUTCOMES, max_size=30))
def test_only_faults_and_crashes_fail_an_item(
    outcomes: list[
        schedule.Interrupted | schedule.ItemFault | schedule.ReplicaCrashed
    ],
) -> None:
    """Guards against items that fail when interrupted, or that never fail."""
    subject = item("j", 0, 1)
    faults = 0
    crashed: set[str] = set()
    for outcome in outcomes:
        match outcome:
            case schedule.ItemFault():
                faults += 1
            case schedule.ReplicaCrashed(replica=replica):
                crashed.add(replica)
        failure = schedule.apply_outcome(subject, outcome)
        assert (failure is not None) == (faults >= 3 or len(crashed) >= 2)
        if failure is not None:
            return


@hypothesis.given(
    st.integers(1, 10_000), st.integers(1, 100), st.integers(1, 10_000)
)
def test_late_job_is_reported_before_its_deadline(
    remaining: int, elapsed_s: int, left_s: int
) -> None:
    """Guards against a job that is reported as late only at its deadline."""
    subject = schedule.DeadlineEstimate(0.0)
    done = 50
    for _ in range(done):
        subject.item_ended()
    now = elapsed_s * 1000.0
    late = subject.is_late(now, now + left_s * 1000.0, remaining)
    needed_s = remaining * elapsed_s / done
    assert late == (needed_s > left_s * 1.1)
