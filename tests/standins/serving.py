"""Servers on loopback addresses for tests."""

import functools

import trio

from standins import server


async def start(nursery: trio.Nursery, handle: server.Handler) -> str:
    """Serves on a free port and returns the address."""
    return await nursery.start(server.serve, handle, "127.0.0.1:0")


async def start_script(nursery: trio.Nursery, answers: list[bytes]) -> str:
    """Serves raw answers, one per connection, each after a single read."""
    remaining = list(answers)

    async def run(stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some()
            await stream.send_all(remaining.pop(0))

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    serve = functools.partial(trio.serve_listeners, run, listeners)
    nursery.start_soon(serve)
    host, port = listeners[0].socket.getsockname()[:2]
    return f"{host}:{port}"


async def unused_address() -> str:
    """Returns an address at which nothing listens."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    host, port = listeners[0].socket.getsockname()[:2]
    await listeners[0].aclose()
    return f"{host}:{port}"
