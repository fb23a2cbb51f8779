"""Tests of inference streams: resumption, cancellation and retries."""

from collections.abc import AsyncIterator
from typing import Any

import pytest
import trio

from lacewingwood.routing import fair_queue
from lacewingwood.upstreams import errors as upstream_errors
from lacewingwood.upstreams import types as upstream_types
from tests.callers import fakes

_WORDS = ("Yes", ", ", "until ", "noon", ".")


def _break_first(world: fakes.World, *words: str) -> None:
    """Makes the first request break after `words`; later ones complete."""
    broken = fakes.script(*words, error=upstream_errors.BrokenError("cut"))
    whole = fakes.script(*_WORDS)

    def run(body: dict[str, Any]) -> AsyncIterator[bytes]:
        return (broken if len(world.engines.seen) == 1 else whole)(body)

    world.engines.scripts["*"] = run


def _hang(world: fakes.World) -> None:
    """Makes engines send one word and then nothing."""

    async def run(body: dict[str, Any]) -> AsyncIterator[bytes]:
        yield fakes.event("Yes")
        await trio.sleep_forever()

    world.engines.scripts["*"] = run


@pytest.mark.parametrize("said", [0, 1, 3, 5])
async def test_broken_stream_is_resumed_on_another_replica(said: int) -> None:
    """Guards against text that is lost or repeated when engines change."""
    world = fakes.World()
    _break_first(world, *_WORDS[:said])
    async with world.serve() as served, served.client() as client:
        got = await client.call("POST", fakes.CHAT, fakes.body(stream=True))
    assert fakes.text(got.content) == "".join(_WORDS)
    assert fakes.events(got.content)[-1] == b"[DONE]"
    assert got.content.count(b"[DONE]") == 1
    (first, _), (second, body) = world.engines.seen
    assert first != second
    assert body.get("resume_text", "") == "".join(_WORDS[:said])


async def test_unfinished_stream_ends_with_an_error() -> None:
    """Guards against truncated responses that look complete."""
    world = fakes.World()
    _break_first(world, "Yes")
    async with world.serve() as served, served.client() as client:
        got = await client.call(
            "POST", fakes.CHAT, fakes.body(stream=True, n=2)
        )
    last = fakes.events(got.content)[-1]
    assert last["error"]["ran"] == "may_have_run"
    assert b"[DONE]" not in got.content
    assert len(world.engines.seen) == 1


async def test_stream_cut_after_its_finish_reason_is_complete() -> None:
    """Guards against running a request again for its lost last bytes."""
    world = fakes.World()

    async def run(body: dict[str, Any]) -> AsyncIterator[bytes]:
        yield fakes.event("Yes")
        yield fakes.event("", "stop")
        raise upstream_errors.BrokenError("cut")

    world.engines.scripts["*"] = run
    async with world.serve() as served, served.client() as client:
        got = await client.call("POST", fakes.CHAT, fakes.body(stream=True))
    assert fakes.events(got.content)[-1] == b"[DONE]"
    assert len(world.engines.seen) == 1


@pytest.mark.parametrize("cause", ["withdrawn", "stale"])
async def test_stream_ends_when_its_key_is_not_valid(cause: str) -> None:
    """Guards against streams whose key was withdrawn or can't be checked."""
    world = fakes.World()
    world.state.view.add_key("sk-other", "inspectors")
    _hang(world)
    async with (
        world.serve() as served,
        served.client() as client,
        client.stream() as got,
        client.stream(secret="sk-other") as other,
    ):
        chunks = got.aiter_stream()
        assert b"Yes" in await anext(chunks)
        if cause == "withdrawn":
            world.state.view.keys = {
                digest: customer
                for digest, customer in world.state.view.keys.items()
                if customer == "inspectors"
            }
        else:
            world.state.is_fresh = False
        rest = b"".join([chunk async for chunk in chunks])
        assert fakes.events(rest)[-1]["error"]["ran"] == "may_have_run"
        assert b"[DONE]" not in rest
        assert len(served.app.running) == (cause == "withdrawn")
        await other.aclose()


async def test_engine_request_is_cancelled_on_disconnect() -> None:
    """Guards against requests that run on after their caller disconnected."""
    world = fakes.World()
    _hang(world)
    for http2 in (False, True):
        async with world.serve() as served, served.client(http2) as client:
            async with client.stream() as got:
                await anext(got.aiter_stream())
                await got.aclose()
            if http2:
                await client.pool.aclose()
            await fakes.eventually(lambda: not served.app.running)
    assert world.engines.cancelled == 2
    assert all(
        r.own_in_flight == 0 for r in world.router.fleet.of_service("sabeel-lm")
    )


