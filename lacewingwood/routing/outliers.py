"""Judges replicas by the share of requests that failed there lately.

A replica's own health says little: it may pass its check and fail requests, or
fail its check and serve them. One gateway of many sends a replica too few
requests to tell, so gateways tell each other their outcomes. These fade, so a
replica that is no longer used comes back into use by itself: first for
requests that may run again elsewhere, then for all.
"""

import dataclasses
import enum

# Half of a replica's outcomes are forgotten after this time: some five requests
# at the usual rates, and a fault is over within seconds.
_HALF_LIFE_MS = 1_500.0
# A replica fails if more than this share of its requests did; lost and garbled
# answers alone stay below a tenth.
_FAILING_SHARE = 0.2
# With this share nearly nothing gets through, and it is used last of all.
_DEAD_SHARE = 0.7
# Failures, after fading, from which a replica is avoided, and from which only
# requests that may run again are sent there.
_LEAST_AVOIDED = 1.5
_LEAST_PROBATION = 0.4
# Counts go to other gateways as whole numbers of this part of a request.
UNITS = 100

Counts = tuple[int, int]
NONE: Counts = (0, 0)


class Standing(enum.IntEnum):
    """What a replica may be used for, best first."""

    SOUND = 0
    PROBATION = 1
    FAILING = 2
    DEAD = 3


@dataclasses.dataclass(slots=True)
class Outcomes:
    """Outcomes of this gateway's requests at one replica, fading with time."""

    succeeded: float = 0.0
    failed: float = 0.0
    at_ms: float = 0.0

    def note(self, failed: bool, now_ms: float) -> None:
        """Adds one outcome."""
        self._fade(now_ms)
        if failed:
            self.failed += 1
        else:
            self.succeeded += 1

    def counts(self, now_ms: float) -> Counts:
        """Returns what is left of good and failed ones, in `UNITS`."""
        self._fade(now_ms)
        return round(self.succeeded * UNITS), round(self.failed * UNITS)

    def _fade(self, now_ms: float) -> None:
        factor = 0.5 ** ((now_ms - self.at_ms) / _HALF_LIFE_MS)
        self.succeeded *= factor
        self.failed *= factor
        self.at_ms = now_ms


def classify(counts: Counts) -> Standing:
    """Returns the standing of a replica with these outcomes, in `UNITS`."""
    succeeded, failed = counts[0] / UNITS, counts[1] / UNITS
    if failed < _LEAST_PROBATION or failed < _FAILING_SHARE * (
        succeeded + failed
    ):
        return Standing.SOUND
    if failed < _LEAST_AVOIDED:
        return Standing.PROBATION
    if failed < _DEAD_SHARE * (succeeded + failed):
        return Standing.FAILING
    return Standing.DEAD
