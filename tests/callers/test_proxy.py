"""Tests of the reverse proxy for plain services."""

import hashlib
import json
from typing import Any

import pytest
import trio

from lacewingwood.callers import app as apps
from lacewingwood.callers import idempotency
from lacewingwood.clock import ManualClock
from lacewingwood.hostlist import types as host_types
from lacewingwood.log import errors as log_errors
from lacewingwood.log import types as log_types
from lacewingwood.state import records
from lacewingwood.upstreams import errors as upstream_errors
from tests.callers import fakes

_SECRET = fakes.SECRET.encode()


def _world() -> fakes.World:
    world = fakes.World()
    for name, prefix, is_open in (
        ("permits", "/permits", False),
        ("public", "/permits/public", True),
    ):
        world.state.view.routes[name] = records.Route(
            name=name, prefix=prefix, service="permits", open=is_open
        )
    return world


class Log:
    """A log that can be unavailable, or lose the responses to appends.

    Attributes:
        streams: Records by stream.
        lost_responses: Number of next appends whose response is lost.
        down: True if all appends fail.
    """

    def __init__(self) -> None:
        self.streams: dict[str, list[bytes]] = {}
        self.lost_responses = 0
        self.down = False

    async def append(self, stream: str, data: bytes) -> int:
        if self.down:
            raise log_errors.UnavailableError("down", False)
        records_of = self.streams.setdefault(stream, [])
        records_of.append(data)
        if self.lost_responses:
            self.lost_responses -= 1
            raise log_errors.UnavailableError("lost", True)
        return len(records_of) - 1

    async def read(
        self, stream: str, start: int, limit: int, wait_ms: float
    ) -> log_types.Page:
        known = self.streams.get(stream, [])
        entries = [
            log_types.Entry(offset, 0, data)
            for offset, data in enumerate(known)
            if start <= offset < start + limit
        ]
        return log_types.Page(entries, 0, len(known), 3_600_000)


class _Clock(ManualClock):
    """A clock that advances by the duration of each sleep."""

    async def sleep_ms(self, duration_ms: float) -> None:
        self.advance(duration_ms)


async def test_keys_are_removed_from_every_part_of_a_request() -> None:
    """Guards against sending a caller's API key to a service."""
    world = _world()
    encoded = b"sk%2Dtanta%2D1"
    headers = [
        *fakes.bearer(),
        (b"Proxy-Authorization", b"Basic abcdefgh"),
        (b"Cookie", b"a=1; key=" + _SECRET + b"; b=2"),
        (b"X-Copy", b"is " + _SECRET),
        (b"X-Encoded", encoded),
        (b"Connection", b"X-Hop"),
        (b"X-Hop", b"1"),
        (b"X-Customer", b"inspectors"),
        (b"Accept", b"text/plain"),
    ]
    path = "/permits/7?a=1&k=sk-tanta-1&e=sk%2Dtanta%2D1&b=2"
    async with world.serve() as served, served.client() as client:
        got = await client.call("POST", path, b"body", headers)
        inside = await client.call("GET", "/permits/sk-tanta-1")
        public = await client.call("GET", "/permits/public/x?k=sk-tanta-1")
    assert (got.status, got.content) == (200, b"body")
    assert inside.status == 400
    assert public.status == 200
    sent = world.plain.sent[0]
    assert _SECRET not in repr(world.plain.sent).encode()
    assert encoded not in repr(world.plain.sent).encode()
    assert sent.path == "/permits/7?a=1&b=2"
    assert sent.headers[b"cookie"] == b"a=1; b=2"
    assert sent.headers[b"x-customer"] == b"vendors"
    assert sent.headers[b"accept"] == b"text/plain"
    gone = {b"authorization", b"proxy-authorization", b"x-hop", b"connection"}
    assert not gone & sent.headers.keys()
    assert b"x-customer" not in world.plain.sent[1].headers


