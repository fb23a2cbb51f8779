"""How fast each replica works, learned from the runs that it served.

This answers load on replicas of one service that differ in speed, for good or
for a moment. A run's times are compared with those that are usual in its
service at the same load. The logarithm of the ratio is the run's deviation, and
a replica's lasting speed is the mean deviation of the recent runs of all
gateways. What a replica says of its host moves that for a moment, and stands in
for it until there are runs.
"""

import dataclasses
import math
from collections.abc import Iterable
from collections.abc import Mapping

from lacewingwood.peers import gateway_messages
from lacewingwood.routing import usual_times

# Bounds of a replica's slowness.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 8.0
# Half-life of runs as evidence. In this time the deployments in use make some
# twenty runs at a replica.
_HALF_LIFE_MS = 6_000.0
# Without a new run, a lasting speed is forgotten after this time, so that a
# replica that gets no requests for its speed is tried again.
_TTL_MS = 10_000.0
# A lasting speed starts from the replica's own figure, which counts as much as
# this many runs.
_PRIOR_RUNS = 2.0
# Number of figures from which on their mean counts more than half.
_PRIOR_FIGURES = 4.0
# A lasting deviation counts from this size on, and if it is this many times the
# standard error of as many independent runs. Noise must not change the choice
# among equal replicas, and runs that overlap share the load's ups and downs:
# with 6, equal replicas that were chosen by late counts seemed slow. Once it
# counts, half of that keeps it.
_MIN_DEVIATION = 0.08
_MIN_Z = 8.0
_KEPT_SHARE = 0.5
# Evidence is told to other gateways from this mean deviation and number of
# standard errors on, so that reports hold hardly any while replicas are equal.
_MIN_REPORTED_DEVIATION = 0.05
_MIN_REPORTED_Z = 2.0
# Most weight of one gateway's or zone's report.
_MAX_REPORTED_RUNS = 60.0
# Most that a run counts as slower or quicker than usual.
MAX_DEVIATION = math.log(MAX_SLOWNESS)
# Most that a replica's own figure counts for on its own, lasting and for a
# moment, since it may be wrong.
_MAX_FIGURE_DEVIATION = math.log(1.5)
_MAX_MOMENT_DEVIATION = math.log(2.0)
# A figure changes several times a second; its mean lasts longer.
_FIGURE_HALF_LIFE_MS = 100.0
_MEAN_FIGURE_HALF_LIFE_MS = 2_000.0


def _decay(age_ms: float, half_life_ms: float) -> float:
    return 0.5 ** (max(0.0, age_ms) / half_life_ms)


def _clip(value: float, limit: float) -> float:
    return max(-limit, min(limit, value))


# A run's deviation, and its weight, which is 0 if it says nothing.
Deviation = tuple[float, float]
NO_DEVIATION: Deviation = (0.0, 0.0)


@dataclasses.dataclass(slots=True)
class Evidence:
    """Decaying sums over runs at one replica.

    Attributes:
        runs: Weight of the runs, as of `at_ms`.
        total: Weighted sum of their deviations, as of `at_ms`.
        at_ms: Time up to which the sums have decayed.
        newest_ms: Time of the newest run.
    """

    runs: float = 0.0
    total: float = 0.0
    at_ms: float = 0.0
    newest_ms: float = float("-inf")

    def add(
        self, deviation: float, weight: float, now_ms: float, age_ms: float = 0
    ) -> None:
        """Adds a run, or several with their mean deviation."""
        factor = _decay(now_ms - self.at_ms, _HALF_LIFE_MS)
        self.runs = self.runs * factor + weight
        self.total = self.total * factor + weight * deviation
        self.at_ms = now_ms
        self.newest_ms = max(self.newest_ms, now_ms - age_ms)

    def weight(self, now_ms: float) -> float:
        """Returns the decayed weight of the runs."""
        return self.runs * _decay(now_ms - self.at_ms, _HALF_LIFE_MS)

    def mean(self) -> float:
        """Returns the mean deviation."""
        return self.total / self.runs if self.runs else 0.0


