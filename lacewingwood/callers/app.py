"""The ASGI application towards callers."""

import functools
import secrets
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import structlog
import trio

from lacewingwood.callers import auth
from lacewingwood.callers import calls
from lacewingwood.callers import dependencies
from lacewingwood.callers import errors
from lacewingwood.callers import http
from lacewingwood.callers import inference
from lacewingwood.callers import running

_INFERENCE_PATHS = frozenset(("/v1/chat/completions", "/v1/completions"))
_MODELS_PATH = "/v1/models"

# What is read of the body of a request that is refused early.
_DISCARD_BYTES = 16 << 20
_DISCARD_S = 5.0

_log = structlog.get_logger()


class _AbortError(Exception):
    """Makes the server cut an answer that can't be completed."""


class App:
    """Answers callers' requests; each is authenticated by itself."""

    __slots__ = ("_deps", "_inference", "running")

    def __init__(self, deps: dependencies.Dependencies) -> None:
        self.running = running.Running(deps)
        self._deps = deps
        self._inference = inference.Inference(deps)

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[dict[str, Any]]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        """Answers one ASGI connection scope."""
        match scope["type"]:
            case "http":
                request_id = "req-" + secrets.token_hex(12)
                req = http.Request(scope, receive, send, request_id)
                await self._answer(req)
            case "websocket":
                await send({"type": "websocket.close"})

    async def _answer(self, req: http.Request) -> None:
        try:
            await self._dispatch(req)
        except http.DisconnectedError:
            self._deps.metrics.add("callers_disconnects")
        except errors.CallerError as exc:
            await self._fail(req, exc)
        except Exception:
            _log.exception("request failed", request_id=req.request_id)
            await self._fail(req, _internal_error())

    async def _dispatch(self, req: http.Request) -> None:
        self._check_headers(req)
        if not self._deps.state.fresh():
            message = "this host does not know the current configuration"
            raise errors.unavailable("stale", message)
        caller = auth.authenticate(req, self._deps.state)
        if req.path in _INFERENCE_PATHS:
            _check_method(req, "POST")
            await self._infer(req, caller)
        elif req.path == _MODELS_PATH:
            _check_method(req, "GET")
            await self._list_models(req)
        else:
            raise errors.CallerError(404, "not_found", "no such path")

    async def _infer(self, req: http.Request, caller: auth.Caller) -> None:
        body = await req.read_body(self._deps.settings.max_body_bytes)
        call = calls.parse(req, body, caller, self._deps)
        await self._admit(call.customer, call.deadline_ms)
        work = functools.partial(self._inference.run, req, call)
        await self.running.run(req, caller, work)

    async def _admit(self, customer: str, deadline_ms: float) -> None:
        answer = await self._deps.limiter.admit(customer, deadline_ms)
        retry_after_ms = getattr(answer, "retry_after_ms", None)
        if retry_after_ms is not None:
            raise errors.CallerError(
                429,
                "rate_limit_exceeded",
                "the customer's rate is exceeded",
                retry_after_ms=retry_after_ms,
            )

    async def _list_models(self, req: http.Request) -> None:
        models = sorted(self._deps.state.view.models)
        data = [_describe_model(name) for name in models]
        await req.respond_json({"object": "list", "data": data})

    def _check_headers(self, req: http.Request) -> None:
        size = sum(len(name) + len(value) for name, value in req.headers)
        if size > self._deps.settings.max_header_bytes:
            raise errors.CallerError(
                431, "headers_too_large", "the headers are too long"
            )

    async def _fail(self, req: http.Request, exc: errors.CallerError) -> None:
        self._deps.metrics.add("callers_failures", code=exc.code)
        if req.streams_events:
            await req.fail_event(exc)
        elif req.started:
            raise _AbortError
        elif req.body_ended:
            await req.fail(exc)
        else:
            await self._fail_early(req, exc)

    async def _fail_early(
        self, req: http.Request, exc: errors.CallerError
    ) -> None:
        """Answers a request whose body has not been read.

        A body of moderate length is read first, since closing a connection
        with unread data can destroy the answer. The rest must be received
        until the end, else the server's queue of its pieces blocks for ever.
        """
        with trio.move_on_after(_DISCARD_S):
            await req.discard_body(_DISCARD_BYTES)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(req.wait_disconnect)
            await req.fail(exc)


def make_app(deps: dependencies.Dependencies) -> App:
    """Returns the application that answers callers."""
    return App(deps)


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
