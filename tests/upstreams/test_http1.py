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