class Speed:
    """The speed of one replica.

    Attributes:
        service: What is usual in its service.
        own: Runs that this gateway knows at first hand.
    """

    __slots__ = (
        "_figure",
        "_figure_ms",
        "_figures",
        "_found",
        "_heard",
        "_pooled",
        "own",
        "service",
    )

    def __init__(self, service: usual_times.Service | None = None) -> None:
        self.service = service or usual_times.Service()
        self.own = Evidence()
        # Evidence by gateway or zone that told it, and the sum of all.
        self._heard: dict[str, Evidence] = {}
        self._pooled: Evidence | None = None
        # True if the pooled evidence has shown an unusual speed.
        self._found = False
        # The newest figure, and decaying sums of all.
        self._figure = 0.0
        self._figure_ms = 0.0
        self._figures: Evidence | None = None

    def slowness(self, now_ms: float) -> float:
        """Returns how long work takes there now, 1.0 as usual."""
        if not self.service.shares_hosts:
            return 1.0
        if not self._found and self._figures is None:
            # Without new runs none stands out later.
            return 1.0
        deviation = self._lasting(now_ms) + self._momentary(now_ms)
        return max(MIN_SLOWNESS, min(MAX_SLOWNESS, math.exp(deviation)))

    def note_figure(self, slowness: float, now_ms: float) -> None:
        """Records what the replica says of its host, 1.0 as usual."""
        self.service.shares_hosts = True
        clamped = max(MIN_SLOWNESS, min(MAX_SLOWNESS, slowness))
        self._figure, self._figure_ms = math.log(clamped), now_ms
        if self._figures is None:
            self._figures = Evidence(at_ms=now_ms)
        self._figures.add(self._figure, 1.0, now_ms)

    def note_deviation(
        self, deviation: float, weight: float, now_ms: float
    ) -> None:
        """Records a run by its deviation."""
        deviation = _clip(deviation, MAX_DEVIATION)
        known = 0.0
        if self._pooled is not None:
            before = self._pooled.weight(now_ms)
            known = self._pooled.mean() * before / (before + _PRIOR_RUNS)
        self.service.note_deviation(deviation - known, weight, now_ms)
        self.own.add(deviation, weight, now_ms)
        self._pool(now_ms)

    def note_heard(
        self, node: str, evidence: Evidence | None, now_ms: float
    ) -> None:
        """Replaces what a gateway or zone has told, None if nothing."""
        if evidence is not None:
            self._heard[node] = evidence
        elif self._heard.pop(node, None) is None:
            return
        self._pool(now_ms)

    def is_unusual(self, now_ms: float) -> bool:
        """Returns whether runs show a lasting speed that is not as usual."""
        return self._found and bool(self._from_runs(now_ms)[0])

    def describe(self, now_ms: float) -> dict[str, float]:
        """Returns the slowness and what it rests on, for the log."""
        weight = self._pooled.weight(now_ms) if self._pooled else 0.0
        return {
            "slowness": round(self.slowness(now_ms), 2),
            "runs": round(weight, 1),
            "own_runs": round(self.own.weight(now_ms), 1),
            "spread": round(min(99.0, self.service.spread), 3),
        }

    def _pool(self, now_ms: float) -> None:
        pooled = Evidence(at_ms=now_ms)
        for node, evidence in list(self._heard.items()):
            if now_ms - evidence.newest_ms > _TTL_MS:
                del self._heard[node]
        for evidence in (self.own, *self._heard.values()):
            weight = evidence.weight(now_ms)
            age_ms = now_ms - evidence.newest_ms
            pooled.add(evidence.mean(), weight, now_ms, age_ms)
        self._pooled = pooled if pooled.runs else None
        self._found = bool(self._from_runs(now_ms)[0])

    def _lasting(self, now_ms: float) -> float:
        deviation, weight = self._from_runs(now_ms)
        figure = self._mean_figure(now_ms)
        return deviation + figure * _PRIOR_RUNS / (weight + _PRIOR_RUNS)

    def _from_runs(self, now_ms: float) -> tuple[float, float]:
        """Returns the lasting deviation that runs show, and their weight."""
        if self._pooled is None or now_ms - self._pooled.newest_ms > _TTL_MS:
            return 0.0, 0.0
        weight = self._pooled.weight(now_ms)
        mean = self._pooled.mean()
        deviation = mean * weight / (weight + _PRIOR_RUNS)
        share = _KEPT_SHARE if self._found else 1.0
        needed = share * _MIN_Z * self.service.spread
        if (
            abs(deviation) < share * _MIN_DEVIATION
            or abs(mean) * math.sqrt(weight) < needed
        ):
            deviation = 0.0
        return deviation, weight

    def _mean_figure(self, now_ms: float) -> float:
        if self._figures is None:
            return 0.0
        weight = self._figures.weight(now_ms)
        mean = self._figures.mean() * weight / (weight + _PRIOR_FIGURES)
        age_ms = now_ms - self._figure_ms
        return _clip(mean, _MAX_FIGURE_DEVIATION) * _decay(
            age_ms, _MEAN_FIGURE_HALF_LIFE_MS
        )

    def _momentary(self, now_ms: float) -> float:
        if self._figures is None:
            return 0.0
        change = _clip(
            self._figure - self._figures.mean(), _MAX_MOMENT_DEVIATION
        )
        return change * _decay(now_ms - self._figure_ms, _FIGURE_HALF_LIFE_MS)


