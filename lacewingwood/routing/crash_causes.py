"""Decides what caused the crashes of replicas, from the suspects of each.

One cause explains all crashes of which it was a suspect. What was only beside
it is no longer suspected of these, so that requests that were retried on one
crashing replica after another are not blamed with it.
"""

import collections
import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping

# Crashes of which something must be a suspect. Two suffice if nothing else is a
# suspect of them; otherwise, requests that are retried during an unrelated
# burst of crashes would be blamed.
_MIN_CRASHES = 3
_MIN_CRASHES_ALONE = 2
# A part that has begun before is the last thing to suspect. It must not begin
# while this many other runs do, which tells its failure from one of the fleet.
_MIN_OTHER_RUNS = 20
# Duration of a quarantine after the last crash, doubled with each crash beyond
# the minimum. Its end admits a request, which tells whether the fault persists.
_QUARANTINE_MS = 60_000.0
MAX_QUARANTINE_MS = 3_600_000.0

_NEVER_MS = float("-inf")


@dataclasses.dataclass(slots=True, eq=False)
class Crash:
    """A crash of one replica.

    Attributes:
        replica: Identifies the replica and its start.
        at_ms: When the crash was first noticed.
        runs: Number of runs that had begun at this gateway by then.
        suspects: Shared parts of the prompts of the requests that the replica
            had not begun to answer, by the digest of the request.
        late_suspects: Digests of the requests that it was answering.
        own: Digests of the suspects that this gateway had sent there.
    """

    replica: str
    at_ms: float
    runs: int
    suspects: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    late_suspects: set[str] = dataclasses.field(default_factory=set)
    own: set[str] = dataclasses.field(default_factory=set)

    def names(self) -> set[str]:
        """Returns the suspects and the parts of their prompts."""
        names = self.requests()
        for parts in self.suspects.values():
            names.update(parts)
        return names

    def requests(self) -> set[str]:
        """Returns the digests of all requests that are suspects."""
        return self.late_suspects | self.suspects.keys()

    def suspects_with(self, part: str) -> set[str]:
        """Returns the digests of the suspects whose prompts have a part."""
        return {d for d, parts in self.suspects.items() if part in parts}


@dataclasses.dataclass(slots=True)
class Cause:
    """What is taken for the cause of some crashes.

    Attributes:
        crashes: The crashes by time.
    """

    crashes: list[Crash]

    @property
    def until_ms(self) -> float:
        """When the quarantine ends."""
        doublings = min(max(0, len(self.crashes) - _MIN_CRASHES), 10)
        return self.crashes[-1].at_ms + min(
            _QUARANTINE_MS * 2**doublings, MAX_QUARANTINE_MS
        )


def find(
    crashes: Iterable[Crash],
    begun_ms: Mapping[str, float],
    completed_ms: Mapping[str, float],
    runs: int,
) -> dict[str, Cause]:
    """Returns the causes of crashes: parts of prompts first, then requests.

    The part that explains most crashes comes first, and of several that explain
    the same, the one that comes last in prompts: fewer requests have it.

    Args:
        crashes: The crashes.
        begun_ms: When parts and requests last began to be answered.
        completed_ms: When requests were last answered from their beginning to
            their end.
        runs: Number of runs that have begun at this gateway.
    """
    causes: dict[str, Cause] = {}
    unexplained = sorted(crashes, key=lambda crash: crash.at_ms)
    while unexplained:
        found = _find_part(unexplained, begun_ms, runs)
        if found is None:
            break
        name, explained = found
        causes[name] = Cause(explained)
        unexplained = [c for c in unexplained if c not in explained]
    return causes | _find_requests(unexplained, begun_ms, completed_ms)


def _find_part(
    crashes: list[Crash], begun_ms: Mapping[str, float], runs: int
) -> tuple[str, list[Crash]] | None:
    """Returns the part that explains most crashes, with these."""
    positions: dict[str, int] = {}
    by_part: dict[str, dict[str, Crash]] = collections.defaultdict(dict)
    for crash in crashes:
        for parts in crash.suspects.values():
            for position, part in enumerate(parts):
                if crash.at_ms > begun_ms.get(part, _NEVER_MS):
                    positions[part] = position
                    by_part[part][crash.replica] = crash
    ranks = [
        (len(found), positions[part], part)
        for part, found in by_part.items()
        if _may_be_cause(part, list(found.values()), part in begun_ms, runs)
    ]
    if not ranks:
        return None
    _, _, best = max(ranks)
    return best, list(by_part[best].values())


def _may_be_cause(
    part: str, crashes: list[Crash], has_begun: bool, runs: int
) -> bool:
    """Returns whether crashes suffice to blame a part."""
    suspects = [crash.suspects_with(part) for crash in crashes]
    alone = all(
        len(with_part) == len(crash.suspects)
        for with_part, crash in zip(suspects, crashes, strict=True)
    )
    if len(crashes) < _min_crashes(alone):
        return False
    if has_begun and runs - crashes[0].runs < _MIN_OTHER_RUNS:
        return False
    # If one request was a suspect of all of them, it may itself be the cause.
    return not set.intersection(*suspects)


def _find_requests(
    crashes: list[Crash],
    begun_ms: Mapping[str, float],
    completed_ms: Mapping[str, float],
) -> dict[str, Cause]:
    """Returns the requests that explain crashes which no part explains."""
    by_digest: dict[str, list[Crash]] = collections.defaultdict(list)
    for crash in crashes:
        for digest in crash.requests():
            by_digest[digest].append(crash)
    causes: dict[str, Cause] = {}
    for digest, involved in by_digest.items():
        harmless_ms = _last_harmless_ms(
            digest, involved, begun_ms, completed_ms
        )
        found = [crash for crash in involved if crash.at_ms > harmless_ms]
        alone = all(crash.suspects.keys() == {digest} for crash in found)
        if len(found) >= _min_crashes(alone):
            causes[digest] = Cause(found)
    return causes


def _last_harmless_ms(
    digest: str,
    crashes: list[Crash],
    begun_ms: Mapping[str, float],
    completed_ms: Mapping[str, float],
) -> float:
    """Returns when a request was last seen to crash no replica.

    A request that begins has not crashed its replica at its start. If it has
    crashed one later on, only a complete run shows that it does not.

    Args:
        digest: The request.
        crashes: The crashes of which it is a suspect.
        begun_ms: When requests last began to be answered.
        completed_ms: When they were last answered completely.
    """
    completed = completed_ms.get(digest, _NEVER_MS)
    for crash in crashes:
        if digest in crash.late_suspects and crash.at_ms > completed:
            return completed
    return max(completed, begun_ms.get(digest, _NEVER_MS))


def _min_crashes(alone: bool) -> int:
    """Returns how many crashes suffice.

    Args:
        alone: True if there was no other suspect at each of them.
    """
    return _MIN_CRASHES_ALONE if alone else _MIN_CRASHES
