"""Client of plain services: HTTP upstreams that are not model engines."""

import contextlib
from collections.abc import AsyncIterable
from collections.abc import AsyncIterator
from collections.abc import Callable

import h11
import trio

from lacewingwood import clock as clocks
from lacewingwood import errors as base_errors
from lacewingwood.upstreams import errors
from lacewingwood.upstreams import http1
from lacewingwood.upstreams import pools as pools_lib

_MAX_CONNECTIONS = 256
# Header fields that this client sets itself, and hop-by-hop fields.
_NOT_FORWARDED = frozenset(
    (
        b"connection",
        b"content-length",
        b"host",
        b"keep-alive",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class Response:
    """A response whose body is read as it arrives.

    Attributes:
        status: HTTP status.
        headers: Header fields with names in lower case.
    """

    __slots__ = ("_exchange", "headers", "status")

    def __init__(self, exchange: http1.Exchange) -> None:
        self._exchange = exchange
        self.status = exchange.status
        self.headers = exchange.headers

    @property
    def trailers(self) -> http1.Headers:
        """Trailer fields; known once the body has been read."""
        return self._exchange.trailers

    def body(self) -> AsyncIterator[bytes]:
        """Returns an iterator over the rest of the body.

        Raises:
            BrokenError: The connection ended before the response did.
        """
        return self

    def __aiter__(self) -> "Response":
        return self

    async def __anext__(self) -> bytes:
        """Returns the next part of the body.

        Raises:
            BrokenError: The connection ended before the response did.
        """
        chunk = await self._exchange.next_chunk()
        if not chunk:
            raise StopAsyncIteration
        return chunk

    async def read(self) -> bytes:
        """Returns the rest of the body.

        Raises:
            BrokenError: The connection ended before the response did.
        """
        return await self._exchange.read()


class PlainClient:
    """Sends requests to plain services, with a connection pool for each."""

    def __init__(
        self, clock: clocks.Clock, connections: int = _MAX_CONNECTIONS
    ) -> None:
        """Creates a client without connecting.

        Args:
            clock: Clock that deadlines refer to.
            connections: Maximum number of connections to each service.
        """
        self._clock = clock
        self._pools = pools_lib.Pools(connections)

    @contextlib.asynccontextmanager
    async def request(
        self,
        address: str,
        method: str,
        path: str,
        *,
        headers: http1.Headers,
        body: bytes | AsyncIterable[bytes],
        deadline_ms: float,
        on_send: Callable[[], None] = lambda: None,
    ) -> AsyncIterator[Response]:
        """Sends a request and yields its response.

        A body that is an iterator is sent while the response is read. The
        deadline also applies to the body of the context. Every status is
        returned as a response, not raised as an error.

        Args:
            address: `host:port` of the service.
            method: HTTP method.
            path: Path and query.
            headers: Header fields to send; hop-by-hop fields are omitted.
            body: Request body.
            deadline_ms: Time on `clock` by which the context must be left.
            on_send: Called right before the first byte is sent. If the context
                is cancelled before that, the request has not run.

        Raises:
            ConnectError: No connection was made; the request did not run.
            TimeoutError: The deadline has passed; `ran` tells whether the
                request may have run.
            BrokenError: The connection broke; the request may have run.
        """
        remaining_ms = deadline_ms - self._clock.now_ms()
        head = _head(address, method, path, headers, body)
        sent: http1.Exchange | None = None
        with trio.move_on_after(max(0.0, remaining_ms) / 1000) as scope:
            async with self._pools.pool(address).exchange() as exchange:
                sent = exchange
                on_send()
                async with _sending(exchange, head, body):
                    await exchange.receive_head()
                    yield Response(exchange)
        if scope.cancelled_caught:
            ran = sent.ran if sent else base_errors.Ran.NOT_RUN
            raise errors.TimeoutError("deadline exceeded", ran)

    async def forget(self, address: str) -> None:
        """Closes the idle connections to a service that has left."""
        await self._pools.forget(address)

    async def aclose(self) -> None:
        """Closes all idle connections."""
        await self._pools.close()


def _head(
    address: str,
    method: str,
    path: str,
    headers: http1.Headers,
    body: bytes | AsyncIterable[bytes],
) -> h11.Request:
    framing = (b"transfer-encoding", b"chunked")
    if isinstance(body, bytes):
        framing = (b"content-length", b"%d" % len(body))
    forwarded = [
        field for field in headers if field[0].lower() not in _NOT_FORWARDED
    ]
    fields = [(b"host", address.encode()), framing, *forwarded]
    return h11.Request(method=method, target=path, headers=fields)


@contextlib.asynccontextmanager
async def _sending(
    exchange: http1.Exchange,
    head: h11.Request,
    body: bytes | AsyncIterable[bytes],
) -> AsyncIterator[None]:
    """Sends a request; sends an iterated body while the context runs."""
    if isinstance(body, bytes):
        await exchange.send_whole(head, body)
        yield
        return
    await exchange.send_head(head)
    failure: Exception | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_body, exchange, body)
        # An error of the context is kept outside of the nursery, which would
        # wrap it in an exception group.
        try:
            yield
        except Exception as exc:
            failure = exc
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure


async def _send_body(
    exchange: http1.Exchange, body: AsyncIterable[bytes]
) -> None:
    """Sends the body; a failure shows when the response is read."""
    with contextlib.suppress(errors.BrokenError):
        async for chunk in body:
            await exchange.send(h11.Data(data=chunk))
        await exchange.send(h11.EndOfMessage())
