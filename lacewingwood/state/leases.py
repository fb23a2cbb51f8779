"""Decides when this process may use a lease that it claimed.

This module does no I/O. Callers pass in times in ms of the process's monotonic
clock.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set

from lacewingwood.state import entities
from lacewingwood.state import freshness

# Covers the difference between two hosts' clock rates during the wait.
MARGIN_MS = 500.0

QuorumSets = Mapping[str, Set[str]]


class Claims:
    """Tracks this process's claims until they take effect.

    A claim waits for each region in which an earlier holder may still use the
    lease. Once more than half of such a region's members have applied the
    claim, no process there can get new evidence of freshness without learning
    of the claim. Evidence from before that expires with the freshness window.
    """

    __slots__ = ("_acknowledged", "_effective_ms", "_node_id", "_waiting")

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._acknowledged: dict[str, int] = {}
        self._waiting: dict[int, set[str]] = {}
        self._effective_ms: dict[int, float] = {}

    def update(
        self,
        leases: Iterable[entities.Lease],
        quorum_sets: QuorumSets,
        now_ms: float,
    ) -> None:
        """Updates the claims from the view.

        Args:
            leases: All leases of the view.
            quorum_sets: Node ids of which a majority must answer, by region.
            now_ms: Current time.
        """
        mine = {
            lease.epoch: lease
            for lease in leases
            if lease.holder == self._node_id and lease.waits_on
        }
        self._forget_all_but(mine)
        counted = frozenset().union(*quorum_sets.values())
        if len(self._acknowledged) > 2 * len(counted):
            kept = self._acknowledged.keys() & counted
            self._acknowledged = {n: self._acknowledged[n] for n in kept}
        for epoch, lease in mine.items():
            if epoch not in self._effective_ms:
                waiting = self._waiting.setdefault(epoch, set(lease.waits_on))
                self._check_majorities(epoch, waiting, quorum_sets, now_ms)

    def note_answer(self, node_id: str, offset: int) -> None:
        """Records that a process has applied all records below `offset`."""
        earlier = self._acknowledged.get(node_id, 0)
        self._acknowledged[node_id] = max(earlier, offset)

    def waiting_regions(self) -> set[str]:
        """Returns the regions whose members must still acknowledge claims."""
        return {r for regions in self._waiting.values() for r in regions}

    def effective_ms(self, lease: entities.Lease) -> float:
        """Returns the time from which this process may use its lease.

        It is inf until a majority of each region waited for has acknowledged
        the claim.
        """
        if not lease.waits_on:
            return float("-inf")
        return self._effective_ms.get(lease.epoch, float("inf"))

    def is_usable(
        self, lease: entities.Lease, now_ms: float, fresh: bool
    ) -> bool:
        """Returns whether this process may act as the holder of a lease.

        Args:
            lease: The lease.
            now_ms: Current time.
            fresh: Whether this process's view is fresh.
        """
        mine = lease.holder == self._node_id
        return mine and fresh and now_ms >= self.effective_ms(lease)

    def _forget_all_but(self, mine: Mapping[int, entities.Lease]) -> None:
        for epoch in self._waiting.keys() - mine.keys():
            del self._waiting[epoch]
        for epoch in self._effective_ms.keys() - mine.keys():
            del self._effective_ms[epoch]

    def _check_majorities(
        self,
        epoch: int,
        waiting: set[str],
        quorum_sets: QuorumSets,
        now_ms: float,
    ) -> None:
        for region in list(waiting):
            if self._acknowledged_by_majority(
                epoch, quorum_sets.get(region, frozenset())
            ):
                waiting.remove(region)
        if not waiting:
            del self._waiting[epoch]
            wait_ms = freshness.WINDOW_MS + MARGIN_MS
            self._effective_ms[epoch] = now_ms + wait_ms

    def _acknowledged_by_majority(
        self, epoch: int, quorum_set: Set[str]
    ) -> bool:
        """Returns whether more than half of a quorum set applied the claim.

        Returns False for an empty set, as it has no member whose answer could
        show that the former holder's evidence ends.
        """
        acknowledged = sum(
            node == self._node_id or self._acknowledged.get(node, 0) > epoch
            for node in quorum_set
        )
        return acknowledged >= freshness.majority(quorum_set)
