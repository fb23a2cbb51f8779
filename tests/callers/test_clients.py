"""Tests of the callers' interface with the real upstream clients."""

import contextlib
import json
from collections.abc import AsyncIterator

import pytest
import trio

from lacewingwood.callers import dependencies
from lacewingwood.hostlist import types as host_types
from lacewingwood.state import records
from lacewingwood.upstreams import engine as engine_client
from lacewingwood.upstreams import plain as plain_client
from standins import batching
from standins import engine as engine_standin
from standins import plain as plain_standin
from tests.callers import fakes
from tests.standins import serving


@contextlib.asynccontextmanager
async def _world() -> AsyncIterator[
    tuple[fakes.World, list[engine_standin.Engine]]
]:
    """Yields a world with two stand-in engines and one plain service."""
    world = fakes.World()
    sizes = batching.Settings(step_ms=1)
    settings = engine_standin.Settings(sizes=sizes, model="sabeel")
    engines = [engine_standin.Engine(settings) for _ in range(2)]
    async with trio.open_nursery() as nursery:
        hosts = []
        for i, engine in enumerate(engines):
            nursery.start_soon(engine.run)
            address = await serving.start(nursery, engine.handle)
            hosts.append(_host(f"e{i}", address, "engine", fakes.SERVICE))
        world.router.fleet.update_hosts(hosts)
        handle = plain_standin.Plain().handle
        address = await serving.start(nursery, handle)
        plain = _host("p1", address, "plain", "permits")
        world.plain_router.fleet.update_hosts([plain])
        world.deps.engine_client = engine_client.EngineClient(world.clock)
        world.deps.plain_client = plain_client.PlainClient(world.clock)
        world.state.view.routes["all"] = records.Route(
            name="all", prefix="/", service="permits"
        )
        yield world, engines
        nursery.cancel_scope.cancel()


def _host(name: str, address: str, kind: str, service: str) -> host_types.Host:
    return host_types.Host(name, address, kind, service, "z", "r", "live")


async def test_resumed_response_continues_the_original_text() -> None:
    """Guards against a resume_text from which an engine can't continue."""
    async with (
        _world() as (world, engines),
        world.serve() as served,
        served.client() as client,
    ):
        # A replica whose stream breaks is known not to have crashed only if
        # its boot id is known.
        known = world.router.fleet.all()
        await fakes.eventually(lambda: all(r.boot_id for r in known))
        content = fakes.body(stream=True, max_tokens=7)
        whole = await client.call("POST", fakes.CHAT, content)
        # Each engine breaks off after three tokens, so that the first two
        # responses hold six of the seven tokens.
        for engine in engines:
            engine.faults = engine_standin.Faults(break_after_tokens=3)
        broken = await client.call("POST", fakes.CHAT, content)
    error = fakes.events(broken.content)[-1]["error"]
    assert (error["code"], error["ran"]) == ("no_replica", "may_have_run")
    said = fakes.text(broken.content)
    assert fakes.text(whole.content).startswith(said)
    assert len(said.split()) == 6
    assert fakes.events(whole.content)[-1] == b"[DONE]"
    assert b"[DONE]" not in broken.content


@pytest.mark.parametrize("http2", [False, True], ids=["http1", "http2"])
async def test_uploads_are_streamed_and_bounded(http2: bool) -> None:
    """Guards against a truncated upload that a service takes for complete."""

    async def chunks(count: int) -> AsyncIterator[bytes]:
        for _ in range(count):
            yield b"x" * 50_000

    async with _world() as (world, _):
        world.deps.settings = dependencies.Settings(
            max_plain_body_bytes=1_000_000
        )
        async with world.serve() as served, served.client(http2) as client:
            whole = await client.call("POST", "/stream", chunks(20))
            assert whole.content == b"x" * 1_000_000
            echo = await client.call("POST", "/x?a=1", b"small")
            assert json.loads(echo.content)["body"] == "small"
            too_long = await client.call("POST", "/echo", chunks(21))
            assert too_long.status == 413
            assert fakes.error(too_long)["ran"] == "may_have_run"
            again = await client.call("GET", "/stats")
            assert again.status == 200
        (replica,) = world.plain_router.fleet.of_service("permits")
        assert replica.own_in_flight == 0
        assert not served.app.running
