"""Tests of the engines' client against the stand-in and broken engines."""

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
_FAR_MS = 60_000


class _Fleet:
    """An engine stand-in, its address and a client."""

    def __init__(self, connections: int = 8, **settings: Any) -> None:
        sizes = batching.Settings(slots=4, step_ms=1)
        self.engine = standin.Engine(standin.Settings(sizes=sizes, **settings))
        self.client = engine.EngineClient(clock.MonotonicClock(), connections)
        self.address = ""
        self.clients: list[tuple[str, int]] = []

    async def start(self, nursery: trio.Nursery) -> "_Fleet":
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
        """Returns what became of a request, once that is settled."""
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
        answer = await self.client.complete(
            self.address, _CHAT, _body(**fields), request_id, math.inf
        )
        return msgspec.json.decode(answer)["choices"][0]["message"]["content"]


def _deadline_ms(left_ms: float = _FAR_MS) -> float:
    return clock.MonotonicClock().now_ms() + left_ms


def _body(content: str = "hello", **fields: Any) -> bytes:
    messages = [{"role": "user", "content": content}]
    body = {"model": "sabeel-lm", "messages": messages, "max_tokens": 5}
    return msgspec.json.encode(body | fields)


async def test_stream_equals_whole_answer_on_a_kept_connection(
    nursery: trio.Nursery,
) -> None:
    """Guards against lost tokens and a new connection for each stream."""
    fleet = await _Fleet().start(nursery)
    whole = await fleet.complete("r0")
    for index in range(1, 4):
        assert "".join(await fleet.stream(f"r{index}")) == whole
    assert len(set(fleet.clients)) == 1


async def test_only_given_headers_reach_the_engine(
    nursery: trio.Nursery,
) -> None:
    """Guards against a caller's key or cookie on its way to an engine."""
    fleet = await _Fleet().start(nursery)
    await fleet.stream("r1")
    (run,) = (await fleet.stats())["runs"]
    assert set(run["headers"]) == {
        "host",
        "content-type",
        "content-length",
        "x-request-id",
        "x-deadline-ms",
    }
    assert run["headers"]["x-request-id"] == "r1"


async def test_stream_left_early_cancels_and_closes(
    nursery: trio.Nursery,
) -> None:
    """Guards against the rest of one answer reaching the next request."""
    fleet = await _Fleet(report_lag_ms=0).start(nursery)
    fleet.engine.set_faults({"slow_factor": 50})
    body = _body(stream=True, max_tokens=60)
    async with fleet.client.stream(
        fleet.address, _CHAT, body, "r1", _deadline_ms()
    ) as stream:
        await anext(aiter(stream.chunks()))
    assert await fleet.outcome("r1") == "disconnected"
    first = fleet.clients[0]
    assert await fleet.stream("r2", content="other")
    assert first not in fleet.clients[1:]
    assert fleet.engine.load().running == 0


