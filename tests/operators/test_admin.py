"""Tests of the admin listener."""

import functools

import pytest
import trio

from lacewingwood import metrics
from lacewingwood.operators import admin

_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"


async def _exchange(address: str, data: bytes) -> bytes:
    """Sends data; returns what is received until the connection closes."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    got = b""
    with trio.fail_after(5):
        await stream.send_all(data)
        await stream.send_eof()
        while part := await stream.receive_some():
            got += part
    await stream.aclose()
    return got


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\nX: " + b"a" * 20_000,
        b"POST /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n"
        + b"a" * 100_000,
        _PREFACE + b"\xff" * 500,
    ],
    ids=["head", "body", "frames"],
)
async def test_odd_connection_does_not_end_the_listener(data: bytes) -> None:
    """Guards against the end of a process through its admin listener."""
    app = admin.AdminApp(metrics.Registry(), lambda: None, dict)
    async with trio.open_nursery() as nursery:
        serve = functools.partial(admin.serve, app, "127.0.0.1", 0)
        address = await nursery.start(serve)
        await _exchange(address, data)
        head = b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        assert (await _exchange(address, head)).startswith(b"HTTP/1.1 200")
        nursery.cancel_scope.cancel()


async def test_idle_connections_are_bounded() -> None:
    """Guards against idle connections that use up the descriptors."""
    app = admin.AdminApp(metrics.Registry(), lambda: None, dict)
    head = b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"
    async with trio.open_nursery() as nursery:
        serve = functools.partial(admin.serve, app, "127.0.0.1", 0)
        address = await nursery.start(serve)
        host, _, port = address.rpartition(":")
        streams = []
        for _ in range(70):
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(head)
            got = b""
            while not got.endswith(b"}\n"):
                got += await stream.receive_some()
            streams.append(stream)
        with trio.fail_after(2):
            # The least recently used ones were closed.
            for stream in streams[:6]:
                assert await stream.receive_some() == b""
        nursery.cancel_scope.cancel()
