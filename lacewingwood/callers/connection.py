"""Server connections that work around robustness problems of hypercorn.

Hypercorn terminates the whole server when a connection fails with an
unexpected error, waits indefinitely for a caller that does not read, and has a
task for the timeout of each idle connection. `http1` and `http2` hold what
concerns one protocol.
"""

import contextlib
import os
from typing import Any

import h11
import trio
from hypercorn import events as server_events
from hypercorn import protocol as protocols
from hypercorn import typing as server_typing
from hypercorn import utils
from hypercorn.protocol import h11 as h11_protocol
from hypercorn.trio import task_group as task_groups
from hypercorn.trio import tcp_server

from lacewingwood.callers import client_limits
from lacewingwood.callers import connection_table
from lacewingwood.callers import http1
from lacewingwood.callers import http2

# The connection is closed if the caller reads nothing for this long.
_WRITE_TIMEOUT_S = 120
# How long, and up to how many bytes, the rest of a refused request is dropped.
_LINGERING_S = 1.0
_MAX_LINGERING_BYTES = 8 << 20
_HEADER_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)


class Connection(tcp_server.TCPServer):
    """A caller's connection, without TLS."""

    def __init__(self, enforcer: client_limits.Enforcer, *args: Any) -> None:
        super().__init__(*args)
        self._enforcer = enforcer
        self._entry = enforcer.add(self.end)
        self._reading = trio.CancelScope()
        self._lingering = False
        self._lingering_bytes = _MAX_LINGERING_BYTES

    async def run(self) -> None:
        """Serves the connection until it ends."""
        try:
            await self._serve()
        except OSError:
            pass
        finally:
            self._enforcer.remove(self._entry)
            await self._close()

    def end(self, cause: connection_table.End | None = None) -> None:
        """Closes the connection.

        Args:
            cause: The limit that it exceeds, None at a planned shutdown.
        """
        if (
            cause is connection_table.End.HEADER_TIMEOUT
            and not self.send_lock.locked()
            and isinstance(self.protocol.protocol, http1.Http1)
        ):
            self._write_now(_HEADER_TIMEOUT_RESPONSE)
        self._reading.cancel()

    def end_if_idle(self) -> None:
        """Closes the connection unless it has a request."""
        if self._entry.phase is not connection_table.Phase.BUSY:
            self.end()

    async def announce_shutdown(self) -> None:
        """Asks an HTTP/2 caller to use another connection from now on."""
        protocol = getattr(self, "protocol", None)
        if isinstance(protocol, _Protocol):
            await protocol.announce_shutdown()

    async def protocol_send(self, event: server_events.Event) -> None:
        """Sends an event's data; closes the connection on a write timeout."""
        if isinstance(event, server_events.Updated):
            self._note_update(event.idle)
            return
        if isinstance(event, server_events.Closed) and self._may_linger():
            await self._linger()
            await self.protocol.handle(event)
            return
        if not isinstance(event, server_events.RawData):
            await super().protocol_send(event)
            return
        if not self.send_lock.locked():
            rest = self._write_now(event.data)
            if not rest:
                return
            event = server_events.RawData(data=rest)
        with trio.move_on_after(_WRITE_TIMEOUT_S, shield=True) as scope:
            await super().protocol_send(event)
        if scope.cancelled_caught:
            await trio.aclose_forcefully(self.stream)

    def _write_now(self, data: bytes) -> bytes:
        """Writes what the socket takes at once; returns the rest.

        Callers mostly read faster than replicas generate. The lock and the
        cancel scopes around a write that may block cost more than the write.
        """
        try:
            written = os.write(self.stream.socket.fileno(), data)
        except OSError:
            # The write that may block reports the error.
            return data
        return data[written:]

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
            self.protocol.protocol.max_fields = (
                self._enforcer.settings.max_fields
            )
            self.protocol.protocol.turn = self._enforcer.turn
            await self.protocol.initiate()
            await self._read_data()

    async def _read_data(self) -> None:
        size = self._enforcer.settings.read_bytes
        with self._reading:
            while True:
                try:
                    data = await self.stream.receive_some(size)
                except (trio.ClosedResourceError, trio.BrokenResourceError):
                    break
                if self._lingering:
                    self._lingering_bytes -= len(data)
                    if not data or self._lingering_bytes < 0:
                        break
                    continue
                if data:
                    self._note_data()
                await self.protocol.handle(server_events.RawData(bytes(data)))
                if not data:
                    break
        await self.protocol.handle(server_events.Closed())

    def _may_linger(self) -> bool:
        protocol = self.protocol.protocol
        if self._lingering or not isinstance(protocol, http1.Http1):
            return False
        return protocol.connection.their_state in (h11.SEND_BODY, h11.ERROR)

    async def _linger(self) -> None:
        """Ends the response, and drops the rest of the request for a while.

        Closing a connection with unread data resets it, so that the caller
        could lose the response that says that its request has not run.
        """
        self._lingering = True
        self._reading.deadline = trio.current_time() + _LINGERING_S
        with contextlib.suppress(
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.BusyResourceError,
        ):
            await self.stream.send_eof()

    def _note_data(self) -> None:
        # Frames of HTTP/2 that begin no request don't make it busy.
        if not isinstance(self.protocol.protocol, http2.Http2):
            enforcer = self._enforcer
            now_ms = enforcer.clock.now_ms()
            enforcer.connections.note_data(self._entry, now_ms)

    def _note_update(self, idle: bool) -> None:
        connections = self._enforcer.connections
        if not idle:
            connections.note_busy(self._entry)
            return
        connections.note_idle(self._entry, self._enforcer.clock.now_ms())
        if self.context.terminated.is_set():
            self.end()


class _Protocol(protocols.ProtocolWrapper):
    """HTTP/1.1, switched to HTTP/2 by prior knowledge or upgrade."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.protocol: Any = http1.Http1(*args)

    async def announce_shutdown(self) -> None:
        if isinstance(self.protocol, http2.Http2):
            await self.protocol.announce_shutdown()

    async def handle(self, event: server_events.Event) -> None:
        try:
            await self.protocol.handle(event)
        except h11_protocol.H2ProtocolAssumedError as exc:
            self.protocol = self._make_http2()
            # It has no request until the first stream begins.
            await self.send(server_events.Updated(idle=True))
            await self.protocol.initiate()
            await self._handle_remaining_data(exc.data)
        except h11_protocol.H2CProtocolRequiredError as exc:
            self.protocol = self._make_http2()
            await self.protocol.initiate(exc.headers, exc.settings)
            await self._handle_remaining_data(exc.data)

    async def _handle_remaining_data(self, data: bytes) -> None:
        if data:
            await self.protocol.handle(server_events.RawData(data=data))

    def _make_http2(self) -> http2.Http2:
        return http2.Http2(
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
