"""Tests of the placement of bucket parts."""

import hypothesis
from hypothesis import strategies

from lacewingwood.limits import placement
from lacewingwood.limits import split
from lacewingwood.state import records


def _members(zones: list[str]) -> dict[str, records.Member]:
    return {
        f"n{i}": records.Member(f"n{i}", "entry", f"127.0.0.1:{i}", zone, "r")
        for i, zone in enumerate(zones)
    }


@hypothesis.given(strategies.lists(strategies.sampled_from("ab"), min_size=2))
def test_parts_of_a_bucket_have_different_owners(zones: list[str]) -> None:
    """Guards against losing both parts of a bucket with one host or zone."""
    members = _members(zones).values()
    for shard in range(32):
        first, second = (
            placement.preferred(f"limit/{shard}/{part}", members, "entry")
            for part in range(2)
        )
        assert first is not None
        assert second is not None
        assert first.node_id != second.node_id
        assert first.zone != second.zone or len(set(zones)) == 1


@hypothesis.given(
    strategies.lists(strategies.sampled_from("ab"), min_size=1, max_size=5),
    strategies.sets(strategies.sampled_from(split.lease_names())),
)
def test_sibling_of_a_moved_part_stays(
    zones: list[str], held_names: set[str]
) -> None:
    """Guards against moving both parts of a bucket at the same time."""
    to_release = placement.misplaced(
        split.lease_names(),
        lambda name: 1 if name in held_names else None,
        _members(zones),
        "n0",
    )
    for name in to_release:
        other = split.sibling_lease(name, 1 - int(name[-1]))
        assert other in held_names
        assert other not in to_release
