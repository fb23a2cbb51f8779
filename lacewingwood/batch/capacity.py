"""How many batch items one replica may run beside online requests.

The invariant is `online + batch + reserve <= slots`: running online requests,
running batch items and the slots reserved for online requests that arrive next
never exceed the slots of the engine. This module does no I/O; times in ms are
passed in.
"""

import collections
import dataclasses
import math

from lacewingwood.upstreams import types

# An entry process is silent if its count is not 0 and was not repeated for this
# time. Entry processes repeat such counts at least twice in this time.
ENTRY_TIMEOUT_MS = 1_000.0
# A new holder of the replica's lease starts no items for this time, so that the
# counts of the entry processes arrive first.
STARTUP_WAIT_MS = 1_000.0

# Batch items stop when the last load report is older than this. Reports lag by
# less than this as long as the engine answers.
_MAX_REPORT_AGE_MS = 10_000.0
# The rate of online arrivals is measured over this window.
_ARRIVAL_WINDOW_MS = 5_000.0
# At least one slot stays reserved for this time after the last online arrival.
_RESERVE_HOLD_MS = 10_000.0
# Time from the arrival of an online request until the engine has received the
# cancellation of a batch item.
_CANCEL_LATENCY_MS = 10.0
# The count of an entry process without requests is dropped after this time.
_IDLE_ENTRY_MAX_AGE_MS = 60_000.0
# Load reports lag. A report may exceed the counts by requests that started or
# ended within this time.
_MAX_REPORT_LAG_MS = 2_000.0


@dataclasses.dataclass(slots=True)
class _OnlineCount:
    """Last count of online requests from an entry process."""

    running: int
    serial: int
    received_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """Batch items to start or cancel on the replica.

    Attributes:
        start: Number of items that may be started now.
        cancel: Keys of items to cancel now, most recently started first.
        reason: Why no item may run at all, or empty.
    """

    start: int
    cancel: list[str]
    reason: str = ""


