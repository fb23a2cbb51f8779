"""Tests of the engine client against stand-in and broken engines."""

import math
from typing import Any

import hypothesis
import msgspec
import pytest
import trio
import trio.testing
from hypothesis import strategies as st

from lacewingwood import clock
from lacewingwood import errors as base_errors
from lacewingwood.upstreams import engine
from lacewingwood.upstreams import errors
from lacewingwood.upstreams import types
from standins import batching
from standins import engine as standin
from standins import server
from standins import weights
from tests.standins import serving

_CHAT = "/v1/chat/completions"
_NOT_RUN = base_errors.Ran.NOT_RUN
_MAY_HAVE_RUN = base_errors.Ran.MAY_HAVE_RUN
_LONG_MS = 60_000


class _EngineFixture:
    """An engine stand-in, its address and a client."""

    def __init__(self, connections: int = 8, **settings: Any) -> None:
        sizes = batching.Settings(slots=4, step_ms=1)
        self.engine = standin.Engine(standin.Settings(sizes=sizes, **settings))
        self.client = engine.EngineClient(clock.MonotonicClock(), connections)
        self.address = ""
        self.clients: list[tuple[str, int]] = []

    async def start(self, nursery: trio.Nursery) -> "_EngineFixture":
        nursery.start_soon(self.engine.run)
        self.address = await serving.start(nursery, self._handle)
        return self

    async def _handle(self, request: server.Request) -> None:
        self.clients.append(request.client)
        await self.engine.handle(request)

    async def stats(self) -> dict[str, Any]:
        body = await self.client._control(self.address, "GET", "/stats")
        return msgspec.json.decode(body)

    async def outcome(self, request_id: str) -> str:
        """Waits for the end of a request and returns its outcome."""
        outcome = "running"
        with trio.fail_after(30):
            while outcome == "running":
                runs = (await self.stats())["runs"]
                outcomes = {run["request_id"]: run["outcome"] for run in runs}
                outcome = outcomes[request_id]
        return outcome

    async def stream(self, request_id: str, **fields: Any) -> list[str]:
        text: list[str] = []
        await self.stream_into(text, request_id, **fields)
        return text

    async def stream_into(
        self, text: list[str], request_id: str, **fields: Any
    ) -> None:
        body = _body(stream=True, **fields)
        async with self.client.stream(
            self.address, _CHAT, body, request_id, _deadline_ms()
        ) as stream:
            async for payload in stream.chunks():
                choice = msgspec.json.decode(payload)["choices"][0]
                text.append(choice["delta"].get("content", ""))

    async def complete(self, request_id: str, **fields: Any) -> str:
        response = await self.client.complete(
            self.address, _CHAT, _body(**fields), request_id, math.inf
        )
        return msgspec.json.decode(response)["choices"][0]["message"]["content"]


def _deadline_ms(remaining_ms: float = _LONG_MS) -> float:
    return clock.MonotonicClock().now_ms() + remaining_ms


def _body(content: str = "hello", **fields: Any) -> bytes:
    messages = [{"role": "user", "content": content}]
    body = {"model": "sabeel-lm", "messages": messages, "max_tokens": 5}
    return msgspec.json.encode(body | fields)


async def test_stream_equals_whole_response_on_a_reused_connection(
    nursery: trio.Nursery,
) -> None:
    """Guards against lost tokens, and against a new connection per stream."""
    fixture = await _EngineFixture().start(nursery)
    whole = await fixture.complete("r0")
    for index in range(1, 4):
        assert "".join(await fixture.stream(f"r{index}")) == whole
    assert len(set(fixture.clients)) == 1


async def test_only_given_headers_reach_the_engine(
    nursery: trio.Nursery,
) -> None:
    """Guards against forwarding a caller's key or cookie to an engine."""
    fixture = await _EngineFixture().start(nursery)
    await fixture.stream("r1")
    (run,) = (await fixture.stats())["runs"]
    assert set(run["headers"]) == {
        "host",
        "content-type",
        "content-length",
        "x-request-id",
        "x-deadline-ms",
    }
    assert run["headers"]["x-request-id"] == "r1"


async def test_stream_left_early_is_cancelled_and_closed(
    nursery: trio.Nursery,
) -> None:
    """Guards against the rest of one response reaching the next request."""
    fixture = await _EngineFixture(report_lag_ms=0).start(nursery)
    fixture.engine.set_faults({"slow_factor": 50})
    body = _body(stream=True, max_tokens=60)
    async with fixture.client.stream(
        fixture.address, _CHAT, body, "r1", _deadline_ms()
    ) as stream:
        await anext(aiter(stream.chunks()))
    assert await fixture.outcome("r1") == "disconnected"
    first = fixture.clients[0]
    assert await fixture.stream("r2", content="other")
    assert first not in fixture.clients[1:]
    assert fixture.engine.load().running == 0


