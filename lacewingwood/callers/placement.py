"""Where requests run: turns, suspects and the choice of a replica."""

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

# Room also comes from reports, so waiting requests are looked at this often.
_TICK_MS = 20.0
# How long a suspect waits for a replica without other suspects.
_MAX_HOLD_MS = 10_000.0


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """A request that waits for its turn.

    Attributes:
        route: What the router must know of it.
        event: Set when it was placed or dropped.
        started: Set if it was placed.
    """

    route: routers.RouteRequest
    event: trio.Event
    started: routers.Started | None = None


class Placement:
    """Places requests on replicas.

    Attributes:
        suspects: Requests that were running on a replica when it crashed.
    """

    __slots__ = ("_deps", "_queues", "_served", "_waiters", "suspects")

    def __init__(self, deps: dependencies.Dependencies) -> None:
        self.suspects = deps.suspects
        self._deps = deps
        self._queues: dict[str, fair_queue.FairQueue] = {}
        self._waiters: dict[fair_queue.Ticket, _Waiter] = {}
        # Tickets of requests that have had their turn, by request id.
        self._served: dict[str, fair_queue.Ticket] = {}

    async def run_forever(self) -> None:
        """Looks at intervals whether waiting requests can be placed."""
        while True:
            await self._deps.clock.sleep_ms(_TICK_MS)
            for service, queue in self._queues.items():
                if queue:
                    self._dispatch(service)

    @contextlib.asynccontextmanager
    async def attempt(
        self, call: calls.Call, tried: set[str]
    ) -> AsyncIterator[routers.Started]:
        """Gives the replica of one attempt and notes how the attempt ends.

        Args:
            call: The request.
            tried: Replicas tried before; the new one is added.

        Raises:
            errors.CallerError: No replica may or can take the request.
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
            self._finish(call, started, outcome)

    def settle(self, call: calls.Call, answer_tokens: int | None) -> None:
        """Charges a request that has ended with the tokens it really took.

        Args:
            call: The request.
            answer_tokens: Length of its answer, None if not known.
        """
        ticket = self._served.pop(call.request_id, None)
        if ticket is not None and answer_tokens is not None:
            tokens = call.prompt_tokens + answer_tokens
            self._queues[call.service].correct(ticket, tokens)

    async def _place(
        self, call: calls.Call, tried: set[str]
    ) -> routers.Started:
        if self._is_suspect(call):
            return await self._place_suspect(call, tried)
        if tried:
            return self._place_now(call, frozenset(tried))
        started = await self._place_in_turn(call)
        if self._is_suspect(call):
            # It became one while it waited.
            self._end(started, outcomes.Cancelled())
            return await self._place_suspect(call, tried)
        return started

    def _is_suspect(self, call: calls.Call) -> bool:
        verdict = self.suspects.check(call.fingerprint, self._now_ms())
        return not isinstance(verdict, suspects_module.Unsuspected)

    def _place_now(
        self, call: calls.Call, exclude: frozenset[str]
    ) -> routers.Started:
        """Places a request that has had its turn."""
        route = _route(call, exclude, queue_if_full=True)
        choice = self._deps.router.choose(route, self._now_ms())
        if isinstance(choice, routers.NoReplica):
            raise _no_replica_error()
        return self._start(choice, route)

    async def _place_suspect(
        self, call: calls.Call, tried: set[str]
    ) -> routers.Started:
        """Places a suspect by itself, or waits until that is possible."""
        now_ms = self._now_ms()
        until_ms = min(call.deadline_ms, now_ms + _MAX_HOLD_MS)
        while True:
            match self.suspects.check(call.fingerprint, self._now_ms()):
                case suspects_module.Unsuspected():
                    return self._place_now(call, frozenset(tried))
                case suspects_module.Convicted():
                    raise _convicted_error()
                case suspects_module.Alone(avoid=avoid):
                    started = self._place_alone(call, avoid, tried)
                    if started is not None:
                        return started
                case suspects_module.Hold():
                    pass
            if self._now_ms() >= until_ms:
                raise _held_error()
            await self._deps.clock.sleep_ms(_TICK_MS)

    def _place_alone(
        self, call: calls.Call, avoid: frozenset[str], tried: set[str]
    ) -> routers.Started | None:
        """Places a suspect, or returns None if that may work later."""
        now_ms = self._now_ms()
        route = _route(call, avoid | tried, queue_if_full=True)
        choice = self._deps.router.choose(route, now_ms)
        if isinstance(choice, routers.Choice):
            return self._start(choice, route)
        anywhere = _route(call, frozenset(tried), queue_if_full=True)
        if isinstance(
            self._deps.router.choose(anywhere, now_ms), routers.NoReplica
        ):
            raise _no_replica_error()
        return None

    async def _place_in_turn(self, call: calls.Call) -> routers.Started:
        """Places a request when it is its customer's turn.

        The caller of this cancels the wait at the request's deadline.
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
        route = _route(call, frozenset(), queue_if_full=False)
        waiter = self._waiters[ticket] = _Waiter(route, trio.Event())
        self._dispatch(call.service)
        try:
            await waiter.event.wait()
        except BaseException:
            self._abandon(waiter)
            raise
        finally:
            del self._waiters[ticket]
            queue.cancel(ticket)
        if waiter.started is None:
            raise overloaded_error("deadline", 1000)
        self._served[call.request_id] = ticket
        return waiter.started

    def _abandon(self, waiter: _Waiter) -> None:
        """Gives a place back whose request was cancelled meanwhile."""
        if waiter.started is not None:
            self._end(waiter.started, outcomes.Cancelled())

    def _dispatch(self, service: str) -> None:
        """Places waiting requests in turn while there is room."""
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
                waiter.started = self._start(choice, waiter.route)
            waiter.event.set()
        for dropped in queue.take_dropped():
            self._waiters[dropped].event.set()

    def _start(
        self, choice: routers.Choice, route: routers.RouteRequest
    ) -> routers.Started:
        started = self._deps.router.started(choice, route, self._now_ms())
        self._tell_online(started)
        return started

    def _end(self, started: routers.Started, outcome: outcomes.Outcome) -> None:
        self._deps.router.finished(started, outcome, self._now_ms())
        self._tell_online(started)
        self._dispatch(started.replica.service)

    def _finish(
        self,
        call: calls.Call,
        started: routers.Started,
        outcome: outcomes.Outcome,
    ) -> None:
        """Notes the end of an attempt."""
        replica_id = started.replica.id
        match outcome:
            case outcomes.Broken(ran=errors.Ran.MAY_HAVE_RUN):
                self._note_crash(started.replica, call.request_id)
            case outcomes.Completed():
                self._note_completed(call.fingerprint)
        self.suspects.ended(call.fingerprint, replica_id)
        self._end(started, outcome)

    def _note_crash(self, replica: routers.Replica, event_id: str) -> None:
        fingerprints = self.suspects.running_on(replica.id)
        self.suspects.crashed(
            replica.id, fingerprints, self._now_ms(), replica.boot_id
        )
        self._deps.peer_notifier.crash_suspect(
            messages.CrashSuspect(replica.id, fingerprints, event_id)
        )

    def _note_completed(self, fingerprint: str) -> None:
        if self.suspects.completed(fingerprint):
            self._deps.peer_notifier.crash_cleared(
                messages.CrashCleared(fingerprint)
            )

    def _tell_online(self, started: routers.Started) -> None:
        replica = started.replica
        self._deps.peer_notifier.online_count(replica.id, replica.own)

    def _weight(self, customer: str) -> float:
        known = self._deps.state.view.customers.get(customer)
        return known.weight if known is not None else 1.0

    def _now_ms(self) -> float:
        return self._deps.clock.now_ms()


def _route(
    call: calls.Call, exclude: frozenset[str], queue_if_full: bool
) -> routers.RouteRequest:
    return routers.RouteRequest(
        service=call.service,
        model=call.model,
        blocks=call.blocks,
        prompt_tokens=call.prompt_tokens,
        exclude=exclude,
        queue_if_full=queue_if_full,
    )


def overloaded_error(reason: str, retry_after_ms: float) -> errors.CallerError:
    """Returns the refusal of a request that got no replica in time."""
    message = "all replicas are busy"
    if reason == "deadline":
        message += " and the request would miss its deadline"
    return errors.unavailable("overloaded", message, retry_after_ms)


def _no_replica_error() -> errors.CallerError:
    return errors.unavailable("no_replica", "no replica is available")


def _held_error() -> errors.CallerError:
    message = "the request was running when a replica crashed; it is held back"
    return errors.unavailable("held_back", message)


def _convicted_error() -> errors.CallerError:
    message = "the request crashes the replicas that run it"
    return errors.CallerError(422, "crashes_upstream", message)
