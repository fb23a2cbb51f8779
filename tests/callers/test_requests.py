"""Tests of authentication and of the refusal of invalid requests."""

import json

import pytest

from tests.callers import fakes

_KEY = fakes.bearer()
_DEEP = b'{"model": "sabeel", "messages": ' + b"[" * 100_000


@pytest.mark.parametrize(
    ("method", "path", "headers", "content", "status", "code"),
    [
        ("POST", fakes.CHAT, [], None, 401, "missing_api_key"),
        ("POST", fakes.CHAT, fakes.bearer("no"), None, 401, "invalid_api_key"),
        ("POST", fakes.CHAT, _KEY * 2, None, 400, "invalid_request"),
        ("GET", "/v1/models?api_key=sk-tanta-1", [], None, 400, "key_in_query"),
        ("GET", "/v1/models?x=sk-tanta-1", _KEY, None, 400, "key_in_query"),
        ("POST", fakes.CHAT, _KEY, b'{"model": ', 400, "invalid_json"),
        ("POST", fakes.CHAT, _KEY, _DEEP, 400, "invalid_json"),
        ("POST", fakes.CHAT, _KEY, b'{"model": 3}', 400, "invalid_request"),
        ("POST", fakes.CHAT, _KEY, b'{"model":"m"}', 400, "invalid_request"),
        (
            "POST",
            fakes.CHAT,
            _KEY,
            fakes.body(model="none"),
            404,
            "model_not_found",
        ),
        ("GET", fakes.CHAT, _KEY, None, 405, "method_not_allowed"),
        ("POST", "/nowhere", _KEY, None, 404, "not_found"),
        (
            "POST",
            fakes.CHAT,
            [*_KEY, (b"X-Long", b"x" * 40_000)],
            None,
            431,
            "headers_too_large",
        ),
        ("POST", fakes.CHAT, _KEY, b" " * (5 << 20), 413, "body_too_large"),
        (
            "POST",
            fakes.CHAT,
            [*_KEY, (b"X-Deadline-Ms", b"soon")],
            fakes.body(),
            400,
            "invalid_request",
        ),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
@pytest.mark.parametrize("http2", [False, True], ids=["http1", "http2"])
async def test_bad_requests_are_refused_clearly(
    method: str,
    path: str,
    headers: list[tuple[bytes, bytes]],
    content: bytes | None,
    status: int,
    code: str,
    http2: bool,
) -> None:
    """Guards against crashes and unspecific errors on invalid requests."""
    world = fakes.World()
    async with world.serve() as served, served.client(http2) as client:
        got = await client.call(method, path, content, headers)
        assert (got.status, fakes.error(got)["code"]) == (status, code)
        assert fakes.error(got)["ran"] == "not_run"
        assert fakes.header(got, b"x-request-id")
        assert status != 405 or fakes.header(got, b"allow") == b"POST"
        again = await client.call("GET", "/v1/models")
        assert again.status == 200
    assert not world.engines.seen


async def test_each_request_on_a_connection_is_authenticated() -> None:
    """Guards against a key that authenticates a connection's later requests."""
    world = fakes.World()
    world.state.view.add_key("sk-other", "inspectors")
    for http2 in (False, True):
        async with world.serve() as served, served.client(http2) as client:
            good = await client.call("POST", fakes.CHAT, fakes.body())
            none = await client.call("POST", fakes.CHAT, fakes.body(), [])
            other = await client.call(
                "POST", fakes.CHAT, fakes.body(), secret="sk-other"
            )
            world.state.view.keys.clear()
            late = await client.call("POST", fakes.CHAT, fakes.body())
        world.state.view.add_key(fakes.SECRET, "vendors")
        world.state.view.add_key("sk-other", "inspectors")
        statuses = [r.status for r in (good, none, other, late)]
        assert statuses == [200, 401, 200, 401]
        ids = {fakes.header(r, b"x-request-id") for r in (good, none, other)}
        assert len(ids) == 3


async def test_stale_host_refuses_as_not_run() -> None:
    """Guards against accepting keys that may have been withdrawn."""
    world = fakes.World()
    world.state.is_fresh = False
    async with world.serve() as served, served.client() as client:
        got = await client.call("POST", fakes.CHAT, fakes.body())
    assert (got.status, fakes.error(got)["code"]) == (503, "stale")
    assert fakes.error(got)["ran"] == "not_run"
    assert fakes.header(got, b"retry-after") == b"1"


async def test_engines_receive_only_the_body() -> None:
    """Guards against sending keys or ids chosen by callers to engines."""
    world = fakes.World()
    headers = [*_KEY, (b"X-Request-Id", fakes.SECRET.encode())]
    async with world.serve() as served, served.client() as client:
        got = await client.call("POST", fakes.CHAT, fakes.body(), headers)
    assert got.status == 200
    assert [body for _, body in world.engines.seen] == [
        json.loads(fakes.body())
    ]
    assert fakes.SECRET not in repr(world.engines.ids)
