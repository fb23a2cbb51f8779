"""HTTP/1.1 connections to upstreams: h11 over trio's sockets.

httpcore's connection pool adds about half to the cost of each response chunk,
hides trailers, and does not tell whether a request was sent.
"""

import contextlib
import os
import select
from collections.abc import Callable
from typing import Any

import h11
import trio

from lacewingwood import errors as base_errors
from lacewingwood.upstreams import errors

_READ_BYTES = 1 << 16
# Larger requests are written in parts.
_MAX_JOINED_BYTES = 1 << 16
# Shorter than the keep-alive timeout of common servers, so that requests are
# rarely sent on a connection that the server is closing.
_MAX_IDLE_S = 4.0
# Time to wait for the end of a response whose content is complete, so that its
# connection can be kept.
_DRAIN_TIMEOUT_S = 0.05
_BODY_LIMIT_BYTES = 16 << 20
# Interim responses that may precede a response.
_MAX_INTERIM_RESPONSES = 16
# Refusals after which a connection is closed, as it has to remember them.
_MAX_REFUSED = 64
_BODILESS_STATUSES = (204, 304)
# RFC 9110, section 15: other statuses are invalid.
_MAX_STATUS = 599

Headers = list[tuple[bytes, bytes]]


class Connection:
    """One connection; carries one exchange at a time.

    Attributes:
        idle_since_s: When the last exchange ended.
        reused: True once it has carried an exchange before the present one.
        refused: Ids of the requests that were refused on it.
        write_failed: True once a write has failed.
    """

    __slots__ = (
        "_fd",
        "_h11",
        "_stream",
        "_write_complete",
        "idle_since_s",
        "refused",
        "reused",
        "write_failed",
    )

    def __init__(self, stream: trio.SocketStream) -> None:
        self.idle_since_s = 0.0
        self.reused = False
        self.refused: set[str] = set()
        self.write_failed = False
        self._write_complete = True
        self._stream = stream
        self._fd = stream.socket.fileno()
        self._h11 = h11.Connection(h11.CLIENT)

    async def send(self, *events: Any) -> None:
        """Sends h11 events, in one write unless they are large.

        Raises:
            BrokenError: The connection broke.
        """
        parts: list[bytes] = []
        for event in events:
            parts += self._h11.send_with_data_passthrough(event) or ()
        if sum(map(len, parts)) <= _MAX_JOINED_BYTES:
            parts = [b"".join(parts)]
        self._write_complete = False
        try:
            # Joining the parts would copy a body of several megabytes.
            for part in parts:
                await self._stream.send_all(part)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            self.write_failed = True
            raise errors.BrokenError(str(exc)) from exc
        self._write_complete = True

    async def receive(self) -> Any:
        """Returns the next h11 event.

        Raises:
            BrokenError: The connection ended or the peer broke the protocol.
        """
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                raise errors.BrokenError(str(exc)) from exc
            if event is not h11.NEED_DATA:
                return event
            self._h11.receive_data(await self._read())

    async def _read(self) -> bytes:
        # trio's own receive first tries a read that fails. Waiting before the
        # read saves it, which is a fifth of the cost of a chunk.
        await trio.lowlevel.wait_readable(self._fd)
        try:
            return os.read(self._fd, _READ_BYTES)
        except BlockingIOError:
            return await self._receive_some()
        except OSError as exc:
            raise errors.BrokenError(str(exc)) from exc

    async def _receive_some(self) -> bytes:
        try:
            return bytes(await self._stream.receive_some(_READ_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise errors.BrokenError(str(exc)) from exc

    def recycle(self) -> bool:
        """Prepares for another exchange; returns False if impossible."""
        if not self._write_complete:
            return False
        if len(self.refused) > _MAX_REFUSED:
            return False
        if self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        if self._h11.trailing_data[0]:
            # Data after a complete response belongs to no request.
            return False
        self._h11.start_next_cycle()
        self.reused = True
        self.idle_since_s = trio.current_time()
        return True

    def expired(self) -> bool:
        """Returns whether an idle connection is too old to be used again."""
        return trio.current_time() - self.idle_since_s > _MAX_IDLE_S

    def usable(self) -> bool:
        """Returns whether an idle connection may be used again."""
        return not self.expired() and not self._is_readable()

    def _is_readable(self) -> bool:
        """Returns whether an idle connection was closed, or has odd data."""
        poller = select.poll()
        poller.register(self._fd, select.POLLIN)
        return bool(poller.poll(0))

    async def close(self) -> None:
        """Closes the connection."""
        with trio.CancelScope(shield=True):
            await self._stream.aclose()


class Exchange:
    """One request and its response.

    Attributes:
        sent: True once any byte of the request may have been sent.
        status: HTTP status, 0 until it is known.
        headers: Header fields with names in lower case.
        trailers: Trailer fields; known once the body has been read.
        complete: True once the whole response has been read.
    """

    __slots__ = (
        "_accept_unframed",
        "_connection",
        "_method",
        "complete",
        "headers",
        "sent",
        "status",
        "trailers",
    )

    def __init__(
        self, connection: Connection, accept_unframed: bool = False
    ) -> None:
        self._connection = connection
        self._accept_unframed = accept_unframed
        self._method = b""
        self.sent = False
        self.status = 0
        self.headers: Headers = []
        self.trailers: Headers = []
        self.complete = False

    @property
    def reused(self) -> bool:
        """Whether the connection has carried earlier exchanges."""
        return self._connection.reused

    def note_refusal(self, request_id: str) -> None:
        """Records that the request was refused without being run.

        It is not sent on this connection again: a second copy of the refusal
        could not be told from the answer.
        """
        self._connection.refused.add(request_id)

    @property
    def ran(self) -> base_errors.Ran:
        """Whether the request may have had an effect so far."""
        if self.sent:
            return base_errors.Ran.MAY_HAVE_RUN
        return base_errors.Ran.NOT_RUN

    def header(self, name: bytes) -> bytes | None:
        """Returns the first field of that name, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    async def send(self, *events: Any) -> None:
        """Sends h11 events.

        Raises:
            BrokenError: The connection broke.
        """
        self.sent = True
        await self._connection.send(*events)

    async def send_head(self, head: h11.Request) -> None:
        """Sends the head of a request whose body follows.

        Raises:
            BrokenError: The connection broke.
        """
        self._method = head.method
        await self.send(head)

    async def send_whole(self, head: h11.Request, body: bytes) -> None:
        """Sends a whole request.

        A broken connection is not reported here but by `receive_head`, as the
        peer may have sent a response before it closed the connection.
        """
        self._method = head.method
        with contextlib.suppress(errors.BrokenError):
            await self.send(head, h11.Data(data=body), h11.EndOfMessage())

    async def send_and_receive_head(
        self, head: h11.Request, body: bytes, is_final: Callable[[], bool]
    ) -> None:
        """Sends a whole request and reads the head of its response.

        The response may come while a large body is being written, and its
        sender may read no more of the body.

        Args:
            head: Head of the request.
            body: Its body.
            is_final: Called once the head of the response is known; returns
                True if the rest of the request need not be written.

        Raises:
            BrokenError: The connection ended or the peer broke the protocol.
            InvalidResponseError: As for `receive_head`.
        """
        if len(body) <= _MAX_JOINED_BYTES:
            await self.send_whole(head, body)
            await self.receive_head()
            return
        failure: errors.UpstreamError | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send_whole, head, body)
            # An error is kept outside of the nursery, which would wrap it in an
            # exception group.
            try:
                await self.receive_head()
            except errors.UpstreamError as exc:
                failure = exc
            if failure is not None or is_final():
                nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def receive_head(self) -> None:
        """Reads status and header fields.

        Raises:
            BrokenError: The connection ended or the peer broke the protocol.
            InvalidResponseError: The status is invalid, or too many interim
                responses came first.
        """
        event = await self._connection.receive()
        for _ in range(_MAX_INTERIM_RESPONSES):
            if not isinstance(event, h11.InformationalResponse):
                break
            event = await self._connection.receive()
        else:
            raise errors.InvalidResponseError("too many interim responses")
        if not isinstance(event, h11.Response):
            raise errors.BrokenError("connection closed without a response")
        # h11 refuses those below 200, and what is not three digits.
        if event.status_code > _MAX_STATUS:
            raise errors.InvalidResponseError(
                f"invalid status {event.status_code}"
            )
        self.status = event.status_code
        self.headers = list(event.headers)

    async def next_chunk(self) -> bytes:
        """Returns the next part of the body as it arrives, empty at its end.

        Raises:
            BrokenError: The connection ended before the response did.
        """
        if self.complete:
            return b""
        event = await self._connection.receive()
        if type(event) is h11.Data:
            return bytes(event.data)
        if type(event) is not h11.EndOfMessage:
            raise errors.BrokenError(
                "connection closed before the response ended"
            )
        if not self.framed:
            self._check_unframed_end()
        self.trailers = list(event.headers)
        self.complete = True
        return b""

    def _check_unframed_end(self) -> None:
        """Checks that the end of the connection is the end of a response.

        Raises:
            BrokenError: It can't be told from a broken response.
        """
        if not self._accept_unframed:
            raise errors.BrokenError(
                "response has neither a length nor chunked encoding"
            )
        if self._connection.write_failed:
            # The failed write has taken the error of a reset, so that the next
            # read finds the end of the connection instead.
            raise errors.BrokenError(
                "response without a length after a failed write"
            )

    async def read(self) -> bytes:
        """Returns the rest of the body.

        Raises:
            BrokenError: The connection ended before the response did.
            InvalidResponseError: The body is larger than 16 MiB.
        """
        chunks = []
        size = 0
        while chunk := await self.next_chunk():
            chunks.append(chunk)
            size += len(chunk)
            if size > _BODY_LIMIT_BYTES:
                raise errors.InvalidResponseError("response body is too large")
        return b"".join(chunks)

    async def drain(self) -> None:
        """Reads the rest of the body if it arrives within a short timeout.

        Sets `complete` if the body has ended by then.
        """
        with (
            contextlib.suppress(errors.BrokenError),
            trio.move_on_after(_DRAIN_TIMEOUT_S),
        ):
            while await self.next_chunk():
                pass

    @property
    def framed(self) -> bool:
        """Whether the end of the body can be told from a broken one.

        A response without a length or chunked encoding lasts until the
        connection is closed. If it is reset, the response has broken off.
        """
        return (
            self._method == b"HEAD"
            or self.status in _BODILESS_STATUSES
            or self.header(b"content-length") is not None
            or self.header(b"transfer-encoding") is not None
        )
