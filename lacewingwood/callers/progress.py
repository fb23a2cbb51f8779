"""A call that a route leads to, and how far it has come."""

import dataclasses

from lacewingwood import configuration
from lacewingwood import errors as base_errors
from lacewingwood.callers import http
from lacewingwood.upstreams import errors as upstream_errors
from lacewingwood.upstreams import event_stream
from lacewingwood.upstreams import runs

Ran = base_errors.Ran

# Runs that ended with their replica and so do not count as attempts. One only:
# a request that crashes its replicas must not reach one after another.
_MAX_DISCOUNTED_ATTEMPTS = 1
# Replicas that refuse a request without running it cost little, but a request
# that all refuse must get its answer.
_MAX_REFUSALS = 6


@dataclasses.dataclass(slots=True)
class Call:
    """A caller's request that a route leads to.

    Attributes:
        req: The request and its answer.
        route: The route it takes.
        work: What a replica is asked to run.
        arrived_ms: When its head was read.
        deadline_ms: When its caller or its route no longer waits.
        rank: Priority, 0 is the highest.
        resume_after: Id of the last event that the caller has, or None.
    """

    req: http.Request
    route: configuration.Route
    work: runs.Work
    arrived_ms: float
    deadline_ms: float
    priority: int
    resume_after: int | None


@dataclasses.dataclass(slots=True)
class Progress:
    """How far a call has come.

    Attributes:
        call: The call.
        attempts: Runs that may have begun.
        refusals: Sends that the replica did not run.
        ran: Whether the request can have had an effect.
        tried: Replicas that must not be tried again.
        events: Splits the stream, None if the answer is not a stream.
        reason: Code of the last failure.
        forgiven: Runs that do not count since their replica ended.
        done: True once the caller has its whole answer.
    """

    call: Call
    attempts: int = 0
    refusals: int = 0
    ran: Ran = Ran.NOT_RUN
    tried: set[str] = dataclasses.field(default_factory=set)
    events: event_stream.Splitter | None = None
    reason: str = "no_replica"
    discounted_attempts: int = 0
    done: bool = False

    def attempts_left(self, begun: int = 0) -> bool:
        """Returns whether the route allows one more run than have begun."""
        return self.attempts + begun < self.call.route.max_attempts

    def may_retry(self) -> bool:
        """Returns whether the call may be sent once more."""
        if self.refusals >= _MAX_REFUSALS:
            return False
        if self.ran is Ran.NOT_RUN:
            return True
        return self.call.route.repeatable and self.attempts_left()

    def note_failure(
        self, replica_id: str, exc: upstream_errors.UpstreamError
    ) -> None:
        """Notes that a send to a replica failed."""
        self.reason = exc.code
        self.tried.add(replica_id)
        if exc.ran is Ran.NOT_RUN:
            self.refusals += 1
        elif self.ran is Ran.NOT_RUN or self.attempts == 0:
            self.ran = Ran.MAY_HAVE_RUN
            self.attempts = max(1, self.attempts)

    def may_discount_attempt(self) -> bool:
        """Returns whether a run may count as none if its replica ended."""
        repeatable = self.call.route.repeatable
        return (
            repeatable and self.discounted_attempts < _MAX_DISCOUNTED_ATTEMPTS
        )

    def discount_attempt(self) -> None:
        """Takes the last run out of the account of attempts."""
        self.discounted_attempts += 1
        self.attempts -= 1
