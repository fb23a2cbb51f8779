"""Whether this process knows that its view is current.

Pure: times are passed in, in ms of the process's monotonic clock.
"""

from collections.abc import Set

# A process may act on its view for so long after it last knew that the view
# was complete. All processes of a deployment must use the same value.
WINDOW_MS = 3000.0

# Reads whose records have not all been applied; later ones supersede them.
_MAX_LOG_READS = 16


class Freshness:
    """Collects evidence that everything on `control` has been applied.

    Attributes:
        evidence_ms: Latest time at which everything on the log is known to
            have been applied, -inf if never.
        log_evidence_ms: The same by reads of the log alone.
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
        """Returns whether the view may be acted on."""
        return now_ms < self.fresh_until_ms()

    def fresh_until_ms(self) -> float:
        """Returns the time from which the view may not be acted on."""
        return self.evidence_ms + WINDOW_MS

    def log_read(self, sent_ms: float, head: int, applied: int) -> None:
        """Notes a read of the log.

        Args:
            sent_ms: When the read was sent.
            head: Offset after the log's last record at the read.
            applied: Offset below which everything has been applied.
        """
        self._log_reads = [*self._log_reads[-_MAX_LOG_READS:], (sent_ms, head)]
        self._use_log_reads(applied)

    def answer(self, node_id: str, sent_ms: float, offset: int) -> None:
        """Notes a peer's answer with the offset that it has applied.

        Args:
            node_id: The peer.
            sent_ms: When the request for it was sent.
            offset: Offset below which the peer has applied everything.
        """
        latest, _ = self._answers.get(node_id, (float("-inf"), 0))
        if sent_ms > latest:
            self._answers[node_id] = (sent_ms, offset)

    def update(self, applied: int, quorum_set: Set[str]) -> None:
        """Draws the conclusions after answers or after records were applied.

        Args:
            applied: Offset below which everything has been applied.
            quorum_set: Node ids of which more than half must have answered.
        """
        self._use_log_reads(applied)
        self._answers = {
            node: answer
            for node, answer in self._answers.items()
            if node in quorum_set
        }
        self._use_answers(applied, quorum_set)

    def _use_log_reads(self, applied: int) -> None:
        for sent_ms, head in self._log_reads:
            if head <= applied:
                self.log_evidence_ms = max(self.log_evidence_ms, sent_ms)
        self._log_reads = [r for r in self._log_reads if r[1] > applied]
        self.evidence_ms = max(self.evidence_ms, self.log_evidence_ms)

    def _use_answers(self, applied: int, quorum_set: Set[str]) -> None:
        """Takes the time since which more than half have answered.

        The answers must come from at least one other process, and none of
        them may have seen a record that this process has not applied.
        """
        latest = sorted(self._answers.values(), reverse=True)
        itself = int(self._node_id in quorum_set)
        needed = max(1, majority(quorum_set) - itself)
        if len(latest) < needed:
            return
        sent_ms = latest[needed - 1][0]
        if all(offset <= applied for at, offset in latest if at >= sent_ms):
            self.evidence_ms = max(self.evidence_ms, sent_ms)


def majority(quorum_set: Set[str]) -> int:
    """Returns how many members are more than half of `quorum_set`."""
    return len(quorum_set) // 2 + 1
