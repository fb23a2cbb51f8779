"""Runs one attempt of a call at a replica and relays its response."""

import math
from collections.abc import Collection
from typing import Protocol

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import configuration
from lacewingwood import metrics as metrics_lib
from lacewingwood.callers import bodies
from lacewingwood.callers import endings as endings_lib
from lacewingwood.callers import errors
from lacewingwood.callers import progress as progress_lib
from lacewingwood.routing import load
from lacewingwood.routing import origins
from lacewingwood.routing import quarantine as quarantines
from lacewingwood.routing import run_times
from lacewingwood.routing import slots as slots_lib
from lacewingwood.upstreams import errors as upstream_errors
from lacewingwood.upstreams import event_reader
from lacewingwood.upstreams import event_stream
from lacewingwood.upstreams import runs

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
DEFAULT_OBJECTIVE_MS = 1_000.0
_MAX_BODY_BYTES = 16 << 20
# A replica's error response is short, and no larger one is relayed.
_MAX_ERROR_BODY_BYTES = 64 << 10
# Time for the body of an error response that the caller does not get. Reading
# it lets the connection be used again.
_UNUSED_BODY_TIMEOUT_S = 0.2
# Most bytes of a stream that are held while another run may still answer. An
# event has at most half of them, and comments before it are short.
_MAX_HELD_BYTES = 256 << 10
# Reads of events after which a run counts as begun. The first event may have
# been sent before the replica crashed.
_READS_TO_BEGIN = 2

_SERVER_ERROR = 500

_log = structlog.get_logger()


class ErrorResponse(Exception):
    """A replica answered that it failed; another replica may succeed.

    The status is a 5xx status, or one that would promise that the request has
    not run, although the replica does not state this.

    Attributes:
        status: HTTP status.
        headers: Response headers for the caller.
        body: The body, None if it was not needed and did not come in time.
    """

    def __init__(
        self, status: int, headers: runs.Headers, body: bytes | None
    ) -> None:
        super().__init__(f"status {status}")
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def relayable(self) -> bool:
        """Whether the caller may get the response."""
        return self.body is not None and _is_relayable(self.status)


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


