"""Tests of the limits for callers' connections."""

from lacewingwood.callers import connection_table

_End = connection_table.End


def test_phases_have_their_own_time_limits() -> None:
    """Guards against ending running requests, or not ending heads."""
    table = connection_table.ConnectionTable(
        first_byte_ms=60_000, header_ms=3_000, idle_ms=15_000
    )
    silent, head, busy, idle = (table.add(0) for _ in range(4))
    table.note_data(head, 1_000)
    # Further bytes of a head don't extend its time.
    table.note_data(head, 3_900)
    table.note_busy(busy)
    table.note_idle(idle, 0)
    assert table.expired(3_999) == []
    assert table.expired(4_000) == [(head, _End.HEADER_TIMEOUT)]
    assert table.expired(14_999) == []
    assert table.expired(15_000) == [(idle, _End.IDLE_TIMEOUT)]
    assert table.expired(60_000) == [(silent, _End.FIRST_BYTE)]
    assert (table.open, table.idle) == (1, 0)


def test_least_recently_used_connection_makes_room() -> None:
    """Guards against closing a connection in use, or one just opened."""
    table = connection_table.ConnectionTable(most=3)
    first, second, busy = (table.add(0) for _ in range(3))
    table.note_idle(first, 10)
    table.note_idle(second, 20)
    table.note_busy(busy)
    table.note_idle(first, 30)
    assert table.full
    assert table.evict(40) is second
    assert not table.full
    new = table.add(40)
    assert table.evict(50) is first
    assert table.evict(60) is None
    assert table.evict(2_000) is new
    assert table.open == 1
