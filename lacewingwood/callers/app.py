"""ASGI application for callers' requests."""

import contextlib
import functools
import secrets
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import structlog
import trio

from lacewingwood.callers import admission
from lacewingwood.callers import auth
from lacewingwood.callers import calls
from lacewingwood.callers import dependencies
from lacewingwood.callers import errors
from lacewingwood.callers import http
from lacewingwood.callers import inference
from lacewingwood.callers import proxy
from lacewingwood.callers import reports
from lacewingwood.callers import running

_INFERENCE_PATHS = frozenset(("/v1/chat/completions", "/v1/completions"))
_MODELS_PATH = "/v1/models"

# Limits for reading the rest of a refused request's body.
_MAX_DISCARDED_BYTES = 4 << 20
_DISCARD_TIMEOUT_S = 5.0

_log = structlog.get_logger()


class _AbortError(Exception):
    """Makes the server abort a response that can't be completed."""


class App:
    """Dispatches requests to their handlers.

    Each request is authenticated by itself, also on a connection that has
    carried authenticated requests before.

    Attributes:
        running: The requests in progress.
    """

    __slots__ = ("_deps", "_inference", "_proxy", "running")

    def __init__(self, deps: dependencies.Dependencies) -> None:
        self.running = running.RunningRequests(deps)
        self._deps = deps
        self._inference = inference.Inference(deps)
        self._proxy = proxy.Proxy(deps, self.running)

    async def run_forever(self) -> None:
        """Runs the background tasks that are shared by all requests."""
        deps = self._deps
        report_poller = reports.ReportPoller(
            deps.engine_client, deps.router, deps.suspects, deps.clock
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(report_poller.run_forever)
            nursery.start_soon(self.running.check_forever)
            nursery.start_soon(self._inference.placement.run_forever)

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[dict[str, Any]]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        """Handles one ASGI connection scope."""
        match scope["type"]:
            case "http":
                request_id = "req-" + secrets.token_hex(12)
                req = http.Request(scope, receive, send, request_id)
                await self._handle(req)
            case "websocket":
                await send({"type": "websocket.close"})

    async def _handle(self, req: http.Request) -> None:
        try:
            await self._dispatch(req)
        except http.DisconnectedError:
            self._deps.metrics.add("callers_disconnects")
        except errors.CallerError as exc:
            await self._send_error(req, exc)
        except Exception:
            _log.exception("request failed", request_id=req.request_id)
            await self._send_error(req, _internal_error())
        finally:
            req.release()

    async def _dispatch(self, req: http.Request) -> None:
        self._check_headers(req)
        if not self._deps.state.fresh():
            message = "this host does not have the current configuration"
            raise errors.unavailable("stale", message)
        if req.path in _INFERENCE_PATHS:
            await self._handle_inference(req)
        elif req.path == _MODELS_PATH:
            await self._handle_models(req)
        elif (handler := self._batch_handler(req)) is not None:
            await self._handle_batch(req, handler)
        else:
            await self._proxy.run(req)

    async def _handle_inference(self, req: http.Request) -> None:
        _check_method(req, "POST")
        caller = self._authenticate(req)
        body = await req.read_body(self._deps.settings.max_body_bytes)
        call = calls.parse(req, body, caller, self._deps)
        await admission.admit(self._deps, call.customer, call.deadline_ms)
        work = functools.partial(self._inference.run, req, call)
        await self.running.run(req, caller, work)

    def _batch_handler(self, req: http.Request) -> dependencies.Handler | None:
        prefix = "/".join(req.path.split("/", 3)[:3])
        return self._deps.batch_handlers.get(prefix)

    async def _handle_batch(
        self, req: http.Request, handler: dependencies.Handler
    ) -> None:
        caller = self._authenticate(req)
        work = functools.partial(handler, req, caller.customer, self._deps)
        await self.running.run(req, caller, work)

    async def _handle_models(self, req: http.Request) -> None:
        _check_method(req, "GET")
        self._authenticate(req)
        models = sorted(self._deps.state.view.models)
        data = [_describe_model(name) for name in models]
        await req.respond_json({"object": "list", "data": data})

    def _authenticate(self, req: http.Request) -> auth.Caller:
        caller = auth.authenticate(req, self._deps.state)
        auth.refuse_query_keys(req, self._deps.state)
        return caller

    def _check_headers(self, req: http.Request) -> None:
        size = sum(len(name) + len(value) for name, value in req.headers)
        if size > self._deps.settings.max_header_bytes:
            raise errors.CallerError(
                431, "headers_too_large", "the headers are too long"
            )

    async def _send_error(
        self, req: http.Request, exc: errors.CallerError
    ) -> None:
        self._deps.metrics.add("callers_failures", code=exc.code)
        if req.streams_events:
            await req.send_error_event(exc)
        elif req.started:
            raise _AbortError
        else:
            if not req.closing:
                await _discard_body(req)
            if not req.disconnected:
                await req.send_error(exc)


def make_app(deps: dependencies.Dependencies) -> App:
    """Returns the ASGI application."""
    return App(deps)


async def _discard_body(req: http.Request) -> None:
    """Reads and drops the rest of a request's body, within limits.

    Closing a connection with unread data resets it, so that the caller may
    lose the response.
    """
    with (
        trio.move_on_after(_DISCARD_TIMEOUT_S),
        contextlib.suppress(http.DisconnectedError),
    ):
        await req.discard_body(_MAX_DISCARDED_BYTES)


def _check_method(req: http.Request, *allowed: str) -> None:
    if req.method not in allowed:
        raise errors.CallerError(
            405,
            "method_not_allowed",
            f"method {req.method} is not allowed here",
            headers=((b"allow", ", ".join(allowed).encode()),),
        )


def _describe_model(name: str) -> dict[str, Any]:
    return {
        "id": name,
        "object": "model",
        "created": 0,
        "owned_by": "lacewingwood",
    }


def _internal_error() -> errors.CallerError:
    return errors.CallerError(
        500, "internal_error", "internal error", ran=errors.Ran.MAY_HAVE_RUN
    )
