"""Forwards routed requests to replicas, with retries and stream resumption."""

import math
import random
from collections.abc import Collection
from typing import Protocol

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import configuration
from lacewingwood import errors as base_errors
from lacewingwood import metrics as metrics_lib
from lacewingwood.callers import bodies
from lacewingwood.callers import errors
from lacewingwood.callers import http
from lacewingwood.callers import progress as progress_lib
from lacewingwood.callers import stopping
from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import fair_order
from lacewingwood.routing import load
from lacewingwood.routing import origins
from lacewingwood.routing import quarantine as quarantines
from lacewingwood.upstreams import errors as upstream_errors
from lacewingwood.upstreams import event_reader
from lacewingwood.upstreams import event_stream
from lacewingwood.upstreams import runs

Ran = base_errors.Ran

# A request that would reach its replica with less time left is not sent.
_MIN_RUN_MS = 30.0
# Fraction of the route's gap objective, the longest allowed pause between
# events, after which a silent stream is resumed on another replica; the rest
# is left for the new run to send its first event.
_RESUME_GAP_FRACTION = 0.6
# Timeout for the first event, as a multiple of the route's objective, if the
# request may run again on another replica. The objective is missed by then;
# the second run must start before callers disconnect, which they do after
# four objectives or two seconds. Busy replicas need more than one objective,
# and cancelling their runs early would add to their load.
_FIRST_EVENT_TIMEOUT_OBJECTIVES = 3.5
# Objective for the first event on routes that configure none.
_DEFAULT_OBJECTIVE_MS = 1_000.0
# Retry-After if no replica can be used.
_NO_REPLICA_RETRY_AFTER_MS = 300.0
# Retry-After of a stream whose version has no replica. One that has crashed is
# back within seconds.
_NO_VERSION_RETRY_AFTER_MS = 1_000.0
_MAX_BODY_BYTES = 16 << 20
# A replica's error response is short, and no larger one is relayed.
_MAX_ERROR_BODY_BYTES = 64 << 10

# Most parts of a prompt, and most characters of them, in a line of the log.
_MAX_LOGGED_PARTS = 6
_MAX_LOGGED_PROMPT = 120

# Reads of events after which a run counts as begun. The first event may have
# been sent before the replica crashed.
_READS_TO_BEGIN = 2

_SERVER_ERROR = 500
_UNAVAILABLE = 503

_log = structlog.get_logger()


class AbortError(Exception):
    """Makes the server abort a response that can't be completed."""


class _ErrorResponse(Exception):
    """A replica answered with a 5xx status; another replica may succeed."""

    def __init__(self, status: int, headers: runs.Headers, body: bytes) -> None:
        super().__init__(f"status {status}")
        self.status = status
        self.headers = headers
        self.body = body


class Origins(Protocol):
    """Knows which software version began a stream; see `stream_origins`."""

    async def note_begun(
        self, key: int, replica: load.Replica, services: Collection[str]
    ) -> origins.Origin:
        """Records that a replica began a stream."""

    async def find(
        self, key: int, services: Collection[str], request_id: str
    ) -> origins.Origin | None:
        """Returns the origin of a stream, None if it is not known."""


