"""Requests that were running on a replica when it crashed.

Every request in flight at a crash gets a mark and then runs only on a replica
where no other suspect runs, so that the next crash tells them apart. A request
with two marks doesn't run again. It is refused for good once all others of one
of its crashes have completed, which proves that it caused that crash. It may
also have caused its other crashes, which then prove nothing against others;
their marks stay, since one of the others may have caused them after all. A
fingerprint starts with its customer, so no customer's request can be taken
for another's.
"""

import collections
import dataclasses
from collections.abc import Iterable

# Entries see one crash within moments of each other; what they report in this
# time is taken as one crash, and nothing is refused for good before it is over.
_SETTLE_MS = 2000.0
_MARKS_TO_STOP = 2
# A day, so that a request that is sent again and again costs two replicas and
# not two every few minutes.
_MEMORY_MS = 86_400_000.0
_MAX_CRASHES = 10_000
_RETRY_MS = 1000.0


@dataclasses.dataclass(slots=True, frozen=True)
class Allowed:
    """The request may run anywhere."""


@dataclasses.dataclass(slots=True, frozen=True)
class Isolated:
    """The request may run, but not on the replicas in `avoid`."""

    avoid: frozenset[str]


@dataclasses.dataclass(slots=True, frozen=True)
class Deferred:
    """The request may not run now."""

    retry_after_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class Blocked:
    """The request crashes replicas and may not run again."""


Decision = Allowed | Isolated | Deferred | Blocked


@dataclasses.dataclass(slots=True, eq=False)
class _Crash:
    """One crash of a replica.

    Attributes:
        replica: The replica.
        at_ms: When it was first seen.
        pending: Fingerprints of requests that have not completed since.
        boot_id: The replica's last known start before it, or an empty string.
        explained: True once a convicted request may have caused it.
    """

    replica: str
    at_ms: float
    pending: set[str]
    boot_id: str = ""
    explained: bool = False

    def proves(self, fingerprint: str) -> bool:
        """Tells whether only this request can have caused the crash."""
        return not self.explained and self.pending == {fingerprint}


class Suspects:
    """Marks of suspects; times are in ms on this process's clock."""

    __slots__ = ("_blocked", "_by_replica", "_crashes", "_marks", "_running")

    def __init__(self) -> None:
        self._crashes: collections.deque[_Crash] = collections.deque()
        self._by_replica: dict[str, _Crash] = {}
        self._marks: dict[str, list[_Crash]] = {}
        self._blocked: dict[str, float] = {}
        # Replicas on which suspects run, by fingerprint.
        self._running: dict[str, list[str]] = {}

    def check(self, fingerprint: str, now_ms: float) -> Decision:
        """Tells whether and where a request may run."""
        self._expire(now_ms)
        if fingerprint in self._blocked:
            return Blocked()
        marks = self._marks.get(fingerprint)
        if not marks:
            return Allowed()
        if len(marks) >= _MARKS_TO_STOP:
            return self._decide_repeat_suspect(fingerprint, marks, now_ms)
        if fingerprint in self._running:
            return Deferred(_RETRY_MS)
        return Isolated(self._avoid(now_ms))

    def started(self, fingerprint: str, replica: str) -> None:
        """Notes that a request is being sent to a replica."""
        self._running.setdefault(fingerprint, []).append(replica)

    def ended(self, fingerprint: str, replica: str) -> None:
        """Notes that a request no longer runs on a replica."""
        running = self._running.get(fingerprint, [])
        if replica in running:
            running.remove(replica)
        if not running:
            self._running.pop(fingerprint, None)

    def running_on(self, replica: str) -> list[str]:
        """Returns the requests in flight from here on a replica."""
        return [f for f, on in self._running.items() if replica in on]

    def completed(self, fingerprint: str) -> bool:
        """Clears a request that has completed; False if it had no marks."""
        marks = self._marks.pop(fingerprint, None)
        for crash in marks or ():
            crash.pending.discard(fingerprint)
        return marks is not None

    def crashed(
        self,
        replica: str,
        fingerprints: Iterable[str],
        now_ms: float,
        boot_id: str = "",
    ) -> None:
        """Marks the requests that were in flight when a replica crashed.

        Args:
            replica: The replica.
            fingerprints: The requests.
            now_ms: The time.
            boot_id: The replica's last known start before, if known.
        """
        self._expire(now_ms)
        crash = self._by_replica.get(replica)
        if crash is None or now_ms - crash.at_ms > _SETTLE_MS:
            crash = _Crash(replica, now_ms, set(), boot_id)
            self._by_replica[replica] = crash
            self._crashes.append(crash)
        for fingerprint in fingerprints:
            self._mark(fingerprint, crash)

    def retract_unless_restarted(
        self, replica: str, boot_id: str, asked_ms: float
    ) -> None:
        """Takes back a crash if the replica turns out not to have restarted.

        Args:
            replica: The replica.
            boot_id: What it has answered.
            asked_ms: When it was asked.
        """
        crash = self._by_replica.get(replica)
        if crash is None or not boot_id or crash.at_ms >= asked_ms:
            return
        if crash.boot_id == boot_id:
            self._forget(crash)

    def _mark(self, fingerprint: str, crash: _Crash) -> None:
        if fingerprint in self._blocked:
            return
        marks = self._marks.setdefault(fingerprint, [])
        if crash not in marks:
            marks.append(crash)
            crash.pending.add(fingerprint)

    def _decide_repeat_suspect(
        self, fingerprint: str, marks: list[_Crash], now_ms: float
    ) -> Decision:
        settled = now_ms - max(crash.at_ms for crash in marks) > _SETTLE_MS
        if not settled or not any(c.proves(fingerprint) for c in marks):
            return Deferred(_RETRY_MS)
        self._blocked[fingerprint] = now_ms
        for crash in self._marks.pop(fingerprint):
            crash.explained = True
            crash.pending.discard(fingerprint)
        return Blocked()

    def _avoid(self, now_ms: float) -> frozenset[str]:
        """Returns replicas with suspects, and those that crashed just now.

        A second crash of the latter could not be told from the first.
        """
        avoid = {
            replica
            for fingerprint, replicas in self._running.items()
            if fingerprint in self._marks
            for replica in replicas
        }
        for crash in reversed(self._crashes):
            if now_ms - crash.at_ms > _SETTLE_MS:
                break
            avoid.add(crash.replica)
        return frozenset(avoid)

    def _forget(self, crash: _Crash) -> None:
        for fingerprint in crash.pending:
            marks = self._marks[fingerprint]
            marks.remove(crash)
            if not marks:
                del self._marks[fingerprint]
        crash.pending.clear()
        if self._by_replica.get(crash.replica) is crash:
            del self._by_replica[crash.replica]
        if crash in self._crashes:
            self._crashes.remove(crash)

    def _expire(self, now_ms: float) -> None:
        limit_ms = now_ms - _MEMORY_MS
        while self._crashes and (
            self._crashes[0].at_ms < limit_ms
            or len(self._crashes) > _MAX_CRASHES
        ):
            self._forget(self._crashes[0])
        while self._blocked:
            oldest = next(iter(self._blocked))
            if self._blocked[oldest] >= limit_ms:
                break
            del self._blocked[oldest]
