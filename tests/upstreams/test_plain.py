"""Tests of the client of plain services."""

from collections.abc import AsyncIterator
from typing import Any

import msgspec
import pytest
import trio
import trio.testing

from lacewingwood import clock
from lacewingwood import errors as base_errors
from lacewingwood.upstreams import errors
from lacewingwood.upstreams import plain
from standins import plain as standin
from tests.standins import serving

_CLOCK = clock.MonotonicClock()


class _Service:
    """A plain service and a client."""

    def __init__(self) -> None:
        self.plain = standin.Plain()
        self.client = plain.PlainClient(_CLOCK)
        self.address = ""

    async def start(self, nursery: trio.Nursery) -> "_Service":
        self.address = await serving.start(nursery, self.plain.handle)
        return self

    def request(self, method: str, path: str, **fields: Any) -> Any:
        defaults = {
            "headers": [],
            "body": b"",
            "deadline_ms": _CLOCK.now_ms() + 60_000,
        }
        return self.client.request(
            self.address, method, path, **(defaults | fields)
        )

    async def order(self, key: bytes) -> Any:
        headers = [(b"idempotency-key", key)]
        async with self.request("POST", "/orders", headers=headers) as response:
            return msgspec.json.decode(await response.read())


@pytest.mark.parametrize(
    ("where", "runs"),
    [
        (standin.Break.BEFORE_RUN, 0),
        (standin.Break.BEFORE_ANSWER, 1),
        (standin.Break.DURING_ANSWER, 1),
    ],
)
async def test_broken_request_may_have_run(
    nursery: trio.Nursery, where: standin.Break, runs: int
) -> None:
    """Guards against a request repeated, or lost, after a broken connection."""
    service = await _Service().start(nursery)
    service.plain.faults = standin.Faults(where, count=1)
    with pytest.raises(errors.BrokenError) as info:
        await service.order(b"k")
    assert info.value.ran is base_errors.Ran.MAY_HAVE_RUN
    assert (await service.order(b"k"))["executions"] == runs + 1


async def test_response_is_complete_if_the_connection_breaks_after_it(
    nursery: trio.Nursery,
) -> None:
    """Guards against reporting a failure for a request that succeeded."""
    service = await _Service().start(nursery)
    where = standin.Break.AFTER_ANSWER
    service.plain.faults = standin.Faults(where, count=1)
    assert (await service.order(b"k"))["executions"] == 1
    await trio.testing.wait_all_tasks_blocked(0.01)
    assert (await service.order(b"other"))["executions"] == 1


async def test_bodies_stream_both_ways_at_once(nursery: trio.Nursery) -> None:
    """Guards against buffering a whole request or response."""
    service = await _Service().start(nursery)
    send, receive = trio.open_memory_channel[bytes](0)
    async with service.request("POST", "/stream", body=receive) as response:
        for chunk in (b"one", b"two"):
            await send.send(chunk)
            assert await anext(response.body()) == chunk
        await send.aclose()
        assert await response.read() == b""


async def test_hop_by_hop_fields_are_not_forwarded(
    nursery: trio.Nursery,
) -> None:
    """Guards against callers controlling the framing of upstream requests."""
    service = await _Service().start(nursery)
    headers = [
        (b"X-Kept", b"1"),
        (b"Host", b"other"),
        (b"Content-Length", b"9"),
        (b"Transfer-Encoding", b"chunked"),
        (b"Connection", b"close"),
    ]
    async with service.request(
        "POST", "/anything", headers=headers, body=b"ab"
    ) as response:
        echo = msgspec.json.decode(await response.read())
    assert echo["body"] == "ab"
    assert echo["headers"] == {
        "host": service.address,
        "content-length": "2",
        "x-kept": "1",
    }


async def test_trailers_follow_the_body(nursery: trio.Nursery) -> None:
    """Guards against losing a status that a service sends in a trailer."""
    service = await _Service().start(nursery)
    async with service.request("POST", "/trailers", body=b"abc") as response:
        assert response.trailers == []
        assert await response.read() == b"abc"
        assert response.trailers == [(b"x-length", b"3")]


async def test_errors_of_the_context_propagate_from_a_streamed_request(
    nursery: trio.Nursery,
) -> None:
    """Guards against errors wrapped in exception groups and hung senders."""
    service = await _Service().start(nursery)

    async def endless() -> AsyncIterator[bytes]:
        yield b"one"
        await trio.sleep_forever()

    with pytest.raises(KeyError):
        async with service.request("POST", "/stream", body=endless()):
            raise KeyError
    with pytest.raises(errors.TimeoutError) as info:
        async with service.request(
            "POST",
            "/stream",
            body=endless(),
            deadline_ms=_CLOCK.now_ms() + 300,
        ) as response:
            await response.read()
    assert info.value.ran is base_errors.Ran.MAY_HAVE_RUN


async def test_response_without_a_body_is_complete(
    nursery: trio.Nursery,
) -> None:
    """Guards against regarding 204 and HEAD responses as truncated."""
    service = _Service()
    responses = [
        b"HTTP/1.1 204 No Content\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n",
    ]
    service.address = await serving.start_script(nursery, responses)
    for method in ("GET", "HEAD"):
        async with service.request(method, "/") as response:
            assert await response.read() == b""
