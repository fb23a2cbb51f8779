"""Client of model engines."""

import contextlib
from collections.abc import AsyncIterator
from typing import TypeVar

import h11
import msgspec
import trio

from lacewingwood import clock as clocks
from lacewingwood import errors as base_errors
from lacewingwood.upstreams import errors
from lacewingwood.upstreams import http1
from lacewingwood.upstreams import sse
from lacewingwood.upstreams import types

_CONNECTIONS = 256
_CONTROL_CONNECTIONS = 4
_CONTROL_TIMEOUT_MS = 2000.0
# A deadline that is further away, or infinite, is sent as this.
_LONGEST_MS = 86_400_000
_KV_TIMEOUT_MS = 30_000.0
_JSON = b"application/json"
_REFUSALS = range(400, 500)
_UNAVAILABLE = 503

_T = TypeVar("_T")


class Stream:
    """A streamed answer.

    Attributes:
        status: HTTP status.
    """

    __slots__ = ("_events", "status")

    def __init__(self, exchange: http1.Exchange) -> None:
        self._events = sse.Events(exchange)
        self.status = exchange.status

    @property
    def done(self) -> bool:
        """True once the whole answer was received."""
        return self._events.done

    def chunks(self) -> AsyncIterator[bytes]:
        """Iterates over the payloads of the events, without `[DONE]`.

        Raises:
            BrokenError: The stream ended without `[DONE]`.
        """
        return self._events


