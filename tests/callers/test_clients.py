"""The callers' interface with the real clients and the stand-ins."""

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
    """Gives a world with two engines and one plain service."""
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


async def test_answer_is_the_same_over_a_broken_engine() -> None:
    """Guards against a resume_text that an engine does not go on from."""
    async with (
        _world() as (world, engines),
        world.serve() as served,
        served.client() as client,
    ):
        # Only then is it known that a replica that breaks has not crashed.
        known = world.router.fleet.all()
        await fakes.eventually(lambda: all(r.boot_id for r in known))
        content = fakes.body(stream=True, max_tokens=7)
        whole = await client.call("POST", fakes.CHAT, content)
        # Each answer breaks after three tokens: the first engine's, and the
        # second one's with half of the rest.
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
    """Guards against an upload cut short that a service takes for whole."""

    async def pieces(count: int) -> AsyncIterator[bytes]:
        for _ in range(count):
            yield b"x" * 50_000

    async with _world() as (world, _):
        world.deps.settings = dependencies.Settings(
            max_plain_body_bytes=1_000_000
        )
        async with world.serve() as served, served.client(http2) as client:
            whole = await client.call("POST", "/stream", pieces(20))
            assert whole.content == b"x" * 1_000_000
            echo = await client.call("POST", "/x?a=1", b"small")
            assert json.loads(echo.content)["body"] == "small"
            long = await client.call("POST", "/echo", pieces(21))
            assert long.status == 413
            assert fakes.error(long)["ran"] == "may_have_run"
            again = await client.call("GET", "/stats")
            assert again.status == 200
        (replica,) = world.plain_router.fleet.of_service("permits")
        assert replica.own == 0
        assert not served.app.running
