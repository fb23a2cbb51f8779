"""Identifies requests that crash replicas.

Every request in flight on a replica when it crashes becomes a suspect of that
crash. A suspect then runs only on replicas where no other suspect runs, so that
the next crash tells them apart. A suspect of two crashes does not run again. It
is blocked for good once all other suspects of one of its crashes have
completed, which proves that it caused that crash. It may also have caused its
other crashes, so these no longer prove anything against other requests; but
the others remain suspects of them, since one of them may be the cause after
all.

A fingerprint starts with its customer, so requests of different customers
cannot be confused.
"""

import collections
import dataclasses
from collections.abc import Iterable

# Entries notice the same crash at slightly different times. Reports within this
# time count as one crash, and no request is blocked before it has passed.
_MERGE_WINDOW_MS = 2000.0
_MAX_SUSPECTED_CRASHES = 2
# One day, so that a request that is sent again and again crashes two replicas
# and not two every few minutes.
_RETENTION_MS = 86_400_000.0
_MAX_CRASHES = 10_000
_RETRY_AFTER_MS = 1000.0


@dataclasses.dataclass(slots=True, frozen=True)
class Allowed:
    """The request is no suspect and may run on any replica."""


@dataclasses.dataclass(slots=True, frozen=True)
class Isolated:
    """The request is a suspect and must not run on the replicas in `avoid`."""

    avoid: frozenset[str]


@dataclasses.dataclass(slots=True, frozen=True)
class Deferred:
    """The request is a suspect and must not run for now."""

    retry_after_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class Blocked:
    """The request crashes replicas and must not run again."""


Decision = Allowed | Isolated | Deferred | Blocked


@dataclasses.dataclass(slots=True, eq=False)
class _Crash:
    """One crash of a replica.

    Attributes:
        replica: The replica.
        at_ms: When the crash was first noticed.
        pending: Fingerprints of its suspects that have not completed since.
        boot_id: Boot id of the replica before the crash; empty if not known.
        attributed: True once a blocked request may have caused it.
    """

    replica: str
    at_ms: float
    pending: set[str]
    boot_id: str = ""
    attributed: bool = False

    def caused_only_by(self, fingerprint: str) -> bool:
        """Returns whether only this request can have caused the crash."""
        return not self.attributed and self.pending == {fingerprint}


