"""Client side of the transport: calls and messages to one peer."""

import itertools
import random

import trio

from lacewingwood import clock as clock_lib
from lacewingwood import errors as base_errors
from lacewingwood import metrics as metrics_lib
from lacewingwood.peers import connection
from lacewingwood.peers import errors
from lacewingwood.peers import messages
from lacewingwood.peers import wire

_CONNECT_TIMEOUT_MS = 1_000
_MIN_BACKOFF_MS = 50.0
_MAX_BACKOFF_MS = 2_000.0
# A link with no connection and nothing to send is removed after this time.
_UNUSED_TIMEOUT_MS = 30_000
# Largest number of frames queued until a connection is established.
_MAX_UNSENT_FRAMES = 1024

_NOT_RUN = base_errors.Ran.NOT_RUN
_MAY_HAVE_RUN = base_errors.Ran.MAY_HAVE_RUN


class _Call:
    """A call that waits for its answer.

    Attributes:
        answer: The answer, None before it arrives and if the connection broke.
        ended: Set once the answer arrived or the connection broke.
        ran: Whether the peer may have run the call.
    """

    __slots__ = ("answer", "ended", "ran")

    def __init__(self) -> None:
        self.answer: messages.Message | None = None
        self.ended = trio.Event()
        self.ran = _NOT_RUN


class Link:
    """Sends calls and messages to one address; connects on demand."""

    def __init__(
        self,
        address: str,
        node_id: str,
        metrics: metrics_lib.Registry,
        clock: clock_lib.Clock,
    ) -> None:
        self._address = address
        self._node_id = node_id
        self._metrics = metrics
        self._clock = clock
        self._calls: dict[int, _Call] = {}
        self._ids = itertools.count(1)
        self._unsent: list[tuple[wire.Kind, bytearray]] = []
        self._has_unsent = trio.Event()
        self._conn: connection.Connection | None = None
        self._failures = 0
        self._retry_at_ms = clock.now_ms()

    @property
    def busy(self) -> bool:
        """True while a call has no answer or frames wait to be written."""
        waiting = self._conn is not None and not self._conn.drained
        return bool(self._calls or self._unsent or waiting)

    def send(self, message: messages.Message) -> None:
        """Queues a message; drops and counts it if the peer is unreachable."""
        if self._is_backing_off() or not self._enqueue(
            wire.Kind.SEND, 0, message
        ):
            self._metrics.add("peer_messages_dropped")

    async def call(
        self, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Sends a request and waits for its answer."""
        if self._is_backing_off():
            raise self._unreachable(_NOT_RUN)
        call_id = next(self._ids)
        call = self._calls[call_id] = _Call()
        try:
            if not self._enqueue(wire.Kind.CALL, call_id, message):
                raise self._unreachable(_NOT_RUN)
            with trio.move_on_after(timeout_ms / 1000):
                await call.ended.wait()
        finally:
            del self._calls[call_id]
            if not call.ended.is_set():
                self._enqueue(wire.Kind.CANCEL, call_id, None)
        return self._result(call, timeout_ms)

    async def run(self) -> None:
        """Connects whenever frames are queued; returns once long unused."""
        while await self._wait_for_unsent():
            await self._connect()
            self._drop_unsent()
            self._fail_calls()

    def finish(self) -> None:
        """Ends the connection once all queued frames have been written."""
        if self._conn is not None:
            self._conn.finish()

    def _is_backing_off(self) -> bool:
        """Returns whether the link waits before it connects again."""
        return self._conn is None and self._clock.now_ms() < self._retry_at_ms

    def _unreachable(self, ran: base_errors.Ran) -> errors.UnreachableError:
        return errors.UnreachableError(f"no connection to {self._address}", ran)

    def _result(self, call: _Call, timeout_ms: float) -> messages.Message:
        if not call.ended.is_set():
            text = f"no answer from {self._address} within {timeout_ms:g} ms"
            raise errors.TimeoutError(text, call.ran)
        match call.answer:
            case None:
                raise self._unreachable(call.ran)
            case messages.Refused(code, message):
                raise errors.RefusedError(code, message)
            case answer:
                return answer

    def _enqueue(
        self, kind: wire.Kind, call_id: int, body: messages.Message | None
    ) -> bool:
        """Queues a frame; returns False if it was dropped."""
        frame = wire.encode(kind, call_id, body)
        if self._conn is not None:
            posted = self._conn.post(frame)
            if posted and kind is wire.Kind.CALL:
                self._calls[call_id].ran = _MAY_HAVE_RUN
            return posted
        if len(self._unsent) >= _MAX_UNSENT_FRAMES:
            return False
        self._unsent.append((kind, frame))
        self._has_unsent.set()
        return True

    async def _wait_for_unsent(self) -> bool:
        """Waits for a queued frame; returns False if none came in time."""
        if not self._unsent:
            self._has_unsent = trio.Event()
            with trio.move_on_after(_UNUSED_TIMEOUT_MS / 1000):
                await self._has_unsent.wait()
        return bool(self._unsent)

    async def _connect(self) -> None:
        host, _, port = self._address.rpartition(":")
        try:
            with trio.fail_after(_CONNECT_TIMEOUT_MS / 1000):
                stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, ValueError, trio.TooSlowError):
            self._back_off()
            return
        async with stream:
            await self._run_connection(stream)

    async def _run_connection(self, stream: trio.SocketStream) -> None:
        conn = connection.Connection(
            stream,
            self._receive,
            lambda: bool(self._calls),
            self._metrics,
            server_address=self._address,
            node_id=self._node_id,
        )
        self._conn = conn
        for call in self._calls.values():
            call.ran = _MAY_HAVE_RUN
        unsent, self._unsent = self._unsent, []
        for _, frame in unsent:
            conn.post(frame)
        try:
            await conn.run()
        finally:
            self._conn = None
        if conn.ready.is_set():
            self._failures = 0
        if not conn.ended_cleanly:
            self._back_off()

    def _receive(self, payload: bytes) -> None:
        envelope = wire.decode(payload)
        if envelope.kind is not wire.Kind.ANSWER:
            raise errors.MalformedError(
                "the server sent a frame that is not an answer"
            )
        call = self._calls.get(envelope.call_id)
        if call is None:
            self._metrics.add("peer_answers_late")
            return
        if isinstance(envelope, wire.UnknownEnvelope):
            self._metrics.add("peer_messages_unknown")
            text = "the answer has an unknown message type"
            call.answer = messages.Refused("unknown_answer", text)
        else:
            call.answer = envelope.body
        call.ended.set()

    def _back_off(self) -> None:
        delay_ms = min(_MIN_BACKOFF_MS * 2.0**self._failures, _MAX_BACKOFF_MS)
        self._failures = min(self._failures + 1, 16)
        self._retry_at_ms = self._clock.now_ms() + delay_ms * random.uniform(
            0.5, 1
        )

    def _drop_unsent(self) -> None:
        for kind, _ in self._unsent:
            if kind is wire.Kind.SEND:
                self._metrics.add("peer_messages_dropped")
        self._unsent.clear()

    def _fail_calls(self) -> None:
        for call in self._calls.values():
            call.ended.set()
