"""Server side of the transport: runs handlers for a connected peer."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import structlog
import trio

from lacewingwood import errors as base_errors
from lacewingwood import metrics as metrics_lib
from lacewingwood.peers import connection
from lacewingwood.peers import errors
from lacewingwood.peers import messages
from lacewingwood.peers import wire

Handler = Callable[[Any], Awaitable[messages.Message | None]]

# Bounds the memory that the handlers of one peer's messages can use.
_MAX_RUNNING = 1024

_log = structlog.get_logger()


class IncomingConnection:
    """Serves the calls and one-way messages of one connected peer.

    A handler is cancelled if its caller disconnects or stops waiting.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        handlers: Mapping[type, Handler],
        metrics: metrics_lib.Registry,
    ) -> None:
        self._handlers = handlers
        self._metrics = metrics
        self._conn = connection.Connection(
            stream, self._receive, lambda: self._running > 0, metrics
        )
        self._nursery: trio.Nursery | None = None
        self._scopes: dict[int, trio.CancelScope] = {}
        self._running = 0
        self._closing = False

    @property
    def busy(self) -> bool:
        """True while handlers run or answers wait to be written."""
        return self._running > 0 or not self._conn.drained

    async def run(self) -> None:
        """Serves until the connection ends."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self._conn.run()
            nursery.cancel_scope.cancel()

    def refuse_new(self) -> None:
        """Refuses new calls and messages; running handlers continue."""
        self._closing = True

    def finish(self) -> None:
        """Ends the connection once all queued frames have been written."""
        self._conn.finish()

    def _receive(self, payload: bytes) -> None:
        envelope = wire.decode(payload)
        match envelope.kind:
            case wire.Kind.CANCEL:
                if scope := self._scopes.get(envelope.call_id):
                    scope.cancel()
            case wire.Kind.ANSWER:
                raise errors.MalformedError("a client sent an answer")
            case wire.Kind.SEND | wire.Kind.CALL:
                self._start_handler(envelope)

    def _start_handler(
        self, envelope: wire.Envelope | wire.UnknownEnvelope
    ) -> None:
        refusal = self._refusal(envelope)
        if refusal is not None:
            self._metrics.add("peer_calls_refused", reason=refusal.code)
            self._answer(envelope, refusal)
            return
        assert self._nursery is not None
        handler = self._handlers[type(envelope.body)]
        self._running += 1
        self._nursery.start_soon(self._run_handler, handler, envelope)

    def _refusal(
        self, envelope: wire.Envelope | wire.UnknownEnvelope
    ) -> messages.Refused | None:
        """Returns why a message must not be handled, None if it may be."""
        if self._closing:
            return messages.Refused("closing", "the process is shutting down")
        if type(envelope.body) not in self._handlers:
            return messages.Refused(
                "unknown_message", "there is no handler for this message type"
            )
        if self._running >= _MAX_RUNNING:
            return messages.Refused(
                "overloaded", "too many calls of this peer are running"
            )
        return None

    async def _run_handler(
        self,
        handler: Handler,
        envelope: wire.Envelope | wire.UnknownEnvelope,
    ) -> None:
        answer: messages.Message | None = None
        with trio.CancelScope() as scope:
            if envelope.kind is wire.Kind.CALL:
                self._scopes[envelope.call_id] = scope
            try:
                answer = await handler(envelope.body)
            except base_errors.Error as exc:
                answer = messages.Refused(exc.code, exc.message)
            except Exception:
                kind = type(envelope.body).__name__
                self._metrics.add("peer_handlers_failed", message=kind)
                _log.exception("peer handler failed", message=kind)
                answer = messages.Refused("internal", "the handler failed")
            finally:
                self._running -= 1
                self._scopes.pop(envelope.call_id, None)
        if not scope.cancelled_caught:
            self._answer(envelope, answer or messages.Ack())

    def _answer(
        self,
        envelope: wire.Envelope | wire.UnknownEnvelope,
        answer: messages.Message,
    ) -> None:
        if envelope.kind is not wire.Kind.CALL:
            return
        frame = wire.encode(wire.Kind.ANSWER, envelope.call_id, answer)
        if not self._conn.post(frame):
            self._metrics.add("peer_messages_dropped")
