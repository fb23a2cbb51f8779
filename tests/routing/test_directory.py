"""Tests of the replica directory."""

from lacewingwood.routing import directory


def _listing(replica_id: str, leaving: bool = False) -> directory.Listing:
    return directory.Listing(
        replica_id, "s", "10.0.0.1:80", "z", 8, leaving=leaving
    )


def _ids(replicas: directory.Directory) -> list[str]:
    return sorted(listing.id for listing in replicas.replicas())


def test_removed_replica_is_gone_at_once() -> None:
    """Guards against routing requests to a replica that has left."""
    replicas = directory.Directory()
    replicas.note_contact(0, 1800)
    replicas.put(_listing("a"))
    replicas.remove("a", 500)
    assert _ids(replicas) == []


def test_entry_lost_in_an_outage_is_retained_for_a_grace_period() -> None:
    """Guards against an empty directory after an outage of the store."""
    replicas = directory.Directory()
    replicas.note_contact(0, 1800)
    replicas.put(_listing("a"))
    replicas.put(_listing("b"))
    replicas.note_contact(9_000, 1800)
    replicas.remove("a", 9_010)
    replicas.remove("b", 9_010)
    assert _ids(replicas) == ["a", "b"]
    replicas.put(_listing("a"))
    assert [x.id for x in replicas.expire(11_300)] == ["b"]
    assert _ids(replicas) == ["a"]


def test_leaving_replica_is_not_retained() -> None:
    """Guards against routing to a replica that left during an outage."""
    replicas = directory.Directory()
    replicas.note_contact(0, 1800)
    replicas.put(_listing("a", leaving=True))
    replicas.note_contact(9_000, 1800)
    replicas.remove("a", 9_010)
    assert _ids(replicas) == []
