"""Batch capacity of a replica."""

import hypothesis
import msgspec
from hypothesis import stateful
from hypothesis import strategies as st

from lacewingwood.batch import capacity
from lacewingwood.upstreams import types

ENTRIES = ("e1", "e2", "e3")


def load(running: int = 0, slots: int = 8) -> types.LoadReport:
    return types.LoadReport(running, 0, slots, 0.0, 30.0, False, {}, "b")


class CapacityMachine(stateful.RuleBasedStateMachine):
    """Loses, repeats and reorders messages with counts of online requests.

    Guards against batch items in slots that online requests need, and against
    counts that stay wrong after messages were lost.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0.0
        self.subject = capacity.ReplicaCapacity(self.now_ms)
        self.actual_counts = dict.fromkeys(ENTRIES, 0)
        self.serials = dict.fromkeys(ENTRIES, 0)
        self.accepted_counts: dict[str, tuple[int, int, float]] = {}
        self.sent: list[tuple[str, int, int]] = []
        self.started = 0
        self.order: list[str] = []
        self.slots = 8
        self.subject.update_load(load(), self.now_ms)
        self.advance(capacity.STARTUP_WAIT_MS)

    def decide(self, lease_current: bool = True) -> capacity.Decision:
        decision = self.subject.decide(lease_current, self.now_ms)
        for item in decision.cancel:
            assert item == self.order.pop()
        subject = self.subject
        used = (
            subject.online_count
            + subject.batch_count
            + subject.reserved_slots(self.now_ms)
        )
        assert used + decision.start <= self.slots or not subject.batch_count
        assert not (decision.start and decision.cancel)
        for _ in range(decision.start):
            assert used + len(subject.cancelling) + 1 <= self.slots
            used += 1
            self.started += 1
            item = f"i{self.started}"
            subject.add_item(item, self.now_ms)
            self.order.append(item)
        return decision

    @stateful.rule(entry=st.sampled_from(ENTRIES), change=st.integers(-3, 3))
    def request(self, entry: str, change: int) -> None:
        self.actual_counts[entry] = max(0, self.actual_counts[entry] + change)
        self.serials[entry] += 1
        message = (entry, self.actual_counts[entry], self.serials[entry])
        self.sent.append(message)

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=st.data(), repeat=st.booleans())
    def deliver(self, data: st.DataObject, repeat: bool) -> None:
        index = data.draw(st.integers(0, len(self.sent) - 1))
        entry, running, serial = self.sent[index]
        if not repeat:
            del self.sent[index]
        newest = self.accepted_counts.get(entry, (0, 0, 0.0))[0]
        taken = self.subject.update_online_count(
            entry, running, serial, self.now_ms
        )
        assert taken == (serial > newest)
        if taken:
            self.accepted_counts[entry] = (serial, running, self.now_ms)
        self.decide()

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=st.data())
    def lose(self, data: st.DataObject) -> None:
        del self.sent[data.draw(st.integers(0, len(self.sent) - 1))]

    @stateful.rule(duration=st.floats(1, 700))
    def advance(self, duration: float) -> None:
        self.now_ms += duration
        self.subject.update_load(load(), self.now_ms)
        self.decide()

    @stateful.rule(data=st.data())
    def end_item(self, data: st.DataObject) -> None:
        items = sorted(self.subject.cancelling) + self.order
        if items:
            item = data.draw(st.sampled_from(items))
            self.subject.remove_item(item, self.now_ms)
            if item in self.order:
                self.order.remove(item)
            self.decide()

    @stateful.rule()
    def lose_lease(self) -> None:
        assert self.decide(lease_current=False).start == 0
        assert self.subject.batch_count == 0

    @stateful.rule()
    def repeat_all_counts(self) -> None:
        """Every entry process repeats its count, and the messages arrive."""
        for entry in ENTRIES:
            self.serials[entry] += 1
            self.subject.update_online_count(
                entry,
                self.actual_counts[entry],
                self.serials[entry],
                self.now_ms,
            )
            serial = self.serials[entry]
            self.accepted_counts[entry] = (
                serial,
                self.actual_counts[entry],
                self.now_ms,
            )
        self.decide()
        assert self.subject.online_count == sum(self.actual_counts.values())

    @stateful.invariant()
    def silent_entries_stop_batch(self) -> None:
        silent = [
            entry
            for entry, (_, running, received_ms) in self.accepted_counts.items()
            if running
            and self.now_ms - received_ms >= capacity.ENTRY_TIMEOUT_MS
        ]
        assert sorted(self.subject.silent_entries(self.now_ms)) == sorted(
            silent
        )
        if silent:
            self.decide()
            assert self.subject.batch_count == 0


TestCapacity = CapacityMachine.TestCase


def test_only_dead_entry_is_dropped() -> None:
    """Guards against capacity lost forever to an entry process that died."""
    subject = capacity.ReplicaCapacity(0.0)
    subject.update_load(load(), 0.0)
    subject.update_online_count("e1", 8, 1, 0.0)
    subject.drop_dead_entries({"e1"}, 2_000.0)
    assert subject.decide(True, 2_000.0).reason == "silent"
    subject.drop_dead_entries(set(), 2_000.0)
    assert subject.decide(True, 2_000.0).start > 0


@hypothesis.given(st.integers(0, 20), st.integers(0, 20))
def test_uncounted_requests_reduce_capacity(counted: int, running: int) -> None:
    """Guards against overload by requests of unreachable entry processes."""
    subject = capacity.ReplicaCapacity(0.0)
    subject.update_online_count("e1", counted, 1, 3_900.0)
    subject.update_load(load(running, 20), 4_000.0)
    limit, _ = subject.item_limit(True, 4_000.0)
    reserve = subject.reserved_slots(4_000.0)
    assert limit == max(0, 20 - max(counted, running) - reserve)


def test_leaving_and_unreported_replicas_get_no_items() -> None:
    """Guards against new items on a replica that is about to stop."""
    subject = capacity.ReplicaCapacity(0.0)
    assert subject.decide(True, 1_500.0).reason == "no_report"
    subject.update_load(load(), 1_500.0)
    assert subject.decide(True, 1_500.0).start == 8
    subject.set_leaving(True)
    assert subject.decide(True, 1_600.0).start == 0
    subject.set_leaving(False)
    assert subject.decide(True, 1_600.0).start == 8
    leaving = msgspec.structs.replace(load(), leaving=True)
    subject.update_load(leaving, 1_700.0)
    assert subject.decide(True, 1_700.0).reason == "leaving"
