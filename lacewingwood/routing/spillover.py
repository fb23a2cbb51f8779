"""Sends part of a zone's requests to a zone where they finish earlier.

This answers zones that are loaded unevenly. Requests stay in their zone while
the expected finish is about equal, since bytes between zones cost. The part
that leaves follows from the difference and never exceeds half, so that zones
whose figures are late do not swap their load.
"""

import math
import random
from collections.abc import Iterable
from collections.abc import Mapping

import structlog

from lacewingwood.routing import load

# Gain of time in another zone from which on requests leave their zone, and the
# one below which they stay again.
_BEGIN_GAIN = 0.2
_END_GAIN = 0.1
_MAX_SHARE = 0.5
# Growth of the duration, as a logarithm, from an idle to a full replica below
# which load is taken to have no influence.
_MIN_SLOPE = 0.3
_MAX_SLOPE = 1.5

_log = structlog.get_logger()


class Spillover:
    """Decides which requests leave their zone; performs no I/O."""

    __slots__ = ("_rng", "_spilling")

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        # Services of which requests leave the zone at present.
        self._spilling: set[str] = set()

    def zone(
        self, service: str, home: str, durations: Mapping[str, float]
    ) -> str:
        """Returns the zone whose replicas a request asks first.

        Args:
            service: Its service.
            home: This gateway's zone.
            durations: Expected duration in each zone, in any unit.
        """
        if durations.get(home, math.inf) == math.inf:
            return home
        best = min(durations, key=lambda zone: (durations[zone], zone != home))
        gain = 1 - durations[best] / durations[home]
        spilling = service in self._spilling
        if gain < (_END_GAIN if spilling else _BEGIN_GAIN):
            if spilling:
                self._spilling.remove(service)
                _log.info("requests stay in their zone", service=service)
            return home
        if not spilling:
            self._spilling.add(service)
            _log.info(
                "requests leave their zone",
                service=service,
                zone=best,
                gain=round(gain, 2),
            )
        return best if self._rng.random() < min(_MAX_SHARE, gain) else home


def duration(
    replicas: Iterable[load.Replica], now_ms: float, home: bool
) -> float:
    """Returns the expected duration of a request at a group of replicas.

    It is relative to an idle group of usual speed, and grows with the load only
    as far as runs have shown it to. A load within the usual spread of its
    number, the square root, does not count against the home zone.

    Args:
        replicas: The group.
        now_ms: Current time.
        home: True if the group is of the request's own zone.
    """
    staying = [replica for replica in replicas if not replica.leaving]
    if not staying:
        return math.inf
    slots = sum(replica.slots for replica in staying)
    speed = sum(r.slots / r.slowness(now_ms) for r in staying)
    usual = staying[0].speed.service.first_event
    if not usual.known or usual.slope < _MIN_SLOPE:
        return slots / speed
    in_flight = float(sum(r.in_flight(now_ms) for r in staying))
    spread = math.sqrt(in_flight)
    in_flight += -spread if home else spread
    share = min(1.0, in_flight / slots)
    return math.exp(min(_MAX_SLOPE, usual.slope) * share) * slots / speed
