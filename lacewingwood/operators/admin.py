"""Admin listener: health, metrics and the state dump."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import hypercorn.config
import hypercorn.trio
import msgspec
import trio

from lacewingwood import metrics as metrics_lib

_JSON = "application/json"
_TEXT = "text/plain; version=0.0.4"

Dump = Callable[[], dict[str, Any]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class AdminApp:
    """ASGI application of the admin listener.

    Args:
        metrics: The process's metrics.
        ready: Returns why the process is not ready, or None if it is.
        dump: Returns the state of the process as plain objects.
    """

    __slots__ = ("_dump", "_metrics", "_ready")

    def __init__(
        self,
        metrics: metrics_lib.Registry,
        ready: Callable[[], str | None],
        dump: Dump,
    ) -> None:
        self._metrics = metrics
        self._ready = ready
        self._dump = dump

    async def __call__(
        self, scope: dict[str, Any], receive: Any, send: Send
    ) -> None:
        """Serves one request."""
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        if scope["method"] not in ("GET", "HEAD"):
            await _answer(send, 405, _JSON, _json({"error": "use GET"}))
            return
        await _answer(send, *self._response(scope["path"]))

    def _response(self, path: str) -> tuple[int, str, bytes]:
        match path:
            case "/healthz":
                return 200, _JSON, _json({"alive": True})
            case "/readyz":
                reason = self._ready()
                body = _json({"ready": reason is None, "reason": reason})
                return 200 if reason is None else 503, _JSON, body
            case "/metrics":
                return 200, _TEXT, self._metrics.render().encode()
            case "/dump":
                return 200, _JSON, _json(self._dump())
        known = "/healthz, /readyz, /metrics, /dump"
        return 404, _JSON, _json({"error": f"unknown path; known: {known}"})


async def _lifespan(receive: Any, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


def _json(value: Any) -> bytes:
    return msgspec.json.format(msgspec.json.encode(value), indent=2) + b"\n"


async def _answer(send: Send, status: int, kind: str, body: bytes) -> None:
    headers = [
        (b"content-type", kind.encode()),
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
    """Serves `app` until cancelled; reports the bound `IP:PORT`."""
    cfg = hypercorn.config.Config()
    cfg.bind = [f"{host}:{port}"]
    cfg.accesslog = None
    cfg.errorlog = None
    cfg.loglevel = "CRITICAL"
    async with trio.open_nursery() as nursery:
        urls = await nursery.start(hypercorn.trio.serve, app, cfg)
        task_status.started(urls[0].removeprefix("http://"))
