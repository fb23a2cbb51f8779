"""Prefix-cache affinity: which replicas probably hold a prompt's prefix."""

import collections

from lacewingwood.upstreams import prefix as upstream_prefix
from lacewingwood.upstreams import types as upstream_types

TOKENS_PER_BLOCK = 64
# Leading blocks of a prompt that are considered; later ones matter little.
_MAX_BLOCKS = 64
_MAX_BYTES = _MAX_BLOCKS * upstream_prefix.BLOCK_BYTES
# Replicas remembered for a block; with more, a hot prefix would only be spread
# over more caches.
_MAX_REPLICAS_PER_BLOCK = 4
# Engines often lose single events. A larger gap means a restart or an outage,
# after which few of the recorded blocks are still cached.
_MAX_SERIAL_GAP = 1000


def block_hashes(model: str, prompt: bytes) -> tuple[int, ...]:
    """Returns one hash per whole block, each over the prompt up to its end."""
    hashes = upstream_prefix.block_digests(model, prompt[:_MAX_BYTES])
    return tuple(int(text, 16) for text in hashes)


class Affinity:
    """Estimate of each replica's prefix cache, bounded by LRU eviction.

    Sources are this entry's routing decisions, which are known early, and the
    engines' cache events, which come late and with gaps.
    """

    __slots__ = ("_capacity", "_epochs", "_holders", "_serials")

    def __init__(self, capacity: int = 100_000) -> None:
        self._capacity = capacity
        # For each block the replicas that hold it, most recent last, with the
        # replica's epoch when the block was added. Entries of an epoch other
        # than the replica's current one are void.
        self._holders: collections.OrderedDict[int, dict[str, int]]
        self._holders = collections.OrderedDict()
        self._epochs: dict[str, int] = {}
        self._serials: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def note_routed(self, replica_id: str, blocks: tuple[int, ...]) -> None:
        """Records that a request with these blocks is sent to a replica."""
        for block in blocks:
            self._add(block, replica_id)

    def cached_tokens(self, replica_id: str, blocks: tuple[int, ...]) -> int:
        """Returns the estimated number of prompt tokens a replica caches."""
        return self._depth(replica_id, blocks) * TOKENS_PER_BLOCK

    def preferred(self, blocks: tuple[int, ...]) -> str | None:
        """Returns the replica with the longest cached prefix, if any.

        Of several with the same length, returns the most recently used one.
        """
        if not blocks:
            return None
        holders = self._holders.get(blocks[0], {})
        best, best_depth = None, 0
        for replica_id in holders:
            depth = self._depth(replica_id, blocks)
            if depth and depth >= best_depth:
                best, best_depth = replica_id, depth
        return best

    def apply_events(
        self, replica_id: str, events: list[upstream_types.CacheEvent]
    ) -> None:
        """Applies a replica's cache events.

        Events that were applied before are ignored. A lost eviction makes one
        estimate wrong; after many lost events all estimates are dropped.
        """
        for event in events:
            self._apply(replica_id, event)

    def forget(self, replica_id: str) -> None:
        """Drops all blocks recorded for a replica."""
        self._epochs[replica_id] = self._epochs.get(replica_id, 0) + 1

    def note_restart(self, replica_id: str) -> None:
        """Drops a restarted replica's blocks and its last event serial."""
        self.forget(replica_id)
        self._serials.pop(replica_id, None)

    def _depth(self, replica_id: str, blocks: tuple[int, ...]) -> int:
        epoch = self._epochs.get(replica_id, 0)
        depth = 0
        for block in blocks:
            holders = self._holders.get(block)
            if holders is None or holders.get(replica_id) != epoch:
                break
            depth += 1
        return depth

    def _apply(self, replica_id: str, event: upstream_types.CacheEvent) -> None:
        last = self._serials.get(replica_id)
        if last is not None and event.serial <= last:
            return
        if last is not None and event.serial > last + _MAX_SERIAL_GAP:
            self.forget(replica_id)
        self._serials[replica_id] = event.serial
        block = _parse_block(event.block)
        if block is None:
            return
        if event.stored:
            self._add(block, replica_id)
        else:
            self._remove(block, replica_id)

    def _add(self, block: int, replica_id: str) -> None:
        holders = self._holders.setdefault(block, {})
        holders.pop(replica_id, None)
        holders[replica_id] = self._epochs.get(replica_id, 0)
        if len(holders) > _MAX_REPLICAS_PER_BLOCK:
            del holders[next(iter(holders))]
        self._holders.move_to_end(block)
        if len(self._holders) > self._capacity:
            self._holders.popitem(last=False)

    def _remove(self, block: int, replica_id: str) -> None:
        holders = self._holders.get(block)
        if holders is not None:
            holders.pop(replica_id, None)
            if not holders:
                del self._holders[block]


def _parse_block(text: str) -> int | None:
    try:
        return int(text, 16)
    except ValueError:
        return None