@pytest.mark.parametrize(
    ("path", "status"),
    [
        ("/permits/public", 200),
        ("/permits/publicity", 401),
        ("/permits", 401),
        ("/permits/public/../7", 400),
        ("/permits/public/%2e%2e/7", 400),
        ("/permits/public/..%2f7", 400),
        ("/permits/public//../7", 400),
        ("/permits/%70ublic/x", 200),
    ],
)
async def test_only_open_routes_need_no_key(path: str, status: int) -> None:
    """Guards against reaching a protected route through an open one.

    A service may resolve a path that matches an open route here to another
    path, which belongs to a protected route.
    """
    world = _world()
    async with world.serve() as served, served.client() as client:
        got = await client.call("GET", path, headers=[])
    assert got.status == status
    assert len(world.plain.sent) == (status == 200)


@pytest.mark.parametrize(
    ("method", "exc", "status", "sent"),
    [
        ("POST", upstream_errors.BrokenError("cut"), 502, 1),
        ("POST", upstream_errors.ConnectError("no"), 200, 2),
        ("GET", upstream_errors.BrokenError("cut"), 200, 2),
    ],
)
async def test_requests_are_retried_only_if_safe(
    method: str, exc: Exception, status: int, sent: int
) -> None:
    """Guards against running a non-idempotent request twice."""
    world = _world()
    world.plain.errors = [exc]
    async with world.serve() as served, served.client() as client:
        got = await client.call(method, "/permits/7", b"x")
    assert got.status == status
    assert len(world.plain.sent) == sent
    assert status == 200 or fakes.error(got)["ran"] == "may_have_run"


async def test_second_attempt_without_a_host_is_not_refused() -> None:
    """Guards against a 503 that has a caller repeat a call that may have run.

    The first attempt broke off, and no other host is left to be tried.
    """
    world = _world()
    world.plain.errors = [upstream_errors.BrokenError("cut")]
    only = host_types.Host("p0", "p0", "plain", "permits", "", "", "live")
    world.plain_router.fleet.update_hosts([only])
    async with world.serve() as served, served.client() as client:
        got = await client.call("GET", "/permits/7", b"")
    assert got.status == 502
    assert fakes.error(got)["ran"] == "may_have_run"
    assert not fakes.header(got, b"retry-after")