class Speeds:
    """The speeds of all replicas."""

    __slots__ = ("_services", "_speeds")

    def __init__(self) -> None:
        self._services: dict[str, usual_times.Service] = {}
        self._speeds: dict[str, Speed] = {}

    def of(self, replica_id: str, service: str) -> Speed:
        """Returns the speed of a replica."""
        speed = self._speeds.get(replica_id)
        if speed is None:
            usual = self._services.setdefault(service, usual_times.Service())
            speed = self._speeds[replica_id] = Speed(usual)
        return speed

    def forget(self, replica_id: str) -> None:
        """Forgets a replica that is no longer listed or was restarted."""
        self._speeds.pop(replica_id, None)

    def report(self, now_ms: float) -> dict[str, gateway_messages.ReplicaSpeed]:
        """Returns what this gateway knows at first hand, for its peers.

        Leaves out replicas whose speed is about as usual.
        """
        report = {}
        for replica_id, speed in self._speeds.items():
            own = speed.own
            if now_ms - own.newest_ms > _TTL_MS:
                continue
            weight = own.weight(now_ms)
            mean = abs(own.mean())
            needed = _MIN_REPORTED_Z * speed.service.spread
            if (
                mean >= _MIN_REPORTED_DEVIATION
                and mean * math.sqrt(weight) >= needed
            ):
                report[replica_id] = gateway_messages.ReplicaSpeed(
                    round(weight, 2),
                    round(own.mean(), 3),
                    round(now_ms - own.newest_ms),
                )
        return report

    def note_report(
        self,
        node: str,
        report: Mapping[str, gateway_messages.ReplicaSpeed],
        before: Iterable[str],
        now_ms: float,
    ) -> None:
        """Replaces what a gateway or zone has told.

        Args:
            node: Who told it.
            report: Its evidence by replica.
            before: The replicas of its report before this one.
            now_ms: Current time.
        """
        for replica_id in before:
            speed = self._speeds.get(replica_id)
            if speed is not None and replica_id not in report:
                speed.note_heard(node, None, now_ms)
        for replica_id, told in report.items():
            speed = self._speeds.get(replica_id)
            if speed is not None:
                speed.note_heard(node, _decode(told, now_ms), now_ms)


def _decode(
    told: gateway_messages.ReplicaSpeed, now_ms: float
) -> Evidence | None:
    """Returns a peer's evidence, None if it is of no use."""
    if not (told.runs > 0 and math.isfinite(told.deviation)):
        return None
    evidence = Evidence(at_ms=now_ms)
    evidence.add(
        _clip(told.deviation, MAX_DEVIATION),
        min(told.runs, _MAX_REPORTED_RUNS),
        now_ms,
        max(0.0, told.age_ms),
    )
    return evidence