async def test_failures_before_the_first_token_are_retried() -> None:
    """Guards against failing requests that another replica can serve."""
    world = fakes.World()
    failures: list[Exception] = [
        upstream_errors.ConnectError("refused"),
        upstream_errors.RefusedError("busy", 503, b""),
    ]

    async def run(body: dict[str, Any]) -> AsyncIterator[bytes]:
        if failures:
            raise failures.pop()
        yield fakes.event("Yes", "stop")

    world.engines.scripts["*"] = run
    async with world.serve() as served, served.client() as client:
        got = await client.call("POST", fakes.CHAT, fakes.body())
        assert got.status == 200
        assert len({address for address, _ in world.engines.seen}) == 3
        failures += [upstream_errors.ConnectError("refused")] * 3
        got = await client.call("POST", fakes.CHAT, fakes.body())
    assert got.status == 503
    assert fakes.error(got)["ran"] == "not_run"
    assert fakes.header(got, b"retry-after")


async def test_not_run_is_reported_only_if_no_attempt_may_have_run() -> None:
    """Guards against a false "not_run" after an attempt that broke off."""
    world = fakes.World()
    failures: list[Exception] = [
        upstream_errors.ConnectError("refused"),
        upstream_errors.ConnectError("refused"),
        upstream_errors.BrokenError("cut"),
    ]

    async def run(body: dict[str, Any]) -> AsyncIterator[bytes]:
        raise failures.pop()
        yield b""

    world.engines.scripts["*"] = run
    async with world.serve() as served, served.client() as client:
        got = await client.call("POST", fakes.CHAT, fakes.body())
    assert not failures
    assert got.status == 502
    assert fakes.error(got)["ran"] == "may_have_run"
    assert not fakes.header(got, b"retry-after")


async def test_waiting_requests_are_placed_in_turn() -> None:
    """Guards against overloading engines and against leaked slots."""
    world = fakes.World()
    for host in world.hosts:
        report = upstream_types.LoadReport(0, 0, 1, 0, 30, False, {}, "b")
        world.router.fleet.apply_load(host.id, report)
    go_on = trio.Event()
    running = most = 0

    async def run(body: dict[str, Any]) -> AsyncIterator[bytes]:
        nonlocal running, most
        running += 1
        most = max(most, running)
        try:
            await go_on.wait()
        finally:
            running -= 1
        yield fakes.event("Yes", "stop")

    world.engines.scripts["*"] = run
    statuses: list[int] = []

    async def call(client: fakes.Client, deadline_ms: bytes) -> None:
        headers = [*fakes.bearer(), (b"X-Deadline-Ms", deadline_ms)]
        got = await client.call("POST", fakes.CHAT, fakes.body(), headers)
        statuses.append(got.status)

    async with (
        world.serve() as served,
        served.client() as client,
        trio.open_nursery() as nursery,
    ):
        for _ in range(3):
            nursery.start_soon(call, client, b"60000")
        await fakes.eventually(lambda: running == 3)
        await call(client, b"30")
        assert statuses == [503]
        for _ in range(5):
            nursery.start_soon(call, client, b"60000")
        await fakes.eventually(lambda: len(served.app.running) == 8)
        go_on.set()
    assert statuses == [503, *[200] * 8]
    assert most == 3
    assert all(
        r.own_in_flight == 0 for r in world.router.fleet.of_service("sabeel-lm")
    )


async def test_customers_are_charged_for_the_tokens_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against charging for max_tokens instead of the tokens used."""
    world = fakes.World()
    charged: list[float] = []

    def correct(
        queue: fair_queue.FairQueue, ticket: fair_queue.Ticket, tokens: float
    ) -> None:
        charged.append(ticket.cost - tokens)

    monkeypatch.setattr(fair_queue.FairQueue, "correct", correct)
    body = fakes.body(stream=True, max_tokens=100)
    async with world.serve() as served, served.client() as client:
        await client.call("POST", fakes.CHAT, body)
    assert charged == [100 - len(("Hello", " ", "there", ""))]


async def test_request_that_crashes_replicas_reaches_two() -> None:
    """Guards against a request that is retried until no replica is left."""
    world = fakes.World()
    world.engines.scripts["*"] = fakes.script(
        error=upstream_errors.BrokenError("crashed")
    )
    async with world.serve() as served, served.client() as client:
        headers = [*fakes.bearer(), (b"X-Deadline-Ms", b"200")]
        for _ in range(3):
            got = await client.call("POST", fakes.CHAT, fakes.body(), headers)
            assert got.status >= 500
    lost = {address for address, _ in world.engines.seen}
    assert len(lost) == len(world.engines.seen) == 2
