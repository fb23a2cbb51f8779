"""Tests of the decision when a connection is idle or silent."""

from lacewingwood.peers import liveness

_KEEP = liveness.Verdict.KEEP
_PING = liveness.Verdict.PING


def test_busy_link_is_not_taken_for_a_silent_one() -> None:
    """Guards against dropping a link that has data in flight at each tick."""
    state = liveness.Liveness(3)
    for _ in range(100):
        state.message_passed()
        state.sent()
        state.received()
        state.sent()
        assert state.tick() is _PING


def test_idle_connection_ends_and_exchanges_no_pings() -> None:
    """Guards against pings that keep unused connections open."""
    state = liveness.Liveness(3)
    state.sent()
    assert state.tick() is _PING
    state.received()
    assert [state.tick(), state.tick()] == [_KEEP, liveness.Verdict.IDLE]


def test_silence_is_noticed_though_messages_go_on_being_sent() -> None:
    """Guards against one-way messages to a host that vanished."""
    state = liveness.Liveness(3)
    verdicts = []
    for _ in range(3):
        state.message_passed()
        state.sent()
        verdicts.append(state.tick())
    assert verdicts == [_PING, _PING, liveness.Verdict.SILENT]