class Forwarder:
    """Runs calls on replicas, retries them and resumes broken streams.

    Attributes:
        stop: Limits of calls while the process stops.
    """

    __slots__ = (
        "_bodies",
        "_clock",
        "_metrics",
        "_origins",
        "_quarantine",
        "_replicas",
        "_rng",
        "_slots",
        "stop",
    )

    def __init__(
        self,
        slots: dispatchers.Slots,
        replicas: runs.ReplicaClient,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
        quarantine: quarantines.Quarantine,
        stream_origins: Origins,
        rng: random.Random | None = None,
    ) -> None:
        self.stop = stopping.Stop(clock)
        self._slots = slots
        self._replicas = replicas
        self._clock = clock
        self._metrics = metrics
        self._quarantine = quarantine
        self._origins = stream_origins
        self._rng = rng or random.Random()
        self._bodies = bodies.BodyReader()

    async def run(self, call: progress_lib.Call) -> None:
        """Runs a call and sends its response.

        Raises:
            errors.CallerError: The call failed before its response was
                started.
            AbortError: The response was started and can't be completed.
            http.DisconnectedError: The caller disconnected.
        """
        service = self._pick_service(call.route)
        progress = progress_lib.Progress(call)
        failure: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._cancel_on_disconnect, call, nursery.cancel_scope
            )
            try:
                await self._run_until_deadline(call, service, progress)
            except (errors.CallerError, AbortError) as exc:
                # Raised outside of the nursery, which would wrap it in an
                # ExceptionGroup.
                failure = exc
            progress.done = True
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if not progress.done:
            raise http.DisconnectedError

    async def _run_until_deadline(
        self,
        call: progress_lib.Call,
        service: str,
        progress: progress_lib.Progress,
    ) -> None:
        with self.stop.limit(call.deadline_ms) as scope:
            await self._run_attempts(call, service, progress)
        if scope.cancelled_caught:
            stopping_ = self.stop.cuts(call.deadline_ms)
            progress.reason = "stopping" if stopping_ else "timeout"
            self._give_up(call, progress, 504)

    async def _cancel_on_disconnect(
        self, call: progress_lib.Call, scope: trio.CancelScope
    ) -> None:
        await call.req.wait_disconnect()
        scope.cancel()

    def _pick_service(self, route: configuration.Route) -> str:
        weights = [target.weight for target in route.targets]
        if not weights:
            raise errors.unavailable("no_target", "the route has no target")
        return self._rng.choices(route.targets, weights)[0].service

    async def _run_attempts(
        self,
        call: progress_lib.Call,
        service: str,
        progress: progress_lib.Progress,
    ) -> None:
        if call.resume_after is not None and (
            call.route.kind is configuration.RouteKind.STREAM
        ):
            await self._find_origin(call, progress)
        while True:
            self._check_quarantine(call, progress)
            slot = await self._acquire_slot(call, service, progress)
            if slot is None:
                self._give_up_without_slot(call, progress)
                return
            try:
                # The cause may have been found while the call waited.
                self._check_quarantine(call, progress)
                await self._attempt(call, slot, progress)
                return
            except upstream_errors.UpstreamError as exc:
                self._record_failure(call, slot, progress, exc)
                await self._handle_end_of_replica(slot, progress, exc)
            except _ErrorResponse as exc:
                slot.replica.note_failure(self._clock.now_ms())
                slot.failed = True
                progress.reason = f"status_{exc.status}"
                progress.tried.add(slot.replica.listing.id)
                if not progress.may_retry():
                    await self._relay_error_response(call, exc, progress)
                    return
            finally:
                self._slots.release(slot)
            if not progress.may_retry():
                self._give_up(call, progress, 502)

    async def _find_origin(
        self, call: progress_lib.Call, progress: progress_lib.Progress
    ) -> None:
        """Finds where a stream began that the caller takes up again.

        Raises:
            errors.CallerError: It is not known, or not a service of the route.
        """
        key = origins.stream_key(call.work.customer, call.resumes)
        found = await self._origins.find(
            key, call.services, call.work.request_id
        )
        if found is None or found.service not in call.services:
            progress.reason = "unknown_origin"
            self._give_up(
                call,
                progress,
                _UNAVAILABLE,
                "it is not known which version began the stream",
            )
        progress.origin = found

    def _check_quarantine(
        self, call: progress_lib.Call, progress: progress_lib.Progress
    ) -> None:
        """Gives up a call that is known to crash replicas.

        Raises:
            AbortError: The response was started.
            errors.CallerError: The response was not started.
        """
        verdict = self._quarantine.check(call.work, self._clock.now_ms())
        if verdict is None:
            return
        progress.reason = "quarantined"
        _log.info(
            "request quarantined",
            request_id=call.work.request_id,
            cause=verdict.cause,
            remaining_ms=round(verdict.remaining_ms),
        )
        self._give_up(
            call,
            progress,
            _UNAVAILABLE,
            "the request crashes replicas",
            verdict.remaining_ms,
        )

    async def _acquire_slot(
        self,
        call: progress_lib.Call,
        service: str,
        progress: progress_lib.Progress,
    ) -> dispatchers.Slot | None:
        exclude, version = progress.tried, None
        if progress.origin is not None:
            service, version = progress.origin.service, progress.origin.version
            if self._slots.has_replica(service, exclude) and not (
                self._slots.has_replica(service, exclude, version)
            ):
                # The other replicas are all of other versions.
                exclude = set()
        if not self._slots.has_replica(service, exclude=(), version=version):
            progress.reason = "no_replica" if version is None else "no_version"
            return None
        objective_ms = call.route.objective_ms or _DEFAULT_OBJECTIVE_MS
        req = dispatchers.SlotRequest(
            service=service,
            work=load.WorkKind.ONLINE,
            rank=call.priority,
            arrived_ms=call.arrived_ms,
            objective_ms=objective_ms,
            deadline_ms=call.deadline_ms - _MIN_RUN_MS,
            exclude=exclude,
            repeatable=call.route.repeatable
            and progress.attempts_left(begun=1),
            version=version,
            customer=call.work.customer,
            tokens=fair_order.estimate_tokens(len(call.work.body)),
        )
        slot = await self._slots.acquire(req)
        if req.hopeless:
            progress.reason = "no_capacity"
        return slot

    async def _attempt(
        self,
        call: progress_lib.Call,
        slot: dispatchers.Slot,
        progress: progress_lib.Progress,
    ) -> None:
        listing = slot.replica.listing
        sent_ms = self._clock.now_ms()
        repeatable = call.route.repeatable
        splitter = progress.splitter
        resume_after = splitter.last_id if splitter else call.resume_after
        may_retry = repeatable and progress.attempts_left(begun=1)
        progress.begun = False
        opening = self._replicas.open(
            listing,
            call.work,
            call.deadline_ms - sent_ms,
            resume_after,
            head_limit_ms=self._first_event_timeout_ms(call, may_retry),
            # The replica may have closed a pooled connection while it was
            # idle, and the last attempt can't be repeated if it is reset.
            fresh=not may_retry,
            on_send=progress.note_sent,
        )
        async with opening as run:
            now_ms = self._clock.now_ms()
            self._slots.fleet.note_notice(slot.replica, run.notice, now_ms)
            if run.refused:
                self._raise_refusal(call, slot, progress, run)
            progress.count_attempt()
            self._metrics.histogram("replica_head").record_ms(now_ms - sent_ms)
            if run.status >= _SERVER_ERROR:
                body = await self._bodies.read(run, _MAX_ERROR_BODY_BYTES)
                raise _ErrorResponse(run.status, run.headers, body)
            if call.req.started and run.status >= 300:
                raise upstream_errors.InvalidResponseError(
                    f"a stream was resumed with status {run.status}"
                )
            if call.route.kind is configuration.RouteKind.STREAM and (
                run.status < 300
            ):
                await self._relay_stream(call, run, slot, progress, may_retry)
            else:
                await self._relay_whole_response(call, run)
            slot.replica.note_success(self._clock.now_ms())
            self._note_begun(call, progress)
            self._record_success(call, slot, progress)

    def _first_event_timeout_ms(
        self, call: progress_lib.Call, may_retry: bool
    ) -> float:
        if not may_retry:
            return math.inf
        objective_ms = call.route.objective_ms or _DEFAULT_OBJECTIVE_MS
        return objective_ms * _FIRST_EVENT_TIMEOUT_OBJECTIVES

    async def _relay_stream(
        self,
        call: progress_lib.Call,
        run: runs.Run,
        slot: dispatchers.Slot,
        progress: progress_lib.Progress,
        may_retry: bool,
    ) -> None:
        """Relays a stream of events; sends only complete events."""
        if progress.splitter is None:
            progress.splitter = event_stream.Splitter(call.resume_after)
        else:
            progress.splitter.restart()
        gap_timeout_ms = math.inf
        if may_retry and call.route.gap_objective_ms:
            gap_timeout_ms = call.route.gap_objective_ms * _RESUME_GAP_FRACTION
        reader = event_reader.EventReader(run, progress.splitter, self._clock)
        timeout_ms = self._first_event_timeout_ms(call, may_retry)
        reads = 0
        while events := await reader.next_events(timeout_ms):
            timeout_ms = gap_timeout_ms
            reads += 1
            if reads == _READS_TO_BEGIN:
                self._note_begun(call, progress)
            if progress.origin is None and call.route.repeatable:
                progress.origin = await self._origins.note_begun(
                    origins.stream_key(
                        call.work.customer, call.work.request_id
                    ),
                    slot.replica,
                    call.services,
                )
            await self._start_response(call, run)
            await call.req.write(events)
        await self._start_response(call, run)
        await call.req.end()

    def _note_begun(
        self, call: progress_lib.Call, progress: progress_lib.Progress
    ) -> None:
        if not progress.begun:
            progress.begun = True
            self._quarantine.note_begun(call.work, self._clock.now_ms())

    async def _start_response(
        self, call: progress_lib.Call, run: runs.Run
    ) -> None:
        if call.req.started:
            return
        waited_ms = self._clock.now_ms() - call.arrived_ms
        self._metrics.histogram("first_event").record_ms(waited_ms)
        await call.req.start(run.status, run.headers)

    async def _relay_whole_response(
        self, call: progress_lib.Call, run: runs.Run
    ) -> None:
        body = await self._bodies.read(run, _MAX_BODY_BYTES)
        await _respond(call, run.status, run.headers, body)

    async def _relay_error_response(
        self,
        call: progress_lib.Call,
        exc: _ErrorResponse,
        progress: progress_lib.Progress,
    ) -> None:
        """Relays a replica's error response to the caller.

        A 503 is not relayed, because it would tell the caller that the request
        did not run, and no error can follow a response that was started.
        """
        if exc.status == _UNAVAILABLE or call.req.started:
            self._give_up(call, progress, 502)
        await _respond(call, exc.status, exc.headers, exc.body)

    def _raise_refusal(
        self,
        call: progress_lib.Call,
        slot: dispatchers.Slot,
        progress: progress_lib.Progress,
        run: runs.Run,
    ) -> None:
        """Records that a replica did not run the request.

        Raises:
            upstream_errors.RefusedError: Always.
        """
        now_ms = self._clock.now_ms()
        if run.misdirected:
            slot.replica.note_failure(now_ms)
            slot.failed = True
        else:
            slot.replica.note_full(now_ms)
            slot.refused = True
        raise upstream_errors.RefusedError("not run", run.status, b"")

    def _record_failure(
        self,
        call: progress_lib.Call,
        slot: dispatchers.Slot,
        progress: progress_lib.Progress,
        exc: upstream_errors.UpstreamError,
    ) -> None:
        replica = slot.replica
        progress.record_failure(replica.listing.id, exc)
        now_ms = self._clock.now_ms()
        slow = isinstance(exc, upstream_errors.TimeoutError)
        if slow and replica.in_flight(now_ms) > replica.slots:
            # The requests queued on the replica explain the timeout, so it
            # does not count as a failure; other replicas would be as full.
            replica.note_full(now_ms)
            slot.refused = True
        elif not isinstance(exc, upstream_errors.RefusedError):
            replica.note_failure(now_ms)
            slot.failed = True
        self._metrics.add("attempt_failures", code=exc.code)
        _log.info(
            "attempt failed",
            request_id=call.work.request_id,
            replica=replica.listing.id,
            code=exc.code,
            detail=exc.message[:80],
            ran=exc.ran.value,
            attempts=progress.attempts,
            failures=replica.failures,
            events=progress.splitter.last_id if progress.splitter else None,
            prompt=_describe_prompt(call.work.prompt),
        )

    def _give_up_without_slot(
        self, call: progress_lib.Call, progress: progress_lib.Progress
    ) -> None:
        if progress.reason == "no_capacity":
            # A caller that returns within its deadline would be late as well.
            self._give_up(
                call,
                progress,
                _UNAVAILABLE,
                "no replica can begin the request before its deadline",
                None,
            )
        if progress.reason != "no_version":
            self._give_up(call, progress, _UNAVAILABLE)
        self._give_up(
            call,
            progress,
            _UNAVAILABLE,
            "no replica of the version that began the stream is left",
            _NO_VERSION_RETRY_AFTER_MS,
        )

    def _give_up(
        self,
        call: progress_lib.Call,
        progress: progress_lib.Progress,
        status: int,
        refusal: str = "no replica accepted the request",
        retry_after_ms: float | None = _NO_REPLICA_RETRY_AFTER_MS,
    ) -> None:
        """Ends a call that no replica completed.

        Args:
            call: The call.
            progress: Its attempts.
            status: Status of the response if a replica may have run the call.
            refusal: What the caller is told if no replica has.
            retry_after_ms: When the caller may try again in that case, None
                if that is not expected to help.

        Raises:
            AbortError: The response was started.
            errors.CallerError: The response was not started.
        """
        now_ms = self._clock.now_ms()
        ran = progress.effect()
        _log.info(
            "request given up",
            request_id=call.work.request_id,
            route=call.route.name,
            customer=call.work.customer,
            reason=progress.reason,
            ran=ran.value,
            pending=progress.awaits_outcome,
            attempts=progress.attempts,
            refusals=progress.refusals,
            waited_ms=round(now_ms - call.arrived_ms),
            started=call.req.started,
        )
        self._metrics.add("requests_given_up", reason=progress.reason)
        if call.req.started:
            raise AbortError
        if ran is Ran.NOT_RUN:
            raise errors.unavailable(progress.reason, refusal, retry_after_ms)
        if status == _UNAVAILABLE:
            status = 502
        raise errors.CallerError(
            status,
            progress.reason,
            "the request may have run, but no response was received",
            ran=ran,
        )

    async def _handle_end_of_replica(
        self,
        slot: dispatchers.Slot,
        progress: progress_lib.Progress,
        exc: upstream_errors.UpstreamError,
    ) -> None:
        """Finds out whether a replica ended while it ran a call.

        The call is a suspect unless its run had begun. Its attempt is
        discounted if it was the last: the run has ended, too, so that the
        request can't be running twice when it is sent again.
        """
        discount = not progress.may_retry() and progress.may_discount_attempt()
        if not isinstance(exc, upstream_errors.BrokenError) or (
            progress.begun and not discount
        ):
            return
        listing = slot.replica.listing
        work = progress.call.work
        if not await self._replicas.has_stopped(listing):
            return
        if not progress.begun:
            self._quarantine.note_crash(listing, work, self._clock.now_ms())
        if discount:
            progress.discount_attempt()
            _log.info(
                "attempt forgiven",
                request_id=work.request_id,
                replica=listing.id,
                attempts=progress.attempts,
            )

    def _record_success(
        self,
        call: progress_lib.Call,
        slot: dispatchers.Slot,
        progress: progress_lib.Progress,
    ) -> None:
        now_ms = self._clock.now_ms()
        total_ms = now_ms - call.arrived_ms
        self._metrics.histogram("request").record_ms(total_ms)
        self._metrics.add("requests_served", route=call.route.name)
        _log.info(
            "served",
            request_id=call.work.request_id,
            route=call.route.name,
            customer=call.work.customer,
            replica=slot.replica.listing.id,
            attempts=progress.attempts,
            refusals=progress.refusals,
            total_ms=round(total_ms),
        )


def _describe_prompt(prompt: tuple[str, ...]) -> str:
    return " ".join(prompt[:_MAX_LOGGED_PARTS])[:_MAX_LOGGED_PROMPT]


async def _respond(
    call: progress_lib.Call, status: int, headers: runs.Headers, body: bytes
) -> None:
    rest = [pair for pair in headers if pair[0] != b"content-length"]
    await call.req.respond(status, body, rest)
