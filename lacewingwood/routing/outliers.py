"""Passive outlier detection: classifies replicas by recent failure rates.

Health checks are a poor signal: a replica may pass its check and fail requests,
or fail its check and serve them. A single gateway sends a replica too few
requests to classify it, so gateways exchange their outcomes. Outcomes decay
exponentially, so a replica that gets no requests returns to use by itself:
first for requests that can be retried elsewhere, then for all.
"""

import dataclasses
import enum

# Half-life of the outcome counts. A replica gets about five requests in this
# time at usual rates, and faults end within seconds.
_HALF_LIFE_MS = 1_500.0
# A replica is failing from this share of failed requests on. Lost and garbled
# responses alone amount to less than a tenth.
_FAILING_SHARE = 0.2
# With this share of failures hardly any request succeeds, and the replica is
# used only if all others are as bad.
_DEAD_SHARE = 0.7
# Minimum number of failures, after decay, for a replica to be avoided, and for
# it to be on probation, when it gets only requests that can be retried.
_MIN_FAILURES_FAILING = 1.5
_MIN_FAILURES_PROBATION = 0.4
# A request that was answered sooner by a second attempt at another replica
# counts as this part of a failure: one alone must not bring a replica on
# probation, while one that is slow each time has to be avoided.
_OUTRUN_FAILURES = 0.35
# Counts are sent to other gateways as integers in units of 1/100 of a request.
UNITS = 100

Counts = tuple[int, int]
NONE: Counts = (0, 0)


class Standing(enum.IntEnum):
    """Classes of replicas by failure rate, from best to worst.

    Attributes:
        SOUND: For all requests.
        PROBATION: For requests that can be retried elsewhere.
        FAILING: For online requests that can be retried elsewhere if no better
            replica is free; for all requests if there is no better one.
        DEAD: For all requests if all replicas are dead.
    """

    SOUND = 0
    PROBATION = 1
    FAILING = 2
    DEAD = 3


@dataclasses.dataclass(slots=True)
class Outcomes:
    """Exponentially decaying counts of one gateway's outcomes at a replica.

    Attributes:
        succeeded: Successful requests, as of `at_ms`.
        failed: Failed requests, as of `at_ms`.
        at_ms: Time up to which the counts have decayed.
    """

    succeeded: float = 0.0
    failed: float = 0.0
    at_ms: float = 0.0

    def note(self, failed: bool, now_ms: float) -> None:
        """Adds one outcome."""
        self._decay(now_ms)
        if failed:
            self.failed += 1
        else:
            self.succeeded += 1

    def note_outrun(self, now_ms: float) -> None:
        """Adds a request that another replica answered sooner."""
        self._decay(now_ms)
        self.failed += _OUTRUN_FAILURES

    def counts(self, now_ms: float) -> Counts:
        """Returns the decayed counts of successes and failures, in `UNITS`."""
        self._decay(now_ms)
        return round(self.succeeded * UNITS), round(self.failed * UNITS)

    def _decay(self, now_ms: float) -> None:
        factor = 0.5 ** ((now_ms - self.at_ms) / _HALF_LIFE_MS)
        self.succeeded *= factor
        self.failed *= factor
        self.at_ms = now_ms


def classify(counts: Counts) -> Standing:
    """Returns the standing of a replica with these counts, in `UNITS`."""
    succeeded, failed = counts[0] / UNITS, counts[1] / UNITS
    if failed < _MIN_FAILURES_PROBATION or failed < _FAILING_SHARE * (
        succeeded + failed
    ):
        return Standing.SOUND
    if failed < _MIN_FAILURES_FAILING:
        return Standing.PROBATION
    if failed < _DEAD_SHARE * (succeeded + failed):
        return Standing.FAILING
    return Standing.DEAD
