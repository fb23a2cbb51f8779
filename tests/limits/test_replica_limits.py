"""Tests of the limits that replicas name, over several gateways."""

import collections
import random

import hypothesis
from hypothesis import strategies as st

from lacewingwood import configuration
from lacewingwood.limits import cold_replicas
from lacewingwood.limits import replica_limits
from lacewingwood.peers import gateway_messages
from lacewingwood.routing import directory

_REPLICA = "r0/1"
# What the users allow: half as much again as the limit and five requests more
# in each window, once a limit has been named for this long.
_WINDOW_MS = 4_000.0
_TAKES_EFFECT_MS = 3_000.0
_POLL_MS = 20.0
_REPORT_MS = 25.0


def _allowed(rate: float) -> float:
    return 1.5 * rate * _WINDOW_MS / 1000 + 5


def _most_in_window(times: list[float], window_ms: float = _WINDOW_MS) -> int:
    return max(
        (sum(t <= other < t + window_ms for other in times) for t in times),
        default=0,
    )


class _Gateway:
    def __init__(self, name: str, started_ms: int) -> None:
        self.name, self.started_ms = name, started_ms
        self.limits = replica_limits.ReplicaLimits()


class _Fleet:
    """Gateways with more requests than a replica takes.

    Each tries to send at every poll. Reports arrive `lag_ms` after the counts
    changed; a gateway learns the limit from the responses to its own requests
    and from reports.

    Attributes:
        rate: The limit that the replica names, None for no limit.
        parts: Number of parts that hear nothing of each other.
        sent: When requests reached the replica.
    """

    def __init__(
        self,
        count: int,
        rate: float | None,
        lag_ms: float,
        cold_rate: float = 0.0,
    ) -> None:
        self.rate = rate
        self._cold_rate = cold_rate
        self.parts = 1
        self.sent: list[float] = []
        self.now_ms = 100_000.0
        self._lag_ms = lag_ms
        self._starts = 0
        self._gateways = [self._make(f"g{n:02}") for n in range(count)]
        self._reports: collections.deque[
            tuple[
                float,
                int,
                _Gateway,
                dict[str, gateway_messages.ReplicaLimit],
                dict[str, int],
            ]
        ] = collections.deque()

    def run(self, duration_ms: float) -> None:
        """Plays a time with more requests than the replica takes."""
        end_ms, report_ms = self.now_ms + duration_ms, self.now_ms
        while self.now_ms < end_ms:
            self._deliver()
            if self.now_ms >= report_ms:
                report_ms += _REPORT_MS
                self._report()
            for n in range(len(self._gateways)):
                self._try_to_send(n)
            self.now_ms += _POLL_MS

    def restart(self, index: int) -> None:
        """Replaces a gateway; the new one copies what another one knows."""
        old = self._gateways[index]
        new = self._gateways[index] = self._make(old.name)
        copied = self._gateways[index - 1].limits.copy(self.now_ms)
        new.limits.note_limits(copied, self.now_ms)

    def _make(self, name: str) -> _Gateway:
        self._starts += 1
        gateway = _Gateway(name, self._starts)
        if self._cold_rate:
            service = configuration.Service("s", 3_000, self._cold_rate)
            bounds = cold_replicas.bounds([service], 1.5, 5)
            gateway.limits.cold.configure(bounds)
            listing = directory.Listing("r0", "s", "", "z", 8, started_ms=1)
            gateway.limits.update_replicas([listing], self.now_ms)
        return gateway

    def _part(self, index: int) -> int:
        return index % self.parts

    def _try_to_send(self, index: int) -> None:
        limits = self._gateways[index].limits
        live = range(self._part(index), len(self._gateways), self.parts)
        limits.share = len(live) / len(self._gateways)
        stagger_s = replica_limits.stagger_s(
            live.index(index), len(live), int(self.now_ms)
        )
        turn = live.index(index), len(live), int(self.now_ms)
        if not limits.may_send(
            _REPLICA, self.now_ms, stagger_s=stagger_s, turn=turn
        ):
            return
        limits.note_sent(_REPLICA, self.now_ms)
        self.sent.append(self.now_ms)
        limits.note_response(_REPLICA, self.rate, self.now_ms)

    def _report(self) -> None:
        for n, gateway in enumerate(self._gateways):
            limits = gateway.limits
            self._reports.append(
                (
                    self.now_ms + self._lag_ms,
                    n,
                    gateway,
                    limits.report(self.now_ms),
                    limits.recently_sent(self.now_ms),
                )
            )

    def _deliver(self) -> None:
        while self._reports and self._reports[0][0] <= self.now_ms:
            _, sender, gateway, limits, sent = self._reports.popleft()
            for n, receiver in enumerate(self._gateways):
                if n == sender or self._part(n) != self._part(sender):
                    continue
                receiver.limits.note_limits(limits, self.now_ms)
                receiver.limits.note_report(
                    gateway.name, gateway.started_ms, sent, self.now_ms
                )


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(
    gateways=st.integers(1, 16),
    rate=st.sampled_from([0.3, 1.0, 2.8, 12.0]),
    lag_ms=st.sampled_from([0.0, 10.0]),
    disturbance=st.sampled_from(["none", "cut", "restart", "halved"]),
)
def test_gateways_keep_to_a_replicas_limit_together(
    gateways: int, rate: float, lag_ms: float, disturbance: str
) -> None:
    """Guards against more requests than a replica takes from all gateways."""
    fleet = _Fleet(gateways, rate, lag_ms)
    fleet.run(_TAKES_EFFECT_MS)
    checked_ms = fleet.now_ms
    fleet.run(6_000)
    match disturbance:
        case "cut":
            fleet.parts = min(2, gateways)
        case "restart":
            fleet.restart(random.Random(gateways).randrange(gateways))
        case "halved":
            fleet.rate = rate = rate / 2
            fleet.run(_TAKES_EFFECT_MS)
            checked_ms = fleet.now_ms
    fleet.run(12_000)
    sent = [t for t in fleet.sent if t >= checked_ms]
    assert _most_in_window(sent) <= _allowed(rate)
    # The limit is used, not divided among gateways that can't use their part.
    late = [t for t in sent if t >= fleet.now_ms - 10_000]
    assert len(late) >= 0.7 * rate * 10 - 1


