"""Tests of HTTP/1.1 connections to upstreams."""

import socket
from typing import cast

import h11
import pytest
import trio

from lacewingwood.upstreams import http1
from lacewingwood.upstreams import pools as pools_lib

_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


class _Stream:
    """A socket stream whose writes may block for ever."""

    def __init__(self, sock: socket.socket, blocked: bool) -> None:
        self.socket = sock
        self._blocked = blocked

    async def send_all(self, data: bytes) -> None:
        await trio.lowlevel.checkpoint()
        if self._blocked:
            await trio.sleep_forever()

    async def aclose(self) -> None:
        trio.lowlevel.notify_closing(self.socket)


def _connection(sock: socket.socket, blocked: bool) -> http1.Connection:
    return http1.Connection(cast(trio.SocketStream, _Stream(sock, blocked)))


@pytest.mark.parametrize("blocked", [False, True])
async def test_connection_is_reused_only_after_whole_writes(
    blocked: bool,
) -> None:
    """Guards against a request appended to one that was partly sent."""
    near, far = socket.socketpair()
    with near, far:
        connection = _connection(near, blocked)
        head = h11.Request(method="GET", target="/", headers=[("host", "x")])
        with trio.move_on_after(0.01 if blocked else 60):
            await connection.send(head, h11.EndOfMessage())
        far.sendall(_RESPONSE)
        assert isinstance(await connection.receive(), h11.Response)
        assert isinstance(await connection.receive(), h11.EndOfMessage)
        assert connection.recycle() is not blocked


async def test_connection_with_a_second_response_is_not_reused() -> None:
    """Guards against a response that is taken for the next request's."""
    near, far = socket.socketpair()
    with near, far:
        connection = _connection(near, False)
        head = h11.Request(method="GET", target="/", headers=[("host", "x")])
        await connection.send(head, h11.EndOfMessage())
        far.sendall(_RESPONSE + _RESPONSE)
        assert isinstance(await connection.receive(), h11.Response)
        assert isinstance(await connection.receive(), h11.EndOfMessage)
        assert not connection.recycle()


async def _serve_responses(accepted: list[trio.SocketStream]) -> str:
    """Serves an empty response to all requests; returns the address."""

    async def serve(stream: trio.SocketStream) -> None:
        accepted.append(stream)
        async with stream:
            while await stream.receive_some():
                await stream.send_all(_RESPONSE)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    trio.lowlevel.spawn_system_task(trio.serve_listeners, serve, listeners)
    return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


async def _exchange(pool: pools_lib.Pool, fresh: bool) -> None:
    async with pool.exchange(fresh) as exchange:
        head = h11.Request(method="GET", target="/", headers=[("host", "x")])
        await exchange.send_whole(head, b"")
        await exchange.receive_head()
        await exchange.read()


async def test_fresh_exchange_opens_a_new_connection() -> None:
    """Guards against a request that must run once on a stale connection.

    A connection that broke while it was idle leaves unknown whether the request
    ran.
    """
    accepted: list[trio.SocketStream] = []
    pools = pools_lib.Pools(4)
    pool = pools.pool(await _serve_responses(accepted))
    await _exchange(pool, fresh=False)
    await _exchange(pool, fresh=False)
    assert len(accepted) == 1
    await _exchange(pool, fresh=True)
    assert len(accepted) == 2
    await pools.close()


async def test_pools_of_upstreams_that_left_are_dropped() -> None:
    """Guards against connections kept for addresses that are reassigned."""
    accepted: list[trio.SocketStream] = []
    pools = pools_lib.Pools(4)
    address = await _serve_responses(accepted)
    pool = pools.pool(address)
    await _exchange(pool, fresh=False)
    await pools.keep_only({address})
    assert pools.pool(address) is pool
    await pools.keep_only(set())
    assert pools.pool(address) is not pool


async def test_connection_remembers_a_bounded_number_of_refusals() -> None:
    """Guards against memory that grows on a connection of a busy replica."""
    accepted: list[trio.SocketStream] = []
    pool = pools_lib.Pools(1).pool(await _serve_responses(accepted))
    head = h11.Request(method="GET", target="/", headers=[("host", "x")])
    for n in range(100):
        async with pool.exchange(request_id=f"id-{n}") as exchange:
            await exchange.send_whole(head, b"")
            await exchange.receive_head()
            await exchange.read()
            exchange.note_refusal(f"id-{n}")
    assert len(accepted) == 2
