"""Tests of replicas' speeds that are learned from runs."""

import math
import random

import pytest

from lacewingwood.peers import digests
from lacewingwood.peers import gateway_messages
from lacewingwood.routing import directory
from lacewingwood.routing import load
from lacewingwood.routing import run_times
from lacewingwood.upstreams import runs

_COUNT = 9
_SLOW = ("r0", "r3", "r6")


def _fleet(shares_hosts: bool = True) -> load.Fleet:
    """Returns a fleet of replicas r0 to r8, which share their hosts."""
    fleet = load.Fleet()
    for n in range(_COUNT):
        fleet.directory.put(directory.Listing(f"r{n}", "s", "a:1", "z", 8))
    fleet.refresh()
    service = fleet.of_service("s")[0].speed.service
    service.shares_hosts = shares_hosts
    return fleet


def test_speeds_are_not_learned_unless_replicas_tell_of_their_hosts() -> None:
    """Guards against other choices where replicas have hosts of their own."""
    fleet = _fleet(shares_hosts=False)
    _play(fleet)
    assert {r.slowness(40_000) for r in fleet.all()} == {1.0}
    assert fleet.speeds.report(40_000) == {}


def _play(
    fleet: load.Fleet,
    slow: tuple[str, ...] = _SLOW,
    until_ms: float = 40_000,
    noise: float = 0.1,
    figures: dict[str, float] | None = None,
    growth: float = 0.5,
    seed: int = 1,
) -> None:
    """Plays runs at random replicas, 36 a second, from time 0 on.

    Args:
        fleet: The fleet that learns from them.
        slow: Replicas that take 1.3 times as long.
        until_ms: Time of the last run.
        noise: Standard deviation of the logarithm of a run's times.
        figures: What replicas say of their hosts.
        growth: Growth of the logarithm from an idle to a full replica.
        seed: Seed of the random numbers.
    """
    rng = random.Random(seed)
    now_ms = 0.0
    while now_ms < until_ms:
        now_ms += 28.0
        replica = fleet.get(f"r{rng.randrange(_COUNT)}")
        assert replica is not None
        running = rng.randint(1, 8)
        factor = math.exp(growth * running / 8 + rng.gauss(0, noise))
        factor *= 1.3 if replica.listing.id in slow else 1.0
        first_ms = now_ms + 100 * factor * math.exp(rng.gauss(0, 0.3))
        timing = runs.Timing(first_ms, first_ms + 18 * 30 * factor, 18)
        figure = (figures or {}).get(replica.listing.id)
        notice = runs.Notice(running, slowness=figure)
        fleet.note_notice(replica, notice, now_ms)
        deviation = run_times.compare(replica, notice, now_ms, timing, now_ms)
        if deviation[1]:
            replica.speed.note_deviation(*deviation, now_ms)


def _slowness(fleet: load.Fleet, now_ms: float = 40_000) -> dict[str, float]:
    return {r.listing.id: r.slowness(now_ms) for r in fleet.all()}


def test_slow_replicas_are_learned() -> None:
    """Guards against a lasting difference of speed that nobody notices.

    Replicas take longer at a high load, which says nothing of their speed.
    """
    fleet = _fleet()
    _play(fleet)
    for replica_id, slowness in _slowness(fleet).items():
        if replica_id in _SLOW:
            assert 1.15 <= slowness <= 1.4
        else:
            assert slowness == 1.0


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("noise", [0.02, 0.1, 0.3])
def test_equal_replicas_are_exactly_equal(noise: float, seed: int) -> None:
    """Guards against noise that changes the choice among equal replicas."""
    for until_ms in (500, 1_000, 2_000, 5_000, 10_000):
        fleet = _fleet()
        _play(fleet, (), until_ms, noise, seed=seed)
        assert set(_slowness(fleet, until_ms).values()) == {1.0}


def test_slowness_is_forgotten_without_runs() -> None:
    """Guards against a replica that is avoided for what it once was."""
    fleet = _fleet()
    _play(fleet)
    assert set(_slowness(fleet, 51_000).values()) == {1.0}


