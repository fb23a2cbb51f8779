"""Exact checks of a token bucket limit against recorded times."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Span:
    """Times at which a request was sent and its response began, in seconds.

    The limiter admitted the request at some time in between.
    """

    sent: float
    answered: float


def certain_excess(spans: list[Span], rate: float, burst: float) -> float:
    """Returns a lower bound of the requests admitted above the limit.

    For each window that starts when a request was sent and ends when a
    response began, only requests whose whole span is inside are counted, so
    that jitter of the sender can't be taken for an excess. Returns the largest
    excess over rate x length + burst, at least 0.
    """
    by_answer = sorted(spans, key=lambda span: span.answered)
    largest = 0.0
    for start in {span.sent for span in spans}:
        count = 0
        for span in by_answer:
            if span.sent < start:
                continue
            count += 1
            allowed = rate * (span.answered - start) + burst
            largest = max(largest, count - allowed)
    return largest


def point_excess(times: list[float], rate: float, burst: float) -> float:
    """Returns the largest excess over any window of these exact times.

    Windows that start and end at a request are enough: any other window can
    be shrunk without losing a request.
    """
    largest = 0.0
    best_start = float("-inf")
    for index, time in enumerate(sorted(times)):
        best_start = max(best_start, rate * time - index)
        largest = max(largest, index + 1 - rate * time + best_start - burst)
    return largest


def conforming(times: list[float], rate: float, burst: float) -> list[bool]:
    """Returns which requests an ideal token bucket would admit.

    The bucket is full at first; `times` must be sorted.
    """
    admitted: list[bool] = []
    level, last = burst, times[0] if times else 0.0
    for time in times:
        level = min(burst, level + rate * (time - last))
        last = time
        conforms = level >= 1
        level -= conforms
        admitted.append(conforms)
    return admitted
