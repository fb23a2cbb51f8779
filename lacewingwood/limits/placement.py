"""Placement of bucket parts on the entry processes that own them."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from lacewingwood.limits import split
from lacewingwood.state import placement
from lacewingwood.state import records


def preferred(
    name: str, members: Iterable[records.Member], role: str
) -> records.Member | None:
    """Returns the member that should hold the lease on a bucket part.

    The parts of a bucket go to different members, in different zones if there
    are several, so that the loss of one member leaves its customers the other
    part.

    Args:
        name: Name of the lease.
        members: All members.
        role: Role of the members to choose from.
    """
    candidates = [member for member in members if member.role == role]
    base, _, part = name.rpartition("/")
    first = placement.preferred(base, candidates, role)
    if first is None or part == "0":
        return first
    others = [m for m in candidates if m.node_id != first.node_id]
    other_zones = [m for m in others if m.zone != first.zone]
    return placement.preferred(base, other_zones or others, role) or first


def misplaced(
    names: Iterable[str],
    held: Callable[[str], int | None],
    members: Mapping[str, records.Member],
    node_id: str,
) -> list[str]:
    """Returns the leases that this process should release to another member.

    A lease is released only if this process also holds the lease on the
    sibling part: a new owner lends nothing at first, and until then the
    sibling part has to serve the customers.

    Args:
        names: Names of all leases on bucket parts.
        held: Returns the epoch of a lease, None if it is not held here.
        members: Members by node id.
        node_id: Node id of this process.
    """
    role = members[node_id].role if node_id in members else ""
    held_names = {name for name in names if held(name) is not None}
    to_release: list[str] = []
    for name in sorted(held_names):
        siblings = {
            split.sibling_lease(name, index) for index in range(split.PARTS)
        }
        target = preferred(name, members.values(), role)
        if target is None or target.node_id == node_id:
            continue
        if siblings <= held_names and not siblings & set(to_release):
            to_release.append(name)
    return to_release
