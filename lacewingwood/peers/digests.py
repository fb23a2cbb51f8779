"""Summarizes the reports of a zone's gateways for the other zones."""

from collections.abc import Iterable
from collections.abc import Mapping

from lacewingwood.peers import gateway_messages
from lacewingwood.routing import evacuation

# Replicas of a digest whose speeds are told. The coordinators of their own zone
# hear of all, and other zones need a summary; 24 of 20 bytes each, from seven
# zones and twice a second, are 6.7 KB/s for each hub.
_MAX_SPEEDS = 24


def make(
    zone: str,
    sender: str,
    started_ms: int,
    serial: int,
    reports: Iterable[gateway_messages.GatewayReport],
) -> gateway_messages.ZoneDigest:
    """Returns the digest of the reports of a zone's gateways.

    Args:
        zone: The zone.
        sender: Host of the gateway that makes the digest.
        started_ms: Unix time at which the sender's process started.
        serial: Sequence number of the digest.
        reports: Latest reports of the zone's gateways, without those of
            gateways that stopped reporting.
    """
    hosts: list[gateway_messages.HostCounts] = []
    running: dict[str, tuple[int, int]] = {}
    outcomes: dict[str, tuple[int, int]] = {}
    crash_report = gateway_messages.CrashReport([], {}, {})
    limits: dict[str, gateway_messages.ReplicaLimit] = {}
    leaving: set[str] = set()
    speeds: dict[str, gateway_messages.ReplicaSpeed] = {}
    evacuations: dict[str, evacuation.Mark] = {}
    urgent = False
    for report in reports:
        urgent |= report.urgent
        if report.crash_report is not None:
            _add_crash_report(crash_report, report.crash_report)
        hosts.append(
            gateway_messages.HostCounts(
                report.host,
                report.started_ms,
                report.version,
                report.admitted,
                report.owned,
                report.sent,
            )
        )
        for replica, limit in report.replica_limits.items():
            if replica not in limits or limit.age_ms < limits[replica].age_ms:
                limits[replica] = limit
        leaving.update(report.leaving_replicas)
        _add_speeds(speeds, report.speeds)
        evacuation.merge(evacuations, report.evacuations)
        _add_counts(running, report.running)
        _add_counts(outcomes, report.outcomes)
    return gateway_messages.ZoneDigest(
        zone,
        sender,
        started_ms,
        serial,
        hosts,
        running,
        outcomes,
        urgent,
        crash_report if _tells_anything(crash_report) else None,
        limits,
        sorted(leaving),
        _most_unusual(speeds),
        evacuations,
    )


def _tells_anything(report: gateway_messages.CrashReport) -> bool:
    return bool(report.crashes or report.begun or report.completed)


def _add_crash_report(
    total: gateway_messages.CrashReport, report: gateway_messages.CrashReport
) -> None:
    """Adds a gateway's report of crashes to that of its zone."""
    total.crashes.extend(report.crashes)
    _add_ages(total.begun, report.begun)
    _add_ages(total.completed, report.completed)


def _add_ages(totals: dict[str, float], ages: Mapping[str, float]) -> None:
    for name, age_ms in ages.items():
        totals[name] = min(age_ms, totals.get(name, age_ms))


def _add_speeds(
    totals: dict[str, gateway_messages.ReplicaSpeed],
    speeds: Mapping[str, gateway_messages.ReplicaSpeed],
) -> None:
    """Pools the runs of several gateways at the same replicas."""
    for replica, told in speeds.items():
        total = totals.get(replica)
        if total is None:
            totals[replica] = told
            continue
        weight = total.runs + told.runs
        if weight <= 0:
            continue
        deviation = total.runs * total.deviation + told.runs * told.deviation
        totals[replica] = gateway_messages.ReplicaSpeed(
            weight, deviation / weight, min(total.age_ms, told.age_ms)
        )


def _most_unusual(
    speeds: dict[str, gateway_messages.ReplicaSpeed],
) -> dict[str, gateway_messages.ReplicaSpeed]:
    """Returns the evidence that matters most, within the size of a digest."""
    if len(speeds) <= _MAX_SPEEDS:
        return speeds
    order = sorted(
        speeds,
        key=lambda name: -abs(speeds[name].deviation * speeds[name].runs),
    )
    return {name: speeds[name] for name in order[:_MAX_SPEEDS]}


def _add_counts(
    totals: dict[str, tuple[int, int]], counts: Mapping[str, tuple[int, int]]
) -> None:
    """Adds pairs of counts to the totals under the same keys."""
    for key, (first, second) in counts.items():
        total = totals.get(key, (0, 0))
        totals[key] = (total[0] + first, total[1] + second)
