"""Tests of the digests of a zone's reports."""

from lacewingwood.peers import digests
from lacewingwood.peers import gateway_messages


def _report(
    host: str, crash_report: gateway_messages.CrashReport
) -> gateway_messages.GatewayReport:
    return gateway_messages.GatewayReport(
        host=host,
        address="127.0.0.1:1",
        started_ms=1,
        version=1,
        running={},
        outcomes={},
        admitted={},
        owned={},
        log_age_ms=0.0,
        crash_report=crash_report,
    )


def test_digest_tells_late_suspects_and_what_was_completed() -> None:
    """Guards against zones that never learn what crashes replicas (BUDGET)."""
    crash = gateway_messages.Crash("i-1", 5.0, {}, ["request/1"])
    reports = [
        _report("a", gateway_messages.CrashReport([crash], {})),
        _report("b", gateway_messages.CrashReport([], {}, {"request/1": 9.0})),
        _report("c", gateway_messages.CrashReport([], {}, {"request/1": 4.0})),
    ]
    told = digests.make("z", "a", 1, 1, reports).crash_report
    assert told is not None
    assert told.crashes == [crash]
    assert told.completed == {"request/1": 4.0}
    assert digests.make("z", "a", 1, 2, reports[1:]).crash_report is not None
