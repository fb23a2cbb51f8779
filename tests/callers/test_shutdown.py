"""Tests of a planned shutdown with idle connections."""

import json

import trio
import trio.testing

from tests.callers import fakes


def _request() -> bytes:
    body = json.dumps(
        {"model": "sabeel", "messages": [{"role": "user", "content": "x"}]}
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
        f"authorization: Bearer {fakes.SECRET}\r\n"
        "content-type: application/json\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def _read_response(stream: trio.SocketStream) -> None:
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive_some()
    head, _, rest = data.partition(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    while len(rest) < length:
        rest += await stream.receive_some()


async def test_idle_connections_do_not_delay_a_shutdown() -> None:
    """Guards against a planned shutdown that waits for idle connections.

    If sending a response's last chunk is cancelled before the server has
    marked the connection as idle, nothing closes the connection.
    """
    async with fakes.World().serve() as served:
        stream = await trio.open_tcp_stream("127.0.0.1", served.port)
        await stream.send_all(_request())
        await _read_response(stream)
        served.shutdown.set()
        with trio.fail_after(30):
            assert await stream.receive_some() == b""