@hypothesis.settings(max_examples=20)
@hypothesis.given(broken_after=st.integers(0, 11), length=st.integers(12, 20))
def test_broken_stream_resumes_after_received_text(
    broken_after: int, length: int
) -> None:
    """Guards against tokens lost or repeated when a stream is resumed."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            fixture = await _EngineFixture().start(nursery)
            whole = await fixture.complete("r0", max_tokens=length)
            fixture.engine.faults.break_after_tokens = broken_after
            text: list[str] = []
            with pytest.raises(errors.BrokenError) as info:
                await fixture.stream_into(text, "r1", max_tokens=length)
            assert info.value.ran is _MAY_HAVE_RUN
            assert len(text) == broken_after
            fixture.engine.faults.break_after_tokens = -1
            text += await fixture.stream(
                "r2", max_tokens=length, resume_text="".join(text)
            )
            assert "".join(text) == whole
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize(
    ("faults", "fields", "status"),
    [
        ({}, {"content": "BAD-ITEM"}, 400),
        ({}, {"model": "other"}, 404),
        ({"refuse": True}, {}, 429),
        ({"leaving": True}, {}, 503),
    ],
)
async def test_refusals_are_not_run(
    nursery: trio.Nursery,
    faults: dict[str, Any],
    fields: dict[str, Any],
    status: int,
) -> None:
    """Guards against reporting a refused request as not run although it ran."""
    fixture = await _EngineFixture().start(nursery)
    fixture.engine.set_faults(faults)
    for send in (fixture.stream, fixture.complete):
        with pytest.raises(errors.RefusedError) as info:
            await send("r1", **fields)
        assert (info.value.ran, info.value.status) == (_NOT_RUN, status)
    stats = await fixture.stats()
    assert (stats["runs"], stats["refused"]) == ([], 2)


@pytest.mark.parametrize(
    ("echoed", "second_id"),
    [(b"x-request-id: r1\r\n", "r2"), (b"", "r2"), (b"", "r1")],
    ids=["other request", "no id", "no id, same request"],
)
async def test_copy_of_an_earlier_refusal_refuses_nothing(
    nursery: trio.Nursery, echoed: bytes, second_id: str
) -> None:
    """Guards against calling a request not run because of an old refusal."""
    refusal = b"HTTP/1.1 503 No\r\n%scontent-length: 2\r\n\r\n{}" % echoed
    opened = 0

    async def serve(stream: trio.SocketStream) -> None:
        nonlocal opened
        opened += 1
        async with stream:
            while await stream.receive_some():
                await stream.send_all(refusal)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    fixture = _EngineFixture()
    port = listeners[0].socket.getsockname()[1]
    fixture.address = f"127.0.0.1:{port}"
    with pytest.raises(errors.RefusedError):
        await fixture.complete("r1")
    with pytest.raises(errors.UpstreamError) as info:
        await fixture.complete(second_id)
    # On a new connection there is no earlier refusal.
    assert info.value.ran is (_MAY_HAVE_RUN if opened == 1 else _NOT_RUN)


async def test_refusal_with_truncated_body_is_not_run(
    nursery: trio.Nursery,
) -> None:
    """Guards against a lost connection hiding that a request did not run."""
    fixture = _EngineFixture()
    response = b"HTTP/1.1 503 No\r\ncontent-length: 9\r\n\r\n{}"
    fixture.address = await serving.start_script(nursery, [response])
    with pytest.raises(errors.RefusedError) as info:
        await fixture.complete("r1")
    assert info.value.ran is _NOT_RUN


async def test_unreachable_engine_is_not_run() -> None:
    """Guards against failing requests that another engine could run."""
    fixture = _EngineFixture()
    fixture.address = await serving.unused_address()
    with pytest.raises(errors.ConnectError) as info:
        await fixture.complete("r1")
    assert info.value.ran is _NOT_RUN


async def test_deadline_tells_whether_the_request_was_sent(
    nursery: trio.Nursery,
) -> None:
    """Guards against reporting a request to a slow engine as not run."""
    fixture = await _EngineFixture(connections=1).start(nursery)
    fixture.engine.set_faults({"slow_factor": 1e6})
    with pytest.raises(errors.TimeoutError) as info:
        await fixture.client.complete(
            fixture.address, _CHAT, _body(), "r1", _deadline_ms(200)
        )
    assert info.value.ran is _MAY_HAVE_RUN
    async with fixture.client.stream(
        fixture.address, _CHAT, _body(stream=True), "r2", _deadline_ms()
    ):
        with pytest.raises(errors.TimeoutError) as info:
            await fixture.client.complete(
                fixture.address, _CHAT, _body(), "r3", _deadline_ms(200)
            )
    assert info.value.ran is _NOT_RUN
    runs = (await fixture.stats())["runs"]
    assert [run["request_id"] for run in runs] == ["r1", "r2"]


async def test_cancelled_stream_is_broken(nursery: trio.Nursery) -> None:
    """Guards against a cancelled stream that looks complete."""
    fixture = await _EngineFixture().start(nursery)
    body = _body(stream=True, max_tokens=60)
    async with fixture.client.stream(
        fixture.address, _CHAT, body, "r1", _deadline_ms()
    ) as stream:
        await anext(aiter(stream.chunks()))
        assert await fixture.client.cancel(fixture.address, "r1")
        with pytest.raises(errors.BrokenError):
            _ = [payload async for payload in stream.chunks()]
    assert await fixture.outcome("r1") == "cancelled"
    assert not await fixture.client.cancel(fixture.address, "r1")


_OK = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    ("response", "error"),
    [
        (b"", errors.BrokenError),
        (b"nonsense\r\n\r\n", errors.BrokenError),
        (b"HTTP/1.1 200", errors.BrokenError),
        (_OK + b"content-length: 9\r\n\r\n{}", errors.BrokenError),
        (_OK + b"\r\n{}", errors.BrokenError),
        (_OK + b"transfer-encoding: chunked\r\n\r\n2\r\n{}\r\n", None),
        (b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n", errors.BrokenError),
        (
            _OK + b"x-request-id: r2\r\ncontent-length: 2\r\n\r\n{}",
            errors.InvalidResponseError,
        ),
    ],
)
async def test_broken_responses_may_have_run(
    nursery: trio.Nursery,
    response: bytes,
    error: type[errors.UpstreamError] | None,
) -> None:
    """Guards against returning truncated, misdirected or unframed responses.

    Where no error is given, the response breaks off between two chunks.
    """
    fixture = _EngineFixture()
    fixture.address = await serving.start_script(nursery, [response])
    with pytest.raises(error or errors.BrokenError) as info:
        await fixture.complete("r1")
    assert info.value.ran is _MAY_HAVE_RUN


async def test_connection_closed_while_idle_is_not_reused(
    nursery: trio.Nursery,
) -> None:
    """Guards against sending requests on a connection known to be closed."""
    response = _OK + b"content-length: 2\r\n\r\n{}"
    fixture = _EngineFixture()
    fixture.address = await serving.start_script(nursery, [response, response])
    for request_id in ("r1", "r2"):
        body = await fixture.client.complete(
            fixture.address, _CHAT, b"{}", request_id, _deadline_ms()
        )
        assert body == b"{}"
        await trio.testing.wait_all_tasks_blocked(0.01)


@pytest.mark.parametrize("check_fencing", [True, False])
async def test_orders_apply_once_and_in_fencing_order(
    nursery: trio.Nursery, check_fencing: bool
) -> None:
    """Guards against an old leader's order undoing a newer one."""
    fixture = await _EngineFixture(check_fencing=check_fencing).start(nursery)

    async def load(order_id: str, fencing: int, version: str) -> None:
        order = types.Order(order_id, fencing, "load", "sabeel-lm", version)
        await fixture.client.order(fixture.address, order)

    await load("o1", 7, "2")
    if check_fencing:
        with pytest.raises(errors.RefusedError) as info:
            await load("o2", 6, "1")
        assert info.value.status == 409
    await load("o1", 7, "2")
    await load("o3", 8, "3")
    await trio.testing.wait_all_tasks_blocked(0.01)
    assert len((await fixture.stats())["orders"]) == 2
    assert fixture.engine._orders.versions == {"sabeel-lm": "3"}


