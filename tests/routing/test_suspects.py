"""Tests of requests that crash replicas."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from lacewingwood.routing import suspects

_REPLICAS = [f"e{i}" for i in range(3)]
_BODIES = ["a", "b", "c"]
_REQUESTS = [f"{c}:{b}" for c in ("vendors", "inspectors") for b in _BODIES]
_AFTER_MERGE_WINDOW_MS = 5000.0


class SuspectsMachine(stateful.RuleBasedStateMachine):
    """Callers send and resend requests, some of which crash replicas.

    A crash is always caused by a request in flight. Each request has at most
    one attempt in flight.
    """

    def __init__(self) -> None:
        super().__init__()
        self.suspects = suspects.Suspects()
        self.now_ms = 0.0
        self.running: dict[str, str] = {}
        self.crashing: set[str] = set()
        self.crash_counts: collections.Counter[str] = collections.Counter()

    @stateful.initialize(
        crashing=st.sets(st.sampled_from(_REQUESTS), min_size=2, max_size=4)
    )
    def choose_crashing(self, crashing: set[str]) -> None:
        self.crashing = crashing

    @stateful.rule(
        fingerprints=st.sets(st.sampled_from(_REQUESTS), min_size=1),
        replica=st.sampled_from(_REPLICAS),
    )
    def send(self, fingerprints: set[str], replica: str) -> None:
        for fingerprint in sorted(fingerprints - self.running.keys()):
            self._send(fingerprint, replica)

    @stateful.rule(fingerprint=st.data())
    def end(self, fingerprint: st.DataObject) -> None:
        """One request in flight completes, or crashes its replica."""
        if not self.running:
            return
        chosen = fingerprint.draw(st.sampled_from(sorted(self.running)))
        if chosen in self.crashing:
            self._crash(chosen, self.running[chosen])
            return
        replica = self.running.pop(chosen)
        self.suspects.completed(chosen)
        self.suspects.ended(chosen, replica)

    @stateful.rule(fingerprint=st.data())
    def crash(self, fingerprint: st.DataObject) -> None:
        """One replica that runs a crashing request crashes."""
        candidates = sorted(self.crashing & self.running.keys())
        if candidates:
            cause = fingerprint.draw(st.sampled_from(candidates))
            self._crash(cause, self.running[cause])

    @stateful.rule(fingerprint=st.data())
    def cancel(self, fingerprint: st.DataObject) -> None:
        if self.running:
            chosen = fingerprint.draw(st.sampled_from(sorted(self.running)))
            self.suspects.ended(chosen, self.running.pop(chosen))

    @stateful.rule(
        ms=st.sampled_from(
            [10.0, _AFTER_MERGE_WINDOW_MS, _AFTER_MERGE_WINDOW_MS]
        )
    )
    def wait(self, ms: float) -> None:
        self.now_ms += ms

    @stateful.invariant()
    def no_request_crashes_more_than_two_replicas(self) -> None:
        assert all(count <= 2 for count in self.crash_counts.values()), (
            self.crash_counts
        )

    def _send(self, fingerprint: str, replica: str) -> None:
        match self.suspects.check(fingerprint, self.now_ms):
            case suspects.Blocked():
                assert fingerprint in self.crashing, (
                    "a harmless request was blocked"
                )
            case suspects.Isolated(avoid=avoid) if replica in avoid:
                pass
            case suspects.Allowed() | suspects.Isolated():
                self.suspects.started(fingerprint, replica)
                self.running[fingerprint] = replica

    def _crash(self, cause: str, replica: str) -> None:
        in_flight = [f for f, r in self.running.items() if r == replica]
        assert set(self.suspects.running_on(replica)) == set(in_flight)
        self.crash_counts[cause] += 1
        self.suspects.crashed(replica, in_flight, self.now_ms)
        for fingerprint in in_flight:
            del self.running[fingerprint]
            self.suspects.ended(fingerprint, replica)


SuspectsTest = SuspectsMachine.TestCase
SuspectsTest.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)


def test_crashing_request_is_blocked_and_others_are_cleared() -> None:
    """Guards against deferring all suspects for ever after two crashes."""
    tracker = suspects.Suspects()
    tracker.crashed("e1", ["x:poison", "y:good"], 0)
    assert tracker.check("y:good", 10) == suspects.Isolated(frozenset({"e1"}))
    tracker.started("x:poison", "e2")
    assert tracker.check("y:good", 10) == suspects.Isolated(
        frozenset({"e1", "e2"})
    )
    tracker.crashed("e2", ["x:poison", "z:new"], 20)
    tracker.ended("x:poison", "e2")
    assert isinstance(tracker.check("x:poison", 9000), suspects.Deferred)
    assert tracker.completed("z:new")
    assert tracker.check("x:poison", 9000) == suspects.Blocked()
    assert tracker.check("y:good", 9000) == suspects.Isolated(frozenset())
    assert tracker.completed("y:good")
    assert tracker.check("y:good", 9000) == suspects.Allowed()
    assert tracker.check("y:poison", 9000) == suspects.Allowed()


def test_broken_connection_makes_no_suspects() -> None:
    """Guards against suspecting requests when only a connection broke."""
    tracker = suspects.Suspects()
    tracker.crashed("e1", ["x:1"], 100, "boot-1")
    isolated = suspects.Isolated(frozenset({"e1"}))
    tracker.retract_unless_restarted("e1", "boot-1", 90)
    assert tracker.check("x:1", 110) == isolated, "asked before the crash"
    tracker.retract_unless_restarted("e1", "boot-2", 110)
    assert tracker.check("x:1", 110) == isolated, "it has restarted"
    tracker.retract_unless_restarted("e1", "boot-1", 110)
    assert tracker.check("x:1", 110) == suspects.Allowed()
