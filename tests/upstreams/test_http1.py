"""Tests of connections to upstreams."""

import socket
from typing import Any

import h11
import httpcore
import pytest
import trio

from lacewingwood.upstreams import http1

_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


class _Stream(httpcore.AsyncNetworkStream):
    """A connection whose writes may block for ever."""

    def __init__(self, end: socket.socket, blocked: bool) -> None:
        self._end = end
        self._blocked = blocked

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        await trio.lowlevel.checkpoint()
        if self._blocked:
            await trio.sleep_forever()

    async def aclose(self) -> None:
        trio.lowlevel.notify_closing(self._end)

    def get_extra_info(self, info: str) -> Any:
        return self._end


@pytest.mark.parametrize("blocked", [False, True])
async def test_connection_is_kept_only_after_whole_writes(
    blocked: bool,
) -> None:
    """Guards against a request appended to one that was half sent."""
    near, far = socket.socketpair()
    with near, far:
        connection = http1.Connection(_Stream(near, blocked))
        head = h11.Request(method="GET", target="/", headers=[("host", "x")])
        with trio.move_on_after(0.01 if blocked else 60):
            await connection.send(head, h11.EndOfMessage())
        far.sendall(_ANSWER)
        assert isinstance(await connection.receive(), h11.Response)
        assert isinstance(await connection.receive(), h11.EndOfMessage)
        assert connection.recycle() is not blocked


async def test_connection_with_a_second_answer_is_not_kept() -> None:
    """Guards against an answer that is taken for the next request's."""
    near, far = socket.socketpair()
    with near, far:
        connection = http1.Connection(_Stream(near, False))
        head = h11.Request(method="GET", target="/", headers=[("host", "x")])
        await connection.send(head, h11.EndOfMessage())
        far.sendall(_ANSWER + _ANSWER)
        assert isinstance(await connection.receive(), h11.Response)
        assert isinstance(await connection.receive(), h11.EndOfMessage)
        assert not connection.recycle()


async def _serve_answers(accepted: list[trio.SocketStream]) -> str:
    """Answers all requests on loopback; returns the address."""

    async def serve(stream: trio.SocketStream) -> None:
        accepted.append(stream)
        async with stream:
            while await stream.receive_some():
                await stream.send_all(_ANSWER)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    trio.lowlevel.spawn_system_task(trio.serve_listeners, serve, listeners)
    return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


async def _exchange(pool: http1.Pool, fresh: bool) -> None:
    async with pool.exchange(fresh) as exchange:
        head = h11.Request(method="GET", target="/", headers=[("host", "x")])
        await exchange.send_whole(head, b"")
        await exchange.receive_head()
        await exchange.read()


async def test_fresh_exchange_uses_no_kept_connection() -> None:
    """Guards against a request that must run once on a stale connection."""
    accepted: list[trio.SocketStream] = []
    pools = http1.Pools(4)
    pool = pools.pool(await _serve_answers(accepted))
    await _exchange(pool, fresh=False)
    await _exchange(pool, fresh=False)
    assert len(accepted) == 1
    await _exchange(pool, fresh=True)
    assert len(accepted) == 2
    await pools.close()


async def test_pools_of_upstreams_that_left_are_dropped() -> None:
    """Guards against connections kept for addresses that are used again."""
    accepted: list[trio.SocketStream] = []
    pools = http1.Pools(4)
    address = await _serve_answers(accepted)
    pool = pools.pool(address)
    await _exchange(pool, fresh=False)
    await pools.keep_only({address})
    assert pools.pool(address) is pool
    await pools.keep_only(set())
    assert pools.pool(address) is not pool