def test_change_of_all_replicas_becomes_usual() -> None:
    """Guards against a deployment all of whose replicas stay slow for ever."""
    fleet = _fleet()
    _play(fleet, ())
    _play(fleet, tuple(f"r{n}" for n in range(_COUNT)), 160_000)
    assert max(_slowness(fleet, 160_000).values()) < 1.15


def test_figure_counts_for_a_moment() -> None:
    """Guards against a choice by what a host was like a second ago."""
    fleet = _fleet()
    _play(fleet, (), figures=dict.fromkeys(_SLOW, 1.0))
    replica = fleet.get("r0")
    assert replica is not None
    fleet.note_notice(replica, runs.Notice(1, slowness=1.8), 40_000)
    assert 1.5 <= replica.slowness(40_000) <= 1.8
    assert replica.slowness(40_300) < 1.15


def test_wrong_figures_count_for_little() -> None:
    """Guards against a replica that is avoided for a figure that is wrong.

    Its runs tell that it is as quick as the others. Without runs the figure
    counts, up to one and a half times the usual.
    """
    fleet = _fleet()
    _play(fleet, (), figures={"r0": 8.0, "r1": 0.1})
    slowness = _slowness(fleet)
    assert 1.0 <= slowness["r0"] < 1.2
    assert 0.8 < slowness["r1"] <= 1.0
    other = _fleet()
    replica = other.get("r0")
    assert replica is not None
    for now_ms in range(0, 3_000, 100):
        other.note_notice(replica, runs.Notice(1, slowness=1e9), now_ms)
    assert replica.slowness(4_000) <= 1.5
    assert replica.slowness(60_000) < 1.01


def test_gateways_share_what_they_know_at_first_hand() -> None:
    """Guards against gateways that each see too few runs to know a speed.

    Nor may what was heard be told on, which would keep it for ever.
    """
    told = [_fleet() for _ in range(6)]
    for seed, fleet in enumerate(told):
        _play(fleet, until_ms=5_000, seed=seed)
    reports = [
        gateway_messages.GatewayReport(
            f"g{n}", "", 0, 0, {}, {}, {}, speeds=fleet.speeds.report(5_000)
        )
        for n, fleet in enumerate(told)
    ]
    listener = _fleet()
    # What is usual is known from own runs, which may be few.
    _play(listener, until_ms=2_000)
    own = listener.speeds.report(5_000)
    near, far = reports[:3], digests.make("z2", "g3", 0, 1, reports[3:])
    for report in near:
        listener.note_report(report.host, {}, 5_000, speeds=report.speeds)
    listener.note_report("zone z2", {}, 5_000, speeds=far.speeds)
    slowness = _slowness(listener, 5_000)
    assert min(slowness[name] for name in _SLOW) > 1.1
    assert _slowness(told[0], 5_000) != slowness
    told_on = listener.speeds.report(5_000)
    assert {n: told_on[n] for n in own} == own
    # A later report replaces the one before, also by nothing.
    for node in ("g0", "g1", "g2", "zone z2"):
        listener.note_report(node, {}, 5_000)
    assert set(_slowness(listener, 5_000).values()) == {1.0}


def test_odd_evidence_of_a_peer_counts_for_little() -> None:
    """Guards against figures of another release that end the process."""
    fleet = _fleet()
    odd = {
        "r0": gateway_messages.ReplicaSpeed(math.nan, 1.0),
        "r1": gateway_messages.ReplicaSpeed(1.0, math.inf),
        "r2": gateway_messages.ReplicaSpeed(1e300, 1e300, -5.0),
        "r3": gateway_messages.ReplicaSpeed(-1.0, 1.0),
        "gone": gateway_messages.ReplicaSpeed(1.0, 1.0),
    }
    _play(fleet, ())
    fleet.note_report("g1", {}, 40_000, speeds=odd)
    slowness = _slowness(fleet)
    assert 1.0 < slowness.pop("r2") <= 8.0
    assert set(slowness.values()) == {1.0}
    assert set(_slowness(fleet, 80_000).values()) == {1.0}
