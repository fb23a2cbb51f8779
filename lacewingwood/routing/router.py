"""Routing of requests to replicas by expected time to first token."""

import dataclasses
import random
import statistics

from lacewingwood.routing import outcomes
from lacewingwood.routing import prefix
from lacewingwood.routing import replicas as replicas_lib

Replica = replicas_lib.Replica

# Smaller differences in expected time are noise; the zone breaks such ties.
_TIE_TOLERANCE_MS = 2.0
# Prefill time: computing the KV cache of one prompt token.
_PREFILL_MS_PER_TOKEN = 0.05
# Engine steps that a typical response takes.
_STEPS_PER_RESPONSE = 200
# Consecutive failures after which a replica is ejected.
_FAILURES_TO_EJECT = 2
_SLOW_FACTOR = 3.0
_EJECTION_MS = 2000.0
_MAX_EJECTION_MS = 60_000.0
# Pause after a refusal. A replica that refuses immediately looks idle, and
# without a pause it would attract all requests.
_REFUSAL_PAUSE_MS = 200.0
_MEDIAN_TTL_MS = 200.0
# Largest share of a service's replicas that slowness alone may eject, so that a
# slow moment of the whole fleet does not eject all of it.
_MAX_SLOW_EJECTED_SHARE = 0.3


@dataclasses.dataclass(slots=True, frozen=True)
class RouteRequest:
    """The properties of a request that routing depends on.

    Attributes:
        service: Service that runs the model.
        model: Name of the model.
        blocks: Hashes of the prompt's blocks, from prefix.block_hashes.
        prompt_tokens: Estimated length of the prompt.
        exclude: Ids of replicas that have been tried already.
        queue_if_full: False to get NoReplica when no replica has a free slot.
    """

    service: str
    model: str
    blocks: tuple[int, ...] = ()
    prompt_tokens: int = 0
    exclude: frozenset[str] = frozenset()
    queue_if_full: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """The chosen replica.

    Attributes:
        replica: Replica to send the request to.
        probe: True if the request probes a replica after its ejection.
    """

    replica: Replica
    probe: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class NoReplica:
    """No replica can take the request.

    Attributes:
        reason: `none` if the service has no usable replica, `full` if all
            of them are full.
    """

    reason: str


@dataclasses.dataclass(slots=True)
class InFlight:
    """A request in flight on a replica.

    Attributes:
        replica: Replica that the request was sent to.
        at_ms: When it was sent.
        probe: Whether it probes an ejected replica.
        ended: True once `finished` was called for it.
    """

    replica: Replica
    at_ms: float
    probe: bool
    ended: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Settings:
    """Settings of the router.

    Attributes:
        zone: Zone of this entry.
        candidates: Number of replicas drawn at random for each choice.
    """

    zone: str = ""
    candidates: int = 2


