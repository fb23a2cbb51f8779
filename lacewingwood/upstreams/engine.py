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
from lacewingwood.upstreams import pools as pools_lib
from lacewingwood.upstreams import sse
from lacewingwood.upstreams import types

_MAX_CONNECTIONS = 256
_MAX_CONTROL_CONNECTIONS = 4
_CONTROL_TIMEOUT_MS = 2000.0
# Longest deadline sent to an engine; stands for later and infinite ones, too.
_MAX_DEADLINE_MS = 86_400_000
_KV_TIMEOUT_MS = 30_000.0
_JSON_TYPE = b"application/json"
_REFUSAL_STATUSES = range(400, 500)
_SERVICE_UNAVAILABLE = 503

_T = TypeVar("_T")


class Stream:
    """A streamed response.

    Attributes:
        status: HTTP status.
    """

    __slots__ = ("_events", "status")

    def __init__(self, exchange: http1.Exchange) -> None:
        self._events = sse.Events(exchange)
        self.status = exchange.status

    @property
    def done(self) -> bool:
        """True once the whole response was received."""
        return self._events.done

    def chunks(self) -> AsyncIterator[bytes]:
        """Iterates over the payloads of the events, without `[DONE]`.

        Raises:
            BrokenError: The stream ended without `[DONE]`.
        """
        return self._events


class EngineClient:
    """Sends requests to engines.

    Each engine has two connection pools: one for requests, and one for load
    reports, orders and other control calls. Only header fields made from the
    arguments are sent.
    """

    def __init__(
        self, clock: clocks.Clock, connections: int = _MAX_CONNECTIONS
    ) -> None:
        """Creates a client without connecting.

        Args:
            clock: Clock that deadlines refer to.
            connections: Maximum number of connections to each engine for
                requests.
        """
        self._clock = clock
        self._request_pools = pools_lib.Pools(connections)
        self._control_pools = pools_lib.Pools(_MAX_CONTROL_CONNECTIONS)

    @contextlib.asynccontextmanager
    async def stream(
        self,
        address: str,
        path: str,
        body: bytes,
        request_id: str,
        deadline_ms: float,
    ) -> AsyncIterator[Stream]:
        """Sends a request and yields its response as a stream of events.

        Leaving the context before the end of the stream closes the connection,
        which cancels the request in the engine. The deadline also applies to
        the body of the context.

        Args:
            address: `host:port` of the engine.
            path: `/v1/chat/completions` or `/v1/completions`.
            body: The request, with `stream` set.
            request_id: Identity of the request.
            deadline_ms: Time on `clock` by which the context must be left.

        Raises:
            ConnectError: No connection was made; the request did not run.
            RefusedError: Status 4xx or 503; the request did not run.
            TimeoutError: The deadline has passed; `ran` tells whether the
                request may have run.
            BrokenError: The connection broke, or the status is none of these
                and not 2xx; the request may have run.
            InvalidResponseError: The response is invalid; the request may have
                run.
        """
        async with self._request(
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
        """Sends a request and returns the whole response body.

        Arguments and errors are those of `stream`.
        """
        async with self._request(
            address, path, body, request_id, deadline_ms
        ) as exchange:
            return await exchange.read()

    async def cancel(self, address: str, request_id: str) -> bool:
        """Cancels a request; returns False if the engine does not know it."""
        try:
            await self._control(address, "POST", f"/cancel/{request_id}")
        except errors.RefusedError as exc:
            if exc.status == 404:
                return False
            raise
        return True

    async def load(self, address: str) -> types.LoadReport:
        """Returns the engine's load report, which lags behind its state."""
        body = await self._control(address, "GET", "/load")
        return _decode(body, types.LoadReport)

    async def cache_events(
        self, address: str, start: int
    ) -> list[types.CacheEvent]:
        """Returns the cache events that the engine keeps from `start` on."""
        path = f"/cache/events?start={start}"
        body = await self._control(address, "GET", path)
        return _decode(body, list[types.CacheEvent])

    async def order(self, address: str, order: types.Order) -> None:
        """Sends an order, which the engine executes asynchronously.

        Raises:
            RefusedError: Status 409 if its fencing number is too low.
        """
        body = msgspec.json.encode(order)
        await self._control(address, "POST", "/orders", body)

    async def export_kv(self, address: str, request_id: str) -> bytes:
        """Exports the KV cache of a request."""
        return await self._control(
            address, "GET", f"/kv/{request_id}", timeout_ms=_KV_TIMEOUT_MS
        )

    async def import_kv(
        self, address: str, request_id: str, data: bytes
    ) -> None:
        """Imports a KV cache that another engine exported."""
        await self._control(
            address, "POST", f"/kv/{request_id}", data, _KV_TIMEOUT_MS
        )

    async def forget(self, address: str) -> None:
        """Closes the idle connections to an engine that has left."""
        await self._request_pools.forget(address)
        await self._control_pools.forget(address)

    async def aclose(self) -> None:
        """Closes all idle connections."""
        await self._request_pools.close()
        await self._control_pools.close()

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
            self._control_pools, address, head, body, timeout_ms
        ) as exchange:
            return await exchange.read()

    @contextlib.asynccontextmanager
    async def _request(
        self,
        address: str,
        path: str,
        body: bytes,
        request_id: str,
        deadline_ms: float,
    ) -> AsyncIterator[http1.Exchange]:
        remaining_ms = deadline_ms - self._clock.now_ms()
        head = _head(
            address,
            "POST",
            path,
            body,
            (b"x-request-id", request_id.encode()),
            (
                b"x-deadline-ms",
                b"%d" % min(max(0, remaining_ms), _MAX_DEADLINE_MS),
            ),
        )
        async with self._exchange(
            self._request_pools, address, head, body, remaining_ms, request_id
        ) as exchange:
            yield exchange

    @contextlib.asynccontextmanager
    async def _exchange(
        self,
        pools: pools_lib.Pools,
        address: str,
        head: h11.Request,
        body: bytes,
        timeout_ms: float,
        request_id: str = "",
    ) -> AsyncIterator[http1.Exchange]:
        sent: http1.Exchange | None = None
        with trio.move_on_after(max(0.0, timeout_ms) / 1000) as scope:
            pool = pools.pool(address)
            async with pool.exchange(request_id=request_id) as exchange:
                sent = exchange
                await exchange.send_whole(head, body)
                await exchange.receive_head()
                if request_id:
                    _check_request_id(exchange, request_id)
                await _check_status(exchange, request_id)
                yield exchange
        if scope.cancelled_caught:
            ran = sent.ran if sent else base_errors.Ran.NOT_RUN
            raise errors.TimeoutError("deadline exceeded", ran)


