"""Pauses of replicas that failed or refused requests, for coordinators.

This answers load that would go to a replica which fails or refuses at once,
and therefore looks the least busy.
"""

import enum

# A replica that refused a request as full gets no other for this long.
_REFUSAL_PAUSE_MS = 60.0
# Pause of a replica after a failure, doubled with each failure in a row. A
# replica that has ended fails at once, and would otherwise be the least busy.
_FAILURE_PAUSE_MS = 300.0
_MAX_FAILURE_PAUSE_MS = 4_800.0


class End(enum.Enum):
    """How a request ended at its replica.

    Attributes:
        DONE: It was completed, or its caller gave it up.
        REFUSED: The replica refused it as full.
        FAILED: The replica failed it.
        UNUSED: Its gateway did not need the slot, and sent nothing.
    """

    DONE = 0
    REFUSED = 1
    FAILED = 2
    UNUSED = 3


class ReplicaPauses:
    """Replicas that are paused, by id; performs no I/O."""

    __slots__ = ("_failures", "_until_ms")

    def __init__(self) -> None:
        self._until_ms: dict[str, float] = {}
        # Failures in a row.
        self._failures: dict[str, int] = {}

    def is_paused(self, replica_id: str, now_ms: float) -> bool:
        """Returns whether a replica is paused."""
        return self._until_ms.get(replica_id, 0.0) > now_ms

    def note_end(self, replica_id: str, end: End, now_ms: float) -> None:
        """Pauses a replica after a failure or a refusal."""
        match end:
            case End.UNUSED:
                return
            case End.DONE:
                self._failures.pop(replica_id, None)
                return
            case End.REFUSED:
                pause_ms = _REFUSAL_PAUSE_MS
            case End.FAILED if self.is_paused(replica_id, now_ms):
                # The requests of one crash end at the same moment.
                return
            case End.FAILED:
                failures = self._failures.get(replica_id, 0)
                self._failures[replica_id] = failures + 1
                pause_ms = min(
                    _FAILURE_PAUSE_MS * 2.0**failures, _MAX_FAILURE_PAUSE_MS
                )
        until_ms = self._until_ms.get(replica_id, 0.0)
        self._until_ms[replica_id] = max(until_ms, now_ms + pause_ms)
