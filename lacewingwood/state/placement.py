"""Which member should hold a lease."""

from collections.abc import Iterable

import xxhash

from lacewingwood.state import records


def preferred(
    name: str, members: Iterable[records.Member], role: str
) -> records.Member | None:
    """Returns the member of `role` that should hold the lease `name`.

    By rendezvous hashing: when a member comes or goes, only the leases that it
    gets or had change hands.
    """
    candidates = (member for member in members if member.role == role)
    return max(
        candidates, key=lambda member: _weight(name, member), default=None
    )


def _weight(name: str, member: records.Member) -> tuple[int, str]:
    text = f"{name}\0{member.node_id}"
    return xxhash.xxh3_64_intdigest(text.encode()), member.node_id
