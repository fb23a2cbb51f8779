"""Decides whether this process's view is known to be current.

This module does no I/O. Callers pass in times in ms of the process's monotonic
clock.
"""

from collections.abc import Set

# How long a process may act on its view after the latest time at which the view
# is known to have been complete. All processes of a deployment must use the
# same value.
WINDOW_MS = 3000.0

# Largest number of log reads kept because not all records below their heads
# have been applied; the oldest is dropped first, as later reads supersede it.
_MAX_LOG_READS = 16


class Freshness:
    """Collects evidence that everything on `control` has been applied.

    Attributes:
        evidence_ms: Latest time up to which the whole log is known to have
            been applied, -inf if there is none.
        log_evidence_ms: Like `evidence_ms`, but known from reads of the log
            alone.
    """

    __slots__ = (
        "_answers",
        "_log_reads",
        "_node_id",
        "evidence_ms",
        "log_evidence_ms",
    )

    def __init__(self, node_id: str) -> None:
        self.evidence_ms = float("-inf")
        self.log_evidence_ms = float("-inf")
        self._node_id = node_id
        self._log_reads: list[tuple[float, int]] = []
        self._answers: dict[str, tuple[float, int]] = {}

    def fresh(self, now_ms: float) -> bool:
        """Returns whether this process may act on its view."""
        return now_ms < self.fresh_until_ms()

    def fresh_until_ms(self) -> float:
        """Returns the time until which this process may act on its view."""
        return self.evidence_ms + WINDOW_MS

    def note_log_read(self, sent_ms: float, head: int, applied: int) -> None:
        """Records a read of the log.

        Args:
            sent_ms: When the read was sent.
            head: Offset after the log's last record, as the read returned it.
            applied: Offset below which this process has applied all records.
        """
        self._log_reads = [*self._log_reads[-_MAX_LOG_READS:], (sent_ms, head)]
        self._apply_log_reads(applied)

    def note_answer(self, node_id: str, sent_ms: float, offset: int) -> None:
        """Records a peer's answer to a ping.

        Args:
            node_id: Node id of the peer.
            sent_ms: When the ping was sent.
            offset: Offset below which the peer has applied all records.
        """
        latest, _ = self._answers.get(node_id, (float("-inf"), 0))
        if sent_ms > latest:
            self._answers[node_id] = (sent_ms, offset)

    def update(self, applied: int, quorum_set: Set[str]) -> None:
        """Updates the evidence after answers or after records were applied.

        Args:
            applied: Offset below which this process has applied all records.
            quorum_set: Node ids of which more than half must have answered.
        """
        self._apply_log_reads(applied)
        self._answers = {
            node: answer
            for node, answer in self._answers.items()
            if node in quorum_set
        }
        self._apply_answers(applied, quorum_set)

    def _apply_log_reads(self, applied: int) -> None:
        for sent_ms, head in self._log_reads:
            if head <= applied:
                self.log_evidence_ms = max(self.log_evidence_ms, sent_ms)
        self._log_reads = [r for r in self._log_reads if r[1] > applied]
        self.evidence_ms = max(self.evidence_ms, self.log_evidence_ms)

    def _apply_answers(self, applied: int, quorum_set: Set[str]) -> None:
        """Uses a majority of answers as evidence from their earliest time.

        This process counts towards the majority, but at least one answer must
        come from another process. None of the answers may report a record that
        this process has not applied.
        """
        latest = sorted(self._answers.values(), reverse=True)
        own_count = int(self._node_id in quorum_set)
        needed = max(1, majority(quorum_set) - own_count)
        if len(latest) < needed:
            return
        sent_ms = latest[needed - 1][0]
        if all(offset <= applied for at, offset in latest if at >= sent_ms):
            self.evidence_ms = max(self.evidence_ms, sent_ms)


def majority(quorum_set: Set[str]) -> int:
    """Returns the smallest number that is more than half of `quorum_set`."""
    return len(quorum_set) // 2 + 1
