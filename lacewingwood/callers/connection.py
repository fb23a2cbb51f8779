"""Callers' connections, with hypercorn's faults of robustness mended.

Hypercorn ends the whole server when a connection fails with an unexpected
error, fails so on HTTP/2 data for a stream that was answered already, never
resets an HTTP/2 stream that the application abandoned, and waits for ever for
a caller that does not read.
"""

import collections
import contextlib
from typing import Any

import priority
import trio
from h2 import errors as h2_errors
from h2 import events as h2_events
from h2 import exceptions as h2_exceptions
from hypercorn import events as server_events
from hypercorn import protocol as protocols
from hypercorn import typing as server_typing
from hypercorn import utils
from hypercorn.protocol import events as stream_events
from hypercorn.protocol import h2 as http2
from hypercorn.protocol import h11 as http1
from hypercorn.trio import task_group as task_groups
from hypercorn.trio import tcp_server
from hypercorn.trio import worker_context

# A caller that takes nothing for this long is cut off.
_WRITE_TIMEOUT_S = 120
# What a caller may go on sending after its request was answered.
_MAX_DROPPED_BYTES = 64 << 20


class Connection(tcp_server.TCPServer):
    """One caller's connection without TLS."""

    async def run(self) -> None:
        """Serves the connection until it ends."""
        try:
            await self._serve()
        except OSError:
            pass
        finally:
            await self._close()

    async def announce_shutdown(self) -> None:
        """Tells an HTTP/2 caller to use another connection from now on."""
        protocol = getattr(self, "protocol", None)
        if isinstance(protocol, _Protocol):
            await protocol.announce_shutdown()

    async def protocol_send(self, event: server_events.Event) -> None:
        """Sends what the protocol gives, within a time limit."""
        if not isinstance(event, server_events.RawData):
            await super().protocol_send(event)
            return
        with trio.move_on_after(_WRITE_TIMEOUT_S, shield=True) as scope:
            await super().protocol_send(event)
        if scope.cancelled_caught:
            await trio.aclose_forcefully(self.stream)

    async def _serve(self) -> None:
        sock = self.stream.socket
        client = utils.parse_socket_addr(sock.family, sock.getpeername())
        server = utils.parse_socket_addr(sock.family, sock.getsockname())
        async with task_groups.TaskGroup() as task_group:
            self._task_group = task_group
            self.protocol = _Protocol(
                self.app,
                self.config,
                self.context,
                task_group,
                server_typing.ConnectionState(self.state),
                False,
                client,
                server,
                self.protocol_send,
            )
            await self.protocol.initiate()
            await self.idle_task.restart(task_group, self._idle_timeout)
            await self._read_data()


class _Protocol(protocols.ProtocolWrapper):
    """Starts with HTTP/1.1 and changes to HTTP/2 when the caller does."""

    async def announce_shutdown(self) -> None:
        if isinstance(self.protocol, _Http2):
            await self.protocol.announce_shutdown()

    async def handle(self, event: server_events.Event) -> None:
        try:
            await self.protocol.handle(event)
        except http1.H2ProtocolAssumedError as exc:
            self.protocol = self._make_http2()
            await self.protocol.initiate()
            await self._handle_rest(exc.data)
        except http1.H2CProtocolRequiredError as exc:
            self.protocol = self._make_http2()
            await self.protocol.initiate(exc.headers, exc.settings)
            await self._handle_rest(exc.data)

    async def _handle_rest(self, data: bytes) -> None:
        if data:
            await self.protocol.handle(server_events.RawData(data=data))

    def _make_http2(self) -> "_Http2":
        return _Http2(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.state,
            self.ssl,
            self.client,
            self.server,
            self.send,
        )


