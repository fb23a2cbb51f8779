"""Rate limits of customers and of replicas, shared by all gateways.

Each gateway keeps a token bucket per customer. The bucket is refilled at the
customer's whole rate and drained by the gateway's own admissions and by those
that its peers report. While reports of some peers are missing, the bucket is
refilled only at the share of the rate that belongs to the gateways with
reports. The parts of a partitioned fleet then admit the agreed rate together.
"""

import dataclasses
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

# Share of the tolerances that is used; the rest covers requests that peers
# admit before their reports arrive.
_TOLERANCE_SHARE = 0.5
# Requests that peers admitted before their reports arrived may overdraw the
# bucket by at most this many seconds of the rate.
_MAX_DEBT_S = 2.0
_MIN_RETRY_AFTER_MS = 100.0
# A changed count is included in the reports for this long, since reports can be
# lost. Unchanged counts are left out: most customers send nothing to most
# gateways.
_REPORT_CHANGES_MS = 2_000.0
# Several times the customers of a large deployment; some 100 bytes each.
_MAX_REMOVED_COUNTS = 10_000
# A customer is near its limit if its tokens last for less than this time at its
# whole rate.
_NEAR_LIMIT_S = 0.5


@dataclasses.dataclass(slots=True)
class _Bucket:
    """One customer's bucket.

    Attributes:
        rate: Tokens per second for the whole fleet.
        burst: Maximum number of tokens.
        level: Number of tokens; negative after late reports.
        updated_ms: Time of the newest update of `level`.
        admitted: Requests admitted here since the start of the process.
        admitted_ms: Time of the newest of these admissions.
        counted: True if admissions are counted also without a rate.
    """

    rate: float
    burst: float
    level: float
    updated_ms: float
    admitted: int = 0
    admitted_ms: float = float("-inf")
    counted: bool = False


