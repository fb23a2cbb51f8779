"""What the gateways of one zone tell the other zones together."""

import time
from collections.abc import Iterable
from collections.abc import Mapping

from lacewingwood.peers import gateway_messages

# A report, and when each of its customers' counts was last seen to change.
Report = tuple[gateway_messages.GatewayReport, Mapping[str, float]]


def make(
    zone: str, reports: Iterable[Report], limit_ms: float
) -> gateway_messages.ZoneDigest:
    """Returns the digest of a zone's reports.

    Args:
        zone: The zone.
        reports: Those of its gateways that were heard lately.
        limit_ms: Counts that have not changed since are left out.
    """
    hosts: list[gateway_messages.HostCounts] = []
    running: dict[str, tuple[int, int]] = {}
    for report, changed in reports:
        hosts.append(_counts(report, changed, limit_ms))
        for key, (online, batch) in report.running.items():
            held = running.get(key, (0, 0))
            running[key] = (held[0] + online, held[1] + batch)
    sent_ms = time.time_ns() // 1_000_000
    return gateway_messages.ZoneDigest(zone, sent_ms, hosts, running)


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
