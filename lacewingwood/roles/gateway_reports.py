"""Reports between gateways: what this one tells, and what it applies."""

from collections.abc import Callable

from lacewingwood import clock as clocks
from lacewingwood import gateway_settings
from lacewingwood.jobs import ownership as ownerships
from lacewingwood.jobs import scheduler as schedulers
from lacewingwood.limits import shared
from lacewingwood.peers import gateway_messages
from lacewingwood.peers import roster as roster_lib
from lacewingwood.routing import evacuation
from lacewingwood.routing import load
from lacewingwood.routing import quarantine as quarantines
from lacewingwood.state import published


class Reports:
    """Makes this gateway's reports and applies those of the others."""

    def __init__(
        self,
        cfg: gateway_settings.GatewaySettings,
        started_ms: int,
        published_: published.PublishedConfiguration,
        fleet: load.Fleet,
        limits: shared.SharedLimits,
        quarantine: quarantines.Quarantine,
        evacuations: evacuation.Evacuations,
        ownership: ownerships.Ownership,
        scheduler: schedulers.Scheduler,
        roster: roster_lib.Roster,
        clock: clocks.Clock,
        log_age_ms: Callable[[], float],
    ) -> None:
        self._cfg = cfg
        self._started_ms = started_ms
        self._published = published_
        self._fleet = fleet
        self._limits = limits
        self._quarantine = quarantine
        self._evacuations = evacuations
        self._ownership = ownership
        self._scheduler = scheduler
        self._roster = roster
        self._clock = clock
        self._log_age_ms = log_age_ms

    def apply(self, report: gateway_messages.GatewayReport) -> None:
        """Applies the report of another gateway."""
        now_ms = self._clock.now_ms()
        self._fleet.note_report(
            report.host,
            report.running,
            now_ms,
            report.outcomes,
            same_zone=self._roster.is_in_zone(report.host),
            speeds=report.speeds,
        )
        self._limits.note_report(
            report.host, report.started_ms, report.admitted, now_ms
        )
        self._fleet.limits.note_limits(report.replica_limits, now_ms)
        self._fleet.note_leaving(report.leaving_replicas, now_ms)
        self._evacuations.apply_copy(report.evacuations)
        self._fleet.limits.note_report(
            report.host, report.started_ms, report.sent, now_ms
        )
        if report.crash_report is not None:
            self._quarantine.note_report(report.crash_report, now_ms)

    def apply_digest(self, digest: gateway_messages.ZoneDigest) -> None:
        """Applies the digest of another zone."""
        now_ms = self._clock.now_ms()
        self._fleet.note_report(
            f"zone {digest.zone}",
            digest.running,
            now_ms,
            digest.outcomes,
            same_zone=False,
            speeds=digest.speeds,
        )
        self._fleet.limits.note_limits(digest.replica_limits, now_ms)
        self._fleet.note_leaving(digest.leaving_replicas, now_ms)
        self._evacuations.apply_copy(digest.evacuations)
        for counts in digest.hosts:
            host, started_ms = counts.host, counts.started_ms
            self._limits.note_report(host, started_ms, counts.admitted, now_ms)
            self._fleet.limits.note_report(
                host, started_ms, counts.sent, now_ms
            )
        if digest.crash_report is not None:
            self._quarantine.note_report(digest.crash_report, now_ms)

    def make(self) -> gateway_messages.GatewayReport:
        """Returns the report of this gateway."""
        now_ms = self._clock.now_ms()
        return gateway_messages.GatewayReport(
            host=self._cfg.host,
            address=self._cfg.peer_address,
            started_ms=self._started_ms,
            version=self._published.version,
            running=self._fleet.own_counts(),
            outcomes=self._fleet.own_outcomes(now_ms),
            admitted=self._limits.recent_admissions(now_ms),
            owned=self._ownership.epochs(),
            log_age_ms=self._log_age_ms(),
            waiting=self._scheduler.counts[0],
            crash_report=self._quarantine.report(now_ms),
            replica_limits=self._fleet.limits.report(now_ms),
            sent=self._fleet.limits.recently_sent(now_ms),
            leaving_replicas=self._fleet.recently_leaving(now_ms),
            speeds=self._fleet.speeds.report(now_ms),
            evacuations=self._evacuations.marks(),
        )

    def has_urgent_news(self) -> bool:
        """Returns whether other gateways need this one's report at once."""
        now_ms = self._clock.now_ms()
        return (
            self._limits.has_customer_near_limit()
            or self._quarantine.is_urgent(now_ms)
            or self._fleet.limits.is_urgent(now_ms)
        )
