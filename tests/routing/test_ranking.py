"""Tests of the order of replicas and of the slots that slow ones use."""

import math

from lacewingwood.routing import directory
from lacewingwood.routing import load
from lacewingwood.routing import ranking


def _replica(deviation: float = 0.0) -> load.Replica:
    """Returns a replica whose service takes twice as long at full slots."""
    replica = load.Replica(directory.Listing("r0", "s", "a:1", "z", 8))
    service = replica.speed.service
    service.shares_hosts = True
    for n in range(200):
        share = (n % 8 + 1) / 8
        y = math.log(100) + share * math.log(2)
        service.first_event.add(share, y, 1.0, 0)
        service.gaps.add(share, y - math.log(3), 1.0, 0)
    if deviation:
        for _ in range(100):
            replica.speed.note_deviation(deviation, 1.0, 0)
    return replica


def test_replicas_of_usual_speed_are_ordered_by_load() -> None:
    """Guards against other choices where all replicas are equal."""
    shares = [0.1, 0.1 + 1e-16, 1 / 3, 0.9999999999999999, 1.0]
    assert [ranking.finish(_replica(), x, 0) for x in shares] == shares


def test_slow_replica_is_chosen_once_others_are_busier() -> None:
    """Guards against choosing by counts alone, and against idle slow ones."""
    slow, usual = _replica(math.log(1.3)), _replica()
    finish = ranking.finish(slow, 0.0, 0)
    assert ranking.finish(usual, 0.125, 0) < finish
    assert finish < ranking.finish(usual, 0.875, 0)


def test_slow_replica_uses_the_slots_that_meet_the_objective() -> None:
    """Guards against first events that come late at full slots."""
    usual, slow = _replica(), _replica(math.log(2))
    assert ranking.usable_slots(usual, 0, 250, 0) == 8
    assert ranking.usable_slots(slow, 0, 500, 0) == 8
    assert 2 < ranking.usable_slots(slow, 0, 300, 0) < 8
    # However slow it is, it keeps some.
    assert ranking.usable_slots(slow, 0, 100, 0) == 2
    # A request that is late already does not wait.
    assert ranking.usable_slots(slow, 0, 300, 301) == 8


def test_slots_are_not_reduced_without_need() -> None:
    """Guards against capacity that is lost for nothing.

    The first event is not known, or does not depend on the load.
    """
    unknown = load.Replica(directory.Listing("r0", "s", "a:1", "z", 8))
    flat = load.Replica(directory.Listing("r0", "s", "a:1", "z", 8))
    for n in range(200):
        flat.speed.service.first_event.add(n % 8 / 8, math.log(280), 1.0, 0)
    for replica in (unknown, flat):
        replica.speed.note_figure(1.5, 0)
        assert ranking.usable_slots(replica, 0, 300, 0) == 8
