"""Tests of the server: shutdown, keep-alive and malformed connections."""

import contextlib
import socket
from collections.abc import AsyncIterator
from typing import Any

import pytest
import trio
from hyperframe import frame as frames

from lacewingwood import clock
from lacewingwood import configuration
from lacewingwood import metrics as metrics_lib
from lacewingwood.callers import client_limits
from lacewingwood.callers import memory
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


def _make_enforcer(memory_bytes: float = 1e9) -> client_limits.Enforcer:
    """Returns limits that tests exceed within a second."""
    limits = configuration.ClientLimits(
        max_header_bytes=4_096, header_timeout_ms=300, idle_timeout_ms=10_000
    )
    settings = client_limits.Settings(
        memory_bytes=memory_bytes,
        max_connections=2,
        max_fields=50,
        pace=memory.Pace(stall_ms=300),
    )
    return client_limits.Enforcer(
        clock.MonotonicClock(),
        metrics_lib.Registry(),
        settings,
        lambda: limits,
    )


async def _status_of(port: int, data: bytes) -> int:
    """Returns the status that data get; checks that the connection closes."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    got = b""
    with trio.fail_after(5), contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(data)
        while part := await stream.receive_some():
            got += part
    await stream.aclose()
    return int(got.split()[1])


_POST = (
    f"POST {fakes.CHAT} HTTP/1.1\r\nHost: a\r\n"
    f"Authorization: Bearer {fakes.SECRET}\r\n"
).encode()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nX: a", 408),
        (b"GET / HTTP/1.1\r\nX: " + b"a" * 5_000, 431),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"a" * 5_000 + b"\r\n\r\n", 431),
        (b"GET / HTTP/1.1\r\nHost: a\r\n" + b"X: a\r\n" * 60 + b"\r\n", 431),
        (b"\r\n" * 100, 400),
        (_POST + b"Content-Length: 9\r\n\r\n{", 408),
        (
            _POST
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + (b"1;" + b"a" * 2_000 + b"\r\nx\r\n") * 50,
            400,
        ),
    ],
    ids=["slow", "endless", "long", "fields", "lines", "stall", "extensions"],
)
async def test_request_beyond_a_limit_is_refused(
    data: bytes, status: int
) -> None:
    """Guards against requests that never end or grow without bound."""
    world = fakes.World()
    async with world.serve(enforcer=_make_enforcer()) as served:
        assert await _status_of(served.port, data) == status
        async with served.client() as client:
            got = await client.call("GET", "/v1/models")
            assert got.status == 200


_PREFACE = (
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frames.SettingsFrame(0).serialize()
)


@pytest.mark.parametrize(
    "data",
    [
        frames.PingFrame(0, b"x" * 8).serialize() * 3_000,
        frames.SettingsFrame(0, {3: 9}).serialize() * 3_000,
        frames.HeadersFrame(1, b"x" * 9_000).serialize()
        + frames.ContinuationFrame(1, b"x" * 9_000).serialize(),
    ],
    ids=["pings", "settings", "block"],
)
async def test_flood_of_frames_ends_the_connection(data: bytes) -> None:
    """Guards against frames that cost work or memory and carry no request."""
    world = fakes.World()
    async with world.serve(enforcer=_make_enforcer()) as served:
        stream = await trio.open_tcp_stream("127.0.0.1", served.port)
        with trio.fail_after(5), contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(_PREFACE + data)
            while await stream.receive_some():
                pass
        await stream.aclose()
        async with served.client(http2=True) as client:
            got = await client.call("GET", "/v1/models")
            assert got.status == 200


async def test_body_that_memory_does_not_suffice_for_is_refused() -> None:
    """Guards against a refusal of a request that ran, and a count that leaks.

    The body is larger than the whole budget.
    """
    world = fakes.World()
    enforcer = _make_enforcer(memory_bytes=500_000)
    async with world.serve(enforcer=enforcer) as served:
        head = _POST + b"Content-Length: 2000000\r\n\r\n"
        status = await _status_of(served.port, head + b" " * 1_999_999)
        assert status == 503
        async with served.client() as client:
            got = await client.call("POST", fakes.CHAT, fakes.body())
            assert got.status == 200
        await fakes.eventually(lambda: enforcer.connections.open == 0)
    assert enforcer.budget.held_bytes == 0
    assert len(world.engines.seen) == 1


async def test_idle_connection_makes_room_for_a_new_one() -> None:
    """Guards against idle connections that lock out new callers."""
    world = fakes.World()
    enforcer = _make_enforcer()
    async with world.serve(enforcer=enforcer) as served:
        for _ in range(4):
            async with served.client() as client:
                kept = await trio.open_tcp_stream("127.0.0.1", served.port)
                await kept.send_all(
                    b"GET /v1/models HTTP/1.1\r\nHost: a\r\n\r\n"
                )
                assert await kept.receive_some()
                got = await client.call("GET", "/v1/models")
                assert got.status == 200
        assert enforcer.connections.open <= 2
