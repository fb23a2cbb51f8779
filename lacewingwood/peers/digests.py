"""Summarizes the reports of a zone's gateways for the other zones."""

from collections.abc import Iterable
from collections.abc import Mapping

from lacewingwood.peers import gateway_messages


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
    urgent = False
    for report in reports:
        urgent |= report.urgent
        hosts.append(
            gateway_messages.HostCounts(
                report.host,
                report.started_ms,
                report.version,
                report.admitted,
                report.owned,
            )
        )
        _add_counts(running, report.running)
        _add_counts(outcomes, report.outcomes)
    return gateway_messages.ZoneDigest(
        zone, sender, started_ms, serial, hosts, running, outcomes, urgent
    )


def _add_counts(
    totals: dict[str, tuple[int, int]], counts: Mapping[str, tuple[int, int]]
) -> None:
    """Adds pairs of counts to the totals under the same keys."""
    for key, (first, second) in counts.items():
        total = totals.get(key, (0, 0))
        totals[key] = (total[0] + first, total[1] + second)
