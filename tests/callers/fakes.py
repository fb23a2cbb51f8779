"""Fakes of the dependencies of the callers' interface."""

import contextlib
import dataclasses
import hashlib
import json
import random
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Any

import httpcore
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics
from lacewingwood.callers import app as apps
from lacewingwood.callers import client_limits
from lacewingwood.callers import dependencies
from lacewingwood.callers import server
from lacewingwood.hostlist import types as host_types
from lacewingwood.limits import limiter
from lacewingwood.routing import router as routers
from lacewingwood.state import records
from lacewingwood.upstreams import errors as upstream_errors
from lacewingwood.upstreams import types as upstream_types

SECRET = "sk-tanta-1"
SERVICE = "sabeel-lm"


@dataclasses.dataclass
class View:
    """A view that tests change directly."""

    customers: dict[str, Any] = dataclasses.field(default_factory=dict)
    keys: dict[str, str] = dataclasses.field(default_factory=dict)
    routes: dict[str, records.Route] = dataclasses.field(default_factory=dict)
    models: dict[str, records.Model] = dataclasses.field(default_factory=dict)

    def authenticate(self, digest: str) -> str | None:
        return self.keys.get(digest)

    def add_key(self, secret: str, customer: str) -> None:
        self.keys[hashlib.sha256(secret.encode()).hexdigest()] = customer
        self.customers[customer] = records.Customer(customer, 100.0, 200)


class State:
    """State that is fresh until a test sets `is_fresh` to False."""

    def __init__(self) -> None:
        self.view = View()
        self.is_fresh = True

    def fresh(self) -> bool:
        return self.is_fresh


class Limiter:
    """Limiter with the same decision for all requests."""

    def __init__(self) -> None:
        self.decision: limiter.Admitted | limiter.Refused = limiter.Admitted()

    async def admit(
        self, customer: records.Customer, deadline_ms: float
    ) -> limiter.Admitted | limiter.Refused:
        return self.decision


Script = Callable[[dict[str, Any]], AsyncIterator[bytes]]


class EngineClient:
    """Engine client whose engines run scripts; records the requests.

    Attributes:
        scripts: Scripts by address, `*` for all others.
        seen: Address and decoded body of each request.
        ids: Request ids of the streamed requests.
        cancelled: Number of cancelled streams.
    """

    def __init__(self) -> None:
        self.scripts: dict[str, Script] = {}
        self.seen: list[tuple[str, dict[str, Any]]] = []
        self.ids: list[str] = []
        self.cancelled = 0

    @contextlib.asynccontextmanager
    async def stream(
        self,
        address: str,
        path: str,
        body: bytes,
        request_id: str,
        deadline_ms: float,
    ) -> AsyncIterator[Any]:
        self.seen.append((address, json.loads(body)))
        self.ids.append(request_id)
        try:
            yield _EngineStream(self._script(address)(json.loads(body)))
        except trio.Cancelled:
            self.cancelled += 1
            raise

    async def complete(
        self,
        address: str,
        path: str,
        body: bytes,
        request_id: str,
        deadline_ms: float,
    ) -> bytes:
        self.seen.append((address, json.loads(body)))
        text = ""
        async for data in self._script(address)(json.loads(body)):
            choice = json.loads(data)["choices"][0]
            text += choice["delta"].get("content") or ""
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        return json.dumps(
            {**_base("chat.completion"), "choices": [choice]}
        ).encode()

    async def load(self, address: str) -> upstream_types.LoadReport:
        raise upstream_errors.ConnectError("no reports here")

    async def cache_events(
        self, address: str, start: int
    ) -> list[upstream_types.CacheEvent]:
        return []

    def _script(self, address: str) -> Script:
        return self.scripts.get(address) or self.scripts["*"]


@dataclasses.dataclass
class _EngineStream:
    script: AsyncIterator[bytes]

    def chunks(self) -> AsyncIterator[bytes]:
        return self.script


def _base(kind: str) -> dict[str, Any]:
    return {"id": "c1", "object": kind, "created": 1, "model": "sabeel"}


def event(text: str, finish: str | None = None) -> bytes:
    """Returns the data of one event of a chat completion."""
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
    value = {**_base("chat.completion.chunk"), "choices": [choice]}
    return json.dumps(value).encode()


def script(*words: str, error: Exception | None = None) -> Script:
    """Returns a script that sends `words`, then fails or finishes.

    Words that are in the request's resume_text are left out.
    """

    async def run(body: dict[str, Any]) -> AsyncIterator[bytes]:
        left = "".join(words).removeprefix(body.get("resume_text", ""))
        for word in words:
            if left and left.startswith(word):
                left = left.removeprefix(word)
                yield event(word)
        if error is not None:
            raise error
        yield event("", "stop")

    return run


@dataclasses.dataclass
class Response:
    """A response of a plain service."""

    status: int
    headers: list[tuple[bytes, bytes]]
    content: AsyncIterator[bytes]
    trailers: list[tuple[bytes, bytes]]

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self.content


@dataclasses.dataclass
class Sent:
    """A request that a plain service received."""

    address: str
    method: str
    path: str
    headers: dict[bytes, bytes]
    body: bytes


class PlainClient:
    """Client of a plain service that echoes bodies.

    Attributes:
        sent: The requests that the service received.
        errors: Errors that the next requests raise.
        silent: True if no response ever comes.
        connects: False if no connection is ever made.
    """

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        self.errors: list[Exception] = []
        self.silent = False
        self.connects = True

    @contextlib.asynccontextmanager
    async def request(
        self,
        address: str,
        method: str,
        path: str,
        *,
        headers: Any,
        body: bytes | AsyncIterator[bytes],
        deadline_ms: float,
        on_send: Callable[[], None] = lambda: None,
    ) -> AsyncIterator[Response]:
        if not self.connects:
            await trio.sleep_forever()
        on_send()
        got = body if isinstance(body, bytes) else b""
        if not isinstance(body, bytes):
            got = b"".join([chunk async for chunk in body])
        self.sent.append(Sent(address, method, path, dict(headers), got))
        if self.errors:
            raise self.errors.pop(0)
        if self.silent:
            await trio.sleep_forever()

        async def echo() -> AsyncIterator[bytes]:
            yield got

        yield Response(200, [(b"etag", b"1")], echo(), [(b"x-sum", b"7")])


