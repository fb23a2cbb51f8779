"""Placement of inference requests: fair queueing and choice of a replica.

Requests wait in a fair queue per service. Requests that were running on a
replica when it crashed are suspects; each runs on a replica without other
suspects, so that the next crash shows which request causes it.
"""

import contextlib
import dataclasses
from collections.abc import AsyncIterator

import trio

from lacewingwood.callers import calls
from lacewingwood.callers import dependencies
from lacewingwood.callers import errors
from lacewingwood.peers import messages
from lacewingwood.routing import fair_queue
from lacewingwood.routing import outcomes
from lacewingwood.routing import router as routers
from lacewingwood.routing import suspects as suspects_module
from lacewingwood.upstreams import errors as upstream_errors

# Load reports also free capacity, without an event here, so the queues are
# polled at this interval.
_POLL_INTERVAL_MS = 20.0
# Longest wait of a suspect for a replica without other suspects.
_MAX_SUSPECT_WAIT_MS = 10_000.0


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """A request in a fair queue.

    Attributes:
        route: The request as the router takes it.
        event: Set when the request was placed or dropped.
        started: The placed attempt, None while waiting or if dropped.
    """

    route: routers.RouteRequest
    event: trio.Event
    started: routers.InFlight | None = None


class Placement:
    """Places requests on replicas.

    Attributes:
        suspects: Requests that were running on a replica when it crashed.
    """

    __slots__ = ("_deps", "_queues", "_tickets", "_waiters", "suspects")

    def __init__(self, deps: dependencies.Dependencies) -> None:
        self.suspects = deps.suspects
        self._deps = deps
        self._queues: dict[str, fair_queue.FairQueue] = {}
        self._waiters: dict[fair_queue.Ticket, _Waiter] = {}
        # Tickets of placed requests that are not settled yet, by request id.
        self._tickets: dict[str, fair_queue.Ticket] = {}

    async def run_forever(self) -> None:
        """Places waiting requests at intervals."""
        while True:
            await self._deps.clock.sleep_ms(_POLL_INTERVAL_MS)
            for service, queue in self._queues.items():
                if queue:
                    self._dispatch(service)

    @contextlib.asynccontextmanager
    async def attempt(
        self, call: calls.Call, tried: set[str]
    ) -> AsyncIterator[routers.InFlight]:
        """Context manager that places one attempt and records its outcome.

        Args:
            call: The request.
            tried: Ids of the replicas tried before; the new one is added.

        Yields:
            The attempt with its replica.

        Raises:
            errors.CallerError: No replica may or can run the request.
        """
        started = await self._place(call, tried)
        replica = started.replica
        tried.add(replica.id)
        self.suspects.started(call.fingerprint, replica.id)
        outcome: outcomes.Outcome = outcomes.Cancelled()
        try:
            yield started
            outcome = outcomes.Completed()
        except upstream_errors.UpstreamError as exc:
            outcome = outcomes.of_error(exc)
            raise
        finally:
            self._finish_attempt(call, started, outcome)

    def settle(self, call: calls.Call, response_tokens: int | None) -> None:
        """Corrects the fair share's charge to the tokens that were used.

        Args:
            call: A request that has ended.
            response_tokens: Length of the response in tokens, None if unknown.
        """
        ticket = self._tickets.pop(call.request_id, None)
        if ticket is not None and response_tokens is not None:
            tokens = call.prompt_tokens + response_tokens
            self._queues[call.service].correct(ticket, tokens)

    async def _place(
        self, call: calls.Call, tried: set[str]
    ) -> routers.InFlight:
        if self._is_suspect(call):
            return await self._place_suspect(call, tried)
        if tried:
            return self._place_now(call, frozenset(tried))
        started = await self._place_in_turn(call)
        if self._is_suspect(call):
            # It became a suspect while it waited in the queue.
            self._release_attempt(started, outcomes.Cancelled())
            return await self._place_suspect(call, tried)
        return started

    def _is_suspect(self, call: calls.Call) -> bool:
        verdict = self.suspects.check(call.fingerprint, self._now_ms())
        return not isinstance(verdict, suspects_module.Allowed)

    def _place_now(
        self, call: calls.Call, exclude: frozenset[str]
    ) -> routers.InFlight:
        """Places a request without queueing; it has been dequeued before."""
        route = _route_request(call, exclude, queue_if_full=True)
        choice = self._deps.router.choose(route, self._now_ms())
        if isinstance(choice, routers.NoReplica):
            raise _no_replica_error()
        return self._start_attempt(choice, route)

    async def _place_suspect(
        self, call: calls.Call, tried: set[str]
    ) -> routers.InFlight:
        """Places a suspect apart from other suspects; waits if needed."""
        now_ms = self._now_ms()
        wait_until_ms = min(call.deadline_ms, now_ms + _MAX_SUSPECT_WAIT_MS)
        while True:
            match self.suspects.check(call.fingerprint, self._now_ms()):
                case suspects_module.Allowed():
                    return self._place_now(call, frozenset(tried))
                case suspects_module.Blocked():
                    raise _crashes_replicas_error()
                case suspects_module.Isolated(avoid=avoid):
                    started = self._place_alone(call, avoid, tried)
                    if started is not None:
                        return started
                case suspects_module.Deferred():
                    pass
            if self._now_ms() >= wait_until_ms:
                raise _suspect_held_error()
            await self._deps.clock.sleep_ms(_POLL_INTERVAL_MS)

    def _place_alone(
        self, call: calls.Call, avoid: frozenset[str], tried: set[str]
    ) -> routers.InFlight | None:
        """Places a suspect outside of `avoid`.

        Returns:
            The attempt, or None if only replicas in `avoid` are available.
        """
        now_ms = self._now_ms()
        route = _route_request(call, avoid | tried, queue_if_full=True)
        choice = self._deps.router.choose(route, now_ms)
        if isinstance(choice, routers.Choice):
            return self._start_attempt(choice, route)
        any_replica_route = _route_request(
            call, frozenset(tried), queue_if_full=True
        )
        if isinstance(
            self._deps.router.choose(any_replica_route, now_ms),
            routers.NoReplica,
        ):
            raise _no_replica_error()
        return None

    async def _place_in_turn(self, call: calls.Call) -> routers.InFlight:
        """Places a request after its turn in the fair queue.

        The caller must cancel this at the request's deadline.
        """
        queue = self._queues.get(call.service)
        if queue is None:
            queue = self._queues[call.service] = fair_queue.FairQueue()
        ticket = queue.push(
            call.customer,
            self._weight(call.customer),
            call.cost_tokens,
            call.deadline_ms,
            self._now_ms(),
        )
        if isinstance(ticket, fair_queue.Refused):
            raise overloaded_error(ticket.reason, ticket.retry_after_ms)
        route = _route_request(call, frozenset(), queue_if_full=False)
        waiter = self._waiters[ticket] = _Waiter(route, trio.Event())
        self._dispatch(call.service)
        try:
            await waiter.event.wait()
        except BaseException:
            self._release_replica(waiter)
            raise
        finally:
            del self._waiters[ticket]
            queue.cancel(ticket)
        if waiter.started is None:
            raise overloaded_error("deadline", 1000)
        self._tickets[call.request_id] = ticket
        return waiter.started

    def _release_replica(self, waiter: _Waiter) -> None:
        """Releases the replica of a request that was cancelled meanwhile."""
        if waiter.started is not None:
            self._release_attempt(waiter.started, outcomes.Cancelled())

    def _dispatch(self, service: str) -> None:
        """Places waiting requests in turn while replicas have capacity."""
        queue = self._queues.get(service)
        if queue is None:
            return
        now_ms = self._now_ms()
        while (ticket := queue.head(now_ms)) is not None:
            waiter = self._waiters[ticket]
            choice = self._deps.router.choose(waiter.route, now_ms)
            if choice == routers.NoReplica("full"):
                break
            queue.pop(now_ms)
            if isinstance(choice, routers.Choice):
                waiter.started = self._start_attempt(choice, waiter.route)
            waiter.event.set()
        for dropped in queue.take_dropped():
            self._waiters[dropped].event.set()

    def _start_attempt(
        self, choice: routers.Choice, route: routers.RouteRequest
    ) -> routers.InFlight:
        started = self._deps.router.started(choice, route, self._now_ms())
        self._send_online_count(started)
        return started

    def _release_attempt(
        self, started: routers.InFlight, outcome: outcomes.Outcome
    ) -> None:
        self._deps.router.finished(started, outcome, self._now_ms())
        self._send_online_count(started)
        self._dispatch(started.replica.service)

    def _finish_attempt(
        self,
        call: calls.Call,
        started: routers.InFlight,
        outcome: outcomes.Outcome,
    ) -> None:
        """Records the outcome of an attempt and releases its replica."""
        replica_id = started.replica.id
        match outcome:
            case outcomes.Broken(ran=errors.Ran.MAY_HAVE_RUN):
                self._report_crash(started.replica, call.request_id)
            case outcomes.Completed():
                self._report_completed(call.fingerprint)
        self.suspects.ended(call.fingerprint, replica_id)
        self._release_attempt(started, outcome)

    def _report_crash(self, replica: routers.Replica, event_id: str) -> None:
        fingerprints = self.suspects.running_on(replica.id)
        self.suspects.crashed(
            replica.id, fingerprints, self._now_ms(), replica.boot_id
        )
        self._deps.peer_notifier.crash_suspect(
            messages.CrashSuspect(replica.id, fingerprints, event_id)
        )

    def _report_completed(self, fingerprint: str) -> None:
        if self.suspects.completed(fingerprint):
            self._deps.peer_notifier.crash_cleared(
                messages.CrashCleared(fingerprint)
            )

    def _send_online_count(self, started: routers.InFlight) -> None:
        replica = started.replica
        self._deps.peer_notifier.online_count(replica.id, replica.own_in_flight)

    def _weight(self, customer: str) -> float:
        known = self._deps.state.view.customers.get(customer)
        return known.weight if known is not None else 1.0

    def _now_ms(self) -> float:
        return self._deps.clock.now_ms()


def _route_request(
    call: calls.Call, exclude: frozenset[str], queue_if_full: bool
) -> routers.RouteRequest:
    return routers.RouteRequest(
        service=call.service,
        model=call.model,
        blocks=call.block_hashes,
        prompt_tokens=call.prompt_tokens,
        exclude=exclude,
        queue_if_full=queue_if_full,
    )


def overloaded_error(reason: str, retry_after_ms: float) -> errors.CallerError:
    """Returns the error for a request that got no replica in time."""
    message = "all replicas are busy"
    if reason == "deadline":
        message += " and the request would miss its deadline"
    return errors.unavailable("overloaded", message, retry_after_ms)


def _no_replica_error() -> errors.CallerError:
    return errors.unavailable("no_replica", "no replica is available")


def _suspect_held_error() -> errors.CallerError:
    message = (
        "the request was running when a replica crashed and may not run now"
    )
    return errors.unavailable("held_back", message)


def _crashes_replicas_error() -> errors.CallerError:
    message = "the request crashes the replicas that run it"
    return errors.CallerError(422, "crashes_upstream", message)
