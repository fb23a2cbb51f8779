"""Compares the times of runs with those that are usual in their service."""

import math

from lacewingwood.routing import load
from lacewingwood.routing import speeds
from lacewingwood.routing import usual_times
from lacewingwood.upstreams import runs

# Events after the first from which on the time between them is used.
_MIN_GAPS = 4
# Share of a stream's time spent on a slow caller from which on the time between
# its events says nothing about the replica.
_MAX_PAUSED_SHARE = 0.1
# Weight, for what is usual, of a run at a replica whose speed is not. It is not
# 0, so that a change of all replicas becomes usual.
_UNUSUAL_WEIGHT = 0.25


def compare(
    replica: load.Replica,
    notice: runs.Notice,
    sent_ms: float,
    timing: runs.Timing,
    now_ms: float,
) -> speeds.Deviation:
    """Compares a run with what is usual, and learns what is usual from it.

    Args:
        replica: The replica that ran it.
        notice: What the replica said of itself when the run began.
        sent_ms: When the request was sent.
        timing: When its events came.
        now_ms: Current time.
    """
    if not replica.speed.service.shares_hosts:
        return speeds.NO_DEVIATION
    running = notice.in_flight
    if running < 0:
        running = replica.in_flight(now_ms)
    share = running / replica.slots
    speed = replica.speed
    usual_weight = _UNUSUAL_WEIGHT if speed.is_unusual(now_ms) else 1.0
    total = weight = 0.0
    for usual, duration_ms, sample_weight in _samples(
        speed.service, share, sent_ms, timing
    ):
        y = math.log(duration_ms)
        if usual.known:
            change = y - usual.at(share)
            limit = speeds.MAX_DEVIATION
            total += sample_weight * max(-limit, min(limit, change))
            weight += sample_weight
        usual.add(share, y, usual_weight, now_ms)
    return (total / weight if weight else 0.0), weight


def _samples(
    service: usual_times.Service,
    share: float,
    sent_ms: float,
    timing: runs.Timing,
) -> list[tuple[usual_times.Usual, float, float]]:
    """Returns the times of a run that can be compared, with their weights."""
    samples: list[tuple[usual_times.Usual, float, float]] = []
    # Beyond the slots, the first event waited for other requests.
    if share <= 1 and timing.first_ms > sent_ms:
        first_ms = timing.first_ms - sent_ms
        samples.append(
            (service.first_event, first_ms, usual_times.FIRST_EVENT_WEIGHT)
        )
    span_ms = timing.last_ms - timing.first_ms
    if (
        timing.gaps >= _MIN_GAPS
        and span_ms > 0
        and timing.paused_ms <= _MAX_PAUSED_SHARE * span_ms
    ):
        samples.append((service.gaps, span_ms / timing.gaps, 1.0))
    return samples
