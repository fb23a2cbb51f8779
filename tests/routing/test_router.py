"""Tests of the router."""

import random

import hypothesis
from hypothesis import strategies as st

from lacewingwood.hostlist import types as host_types
from lacewingwood.peers import messages
from lacewingwood.routing import outcomes
from lacewingwood.routing import router as routers
from lacewingwood.upstreams import types as upstream_types

_REQUEST = routers.RouteRequest(service="lm", model="m", queue_if_full=True)


def _host(
    replica: str, zone: str = "a", state: str = "live"
) -> host_types.Host:
    return host_types.Host(
        replica, f"{replica}:1", "engine", "lm", zone, "r", state
    )


def _report(slots: int = 4, leaving: bool = False) -> upstream_types.LoadReport:
    return upstream_types.LoadReport(
        running=0,
        waiting=0,
        slots=slots,
        kv_used=0,
        step_ms=30,
        leaving=leaving,
        versions={},
        boot_id="b",
    )


def _make(count: int, candidates: int = 2, zone: str = "a") -> routers.Router:
    settings = routers.Settings(zone=zone, candidates=candidates)
    router = routers.Router(settings, random.Random(7))
    router.fleet.update_hosts([_host(f"e{i}") for i in range(count)])
    for i in range(count):
        router.fleet.apply_load(f"e{i}", _report())
    return router


def _start(
    router: routers.Router, now_ms: float, req: routers.RouteRequest = _REQUEST
) -> routers.InFlight:
    choice = router.choose(req, now_ms)
    assert isinstance(choice, routers.Choice), choice
    return router.started(choice, req, now_ms)


_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["start", "finish", "fail", "report", "leave", "wait"]),
        st.integers(0, 5),
        st.integers(0, 12),
    ),
    max_size=40,
)


@hypothesis.given(events=_EVENTS, full=st.booleans())
def test_choice_matches_a_linear_scan(
    events: list[tuple[str, int, int]], full: bool
) -> None:
    """Guards against bookkeeping that omits or offers the wrong replicas."""
    router = _make(6, candidates=6)
    req = routers.RouteRequest("lm", "m", queue_if_full=full)
    in_flight: list[routers.InFlight] = []
    now_ms = 10_000.0
    for kind, index, amount in events:
        match kind:
            case "start":
                choice = router.choose(req, now_ms)
                _compare(router, req, choice, now_ms)
                if isinstance(choice, routers.Choice):
                    in_flight.append(router.started(choice, req, now_ms))
            case "finish" if in_flight:
                done = in_flight.pop(index % len(in_flight))
                router.finished(done, outcomes.Completed(), now_ms)
            case "fail" if in_flight:
                done = in_flight.pop(index % len(in_flight))
                router.finished(done, outcomes.Broken(), now_ms)
            case "report":
                report = messages.ReplicaWord(
                    f"e{index}", amount, 0, 0, False, int(now_ms)
                )
                router.fleet.apply_holder_report(report, now_ms)
            case "leave":
                router.fleet.mark_leaving(f"e{index}")
            case "wait":
                now_ms += amount * 300
    for running in in_flight:
        router.finished(running, outcomes.Cancelled(), now_ms)
    own = [router.fleet.get(f"e{i}") for i in range(6)]
    assert all(
        replica is not None and replica.own_in_flight == 0 for replica in own
    )


def _compare(
    router: routers.Router,
    req: routers.RouteRequest,
    choice: routers.Choice | routers.NoReplica,
    now_ms: float,
) -> None:
    """Checks a choice against a scan of all replicas."""
    replicas = [router.fleet.get(f"e{i}") for i in range(6)]
    live = [r for r in replicas if r is not None and not r.leaving]
    probes = [
        r for r in live if 0 < r.ejected_until_ms <= now_ms and not r.probing
    ]
    usable = [
        r
        for r in live
        if not r.ejected_until_ms
        and (
            req.queue_if_full
            or r.own_in_flight + _others_in_flight(r, now_ms) < r.slots
        )
    ]
    if probes:
        assert isinstance(choice, routers.Choice)
        assert choice.probe
        assert choice.replica in probes
    elif usable:
        assert isinstance(choice, routers.Choice)
        best = min(router.expected_ms(r, req, now_ms) for r in usable)
        assert choice.replica in usable
        assert router.expected_ms(choice.replica, req, now_ms) <= best + 2
    else:
        any_admitted = any(not r.ejected_until_ms for r in live)
        assert choice == routers.NoReplica("full" if any_admitted else "none")


def _others_in_flight(replica: routers.Replica, now_ms: float) -> int:
    return (
        replica.others_in_flight
        if now_ms - replica.holder_report_ms <= 5000
        else 0
    )


