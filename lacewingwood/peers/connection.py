"""HTTP/2 connection that carries one bidirectional gRPC stream."""

import math
import os
from collections.abc import Awaitable
from collections.abc import Callable

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
import trio

from lacewingwood import metrics as metrics_lib
from lacewingwood.peers import errors
from lacewingwood.peers import liveness
from lacewingwood.peers import wire

CONTENT_TYPE = "application/grpc+msgpack"
PATH = "/lacewingwood.Peers/Exchange"

_WINDOW_BYTES = 1024 * 1024
_READ_BYTES = 64 * 1024
# Holds one message of the largest size besides small ones.
_MAX_OUTBOX_BYTES = 2 * wire.MAX_PAYLOAD_BYTES
_TICK_MS = 1_000
_CLIENT_IDLE_TICKS = 30
# Longer than the client's limit, so that the client closes first.
_SERVER_IDLE_TICKS = 90
# Time for the peer to read what was sent before the socket is closed. Closing a
# socket with unread input resets the connection, and the peer loses data that
# it has not read.
_LINGER_MS = 1_000

_CONNECTION_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h2.exceptions.ProtocolError,
    errors.MalformedError,
)


class Connection:
    """Sends and receives frames over one connection.

    Attributes:
        ready: Set once the server has accepted the stream.
        ended_cleanly: True if either side ended the stream before the
            connection closed, and nothing broke.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        on_payload: Callable[[bytes], None],
        in_use: Callable[[], bool],
        metrics: metrics_lib.Registry,
        *,
        server_address: str | None = None,
        node_id: str = "",
    ) -> None:
        """Creates a connection; `run` does the work.

        Args:
            stream: The connected socket.
            on_payload: Called with each payload received.
            in_use: Returns whether a call is running; the connection then
                stays open, and the peer is pinged while no data arrives.
            metrics: Counts broken connections and bytes sent.
            server_address: Address connected to; None on the server side.
            node_id: Id of this process, sent to the server by the client.
        """
        self.ready = trio.Event()
        self.ended_cleanly = False
        self._stream = stream
        self._on_payload = on_payload
        self._in_use = in_use
        self._metrics = metrics
        self._server_address = server_address
        self._node_id = node_id
        self._h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(
                client_side=server_address is not None, header_encoding=None
            )
        )
        self._deframer = wire.Deframer()
        self._stream_id: int | None = None
        self._outbox = bytearray()
        # Bytes that the socket did not take at once.
        self._unsent = b""
        # True while the writer waits for `_wake`.
        self._writer_idle = False
        self._wake = trio.Event()
        self._end_requested = False
        self._ended = False
        self._liveness = liveness.Liveness(
            _SERVER_IDLE_TICKS if server_address is None else _CLIENT_IDLE_TICKS
        )

    @property
    def drained(self) -> bool:
        """True if no frame waits to be written."""
        return not self._outbox

    def post(self, frame: bytes | bytearray) -> bool:
        """Queues a frame; returns False if the queue is full or closed."""
        full = len(self._outbox) + len(frame) > _MAX_OUTBOX_BYTES
        if full or self._end_requested:
            return False
        self._outbox += frame
        self._liveness.note_message()
        self._flush()
        return True

    def finish(self) -> None:
        """Ends the stream once all queued frames have been written."""
        self._end_requested = True
        self._wake.set()

    async def run(self) -> None:
        """Runs until either side ends the stream or the connection breaks."""
        self._start_http2()
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(self._run_loop, self._write, scope)
            nursery.start_soon(self._run_loop, self._check_liveness, scope)
            await self._run_loop(self._read, scope)

    async def _run_loop(
        self, loop: Callable[[], Awaitable[None]], scope: trio.CancelScope
    ) -> None:
        """Runs a loop, counts its failure, and cancels the other loops."""
        try:
            await loop()
        except _CONNECTION_ERRORS as exc:
            self._metrics.add("peer_connections_broken", cause=_cause(exc))
        scope.cancel()

    async def _read(self) -> None:
        while data := await self._receive():
            if self._ended:
                continue
            self._liveness.note_received()
            for event in self._h2.receive_data(data):
                self._handle_event(event)
            self._flush()

    async def _receive(self) -> bytes:
        """Returns received bytes, empty at the end of the connection.

        trio's own receive first tries a read, which mostly fails.
        """
        fd = self._stream.socket.fileno()
        await trio.lowlevel.wait_readable(fd)
        try:
            return os.read(fd, _READ_BYTES)
        except BlockingIOError:
            return bytes(await self._stream.receive_some(_READ_BYTES))
        except OSError as exc:
            raise trio.BrokenResourceError from exc

    def _handle_event(self, event: h2.events.Event) -> None:
        match event:
            case h2.events.DataReceived():
                if event.stream_id == self._stream_id:
                    self._liveness.note_message()
                    for payload in self._deframer.feed(event.data or b""):
                        self._on_payload(payload)
                self._h2.acknowledge_received_data(
                    event.flow_controlled_length or 0, event.stream_id
                )
            case h2.events.RequestReceived():
                self._accept_stream(event)
            case h2.events.ResponseReceived():
                self._check_response(event)
            case h2.events.StreamEnded() | h2.events.StreamReset():
                if event.stream_id == self._stream_id:
                    self.finish()
            case h2.events.ConnectionTerminated():
                self._ended = True
                self._wake.set()

    def _accept_stream(self, event: h2.events.RequestReceived) -> None:
        headers = dict(event.headers or [])
        valid = headers.get(b":path") == PATH.encode()
        valid = valid and headers.get(b"content-type") == CONTENT_TYPE.encode()
        if not valid or self._stream_id is not None:
            self._metrics.add("peer_streams_rejected")
            self._h2.reset_stream(
                event.stream_id, h2.errors.ErrorCodes.REFUSED_STREAM
            )
            return
        self._stream_id = event.stream_id
        self._h2.send_headers(
            event.stream_id,
            [(":status", "200"), ("content-type", CONTENT_TYPE)],
        )
        self.ready.set()

    def _check_response(self, event: h2.events.ResponseReceived) -> None:
        headers = dict(event.headers or [])
        if headers.get(b"content-type") != CONTENT_TYPE.encode():
            raise errors.MalformedError(
                "unexpected content type in the response to a stream"
            )
        self.ready.set()

    async def _write(self) -> None:
        while True:
            self._wake = trio.Event()
            while data := self._take_unsent():
                self._metrics.add("peer_bytes_sent", len(data))
                await self._stream.send_all(data)
            if self._ended:
                break
            self._writer_idle = True
            await self._wake.wait()
            self._writer_idle = False
        self.ended_cleanly = self._end_requested
        await self._stream.send_eof()
        await trio.sleep(_LINGER_MS / 1000)

    def _flush(self) -> None:
        """Writes what the socket takes at once; the writer sends the rest.

        Most messages are small and fit. The writer's turn costs more than the
        write.
        """
        if not self._writer_idle:
            self._wake.set()
            return
        try:
            data = self._take_unsent()
        except h2.exceptions.ProtocolError:
            # The same error ends the writer, and so the connection.
            self._wake.set()
            return
        if data:
            try:
                written = os.write(self._stream.socket.fileno(), data)
            except OSError:
                # The writer's attempt reports the error.
                written = 0
            self._metrics.add("peer_bytes_sent", written)
            self._unsent = data[written:]
        if self._unsent or self._ended:
            self._wake.set()

    def _take_unsent(self) -> bytes:
        """Returns the bytes to write next."""
        self._send_queued()
        data = self._unsent + self._h2.data_to_send()
        self._unsent = b""
        return data

    def _start_http2(self) -> None:
        self._h2.initiate_connection()
        self._h2.update_settings(
            {
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: _WINDOW_BYTES,
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: 1,
            }
        )
        self._h2.increment_flow_control_window(_WINDOW_BYTES)
        if self._server_address is None:
            return
        self._stream_id = self._h2.get_next_available_stream_id()
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", PATH),
            (":authority", self._server_address),
            ("content-type", CONTENT_TYPE),
            ("te", "trailers"),
            ("lacewingwood-node", self._node_id),
        ]
        self._h2.send_headers(self._stream_id, headers)

    def _send_queued(self) -> None:
        """Moves queued bytes into DATA frames as far as flow control allows.

        Ends the stream if that was requested and the queue is empty.
        """
        if self._stream_id is None:
            self._ended = self._end_requested
            return
        sent = 0
        while sent < len(self._outbox):
            size = min(
                self._h2.local_flow_control_window(self._stream_id),
                self._h2.max_outbound_frame_size,
                len(self._outbox) - sent,
            )
            if size <= 0:
                break
            data = bytes(self._outbox[sent : sent + size])
            self._h2.send_data(self._stream_id, data)
            sent += size
            self._liveness.expect_response()
        del self._outbox[:sent]
        if self._end_requested and not self._outbox and not self._ended:
            self._end_stream(self._stream_id)

    def _end_stream(self, stream_id: int) -> None:
        self._ended = True
        if self._server_address is None:
            trailers = [("grpc-status", "0")]
            self._h2.send_headers(stream_id, trailers, end_stream=True)
        else:
            self._h2.end_stream(stream_id)
        self._h2.close_connection()

    async def _check_liveness(self) -> None:
        """Checks liveness at each tick.

        Pings a peer that does not respond, drops the connection if the peer
        stays silent, and ends an idle connection.
        """
        while True:
            # All connections have their ticks at the same times, so that they
            # do not wake the process one after another.
            tick_s = _TICK_MS / 1000
            ticks = math.floor(trio.current_time() / tick_s)
            await trio.sleep_until((ticks + 1) * tick_s)
            if self._in_use():
                self._liveness.expect_response()
            match self._liveness.tick():
                case liveness.Verdict.SILENT:
                    self._metrics.add("peer_connections_silent")
                    return
                case liveness.Verdict.PING:
                    self._metrics.add("peer_pings")
                    self._h2.ping(b"silence?")
                    self._flush()
                case liveness.Verdict.IDLE:
                    self.finish()


def _cause(exc: BaseException) -> str:
    """Returns the metric label for the cause of a broken connection."""
    match exc:
        case h2.exceptions.ProtocolError():
            return "http2"
        case errors.MalformedError():
            return "frame"
        case _:
            return "socket"
