"""Tests of what callers get from replicas and zones that are uneven.

Load is played on a fleet twice, once by gateways that learn nothing from the
streams that they serve, and once by gateways that do.
"""

import random
import statistics
from collections.abc import Callable
from collections.abc import Mapping

import pytest
import trio
from trio import testing as trio_testing

from tests.routing import fleets

_REPLICAS = 18
_ZONES = 3
_EVEN = {"z0": 1.0, "z1": 1.0, "z2": 1.0}
# A full replica takes 2.2 times as long as an idle one. 100 streams a second
# then use about two thirds of all slots.
_GROWTH = 0.8
_PER_S = 100.0

Shape = Callable[[fleets.Fleet], None]


def _third_slow(fleet: fleets.Fleet) -> None:
    """Makes a third of the replicas of each zone slow for good."""
    _share_hosts(fleet)
    for n, replica in enumerate(fleet.replicas.values()):
        if n // _ZONES % 3 == 0:
            replica.slowness = lambda: 1.3


def _share_hosts(fleet: fleets.Fleet) -> None:
    """Makes all replicas say that work on their hosts takes as usual."""
    for replica in fleet.replicas.values():
        replica.figure = lambda: 1.0


def _wrong_figures(fleet: fleets.Fleet) -> None:
    """Makes replicas of usual speed say that they are slow, or quick."""
    for n, replica in enumerate(fleet.replicas.values()):
        figure = (8.0, 0.1, 1.0, 1.0)[n % 4]
        replica.figure = lambda figure=figure: figure


def _moments(fleet: fleets.Fleet, late_ms: float) -> None:
    """Makes replicas take twice as long in a tenth of all periods of 0.15 s.

    What they say of it is `late_ms` old.
    """

    def at(name: str, age_ms: float) -> float:
        period = int((trio.current_time() * 1000 - age_ms) / 150)
        return 2.0 if random.Random(f"{name} {period}").random() < 0.1 else 1.0

    for name, replica in fleet.replicas.items():
        replica.slowness = lambda name=name: at(name, 0)
        replica.figure = lambda name=name: at(name, late_ms)


async def _play(
    learns: bool,
    shape: Shape,
    seed: int = 1,
    coordinated: bool = True,
    zones: Mapping[str, float] = _EVEN,
    per_s: float = _PER_S,
    warm_s: float = 6.0,
) -> fleets.Outcome:
    """Returns what callers got in 10 s, after `warm_s` of learning."""
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(
            nursery, gateways=18, replicas=_REPLICAS, zones=_ZONES, seed=seed
        )
        fleet.learns, fleet.coordinated = learns, coordinated
        for replica in fleet.replicas.values():
            replica.growth = _GROWTH
        shape(fleet)
        nursery.start_soon(fleet.exchange_reports)
        await fleet.play_streams(per_s, warm_s, zones)
        fleet.outcome.first_events_ms.clear()
        fleet.outcome.chosen.clear()
        await fleet.play_streams(per_s, 10, zones)
        await trio.sleep(2)
        nursery.cancel_scope.cancel()
    return fleet.outcome


def _percentile(outcome: fleets.Outcome, share: float) -> float:
    times = sorted(outcome.first_events_ms)
    return times[int(share * len(times))]


def _in_time(outcome: fleets.Outcome) -> float:
    times = outcome.first_events_ms
    late = sum(t > fleets.OBJECTIVE_MS for t in times) + outcome.refused
    return 1 - late / len(times)


@pytest.mark.parametrize("coordinated", [True, False])
async def test_equal_replicas_are_chosen_as_before(
    autojump_clock: trio_testing.MockClock, coordinated: bool
) -> None:
    """Guards against other choices where nothing is uneven.

    With a slowness of exactly 1.0 the order of replicas is that of their load.
    """

    async def watch(fleet: fleets.Fleet) -> None:
        while True:
            await trio.sleep(0.1)
            now_ms = trio.current_time() * 1000
            for gateway in fleet.gateways:
                replicas = gateway.dispatcher.fleet.all()
                assert {r.slowness(now_ms) for r in replicas} == {1.0}
                assert not gateway.client._spillover._spilling

    def shape(fleet: fleets.Fleet) -> None:
        _share_hosts(fleet)
        fleet.nursery.start_soon(watch, fleet)

    await _play(True, shape, coordinated=coordinated)


async def test_more_first_events_are_in_time_with_slow_replicas(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against slow replicas that get as many requests as others."""
    before, after = [
        await _play(learns, _third_slow, warm_s=12) for learns in (False, True)
    ]
    # Seen: 0.89 and 0.81, 311 and 347 ms.
    assert _in_time(after) > _in_time(before) + 0.02
    assert _percentile(after, 0.95) < 0.98 * _percentile(before, 0.95)


@pytest.mark.parametrize(
    "shape",
    [
        _wrong_figures,
        lambda fleet: _moments(fleet, late_ms=0),
        lambda fleet: _moments(fleet, late_ms=700),
    ],
    ids=["wrong", "moments", "stale"],
)
async def test_figures_of_hosts_cost_little(
    autojump_clock: trio_testing.MockClock, shape: Shape
) -> None:
    """Guards against requests that are late because of a figure."""
    before, after = [await _play(x, shape) for x in (False, True)]
    # More than four times the spread of the difference between two plays.
    assert _in_time(after) > _in_time(before) - 0.06
    means = [statistics.mean(x.first_events_ms) for x in (before, after)]
    assert means[1] < 1.08 * means[0]


async def test_requests_of_a_busy_zone_use_the_others(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a zone that is slow while its neighbours are idle."""
    zones = {"z0": 4.0, "z1": 1.0, "z2": 1.0}
    before, after = [
        await _play(learns, _share_hosts, zones=zones, per_s=60, warm_s=12)
        for learns in (False, True)
    ]
    # Seen: 198 and 237 ms.
    assert _percentile(after, 0.5) < 0.93 * _percentile(before, 0.5)
    assert _in_time(after) >= _in_time(before)


async def test_busy_zone_whose_coordinator_is_lost_uses_the_others(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against spill-over that needs the coordinator of its zone.

    The gateways learn of its end 1.5 s later.
    """

    async def lose_coordinator(fleet: fleets.Fleet) -> None:
        await trio.sleep(13)
        lost = {g.host for g in fleet.gateways if "lm/z0/0" in g.server.dump()}
        assert len(lost) == 1
        fleet.bus.silent = lost
        await trio.sleep(1.5)
        fleet.known_dead = lost

    def shape(fleet: fleets.Fleet) -> None:
        _share_hosts(fleet)
        fleet.nursery.start_soon(lose_coordinator, fleet)

    after = await _play(
        True,
        shape,
        zones={"z0": 4.0, "z1": 1.0, "z2": 1.0},
        per_s=60,
        warm_s=12,
    )
    assert _in_time(after) > 0.9
    elsewhere = [c for c in after.chosen if int(c[1:]) % _ZONES != 0]
    # A third of the requests come from the other zones.
    assert len(elsewhere) > 0.36 * len(after.chosen)