class _Http2(http2.H2Protocol):
    """HTTP/2 that survives callers who break off or go on too long.

    It counts as idle only once all that was written has been sent, and has a
    context of its own that is never terminated: hypercorn closes a connection
    whose last stream has ended, but before the end of that stream is sent.

    Attributes:
        server_context: The server's context.
    """

    server_context: server_typing.WorkerContext

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.server_context = self.context
        self.context = worker_context.WorkerContext(None)
        self._draining = False
        self._said_goodbye = False
        self._dropped: collections.Counter[int] = collections.Counter()

    async def announce_shutdown(self) -> None:
        """Sends GOAWAY as soon as no stream runs on the connection.

        A GOAWAY while streams run would be correct, but clients that use the
        h2 library take it for the end of the connection and lose them. The
        connection stays open, so that a client that sends a request at the
        same time reads the GOAWAY and sends it elsewhere.
        """
        self._draining = True
        await self._update_idle()

    async def handle(self, event: server_events.Event) -> None:
        """Handles what the caller sends; nothing after a GOAWAY."""
        data = isinstance(event, server_events.RawData)
        if not (data and self._said_goodbye):
            await super().handle(event)

    async def stream_send(self, event: stream_events.Event) -> None:
        """Sends what a stream gives."""
        if not isinstance(event, stream_events.StreamClosed):
            await super().stream_send(event)
            return
        await self._close_stream(event.stream_id)
        buffer = self.stream_buffers.get(event.stream_id)
        if buffer is not None and not buffer._complete:
            # The application gave the answer up half-way.
            self._reset(event.stream_id, h2_errors.ErrorCodes.INTERNAL_ERROR)
            await self._flush()
            await self._discard(event.stream_id)
        await self._update_idle()

    async def _send_data(self, stream_id: int) -> None:
        await super()._send_data(stream_id)
        if stream_id not in self.stream_buffers:
            await self._update_idle()

    async def _update_idle(self) -> None:
        if self.closed or self.streams or self.stream_buffers:
            return
        if self._draining and not self._said_goodbye:
            self._said_goodbye = True
            self.connection.close_connection()
            await self._flush()
        await self.send(server_events.Updated(idle=True))

    async def _handle_events(self, events: list[h2_events.Event]) -> None:
        for event in events:
            if not self._accepts(event):
                continue
            await super()._handle_events([event])
            if isinstance(event, h2_events.StreamReset):
                await self._discard(event.stream_id)
        await self._flush()

    async def _create_stream(self, request: h2_events.RequestReceived) -> None:
        await super()._create_stream(request)
        # Hypercorn closes the connection under its running streams when this
        # exceeds the limit.
        self.keep_alive_requests = 0

    def _accepts(self, event: h2_events.Event) -> bool:
        match event:
            case h2_events.RequestReceived():
                return self._accepts_request(event)
            case h2_events.DataReceived():
                return self._accepts_data(event)
            case _:
                return True

    def _accepts_request(self, event: h2_events.RequestReceived) -> bool:
        if self.server_context.terminated.is_set():
            self._reset(event.stream_id, h2_errors.ErrorCodes.REFUSED_STREAM)
            return False
        headers = dict(event.headers)
        path = headers.get(b":path", b"")
        if headers[b":method"] == b"CONNECT" or not path.isascii():
            self._reset(event.stream_id, h2_errors.ErrorCodes.PROTOCOL_ERROR)
            return False
        return True

    def _accepts_data(self, event: h2_events.DataReceived) -> bool:
        """Drops data for a stream that has been answered and closed.

        Some clients read the answer only when they have sent everything, and
        lose it if the stream is reset before.
        """
        stream_id = event.stream_id
        if stream_id in self.streams:
            return True
        length = event.flow_controlled_length
        self.connection.acknowledge_received_data(length, stream_id)
        self._dropped[stream_id] += length
        if self._dropped[stream_id] > _MAX_DROPPED_BYTES:
            del self._dropped[stream_id]
            self._reset(stream_id, h2_errors.ErrorCodes.NO_ERROR)
        elif event.stream_ended is not None:
            del self._dropped[stream_id]
        return False

    async def _discard(self, stream_id: int) -> None:
        """Makes the sending task forget what a dead stream had to send."""
        buffer = self.stream_buffers.get(stream_id)
        if buffer is None:
            return
        await buffer.close()
        with contextlib.suppress(priority.MissingStreamError):
            self.priority.unblock(stream_id)
        await self.has_data.set()

    def _reset(self, stream_id: int, code: h2_errors.ErrorCodes) -> None:
        # It may be closed already.
        with contextlib.suppress(h2_exceptions.ProtocolError):
            self.connection.reset_stream(stream_id, code)
