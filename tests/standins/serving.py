"""Servers on loopback addresses for tests."""

import functools

import trio

from standins import server


async def start(nursery: trio.Nursery, handle: server.Handler) -> str:
    """Starts a server on a free port and returns its address."""
    return await nursery.start(server.serve, handle, "127.0.0.1:0")


async def start_script(nursery: trio.Nursery, responses: list[bytes]) -> str:
    """Starts a server that sends one raw response on each connection.

    Args:
        nursery: Nursery in which the server runs.
        responses: Bytes to send on each connection in turn. The server reads
            once before it sends them and then closes the connection.

    Returns:
        The address of the server.
    """
    remaining = list(responses)

    async def respond(stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some()
            await stream.send_all(remaining.pop(0))

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    serve = functools.partial(trio.serve_listeners, respond, listeners)
    nursery.start_soon(serve)
    host, port = listeners[0].socket.getsockname()[:2]
    return f"{host}:{port}"


async def unused_address() -> str:
    """Returns an address on which no server listens."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    host, port = listeners[0].socket.getsockname()[:2]
    await listeners[0].aclose()
    return f"{host}:{port}"
