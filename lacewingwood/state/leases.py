"""When this process may use a lease that it claimed.

Pure: times are passed in, in ms of the process's monotonic clock.
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
    """Follows this process's own claims until they take effect.

    A claim waits on the regions in which an earlier holder may still be at
    work: once more than half of such a region's members have applied the
    claim, no process there finds evidence of freshness without learning of
    it, and evidence found before lasts no longer than the window.
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
        """Takes the leases of the view and the members that count by region."""
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
                self._check(epoch, waiting, quorum_sets, now_ms)

    def answer(self, node_id: str, offset: int) -> None:
        """Notes that a process has applied everything below `offset`."""
        earlier = self._acknowledged.get(node_id, 0)
        self._acknowledged[node_id] = max(earlier, offset)

    def waiting_regions(self) -> set[str]:
        """Returns the regions whose members' answers are still needed."""
        return {r for regions in self._waiting.values() for r in regions}

    def effective_ms(self, lease: entities.Lease) -> float:
        """Returns from when a lease of this process may be used.

        It is inf while that isn't known.
        """
        if not lease.waits_on:
            return float("-inf")
        return self._effective_ms.get(lease.epoch, float("inf"))

    def usable(self, lease: entities.Lease, now_ms: float, fresh: bool) -> bool:
        """Returns whether this process may act as the holder of `lease`."""
        mine = lease.holder == self._node_id
        return mine and fresh and now_ms >= self.effective_ms(lease)

    def _forget_all_but(self, mine: Mapping[int, entities.Lease]) -> None:
        for epoch in self._waiting.keys() - mine.keys():
            del self._waiting[epoch]
        for epoch in self._effective_ms.keys() - mine.keys():
            del self._effective_ms[epoch]

    def _check(
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
        """Returns whether more than half have applied the claim.

        An empty set has no member that could vouch for the former holder.
        """
        acknowledged = sum(
            node == self._node_id or self._acknowledged.get(node, 0) > epoch
            for node in quorum_set
        )
        return acknowledged >= freshness.majority(quorum_set)
