"""Pools of HTTP/1.1 connections to upstreams."""

import collections
import contextlib
import ipaddress
import socket
from collections.abc import AsyncIterator

import trio

from lacewingwood.upstreams import errors
from lacewingwood.upstreams import http1

_CONNECT_TIMEOUT_S = 1.0


class Pool:
    """Connections to one upstream, at most `limit` at once."""

    __slots__ = (
        "_accept_unframed",
        "_connect_timeout_s",
        "_host",
        "_idle",
        "_port",
        "_slots",
    )

    def __init__(
        self,
        address: str,
        limit: int,
        connect_timeout_s: float = _CONNECT_TIMEOUT_S,
        accept_unframed: bool = False,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._connect_timeout_s = connect_timeout_s
        self._accept_unframed = accept_unframed
        self._slots = trio.Semaphore(limit)
        self._idle: collections.deque[http1.Connection]
        self._idle = collections.deque()

    @contextlib.asynccontextmanager
    async def exchange(
        self, fresh: bool = False, request_id: str = ""
    ) -> AsyncIterator[http1.Exchange]:
        """Yields an exchange on a connection that nothing else uses.

        The connection is kept only if the exchange is complete at the end.

        Args:
            fresh: True to open a new connection in any case.
            request_id: Connections on which this request was refused are not
                used.

        Raises:
            ConnectError: No connection could be made.
        """
        async with self._slots:
            connection = await (
                self._connect() if fresh else self._acquire(request_id)
            )
            exchange = http1.Exchange(connection, self._accept_unframed)
            try:
                yield exchange
            finally:
                await self._release(connection, exchange.complete)

    async def reachable(self) -> bool:
        """Returns whether a connection can be made now."""
        try:
            connection = await self._connect()
        except errors.ConnectError:
            return False
        # Nothing was sent on the connection, so the next request can use it.
        self._idle.append(connection)
        return True

    async def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _release(self, connection: http1.Connection, keep: bool) -> None:
        if keep and connection.recycle():
            self._idle.append(connection)
        else:
            await connection.close()
        # The connections that have been idle longest are at the front.
        while self._idle and self._idle[0].expired():
            await self._idle.popleft().close()

    async def _acquire(self, request_id: str) -> http1.Connection:
        skipped: list[http1.Connection] = []
        try:
            while self._idle:
                connection = self._idle.pop()
                if request_id in connection.refused:
                    skipped.append(connection)
                elif connection.usable():
                    return connection
                else:
                    await connection.close()
        finally:
            self._idle.extend(reversed(skipped))
        return await self._connect()

    async def _connect(self) -> http1.Connection:
        try:
            with trio.fail_after(self._connect_timeout_s):
                stream = await _open_stream(self._host, self._port)
        except (OSError, trio.TooSlowError) as exc:
            raise errors.ConnectError(
                f"{self._host}:{self._port}: {exc}"
            ) from exc
        return http1.Connection(stream)


class Pools:
    """A pool for each upstream address."""

    __slots__ = ("_accept_unframed", "_connect_timeout_s", "_limit", "_pools")

    def __init__(
        self,
        limit: int,
        connect_timeout_s: float = _CONNECT_TIMEOUT_S,
        accept_unframed: bool = False,
    ) -> None:
        """Creates the pools.

        Args:
            limit: Most connections to one upstream.
            connect_timeout_s: Longest wait for a connection.
            accept_unframed: Whether responses without a length or chunked
                encoding are complete when their connection is closed.
        """
        self._limit = limit
        self._connect_timeout_s = connect_timeout_s
        self._accept_unframed = accept_unframed
        self._pools: dict[str, Pool] = {}

    def pool(self, address: str) -> Pool:
        """Returns the pool for an address, creating it on first use."""
        pool = self._pools.get(address)
        if pool is None:
            pool = Pool(
                address,
                self._limit,
                self._connect_timeout_s,
                self._accept_unframed,
            )
            self._pools[address] = pool
        return pool

    async def forget(self, address: str) -> None:
        """Drops the pool for an upstream that has left."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            await pool.close()

    async def keep_only(self, addresses: set[str]) -> None:
        """Drops the pools for all addresses except the given ones."""
        for address in [a for a in self._pools if a not in addresses]:
            await self.forget(address)

    async def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self._pools):
            await self.forget(address)


async def _open_stream(host: str, port: int) -> trio.SocketStream:
    """Connects to an address.

    Replicas are listed by IPv4 address, for which the search of trio's
    `open_tcp_stream` among several addresses costs more than the connection.

    Raises:
        OSError: The connection could not be made.
    """
    if not _is_ipv4(host):
        return await trio.open_tcp_stream(host, port)
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await sock.connect((host, port))
        return trio.SocketStream(sock)
    except BaseException:
        sock.close()
        raise


def _is_ipv4(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
