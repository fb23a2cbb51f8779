"""HTTP requests and responses over ASGI."""

import contextlib
import math
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any

import msgspec
import trio

from lacewingwood.callers import client_limits
from lacewingwood.callers import errors

Headers = Sequence[tuple[bytes, bytes]]
_JSON = (b"content-type", b"application/json")
_SSE = (
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-cache"),
)
# Smaller parts of a body are joined as they arrive. Each part takes 40 bytes
# more than its content.
_PART_BYTES = 16 << 10


class DisconnectedError(Exception):
    """The caller disconnected."""


class Request:
    """One request and its response.

    Attributes:
        scope: The request's ASGI scope.
        request_id: Id of the request, sent back in the response.
        method: HTTP method.
        path: Decoded path.
        headers: Names in lower case, and values.
        started: True once the response's status was sent.
        streams_events: True once the response is a stream of events.
        body_read: Set once the whole body of the request was read.
        closing: True if the connection is closed after the response, which
            does not wait for the rest of the request.
        disconnected: True once the caller is known to have disconnected.
    """

    __slots__ = (
        "_body",
        "_receive",
        "_send",
        "_trailers",
        "body_read",
        "closing",
        "disconnected",
        "headers",
        "method",
        "path",
        "request_id",
        "scope",
        "started",
        "streams_events",
    )

    def __init__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[dict[str, Any]]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
        request_id: str,
    ) -> None:
        self.scope = scope
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.headers: list[tuple[bytes, bytes]] = list(scope["headers"])
        self.request_id = request_id
        self.started = False
        self.streams_events = False
        self.body_read = trio.Event()
        self.closing = False
        self.disconnected = False
        self._body: client_limits.Body | None = None
        self._trailers = False
        self._receive = receive
        self._send = send

    def header_values(self, name: bytes) -> list[bytes]:
        """Returns all values of a header."""
        return [value for key, value in self.headers if key == name]

    def header(self, name: bytes) -> bytes:
        """Returns a header's value, empty if the header is missing.

        Raises:
            errors.CallerError: The header is repeated.
        """
        values = self.header_values(name)
        if len(values) > 1:
            text = name.decode("latin-1")
            raise errors.bad_request(f"header {text} is repeated")
        return values[0] if values else b""

    async def next_chunk(self) -> bytes | None:
        """Returns the next chunk of the body, None at its end.

        Raises:
            DisconnectedError: The caller disconnected.
        """
        if self.body_read.is_set():
            return None
        message = await self._receive()
        if message["type"] == "http.disconnect":
            self.disconnected = True
            raise DisconnectedError
        if not message.get("more_body", False):
            self.body_read.set()
        return message.get("body", b"")

    async def read_body(self, limit: int) -> bytes:
        """Returns the whole body, which counts as held until `release`.

        Raises:
            errors.CallerError: The body is longer than `limit` bytes, arrives
                too slowly, or there is no memory for it.
            DisconnectedError: The caller disconnected.
        """
        self.check_length(limit)
        parts = _Parts()
        try:
            with self._receiving() as body:
                while (chunk := await self.next_chunk()) is not None:
                    parts.add(chunk)
                    if parts.size > limit:
                        raise body_too_large_error(limit)
                    if body is not None:
                        await body.receive(len(chunk))
            if body is not None and (exc := body.error()) is not None:
                self._close_after_response()
                raise exc
            return parts.join()
        finally:
            # The traceback of an error would keep the parts.
            parts.clear()

    async def discard_body(self, limit: int) -> None:
        """Reads and drops the body, until its end or beyond `limit` bytes.

        Ends early if the body arrives too slowly.
        """
        size = 0
        with self._receiving() as body:
            while (
                size <= limit and (chunk := await self.next_chunk()) is not None
            ):
                size += len(chunk)
                if body is not None:
                    await body.receive(len(chunk), kept=False)
        if not self.body_read.is_set():
            self._close_after_response()

    def release(self) -> None:
        """Stops counting the body, which is no longer held."""
        if self._body is not None:
            self._body.release()
            self._body = None

    @contextlib.contextmanager
    def _receiving(self) -> Iterator[client_limits.Body | None]:
        """Limits the receiving of the body; yields what counts it, if any."""
        state = self.scope.get("state") or {}
        enforcer: client_limits.Enforcer | None = state.get("enforcer")
        if enforcer is None:
            yield None
            return
        self.release()
        body = self._body = enforcer.open_body()
        try:
            with body.scope:
                yield body
        except BaseException:
            self.release()
            raise
        body.complete()

    def _close_after_response(self) -> None:
        self.closing = True
        if "state" in self.scope:
            self.scope["state"]["close"] = True

    def check_length(self, limit: int) -> None:
        """Raises errors.CallerError if Content-Length exceeds `limit`."""
        content_length = self.header(b"content-length")
        if content_length.isdigit() and int(content_length) > limit:
            raise body_too_large_error(limit)

    def accepts_trailers(self) -> bool:
        """Returns whether trailers can be sent to this caller."""
        extensions = self.scope.get("extensions", {})
        can_send = "http.response.trailers" in extensions
        return can_send and b"trailers" in self.header_values(b"te")

    async def wait_disconnect(self) -> None:
        """Waits until the caller disconnects; drops the rest of the body."""
        while not self.disconnected:
            message = await self._receive()
            self.disconnected = message["type"] == "http.disconnect"

    async def start(
        self, status: int, headers: Headers, trailers: bool = False
    ) -> None:
        """Sends the response's status and headers.

        Args:
            status: HTTP status.
            headers: Headers, to which the request's id is added.
            trailers: Whether `end` will send trailers.
        """
        self.started = True
        self._trailers = trailers
        request_id = (b"x-request-id", self.request_id.encode())
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [*headers, request_id],
                "trailers": trailers,
            }
        )

    async def start_events(self) -> None:
        """Starts a stream of server-sent events."""
        self.streams_events = True
        await self.start(200, _SSE)

    async def write(self, data: bytes) -> None:
        """Sends a chunk of the response's body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end(self, data: bytes = b"", trailers: Headers = ()) -> None:
        """Sends the last chunk of the response's body.

        The unread rest of the request is received meanwhile; otherwise the
        server would block forever on its full queue.
        """
        if self.body_read.is_set():
            await self._send_end(data, trailers)
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.wait_disconnect)
            await self._send_end(data, trailers)

    async def _send_end(self, data: bytes, trailers: Headers) -> None:
        # The server reports a disconnect at the end of the request while this
        # send still prepares the connection for the next one. A task that
        # cancels the request on a disconnect must not cancel the send: the
        # server would not mark the connection as idle and so never close it,
        # not even at a planned shutdown.
        with trio.CancelScope(shield=True):
            await self._send(
                {"type": "http.response.body", "body": data, "more_body": False}
            )
            if self._trailers:
                await self._send(
                    {
                        "type": "http.response.trailers",
                        "headers": list(trailers),
                    }
                )

    async def respond(
        self, status: int, body: bytes, headers: Headers = (_JSON,)
    ) -> None:
        """Sends a complete response."""
        content_length = (b"content-length", b"%d" % len(body))
        await self.start(status, [*headers, content_length])
        await self.end(body)

    async def respond_json(self, value: Any, status: int = 200) -> None:
        """Sends `value` as JSON, as a complete response."""
        await self.respond(status, msgspec.json.encode(value))

    async def send_error(self, exc: errors.CallerError) -> None:
        """Sends an error as a complete response."""
        headers = [_JSON, *exc.headers]
        if exc.retry_after_ms is not None:
            seconds = max(1, math.ceil(exc.retry_after_ms / 1000))
            headers.append((b"retry-after", b"%d" % seconds))
        await self.respond(exc.status, exc.body(), headers)

    async def send_error_event(self, exc: errors.CallerError) -> None:
        """Ends a stream of events with an error and without `[DONE]`."""
        await self.end(b"data: " + exc.body() + b"\n\n")


class _Parts:
    """Parts of a body."""

    __slots__ = ("_parts", "_tail", "size")

    def __init__(self) -> None:
        self.size = 0
        self._parts: list[bytes] = []
        self._tail = bytearray()

    def add(self, data: bytes) -> None:
        """Adds a part."""
        self.size += len(data)
        if not self._tail and len(data) >= _PART_BYTES:
            self._parts.append(data)
            return
        self._tail += data
        if len(self._tail) >= _PART_BYTES:
            self._parts.append(bytes(self._tail))
            self._tail.clear()

    def clear(self) -> None:
        """Drops everything."""
        self._parts.clear()
        self._tail = bytearray()

    def join(self) -> bytes:
        """Returns the whole body."""
        if not self._parts:
            return bytes(self._tail)
        return b"".join((*self._parts, self._tail))


def body_too_large_error(
    limit: int, ran: errors.Ran = errors.Ran.NOT_RUN
) -> errors.CallerError:
    """Returns the error for a body over `limit` bytes."""
    message = f"body is longer than {limit} bytes"
    return errors.CallerError(413, "body_too_large", message, ran=ran)
