"""Tests of which requests leave their zone."""

import math
import random

from lacewingwood.routing import directory
from lacewingwood.routing import load
from lacewingwood.routing import spillover


def _zone(busy: int, slope: float = math.log(3)) -> list[load.Replica]:
    """Returns a zone's replicas, where full ones take longer than idle ones."""
    fleet = load.Fleet()
    for n in range(4):
        fleet.directory.put(directory.Listing(f"r{n}", "s", "a:1", "z", 8))
    fleet.refresh()
    service = fleet.of_service("s")[0].speed.service
    service.shares_hosts = True
    first_event = service.first_event
    for n in range(100):
        first_event.add(n % 8 / 8, 5 + slope * (n % 8) / 8, 1.0, 0)
    for replica in fleet.all():
        replica.own_counts[0] = busy
    return fleet.of_service("s")


def _duration(replicas: list[load.Replica], home: bool = True) -> float:
    return spillover.duration(replicas, 0, home)


def test_requests_stay_where_the_finish_is_about_equal() -> None:
    """Guards against bytes between zones that gain nothing."""
    spill = spillover.Spillover(random.Random(1))
    here, there = (_duration(_zone(n), n == 4) for n in (4, 3))
    for _ in range(100):
        assert spill.zone("s", "z1", {"z1": here, "z2": there}) == "z1"
    flat, idle = (_duration(_zone(n, 0.0), n == 7) for n in (7, 0))
    assert spill.zone("s", "z1", {"z1": flat, "z2": idle}) == "z1"


def test_part_of_the_requests_leaves_a_busy_zone() -> None:
    """Guards against a zone that is slow while another is idle.

    Never do all leave, as the other zone would be the busy one next.
    """
    spill = spillover.Spillover(random.Random(1))
    here, there = (_duration(_zone(n), n == 8) for n in (8, 1))
    durations = {"z1": here, "z2": there, "z3": here}
    zones = [spill.zone("s", "z1", durations) for _ in range(1000)]
    assert 400 < zones.count("z2") < 600
    assert zones.count("z3") == 0


def test_slow_replicas_make_requests_leave() -> None:
    """Guards against a zone of slow replicas that keeps its requests."""
    slow, usual = _zone(4), _zone(4)
    for replica in slow:
        for _ in range(30):
            replica.speed.note_deviation(math.log(1.5), 1.0, 0)
    assert _duration(slow) > 1.3 * _duration(usual)


def test_spillover_ends_below_where_it_begins() -> None:
    """Guards against zones that change their mind with each report."""
    spill = spillover.Spillover(random.Random(1))

    def leaving(there: float) -> int:
        durations = {"z1": 1.0, "z2": there}
        zones = [spill.zone("s", "z1", durations) for _ in range(200)]
        return zones.count("z2")

    assert leaving(0.85) == 0
    assert leaving(0.75) > 20
    assert leaving(0.85) > 10
    assert leaving(0.95) == 0
    assert leaving(0.85) == 0


def test_zone_without_replicas_is_left_as_before() -> None:
    """Guards against a division by zero where no replica is listed."""
    spill = spillover.Spillover(random.Random(1))
    assert _duration([]) == math.inf
    assert spill.zone("s", "z1", {"z2": 1.0}) == "z1"
    gone = {"z1": math.inf, "z2": math.inf}
    assert spill.zone("s", "z1", gone) == "z1"
