"""One HTTP/2 connection that carries one bidirectional gRPC stream."""

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
# Room for one largest message besides the small ones.
_OUTBOX_BYTES = 2 * wire.MAX_PAYLOAD_BYTES
_TICK_MS = 1_000
_CLIENT_IDLE_TICKS = 30
# Longer than the client's, so that the client closes first.
_SERVER_IDLE_TICKS = 90
# Time for the peer to read what was sent before the socket is closed; closing
# with unread input would reset the connection and discard it.
_LINGER_MS = 1_000

_BROKEN = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h2.exceptions.ProtocolError,
    errors.MalformedError,
)


class Connection:
    """Frames in and out over one connection.

    Attributes:
        ready: Set once the peer has accepted the stream.
        ended_cleanly: True if both sides ended it and nothing broke.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        on_payload: Callable[[bytes], None],
        in_use: Callable[[], bool],
        metrics: metrics_lib.Registry,
        *,
        client_of: str | None = None,
        node_id: str = "",
    ) -> None:
        """Makes a connection that `run` drives.

        Args:
            stream: The connected socket.
            on_payload: Takes each payload received.
            in_use: Tells whether a call is running; the connection then stays
                open and the peer is pinged while it is quiet.
            metrics: Where broken connections are counted.
            client_of: The peer's address; None on the accepting side.
            node_id: This process, named to the peer by the connecting side.
        """
        self.ready = trio.Event()
        self.ended_cleanly = False
        self._stream = stream
        self._on_payload = on_payload
        self._in_use = in_use
        self._metrics = metrics
        self._client_of = client_of
        self._node_id = node_id
        self._h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(
                client_side=client_of is not None, header_encoding=None
            )
        )
        self._deframer = wire.Deframer()
        self._stream_id: int | None = None
        self._outbox = bytearray()
        # Frames of the protocol itself that wait to be written.
        self._replies = b""
        self._wake = trio.Event()
        self._finishing = False
        self._finished = False
        self._liveness = liveness.Liveness(
            _SERVER_IDLE_TICKS if client_of is None else _CLIENT_IDLE_TICKS
        )

    @property
    def drained(self) -> bool:
        """True if nothing waits to be written."""
        return not self._outbox

    def post(self, frame: bytes | bytearray) -> bool:
        """Queues a frame; returns False if the queue is full or closed."""
        full = len(self._outbox) + len(frame) > _OUTBOX_BYTES
        if full or self._finishing:
            return False
        self._outbox += frame
        self._liveness.message_passed()
        self._wake.set()
        return True

    def finish(self) -> None:
        """Ends the stream after what is queued has been written."""
        self._finishing = True
        self._wake.set()

    async def run(self) -> None:
        """Carries frames until either side ends or the connection breaks."""
        self._open()
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(self._guard, self._write, scope)
            nursery.start_soon(self._guard, self._watch, scope)
            await self._guard(self._read, scope)

    async def _guard(
        self, loop: Callable[[], Awaitable[None]], scope: trio.CancelScope
    ) -> None:
        try:
            await loop()
        except _BROKEN as exc:
            self._metrics.add("peer_connections_broken", cause=_cause(exc))
        scope.cancel()

    async def _read(self) -> None:
        while data := await self._stream.receive_some(_READ_BYTES):
            if self._finished:
                continue
            self._liveness.received()
            for event in self._h2.receive_data(data):
                self._take(event)
            self._replies += self._h2.data_to_send()
            if self._replies or self._outbox:
                self._wake.set()

    def _take(self, event: h2.events.Event) -> None:
        match event:
            case h2.events.DataReceived():
                if event.stream_id == self._stream_id:
                    self._liveness.message_passed()
                    for payload in self._deframer.feed(event.data or b""):
                        self._on_payload(payload)
                self._h2.acknowledge_received_data(
                    event.flow_controlled_length or 0, event.stream_id
                )
            case h2.events.RequestReceived():
                self._accept(event)
            case h2.events.ResponseReceived():
                self._check_response(event)
            case h2.events.StreamEnded() | h2.events.StreamReset():
                if event.stream_id == self._stream_id:
                    self.finish()
            case h2.events.ConnectionTerminated():
                self._finished = True
                self._wake.set()

    def _accept(self, event: h2.events.RequestReceived) -> None:
        headers = dict(event.headers or [])
        right = headers.get(b":path") == PATH.encode()
        right = right and headers.get(b"content-type") == CONTENT_TYPE.encode()
        if not right or self._stream_id is not None:
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
            raise errors.MalformedError("the peer does not speak this protocol")
        self.ready.set()

    async def _write(self) -> None:
        while not self._finished:
            self._wake = trio.Event()
            self._fill()
            data = self._replies + self._h2.data_to_send()
            self._replies = b""
            if data:
                self._metrics.add("peer_bytes_sent", len(data))
                await self._stream.send_all(data)
            if not self._finished:
                await self._wake.wait()
        self.ended_cleanly = self._finishing
        await self._stream.send_eof()
        await trio.sleep(_LINGER_MS / 1000)

    def _open(self) -> None:
        self._h2.initiate_connection()
        self._h2.update_settings(
            {
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: _WINDOW_BYTES,
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: 1,
            }
        )
        self._h2.increment_flow_control_window(_WINDOW_BYTES)
        if self._client_of is None:
            return
        self._stream_id = self._h2.get_next_available_stream_id()
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", PATH),
            (":authority", self._client_of),
            ("content-type", CONTENT_TYPE),
            ("te", "trailers"),
            ("lacewingwood-node", self._node_id),
        ]
        self._h2.send_headers(self._stream_id, headers)

    def _fill(self) -> None:
        """Moves as much of the queue into DATA frames as the windows allow."""
        if self._stream_id is None:
            self._finished = self._finishing
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
            self._liveness.sent()
        del self._outbox[:sent]
        if self._finishing and not self._outbox and not self._finished:
            self._end_stream(self._stream_id)

    def _end_stream(self, stream_id: int) -> None:
        self._finished = True
        if self._client_of is None:
            trailers = [("grpc-status", "0")]
            self._h2.send_headers(stream_id, trailers, end_stream=True)
        else:
            self._h2.end_stream(stream_id)
        self._h2.close_connection()

    async def _watch(self) -> None:
        """Pings a silent peer, then gives it up; ends an idle connection."""
        while True:
            await trio.sleep(_TICK_MS / 1000)
            if self._in_use():
                self._liveness.sent()
            match self._liveness.tick():
                case liveness.Verdict.SILENT:
                    self._metrics.add("peer_connections_silent")
                    return
                case liveness.Verdict.PING:
                    self._metrics.add("peer_pings")
                    self._h2.ping(b"silence?")
                    self._wake.set()
                case liveness.Verdict.IDLE:
                    self.finish()


def _cause(exc: BaseException) -> str:
    match exc:
        case h2.exceptions.ProtocolError():
            return "http2"
        case errors.MalformedError():
            return "frame"
        case _:
            return "socket"
