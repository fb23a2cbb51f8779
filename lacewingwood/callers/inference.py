"""Completions and chat completions, with retries and stream resumption."""

import msgspec
import trio

from lacewingwood.callers import calls
from lacewingwood.callers import dependencies
from lacewingwood.callers import errors
from lacewingwood.callers import http
from lacewingwood.callers import placement
from lacewingwood.callers import resume
from lacewingwood.routing import outcomes
from lacewingwood.routing import retries
from lacewingwood.routing import router as routers
from lacewingwood.upstreams import errors as upstream_errors

_DONE_EVENT = b"data: [DONE]\n\n"


class _Usage(msgspec.Struct):
    completion_tokens: int


class _Completion(msgspec.Struct):
    usage: _Usage


_completion_decoder = msgspec.json.Decoder(_Completion)


class Inference:
    """Runs inference requests.

    Attributes:
        placement: Places the requests on replicas.
    """

    __slots__ = ("_budget", "_deps", "placement")

    def __init__(self, deps: dependencies.Dependencies) -> None:
        self.placement = placement.Placement(deps)
        self._deps = deps
        self._budget = retries.Budget()

    async def run(self, req: http.Request, call: calls.Call) -> None:
        """Runs a request and sends its response.

        Raises:
            errors.CallerError: The request failed; the response may have been
                started.
        """
        now_ms = self._deps.clock.now_ms()
        self._budget.note_request(now_ms)
        left_s = (call.deadline_ms - now_ms) / 1000
        tried: set[str] = set()
        attempts = retries.Attempts(True, call.deadline_ms)
        respond = self._stream if call.stream else self._complete
        try:
            with trio.move_on_after(left_s) as scope:
                await respond(req, call, tried, attempts)
        except errors.CallerError as exc:
            raise exc.note_earlier_attempts(attempts.ran) from exc.__cause__
        finally:
            self.placement.settle(call, None)
        if scope.cancelled_caught:
            raise _deadline_error(tried)

    async def _complete(
        self,
        req: http.Request,
        call: calls.Call,
        tried: set[str],
        attempts: retries.Attempts,
    ) -> None:
        while True:
            try:
                async with self.placement.attempt(call, tried) as started:
                    completion = await self._deps.engine_client.complete(
                        started.replica.address,
                        call.path,
                        call.body,
                        call.request_id,
                        call.deadline_ms,
                    )
                break
            except upstream_errors.UpstreamError as exc:
                self._retry_or_raise(attempts, exc)
        self.placement.settle(call, _completion_tokens(completion))
        await req.respond(200, completion)

    async def _stream(
        self,
        req: http.Request,
        call: calls.Call,
        tried: set[str],
        attempts: retries.Attempts,
    ) -> None:
        progress = resume.StreamProgress(call)
        while True:
            try:
                async with self.placement.attempt(call, tried) as started:
                    await self._relay_events(req, call, progress, started)
                break
            except upstream_errors.UpstreamError as exc:
                if progress.is_complete():
                    break
                resumable = call.resumable and progress.resumable()
                if req.started and not resumable:
                    raise errors.from_upstream(exc) from exc
                self._retry_or_raise(attempts, exc)
                progress.resume()
        self.placement.settle(call, len(progress.chunks))
        await req.end(_DONE_EVENT)

    async def _relay_events(
        self,
        req: http.Request,
        call: calls.Call,
        progress: resume.StreamProgress,
        started: routers.InFlight,
    ) -> None:
        """Relays the events of one engine's response.

        Events are stored and relayed unparsed; only the events of an engine
        that resumes a response are parsed and adapted.
        """
        engines = self._deps.engine_client
        context = engines.stream(
            started.replica.address,
            call.path,
            progress.body(),
            call.request_id,
            call.deadline_ms,
        )
        save_chunk = progress.chunks.append
        write = req.write
        async with context as stream:
            first = True
            async for chunk in stream.chunks():
                if first:
                    first = False
                    self._note_first_token(started)
                    if not req.started:
                        self._record_first_token(call)
                        await req.start_events()
                data = progress.adapt(chunk) if progress.resumed else chunk
                save_chunk(data)
                await write(b"data: " + data + b"\n\n")

    def _note_first_token(self, started: routers.InFlight) -> None:
        self._deps.router.first_token(started, self._deps.clock.now_ms())

    def _record_first_token(self, call: calls.Call) -> None:
        spent_ms = self._deps.clock.now_ms() - call.received_ms
        self._deps.metrics.histogram("callers_first_token").record_ms(spent_ms)

    def _retry_or_raise(
        self, attempts: retries.Attempts, exc: upstream_errors.UpstreamError
    ) -> None:
        outcome = outcomes.of_error(exc)
        now_ms = self._deps.clock.now_ms()
        match attempts.after(outcome, self._budget, now_ms):
            case retries.Retry():
                self._deps.metrics.add("callers_retries")
            case retries.GiveUp():
                raise errors.from_upstream(exc) from exc


def _deadline_error(tried: set[str]) -> errors.CallerError:
    if not tried:
        return placement.overloaded_error("deadline", 1000)
    return errors.CallerError(
        504,
        "deadline_exceeded",
        "the request's deadline has passed",
        ran=errors.Ran.MAY_HAVE_RUN,
    )


def _completion_tokens(completion: bytes) -> int | None:
    try:
        return _completion_decoder.decode(completion).usage.completion_tokens
    except msgspec.MsgspecError:
        return None
