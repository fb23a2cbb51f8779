"""HTTP/1.1 of callers' connections, with bounded heads and chunks.

Handles what h11 and hypercorn leave open: a head that is too long but arrives
at once, heads of very many fields, and bodies whose framing is much larger than
their content.
"""

import dataclasses

import h11
import trio
from hypercorn import events as server_events
from hypercorn.protocol import events as stream_events
from hypercorn.protocol import h11 as http1

# Chunks of a body that are decoded at once, in about a millisecond.
_MAX_CHUNKS_AT_ONCE = 64
# Bytes of framing for each byte of a chunked body. A chunk of one byte takes
# six bytes, or more with an extension.
_MAX_FRAMING = 8
# Framing up to this size is accepted for any body.
_FREE_FRAMING_BYTES = 64 << 10

_FIELDS_TOO_LARGE = 431
_BAD_REQUEST = 400


class Http1(http1.H11Protocol):
    """HTTP/1.1 of one connection.

    Attributes:
        max_fields: Most fields of a request's head.
        turn: Taken by bodies of very many chunks, one connection at a time.
            Otherwise each of them would take as much time as an ordinary
            request: chunks of one byte from 300 connections held up others for
            ten seconds.
    """

    max_fields = 1_000
    turn: trio.Lock
    _chunks = 0
    # Bytes of the current request's body, as sent and as decoded.
    _raw_bytes = 0
    _body_bytes = 0

    async def handle(self, event: server_events.Event) -> None:
        """Handles an event of the connection."""
        if isinstance(event, server_events.RawData):
            self._raw_bytes += len(event.data)
        await super().handle(event)

    async def stream_send(self, event: stream_events.Event) -> None:
        """Sends an event of the response; closes the connection if asked to.

        The application asks for it by the entry `close` of the state in the
        request's scope, if it does not read the request to its end.
        """
        if isinstance(event, stream_events.Response) and self._must_close():
            event = dataclasses.replace(
                event, headers=[*event.headers, (b"connection", b"close")]
            )
        await super().stream_send(event)

    async def _handle_events(self) -> None:
        body = bytearray()
        while True:
            await self._send_continue()
            try:
                event = self.connection.next_event()
            except h11.RemoteProtocolError as exc:
                await self._refuse(exc.error_status_hint)
                return
            if isinstance(event, h11.Data):
                # Chunks that arrived together are handed over together.
                body += event.data
                await self._note_chunk()
                continue
            if body:
                self._body_bytes += len(body)
                await self._handle_body(bytes(body))
                body.clear()
            match event:
                case h11.Request():
                    if not self._is_acceptable(event):
                        await self._refuse(_FIELDS_TOO_LARGE)
                        return
                    self._raw_bytes = len(self.connection.trailing_data[0])
                    self._body_bytes = 0
                    await self.send(server_events.Updated(idle=False))
                    await self._check_protocol(event)
                    await self._create_stream(event)
                case h11.PAUSED:
                    await self.can_read.clear()
                    await self.can_read.wait()
                case h11.NEED_DATA:
                    if self._is_mostly_framing():
                        await self._refuse(_BAD_REQUEST)
                    return
                case h11.EndOfMessage() if self.stream is not None:
                    await self.stream.handle(
                        stream_events.EndBody(stream_id=http1.STREAM_ID)
                    )
                case stream_events.Data() if self.stream is not None:
                    # Data of a web socket.
                    await self.stream.handle(event)
                case _:
                    return

    async def _note_chunk(self) -> None:
        self._chunks += 1
        if self._chunks % _MAX_CHUNKS_AT_ONCE == 0:
            async with self.turn:
                await trio.lowlevel.checkpoint()

    async def _send_continue(self) -> None:
        if self.connection.they_are_waiting_for_100_continue:
            headers = self.config.response_headers("h11")
            await self._send_h11_event(
                h11.InformationalResponse(status_code=100, headers=headers)
            )

    async def _handle_body(self, data: bytes) -> None:
        if self.stream is not None:
            await self.stream.handle(
                stream_events.Body(stream_id=http1.STREAM_ID, data=data)
            )

    async def _refuse(self, status: int) -> None:
        if self.connection.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            await self._send_error_response(status)
        await self.send(server_events.Closed())

    def _is_acceptable(self, request: h11.Request) -> bool:
        size = len(request.method) + len(request.target)
        size += sum(len(n) + len(v) + 4 for n, v in request.headers)
        return (
            size <= self.config.h11_max_incomplete_size
            and len(request.headers) <= self.max_fields
        )

    def _is_mostly_framing(self) -> bool:
        most = _FREE_FRAMING_BYTES + _MAX_FRAMING * self._body_bytes
        return self.stream is not None and self._raw_bytes > most

    def _must_close(self) -> bool:
        scope = getattr(self.stream, "scope", None)
        return scope is not None and bool(scope["state"].get("close"))
