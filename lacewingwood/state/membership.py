"""Which members count, and who watches whom."""

import bisect
from collections.abc import Iterable
from collections.abc import Set

import xxhash

from lacewingwood.state import records

# Each member is watched by so many others, so that one that dies is noticed
# even if some of those that watch it die with it.
WATCHED = 3


def quorum_set(
    members: Iterable[records.Member], region: str, hosts: Set[str] | None
) -> frozenset[str]:
    """Returns the node ids of a region of which a majority must answer.

    The view has already left out the members that left and those that a later
    one at the same address, or of the same role on the same host, replaced.

    Args:
        members: The view's members.
        region: The region.
        hosts: Ids on the host list, None if it isn't known.
    """
    return frozenset(
        member.node_id
        for member in members
        if member.region == region and _listed(member, hosts)
    )


def successors(
    node_id: str, node_ids: Iterable[str], count: int = WATCHED
) -> list[str]:
    """Returns the members that `node_id` watches, on a ring of hashed ids."""
    ring = sorted((_position(n), n) for n in node_ids if n != node_id)
    start = bisect.bisect(ring, (_position(node_id), node_id))
    ordered = ring[start:] + ring[:start]
    return [n for _, n in ordered[:count]]


def _listed(member: records.Member, hosts: Set[str] | None) -> bool:
    return hosts is None or not member.host or member.host in hosts


def _position(node_id: str) -> int:
    return xxhash.xxh3_64_intdigest(node_id.encode())