class Router:
    """Chooses the replica with the least expected time to first token."""

    __slots__ = ("_medians", "_rng", "_settings", "affinity", "fleet")

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        affinity: prefix.Affinity | None = None,
        kind: str = "engine",
    ) -> None:
        self.fleet = replicas_lib.Fleet(kind)
        self._settings = settings
        self._rng = rng
        self._medians: dict[str, tuple[float, float]] = {}
        self.affinity = affinity or prefix.Affinity()

    def choose(self, req: RouteRequest, now_ms: float) -> Choice | NoReplica:
        """Chooses a replica for `req`, or tells why there is none."""
        replicas = self.fleet.of_service(req.service)
        probe = self._due_probe(req, now_ms)
        if probe is not None:
            return Choice(probe, probe=True)
        usable = self._draw_candidates(replicas, req, now_ms)
        if not usable:
            return _no_replica(replicas, req)
        return Choice(self._fastest(usable, req, now_ms))

    def expected_ms(
        self, replica: Replica, req: RouteRequest, now_ms: float
    ) -> float:
        """Returns the expected time to first token on `replica`."""
        ahead = replica.online(now_ms) + replica.waiting - replica.slots + 1
        queue_ms = max(0, ahead) * self._slot_ms(replica)
        cached = self.affinity.cached_tokens(replica.id, req.blocks)
        uncached = max(0, req.prompt_tokens - cached)
        return queue_ms + replica.step_ms + uncached * _PREFILL_MS_PER_TOKEN

    def started(
        self, choice: Choice, req: RouteRequest, now_ms: float
    ) -> InFlight:
        """Records that a request is being sent to the chosen replica."""
        choice.replica.own_in_flight += 1
        choice.replica.probing = choice.replica.probing or choice.probe
        self.affinity.note_routed(choice.replica.id, req.blocks)
        return InFlight(choice.replica, now_ms, choice.probe)

    def first_token(self, running: InFlight, now_ms: float) -> None:
        """Records the first token of a request.

        Readmits the replica if the request is a probe; otherwise ejects it if
        it has become slow.
        """
        replica = running.replica
        replica.note_first_token(now_ms - running.at_ms)
        if running.probe:
            self.fleet.readmit(replica)
        elif self._is_slow(replica, now_ms):
            self._eject(replica, now_ms)

    def finished(
        self, running: InFlight, outcome: outcomes.Outcome, now_ms: float
    ) -> None:
        """Records the end of a request; later calls have no effect."""
        if running.ended:
            return
        running.ended = True
        replica = running.replica
        replica.own_in_flight = max(0, replica.own_in_flight - 1)
        if running.probe:
            replica.probing = False
        match outcome:
            case outcomes.Completed() if running.probe:
                self.fleet.readmit(replica)
            case outcomes.Completed():
                replica.failures = 0
            case outcomes.Refused(leaving=True):
                self.fleet.mark_leaving(replica.id)
            case (
                outcomes.Unreachable()
                | outcomes.Broken()
                | outcomes.Malformed()
                | outcomes.TimedOut()
            ):
                self._count_failure(replica, running.probe, now_ms)
            case outcomes.Refused():
                replica.refusing_until_ms = now_ms + _REFUSAL_PAUSE_MS
            case outcomes.Rejected() | outcomes.Cancelled():
                pass

    def _draw_candidates(
        self, replicas: list[Replica], req: RouteRequest, now_ms: float
    ) -> list[Replica]:
        """Returns random usable replicas and the one with the cached prefix."""
        count = self._settings.candidates
        candidates = replicas_lib.sample(replicas, count, self._rng)
        usable = [r for r in candidates if _is_usable(r, req, now_ms)]
        if len(usable) < min(count, len(replicas)):
            all_usable = [r for r in replicas if _is_usable(r, req, now_ms)]
            usable = replicas_lib.sample(all_usable, count, self._rng)
        preferred = self._preferred(req, now_ms)
        if preferred is not None and preferred not in usable:
            usable.append(preferred)
        return usable

    def _preferred(self, req: RouteRequest, now_ms: float) -> Replica | None:
        replica_id = self.affinity.preferred(req.blocks)
        replica = self.fleet.get(replica_id) if replica_id else None
        if replica is None or replica.service != req.service:
            return None
        return replica if _is_usable(replica, req, now_ms) else None

    def _fastest(
        self, usable: list[Replica], req: RouteRequest, now_ms: float
    ) -> Replica:
        times = [self.expected_ms(r, req, now_ms) for r in usable]
        limit_ms = min(times) + _TIE_TOLERANCE_MS
        ties = [r for r, t in zip(usable, times, strict=True) if t <= limit_ms]
        return min(ties, key=self._tie_order)

    def _tie_order(self, replica: Replica) -> tuple[bool, int]:
        return (replica.zone != self._settings.zone, replica.own_in_flight)

    def _due_probe(self, req: RouteRequest, now_ms: float) -> Replica | None:
        for replica in self.fleet.ejected.values():
            if replica.service == req.service and _may_probe(
                replica, req, now_ms
            ):
                return replica
        return None

    def _slot_ms(self, replica: Replica) -> float:
        """Returns the expected time until a slot of the replica comes free."""
        return replica.step_ms * _STEPS_PER_RESPONSE / replica.slots

    def _is_slow(self, replica: Replica, now_ms: float) -> bool:
        count = len(self.fleet.of_service(replica.service))
        if len(self.fleet.ejected) + 1 > _MAX_SLOW_EJECTED_SHARE * count:
            return False
        median_ms = self._median_ms(replica.service, now_ms)
        return (
            median_ms > 0 and replica.first_token_ms > _SLOW_FACTOR * median_ms
        )

    def _median_ms(self, service: str, now_ms: float) -> float:
        """Returns the median time to first token of a service's replicas.

        Returns 0 if fewer than three replicas have a value.
        """
        at_ms, median_ms = self._medians.get(service, (-_MEDIAN_TTL_MS, 0.0))
        if now_ms - at_ms < _MEDIAN_TTL_MS:
            return median_ms
        replicas = self.fleet.of_service(service)
        times = [r.first_token_ms for r in replicas if r.first_token_ms]
        median_ms = statistics.median(times) if len(times) >= 3 else 0.0
        self._medians[service] = (now_ms, median_ms)
        return median_ms

    def _count_failure(
        self, replica: Replica, probe: bool, now_ms: float
    ) -> None:
        replica.failures += 1
        if probe or replica.failures >= _FAILURES_TO_EJECT:
            self._eject(replica, now_ms)

    def _eject(self, replica: Replica, now_ms: float) -> None:
        doublings = min(max(0, replica.failures - _FAILURES_TO_EJECT), 10)
        duration_ms = min(_EJECTION_MS * 2**doublings, _MAX_EJECTION_MS)
        self.fleet.eject(replica, now_ms + duration_ms)


def _may_probe(replica: Replica, req: RouteRequest, now_ms: float) -> bool:
    if replica.leaving or replica.probing or replica.id in req.exclude:
        return False
    return replica.ejected_until_ms <= now_ms


def _is_usable(replica: Replica, req: RouteRequest, now_ms: float) -> bool:
    """Returns whether a request that is no probe may go to `replica`."""
    if replica.leaving or replica.ejected_until_ms:
        return False
    if replica.refusing_until_ms > now_ms or replica.id in req.exclude:
        return False
    if replica.versions and req.model not in replica.versions:
        return False
    return req.queue_if_full or replica.has_room(now_ms)


def _no_replica(replicas: list[Replica], req: RouteRequest) -> NoReplica:
    waiting = any(
        not r.ejected_until_ms
        and r.id not in req.exclude
        and (not r.versions or req.model in r.versions)
        for r in replicas
    )
    return NoReplica("full" if waiting else "none")