class EngineClient:
    """Sends requests to engines.

    Requests have their own connections, apart from those of load reports and
    orders, and each engine has its own. No header field goes out except those
    made here from the arguments.
    """

    def __init__(
        self, clock: clocks.Clock, connections: int = _CONNECTIONS
    ) -> None:
        """Makes a client; nothing is connected yet.

        Args:
            clock: Clock that deadlines refer to.
            connections: Most connections to each engine for requests.
        """
        self._clock = clock
        self._requests = http1.Pools(connections)
        self._controls = http1.Pools(_CONTROL_CONNECTIONS)

    @contextlib.asynccontextmanager
    async def stream(
        self,
        address: str,
        path: str,
        body: bytes,
        request_id: str,
        deadline_ms: float,
    ) -> AsyncIterator[Stream]:
        """Sends a request and gives its answer as a stream of events.

        A stream that is left early closes its connection, which cancels the
        request in the engine. The deadline holds for the block, too.

        Args:
            address: `host:port` of the engine.
            path: `/v1/chat/completions` or `/v1/completions`.
            body: The request, with `stream` set.
            request_id: Identity of the request.
            deadline_ms: Time on `clock` by which the block must be left.

        Raises:
            ConnectError: Not run.
            RefusedError: Not run; status 4xx or 503.
            TimeoutError: The deadline has passed.
            BrokenError: May have run.
            BadAnswerError: May have run.
        """
        async with self._answer(
            address, path, body, request_id, deadline_ms
        ) as exchange:
            _check_is_stream(exchange)
            stream = Stream(exchange)
            yield stream
            if stream.done:
                await exchange.drain()

    async def complete(
        self,
        address: str,
        path: str,
        body: bytes,
        request_id: str,
        deadline_ms: float,
    ) -> bytes:
        """Sends a request and returns the whole answer.

        Args and errors are those of `stream`.
        """
        async with self._answer(
            address, path, body, request_id, deadline_ms
        ) as exchange:
            return await exchange.read()

    async def cancel(self, address: str, request_id: str) -> bool:
        """Cancels a request; returns False if the engine does not have it."""
        try:
            await self._control(address, "POST", f"/cancel/{request_id}")
        except errors.RefusedError as exc:
            if exc.status == 404:
                return False
            raise
        return True

    async def load(self, address: str) -> types.LoadReport:
        """Returns the engine's load report, which lags."""
        body = await self._control(address, "GET", "/load")
        return _decode(body, types.LoadReport)

    async def cache_events(
        self, address: str, start: int
    ) -> list[types.CacheEvent]:
        """Returns the known cache events from serial `start` on."""
        path = f"/cache/events?start={start}"
        body = await self._control(address, "GET", path)
        return _decode(body, list[types.CacheEvent])

    async def order(self, address: str, order: types.Order) -> None:
        """Gives an order; the engine carries it out later.

        Raises:
            RefusedError: Status 409 if its fencing number is too low.
        """
        body = msgspec.json.encode(order)
        await self._control(address, "POST", "/orders", body)

    async def export_kv(self, address: str, request_id: str) -> bytes:
        """Returns a request's KV cache."""
        return await self._control(
            address, "GET", f"/kv/{request_id}", timeout_ms=_KV_TIMEOUT_MS
        )

    async def import_kv(
        self, address: str, request_id: str, data: bytes
    ) -> None:
        """Gives an engine a KV cache that another one exported."""
        await self._control(
            address, "POST", f"/kv/{request_id}", data, _KV_TIMEOUT_MS
        )

    async def forget(self, address: str) -> None:
        """Closes the idle connections to an engine that has left."""
        await self._requests.forget(address)
        await self._controls.forget(address)

    async def aclose(self) -> None:
        """Closes all idle connections."""
        await self._requests.close()
        await self._controls.close()

    async def _control(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_ms: float = _CONTROL_TIMEOUT_MS,
    ) -> bytes:
        head = _head(address, method, path, body)
        async with self._exchange(
            self._controls, address, head, body, timeout_ms
        ) as exchange:
            return await exchange.read()

    @contextlib.asynccontextmanager
    async def _answer(
        self,
        address: str,
        path: str,
        body: bytes,
        request_id: str,
        deadline_ms: float,
    ) -> AsyncIterator[http1.Exchange]:
        left_ms = deadline_ms - self._clock.now_ms()
        head = _head(
            address,
            "POST",
            path,
            body,
            (b"x-request-id", request_id.encode()),
            (b"x-deadline-ms", b"%d" % min(max(0, left_ms), _LONGEST_MS)),
        )
        async with self._exchange(
            self._requests, address, head, body, left_ms
        ) as exchange:
            _check_request_id(exchange, request_id)
            yield exchange

    @contextlib.asynccontextmanager
    async def _exchange(
        self,
        pools: http1.Pools,
        address: str,
        head: h11.Request,
        body: bytes,
        timeout_ms: float,
    ) -> AsyncIterator[http1.Exchange]:
        sent: http1.Exchange | None = None
        with trio.move_on_after(max(0.0, timeout_ms) / 1000) as scope:
            async with pools.pool(address).exchange() as exchange:
                sent = exchange
                await exchange.send_whole(head, body)
                await exchange.receive_head()
                await _check_status(exchange)
                yield exchange
        if scope.cancelled_caught:
            ran = sent.ran if sent else base_errors.Ran.NOT_RUN
            raise errors.TimeoutError("deadline passed", ran)


def _head(
    address: str,
    method: str,
    path: str,
    body: bytes,
    *headers: tuple[bytes, bytes],
) -> h11.Request:
    fields = [
        (b"host", address.encode()),
        (b"content-type", _JSON),
        (b"content-length", b"%d" % len(body)),
        *headers,
    ]
    return h11.Request(method=method, target=path, headers=fields)


async def _check_status(exchange: http1.Exchange) -> None:
    status = exchange.status
    if 200 <= status < 300:
        return
    if status in _REFUSALS or status == _UNAVAILABLE:
        body = b""
        # The status alone says that the request was not run.
        with contextlib.suppress(errors.UpstreamError):
            body = await exchange.read()
        raise errors.RefusedError(f"refused with {status}", status, body)
    raise errors.BrokenError(f"engine answered with {status}")


def _check_is_stream(exchange: http1.Exchange) -> None:
    content_type = exchange.header(b"content-type") or b""
    if not content_type.startswith(b"text/event-stream"):
        raise errors.InvalidResponseError("answer is not an event stream")


def _check_request_id(exchange: http1.Exchange, request_id: str) -> None:
    answered = exchange.header(b"x-request-id")
    if answered is not None and answered != request_id.encode():
        raise errors.InvalidResponseError("answer is for another request")


def _decode(body: bytes, kind: type[_T]) -> _T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as exc:
        raise errors.InvalidResponseError(str(exc)) from exc
