"""Finds what crashes replicas, and keeps it from further replicas.

A request may crash each replica that begins to answer it, and so may one part
of a prompt, whatever else the requests with that part contain. A single crash
does not tell which of the requests on the replica caused it. The likeliest are
those that the replica had not begun to answer, and the parts of their prompts:
the others ran there unharmed until then. But a request may also crash each of
its replicas while they answer it, so those are late suspects.
Gateways tell each other the suspects of each crash, and what has begun or was
completed since. A part, or a request, is quarantined if it was a suspect of
several crashes and nothing since shows that it is harmless; see `crash_causes`.
"""

import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping

import structlog
import xxhash

from lacewingwood.peers import gateway_messages
from lacewingwood.routing import crash_causes
from lacewingwood.routing import directory
from lacewingwood.upstreams import runs

# Crashes and the parts that have begun are remembered for this long.
_RETENTION_MS = crash_causes.MAX_QUARANTINE_MS
_MAX_CRASHES = 200
_MAX_SUSPECTS = 32
_MAX_BEGUN = 5_000
_MAX_PARTS = 16
_MAX_PART_LENGTH = 64
# Crashes are reported to other gateways for this long, so that a gateway that
# was cut off for some seconds hears of them as well.
_REPORT_MS = 30_000.0
_MAX_REPORTED = 16
# Reports of crashes that are as recent as this are forwarded without delay.
_URGENT_MS = 1_000.0
_NEVER_MS = float("-inf")

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True, frozen=True)
class Verdict:
    """Why a request must not run.

    Attributes:
        cause: The part of its prompt, or the digest of the request, that
            crashes replicas.
        remaining_ms: Time until the end of the quarantine.
    """

    cause: str
    remaining_ms: float