def _head(
    address: str,
    method: str,
    path: str,
    body: bytes,
    *headers: tuple[bytes, bytes],
) -> h11.Request:
    fields = [
        (b"host", address.encode()),
        (b"content-type", _JSON_TYPE),
        (b"content-length", b"%d" % len(body)),
        *headers,
    ]
    return h11.Request(method=method, target=path, headers=fields)


async def _check_status(exchange: http1.Exchange, request_id: str) -> None:
    status = exchange.status
    if 200 <= status < 300:
        return
    if _is_refusal(status):
        if request_id:
            exchange.note_refusal(request_id)
        body = b""
        # The status suffices to know that the request did not run.
        with contextlib.suppress(errors.UpstreamError):
            body = await exchange.read()
        raise errors.RefusedError(
            f"upstream refused the request with status {status}", status, body
        )
    raise errors.BrokenError(f"engine responded with status {status}")


def _check_is_stream(exchange: http1.Exchange) -> None:
    content_type = exchange.header(b"content-type") or b""
    if not content_type.startswith(b"text/event-stream"):
        raise errors.InvalidResponseError("response is not an event stream")


def _is_refusal(status: int) -> bool:
    return status in _REFUSAL_STATUSES or status == _SERVICE_UNAVAILABLE


def _check_request_id(exchange: http1.Exchange, request_id: str) -> None:
    """Raises InvalidResponseError for the response to another request.

    A refusal without an id may be a copy of an earlier one, unless it is the
    first response on its connection.
    """
    response_id = exchange.header(b"x-request-id")
    if response_id is None and _is_refusal(exchange.status) and exchange.reused:
        raise errors.InvalidResponseError("refusal does not name its request")
    if response_id is not None and response_id != request_id.encode():
        raise errors.InvalidResponseError("response is for another request")


def _decode(body: bytes, kind: type[_T]) -> _T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as exc:
        raise errors.InvalidResponseError(str(exc)) from exc
