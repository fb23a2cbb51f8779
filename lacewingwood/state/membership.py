"""Quorum sets of regions, and which members monitor which."""

import bisect
from collections.abc import Iterable
from collections.abc import Set

import xxhash

from lacewingwood.state import records

# Number of members that monitor each member; with several, its failure is
# detected even if some of them fail with it.
WATCHED_COUNT = 3


def quorum_set(
    members: Iterable[records.Member], region: str, hosts: Set[str] | None
) -> frozenset[str]:
    """Returns the node ids of a region of which a majority must answer.

    The view no longer contains members that left, or that a later member at
    the same address, or of the same role on the same host, has replaced.

    Args:
        members: The members in the view.
        region: The region.
        hosts: Ids on the host list, None while it is unknown.
    """
    return frozenset(
        member.node_id
        for member in members
        if member.region == region and _is_listed(member, hosts)
    )


def successors(
    node_id: str, node_ids: Iterable[str], count: int = WATCHED_COUNT
) -> list[str]:
    """Returns the members that a member monitors: its successors on a ring.

    Args:
        node_id: Node id of the monitoring member.
        node_ids: Node ids of all members, ordered on the ring by their hashes.
        count: Number of successors.
    """
    ring = sorted((_ring_position(n), n) for n in node_ids if n != node_id)
    start = bisect.bisect(ring, (_ring_position(node_id), node_id))
    ordered = ring[start:] + ring[:start]
    return [n for _, n in ordered[:count]]


def _is_listed(member: records.Member, hosts: Set[str] | None) -> bool:
    return hosts is None or not member.host or member.host in hosts


def _ring_position(node_id: str) -> int:
    return xxhash.xxh3_64_intdigest(node_id.encode())
