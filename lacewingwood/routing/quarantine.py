"""Finds what crashes replicas, and keeps it from further replicas.

A request may crash each replica that begins to answer it, and so may one part
of a prompt, whatever else the requests with that part contain. A single crash
does not tell which of the requests on the replica caused it. The suspects are
those that the replica had not begun to answer: the others ran there unharmed.
Gateways tell each other the suspects of each crash, and what has begun since.
A part, or a request, is quarantined if it was a suspect of several crashes and
has not begun anywhere since the first of them.

One cause explains all crashes of which it was a suspect. What was only beside
it is no longer suspected of these, so that requests that were retried on one
crashing replica after another are not quarantined with it.
"""

import collections
import dataclasses
from collections.abc import Collection
from collections.abc import Iterator

import structlog
import xxhash

from lacewingwood.peers import gateway_messages
from lacewingwood.routing import directory
from lacewingwood.upstreams import runs

# Crashes of which something must be a suspect. Two suffice if nothing else is a
# suspect of them; otherwise, requests that are retried during an unrelated
# burst of crashes would be quarantined.
_MIN_CRASHES = 3
_MIN_CRASHES_ALONE = 2
# A part that has begun before is the last thing to suspect. It must not begin
# while this many other runs do, which tells its failure from one of the fleet.
_MIN_OTHER_RUNS = 20
# Duration of a quarantine after the last crash, doubled with each crash beyond
# the minimum. Its end admits a request, which tells whether the fault persists.
_QUARANTINE_MS = 60_000.0
_MAX_QUARANTINE_MS = 3_600_000.0
# Crashes and the parts that have begun are remembered for this long.
_RETENTION_MS = _MAX_QUARANTINE_MS
_MAX_CRASHES = 200
_MAX_SUSPECTS = 32
_MAX_BEGUN = 5_000
# Crashes are reported to other gateways for this long, so that a gateway that
# was cut off for some seconds hears of them as well.
_REPORT_MS = 30_000.0
_MAX_REPORTED = 16
# Reports of crashes that are as recent as this are forwarded without delay.
_URGENT_MS = 1_000.0

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


@dataclasses.dataclass(slots=True, eq=False)
class _Crash:
    """A crash of one replica.

    Attributes:
        replica: Identifies the replica and its start.
        at_ms: When the crash was first noticed.
        suspects: Shared parts of the prompts of the suspects, by the digest of
            the request.
        runs: Number of runs that had begun at this gateway by then.
        own: Digests of the suspects that this gateway had sent there.
    """

    replica: str
    at_ms: float
    suspects: dict[str, tuple[str, ...]]
    runs: int
    own: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class _Begin:
    """When something last began to be answered, and whether it did so here."""

    at_ms: float
    own: bool


@dataclasses.dataclass(slots=True)
class _Cause:
    """What is taken for the cause of some crashes."""

    crashes: list[_Crash]

    @property
    def until_ms(self) -> float:
        """When the quarantine ends."""
        doublings = min(max(0, len(self.crashes) - _MIN_CRASHES), 10)
        return self.crashes[-1].at_ms + min(
            _QUARANTINE_MS * 2**doublings, _MAX_QUARANTINE_MS
        )


