"""Exact checks of a token bucket against recorded times."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Span:
    """When a request was sent and when its response began, in seconds.

    The decision to admit it fell at some moment in between.
    """

    sent: float
    answered: float


def certain_excess(spans: list[Span], rate: float, burst: float) -> float:
    """Returns how many requests were certainly admitted above the limit.

    For each window that starts when a request was sent and ends when a
    response began, only requests whose whole span is inside are counted, so
    jitter in the sender can't show an excess that isn't there. Returns the
    largest excess over rate x length + burst, at least 0.
    """
    by_answer = sorted(spans, key=lambda span: span.answered)
    worst = 0.0
    for start in {span.sent for span in spans}:
        count = 0
        for span in by_answer:
            if span.sent < start:
                continue
            count += 1
            allowed = rate * (span.answered - start) + burst
            worst = max(worst, count - allowed)
    return worst


def point_excess(times: list[float], rate: float, burst: float) -> float:
    """Returns the largest excess over any window of these exact times.

    Windows that start and end at a request are enough: any other window can
    be shrunk without losing a request.
    """
    worst = 0.0
    best_start = float("-inf")
    for index, time in enumerate(sorted(times)):
        best_start = max(best_start, rate * time - index)
        worst = max(worst, index + 1 - rate * time + best_start - burst)
    return worst


def conforming(times: list[float], rate: float, burst: float) -> list[bool]:
    """Tells which requests one ideal bucket, full at first, would admit.

    `times` must be in order.
    """
    admitted: list[bool] = []
    level, last = burst, times[0] if times else 0.0
    for time in times:
        level = min(burst, level + rate * (time - last))
        last = time
        inside = level >= 1
        level -= inside
        admitted.append(inside)
    return admitted
