"""Customers' rates over all gateways, by counts that they tell each other.

Each gateway keeps a token bucket for each customer, filled at the customer's
whole rate and emptied by its own admissions and by those that its peers
report. While peers that should report are silent, the bucket fills at the
share of the rate that belongs to those that are heard: parts of the fleet
that can't hear each other then admit the agreed rate in sum.
"""

import dataclasses
from collections.abc import Mapping

# Share of the tolerances that is used: the rest is for what peers admit
# before their reports come.
_TOLERANCE_SHARE = 0.5
# Reports come late: what peers admitted meanwhile may overdraw the bucket by
# at most this many seconds of the rate.
_MAX_DEBT_S = 2.0
_MIN_RETRY_MS = 100.0
# A count that changed is told for this long, since reports can be lost. Most
# customers are quiet at most gateways, and need not be told again and again.
_TELL_MS = 2_000.0
# A customer with tokens for less than this time is at its limit.
_CONTENDED_S = 0.5


@dataclasses.dataclass(slots=True)
class _Bucket:
    """One customer's bucket.

    Attributes:
        rate: Tokens a second over the whole fleet.
        burst: Most tokens.
        level: Tokens now; negative after late reports.
        at_ms: When `level` was brought up to date.
        admitted: Requests admitted here since the start of the process.
        admitted_ms: When the last one was.
    """

    rate: float
    burst: float
    level: float
    at_ms: float
    admitted: int = 0
    admitted_ms: float = float("-inf")


class SharedLimits:
    """Admits requests within each customer's rate and burst.

    Attributes:
        levels_known: True once a peer's levels were taken over.
        share: Share of the rate that belongs to gateways that are heard, this
            one included.
    """

    __slots__ = (
        "_buckets",
        "_burst_tolerance",
        "_rate_tolerance",
        "_reported",
        "levels_known",
        "share",
    )

    def __init__(
        self, rate_tolerance: float = 0.0, burst_tolerance: float = 0.0
    ) -> None:
        """Makes limits without customers.

        No count over many gateways is exact. The tolerances say by how much a
        customer may exceed its agreement; half of them keeps requests that
        are inside it from being refused.

        Args:
            rate_tolerance: Share of rate and burst that may be exceeded.
            burst_tolerance: Requests that may come on top of that.
        """
        self._rate_tolerance = rate_tolerance * _TOLERANCE_SHARE
        self._burst_tolerance = burst_tolerance * _TOLERANCE_SHARE
        self.levels_known = False
        self.share = 1.0
        self._buckets: dict[str, _Bucket] = {}
        self._reported: dict[str, tuple[int, dict[str, int]]] = {}

    def admit(self, customer: str, now_ms: float) -> float | None:
        """Admits a request, or returns the time after which to try again."""
        bucket = self._buckets.get(customer)
        if bucket is None or bucket.rate <= 0:
            return None
        self._refill(bucket, now_ms)
        if bucket.level < 1:
            wait_ms = (1 - bucket.level) / (bucket.rate * self.share) * 1000
            return max(wait_ms, _MIN_RETRY_MS)
        bucket.level -= 1
        bucket.admitted += 1
        bucket.admitted_ms = now_ms
        return None

    def configure(
        self, rates: Mapping[str, tuple[float, float]], now_ms: float
    ) -> None:
        """Takes over all customers' rates and bursts.

        A customer's bucket starts nearly empty: what was admitted before this
        process started, or heard of the customer, is not known.
        """
        factor = 1 + self._rate_tolerance
        for customer in [c for c in self._buckets if c not in rates]:
            del self._buckets[customer]
        for customer, (agreed_rate, agreed_burst) in rates.items():
            rate = agreed_rate * factor
            burst = agreed_burst * factor + self._burst_tolerance
            bucket = self._buckets.get(customer)
            if bucket is None:
                first = self._burst_tolerance * _TOLERANCE_SHARE
                bucket = _Bucket(rate, burst, first, now_ms)
                self._buckets[customer] = bucket
            self._refill(bucket, now_ms)
            bucket.rate, bucket.burst = rate, burst

    def has_customer_near_limit(self) -> bool:
        """Returns whether a customer that sends here is at its limit."""
        return any(
            b.admitted and b.level < b.rate * _CONTENDED_S
            for b in self._buckets.values()
            if b.rate > 0
        )

    def level(self, customer: str) -> float | None:
        """Returns a customer's tokens, None if it sent nothing yet."""
        bucket = self._buckets.get(customer)
        return bucket.level if bucket else None

    def recent_admissions(self, now_ms: float) -> dict[str, int]:
        """Returns customers' counts that changed lately, for the peers."""
        limit_ms = now_ms - _TELL_MS
        return {
            name: bucket.admitted
            for name, bucket in self._buckets.items()
            if bucket.admitted_ms >= limit_ms
        }

    def levels(self) -> dict[str, float]:
        """Returns the tokens of all customers, for new processes."""
        return {name: b.level for name, b in self._buckets.items()}

    def init_levels(self, levels: Mapping[str, float], now_ms: float) -> None:
        """Starts from a peer's levels; only the first ones count."""
        if self.levels_known:
            return
        self.levels_known = True
        for customer, level in levels.items():
            bucket = self._buckets.get(customer)
            if bucket is not None:
                self._refill(bucket, now_ms)
                bucket.level = min(bucket.burst, max(bucket.level, level))

    def note_report(
        self,
        node: str,
        started_ms: int,
        admitted: Mapping[str, int],
        now_ms: float,
    ) -> None:
        """Takes over what a peer has admitted since its start.

        Args:
            node: The peer.
            started_ms: Tells its process from those before.
            admitted: Counts since then; reports may overtake each other.
            now_ms: Present time.
        """
        # What a peer admitted before its first report is not counted here;
        # one that has started anew counts from zero.
        restarted = node in self._reported
        at_ms, known = self._reported.get(node, (0, {}))
        if started_ms != at_ms:
            known = dict.fromkeys(known, 0) if restarted else {}
            self._reported[node] = started_ms, known
        for customer, count in admitted.items():
            before = known.get(customer, count)
            known[customer] = max(count, before)
            new = count - before
            bucket = self._buckets.get(customer)
            if new > 0 and bucket is not None:
                self._refill(bucket, now_ms)
                least = -bucket.rate * _MAX_DEBT_S
                bucket.level = max(bucket.level - new, least)

    def _refill(self, bucket: _Bucket, now_ms: float) -> None:
        elapsed_s = max(0.0, now_ms - bucket.at_ms) / 1000
        bucket.at_ms = now_ms
        gained = elapsed_s * bucket.rate * self.share
        bucket.level = min(bucket.burst, bucket.level + gained)