class World:
    """Fake dependencies.

    There are three replicas of an engine service and three hosts of a plain
    service.
    """

    def __init__(self) -> None:
        self.state = State()
        self.limiter = Limiter()
        self.engines = EngineClient()
        self.clock = clocks.MonotonicClock()
        self.router = routers.Router(routers.Settings(), random.Random(1))
        self.hosts = [
            host_types.Host(
                id=f"e{i}",
                address=f"127.0.0.1:{i}",
                kind="engine",
                service=SERVICE,
                zone="tanta-a",
                region="delta-north",
                state="live",
            )
            for i in range(1, 4)
        ]
        self.router.fleet.update_hosts(self.hosts)
        self.plain = PlainClient()
        self.plain_router = routers.Router(
            routers.Settings(), random.Random(1), kind="plain"
        )
        self.plain_router.fleet.update_hosts(
            [
                host_types.Host(
                    f"p{i}", f"p{i}", "plain", "permits", "", "", "live"
                )
                for i in range(3)
            ]
        )
        self.state.view.models["sabeel"] = records.Model(
            name="sabeel", service=SERVICE, version="1"
        )
        self.state.view.add_key(SECRET, "vendors")
        self.engines.scripts["*"] = script("Hello", " ", "there")
        self.deps = dependencies.Dependencies(
            state=self.state,
            limiter=self.limiter,
            router=self.router,
            engine_client=self.engines,
            plain_client=self.plain,
            plain_router=self.plain_router,
            clock=self.clock,
            metrics=metrics.Registry(),
            settings=dependencies.Settings(
                check_interval_ms=5, stale_grace_ms=0
            ),
        )

    @contextlib.asynccontextmanager
    async def serve(
        self,
        drain_ms: float = 0,
        enforcer: client_limits.Enforcer | None = None,
    ) -> AsyncIterator["Served"]:
        """Serves on a loopback port until the block ends."""
        app = apps.make_app(self.deps)
        shutdown = trio.Event()
        async with trio.open_nursery() as nursery:

            async def run(
                task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
            ) -> None:
                await server.serve(
                    app,
                    "127.0.0.1",
                    0,
                    shutdown,
                    drain_ms,
                    enforcer=enforcer,
                    task_status=task_status,
                )

            port = await nursery.start(run)
            yield Served(port, shutdown, app)
            shutdown.set()


@dataclasses.dataclass
class Served:
    """A running server."""

    port: int
    shutdown: trio.Event
    app: apps.App

    @contextlib.asynccontextmanager
    async def client(self, http2: bool = False) -> AsyncIterator["Client"]:
        """Yields a client that keeps its connections alive."""
        pool = httpcore.AsyncConnectionPool(
            http1=not http2, http2=http2, max_connections=1 if http2 else 20
        )
        async with pool:
            yield Client(pool, f"http://127.0.0.1:{self.port}")


@dataclasses.dataclass
class Client:
    """An HTTP client with a valid API key."""

    pool: httpcore.AsyncConnectionPool
    base: str

    async def call(
        self,
        method: str,
        path: str,
        content: Any = None,
        headers: Any = None,
        secret: str = SECRET,
    ) -> httpcore.Response:
        """Sends a request and returns the complete response.

        If `headers` are given, they are sent instead of the API key's header.
        """
        sent = headers if headers is not None else bearer(secret)
        return await self.pool.request(
            method, self.base + path, headers=sent, content=content
        )

    def stream(self, **fields: Any) -> Any:
        """Returns a context manager that streams a chat completion."""
        secret = fields.pop("secret", SECRET)
        return self.pool.stream(
            "POST",
            self.base + CHAT,
            headers=bearer(secret),
            content=body(stream=True, **fields),
        )


def bearer(secret: str = SECRET) -> list[tuple[bytes, bytes]]:
    """Returns the headers with an API key."""
    return [(b"Authorization", b"Bearer " + secret.encode())]


def error(response: httpcore.Response) -> dict[str, Any]:
    """Returns the error in a response."""
    found: dict[str, Any] = json.loads(response.content)["error"]
    return found


def header(response: httpcore.Response, name: bytes) -> bytes | None:
    """Returns a header of a response."""
    return dict(response.headers).get(name)


async def eventually(condition: Callable[[], bool]) -> None:
    """Waits until `condition` holds."""
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.001)


CHAT = "/v1/chat/completions"


def body(**fields: Any) -> bytes:
    """Returns the body of a chat completion."""
    messages = [{"role": "user", "content": "Is stall 12 permitted?"}]
    return json.dumps(
        {"model": "sabeel", "messages": messages, **fields}
    ).encode()


def events(response: bytes) -> list[Any]:
    """Returns the decoded events of a response; `[DONE]` stays bytes."""
    parts = [p.removeprefix(b"data: ") for p in response.split(b"\n\n") if p]
    return [p if p == b"[DONE]" else json.loads(p) for p in parts]


def text(response: bytes) -> str:
    """Returns the text of a streamed chat completion."""
    found = [e for e in events(response) if isinstance(e, dict)]
    choices = [e["choices"][0] for e in found if "choices" in e]
    return "".join(c["delta"].get("content") or "" for c in choices)
