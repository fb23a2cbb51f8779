"""Assignment of leases to members."""

from collections.abc import Iterable

import xxhash

from lacewingwood.state import records


def preferred(
    name: str, members: Iterable[records.Member], role: str
) -> records.Member | None:
    """Returns the member that should hold a lease, by rendezvous hashing.

    When a member joins or leaves, only the leases that it gets or had are
    reassigned.

    Args:
        name: Name of the lease.
        members: All members.
        role: Role of the members to choose from.
    """
    candidates = (member for member in members if member.role == role)
    return max(
        candidates, key=lambda member: _weight(name, member), default=None
    )


def _weight(name: str, member: records.Member) -> tuple[int, str]:
    text = f"{name}\0{member.node_id}"
    return xxhash.xxh3_64_intdigest(text.encode()), member.node_id
