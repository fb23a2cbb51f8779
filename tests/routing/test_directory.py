"""Tests of the list of replicas."""

from lacewingwood.routing import directory


def _listing(replica_id: str, leaving: bool = False) -> directory.Listing:
    return directory.Listing(
        replica_id, "s", "10.0.0.1:80", "z", 8, leaving=leaving
    )


def _ids(known: directory.Directory) -> list[str]:
    return sorted(listing.id for listing in known.replicas())


def test_removed_replica_is_gone_at_once() -> None:
    """Guards against work for a replica that has left."""
    known = directory.Directory()
    known.note_contact(0, 1800)
    known.put(_listing("a"))
    known.remove("a", 500)
    assert _ids(known) == []


def test_entry_lost_in_an_outage_is_held_until_it_may_be_back() -> None:
    """Guards against an empty fleet after the store was away."""
    known = directory.Directory()
    known.note_contact(0, 1800)
    known.put(_listing("a"))
    known.put(_listing("b"))
    known.note_contact(9_000, 1800)
    known.remove("a", 9_010)
    known.remove("b", 9_010)
    assert _ids(known) == ["a", "b"]
    known.put(_listing("a"))
    assert [x.id for x in known.expire(11_300)] == ["b"]
    assert _ids(known) == ["a"]


def test_leaving_replica_is_not_held() -> None:
    """Guards against work for a replica that left during an outage."""
    known = directory.Directory()
    known.note_contact(0, 1800)
    known.put(_listing("a", leaving=True))
    known.note_contact(9_000, 1800)
    known.remove("a", 9_010)
    assert _ids(known) == []