@hypothesis.settings(max_examples=20)
@hypothesis.given(broken_after=st.integers(0, 11), length=st.integers(12, 20))
def test_broken_stream_resumes_after_its_text(
    broken_after: int, length: int
) -> None:
    """Guards against tokens lost or repeated when a stream is resumed."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            fleet = await _Fleet().start(nursery)
            whole = await fleet.complete("r0", max_tokens=length)
            fleet.engine.faults.break_after_tokens = broken_after
            text: list[str] = []
            with pytest.raises(errors.BrokenError) as info:
                await fleet.stream_into(text, "r1", max_tokens=length)
            assert info.value.ran is _MAY_HAVE_RUN
            assert len(text) == broken_after
            fleet.engine.faults.break_after_tokens = -1
            text += await fleet.stream(
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
    """Guards against a refusal that says "not run" although it ran."""
    fleet = await _Fleet().start(nursery)
    fleet.engine.set_faults(faults)
    for send in (fleet.stream, fleet.complete):
        with pytest.raises(errors.RefusedError) as info:
            await send("r1", **fields)
        assert (info.value.ran, info.value.status) == (_NOT_RUN, status)
    stats = await fleet.stats()
    assert (stats["runs"], stats["refused"]) == ([], 2)


async def test_refusal_counts_though_its_body_is_cut_short(
    nursery: trio.Nursery,
) -> None:
    """Guards against losing a certain "not run" to a lost connection."""
    fleet = _Fleet()
    answer = b"HTTP/1.1 503 No\r\ncontent-length: 9\r\n\r\n{}"
    fleet.address = await serving.start_script(nursery, [answer])
    with pytest.raises(errors.RefusedError) as info:
        await fleet.complete("r1")
    assert info.value.ran is _NOT_RUN


async def test_unreachable_engine_is_not_run() -> None:
    """Guards against giving up on requests that could be sent elsewhere."""
    fleet = _Fleet()
    fleet.address = await serving.unused_address()
    with pytest.raises(errors.ConnectError) as info:
        await fleet.complete("r1")
    assert info.value.ran is _NOT_RUN


async def test_deadline_tells_whether_the_request_was_sent(
    nursery: trio.Nursery,
) -> None:
    """Guards against a wrong "not run" when an engine is slow."""
    fleet = await _Fleet(connections=1).start(nursery)
    fleet.engine.set_faults({"slow_factor": 1e6})
    with pytest.raises(errors.TimeoutError) as info:
        await fleet.client.complete(
            fleet.address, _CHAT, _body(), "r1", _deadline_ms(200)
        )
    assert info.value.ran is _MAY_HAVE_RUN
    async with fleet.client.stream(
        fleet.address, _CHAT, _body(stream=True), "r2", _deadline_ms()
    ):
        with pytest.raises(errors.TimeoutError) as info:
            await fleet.client.complete(
                fleet.address, _CHAT, _body(), "r3", _deadline_ms(200)
            )
    assert info.value.ran is _NOT_RUN
    runs = (await fleet.stats())["runs"]
    assert [run["request_id"] for run in runs] == ["r1", "r2"]


async def test_cancel_ends_the_stream_as_broken(nursery: trio.Nursery) -> None:
    """Guards against a cancelled stream that looks complete."""
    fleet = await _Fleet().start(nursery)
    body = _body(stream=True, max_tokens=60)
    async with fleet.client.stream(
        fleet.address, _CHAT, body, "r1", _deadline_ms()
    ) as stream:
        await anext(aiter(stream.chunks()))
        assert await fleet.client.cancel(fleet.address, "r1")
        with pytest.raises(errors.BrokenError):
            _ = [payload async for payload in stream.chunks()]
    assert await fleet.outcome("r1") == "cancelled"
    assert not await fleet.client.cancel(fleet.address, "r1")


_OK = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    ("answer", "error"),
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
async def test_broken_answers_may_have_run(
    nursery: trio.Nursery,
    answer: bytes,
    error: type[errors.UpstreamError] | None,
) -> None:
    """Guards against truncated, foreign or unbounded answers being passed on.

    Where no error is given, the answer breaks off between two chunks.
    """
    fleet = _Fleet()
    fleet.address = await serving.start_script(nursery, [answer])
    with pytest.raises(error or errors.BrokenError) as info:
        await fleet.complete("r1")
    assert info.value.ran is _MAY_HAVE_RUN


async def test_connection_closed_while_idle_is_not_reused(
    nursery: trio.Nursery,
) -> None:
    """Guards against requests sent into a connection known to be closed."""
    answer = _OK + b"content-length: 2\r\n\r\n{}"
    fleet = _Fleet()
    fleet.address = await serving.start_script(nursery, [answer, answer])
    for request_id in ("r1", "r2"):
        body = await fleet.client.complete(
            fleet.address, _CHAT, b"{}", request_id, _deadline_ms()
        )
        assert body == b"{}"
        await trio.testing.wait_all_tasks_blocked(0.01)


@pytest.mark.parametrize("check_fencing", [True, False])
async def test_orders_apply_once_and_in_order_of_fencing(
    nursery: trio.Nursery, check_fencing: bool
) -> None:
    """Guards against an old leader's order undoing a newer one."""
    fleet = await _Fleet(check_fencing=check_fencing).start(nursery)

    async def load(order_id: str, fencing: int, version: str) -> None:
        order = types.Order(order_id, fencing, "load", "sabeel-lm", version)
        await fleet.client.order(fleet.address, order)

    await load("o1", 7, "2")
    if check_fencing:
        with pytest.raises(errors.RefusedError) as info:
            await load("o2", 6, "1")
        assert info.value.status == 409
    await load("o1", 7, "2")
    await load("o3", 8, "3")
    await trio.testing.wait_all_tasks_blocked(0.01)
    assert len((await fleet.stats())["orders"]) == 2
    assert fleet.engine._orders.versions == {"sabeel-lm": "3"}


async def test_load_order_takes_weights_from_the_store(
    nursery: trio.Nursery,
) -> None:
    """Guards against a version reported as loaded without its weights."""
    store = weights.WeightStore({"sabeel-lm/2": 100_000}, 1e12, downloads=1)
    address = await serving.start(nursery, store.handle)
    fleet = await _Fleet(weights_url=f"http://{address}").start(nursery)
    orders = [
        types.Order(f"o{version}", version, "load", "sabeel-lm", str(version))
        for version in (2, 3)
    ]
    for order in orders:
        await fleet.client.order(fleet.address, order)
    outcomes = ["running"]
    with trio.fail_after(30):
        while "running" in outcomes:
            done = (await fleet.stats())["orders"]
            outcomes = [entry["outcome"] for entry in done]
    assert outcomes == ["done", "failed"]
    assert fleet.engine._orders.versions == {"sabeel-lm": "2"}


async def test_load_report_lags(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against routing that is tried only with current reports."""
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
    source = await _Fleet().start(nursery)
    target = await _Fleet().start(nursery)
    await source.complete("r1", content="x" * 1024)
    data = await source.client.export_kv(source.address, "r1")
    await target.client.import_kv(target.address, "r1", data)
    assert target.engine._cache.used == source.engine._cache.used > 0
    with pytest.raises(errors.RefusedError):
        await source.client.export_kv(source.address, "r2")
