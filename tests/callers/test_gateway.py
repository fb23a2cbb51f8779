"""Tests of routing, authentication and rate limiting at a gateway."""

import pytest

from lacewingwood import clock as clocks
from lacewingwood import configuration
from lacewingwood import metrics as metrics_lib
from lacewingwood.callers import errors
from lacewingwood.callers import gateway as gateways
from lacewingwood.limits import shared
from lacewingwood.state import published
from tests.callers import test_forwarding


def _configuration(version: int, *prefixes: str) -> configuration.Configuration:
    routes = [
        configuration.Route(
            name=prefix,
            host="h.example",
            path_prefix=prefix,
            kind=configuration.RouteKind.STREAM,
            targets=(configuration.Target("s", 1),),
            public=prefix.startswith("/open/"),
        )
        for prefix in prefixes
    ]
    customers = [configuration.Customer("kaje", ("k1",), 10, 10)]
    return configuration.Configuration(version, routes, customers)


def _make(
    current: configuration.Configuration | None,
) -> gateways.Gateway:
    clock = clocks.ManualClock()
    holder = published.PublishedConfiguration(lambda document: current)  # type: ignore[arg-type,return-value]
    limits = shared.SharedLimits()
    if current is not None:
        holder.apply_if_newer(b"x", "test")
        limits.configure({"kaje": (10, 10)}, 0)
    forwarder = test_forwarding.make_forwarder(test_forwarding.FakeReplicas())
    return gateways.Gateway(
        holder, limits, forwarder, clock, metrics_lib.Registry()
    )


def _head(path: str, key: str = "k1", host: str = "h.example") -> gateways.Head:
    return gateways.Head(
        "id", "POST", host, path, path.encode(), key, None, None, 0.0
    )


def test_longest_prefix_wins() -> None:
    """Guards against a request that is sent to another route's service."""
    gateway = _make(_configuration(1, "/a/", "/a/b/"))
    assert gateway.resolve(_head("/a/b/c")).route.name == "/a/b/"
    assert gateway.resolve(_head("/a/bc")).route.name == "/a/"


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (_head("/none/"), 404),
        (_head("/a/x", host="other.example"), 404),
        (_head("/a/x", key="k2"), 401),
        (_head("/a/x", key=""), 401),
    ],
)
def test_unknown_route_or_key_is_refused(
    head: gateways.Head, status: int
) -> None:
    """Guards against a request that runs without a route or a key."""
    with pytest.raises(errors.CallerError) as caught:
        _make(_configuration(1, "/a/")).resolve(head)
    assert caught.value.status == status


def test_public_route_needs_no_key() -> None:
    """Guards against requiring an API key on public routes."""
    gateway = _make(_configuration(1, "/open/"))
    assert gateway.resolve(_head("/open/x", key="")).customer is None


def test_gateway_without_a_configuration_is_unavailable() -> None:
    """Guards against a 404 from a process that has just started."""
    with pytest.raises(errors.CallerError) as caught:
        _make(None).resolve(_head("/a/x"))
    assert caught.value.status == 503


async def test_rate_limit_refusal_has_a_retry_time() -> None:
    """Guards against a refusal without a retry time."""
    gateway = _make(_configuration(1, "/a/"))
    resolved = gateway.resolve(_head("/a/x"))
    caller = test_forwarding.Caller()
    with pytest.raises(errors.CallerError) as caught:
        await gateway.forward(caller.req, _head("/a/x"), resolved, [], b"")
    assert caught.value.status == 429
    assert caught.value.retry_after_ms


def test_older_configuration_is_ignored() -> None:
    """Guards against applying an older version that is read later."""
    documents = {
        b"5": _configuration(5, "/a/"),
        b"4": _configuration(4, "/b/"),
    }
    holder = published.PublishedConfiguration(documents.__getitem__)
    assert holder.apply_if_newer(b"5", "store")
    assert not holder.apply_if_newer(b"4", "peer")
    assert holder.version == 5
