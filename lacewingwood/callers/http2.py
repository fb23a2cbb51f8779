"""HTTP/2 of callers' connections, with bounded control frames.

Hypercorn raises an unexpected error on HTTP/2 data for a stream whose response
is complete, and never resets a stream that the application aborted. Floods of
resets, settings, pings and priorities, and header blocks without end, make it
work or hold memory without bound.
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
from hypercorn import typing as server_typing
from hypercorn.protocol import events as stream_events
from hypercorn.protocol import h2 as h2_protocol
from hypercorn.trio import worker_context

# Data that a caller may send on an HTTP/2 stream after the response ended.
_MAX_DISCARDED_BYTES = 64 << 20
# Frames that cost work and carry no request, in a window of this length. A load
# balancer that cancels 100 requests a second on one connection sends half.
_MAX_CONTROL_FRAMES = 2_000
_CONTROL_WINDOW_S = 10.0
_CONTROL_EVENTS = (
    h2_events.StreamReset,
    h2_events.RemoteSettingsChanged,
    h2_events.PingReceived,
    h2_events.PriorityUpdated,
)


class Http2(h2_protocol.H2Protocol):
    """HTTP/2 that tolerates aborted streams and data after the response.

    A connection counts as idle only once all data was sent. Its `context` is a
    separate one that is never terminated: with the server's, hypercorn would
    close the connection when the last stream ends, before the end of that
    stream is sent.

    Attributes:
        server_context: The server's context, terminated at shutdown.
    """

    server_context: server_typing.WorkerContext

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.server_context = self.context
        self.context = worker_context.WorkerContext(None)
        self._draining = False
        self._goaway_sent = False
        self._control_frames = 0
        self._window_start_s = 0.0
        self._discarded_bytes: collections.Counter[int] = collections.Counter()

    async def announce_shutdown(self) -> None:
        """Sends GOAWAY as soon as the connection has no open stream.

        HTTP/2 allows GOAWAY while streams are open, but clients that use the
        h2 library treat it as the end of the connection and lose the streams.
        The connection stays open, so that a client that sends a request at the
        same time reads the GOAWAY and retries on another connection.
        """
        self._draining = True
        await self._update_idle_state()

    async def handle(self, event: server_events.Event) -> None:
        """Handles an event of the connection; ignores data after GOAWAY."""
        if not isinstance(event, server_events.RawData):
            await super().handle(event)
            return
        if self._goaway_sent:
            return
        await super().handle(event)
        if not self.closed and self._is_flooding():
            self._goaway_sent = True
            self.connection.close_connection(
                h2_errors.ErrorCodes.ENHANCE_YOUR_CALM
            )
            await self._flush()
            await self.send(server_events.Closed())

    def _is_flooding(self) -> bool:
        """Returns whether the caller sends more than a sound one would."""
        # The library keeps up to 64 frames of an incomplete block.
        block = self.connection.incoming_buffer._headers_buffer
        if len(block) > 1:
            size = sum(len(frame.data) for frame in block)
            if size > self.config.h2_max_header_list_size:
                return True
        return self._control_frames > _MAX_CONTROL_FRAMES

    def _count_control_frame(self) -> None:
        now_s = trio.current_time()
        if now_s - self._window_start_s > _CONTROL_WINDOW_S:
            self._window_start_s, self._control_frames = now_s, 0
        self._control_frames += 1

    async def stream_send(self, event: stream_events.Event) -> None:
        """Sends an event of a stream; resets streams that were aborted."""
        if not isinstance(event, stream_events.StreamClosed):
            await super().stream_send(event)
            return
        await self._close_stream(event.stream_id)
        buffer = self.stream_buffers.get(event.stream_id)
        if buffer is not None and not buffer._complete:
            # The application aborted the response.
            self._reset_stream(
                event.stream_id, h2_errors.ErrorCodes.INTERNAL_ERROR
            )
            await self._flush()
            await self._drop_unsent_data(event.stream_id)
        await self._update_idle_state()

    async def _send_data(self, stream_id: int) -> None:
        await super()._send_data(stream_id)
        if stream_id not in self.stream_buffers:
            await self._update_idle_state()

    async def _update_idle_state(self) -> None:
        if self.closed or self.streams or self.stream_buffers:
            return
        if self._draining and not self._goaway_sent:
            self._goaway_sent = True
            self.connection.close_connection()
            await self._flush()
        await self.send(server_events.Updated(idle=True))

    async def _handle_events(self, events: list[h2_events.Event]) -> None:
        for event in events:
            if isinstance(event, _CONTROL_EVENTS):
                self._count_control_frame()
            if not self._should_handle(event):
                continue
            await super()._handle_events([event])
            if isinstance(event, h2_events.StreamReset):
                await self._drop_unsent_data(event.stream_id)
        await self._flush()

    async def _create_stream(self, request: h2_events.RequestReceived) -> None:
        await super()._create_stream(request)
        # Hypercorn closes the connection while its streams are open when this
        # counter exceeds the limit.
        self.keep_alive_requests = 0

    def _should_handle(self, event: h2_events.Event) -> bool:
        match event:
            case h2_events.RequestReceived():
                return self._should_handle_request(event)
            case h2_events.DataReceived():
                return self._should_handle_data(event)
            case _:
                return True

    def _should_handle_request(self, event: h2_events.RequestReceived) -> bool:
        if self.server_context.terminated.is_set():
            self._reset_stream(
                event.stream_id, h2_errors.ErrorCodes.REFUSED_STREAM
            )
            return False
        headers = dict(event.headers)
        path = headers.get(b":path", b"")
        if headers[b":method"] == b"CONNECT" or not path.isascii():
            self._reset_stream(
                event.stream_id, h2_errors.ErrorCodes.PROTOCOL_ERROR
            )
            return False
        return True

    def _should_handle_data(self, event: h2_events.DataReceived) -> bool:
        """Discards data for a stream that was closed after its response.

        Some clients read the response only after they have sent their whole
        body, and would lose it if the stream were reset earlier.
        """
        stream_id = event.stream_id
        if stream_id in self.streams:
            return True
        length = event.flow_controlled_length
        self.connection.acknowledge_received_data(length, stream_id)
        self._discarded_bytes[stream_id] += length
        if self._discarded_bytes[stream_id] > _MAX_DISCARDED_BYTES:
            del self._discarded_bytes[stream_id]
            self._reset_stream(stream_id, h2_errors.ErrorCodes.NO_ERROR)
        elif event.stream_ended is not None:
            del self._discarded_bytes[stream_id]
        return False

    async def _drop_unsent_data(self, stream_id: int) -> None:
        """Drops a closed stream's unsent data and wakes the sending task."""
        buffer = self.stream_buffers.get(stream_id)
        if buffer is None:
            return
        await buffer.close()
        with contextlib.suppress(priority.MissingStreamError):
            self.priority.unblock(stream_id)
        await self.has_data.set()

    def _reset_stream(self, stream_id: int, code: h2_errors.ErrorCodes) -> None:
        # The stream may be closed already.
        with contextlib.suppress(h2_exceptions.ProtocolError):
            self.connection.reset_stream(stream_id, code)