@hypothesis.settings(max_examples=40, deadline=None)
@hypothesis.given(
    gateways=st.integers(1, 16),
    cold_rate=st.sampled_from([1.0, 7.1, 20.0]),
    lag_ms=st.sampled_from([0.0, 10.0]),
    disturbance=st.sampled_from(["none", "cut", "restart"]),
)
def test_gateways_keep_to_the_bound_of_a_cold_replica_together(
    gateways: int, cold_rate: float, lag_ms: float, disturbance: str
) -> None:
    """Guards against a burst in the second in which a replica turns cold."""
    fleet = _Fleet(gateways, None, lag_ms, cold_rate)
    fleet.run(3_000)
    match disturbance:
        case "cut":
            fleet.parts = min(2, gateways)
        case "restart":
            fleet.restart(random.Random(gateways).randrange(gateways))
    fleet.run(6_000)
    assert _most_in_window(fleet.sent, 1_000) <= 1.5 * cold_rate + 5
    assert len(fleet.sent) >= 0.5 * cold_rate * 9


def test_limit_ends_with_a_response_that_names_none() -> None:
    """Guards against a limit that is kept after its end."""
    limits = replica_limits.ReplicaLimits()
    limits.note_response(_REPLICA, 1.0, 1_000)
    assert not limits.may_send(_REPLICA, 1_000)
    limits.note_response(_REPLICA, None, 1_100)
    assert limits.rate(_REPLICA) is None
    assert all(limits.may_send(_REPLICA, 1_100) for _ in range(100))


def test_newest_response_decides_wherever_it_came() -> None:
    """Guards against an old report that revives or ends a limit."""
    limits = replica_limits.ReplicaLimits()
    limits.note_response(_REPLICA, 2.0, 1_000)
    old = gateway_messages.ReplicaLimit(None, 500)
    limits.note_limits({_REPLICA: old}, 1_100)
    assert limits.rate(_REPLICA) == 2.0
    new = gateway_messages.ReplicaLimit(5.0, 50)
    limits.note_limits({_REPLICA: new}, 1_100)
    assert limits.rate(_REPLICA) == 5.0


def test_replica_that_takes_nothing_is_still_asked() -> None:
    """Guards against a replica that is never used again after a limit of 0."""
    limits = replica_limits.ReplicaLimits()
    limits.note_response(_REPLICA, 0.0, 0)
    sent = 0
    for now_ms in range(0, 60_000, 20):
        if limits.may_send(_REPLICA, now_ms):
            limits.note_sent(_REPLICA, now_ms)
            sent += 1
    assert 10 <= sent <= 20


def test_batch_work_leaves_requests_to_online_work() -> None:
    """Guards against online requests that wait while items use the limit."""
    limits = replica_limits.ReplicaLimits()
    limits.note_response(_REPLICA, 2.0, 0)
    while limits.may_send(_REPLICA, 60_000, batch=True):
        limits.note_sent(_REPLICA, 60_000)
    assert limits.may_send(_REPLICA, 60_000)


def test_restarted_replica_has_no_limit() -> None:
    """Guards against a limit that outlives the process that named it."""
    limits = replica_limits.ReplicaLimits()
    limits.note_response(_REPLICA, 1.0, 0)
    assert limits.rate("r0/2") is None


def test_unlimited_replicas_take_no_memory_or_reports() -> None:
    """Guards against a cost on days without limits."""
    limits = replica_limits.ReplicaLimits()
    for n in range(100):
        limits.note_response(f"r{n}/1", None, 0)
        limits.note_sent(f"r{n}/1", 0)
    assert not limits.copy(0)
    assert not limits.recently_sent(0)
    assert not limits.is_urgent(0)