def test_load_is_balanced() -> None:
    """Guards against a rush of requests to a replica that last looked idle."""
    router = _make(8)
    for _ in range(80):
        _start(router, 0)
    counts = [
        replica.own_in_flight for replica in router.fleet.of_service("lm")
    ]
    assert sum(counts) == 80
    assert max(counts) - min(counts) <= 6


def test_cached_prefix_is_preferred_until_its_replica_is_busy() -> None:
    """Guards against cold caches, and against hot spots that grow unbounded."""
    router = _make(20)
    req = routers.RouteRequest(
        "lm", "m", blocks=(1, 2, 3), prompt_tokens=200, queue_if_full=True
    )
    first = _start(router, 0, req).replica
    assert [_start(router, 0, req).replica for _ in range(3)] == [first] * 3
    later = [_start(router, 0, req).replica for _ in range(30)]
    assert len({replica.id for replica in later}) > 4


def test_own_zone_breaks_ties_only() -> None:
    """Guards against needless cross-zone requests, and against having none."""
    router = routers.Router(
        routers.Settings(zone="a", candidates=4), random.Random(1)
    )
    router.fleet.update_hosts([_host("far", "b"), _host("near", "a")])
    for replica in ("far", "near"):
        router.fleet.apply_load(replica, _report(slots=1))
    assert _start(router, 0).replica.id == "near"
    assert _start(router, 0).replica.id == "far"


def test_leaving_is_accepted_from_any_source() -> None:
    """Guards against routing to a replica that a lagging list shows as live."""
    for source in ("list", "load", "report", "refusal"):
        router = _make(2, candidates=2)
        running = _start(router, 0)
        leaving_id = running.replica.id
        match source:
            case "list":
                router.fleet.update_hosts(
                    [
                        _host("e0"),
                        _host("e1"),
                        _host(leaving_id, state="leaving"),
                    ]
                )
            case "load":
                router.fleet.apply_load(leaving_id, _report(leaving=True))
            case "report":
                report = messages.ReplicaWord(leaving_id, 0, 0, 0, True, 1)
                router.fleet.apply_holder_report(report, 0)
            case "refusal":
                router.finished(running, outcomes.Refused(leaving=True), 0)
        router.fleet.update_hosts([_host("e0"), _host("e1")])
        chosen = {_start(router, 0).replica.id for _ in range(10)}
        assert leaving_id not in chosen


def test_reports_of_a_new_lease_holder_replace_those_of_the_former() -> None:
    """Guards against ignoring a new holder, whose serials start again."""
    router = _make(2, candidates=2)
    former = messages.ReplicaWord("e0", 0, 0, 0, False, serial=900, epoch=5)
    router.fleet.apply_holder_report(former, 0)
    new = messages.ReplicaWord("e0", 0, 0, 0, True, serial=1, epoch=8)
    router.fleet.apply_holder_report(new, 0)
    assert {_start(router, 0).replica.id for _ in range(10)} == {"e1"}


def test_failing_replica_is_ejected_probed_and_readmitted() -> None:
    """Guards against routing to a failing replica and against never reusing it.

    A failing replica is ejected, then probed by one request at a time, and
    readmitted after a success.
    """
    router = _make(2)
    failing = router.fleet.get("e0")
    assert failing is not None
    for _ in range(2):
        choice = routers.Choice(failing)
        running = router.started(choice, _REQUEST, 0)
        router.finished(running, outcomes.Unreachable(), 0)
    assert {_start(router, 10).replica.id for _ in range(5)} == {"e1"}
    probe = _start(router, 3000)
    assert probe.replica is failing
    assert probe.probe
    assert _start(router, 3000).replica.id == "e1", "one probe at a time"
    router.first_token(probe, 3010)
    router.finished(probe, outcomes.Completed(), 3020)
    assert {_start(router, 3030).replica.id for _ in range(9)} == {"e0", "e1"}


def test_slow_replica_is_ejected_but_a_slow_fleet_is_not() -> None:
    """Guards against ejecting all replicas when the whole fleet slows down."""
    router = _make(8)
    for replica in router.fleet.of_service("lm"):
        running = router.started(routers.Choice(replica), _REQUEST, 0)
        slow = replica.id in ("e0", "e1", "e2", "e3")
        router.first_token(running, 900 if slow else 100)
        router.finished(running, outcomes.Completed(), 1000)
    for replica in router.fleet.of_service("lm"):
        running = router.started(routers.Choice(replica), _REQUEST, 2000)
        slow = replica.id in ("e0", "e1", "e2", "e3")
        router.first_token(running, 2900 if slow else 2100)
    assert len(router.fleet.ejected) <= 2


def test_refusing_replica_is_paused() -> None:
    """Guards against a replica that refuses at once and so looks idle."""
    router = _make(2)
    running = _start(router, 0)
    router.finished(running, outcomes.Refused(), 0)
    chosen = {_start(router, 1).replica.id for _ in range(5)}
    assert running.replica.id not in chosen
    assert running.replica.id not in router.fleet.ejected
