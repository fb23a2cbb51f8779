"""Tests of requests that crash replicas."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from lacewingwood.routing import suspects

_REPLICAS = [f"e{i}" for i in range(3)]
_BODIES = ["a", "b", "c"]
_REQUESTS = [f"{c}:{b}" for c in ("vendors", "inspectors") for b in _BODIES]
_SETTLED_MS = 5000.0


class Fleet(stateful.RuleBasedStateMachine):
    """Callers send and resend requests, some of which crash replicas.

    A crash is always caused by a request in flight; each request has one
    attempt at a time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.suspects = suspects.Suspects()
        self.now_ms = 0.0
        self.running: dict[str, str] = {}
        self.poison: set[str] = set()
        self.lost: collections.Counter[str] = collections.Counter()

    @stateful.initialize(
        poison=st.sets(st.sampled_from(_REQUESTS), min_size=2, max_size=4)
    )
    def choose_poison(self, poison: set[str]) -> None:
        self.poison = poison

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
        if chosen in self.poison:
            self._crash(chosen, self.running[chosen])
            return
        replica = self.running.pop(chosen)
        self.suspects.completed(chosen)
        self.suspects.ended(chosen, replica)

    @stateful.rule(fingerprint=st.data())
    def crash(self, fingerprint: st.DataObject) -> None:
        """One replica that runs poison crashes."""
        causes = sorted(self.poison & self.running.keys())
        if causes:
            cause = fingerprint.draw(st.sampled_from(causes))
            self._crash(cause, self.running[cause])

    @stateful.rule(fingerprint=st.data())
    def cancel(self, fingerprint: st.DataObject) -> None:
        if self.running:
            chosen = fingerprint.draw(st.sampled_from(sorted(self.running)))
            self.suspects.ended(chosen, self.running.pop(chosen))

    @stateful.rule(ms=st.sampled_from([10.0, _SETTLED_MS, _SETTLED_MS]))
    def wait(self, ms: float) -> None:
        self.now_ms += ms

    @stateful.invariant()
    def two_replicas_at_most(self) -> None:
        assert all(count <= 2 for count in self.lost.values()), self.lost

    def _send(self, fingerprint: str, replica: str) -> None:
        match self.suspects.check(fingerprint, self.now_ms):
            case suspects.Blocked():
                assert fingerprint in self.poison, "an innocent was refused"
            case suspects.Isolated(avoid=avoid) if replica in avoid:
                pass
            case suspects.Allowed() | suspects.Isolated():
                self.suspects.started(fingerprint, replica)
                self.running[fingerprint] = replica

    def _crash(self, cause: str, replica: str) -> None:
        involved = [f for f, r in self.running.items() if r == replica]
        assert set(self.suspects.running_on(replica)) == set(involved)
        self.lost[cause] += 1
        self.suspects.crashed(replica, involved, self.now_ms)
        for fingerprint in involved:
            del self.running[fingerprint]
            self.suspects.ended(fingerprint, replica)


FleetTest = Fleet.TestCase
FleetTest.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)


def test_poison_is_refused_and_bystanders_are_freed() -> None:
    """Guards against holding everyone back for good after two crashes."""
    marks = suspects.Suspects()
    marks.crashed("e1", ["x:poison", "y:good"], 0)
    assert marks.check("y:good", 10) == suspects.Isolated(frozenset({"e1"}))
    marks.started("x:poison", "e2")
    assert marks.check("y:good", 10) == suspects.Isolated(
        frozenset({"e1", "e2"})
    )
    marks.crashed("e2", ["x:poison", "z:new"], 20)
    marks.ended("x:poison", "e2")
    assert isinstance(marks.check("x:poison", 9000), suspects.Deferred)
    assert marks.completed("z:new")
    assert marks.check("x:poison", 9000) == suspects.Blocked()
    assert marks.check("y:good", 9000) == suspects.Isolated(frozenset())
    assert marks.completed("y:good")
    assert marks.check("y:good", 9000) == suspects.Allowed()
    assert marks.check("y:poison", 9000) == suspects.Allowed()


def test_network_break_leaves_no_mark() -> None:
    """Guards against refusing requests for breaks that were no crash."""
    marks = suspects.Suspects()
    marks.crashed("e1", ["x:1"], 100, "boot-1")
    held = suspects.Isolated(frozenset({"e1"}))
    marks.retract_unless_restarted("e1", "boot-1", 90)
    assert marks.check("x:1", 110) == held, "asked before the crash"
    marks.retract_unless_restarted("e1", "boot-2", 110)
    assert marks.check("x:1", 110) == held, "it has restarted"
    marks.retract_unless_restarted("e1", "boot-1", 110)
    assert marks.check("x:1", 110) == suspects.Allowed()