class Attempts:
    """Runs attempts of calls."""

    __slots__ = (
        "_bodies",
        "_clock",
        "_endings",
        "_metrics",
        "_origins",
        "_quarantine",
        "_replicas",
        "_slots",
    )

    def __init__(
        self,
        slots: slots_lib.Slots,
        replicas: runs.ReplicaClient,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
        quarantine: quarantines.Quarantine,
        stream_origins: Origins,
        endings: endings_lib.Endings,
    ) -> None:
        self._slots = slots
        self._replicas = replicas
        self._clock = clock
        self._metrics = metrics
        self._quarantine = quarantine
        self._origins = stream_origins
        self._endings = endings
        self._bodies = bodies.BodyReader()

    async def run(
        self,
        call: progress_lib.Call,
        attempt: progress_lib.Attempt,
    ) -> None:
        """Runs a call on the replica of a slot and relays the response.

        Raises:
            upstream_errors.UpstreamError: The run failed.
            ErrorResponse: The replica answered that it failed.
        """
        slot, progress = attempt.slot, attempt.progress
        listing = slot.replica.listing
        sent_ms = slot.sent_ms = self._clock.now_ms()
        repeatable = call.route.repeatable
        splitter = progress.splitter
        resume_after = splitter.last_id if splitter else call.resume_after
        begun = 1 + progress.pending
        may_retry = repeatable and progress.attempts_left(begun)
        opening = self._replicas.open(
            listing,
            call.work,
            call.deadline_ms - sent_ms,
            resume_after,
            head_limit_ms=_first_event_limit_ms(attempt, may_retry),
            # The replica may have closed a pooled connection while it was
            # idle, and the last attempt can't be repeated if it is reset.
            fresh=not may_retry,
            on_send=attempt.note_sent,
        )
        async with opening as run:
            now_ms = self._clock.now_ms()
            self._slots.fleet.note_notice(slot.replica, run.notice, now_ms)
            if run.refused:
                slot.note_refusal(run.misdirected, now_ms)
                raise upstream_errors.RefusedError("not run", run.status, b"")
            attempt.count()
            if attempt.race is not None:
                attempt.race.note_head(attempt)
            self._metrics.histogram("replica_head").record_ms(now_ms - sent_ms)
            if _is_failure(run.status):
                raise await self._read_error(run, progress)
            if call.req.started and run.status >= 300:
                raise upstream_errors.InvalidResponseError(
                    f"a stream was resumed with status {run.status}"
                )
            if call.route.kind is configuration.RouteKind.STREAM and (
                run.status < 300
            ):
                await self._relay_stream(call, run, attempt)
            else:
                await self._relay_whole_response(call, run, attempt)
            slot.replica.note_success(self._clock.now_ms())
            self._note_begun(attempt)
            if not resume_after:
                now_ms = self._clock.now_ms()
                self._quarantine.note_completed(call.work, now_ms)
            self._endings.record_success(call, attempt, run.status)

    async def _read_error(
        self, run: runs.Run, progress: progress_lib.Progress
    ) -> ErrorResponse:
        """Returns the response of a replica that failed a request.

        Raises:
            upstream_errors.UpstreamError: The response broke off.
        """
        may_retry = progress.call.route.repeatable and progress.attempts_left(
            begun=progress.pending
        )
        needed = not may_retry and _is_relayable(run.status)
        body: bytes | None = None
        with trio.move_on_after(math.inf if needed else _UNUSED_BODY_TIMEOUT_S):
            body = await self._bodies.read(run, _MAX_ERROR_BODY_BYTES)
        return ErrorResponse(run.status, run.headers, body)

    async def _relay_stream(
        self,
        call: progress_lib.Call,
        run: runs.Run,
        attempt: progress_lib.Attempt,
    ) -> None:
        """Relays a stream of events; sends only complete events."""
        progress = attempt.progress
        splitter = progress.splitter
        if splitter is None or attempt.race is not None:
            splitter = event_stream.Splitter(call.resume_after)
        else:
            splitter.restart()
        reader = event_reader.EventReader(run, splitter, self._clock)
        events = b""
        if attempt.race is not None:
            events = await _read_first_event(reader, splitter)
            await _claim(attempt)
        progress.splitter = splitter
        may_retry = call.route.repeatable and progress.attempts_left()
        gap_timeout_ms = math.inf
        if may_retry and call.route.gap_objective_ms:
            gap_timeout_ms = call.route.gap_objective_ms * _RESUME_GAP_FRACTION
        timeout_ms = _first_event_limit_ms(attempt, may_retry)
        reads = 0
        while events := events or await reader.next_events(timeout_ms):
            timeout_ms = gap_timeout_ms
            reads += 1
            if reads == _READS_TO_BEGIN:
                self._note_begun(attempt)
            if progress.origin is None and call.route.repeatable:
                progress.origin = await self._origins.note_begun(
                    origins.stream_key(
                        call.work.customer, call.work.request_id
                    ),
                    attempt.slot.replica,
                    call.services,
                )
            await self._start_response(call, run)
            await call.req.write(events)
            events = b""
        slot = attempt.slot
        slot.deviation = run_times.compare(
            slot.replica,
            run.notice,
            slot.sent_ms,
            reader.timing,
            self._clock.now_ms(),
        )
        await self._start_response(call, run)
        await call.req.end()

    def _note_begun(self, attempt: progress_lib.Attempt) -> None:
        if not attempt.begun:
            attempt.begun = True
            work = attempt.progress.call.work
            self._quarantine.note_begun(work, self._clock.now_ms())

    async def _start_response(
        self, call: progress_lib.Call, run: runs.Run
    ) -> None:
        if call.req.started:
            return
        waited_ms = self._clock.now_ms() - call.arrived_ms
        self._metrics.histogram("first_event").record_ms(waited_ms)
        await call.req.start(run.status, run.headers)

    async def _relay_whole_response(
        self,
        call: progress_lib.Call,
        run: runs.Run,
        attempt: progress_lib.Attempt,
    ) -> None:
        body = await self._bodies.read(run, _MAX_BODY_BYTES)
        if attempt.race is not None:
            await _claim(attempt)
        await _respond(call, run.status, run.headers, body)

    async def note_failure(
        self,
        call: progress_lib.Call,
        attempt: progress_lib.Attempt,
        exc: upstream_errors.UpstreamError | ErrorResponse,
    ) -> None:
        """Records that an attempt failed."""
        if isinstance(exc, upstream_errors.UpstreamError):
            self._endings.record_failure(call, attempt, exc)
            await self._handle_end_of_replica(attempt, exc)
        else:
            self._endings.record_error_response(call, attempt, exc.status)

    async def _handle_end_of_replica(
        self,
        attempt: progress_lib.Attempt,
        exc: upstream_errors.UpstreamError,
    ) -> None:
        """Finds out whether a replica ended while it ran a call.

        The call is a suspect then. Its attempt is discounted if it was the
        last: the run has ended, too, so that the request can't be running
        twice when it is sent again.
        """
        progress = attempt.progress
        discount = not progress.may_retry() and progress.may_discount_attempt()
        if not isinstance(exc, upstream_errors.BrokenError):
            return
        listing = attempt.slot.replica.listing
        work = progress.call.work
        if not await self._replicas.has_stopped(listing):
            return
        self._quarantine.note_crash(
            listing, work, self._clock.now_ms(), begun=attempt.begun
        )
        if discount:
            progress.discount_attempt()
            _log.info(
                "attempt forgiven",
                request_id=work.request_id,
                replica=listing.id,
                attempts=progress.attempts,
            )

    async def relay_error_response(
        self,
        call: progress_lib.Call,
        exc: ErrorResponse,
        progress: progress_lib.Progress,
    ) -> None:
        """Relays a replica's error response to the caller.

        A status that would tell the caller that the request did not run is not
        relayed, and no error can follow a response that was started.
        """
        if exc.body is None or not exc.relayable or call.req.started:
            self._endings.give_up(call, progress, 502)
        self._endings.record_relayed_error(call, progress)
        await _respond(call, exc.status, exc.headers, exc.body)


