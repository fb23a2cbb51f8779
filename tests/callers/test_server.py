"""Tests of the server: shutdown, keep-alive and malformed connections."""

import contextlib
import socket
from collections.abc import AsyncIterator
from typing import Any

import pytest
import trio

from tests.callers import fakes


def _pause(world: fakes.World) -> trio.Event:
    """Makes engines send one word and wait for the returned event."""
    go_on = trio.Event()

    async def run(body: dict[str, Any]) -> AsyncIterator[bytes]:
        yield fakes.event("Yes")
        await go_on.wait()
        yield fakes.event(".", "stop")

    world.engines.scripts["*"] = run
    return go_on


@pytest.mark.parametrize("http2", [False, True], ids=["http1", "http2"])
async def test_planned_shutdown_aborts_no_stream(http2: bool) -> None:
    """Guards against streams aborted by the server's shutdown."""
    world = fakes.World()
    go_on = _pause(world)
    async with (
        world.serve() as served,
        served.client(http2) as client,
        client.stream() as got,
    ):
        chunks = got.aiter_stream()
        first = await anext(chunks)
        served.shutdown.set()
        await fakes.eventually(lambda: not _accepts(served.port))
        go_on.set()
        rest = b"".join([chunk async for chunk in chunks])
    assert fakes.text(first + rest) == "Yes."
    assert fakes.events(rest)[-1] == b"[DONE]"


def _accepts(port: int) -> bool:
    with socket.socket() as sock:
        return sock.connect_ex(("127.0.0.1", port)) == 0


@pytest.mark.parametrize("http2", [False, True], ids=["http1", "http2"])
async def test_requests_are_served_while_draining(http2: bool) -> None:
    """Guards against refusing requests that arrive after the shutdown signal.

    Load balancers send requests until they notice the shutdown.
    """
    world = fakes.World()
    async with (
        world.serve(drain_ms=1000) as served,
        served.client(http2) as client,
    ):
        await client.call("GET", "/v1/models")
        served.shutdown.set()
        for _ in range(3):
            got = await client.call("POST", fakes.CHAT, fakes.body())
            assert got.status == 200
        if not http2:
            assert fakes.header(got, b"connection") == b"close"


async def test_connection_is_kept_alive_for_any_number_of_requests() -> None:
    """Guards against hypercorn's limit of 1,000 requests per connection."""
    world = fakes.World()
    async with world.serve() as served, served.client() as client:
        for _ in range(1050):
            await client.call("GET", "/v1/models")
            assert len(client.pool.connections) == 1
        got = await client.call("GET", "/v1/models")
    assert fakes.header(got, b"connection") is None


async def test_refused_upload_does_not_end_other_streams() -> None:
    """Guards against an early refusal that ends its HTTP/2 connection."""
    world = fakes.World()
    go_on = _pause(world)
    async with (
        world.serve() as served,
        served.client(http2=True) as client,
        client.stream() as got,
    ):
        chunks = got.aiter_stream()
        first = await anext(chunks)
        late = await client.call("POST", fakes.CHAT, b" " * (12 << 20))
        assert late.status == 413
        go_on.set()
        rest = b"".join([chunk async for chunk in chunks])
    assert fakes.text(first + rest) == "Yes."


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\xff" * 100,
        b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"a" * 300_000,
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\xff" * 500,
        b"GET /ws HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\n"
        b"Upgrade: websocket\r\n\r\n",
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n5\r\nab",
    ],
    ids=["noise", "long", "frames", "websocket", "cut"],
)
async def test_malformed_connection_does_not_stop_the_server(
    data: bytes,
) -> None:
    """Guards against a connection's error that stops the whole server."""
    world = fakes.World()
    async with world.serve() as served, served.client() as client:
        stream = await trio.open_tcp_stream("127.0.0.1", served.port)
        with trio.fail_after(5), contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(data)
            await stream.send_eof()
            while await stream.receive_some():
                pass
        await stream.aclose()
        got = await client.call("GET", "/v1/models")
        assert got.status == 200


async def test_connection_that_its_caller_closed_is_released() -> None:
    """Guards against descriptors that are kept in CLOSE_WAIT.

    The task that waits for an idle connection's timeout kept the connection.
    """
    world = fakes.World()
    async with world.serve() as served:
        stream = await trio.open_tcp_stream("127.0.0.1", served.port)
        await stream.send_all(b"GET /v1/models HTTP/1.1\r\nHost: a\r\n\r\n")
        assert await stream.receive_some()
        await stream.send_eof()
        with trio.fail_after(5):
            while await stream.receive_some():
                pass
        await stream.aclose()
