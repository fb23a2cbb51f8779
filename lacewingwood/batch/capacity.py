"""How many batch items one replica may hold besides online requests.

The invariant is `online + batch + reserve <= slots`. No I/O; times are passed
in, in ms.
"""

import collections
import dataclasses
import math

from lacewingwood.upstreams import types

# Entries repeat a count other than 0 at least twice in this time.
ENTRY_TIMEOUT_MS = 1_000.0
# A new holder waits for the entries' counts before it starts anything.
STARTUP_WAIT_MS = 1_000.0

# Reports lag by less than this while the engine answers at all.
_REPORT_LIFE_MS = 10_000.0
# Arrivals are counted over this time to foresee the next ones.
_ARRIVALS_MS = 5_000.0
# After the last arrival, one slot is kept for the next for this time.
_QUIET_MS = 10_000.0
# Time from an arrival until the engine has received the cancellation.
_CANCEL_MS = 10.0
# An entry without requests is forgotten after this time.
_FORGET_MS = 60_000.0
# Reports lag; requests that started or ended within this time explain a
# difference between a report and the counts.
_LAG_MS = 2_000.0


@dataclasses.dataclass(slots=True)
class _Entry:
    running: int
    serial: int
    heard_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """What to do with the replica's batch items.

    Attributes:
        start: Number of items that may be started now.
        cancel: Items to cancel now, most recently started first.
        reason: Why there is no room at all, or empty.
    """

    start: int
    cancel: list[str]
    reason: str = ""