def _is_relayable(status: int) -> bool:
    """Returns whether a caller may get the status of a run."""
    return status not in errors.NOT_RUN_STATUSES


def _is_failure(status: int) -> bool:
    """Returns whether a replica that ran a request reports that it failed."""
    return status >= _SERVER_ERROR or not _is_relayable(status)


def first_event_timeout_ms(route: configuration.Route) -> float:
    """Returns the timeout for the first event if another run may follow."""
    objective_ms = route.objective_ms or DEFAULT_OBJECTIVE_MS
    return objective_ms * _FIRST_EVENT_TIMEOUT_OBJECTIVES


def _first_event_limit_ms(
    attempt: progress_lib.Attempt, may_retry: bool
) -> float:
    # A race limits its attempts itself: what they are allowed changes with
    # what becomes of the other.
    if not may_retry or attempt.race is not None:
        return math.inf
    return first_event_timeout_ms(attempt.progress.call.route)


async def _read_first_event(
    reader: event_reader.EventReader, splitter: event_stream.Splitter
) -> bytes:
    """Returns all up to the first numbered event, or up to the end."""
    held = b""
    while splitter.last_id is None:
        events = await reader.next_events(math.inf)
        if not events:
            break
        held += events
        if len(held) > _MAX_HELD_BYTES:
            raise upstream_errors.InvalidResponseError("too many comments")
    return held


async def _claim(attempt: progress_lib.Attempt) -> None:
    """Returns if an attempt may answer; else waits to be cancelled."""
    if attempt.race is not None and not attempt.race.claim(attempt):
        await trio.sleep_forever()


async def _respond(
    call: progress_lib.Call, status: int, headers: runs.Headers, body: bytes
) -> None:
    rest = [pair for pair in headers if pair[0] != b"content-length"]
    await call.req.respond(status, body, rest)
