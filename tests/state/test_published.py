"""Tests of applying replica entries from the log."""

from lacewingwood import clock as clocks
from lacewingwood.log import compacted
from lacewingwood.platform import documents
from lacewingwood.routing import load
from lacewingwood.state import published

_ENTRY = (
    b'{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,'
    b'"state":"ready"}'
)


def _make() -> tuple[load.Fleet, published.ReplicaList]:
    fleet = load.Fleet()
    clock = clocks.ManualClock(100_000)
    replicas = published.ReplicaList(
        fleet, documents.decode_replica, clock, 1_800
    )
    return fleet, replicas


def test_snapshot_removes_missing_replicas() -> None:
    """Guards against keeping removed replicas after the history was lost."""
    fleet, replicas = _make()
    replicas.apply_snapshot(
        [compacted.Record("a", _ENTRY), compacted.Record("b", _ENTRY)]
    )
    replicas.apply_snapshot([compacted.Record("b", _ENTRY)])
    assert [r.listing.id for r in fleet.of_service("s")] == ["b"]


def test_malformed_entry_is_skipped() -> None:
    """Guards against an undecodable entry that ends the process."""
    fleet, replicas = _make()
    replicas.apply_changes(
        [compacted.Record("x", b"\xff"), compacted.Record("a", _ENTRY)]
    )
    assert [r.listing.id for r in fleet.of_service("s")] == ["a"]


def test_change_to_leaving_is_applied() -> None:
    """Guards against sending requests to a replica that is draining."""
    fleet, replicas = _make()
    replicas.apply_changes([compacted.Record("a", _ENTRY)])
    leaving = _ENTRY.replace(b"ready", b"draining")
    replicas.apply_changes([compacted.Record("a", leaving)])
    (replica,) = fleet.of_service("s")
    assert replica.listing.leaving


def test_replica_that_returns_after_an_outage_is_kept() -> None:
    """Guards against losing all replicas seconds after a store outage.

    Entries expired during the outage and were written again, unchanged, while
    they were held. This was treated as no change, and all replicas were
    dropped when the hold expired. Seed: sabeel-serve, mix --seed 421573446570
    (LOST).
    """
    fleet = load.Fleet()
    clock = clocks.ManualClock(0)
    replicas = published.ReplicaList(
        fleet, documents.decode_replica, clock, 1_800
    )
    replicas.apply_snapshot(
        [compacted.Record("a", _ENTRY), compacted.Record("b", _ENTRY)]
    )
    clock.advance(5_000)
    replicas.apply_changes(
        [compacted.Record("a", None), compacted.Record("b", None)]
    )
    assert len(fleet.of_service("s")) == 2
    clock.advance(1_000)
    replicas.apply_changes([compacted.Record("a", _ENTRY)])
    clock.advance(5_000)
    replicas.apply_changes([])
    assert [r.listing.id for r in fleet.of_service("s")] == ["a"]
