"""Admin listener: health, metrics and the state dump."""

import functools
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import msgspec
import trio

from lacewingwood import clock as clocks
from lacewingwood import configuration
from lacewingwood import metrics as metrics_lib
from lacewingwood.callers import client_limits
from lacewingwood.callers import server

_JSON_TYPE = "application/json"
_PROMETHEUS_TYPE = "text/plain; version=0.0.4"

# Enough for the monitoring and the load balancers of a host. They send short
# heads at once, and no body.
_MAX_CONNECTIONS = 64
_LIMITS = configuration.ClientLimits(
    max_header_bytes=16 << 10, header_timeout_ms=2_000.0
)

DumpState = Callable[[], dict[str, Any]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class AdminApp:
    """ASGI application of the admin listener.

    Args:
        metrics: The process's metrics.
        unready_reason: Returns why the process is not ready, or None if it is.
        dump: Returns the state of the process as JSON-compatible objects.
    """

    __slots__ = ("_dump", "_metrics", "_unready_reason")

    def __init__(
        self,
        metrics: metrics_lib.Registry,
        unready_reason: Callable[[], str | None],
        dump: DumpState,
    ) -> None:
        self._metrics = metrics
        self._unready_reason = unready_reason
        self._dump = dump

    async def __call__(
        self, scope: dict[str, Any], receive: Any, send: Send
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        if scope["method"] not in ("GET", "HEAD"):
            await _respond(
                send, 405, _JSON_TYPE, _encode_json({"error": "use GET"})
            )
            return
        await _respond(send, *self._response(scope["path"]))

    def _response(self, path: str) -> tuple[int, str, bytes]:
        match path:
            case "/healthz":
                return 200, _JSON_TYPE, _encode_json({"alive": True})
            case "/readyz":
                reason = self._unready_reason()
                body = _encode_json({"ready": reason is None, "reason": reason})
                return 200 if reason is None else 503, _JSON_TYPE, body
            case "/metrics":
                return 200, _PROMETHEUS_TYPE, self._metrics.render().encode()
            case "/dump":
                return 200, _JSON_TYPE, _encode_json(self._dump())
        known = "/healthz, /readyz, /metrics, /dump"
        return (
            404,
            _JSON_TYPE,
            _encode_json({"error": f"unknown path; known: {known}"}),
        )


def _encode_json(value: Any) -> bytes:
    return msgspec.json.format(msgspec.json.encode(value), indent=2) + b"\n"


async def _respond(
    send: Send, status: int, content_type: str, body: bytes
) -> None:
    headers = [
        (b"content-type", content_type.encode()),
        (b"content-length", str(len(body)).encode()),
    ]
    start = {"type": "http.response.start", "status": status}
    await send({**start, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def serve(
    app: Callable[[dict[str, Any], Any, Send], Awaitable[None]],
    host: str,
    port: int,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves `app` until cancelled.

    Args:
        app: Application to serve.
        host: Address to bind.
        port: Port to bind, 0 for any free one.
        task_status: Receives the bound `IP:PORT`.
    """
    enforcer = client_limits.Enforcer(
        clocks.MonotonicClock(),
        metrics_lib.Registry(),
        client_limits.Settings(
            max_connections=_MAX_CONNECTIONS,
            read_bytes=4 << 10,
            queued_messages=2,
        ),
        lambda: _LIMITS,
    )
    listen = functools.partial(
        server.serve,
        _Application(app),
        host,
        port,
        trio.Event(),
        drain_ms=0,
        enforcer=enforcer,
    )
    async with trio.open_nursery() as nursery:
        bound = await nursery.start(listen)
        task_status.started(f"{host}:{bound}")


class _Application:
    """An application without background tasks."""

    __slots__ = ("_app",)

    def __init__(
        self, app: Callable[[dict[str, Any], Any, Send], Awaitable[None]]
    ) -> None:
        self._app = app

    async def run_forever(self) -> None:
        """Returns at once."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handles one ASGI connection scope; drops the request's body.

        The server would wait without end to hand over a body that isn't read.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_drain, receive)
            await self._app(scope, receive, send)
            nursery.cancel_scope.cancel()


async def _drain(receive: Any) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
