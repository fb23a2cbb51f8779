"""Tests of the roster of other gateways."""

from lacewingwood import clock as clocks
from lacewingwood.peers import gateway_messages
from lacewingwood.peers import roster as roster_lib


def _make() -> tuple[roster_lib.Roster, clocks.ManualClock]:
    clock = clocks.ManualClock()
    return roster_lib.Roster("self", "z", clock, lambda: 0.0), clock


def _report(
    started_ms: int, serial: int, **fields: object
) -> gateway_messages.GatewayReport:
    return gateway_messages.GatewayReport(
        "a", "10.0.0.1:1", started_ms, 1, {}, {}, {}, serial=serial, **fields
    )  # type: ignore[arg-type]


def test_outdated_reports_are_ignored() -> None:
    """Guards against old counts that replace newer ones."""
    roster, _ = _make()
    assert roster.note_report(_report(1_000, 2))
    assert not roster.note_report(_report(1_000, 2))
    assert not roster.note_report(_report(1_000, 1))
    assert roster.note_report(_report(1_000, 3))


def test_reports_of_an_earlier_process_are_ignored() -> None:
    """Guards against counts of a process that has been replaced."""
    roster, _ = _make()
    assert roster.note_report(_report(2_000, 1))
    assert not roster.note_report(_report(1_000, 9))


def test_report_after_a_restart_is_accepted_if_the_entry_came_first() -> None:
    """Guards against ignoring the first reports of a restarted process.

    Its entry on the log may arrive before its first report.
    """
    roster, _ = _make()
    assert roster.note_report(_report(1_000, 500))
    roster.note_entry("a", "10.0.0.1:1", "z", 2_000)
    assert roster.note_report(_report(2_000, 1))


def test_report_after_a_restart_is_accepted_if_a_digest_came_first() -> None:
    """Guards against ignoring a restarted process that a digest named first."""
    roster, _ = _make()
    roster.note_entry("a", "10.0.0.1:1", "z", 1_000)
    assert roster.note_report(_report(1_000, 500))
    roster.note_counts([gateway_messages.HostCounts("a", 2_000, 1, {}, {})])
    assert roster.note_report(_report(2_000, 1))


def test_gateway_that_left_is_not_live() -> None:
    """Guards against work sent to a gateway that has stopped."""
    roster, _ = _make()
    lost: list[str] = []
    roster.on_peer_lost = lost.append
    roster.note_report(_report(1_000, 1))
    assert [peer.host for peer in roster.live_peers()] == ["a"]
    assert roster.note_report(_report(1_000, 2, leaving=True))
    assert not roster.live_peers()
    assert lost == ["a"]
    assert not roster.note_report(_report(1_000, 1))


def test_silent_gateway_keeps_its_share_until_its_entry_expires() -> None:
    """Guards against a partitioned fleet that admits more than the limit."""
    roster, clock = _make()
    roster.note_entry("a", "10.0.0.1:1", "z", 1_000)
    roster.note_report(_report(1_000, 1))
    assert roster.reachable_share() == 1.0
    clock.advance(2_000)
    assert roster.reachable_share() == 0.5
    clock.advance(10_000)
    assert roster.reachable_share() == 1.0


def test_candidates_are_dealt_over_the_zones_and_replaced_when_lost() -> None:
    """Guards against work that no gateway takes, or that all take.

    Four candidates of two zones: two hosts of each zone.
    """
    roster, clock = _make()
    assert roster.is_candidate(4)
    for host, zone in (("a", "z"), ("b", "z"), ("c", "y"), ("d", "y")):
        roster.note_entry(host, f"{host}:1", zone, 1_000)
        report = gateway_messages.GatewayReport(
            host, f"{host}:1", 1_000, 1, {}, {}, {}, serial=1
        )
        assert roster.note_report(report)
    assert not roster.is_candidate(4)
    assert roster.is_candidate(6)
    clock.advance(roster_lib.REPORT_TIMEOUT_MS + 1)
    assert roster.is_candidate(4)
