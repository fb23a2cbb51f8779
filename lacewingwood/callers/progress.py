"""Routed calls and the state of their attempts."""

import dataclasses
from typing import Protocol

from lacewingwood import configuration
from lacewingwood import errors as base_errors
from lacewingwood.callers import http
from lacewingwood.routing import origins
from lacewingwood.routing import slots as slots_lib
from lacewingwood.upstreams import errors as upstream_errors
from lacewingwood.upstreams import event_stream
from lacewingwood.upstreams import runs

Ran = base_errors.Ran

# Attempts of a call that are not counted because their replica ended. Only one,
# so that a request that crashes its replicas can't reach one after another.
_MAX_DISCOUNTED_ATTEMPTS = 1
# Refusals cost little, as the replica does not run the request, but a request
# that every replica refuses must fail at some point.
_MAX_REFUSALS = 6


@dataclasses.dataclass(slots=True)
class Call:
    """A caller's request with its route and its limits.

    Attributes:
        req: The HTTP request, which also sends the response.
        route: The route that matches the request.
        work: What a replica is asked to run.
        arrived_ms: When the request's head was read.
        deadline_ms: When the timeout of the caller or of the route expires.
        priority: Priority, 0 is the highest.
        resume_after: Id of the last event that the caller received, or None.
        resumes: Id of the caller's request that brought the first event of the
            stream, if the caller has received some of it.
    """

    req: http.Request
    route: configuration.Route
    work: runs.Work
    arrived_ms: float
    deadline_ms: float
    priority: int
    resume_after: int | None
    resumes: str = ""

    @property
    def services(self) -> list[str]:
        """Services that may run it."""
        return [target.service for target in self.route.targets]


@dataclasses.dataclass(slots=True)
class Progress:
    """The state of a call's attempts.

    Attributes:
        call: The call.
        attempts: Attempts that a replica may have run.
        refusals: Attempts that a replica did not run.
        ran: Whether an attempt whose outcome is known can have had an effect.
        pending: Attempts that have been sent, and of which it is not known
            whether the replica runs them.
        tried: Ids of replicas that must not be tried again.
        splitter: Splits the response into events, None if it is no stream.
        reason: Code of the last failure.
        discounted_attempts: Attempts that are not counted because their
            replica ended.
        origin: Service and software version that began the stream; its other
            runs must be there. None before its first event.
        done: True once the call has ended other than by its caller's
            disconnect.
    """

    call: Call
    attempts: int = 0
    refusals: int = 0
    ran: Ran = Ran.NOT_RUN
    pending: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    splitter: event_stream.Splitter | None = None
    reason: str = "no_replica"
    discounted_attempts: int = 0
    origin: origins.Origin | None = None
    done: bool = False

    def effect(self) -> Ran:
        """Returns whether any attempt, also a pending one, may have run."""
        return Ran.MAY_HAVE_RUN if self.pending else self.ran

    def attempts_left(self, begun: int = 0) -> bool:
        """Returns whether the route allows another attempt.

        Args:
            begun: Attempts that have begun and are not counted yet.
        """
        return self.attempts + begun < self.call.route.max_attempts

    def may_retry(self) -> bool:
        """Returns whether the call may be sent to another replica."""
        if self.refusals >= _MAX_REFUSALS:
            return False
        if self.ran is Ran.NOT_RUN:
            return True
        return self.call.route.repeatable and self.attempts_left()

    def may_discount_attempt(self) -> bool:
        """Returns whether an attempt is not counted if its replica ended."""
        repeatable = self.call.route.repeatable
        return (
            repeatable and self.discounted_attempts < _MAX_DISCOUNTED_ATTEMPTS
        )

    def discount_attempt(self) -> None:
        """Stops counting the last attempt."""
        self.discounted_attempts += 1
        self.attempts -= 1


class Race(Protocol):
    """Two attempts of one call, of which one answers; see `racing`."""

    def note_head(self, attempt: "Attempt") -> None:
        """Records that a replica has begun to respond to an attempt."""

    def claim(self, attempt: "Attempt") -> bool:
        """Returns whether an attempt may answer its caller.

        Called once its first event, or its whole response, is complete.
        """


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One run of a call at the replica of a slot.

    Attributes:
        progress: The state of all attempts of the call.
        slot: The slot.
        race: Decides whether it may answer, None if it is the only run.
        awaits_outcome: True while it has been sent and it is not known whether
            the replica runs it.
        counted: True if it counts as an attempt that may have run.
        begun: True if the replica had begun to answer.
    """

    progress: Progress
    slot: slots_lib.Slot
    race: Race | None = None
    awaits_outcome: bool = False
    counted: bool = False
    begun: bool = False

    def note_sent(self) -> None:
        """Records that it is about to be sent."""
        if not self.awaits_outcome:
            self.awaits_outcome = True
            self.progress.pending += 1

    def count(self) -> None:
        """Counts it: it was answered, failed after it was sent, or was cut."""
        self._settle()
        self.counted = True
        self.progress.ran = Ran.MAY_HAVE_RUN
        self.progress.attempts += 1

    def abandon(self) -> None:
        """Counts it if it was sent and is cancelled without an outcome."""
        if self.awaits_outcome:
            self.count()

    def record_failure(self, exc: upstream_errors.UpstreamError) -> None:
        """Records that it failed."""
        self.progress.reason = exc.code
        self.progress.tried.add(self.slot.replica.listing.id)
        if exc.ran is Ran.NOT_RUN:
            self._settle()
            self.progress.refusals += 1
        elif self.awaits_outcome:
            self.count()

    def _settle(self) -> None:
        if self.awaits_outcome:
            self.awaits_outcome = False
            self.progress.pending -= 1
