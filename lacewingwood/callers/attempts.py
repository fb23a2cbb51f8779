"""Runs one attempt of a call at a replica and relays its response."""

import math
from collections.abc import Collection
from typing import Protocol

from lacewingwood import clock as clocks
from lacewingwood import configuration
from lacewingwood import metrics as metrics_lib
from lacewingwood.callers import bodies
from lacewingwood.callers import endings as endings_lib
from lacewingwood.callers import progress as progress_lib
from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import load
from lacewingwood.routing import origins
from lacewingwood.routing import quarantine as quarantines
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
# Reads of events after which a run counts as begun. The first event may have
# been sent before the replica crashed.
_READS_TO_BEGIN = 2

_SERVER_ERROR = 500


class ErrorResponse(Exception):
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
        slots: dispatchers.Slots,
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
        slot: dispatchers.Slot,
        progress: progress_lib.Progress,
    ) -> None:
        """Runs a call on the replica of a slot and relays the response.

        Raises:
            upstream_errors.UpstreamError: The run failed.
            ErrorResponse: The replica answered with a 5xx status.
        """
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
                raise ErrorResponse(run.status, run.headers, body)
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
            self._endings.record_success(call, slot, progress)

    def _first_event_timeout_ms(
        self, call: progress_lib.Call, may_retry: bool
    ) -> float:
        if not may_retry:
            return math.inf
        objective_ms = call.route.objective_ms or DEFAULT_OBJECTIVE_MS
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

    async def relay_error_response(
        self,
        call: progress_lib.Call,
        exc: ErrorResponse,
        progress: progress_lib.Progress,
    ) -> None:
        """Relays a replica's error response to the caller.

        A 503 is not relayed, because it would tell the caller that the request
        did not run, and no error can follow a response that was started.
        """
        if exc.status == endings_lib.UNAVAILABLE or call.req.started:
            self._endings.give_up(call, progress, 502)
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


async def _respond(
    call: progress_lib.Call, status: int, headers: runs.Headers, body: bytes
) -> None:
    rest = [pair for pair in headers if pair[0] != b"content-length"]
    await call.req.respond(status, body, rest)