class Quarantine:
    """Crashes of replicas, their suspects, and what is quarantined.

    Times are in ms on this process's clock.
    """

    __slots__ = (
        "_begun_here",
        "_begun_ms",
        "_causes",
        "_changed",
        "_completed_here",
        "_completed_ms",
        "_crashes",
        "_last_crash_ms",
        "_last_late_crash_ms",
        "_last_own_crash_ms",
        "_runs",
    )

    def __init__(self) -> None:
        # By replica and start, the oldest first.
        self._crashes: dict[str, crash_causes.Crash] = {}
        # When parts, and requests that were suspects, last began to be
        # answered; the least recent first.
        self._begun_ms: dict[str, float] = {}
        # Those of them that last began at this gateway.
        self._begun_here: set[str] = set()
        # When requests that were suspects were last answered from beginning to
        # end.
        self._completed_ms: dict[str, float] = {}
        # Those of them that were last completed at this gateway.
        self._completed_here: set[str] = set()
        # When what is suspected was last a suspect.
        self._last_crash_ms: dict[str, float] = {}
        # The same for late suspects only.
        self._last_late_crash_ms: dict[str, float] = {}
        self._last_own_crash_ms = float("-inf")
        self._runs = 0
        self._causes: dict[str, crash_causes.Cause] = {}
        self._changed = False

    def check(self, work: runs.Work, now_ms: float) -> Verdict | None:
        """Returns why a request must not run, or None if it may."""
        if not self._crashes:
            return None
        self._update(now_ms)
        if not self._causes:
            return None
        for name in (*_shared_parts(work), _digest(work)):
            cause = self._causes.get(name)
            if cause is not None and cause.until_ms > now_ms:
                return Verdict(name, cause.until_ms - now_ms)
        return None

    def is_suspect(self, work: runs.Work) -> bool:
        """Returns whether a request may be one that crashes replicas.

        It, or a part of its prompt, was a suspect of a crash and has not begun
        anywhere since; or it was a late suspect and was not completed since.
        """
        if not self._last_crash_ms:
            return False
        digest = _digest(work)
        completed_ms = self._completed_ms.get(digest, _NEVER_MS)
        if self._last_late_crash_ms.get(digest, _NEVER_MS) > completed_ms:
            return True
        names = (*_shared_parts(work), digest)
        return any(
            self._last_crash_ms.get(name, _NEVER_MS)
            > self._begun_ms.get(name, _NEVER_MS)
            for name in names
        )

    def note_begun(self, work: runs.Work, now_ms: float) -> None:
        """Records that a replica answers a request and has not crashed."""
        self._runs += 1
        for part in _shared_parts(work):
            self._note_begun(part, now_ms, here=True)
        if self._crashes and (digest := _digest(work)) in self._last_crash_ms:
            self._note_begun(digest, now_ms, here=True)

    def note_completed(self, work: runs.Work, now_ms: float) -> None:
        """Records that one replica answered a request from beginning to end.

        The end of a resumed stream is no such run: the request may crash a
        replica earlier than that.
        """
        digest = _digest(work) if self._crashes else ""
        if digest in self._last_crash_ms:
            self._note_completed(digest, now_ms, here=True)

    def note_crash(
        self,
        replica: directory.Listing,
        work: runs.Work,
        now_ms: float,
        begun: bool = False,
    ) -> None:
        """Records that a replica crashed while it ran a request.

        Args:
            replica: The replica.
            work: The request.
            now_ms: Current time.
            begun: Whether the replica had begun to answer the request.
        """
        crash = self._find_crash(replica.incarnation, now_ms)
        digest = _digest(work)
        crash.own.add(digest)
        if begun:
            # Not urgent: most requests that had begun are no cause.
            self._add_late_suspect(crash, digest)
        else:
            self._last_own_crash_ms = now_ms
            self._add_suspect(crash, digest, _shared_parts(work))
        _log.info(
            "replica crashed",
            replica=replica.id,
            request_id=work.request_id,
            begun=begun,
            suspects=len(crash.suspects),
            late_suspects=len(crash.late_suspects),
            crashes=len(self._crashes),
        )

    def report(self, now_ms: float) -> gateway_messages.CrashReport | None:
        """Returns what other gateways need to know, None if nothing."""
        recent = [
            crash
            for crash in self._crashes.values()
            if now_ms - crash.at_ms < _REPORT_MS
        ][-_MAX_REPORTED:]
        if not recent:
            return None
        return gateway_messages.CrashReport(
            [
                _encode(crash, crash.own, now_ms)
                for crash in recent
                if crash.own
            ],
            {
                name: age_ms
                for name, age_ms in _ages(
                    recent, self._begun_ms, now_ms
                ).items()
                if name in self._begun_here
            },
            {
                name: age_ms
                for name, age_ms in _ages(
                    recent, self._completed_ms, now_ms
                ).items()
                if name in self._completed_here
            },
        )

    def copy(self, now_ms: float) -> gateway_messages.CrashReport:
        """Returns all that is known, for a gateway that has just started."""
        crashes = list(self._crashes.values())
        return gateway_messages.CrashReport(
            [_encode(crash, crash.requests(), now_ms) for crash in crashes],
            _ages(crashes, self._begun_ms, now_ms),
            _ages(crashes, self._completed_ms, now_ms),
        )

    def is_urgent(self, now_ms: float) -> bool:
        """Returns whether other gateways need to hear of a crash at once."""
        return now_ms - self._last_own_crash_ms < _URGENT_MS

    def note_report(
        self, report: gateway_messages.CrashReport, now_ms: float
    ) -> None:
        """Applies a report of another gateway."""
        for reported in report.crashes:
            at_ms = now_ms - reported.age_ms
            crash = self._find_crash(reported.replica, at_ms)
            for digest, parts in reported.suspects.items():
                self._add_suspect(crash, digest, tuple(parts))
            for digest in reported.late_suspects:
                self._add_late_suspect(crash, digest)
        for name, age_ms in report.begun.items():
            if now_ms - age_ms > self._begun_ms.get(name, _NEVER_MS):
                self._note_begun(name, now_ms - age_ms, here=False)
        for name, age_ms in report.completed.items():
            if now_ms - age_ms > self._completed_ms.get(name, _NEVER_MS):
                self._note_completed(name, now_ms - age_ms, here=False)

    def dump(self, now_ms: float) -> dict[str, float]:
        """Returns the remaining time of each quarantine."""
        self._update(now_ms)
        return {
            name: round(cause.until_ms - now_ms)
            for name, cause in self._causes.items()
        }

    def _find_crash(self, replica: str, at_ms: float) -> crash_causes.Crash:
        crash = self._crashes.get(replica)
        if crash is None:
            crash = crash_causes.Crash(replica, at_ms, self._runs)
            self._crashes[replica] = crash
            if len(self._crashes) > _MAX_CRASHES:
                self._drop(next(iter(self._crashes.values())))
        return crash

    def _drop(self, crash: crash_causes.Crash) -> None:
        del self._crashes[crash.replica]
        for name in crash.names():
            if self._last_crash_ms.get(name) == crash.at_ms:
                del self._last_crash_ms[name]
                self._last_late_crash_ms.pop(name, None)
                self._completed_ms.pop(name, None)
                self._completed_here.discard(name)
        self._changed |= name in self._causes

    def _add_suspect(
        self, crash: crash_causes.Crash, digest: str, parts: tuple[str, ...]
    ) -> None:
        if digest not in crash.suspects and len(crash.suspects) < _MAX_SUSPECTS:
            crash.suspects[digest] = parts
            for name in (digest, *parts):
                _raise_time(self._last_crash_ms, name, crash.at_ms)
            self._changed = True

    def _add_late_suspect(self, crash: crash_causes.Crash, digest: str) -> None:
        if (
            digest not in crash.late_suspects
            and len(crash.late_suspects) < _MAX_SUSPECTS
        ):
            crash.late_suspects.add(digest)
            # One crash is not enough to blame a request.
            self._changed |= digest in self._last_crash_ms
            _raise_time(self._last_crash_ms, digest, crash.at_ms)
            _raise_time(self._last_late_crash_ms, digest, crash.at_ms)

    def _note_begun(self, name: str, at_ms: float, here: bool) -> None:
        before_ms = self._begun_ms.pop(name, _NEVER_MS)
        self._begun_ms[name] = at_ms
        if here:
            self._begun_here.add(name)
        else:
            self._begun_here.discard(name)
        if len(self._begun_ms) > _MAX_BEGUN:
            oldest = next(iter(self._begun_ms))
            del self._begun_ms[oldest]
            self._begun_here.discard(oldest)
        # Only the first begin after a crash can change the verdict.
        if before_ms < self._last_crash_ms.get(name, _NEVER_MS):
            self._changed = True

    def _note_completed(self, name: str, at_ms: float, here: bool) -> None:
        if name not in self._last_crash_ms:
            return
        self._completed_ms[name] = at_ms
        if here:
            self._completed_here.add(name)
        else:
            self._completed_here.discard(name)
        self._changed |= name in self._causes

    def _update(self, now_ms: float) -> None:
        """Decides anew on the causes if anything has changed."""
        oldest = next(iter(self._crashes.values()), None)
        while oldest and now_ms - oldest.at_ms > _RETENTION_MS:
            self._drop(oldest)
            oldest = next(iter(self._crashes.values()), None)
        if not self._changed:
            return
        self._changed = False
        causes = crash_causes.find(
            self._crashes.values(),
            self._begun_ms,
            self._completed_ms,
            self._runs,
        )
        for name in causes.keys() - self._causes.keys():
            _log.warning(
                "quarantined",
                cause=name,
                crashes=len(causes[name].crashes),
                replicas=[c.replica for c in causes[name].crashes[-5:]],
                for_ms=round(causes[name].until_ms - now_ms),
            )
        for name in self._causes.keys() - causes.keys():
            _log.info("quarantine ended", cause=name)
        self._causes = causes