async def test_load_order_downloads_weights_from_the_store(
    nursery: trio.Nursery,
) -> None:
    """Guards against a version reported as loaded without its weights."""
    store = weights.WeightStore({"sabeel-lm/2": 100_000}, 1e12, downloads=1)
    address = await serving.start(nursery, store.handle)
    fixture = await _EngineFixture(weights_url=f"http://{address}").start(
        nursery
    )
    orders = [
        types.Order(f"o{version}", version, "load", "sabeel-lm", str(version))
        for version in (2, 3)
    ]
    for order in orders:
        await fixture.client.order(fixture.address, order)
    outcomes = ["running"]
    with trio.fail_after(30):
        while "running" in outcomes:
            done = (await fixture.stats())["orders"]
            outcomes = [entry["outcome"] for entry in done]
    assert outcomes == ["done", "failed"]
    assert fixture.engine._orders.versions == {"sabeel-lm": "2"}


async def test_load_report_lags(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against testing routing only with up-to-date reports."""
    loaded = standin.Engine(standin.Settings(report_lag_ms=500))
    await trio.sleep(1)
    loaded.set_faults({"leaving": True})
    await trio.sleep(0.4)
    assert not loaded.load().leaving
    await trio.sleep(0.2)
    assert loaded.load().leaving


async def test_exported_cache_is_imported_elsewhere(
    nursery: trio.Nursery,
) -> None:
    """Guards against a transfer that leaves the other engine's cache empty."""
    source = await _EngineFixture().start(nursery)
    target = await _EngineFixture().start(nursery)
    await source.complete("r1", content="x" * 1024)
    data = await source.client.export_kv(source.address, "r1")
    await target.client.import_kv(target.address, "r1", data)
    assert target.engine._cache.used == source.engine._cache.used > 0
    with pytest.raises(errors.RefusedError):
        await source.client.export_kv(source.address, "r2")
