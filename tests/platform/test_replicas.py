"""Tests of what replicas say of themselves with a response."""

import pytest
import trio

from lacewingwood.platform import replicas
from lacewingwood.routing import directory
from lacewingwood.upstreams import errors as upstream_errors
from lacewingwood.upstreams import runs


async def _notice(head: bytes) -> runs.Notice:
    """Returns the notice of a response with the given lines in its head."""

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some()
            await stream.send_all(
                b"HTTP/1.1 " + head + b"Request-Id: id-1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    listing = directory.Listing("r0", "s", f"127.0.0.1:{port}", "z", 8)
    work = runs.Work("id-1", "POST", b"/x", [(b"host", b"h")], b"", "kaje")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        async with replicas.Replicas().open(listing, work, 1_000) as run:
            notice = run.notice
        nursery.cancel_scope.cancel()
    return notice


async def test_caller_learns_that_its_request_is_sent() -> None:
    """Guards against a request that counts as not run while it is running."""
    sent: list[bytes] = []
    arrived = trio.Event()

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            sent.append(bytes(await stream.receive_some()))
            arrived.set()
            await trio.sleep_forever()

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    listing = directory.Listing("r0", "s", f"127.0.0.1:{port}", "z", 8)
    work = runs.Work("id-1", "POST", b"/x", [(b"host", b"h")], b"", "kaje")
    notes: list[int] = []
    client = replicas.Replicas()

    async def send() -> None:
        async with client.open(
            listing, work, 1_000, on_send=lambda: notes.append(len(sent))
        ):
            pass

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        nursery.start_soon(send)
        with trio.fail_after(1):
            await arrived.wait()
        nursery.cancel_scope.cancel()
    assert notes == [0]
    with pytest.raises(upstream_errors.ConnectError):
        await send()
    assert notes == [0]


async def test_load_limit_and_leaving_are_decoded() -> None:
    """Guards against ignoring what a replica asks for."""
    head = (
        b"200 OK\r\nServer-Load: 3,1,8\r\nServer-Limit: 2.5\r\n"
        b"Server-Leaving: 1\r\n"
    )
    assert await _notice(head) == runs.Notice(4, 2.5, True)
    assert await _notice(b"200 OK\r\n") == runs.Notice()


async def test_another_replicas_response_tells_nothing() -> None:
    """Guards against a limit that a replica at a reused address names."""
    head = (
        b"421 Misdirected\r\nServer-Load: 1,0,8,300\r\nServer-Limit: 2.5\r\n"
        b"Server-Leaving: 1\r\n"
    )
    assert await _notice(head) == runs.Notice()


async def test_slowness_of_a_host_is_decoded() -> None:
    """Guards against ignoring the fourth figure, or the others because of it.

    It is absent in older replicas.
    """
    head = b"200 OK\r\nServer-Load: 3,1,8,130\r\n"
    assert await _notice(head) == runs.Notice(4, slowness=1.3)


@pytest.mark.parametrize("value", [b"", b"x", b"-1", b"0", b"nan", b"1e999"])
async def test_malformed_slowness_is_ignored(value: bytes) -> None:
    """Guards against a figure that makes a replica look useless or free."""
    head = b"200 OK\r\nServer-Load: 3,1,8," + value + b"\r\n"
    assert await _notice(head) == runs.Notice(4)


@pytest.mark.parametrize("value", [b"", b"x", b"-1", b"nan", b"inf", b"1e999"])
async def test_malformed_limit_is_ignored(value: bytes) -> None:
    """Guards against a limit that stops all requests, or a failed request."""
    head = b"200 OK\r\nServer-Limit: " + value + b"\r\n"
    assert (await _notice(head)).rate_limit is None