class ReplicaCapacity:
    """Batch capacity of one replica.

    Attributes:
        running: Items started and not cancelled, in order of their start.
        stopping: Items that are cancelled and still on the engine.
        paused: True if nothing is to be started until the next load report.
    """

    __slots__ = (
        "_arrivals",
        "_entries",
        "_heard_report_ms",
        "_last_arrival_ms",
        "_leaving",
        "_load",
        "_peaks",
        "_since_ms",
        "cancelling",
        "paused",
        "running",
    )

    def __init__(self, now_ms: float) -> None:
        self._since_ms = now_ms
        self._entries: dict[str, _Entry] = {}
        self._load: types.LoadReport | None = None
        self._heard_report_ms = -math.inf
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
        """Online requests in flight by the entries' counts."""
        return sum(entry.running for entry in self._entries.values())

    @property
    def batch_count(self) -> int:
        """Items on the engine that are not cancelled."""
        return len(self.running)

    @property
    def engine_waiting(self) -> int:
        """Requests queued in the engine by its last report."""
        return self._load.waiting if self._load is not None else 0

    @property
    def leaving(self) -> bool:
        """Whether the replica is to get no new work."""
        reported = self._load is not None and self._load.leaving
        return self._leaving or reported

    @property
    def slots(self) -> int:
        """Requests that the engine can generate at once, 0 if unknown."""
        return self._load.slots if self._load is not None else 0

    def update_online_count(
        self, entry: str, running: int, serial: int, now_ms: float
    ) -> bool:
        """Takes an entry's count; returns False for one that is out of date."""
        known = self._entries.get(entry)
        if known is not None and serial <= known.serial:
            return False
        before = known.running if known is not None else 0
        self._note_peak(now_ms)
        self._entries[entry] = _Entry(max(0, running), serial, now_ms)
        if running > before:
            self._arrivals.append((now_ms, running - before))
            self._last_arrival_ms = now_ms
        self._note_peak(now_ms)
        return True

    def update_load(self, load: types.LoadReport, now_ms: float) -> None:
        """Takes a load report of the engine."""
        self._load = load
        self.paused = False
        self._heard_report_ms = now_ms

    def pause(self) -> None:
        """Starts nothing until the next load report."""
        self.paused = True

    def set_leaving(self, leaving: bool) -> None:
        """Notes what the host list says about the replica."""
        self._leaving = leaving

    def add_item(self, item: str, now_ms: float) -> None:
        """Notes that an item was sent to the engine."""
        self.running[item] = None
        self._note_peak(now_ms)

    def remove_item(self, item: str, now_ms: float) -> None:
        """Notes that an item is no longer on the engine."""
        self._note_peak(now_ms)
        self.running.pop(item, None)
        self.cancelling.discard(item)

    def drop_dead_entries(self, alive: set[str], now_ms: float) -> None:
        """Drops the counts of silent entries that are known to be dead."""
        for name, entry in list(self._entries.items()):
            silent_ms = now_ms - entry.heard_ms
            dead = name not in alive and silent_ms >= ENTRY_TIMEOUT_MS
            unused = not entry.running and silent_ms >= _FORGET_MS
            if dead or unused:
                del self._entries[name]

    def entry_ids(self) -> list[str]:
        """Returns the entries that sent counts."""
        return list(self._entries)

    def silent_entries(self, now_ms: float) -> list[str]:
        """Returns entries with requests whose counts are overdue."""
        return [
            name
            for name, entry in self._entries.items()
            if entry.running and now_ms - entry.heard_ms >= ENTRY_TIMEOUT_MS
        ]

    def reserved_slots(self, now_ms: float) -> int:
        """Returns slots kept free for online requests that come next."""
        if now_ms - self._last_arrival_ms > _QUIET_MS or not self.slots:
            return 0
        while self._arrivals and now_ms - self._arrivals[0][0] > _ARRIVALS_MS:
            self._arrivals.popleft()
        step_ms = self._load.step_ms if self._load is not None else 0.0
        arrived = sum(number for _, number in self._arrivals)
        mean = arrived / _ARRIVALS_MS * (step_ms + _CANCEL_MS)
        # The mean plus two standard deviations of a Poisson process covers
        # about 98% of the intervals.
        wanted = math.ceil(mean + 2 * math.sqrt(mean))
        return min(max(wanted, 1), max(1, self.slots // 4))

    def item_limit(self, fresh: bool, now_ms: float) -> tuple[int, str]:
        """Returns how many items may run, and why if none may."""
        reason = self._closed(fresh, now_ms)
        if reason:
            return 0, reason
        free = self.slots - self.online_count - self._unexplained(now_ms)
        return max(0, free - self.reserved_slots(now_ms)), ""

    def decide(self, fresh: bool, now_ms: float) -> Decision:
        """Returns what restores the invariant or uses the free room.

        Items to be cancelled are counted as stopping from here on.
        """
        capacity, reason = self.item_limit(fresh, now_ms)
        excess = self.batch_count - capacity
        if excess <= 0:
            # A stopping item still holds its slot on the engine.
            free = max(0, -excess - len(self.cancelling))
            return Decision(0 if self.paused else free, [], reason)
        cancel = list(self.running)[-excess:][::-1]
        for item in cancel:
            del self.running[item]
            self.cancelling.add(item)
        return Decision(0, cancel, reason)

    def _closed(self, fresh: bool, now_ms: float) -> str:
        if not fresh:
            return "stale"
        if self.leaving:
            return "leaving"
        if now_ms - self._since_ms < STARTUP_WAIT_MS:
            return "settling"
        if now_ms - self._heard_report_ms > _REPORT_LIFE_MS:
            return "no_report"
        if self.silent_entries(now_ms):
            return "silent"
        return ""

    def _unexplained(self, now_ms: float) -> int:
        """Requests on the engine that neither entries nor batch account for."""
        if self._load is None:
            return 0
        while self._peaks and now_ms - self._peaks[0][0] > _LAG_MS:
            self._peaks.popleft()
        known = self.online_count + self.batch_count + len(self.cancelling)
        peak = self._peaks[0][1] if self._peaks else 0
        reported = self._load.running + self._load.waiting
        return max(0, reported - max(known, peak))

    def _note_peak(self, now_ms: float) -> None:
        known = self.online_count + self.batch_count + len(self.cancelling)
        # Kept in falling order, so that the first is the highest.
        while self._peaks and self._peaks[-1][1] <= known:
            self._peaks.pop()
        self._peaks.append((now_ms, known))