class Quarantine:
    """Crashes of replicas, their suspects, and what is quarantined.

    Times are in ms on this process's clock.
    """

    __slots__ = (
        "_begun",
        "_causes",
        "_changed",
        "_crashes",
        "_last_crash_ms",
        "_last_own_crash_ms",
        "_runs",
    )

    def __init__(self) -> None:
        # By replica and start, the oldest first.
        self._crashes: dict[str, _Crash] = {}
        # Parts, and requests that were suspects, that have begun to be
        # answered; the least recent first.
        self._begun: dict[str, _Begin] = {}
        # When what is suspected was last a suspect.
        self._last_crash_ms: dict[str, float] = {}
        self._last_own_crash_ms = float("-inf")
        self._runs = 0
        self._causes: dict[str, _Cause] = {}
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

    def note_begun(self, work: runs.Work, now_ms: float) -> None:
        """Records that a replica answers a request and has not crashed."""
        self._runs += 1
        names: tuple[str, ...] = _shared_parts(work)
        if self._crashes:
            names = (*names, _digest(work))
        for name in names:
            self._note_begun(name, _Begin(now_ms, own=True))

    def note_crash(
        self, replica: directory.Listing, work: runs.Work, now_ms: float
    ) -> None:
        """Records that a replica crashed before it began to answer a request.

        Args:
            replica: The replica.
            work: The request.
            now_ms: Current time.
        """
        crash = self._find_crash(f"{replica.id}/{replica.started_ms}", now_ms)
        digest = _digest(work)
        crash.own.add(digest)
        self._last_own_crash_ms = now_ms
        self._add_suspect(crash, digest, _shared_parts(work))
        _log.info(
            "replica crashed",
            replica=replica.id,
            request_id=work.request_id,
            suspects=len(crash.suspects),
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
                name: now_ms - begin.at_ms
                for name, begin in self._begun_of(recent)
                if begin.own
            },
        )

    def copy(self, now_ms: float) -> gateway_messages.CrashReport:
        """Returns all that is known, for a gateway that has just started."""
        crashes = list(self._crashes.values())
        return gateway_messages.CrashReport(
            [_encode(crash, set(crash.suspects), now_ms) for crash in crashes],
            {
                name: now_ms - begin.at_ms
                for name, begin in self._begun_of(crashes)
            },
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
        for name, age_ms in report.begun.items():
            if now_ms - age_ms > self._begun_ms(name):
                self._note_begun(name, _Begin(now_ms - age_ms, own=False))

    def dump(self, now_ms: float) -> dict[str, float]:
        """Returns the remaining time of each quarantine."""
        self._update(now_ms)
        return {
            name: round(cause.until_ms - now_ms)
            for name, cause in self._causes.items()
        }

    def _begun_of(self, crashes: list[_Crash]) -> Iterator[tuple[str, _Begin]]:
        """Yields the suspects of crashes that have begun."""
        for name in {name for crash in crashes for name in _names(crash)}:
            if name in self._begun:
                yield name, self._begun[name]

    def _begun_ms(self, name: str) -> float:
        """Returns when something last began, minus infinity if never."""
        begin = self._begun.get(name)
        return begin.at_ms if begin else float("-inf")

    def _find_crash(self, replica: str, at_ms: float) -> _Crash:
        crash = self._crashes.get(replica)
        if crash is None:
            crash = _Crash(replica, at_ms, {}, self._runs)
            self._crashes[replica] = crash
            if len(self._crashes) > _MAX_CRASHES:
                self._drop(next(iter(self._crashes.values())))
        return crash

    def _drop(self, crash: _Crash) -> None:
        del self._crashes[crash.replica]
        for name in _names(crash):
            if self._last_crash_ms.get(name) == crash.at_ms:
                del self._last_crash_ms[name]
        self._changed = True

    def _add_suspect(
        self, crash: _Crash, digest: str, parts: tuple[str, ...]
    ) -> None:
        if digest not in crash.suspects and len(crash.suspects) < _MAX_SUSPECTS:
            crash.suspects[digest] = parts
            for name in (digest, *parts):
                last_ms = self._last_crash_ms.get(name, crash.at_ms)
                self._last_crash_ms[name] = max(last_ms, crash.at_ms)
            self._changed = True

    def _note_begun(self, name: str, begin: _Begin) -> None:
        before_ms = self._begun_ms(name)
        self._begun.pop(name, None)
        self._begun[name] = begin
        if len(self._begun) > _MAX_BEGUN:
            del self._begun[next(iter(self._begun))]
        if before_ms < self._last_crash_ms.get(name, float("-inf")):
            self._changed = True

    def _update(self, now_ms: float) -> None:
        """Decides anew on the causes if anything has changed."""
        oldest = next(iter(self._crashes.values()), None)
        while oldest and now_ms - oldest.at_ms > _RETENTION_MS:
            self._drop(oldest)
            oldest = next(iter(self._crashes.values()), None)
        if not self._changed:
            return
        self._changed = False
        causes = self._find_causes()
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

    def _find_causes(self) -> dict[str, _Cause]:
        """Returns the causes of the crashes: parts first, then requests.

        The part that explains most crashes comes first, and of several that
        explain the same, the one that comes last in prompts: fewer requests
        have it.
        """
        causes: dict[str, _Cause] = {}
        unexplained = sorted(self._crashes.values(), key=lambda c: c.at_ms)
        while unexplained:
            found = self._find_part(unexplained)
            if found is None:
                break
            name, crashes = found
            causes[name] = _Cause(crashes)
            unexplained = [c for c in unexplained if c not in crashes]
        by_digest: dict[str, list[_Crash]] = collections.defaultdict(list)
        for crash in unexplained:
            for digest in crash.suspects:
                if crash.at_ms > self._begun_ms(digest):
                    by_digest[digest].append(crash)
        for digest, crashes in by_digest.items():
            alone = all(len(crash.suspects) == 1 for crash in crashes)
            if len(crashes) >= _min_crashes(alone):
                causes[digest] = _Cause(crashes)
        return causes

    def _find_part(
        self, unexplained: list[_Crash]
    ) -> tuple[str, list[_Crash]] | None:
        """Returns the part that explains most crashes, with these."""
        positions: dict[str, int] = {}
        by_part: dict[str, dict[str, _Crash]] = collections.defaultdict(dict)
        for crash in unexplained:
            for parts in crash.suspects.values():
                for position, part in enumerate(parts):
                    if crash.at_ms > self._begun_ms(part):
                        positions[part] = position
                        by_part[part][crash.replica] = crash
        best: tuple[int, int, str] | None = None
        for part, crashes in by_part.items():
            if self._may_be_cause(part, list(crashes.values())):
                rank = len(crashes), positions[part], part
                best = max(best, rank) if best else rank
        return (best[2], list(by_part[best[2]].values())) if best else None

    def _may_be_cause(self, part: str, crashes: list[_Crash]) -> bool:
        """Returns whether crashes suffice to quarantine a part."""
        suspects = [_suspects_with(crash, part) for crash in crashes]
        alone = all(
            len(with_part) == len(crash.suspects)
            for with_part, crash in zip(suspects, crashes, strict=True)
        )
        if len(crashes) < _min_crashes(alone):
            return False
        if part in self._begun and (
            self._runs - crashes[0].runs < _MIN_OTHER_RUNS
        ):
            return False
        # If one request was a suspect of all of them, it may itself be the
        # cause.
        return not set.intersection(*suspects)


def _min_crashes(alone: bool) -> int:
    """Returns how many crashes suffice.

    Args:
        alone: True if there was no other suspect at each of them.
    """
    return _MIN_CRASHES_ALONE if alone else _MIN_CRASHES


def _encode(
    crash: _Crash, digests: Collection[str], now_ms: float
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
    )


def _suspects_with(crash: _Crash, part: str) -> set[str]:
    """Returns the digests of a crash's suspects with a part."""
    return {d for d, parts in crash.suspects.items() if part in parts}


def _names(crash: _Crash) -> Collection[str]:
    """Returns the suspects of a crash and the parts of their prompts."""
    names = set(crash.suspects)
    for parts in crash.suspects.values():
        names.update(parts)
    return names


def _shared_parts(work: runs.Work) -> tuple[str, ...]:
    """Returns the parts of a prompt that other requests may share."""
    return work.prompt[:-1]


def _digest(work: runs.Work) -> str:
    """Returns the identity of a request, the same each time it is sent."""
    digest = xxhash.xxh3_64(work.customer.encode())
    digest.update(b"\0" + work.target + b"\0" + work.body)
    return "request/" + digest.hexdigest()