def _encode(
    crash: crash_causes.Crash, digests: set[str], now_ms: float
) -> gateway_messages.Crash:
    """Encodes a crash with some of its suspects."""
    return gateway_messages.Crash(
        crash.replica,
        now_ms - crash.at_ms,
        {
            digest: list(parts)
            for digest, parts in crash.suspects.items()
            if digest in digests
        },
        sorted(crash.late_suspects & digests),
    )


def _ages(
    crashes: Iterable[crash_causes.Crash],
    times_ms: Mapping[str, float],
    now_ms: float,
) -> dict[str, float]:
    """Returns how long ago something was noted of the suspects of crashes."""
    names = {name for crash in crashes for name in crash.names()}
    return {name: now_ms - times_ms[name] for name in names if name in times_ms}


def _raise_time(times_ms: dict[str, float], name: str, at_ms: float) -> None:
    times_ms[name] = max(times_ms.get(name, at_ms), at_ms)


def _shared_parts(work: runs.Work) -> tuple[str, ...]:
    """Returns the parts of a prompt that other requests may share.

    Leaves out what would take much memory: callers choose the parts.
    """
    return tuple(
        part
        for part in work.prompt[:-1][:_MAX_PARTS]
        if len(part) <= _MAX_PART_LENGTH
    )


def _digest(work: runs.Work) -> str:
    """Returns the identity of a request, the same each time it is sent."""
    digest = xxhash.xxh3_64(work.customer.encode())
    digest.update(b"\0" + work.target + b"\0" + work.body)
    return "request/" + digest.hexdigest()
