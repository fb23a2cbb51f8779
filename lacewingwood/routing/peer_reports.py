"""Keeps the newest report of each peer applied to the replicas' counts."""

import dataclasses
from collections.abc import Mapping
from typing import Protocol

from lacewingwood.peers import gateway_messages
from lacewingwood.routing import outliers

# A peer's report is dropped if no newer one arrives within this time.
_REPORT_TTL_MS = 2_000.0

Counts = tuple[int, int]


class Replica(Protocol):
    """The counts of a replica that reports add to; see `load.Replica`."""

    peer_counts: list[int]
    zone_outcomes: list[int]
    other_zone_outcomes: list[int]


@dataclasses.dataclass(slots=True)
class Report:
    """What one peer, or all peers of another zone, have told.

    Attributes:
        at_ms: When it arrived.
        counts: Their requests in flight at each replica.
        outcomes: Recent outcomes of their requests at each replica.
        same_zone: True for peers of this zone.
        speeds: What their runs tell of each replica's speed.
    """

    at_ms: float
    counts: Mapping[str, Counts]
    outcomes: Mapping[str, outliers.Counts]
    same_zone: bool
    speeds: Mapping[str, gateway_messages.ReplicaSpeed]


class PeerReports:
    """The newest reports by peer or zone."""

    __slots__ = ("_reports",)

    def __init__(self) -> None:
        self._reports: dict[str, Report] = {}

    def get(self, node: str) -> Report | None:
        """Returns the newest report of a peer or zone."""
        return self._reports.get(node)

    def replace(
        self, node: str, report: Report, replicas: Mapping[str, Replica]
    ) -> None:
        """Applies a report in place of the earlier one."""
        self.forget(node, replicas)
        self._reports[node] = report
        _apply(report, replicas, 1)

    def forget(self, node: str, replicas: Mapping[str, Replica]) -> None:
        """Drops the report of a peer that has stopped."""
        report = self._reports.pop(node, None)
        if report is not None:
            _apply(report, replicas, -1)

    def expire(self, now_ms: float, replicas: Mapping[str, Replica]) -> None:
        """Drops reports that have not been renewed in time."""
        limit_ms = now_ms - _REPORT_TTL_MS
        for node in [n for n, r in self._reports.items() if r.at_ms < limit_ms]:
            self.forget(node, replicas)

    def apply_to(self, replica_id: str, replica: Replica) -> None:
        """Applies all reports to a replica that was added."""
        for report in self._reports.values():
            _apply(report, {replica_id: replica}, 1)


def _apply(report: Report, replicas: Mapping[str, Replica], sign: int) -> None:
    for replica_id, counts in report.counts.items():
        if replica := replicas.get(replica_id):
            _add_counts(replica.peer_counts, counts, sign)
    for replica_id, outcomes in report.outcomes.items():
        if replica := replicas.get(replica_id):
            _add_counts(
                replica.zone_outcomes
                if report.same_zone
                else replica.other_zone_outcomes,
                outcomes,
                sign,
            )


def _add_counts(counts: list[int], change: tuple[int, int], sign: int) -> None:
    counts[0] += sign * change[0]
    counts[1] += sign * change[1]
