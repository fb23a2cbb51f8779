"""Tests of the choice of hubs."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from lacewingwood.peers import hubs as hubs_lib

HOSTS = [f"h{n}" for n in range(6)]


def _make() -> hubs_lib.Hubs:
    """Returns hubs with a fixed random seed."""
    return hubs_lib.Hubs(random.Random(1))


def test_all_gateways_choose_the_same_hubs() -> None:
    """Guards against gateways that choose different hubs and miss reports."""
    assert _make().choose(HOSTS, 0) == ["h0", "h1"]
    assert _make().choose(reversed(HOSTS), 0) == ["h0", "h1"]


def test_hub_that_does_not_answer_is_replaced_and_retried() -> None:
    """Guards against reports that go to a dead or unreachable gateway."""
    hubs = _make()
    chosen = []
    for now_ms in range(0, 12_000, 100):
        chosen = hubs.choose(HOSTS, now_ms)
        for host in chosen:
            if host != "h0" or now_ms > 6_000:
                hubs.note_answer(host, now_ms)
        if 1_200 < now_ms < 3_000:
            assert chosen == ["h1", "h2"]
    assert chosen == ["h0", "h1"]


def test_hubs_are_chosen_even_if_none_has_answered() -> None:
    """Guards against a zone that stays split after a network partition."""
    hubs = _make()
    for now_ms in range(0, 20_000, 100):
        assert hubs.choose(HOSTS[:2], now_ms)


def test_subscriptions_expire() -> None:
    """Guards against messages to gateways that now report to another hub."""
    hubs = _make()
    hubs.subscribe("a", 0)
    hubs.subscribe("b", 1_000)
    assert hubs.subscribers(1_600) == ["b"]
    hubs.unsubscribe("b")
    assert hubs.subscribers(1_600) == []


class ZoneMachine(stateful.RuleBasedStateMachine):
    """Gateways of a zone that choose hubs, answer, and fail."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0.0
        self.hubs = {h: hubs_lib.Hubs(random.Random(h)) for h in HOSTS}
        self.down: set[str] = set()

    @stateful.rule(host=st.sampled_from(HOSTS))
    def fail(self, host: str) -> None:
        """Stops a gateway."""
        self.down.add(host)

    @stateful.rule(host=st.sampled_from(HOSTS))
    def restart(self, host: str) -> None:
        """Restarts a gateway."""
        self.down.discard(host)

    @stateful.rule(ms=st.integers(100, 2_000))
    def exchange_reports(self, ms: int) -> None:
        """Lets the running gateways report and answer for a time."""
        for _ in range(0, ms, 100):
            self._step()

    def _step(self) -> None:
        self.now_ms += 100
        up = [h for h in HOSTS if h not in self.down]
        for host in up:
            others = [h for h in HOSTS if h != host]
            for hub in self.hubs[host].choose(others, self.now_ms):
                if hub in up:
                    self.hubs[hub].subscribe(host, self.now_ms)
        for hub in up:
            for host in self.hubs[hub].subscribers(self.now_ms):
                if host in up:
                    self.hubs[host].note_answer(hub, self.now_ms)

    @stateful.invariant()
    def running_gateways_become_connected(self) -> None:
        """Checks that every report reaches all 10 s after the last fault."""
        up = [h for h in HOSTS if h not in self.down]
        if len(up) < 2:
            return
        saved_ms, saved = self.now_ms, self.hubs
        for _ in range(0, 10_000, 100):
            self._step()
            if self._connected(up):
                break
        else:
            raise AssertionError(f"{up} stay split")
        self.now_ms, self.hubs = saved_ms, saved

    def _connected(self, up: list[str]) -> bool:
        links: dict[str, set[str]] = {h: set() for h in up}
        for hub in up:
            for host in self.hubs[hub].subscribers(self.now_ms):
                if host in up:
                    links[hub].add(host)
                    links[host].add(hub)
        reached, todo = {up[0]}, [up[0]]
        while todo:
            for host in links[todo.pop()] - reached:
                reached.add(host)
                todo.append(host)
        return reached == set(up)


TestZone = ZoneMachine.TestCase
TestZone.settings = hypothesis.settings(
    max_examples=25, stateful_step_count=12, deadline=None
)
