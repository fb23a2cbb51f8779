"""HTTP server shared by the stand-ins, over hypercorn's trio protocol."""

import contextlib
import contextvars
import logging
import urllib.parse
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Protocol

import hypercorn
import msgspec
import trio
from hypercorn import app_wrappers
from hypercorn.trio import tcp_server
from hypercorn.trio import worker_context
from hypercorn.typing import ConnectionState

_KEEP_ALIVE_S = 60
_logger = logging.getLogger(__name__)
_stream: contextvars.ContextVar[trio.SocketStream] = contextvars.ContextVar(
    "stream"
)


class Request:
    """One HTTP request and the methods that answer it.

    Attributes:
        client: Address and port of the client.
        method: HTTP method.
        path: Decoded path.
        query: Query parameters; of equal names, the last value.
        headers: Header fields by lower-case name; of equal names, the last
            value.
    """

    __slots__ = (
        "_chunked",
        "_receive",
        "_send",
        "client",
        "headers",
        "method",
        "path",
        "query",
    )

    def __init__(self, scope: Any, receive: Any, send: Any) -> None:
        self.client: tuple[str, int] = scope["client"]
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.query: dict[str, str] = dict(
            urllib.parse.parse_qsl(scope["query_string"].decode("latin-1"))
        )
        self.headers: dict[str, str] = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        self._receive = receive
        self._send = send
        self._chunked = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterates over the body as it arrives."""
        more = True
        while more:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                return
            more = message.get("more_body", False)
            if message.get("body"):
                yield message["body"]

    async def body(self) -> bytes:
        """Returns the whole body."""
        return b"".join([chunk async for chunk in self.chunks()])

    async def disconnected(self) -> None:
        """Waits until the client has gone; call after reading the body."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def answer(
        self,
        status: int,
        body: bytes = b"",
        content_type: str = "application/json",
        headers: dict[str, str] | None = None,
    ) -> None:
        """Sends a whole answer."""
        fields = {
            "content-type": content_type,
            "content-length": str(len(body)),
            **(headers or {}),
        }
        await self.start(status, fields)
        await self.send(body, more=False)

    async def answer_json(
        self, status: int, value: Any, headers: dict[str, str] | None = None
    ) -> None:
        """Sends `value` as JSON, with further header fields."""
        await self.answer(status, msgspec.json.encode(value), headers=headers)

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Sends the status and the header fields."""
        self._chunked = "content-length" not in headers
        fields = [(k.encode(), v.encode()) for k, v in headers.items()]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": fields}
        )

    async def send(self, body: bytes, more: bool = True) -> None:
        """Sends part of the body.

        All parts of a chunked body but the last are written to the HTTP/1.1
        connection directly, which takes half the time that hypercorn needs.
        """
        if more and body and self._chunked:
            await self.send_raw(b"%x\r\n%s\r\n" % (len(body), body))
            return
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": more}
        )

    async def send_raw(self, data: bytes) -> None:
        """Writes to the connection and bypasses the server's framing.

        Does nothing if the client has gone.
        """
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            await _stream.get().send_all(data)

    async def abort(self) -> None:
        """Closes the connection, whatever has been sent so far."""
        await _stream.get().aclose()


Handler = Callable[[Request], Awaitable[None]]


class StandIn(Protocol):
    """A stand-in that is served over HTTP."""

    async def handle(self, request: Request) -> None:
        """Answers one request."""


async def serve(
    handle: Handler,
    bind: str,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until cancelled; reports the address listened on when ready."""
    host, _, port = bind.rpartition(":")
    listeners = await trio.open_tcp_listeners(int(port), host=host)
    bound = listeners[0].socket.getsockname()
    connection = _connection(handle)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, connection, listeners)
        task_status.started(f"{bound[0]}:{bound[1]}")


def _connection(
    handle: Handler,
) -> Callable[[trio.SocketStream], Awaitable[None]]:
    config = hypercorn.Config()
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.keep_alive_max_requests = 1 << 60
    context = worker_context.WorkerContext(None)

    async def run_app(scope: Any, receive: Any, send: Any) -> None:
        await handle(Request(scope, receive, send))

    app = app_wrappers.ASGIWrapper(run_app)

    async def run_connection(stream: trio.SocketStream) -> None:
        _stream.set(stream)
        state = ConnectionState({})
        try:
            await tcp_server.TCPServer(
                app,
                config,
                context,
                state,
                stream,  # type: ignore[arg-type]
            )
        except Exception:
            _logger.exception("connection failed")

    return run_connection
