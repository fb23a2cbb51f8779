"""Measures the CPU time per chunk of relaying a streamed answer.

Compares a bare ASGI application that sends prepared events with the callers'
application, which reads them from a fake engine client. Each is called
directly and behind the HTTP server, with the client in the same process.
Prints JSON.
"""

import collections
import contextlib
import dataclasses
import functools
import hashlib
import json
import random
import resource
import statistics
import sys
from collections.abc import AsyncIterator
from typing import Any

import httpcore
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics
from lacewingwood.callers import app as apps
from lacewingwood.callers import dependencies
from lacewingwood.callers import server
from lacewingwood.hostlist import types as host_types
from lacewingwood.limits import limiter
from lacewingwood.routing import router as routers
from lacewingwood.state import records
from lacewingwood.upstreams import types as upstream_types

_CHUNKS = 2000
_STREAMS = 8
_ROUNDS = 5
_SECRET = "sk-bench"
_EVENT = json.dumps(
    {
        "id": "chatcmpl-1",
        "object": "chat.completion.chunk",
        "created": 1,
        "model": "m",
        "choices": [
            {"index": 0, "delta": {"content": " word"}, "finish_reason": None}
        ],
    }
).encode()
_BODY = json.dumps(
    {
        "model": "m",
        "stream": True,
        "messages": [{"role": "user", "content": "hello " * 200}],
    }
).encode()


async def _chunks() -> AsyncIterator[bytes]:
    """Yields events with a task switch before each, as reads of a socket do."""
    for _ in range(_CHUNKS):
        await trio.lowlevel.checkpoint()
        yield _EVENT


@dataclasses.dataclass
class _FakeAnswer:
    def chunks(self) -> AsyncIterator[bytes]:
        return _chunks()


class _FakeEngineClient:
    @contextlib.asynccontextmanager
    async def stream(self, *args: Any) -> AsyncIterator[_FakeAnswer]:
        yield _FakeAnswer()

    async def complete(self, *args: Any) -> bytes:
        return b""

    async def load(self, *args: Any) -> upstream_types.LoadReport:
        return upstream_types.LoadReport(
            running=0,
            waiting=0,
            slots=100,
            kv_used=0,
            step_ms=30,
            leaving=False,
            versions={},
            boot_id="b",
        )

    async def cache_events(self, *args: Any) -> list[upstream_types.CacheEvent]:
        return []


@dataclasses.dataclass
class _FakeView:
    customers: dict[str, records.Customer]
    routes: dict[str, records.Route]
    models: dict[str, records.Model]

    def authenticate(self, digest: str) -> str | None:
        expected = hashlib.sha256(_SECRET.encode()).hexdigest()
        return "bench" if digest == expected else None


@dataclasses.dataclass
class _FakeState:
    view: _FakeView

    def fresh(self) -> bool:
        return True


class _FakeLimiter:
    async def admit(self, *args: Any) -> limiter.Admitted:
        return limiter.Admitted()


class _BareApp:
    """ASGI application that sends the same events without any other work."""

    async def run_forever(self) -> None:
        await trio.sleep_forever()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        while (await receive()).get("more_body"):
            pass
        headers = [(b"content-type", b"text/event-stream")]
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": headers,
            }
        )
        async for chunk in _chunks():
            data = b"data: " + chunk + b"\n\n"
            await send(
                {"type": "http.response.body", "body": data, "more_body": True}
            )
        await send(
            {"type": "http.response.body", "body": b"", "more_body": False}
        )


def _make_app() -> apps.App:
    router = routers.Router(routers.Settings(), random.Random(1))
    host = host_types.Host("e1", "e1:1", "engine", "lm", "", "", "live")
    router.fleet.update_hosts([host])
    customer = records.Customer(name="bench", rate=1e6, burst=1_000_000)
    model = records.Model(name="m", service="lm", version="1")
    deps: Any = dependencies.Dependencies(
        state=_FakeState(_FakeView({"bench": customer}, {}, {"m": model})),
        limiter=_FakeLimiter(),
        router=router,
        engine_client=_FakeEngineClient(),
        clock=clocks.MonotonicClock(),
        metrics=metrics.Registry(),
        plain_client=None,  # type: ignore[arg-type]
        plain_router=router,
    )
    return apps.make_app(deps)


async def _read_stream(port: int) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        headers = [(b"Authorization", b"Bearer " + _SECRET.encode())]
        async with pool.stream(
            "POST",
            f"http://127.0.0.1:{port}/v1/chat/completions",
            headers=headers,
            content=_BODY,
        ) as response:
            assert response.status == 200
            async for _ in response.aiter_stream():
                pass


async def _measure_served(app: Any) -> float:
    """Returns the CPU time in us per chunk of server and client together."""
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        serve = functools.partial(
            server.serve, app, "127.0.0.1", 0, shutdown, 0
        )
        port = await nursery.start(serve)
        start = _cpu_us()
        async with trio.open_nursery() as clients:
            for _ in range(_STREAMS):
                clients.start_soon(_read_stream, port)
        spent = _cpu_us() - start
        shutdown.set()
    return spent / (_CHUNKS * _STREAMS)


async def _measure_app(app: Any) -> float:
    """Returns the CPU time in us per chunk of the application alone."""
    scope = {
        "type": "http",
        "method": "POST",
        "path": "/v1/chat/completions",
        "raw_path": b"/v1/chat/completions",
        "query_string": b"",
        "headers": [(b"authorization", b"Bearer " + _SECRET.encode())],
    }

    async def send(message: dict[str, Any]) -> None:
        await trio.lowlevel.checkpoint()

    start = _cpu_us()
    for _ in range(_STREAMS):
        queue, receive = trio.open_memory_channel[dict[str, Any]](2)
        queue.send_nowait({"type": "http.request", "body": _BODY})
        await app(scope, receive.receive, send)
    return (_cpu_us() - start) / (_CHUNKS * _STREAMS)


def _cpu_us() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return (usage.ru_utime + usage.ru_stime) * 1e6


async def _main() -> None:
    figures: dict[str, list[float]] = collections.defaultdict(list)
    for _ in range(_ROUNDS):
        figures["app_bare"].append(await _measure_app(_BareApp()))
        figures["app_ours"].append(await _measure_app(_make_app()))
        figures["served_bare"].append(await _measure_served(_BareApp()))
        figures["served_ours"].append(await _measure_served(_make_app()))
    added = zip(figures["app_ours"], figures["app_bare"], strict=True)
    figures["app_added"] = [ours - bare for ours, bare in added]
    result: dict[str, Any] = {
        f"{name}_cpu_us_per_chunk": round(statistics.median(values), 2)
        for name, values in figures.items()
    }
    result["chunks"] = _CHUNKS * _STREAMS * _ROUNDS
    json.dump(result, sys.stdout, indent=2)
    sys.stdout.write("\n")


if __name__ == "__main__":
    trio.run(_main)
