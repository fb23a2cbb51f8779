"""What the gateways of one zone tell the other zones together."""

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
    """Returns the digest of a zone's reports.

    Args:
        zone: The zone.
        sender: The gateway that makes it.
        started_ms: Unix time of the sender's start.
        serial: Number of the digest.
        reports: Those of its gateways that were heard lately.
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
        _add_all(running, report.running)
        _add_all(outcomes, report.outcomes)
    return gateway_messages.ZoneDigest(
        zone, sender, started_ms, serial, hosts, running, outcomes, urgent
    )


def _add_all(
    sums: dict[str, tuple[int, int]], more: Mapping[str, tuple[int, int]]
) -> None:
    for key, (first, second) in more.items():
        held = sums.get(key, (0, 0))
        sums[key] = (held[0] + first, held[1] + second)