class Suspects:
    """Crashes and the requests suspected of them.

    Times are in ms on this process's clock.
    """

    __slots__ = (
        "_blocked",
        "_crashes",
        "_crashes_by_suspect",
        "_last_crash_by_replica",
        "_running",
    )

    def __init__(self) -> None:
        self._crashes: collections.deque[_Crash] = collections.deque()
        self._last_crash_by_replica: dict[str, _Crash] = {}
        self._crashes_by_suspect: dict[str, list[_Crash]] = {}
        self._blocked: dict[str, float] = {}
        # Replicas on which requests run, by fingerprint.
        self._running: dict[str, list[str]] = {}

    def check(self, fingerprint: str, now_ms: float) -> Decision:
        """Decides whether and where a request may run."""
        self._expire(now_ms)
        if fingerprint in self._blocked:
            return Blocked()
        crashes = self._crashes_by_suspect.get(fingerprint)
        if not crashes:
            return Allowed()
        if len(crashes) >= _MAX_SUSPECTED_CRASHES:
            return self._decide_on_repeated(fingerprint, crashes, now_ms)
        if fingerprint in self._running:
            return Deferred(_RETRY_AFTER_MS)
        return Isolated(self._replicas_to_avoid(now_ms))

    def started(self, fingerprint: str, replica: str) -> None:
        """Records that a request is being sent to a replica."""
        self._running.setdefault(fingerprint, []).append(replica)

    def ended(self, fingerprint: str, replica: str) -> None:
        """Records that a request no longer runs on a replica."""
        running = self._running.get(fingerprint, [])
        if replica in running:
            running.remove(replica)
        if not running:
            self._running.pop(fingerprint, None)

    def running_on(self, replica: str) -> list[str]:
        """Returns this entry's requests in flight on a replica."""
        return [
            f for f, replicas in self._running.items() if replica in replicas
        ]

    def completed(self, fingerprint: str) -> bool:
        """Clears a completed request; returns False if it was no suspect."""
        crashes = self._crashes_by_suspect.pop(fingerprint, None)
        for crash in crashes or ():
            crash.pending.discard(fingerprint)
        return crashes is not None

    def crashed(
        self,
        replica: str,
        fingerprints: Iterable[str],
        now_ms: float,
        boot_id: str = "",
    ) -> None:
        """Makes the requests in flight on a crashed replica suspects.

        Args:
            replica: The replica that crashed.
            fingerprints: Requests in flight when it crashed.
            now_ms: Current time.
            boot_id: Boot id of the replica before the crash, if known.
        """
        self._expire(now_ms)
        crash = self._last_crash_by_replica.get(replica)
        if crash is None or now_ms - crash.at_ms > _MERGE_WINDOW_MS:
            crash = _Crash(replica, now_ms, set(), boot_id)
            self._last_crash_by_replica[replica] = crash
            self._crashes.append(crash)
        for fingerprint in fingerprints:
            self._add_suspect(fingerprint, crash)

    def retract_unless_restarted(
        self, replica: str, boot_id: str, asked_ms: float
    ) -> None:
        """Retracts a crash if the replica turns out not to have restarted.

        Args:
            replica: The replica that was taken for crashed.
            boot_id: Boot id that it reports now.
            asked_ms: When it was asked for its boot id.
        """
        crash = self._last_crash_by_replica.get(replica)
        if crash is None or not boot_id or crash.at_ms >= asked_ms:
            return
        if crash.boot_id == boot_id:
            self._drop_crash(crash)

    def _add_suspect(self, fingerprint: str, crash: _Crash) -> None:
        if fingerprint in self._blocked:
            return
        crashes = self._crashes_by_suspect.setdefault(fingerprint, [])
        if crash not in crashes:
            crashes.append(crash)
            crash.pending.add(fingerprint)

    def _decide_on_repeated(
        self, fingerprint: str, crashes: list[_Crash], now_ms: float
    ) -> Decision:
        settled = (
            now_ms - max(crash.at_ms for crash in crashes) > _MERGE_WINDOW_MS
        )
        if not settled or not any(
            c.caused_only_by(fingerprint) for c in crashes
        ):
            return Deferred(_RETRY_AFTER_MS)
        self._blocked[fingerprint] = now_ms
        for crash in self._crashes_by_suspect.pop(fingerprint):
            crash.attributed = True
            crash.pending.discard(fingerprint)
        return Blocked()

    def _replicas_to_avoid(self, now_ms: float) -> frozenset[str]:
        """Returns replicas that run suspects or have just crashed.

        A second crash within the merge window could not be told from the first.
        """
        avoid = {
            replica
            for fingerprint, replicas in self._running.items()
            if fingerprint in self._crashes_by_suspect
            for replica in replicas
        }
        for crash in reversed(self._crashes):
            if now_ms - crash.at_ms > _MERGE_WINDOW_MS:
                break
            avoid.add(crash.replica)
        return frozenset(avoid)

    def _drop_crash(self, crash: _Crash) -> None:
        for fingerprint in crash.pending:
            crashes = self._crashes_by_suspect[fingerprint]
            crashes.remove(crash)
            if not crashes:
                del self._crashes_by_suspect[fingerprint]
        crash.pending.clear()
        if self._last_crash_by_replica.get(crash.replica) is crash:
            del self._last_crash_by_replica[crash.replica]
        if crash in self._crashes:
            self._crashes.remove(crash)

    def _expire(self, now_ms: float) -> None:
        limit_ms = now_ms - _RETENTION_MS
        while self._crashes and (
            self._crashes[0].at_ms < limit_ms
            or len(self._crashes) > _MAX_CRASHES
        ):
            self._drop_crash(self._crashes[0])
        while self._blocked:
            oldest = next(iter(self._blocked))
            if self._blocked[oldest] >= limit_ms:
                break
            del self._blocked[oldest]
