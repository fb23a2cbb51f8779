"""Choice of the replica that runs a request."""

import dataclasses
import random
import statistics

from lacewingwood.routing import outcomes
from lacewingwood.routing import prefix
from lacewingwood.routing import replicas as replicas_module

Replica = replicas_module.Replica

# Differences in expected time below this are noise; the zone decides then.
_TIE_MS = 2.0
# Time to compute the KV cache of one prompt token.
_PREFILL_MS_PER_TOKEN = 0.05
# Steps that a typical answer takes.
_STEPS_PER_REQUEST = 200
# Consecutive failures after which a replica is ejected.
_FAILURES_TO_EJECT = 2
_SLOW_FACTOR = 3.0
_EJECT_MS = 2000.0
_MAX_EJECT_MS = 60_000.0
# A replica that refuses at once looks idle; without a pause it would draw all
# requests to itself.
_REFUSAL_PAUSE_MS = 200.0
_MEDIAN_AGE_MS = 200.0
# Most of a service's replicas that slowness alone may take out of choice, so
# that a slow moment of the whole fleet doesn't eject it.
_MAX_SLOW_SHARE = 0.3


@dataclasses.dataclass(slots=True, frozen=True)
class RouteRequest:
    """What the router must know of a request.

    Attributes:
        service: Service that runs the model.
        model: The model's name.
        blocks: Hashes of the prompt's blocks, from prefix.block_hashes.
        prompt_tokens: Estimate of the prompt's length.
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
    """The replica to use; `probe` if it is being tried out again."""

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
        replica: Where it runs.
        at_ms: When it was sent.
        probe: Whether it tries out an ejected replica.
        ended: True once `finished` was called for it.
    """

    replica: Replica
    at_ms: float
    probe: bool
    ended: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Settings:
    """How the router chooses.

    Attributes:
        zone: Zone of this entry.
        candidates: Replicas drawn at random for each choice.
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
        self.fleet = replicas_module.Fleet(kind)
        self._settings = settings
        self._rng = rng
        self._medians: dict[str, tuple[float, float]] = {}
        self.affinity = affinity or prefix.Affinity()

    def choose(self, req: RouteRequest, now_ms: float) -> Choice | NoReplica:
        """Returns where to run `req`."""
        replicas = self.fleet.of_service(req.service)
        probe = self._due_probe(req, now_ms)
        if probe is not None:
            return Choice(probe, probe=True)
        usable = self._draw(replicas, req, now_ms)
        if not usable:
            return _none(replicas, req)
        return Choice(self._best(usable, req, now_ms))

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
        """Notes that a request is being sent to a chosen replica."""
        choice.replica.own_in_flight += 1
        choice.replica.probing = choice.replica.probing or choice.probe
        self.affinity.routed(choice.replica.id, req.blocks)
        return InFlight(choice.replica, now_ms, choice.probe)

    def first_token(self, started: InFlight, now_ms: float) -> None:
        """Notes the first token of a request."""
        replica = started.replica
        replica.note_first_token(now_ms - started.at_ms)
        if started.probe:
            self.fleet.readmit(replica)
        elif self._is_slow(replica, now_ms):
            self._eject(replica, now_ms)

    def finished(
        self, started: InFlight, outcome: outcomes.Outcome, now_ms: float
    ) -> None:
        """Notes the end of a request; later calls have no effect."""
        if started.ended:
            return
        started.ended = True
        replica = started.replica
        replica.own_in_flight = max(0, replica.own_in_flight - 1)
        if started.probe:
            replica.probing = False
        match outcome:
            case outcomes.Completed() if started.probe:
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
                self._count_failure(replica, started.probe, now_ms)
            case outcomes.Refused():
                replica.refusing_until_ms = now_ms + _REFUSAL_PAUSE_MS
            case outcomes.Rejected() | outcomes.Cancelled():
                pass

    def _draw(
        self, replicas: list[Replica], req: RouteRequest, now_ms: float
    ) -> list[Replica]:
        """Returns random usable replicas and the prefix's preferred one."""
        count = self._settings.candidates
        drawn = replicas_module.sample(replicas, count, self._rng)
        usable = [r for r in drawn if _usable(r, req, now_ms)]
        if len(usable) < min(count, len(replicas)):
            all_usable = [r for r in replicas if _usable(r, req, now_ms)]
            usable = replicas_module.sample(all_usable, count, self._rng)
        preferred = self._preferred(req, now_ms)
        if preferred is not None and preferred not in usable:
            usable.append(preferred)
        return usable

    def _preferred(self, req: RouteRequest, now_ms: float) -> Replica | None:
        replica_id = self.affinity.preferred(req.blocks)
        replica = self.fleet.get(replica_id) if replica_id else None
        if replica is None or replica.service != req.service:
            return None
        return replica if _usable(replica, req, now_ms) else None

    def _best(
        self, usable: list[Replica], req: RouteRequest, now_ms: float
    ) -> Replica:
        times = [self.expected_ms(r, req, now_ms) for r in usable]
        limit = min(times) + _TIE_MS
        ties = [r for r, t in zip(usable, times, strict=True) if t <= limit]
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
        """Returns the expected time until one of its slots comes free."""
        return replica.step_ms * _STEPS_PER_REQUEST / replica.slots

    def _is_slow(self, replica: Replica, now_ms: float) -> bool:
        count = len(self.fleet.of_service(replica.service))
        if len(self.fleet.ejected) + 1 > _MAX_SLOW_SHARE * count:
            return False
        median = self._median_ms(replica.service, now_ms)
        return median > 0 and replica.first_token_ms > _SLOW_FACTOR * median

    def _median_ms(self, service: str, now_ms: float) -> float:
        """Returns the median of replicas' first tokens, 0 if not known."""
        at_ms, median = self._medians.get(service, (-_MEDIAN_AGE_MS, 0.0))
        if now_ms - at_ms < _MEDIAN_AGE_MS:
            return median
        replicas = self.fleet.of_service(service)
        times = [r.first_token_ms for r in replicas if r.first_token_ms]
        median = statistics.median(times) if len(times) >= 3 else 0.0
        self._medians[service] = (now_ms, median)
        return median

    def _count_failure(
        self, replica: Replica, probe: bool, now_ms: float
    ) -> None:
        replica.failures += 1
        if probe or replica.failures >= _FAILURES_TO_EJECT:
            self._eject(replica, now_ms)

    def _eject(self, replica: Replica, now_ms: float) -> None:
        doublings = min(max(0, replica.failures - _FAILURES_TO_EJECT), 10)
        duration = min(_EJECT_MS * 2**doublings, _MAX_EJECT_MS)
        self.fleet.eject(replica, now_ms + duration)


def _may_probe(replica: Replica, req: RouteRequest, now_ms: float) -> bool:
    if replica.leaving or replica.probing or replica.id in req.exclude:
        return False
    return replica.ejected_until_ms <= now_ms


def _usable(replica: Replica, req: RouteRequest, now_ms: float) -> bool:
    """Tells whether an ordinary request may go to `replica`."""
    if replica.leaving or replica.ejected_until_ms:
        return False
    if replica.refusing_until_ms > now_ms or replica.id in req.exclude:
        return False
    if replica.versions and req.model not in replica.versions:
        return False
    return req.queue_if_full or replica.has_room(now_ms)


def _none(replicas: list[Replica], req: RouteRequest) -> NoReplica:
    waiting = any(
        not r.ejected_until_ms
        and r.id not in req.exclude
        and (not r.versions or req.model in r.versions)
        for r in replicas
    )
    return NoReplica("full" if waiting else "none")
