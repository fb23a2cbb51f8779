"""What the gateways of one zone tell the other zones together."""

from collections.abc import Iterable
from collections.abc import Mapping

from lacewingwood.peers import gateway_messages

# A report, and when each of its customers' counts was last seen to change.
Report = tuple[gateway_messages.GatewayReport, Mapping[str, float]]


def make(
    zone: str,
    sender: str,
    started_ms: int,
    serial: int,
    reports: Iterable[Report],
    limit_ms: float,
) -> gateway_messages.ZoneDigest:
    """Returns the digest of a zone's reports.

    Args:
        zone: The zone.
        sender: The gateway that makes it.
        started_ms: Unix time of the sender's start.
        serial: Number of the digest.
        reports: Those of its gateways that were heard lately.
        limit_ms: Counts that have not changed since are left out.
    """
    hosts: list[gateway_messages.HostCounts] = []
    running: dict[str, tuple[int, int]] = {}
    outcomes: dict[str, tuple[int, int]] = {}
    for report, changed in reports:
        hosts.append(_counts(report, changed, limit_ms))
        _add_all(running, report.running)
        _add_all(outcomes, report.outcomes)
    return gateway_messages.ZoneDigest(
        zone, sender, started_ms, serial, hosts, running, outcomes
    )


def _add_all(
    sums: dict[str, tuple[int, int]], more: Mapping[str, tuple[int, int]]
) -> None:
    for key, (first, second) in more.items():
        held = sums.get(key, (0, 0))
        sums[key] = (held[0] + first, held[1] + second)


def _counts(
    report: gateway_messages.GatewayReport,
    changed: Mapping[str, float],
    limit_ms: float,
) -> gateway_messages.HostCounts:
    return gateway_messages.HostCounts(
        report.host,
        report.started_ms,
        report.version,
        {
            customer: count
            for customer, count in report.admitted.items()
            if changed.get(customer, 0.0) >= limit_ms
        },
        report.owned,
    )
