"""Tests of the detection of idle connections and silent peers."""

from lacewingwood.peers import liveness

_KEEP = liveness.Verdict.KEEP
_PING = liveness.Verdict.PING


def test_busy_connection_is_not_silent() -> None:
    """Guards against dropping a connection with data in flight at each tick."""
    state = liveness.Liveness(3)
    for _ in range(100):
        state.note_message()
        state.expect_response()
        state.note_received()
        state.expect_response()
        assert state.tick() is _PING


def test_unused_connection_ends_without_further_pings() -> None:
    """Guards against pings that keep unused connections open."""
    state = liveness.Liveness(3)
    state.expect_response()
    assert state.tick() is _PING
    state.note_received()
    assert [state.tick(), state.tick()] == [_KEEP, liveness.Verdict.IDLE]


def test_silence_is_detected_while_messages_are_sent() -> None:
    """Guards against sending one-way messages to a dead host indefinitely."""
    state = liveness.Liveness(3)
    verdicts = []
    for _ in range(3):
        state.note_message()
        state.expect_response()
        verdicts.append(state.tick())
    assert verdicts == [_PING, _PING, liveness.Verdict.SILENT]
