"""Admin listener: health, metrics and the state dump."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import hypercorn.config
import hypercorn.trio
import msgspec
import trio

from lacewingwood import metrics as metrics_lib

_JSON_TYPE = "application/json"
_PROMETHEUS_TYPE = "text/plain; version=0.0.4"

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
        if scope["type"] == "lifespan":
            await _handle_lifespan(receive, send)
            return
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


async def _handle_lifespan(receive: Any, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


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
    app: AdminApp,
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
    cfg = hypercorn.config.Config()
    cfg.bind = [f"{host}:{port}"]
    cfg.accesslog = None
    cfg.errorlog = None
    cfg.loglevel = "CRITICAL"
    async with trio.open_nursery() as nursery:
        urls = await nursery.start(hypercorn.trio.serve, app, cfg)
        task_status.started(urls[0].removeprefix("http://"))
