"""Order and tries of batch items."""

from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from lacewingwood.batch import schedule

WEIGHTS = {"a": 1.0, "b": 2.5, "c": 10.0}


def item(job_id: str, index: int, cost: float) -> schedule.Item:
    return schedule.Item(job_id, index, f"c{index}", b"", "m", cost)


class ScheduleMachine(stateful.RuleBasedStateMachine):
    """Compares the schedule with one that sorts everything each time.

    Guards against items that are lost, repeated or out of order.
    """

    def __init__(self) -> None:
        super().__init__()
        self.subject = schedule.Schedule(WEIGHTS.__getitem__)
        self.jobs: dict[str, tuple[str, float]] = {}
        self.waiting: list[schedule.Item] = []
        self.virtual = 0.0
        self.finish: dict[str, float] = {}
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

    @stateful.rule(barred=st.integers(0, 5))
    def take(self, barred: int) -> None:
        def can_run(candidate: schedule.Item) -> bool:
            return candidate.index % 5 != barred

        def order(candidate: schedule.Item) -> Any:
            customer, due = self.jobs[candidate.job_id]
            start = max(self.virtual, self.finish.get(customer, 0.0))
            return start, due, candidate.job_id, candidate.index

        heads: dict[str, schedule.Item] = {}
        for waiting in sorted(self.waiting, key=lambda i: i.index):
            heads.setdefault(waiting.job_id, waiting)
        fitting = sorted(filter(can_run, heads.values()), key=order)
        taken = self.subject.pop_next(can_run)
        assert taken is (fitting[0] if fitting else None)
        if taken is not None:
            customer = self.jobs[taken.job_id][0]
            self.virtual = order(taken)[0]
            cost = taken.cost_tokens / WEIGHTS[customer]
            self.finish[customer] = self.virtual + cost
            self.waiting.remove(taken)

    @stateful.invariant()
    def nothing_is_lost(self) -> None:
        wants: dict[str, int] = {}
        for waiting in self.waiting:
            customer = self.jobs[waiting.job_id][0]
            wants[customer] = wants.get(customer, 0) + 1
        assert self.subject.waiting_by_customer(lambda _: True) == wants


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
        apart = abs(used["a"] / weight - used["b"])
        assert apart <= max(costs) / weight + max(costs) + 1e-6


@hypothesis.given(
    st.integers(0, 60),
    st.dictionaries(st.sampled_from("abc"), st.integers(0, 40)),
)
def test_split_gives_all_that_is_wanted(
    total: int, wants: dict[str, int]
) -> None:
    """Guards against room that is left unused or promised twice."""
    parts = schedule.allocate(total, wants, WEIGHTS.__getitem__)
    assert sum(parts.values()) == min(total, sum(wants.values()))
    assert all(0 <= parts[name] <= wants[name] for name in wants)


_OUTCOMES = st.one_of(
    st.builds(schedule.Interrupted, st.text(max_size=2)),
    st.builds(schedule.ItemFault, st.just("c"), st.just("m")),
    st.builds(schedule.ReplicaCrashed, st.sampled_from(["r1", "r2", "r3"])),
)


@hypothesis.given(st.lists(_OUTCOMES, max_size=30))
def test_tries_end_only_by_the_items_own_faults(
    outcomes: list[
        schedule.Interrupted | schedule.ItemFault | schedule.ReplicaCrashed
    ],
) -> None:
    """Guards against items that fail for yielding, or that never end."""
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
def test_late_job_is_told_early(
    remaining: int, spent_s: int, left_s: int
) -> None:
    """Guards against a job that is known to be late only when it is due."""
    subject = schedule.DeadlineEstimate(0.0)
    done = 50
    for _ in range(done):
        subject.item_ended()
    now = spent_s * 1000.0
    late = subject.is_late(now, now + left_s * 1000.0, remaining)
    needed_s = remaining * spent_s / done
    assert late == (needed_s > left_s * 1.1)