class SharedLimits:
    """Admits requests within each customer's rate and burst.

    Attributes:
        levels_known: True once the levels were initialized from a peer.
        on_reported: Called with a name, the number of admissions that a peer
            reports anew, and the time.
        share: Share of the rate that belongs to this gateway and the peers
            whose reports arrive.
    """

    __slots__ = (
        "_buckets",
        "_burst_tolerance",
        "_counts_first_report",
        "_rate_tolerance",
        "_removed_counts",
        "_reported",
        "levels_known",
        "on_reported",
        "share",
    )

    def __init__(
        self,
        rate_tolerance: float = 0.0,
        burst_tolerance: float = 0.0,
        counts_first_report: bool = False,
    ) -> None:
        """Creates limits without customers.

        Counts over many gateways are never exact. The tolerances define by how
        much a customer may exceed its agreed limit. Half of them is added to
        the limit, so that requests within the agreed limit are not refused.

        Args:
            rate_tolerance: Share by which rate and burst may be exceeded.
            burst_tolerance: Number of requests that may be admitted on top of
                that.
            counts_first_report: True if the count of a peer that was not heard
                of before is all taken from the bucket. This suits limits that
                come into being while requests run.
        """
        self._rate_tolerance = rate_tolerance * _TOLERANCE_SHARE
        self._burst_tolerance = burst_tolerance * _TOLERANCE_SHARE
        self._counts_first_report = counts_first_report
        self.levels_known = False
        self.on_reported: Callable[[str, int, float], None]
        self.on_reported = lambda name, count, now_ms: None
        self.share = 1.0
        self._buckets: dict[str, _Bucket] = {}
        self._reported: dict[str, tuple[int, dict[str, int]]] = {}
        # Counts of removed buckets, the oldest first. Peers know them, and
        # would take no lower count for new admissions.
        self._removed_counts: dict[str, int] = {}

    def admit(self, customer: str, now_ms: float) -> float | None:
        """Admits a request, or returns after how many ms to retry it."""
        bucket = self._buckets.get(customer)
        if bucket is None or bucket.rate <= 0:
            return None
        self._refill(bucket, now_ms)
        if bucket.level < 1:
            wait_ms = (1 - bucket.level) / (bucket.rate * self.share) * 1000
            return max(wait_ms, _MIN_RETRY_AFTER_MS)
        self.note_admission(customer, now_ms)
        return None

    def note_admission(self, name: str, now_ms: float) -> None:
        """Takes a token for a request that was admitted."""
        bucket = self._buckets.get(name)
        if bucket is None:
            return
        if bucket.rate > 0:
            self._refill(bucket, now_ms)
            bucket.level -= 1
        elif not bucket.counted:
            return
        bucket.admitted += 1
        bucket.admitted_ms = now_ms

    def count(self, names: Iterable[str], now_ms: float) -> None:
        """Counts admissions under exactly these names also without a rate."""
        wanted = set(names)
        for name, bucket in list(self._buckets.items()):
            was_counted, bucket.counted = bucket.counted, name in wanted
            if was_counted and not bucket.counted and bucket.rate <= 0:
                self.remove(name)
        for name in wanted - self._buckets.keys():
            self.set_rate(name, 0.0, 0.0, now_ms)
            self._buckets[name].counted = True

    def configure(
        self, rates: Mapping[str, tuple[float, float]], now_ms: float
    ) -> None:
        """Sets the agreed rates and bursts of all customers.

        The bucket of a new customer starts nearly empty: requests that the
        fleet admitted before this process started or received the customer's
        configuration are not known.
        """
        for customer in [c for c in self._buckets if c not in rates]:
            self.remove(customer)
        for customer, (agreed_rate, agreed_burst) in rates.items():
            self.set_rate(customer, agreed_rate, agreed_burst, now_ms)

    def set_rate(
        self, name: str, agreed_rate: float, agreed_burst: float, now_ms: float
    ) -> None:
        """Sets a rate per second, 0 for no limit, and a burst.

        Admissions are counted only while there is a limit.
        """
        factor = 1 + self._rate_tolerance
        rate = agreed_rate * factor
        burst = agreed_burst * factor + self._burst_tolerance
        bucket = self._buckets.get(name)
        if bucket is None:
            initial_level = self._burst_tolerance * _TOLERANCE_SHARE
            bucket = _Bucket(rate, burst, initial_level, now_ms)
            bucket.admitted = self._removed_counts.pop(name, 0)
            self._buckets[name] = bucket
        self._refill(bucket, now_ms)
        bucket.rate, bucket.burst = rate, burst

    def remove(self, name: str) -> None:
        """Removes a bucket; its count goes on if it is set again."""
        bucket = self._buckets.pop(name, None)
        if bucket is None or not bucket.admitted:
            return
        self._removed_counts[name] = bucket.admitted
        if len(self._removed_counts) > _MAX_REMOVED_COUNTS:
            del self._removed_counts[next(iter(self._removed_counts))]

    def end_rate(self, name: str, now_ms: float) -> None:
        """Ends a limit; its bucket is kept while admissions are counted."""
        bucket = self._buckets.get(name)
        if bucket is not None and bucket.counted:
            self.set_rate(name, 0.0, 0.0, now_ms)
        else:
            self.remove(name)

    def has_customer_near_limit(self) -> bool:
        """Returns whether a customer of this gateway is near its limit."""
        return any(
            b.admitted and b.level < b.rate * _NEAR_LIMIT_S
            for b in self._buckets.values()
            if b.rate > 0
        )

    def level(self, customer: str, now_ms: float | None = None) -> float | None:
        """Returns a customer's tokens, None if it has no bucket.

        Args:
            customer: The customer.
            now_ms: Present time, None for the tokens at the last change.
        """
        bucket = self._buckets.get(customer)
        if bucket is None:
            return None
        if now_ms is not None:
            self._refill(bucket, now_ms)
        return bucket.level

    def recent_admissions(self, now_ms: float) -> dict[str, int]:
        """Returns recently changed counts of admissions, for the peers."""
        oldest_ms = now_ms - _REPORT_CHANGES_MS
        return {
            name: bucket.admitted
            for name, bucket in self._buckets.items()
            if bucket.admitted_ms >= oldest_ms
        }

    def levels(self) -> dict[str, float]:
        """Returns the tokens of all customers, to initialize a peer."""
        return {name: b.level for name, b in self._buckets.items()}

    def init_levels(self, levels: Mapping[str, float], now_ms: float) -> None:
        """Initializes the levels from a peer; later calls have no effect."""
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
        """Takes a peer's reported admissions from the buckets.

        Args:
            node: The peer.
            started_ms: Start time of the peer's process, which identifies it.
            admitted: Number of requests that the process has admitted, by
                customer. Reports may arrive out of order.
            now_ms: Present time.
        """
        # Admissions before a peer's first report are not counted here. The
        # counts of a restarted peer begin at zero.
        reported_before = node in self._reported
        known_started_ms, known_counts = self._reported.get(node, (0, {}))
        if started_ms != known_started_ms:
            known_counts = (
                dict.fromkeys(known_counts, 0) if reported_before else {}
            )
            self._reported[node] = started_ms, known_counts
        for customer, count in admitted.items():
            first_count = 0 if self._counts_first_report else count
            known_count = known_counts.get(customer, first_count)
            known_counts[customer] = max(count, known_count)
            new_admissions = count - known_count
            bucket = self._buckets.get(customer)
            if new_admissions > 0:
                self.on_reported(customer, new_admissions, now_ms)
            if new_admissions > 0 and bucket is not None:
                self._refill(bucket, now_ms)
                min_level = -bucket.rate * _MAX_DEBT_S
                bucket.level = max(bucket.level - new_admissions, min_level)

    def _refill(self, bucket: _Bucket, now_ms: float) -> None:
        elapsed_s = max(0.0, now_ms - bucket.updated_ms) / 1000
        bucket.updated_ms = now_ms
        gained = elapsed_s * bucket.rate * self.share
        bucket.level = min(bucket.burst, bucket.level + gained)