async def test_call_given_up_while_it_runs_is_not_refused() -> None:
    """Guards against a 503 that has a caller repeat a call that may have run.

    The host gives up the call as it can't check keys any more.
    """
    world = _world()
    world.plain.silent = True
    responses = []
    async with world.serve() as served, served.client() as client:

        async def call() -> None:
            responses.append(await client.call("POST", "/permits/7", b"x"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await fakes.eventually(lambda: len(world.plain.sent) == 1)
            world.state.is_fresh = False
    (got,) = responses
    assert got.status == 502
    assert fakes.error(got)["ran"] == "may_have_run"
    assert not fakes.header(got, b"retry-after")


@pytest.mark.parametrize("connects", [True, False])
async def test_call_that_was_not_sent_in_time_has_not_run(
    connects: bool,
) -> None:
    """Guards against "may have run" for a call that reached no host.

    Each attempt ends by the route's timeout.
    """
    world = _world()
    world.plain.silent, world.plain.connects = True, connects
    world.state.view.routes["permits"].timeout_ms = 50
    async with world.serve() as served, served.client() as client:
        got = await client.call("POST", "/permits/7", b"x")
    assert got.status == (504 if connects else 503)
    ran = "may_have_run" if connects else "not_run"
    assert fakes.error(got)["ran"] == ran
    assert bool(fakes.header(got, b"retry-after")) is not connects


async def test_long_body_is_streamed_and_bounded() -> None:
    """Guards against buffering whole uploads and resending parts of them."""
    world = _world()
    async with world.serve() as served, served.client() as client:
        long_body = b"x" * (3 << 20)
        got = await client.call("PUT", "/permits/7", long_body)
        assert got.content == long_body
        world.plain.errors = [upstream_errors.BrokenError("cut")]
        again = await client.call("PUT", "/permits/7", long_body)
        assert again.status == 502
        assert len(world.plain.sent) == 2


async def test_trailers_are_relayed_to_callers_that_accept_them() -> None:
    """Guards against dropping the trailers of a service's response."""
    app = apps.make_app(_world().deps)
    for te, expected in ((b"trailers", [(b"x-sum", b"7")]), (b"", None)):
        sent = await _exchange(app, te)
        assert sent[0]["trailers"] == (expected is not None)
        last = sent[-1]
        assert last.get("headers") == expected


async def _exchange(app: apps.App, te: bytes) -> list[dict[str, Any]]:
    """Calls the application as the server does for an HTTP/2 request."""
    send, responses = trio.open_memory_channel[dict[str, Any]](100)
    queue, receive = trio.open_memory_channel[dict[str, Any]](100)
    queue.send_nowait({"type": "http.request", "body": b"x"})
    headers = [(b"authorization", b"Bearer " + _SECRET), (b"te", te)]
    scope = {
        "type": "http",
        "method": "POST",
        "path": "/permits/7",
        "raw_path": b"/permits/7",
        "query_string": b"",
        "headers": headers,
        "extensions": {"http.response.trailers": {}},
    }
    await app(scope, receive.receive, send.send)
    await send.aclose()
    return [message async for message in responses]


async def test_idempotency_key_runs_one_request_over_all_entries() -> None:
    """Guards against running a resent request again on another entry."""
    log = Log()
    log.lost_responses = 1
    worlds = [_world(), _world()]
    headers = [*fakes.bearer(), (b"Idempotency-Key", b"k1")]
    responses = []
    for world in worlds:
        world.deps.idempotency_claims = idempotency.Claims(log, _Clock())
        async with world.serve() as served, served.client() as client:
            for _ in range(2):
                responses.append(
                    await client.call("POST", "/permits/7", b"x", headers)
                )
    assert [r.status for r in responses] == [200, 409, 409, 409]
    assert [len(world.plain.sent) for world in worlds] == [1, 0]
    assert fakes.error(responses[1])["ran"] == "may_have_run"


async def test_key_of_a_request_that_did_not_run_is_released() -> None:
    """Guards against keys that stay claimed by a request that did not run."""
    world = _world()
    log = Log()
    world.deps.idempotency_claims = idempotency.Claims(log, _Clock())
    headers = [*fakes.bearer(), (b"Idempotency-Key", b"k1")]
    async with world.serve() as served, served.client() as client:
        log.down = True
        down = await client.call("POST", "/permits/7", b"x", headers)
        log.down = False
        world.plain.errors = [upstream_errors.ConnectError("no")] * 3
        refused = await client.call("POST", "/permits/7", b"x", headers)
        world.plain.sent.clear()
        done = await client.call("POST", "/permits/7", b"x", headers)
    assert [down.status, refused.status, done.status] == [503, 503, 200]
    assert json.loads(down.content)["error"]["ran"] == "not_run"
    assert len(world.plain.sent) == 1


async def test_unconfirmed_claims_are_released() -> None:
    """Guards against a key that stays claimed by a refused request.

    The claim's append reaches the log but its response is lost, so the request
    is refused while its claim is recorded.
    """
    log = Log()
    claims = idempotency.Claims(log, _Clock())
    digest = hashlib.sha256(b"k").hexdigest()
    log.lost_responses = 4
    with pytest.raises(log_errors.UnavailableError):
        await claims.claim(digest, "r1")
    assert await claims.claim(digest, "r2") == "r1"
    assert await claims.claim(digest, "r3") == "r3"
    assert await idempotency.Claims(log, _Clock()).claim(digest, "r4") == "r3"
