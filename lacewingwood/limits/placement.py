"""Which entries own the parts of the customers' buckets."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from lacewingwood.limits import split
from lacewingwood.state import placement
from lacewingwood.state import records


def preferred(
    name: str, members: Iterable[records.Member], role: str
) -> records.Member | None:
    """Returns the member of `role` that should own the part `name`.

    The parts of a bucket go to different members, in different zones if there
    are several, so that the loss of one leaves its customers the other part.
    """
    candidates = [member for member in members if member.role == role]
    base, _, part = name.rpartition("/")
    first = placement.preferred(base, candidates, role)
    if first is None or part == "0":
        return first
    others = [m for m in candidates if m.node_id != first.node_id]
    elsewhere = [m for m in others if m.zone != first.zone]
    return placement.preferred(base, elsewhere or others, role) or first


def misplaced(
    names: Iterable[str],
    held: Callable[[str], int | None],
    members: Mapping[str, records.Member],
    node_id: str,
) -> list[str]:
    """Returns the parts that this process should release to another.

    Only a part whose sibling is held here, too, is moved: a new owner lends
    nothing for a while, in which the sibling has to serve the customers.
    """
    role = members[node_id].role if node_id in members else ""
    mine = {name for name in names if held(name) is not None}
    moved: list[str] = []
    for name in sorted(mine):
        siblings = {
            split.sibling_lease(name, index) for index in range(split.PARTS)
        }
        chosen = preferred(name, members.values(), role)
        if chosen is None or chosen.node_id == node_id:
            continue
        if siblings <= mine and not siblings & set(moved):
            moved.append(name)
    return moved
