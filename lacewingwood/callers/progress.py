"""Routed calls and the state of their attempts."""

import dataclasses

from lacewingwood import configuration
from lacewingwood import errors as base_errors
from lacewingwood.callers import http
from lacewingwood.routing import origins
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
        awaits_outcome: True while an attempt has been sent and it is not known
            whether the replica runs it.
        tried: Ids of replicas that must not be tried again.
        splitter: Splits the response into events, None if it is no stream.
        reason: Code of the last failure.
        discounted_attempts: Attempts that are not counted because their
            replica ended.
        begun: True if the last run had begun to answer.
        origin: Service and software version that began the stream; its other
            runs must be there. None before its first event.
        done: True once the call has ended other than by its caller's
            disconnect.
    """

    call: Call
    attempts: int = 0
    refusals: int = 0
    ran: Ran = Ran.NOT_RUN
    awaits_outcome: bool = False
    tried: set[str] = dataclasses.field(default_factory=set)
    splitter: event_stream.Splitter | None = None
    reason: str = "no_replica"
    discounted_attempts: int = 0
    begun: bool = False
    origin: origins.Origin | None = None
    done: bool = False

    def note_sent(self) -> None:
        """Records that an attempt is about to be sent."""
        self.awaits_outcome = True

    def count_attempt(self) -> None:
        """Counts an attempt that was answered, or failed after it was sent."""
        self.awaits_outcome = False
        self.ran = Ran.MAY_HAVE_RUN
        self.attempts += 1

    def effect(self) -> Ran:
        """Returns whether any attempt, also a pending one, may have run."""
        return Ran.MAY_HAVE_RUN if self.awaits_outcome else self.ran

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

    def record_failure(
        self, replica_id: str, exc: upstream_errors.UpstreamError
    ) -> None:
        """Records a failed attempt on a replica."""
        self.reason = exc.code
        self.tried.add(replica_id)
        if exc.ran is Ran.NOT_RUN:
            self.awaits_outcome = False
            self.refusals += 1
        elif self.awaits_outcome:
            self.count_attempt()

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