class ReplicaCapacity:
    """Tracks the load of one replica and limits its batch items.

    Items are identified by keys that the caller chooses.

    Attributes:
        running: Keys of running items that are not cancelled, in order of
            their start.
        cancelling: Keys of items that are cancelled and still on the engine.
        paused: True if no item may start until the next load report.
    """

    __slots__ = (
        "_arrivals",
        "_counts",
        "_created_ms",
        "_last_arrival_ms",
        "_leaving",
        "_load",
        "_peaks",
        "_report_received_ms",
        "cancelling",
        "paused",
        "running",
    )

    def __init__(self, now_ms: float) -> None:
        self._created_ms = now_ms
        self._counts: dict[str, _OnlineCount] = {}
        self._load: types.LoadReport | None = None
        self._report_received_ms = -math.inf
        self._leaving = False
        self._arrivals: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._last_arrival_ms = -math.inf
        self._peaks: collections.deque[tuple[float, int]] = collections.deque()
        self.running: dict[str, None] = {}
        self.cancelling: set[str] = set()
        self.paused = False

    @property
    def online_count(self) -> int:
        """Online requests in flight, as counted by the entry processes."""
        return sum(entry.running for entry in self._counts.values())

    @property
    def batch_count(self) -> int:
        """Number of running items that are not cancelled."""
        return len(self.running)

    @property
    def engine_waiting(self) -> int:
        """Requests queued in the engine at its last load report."""
        return self._load.waiting if self._load is not None else 0

    @property
    def leaving(self) -> bool:
        """Whether the replica must get no new work."""
        reported = self._load is not None and self._load.leaving
        return self._leaving or reported

    @property
    def slots(self) -> int:
        """Requests that the engine can run at a time, 0 if unknown."""
        return self._load.slots if self._load is not None else 0

    def update_online_count(
        self, entry: str, running: int, serial: int, now_ms: float
    ) -> bool:
        """Stores an entry process's count of online requests.

        Args:
            entry: Node id of the entry process.
            running: Its online requests in flight to the replica.
            serial: Serial number of the message.
            now_ms: The time.

        Returns:
            False if the message is outdated and was ignored.
        """
        last = self._counts.get(entry)
        if last is not None and serial <= last.serial:
            return False
        before = last.running if last is not None else 0
        self._record_peak(now_ms)
        self._counts[entry] = _OnlineCount(max(0, running), serial, now_ms)
        if running > before:
            self._arrivals.append((now_ms, running - before))
            self._last_arrival_ms = now_ms
        self._record_peak(now_ms)
        return True

    def update_load(self, load: types.LoadReport, now_ms: float) -> None:
        """Stores a load report of the engine and ends a pause."""
        self._load = load
        self.paused = False
        self._report_received_ms = now_ms

    def pause(self) -> None:
        """Starts no items until the next load report."""
        self.paused = True

    def set_leaving(self, leaving: bool) -> None:
        """Stores whether the host list has the replica as leaving."""
        self._leaving = leaving

    def add_item(self, item: str, now_ms: float) -> None:
        """Adds an item that was sent to the engine."""
        self.running[item] = None
        self._record_peak(now_ms)

    def remove_item(self, item: str, now_ms: float) -> None:
        """Removes an item that is no longer on the engine."""
        self._record_peak(now_ms)
        self.running.pop(item, None)
        self.cancelling.discard(item)

    def drop_dead_entries(self, alive: set[str], now_ms: float) -> None:
        """Drops the counts of entry processes that died or are long idle.

        Args:
            alive: Node ids of the members. An entry process that is silent and
                not among them is dead.
            now_ms: The time.
        """
        for name, entry in list(self._counts.items()):
            silent_ms = now_ms - entry.received_ms
            dead = name not in alive and silent_ms >= ENTRY_TIMEOUT_MS
            unused = not entry.running and silent_ms >= _IDLE_ENTRY_MAX_AGE_MS
            if dead or unused:
                del self._counts[name]

    def entry_ids(self) -> list[str]:
        """Returns the node ids of the entry processes that sent counts."""
        return list(self._counts)

    def silent_entries(self, now_ms: float) -> list[str]:
        """Returns entry processes with requests whose counts are overdue."""
        return [
            name
            for name, entry in self._counts.items()
            if entry.running and now_ms - entry.received_ms >= ENTRY_TIMEOUT_MS
        ]

    def reserved_slots(self, now_ms: float) -> int:
        """Returns the slots reserved for online requests that arrive next."""
        if now_ms - self._last_arrival_ms > _RESERVE_HOLD_MS or not self.slots:
            return 0
        while (
            self._arrivals
            and now_ms - self._arrivals[0][0] > _ARRIVAL_WINDOW_MS
        ):
            self._arrivals.popleft()
        step_ms = self._load.step_ms if self._load is not None else 0.0
        arrived = sum(count for _, count in self._arrivals)
        mean = arrived / _ARRIVAL_WINDOW_MS * (step_ms + _CANCEL_LATENCY_MS)
        # For a Poisson process, the mean plus two standard deviations covers
        # about 98% of the intervals.
        wanted = math.ceil(mean + 2 * math.sqrt(mean))
        return min(max(wanted, 1), max(1, self.slots // 4))

    def item_limit(self, lease_current: bool, now_ms: float) -> tuple[int, str]:
        """Returns how many items may run, and the reason if none may.

        Args:
            lease_current: Whether the lease of the replica is held and the view
                of the state is current.
            now_ms: The time.
        """
        reason = self._unavailable_reason(lease_current, now_ms)
        if reason:
            return 0, reason
        free = self.slots - self.online_count - self._uncounted_requests(now_ms)
        return max(0, free - self.reserved_slots(now_ms)), ""

    def decide(self, lease_current: bool, now_ms: float) -> Decision:
        """Returns items to cancel, or else how many may start.

        Items to cancel restore the invariant and move to `cancelling`.
        """
        capacity, reason = self.item_limit(lease_current, now_ms)
        excess = self.batch_count - capacity
        if excess <= 0:
            # A cancelled item occupies its slot until the engine releases it.
            free = max(0, -excess - len(self.cancelling))
            return Decision(0 if self.paused else free, [], reason)
        cancel = list(self.running)[-excess:][::-1]
        for item in cancel:
            del self.running[item]
            self.cancelling.add(item)
        return Decision(0, cancel, reason)

    def _unavailable_reason(self, lease_current: bool, now_ms: float) -> str:
        if not lease_current:
            return "stale"
        if self.leaving:
            return "leaving"
        if now_ms - self._created_ms < STARTUP_WAIT_MS:
            return "settling"
        if now_ms - self._report_received_ms > _MAX_REPORT_AGE_MS:
            return "no_report"
        if self.silent_entries(now_ms):
            return "silent"
        return ""

    def _uncounted_requests(self, now_ms: float) -> int:
        """Returns reported requests that are in no count.

        They are neither batch items nor online requests that an entry process
        counts. The report is compared with the highest recent count, because it
        lags.
        """
        if self._load is None:
            return 0
        while self._peaks and now_ms - self._peaks[0][0] > _MAX_REPORT_LAG_MS:
            self._peaks.popleft()
        counted = self.online_count + self.batch_count + len(self.cancelling)
        peak = self._peaks[0][1] if self._peaks else 0
        reported = self._load.running + self._load.waiting
        return max(0, reported - max(counted, peak))

    def _record_peak(self, now_ms: float) -> None:
        """Records the number of counted requests for `_uncounted_requests`."""
        counted = self.online_count + self.batch_count + len(self.cancelling)
        # The totals are kept in falling order, so that the first is the
        # highest.
        while self._peaks and self._peaks[-1][1] <= counted:
            self._peaks.pop()
        self._peaks.append((now_ms, counted))
