"""Orders replicas by the expected finish of a request.

This answers load on replicas that differ in speed; see `speeds`. Among replicas
whose speed is as usual the order is that of their load.
"""

import math

from lacewingwood.routing import load

# Growth of a request's duration, as a logarithm, from an idle to a full replica
# if it is not known, and the bounds of what is taken from runs. Without the
# lower one all requests would go to the quicker replicas until these are full,
# and the choice would rest on small errors of the speeds.
_SLOPE = 0.5
_MIN_SLOPE = 0.3
_MAX_SLOPE = 1.25
# How much the load counts: a request that is added also lengthens those that
# run beside it, by about as much in sum as itself.
_LOAD_WEIGHT = 2.0
# A slow replica runs at least this share of its slots, so that a wrong speed
# costs little capacity.
_MIN_SHARE = 0.25


def finish(replica: load.Replica, busy_share: float, now_ms: float) -> float:
    """Returns a sort key by the expected finish of a request.

    It is the used share of a replica of usual speed at which one more request
    costs as much time, its own and that of those beside it.

    Args:
        replica: The replica.
        busy_share: Used share of its slots, or of its own limit.
        now_ms: Current time.
    """
    slowness = replica.slowness(now_ms)
    if slowness == 1.0:
        return busy_share
    weight = _LOAD_WEIGHT * _slope(replica)
    return busy_share + math.log(slowness) / weight


def usable_slots(
    replica: load.Replica,
    arrived_ms: float,
    objective_ms: float,
    now_ms: float,
) -> int:
    """Returns how many online requests a replica may run at once.

    At a replica that is slower than usual this is the number at which the first
    event still comes within the objective. A request that is late already may
    use all slots: waiting would only make it later.
    """
    slots = replica.slots
    slowness = replica.slowness(now_ms)
    if (
        slowness <= 1.0
        or objective_ms <= 0
        or now_ms > arrived_ms + objective_ms
    ):
        return slots
    usual = replica.speed.service.first_event
    if not usual.known or usual.slope < _MIN_SLOPE:
        # Fewer requests at once would not bring the first event earlier.
        return slots
    left = math.log(objective_ms / slowness) - usual.at(0.0)
    count = math.floor(slots * left / usual.slope)
    return min(slots, max(count, math.ceil(slots * _MIN_SHARE)))


def _slope(replica: load.Replica) -> float:
    usual = replica.speed.service.gaps
    if not usual.known:
        return _SLOPE
    return max(_MIN_SLOPE, min(_MAX_SLOPE, usual.slope))
