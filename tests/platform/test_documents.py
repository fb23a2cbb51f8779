"""Tests of decoding the operator's document and replica entries."""

import contextlib

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from lacewingwood import configuration
from lacewingwood.log import compacted
from lacewingwood.platform import documents

_ROUTE = {
    "name": "r-1",
    "host": "Nony24.example",
    "path_prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 5000,
    "target_latency_ms": 300,
    "priority": 0,
    "traffic_split": [
        {"service": "x", "weight": 90},
        {"service": "y", "weight": 0},
    ],
    "max_attempts": 2,
    "resumable": True,
    "gap_aim_ms": 200,
    "cap": 2_600_000,
}
_ENTRY = {
    "service": "x",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "seq": 4,
    "born": 17,
}


def _encode(value: object) -> bytes:
    return msgspec.json.encode(value)


def test_document_is_decoded_to_routes_and_customers() -> None:
    """Guards against mixing up fields of the wire format."""
    decoded = documents.decode_configuration(
        _encode(
            {
                "version": 7,
                "routes": [_ROUTE, {**_ROUTE, "kind": "unheard"}],
                "tenants": [
                    {
                        "name": "kaje80",
                        "api_keys": ["k1", "k2"],
                        "priority": 1,
                        "rate_per_s": 24,
                        "burst": 30,
                    }
                ],
                "services": [
                    {"name": "x", "cold_start_s": 3, "cold_per_s": 7.1},
                    {"name": "y"},
                ],
                "limits": {
                    "max_body_bytes": 99,
                    "max_header_bytes": 16_384,
                    "header_timeout_ms": 3_000,
                    "idle_timeout_ms": 0,
                },
            }
        )
    )
    assert decoded.version == 7
    assert decoded.max_body_bytes == 99
    assert decoded.services == [
        configuration.Service("x", 3_000, 7.1),
        configuration.Service("y"),
    ]
    assert decoded.client_limits == configuration.ClientLimits(16_384, 3_000)
    (route,) = decoded.routes
    assert route.host == "nony24.example"
    assert route.targets == (configuration.Target("x", 90),)
    assert route.objective_ms == 300
    assert route.gap_objective_ms == 200
    assert route.repeatable
    assert route.max_waiting_tokens == 2_600_000
    assert route.second_attempt_percent is None
    customer = decoded.customer_by_key("k2")
    assert customer is not None
    assert (customer.rate, customer.burst, customer.priority) == (24, 30, 1)


@pytest.mark.parametrize("percent", [0, 2.5, 100])
def test_second_attempts_of_a_route_are_decoded(percent: float) -> None:
    """Guards against a route that loses its own limit, also one of none."""
    route = {**_ROUTE, "second_attempt_percent": percent}
    data = _encode({"version": 1, "routes": [route]})
    (decoded,) = documents.decode_configuration(data).routes
    assert decoded.second_attempt_percent == percent


@pytest.mark.parametrize("percent", [-1, 101, "5"])
def test_second_attempts_beyond_all_requests_are_refused(
    percent: object,
) -> None:
    """Guards against a limit by which every request might run twice or more."""
    route = {**_ROUTE, "second_attempt_percent": percent}
    with pytest.raises(documents.DocumentError):
        documents.decode_configuration(
            _encode({"version": 1, "routes": [route]})
        )


def test_entry_is_decoded_to_a_listing() -> None:
    """Guards against treating a draining replica as ready."""
    listing = documents.decode_replica("i-1", _encode(_ENTRY))
    assert (listing.slots, listing.leaving) == (8, False)
    draining = {**_ENTRY, "state": "draining"}
    assert documents.decode_replica("i-1", _encode(draining)).leaving


@pytest.mark.parametrize(
    "change",
    [
        {"state": "odd"},
        {"address": "nowhere"},
        {"address": "h:x"},
        {"slots": "many"},
        {"service": None},
        {"born": "yesterday"},
    ],
)
def test_malformed_entries_are_rejected(change: dict[str, object]) -> None:
    """Guards against using an entry of unknown state or wrong types."""
    with pytest.raises(documents.DocumentError):
        documents.decode_replica("i-1", _encode({**_ENTRY, **change}))


@hypothesis.given(st.binary(max_size=60))
def test_arbitrary_bytes_raise_only_document_error(data: bytes) -> None:
    """Guards against other exceptions for undecodable bytes."""
    for decode in (
        documents.decode_configuration,
        lambda d: documents.decode_replica("i", d),
    ):
        with contextlib.suppress(documents.DocumentError):
            decode(data)


_NESTED = b"[" * 100_000 + b"]" * 100_000


@pytest.mark.parametrize(
    "value",
    [
        b'{"service":"s","x":' + _NESTED + b"}",
        b'{"service":' + _NESTED + b"}",
        b'{"service":' + b'{"a":' * 50_000 + b"1" + b"}" * 50_001,
        _encode(_ENTRY)[:-1] + b',"slots":' + b"9" * 5_000 + b"}",
        _encode({**_ENTRY, "slots": 10**30}),
        _encode({**_ENTRY, "born": 10**30}),
        _encode(_ENTRY)[:-1] + b',"cold_remaining_ms":1e999}',
        _encode({**_ENTRY, "address": "10.0.0.1:65536"}),
        _encode({**_ENTRY, "address": "10.0.0.1:0"}),
        _encode({**_ENTRY, "address": "10.0.0.1:" + "8" * 5_000}),
        _encode({**_ENTRY, "address": "10.0.0.1:8²"}),
        _encode({**_ENTRY, "address": "host.example:80"}),
        _encode({**_ENTRY, "address": "10.0.0.1\r\nX: y:80"}),
        _encode({k: v for k, v in _ENTRY.items() if k != "version"}),
        _encode({**_ENTRY, "version": "v" * 10_000}),
        b"\xff\xfe",
        b"",
    ],
)
def test_odd_entry_of_another_writer_is_passed_over(value: bytes) -> None:
    """Guards against an entry at which each gateway that reads it ends."""
    with pytest.raises(documents.DocumentError):
        documents.decode_replica("i-1", value)


@pytest.mark.parametrize("replica_id", ["", "i 1", "i\r\nX: y", "\u20ac"])
def test_replica_whose_id_no_header_can_carry_is_passed_over(
    replica_id: str,
) -> None:
    """Guards against an entry at which each request to the replica fails."""
    with pytest.raises(documents.DocumentError):
        documents.decode_replica(replica_id, _encode(_ENTRY))


def test_nested_configuration_is_passed_over() -> None:
    """Guards against a document at which each gateway that reads it ends."""
    with pytest.raises(documents.DocumentError):
        documents.decode_configuration(b'{"version":1,"x":' + _NESTED + b"}")


def test_evacuations_are_told_from_other_keys() -> None:
    """Guards against an evacuation of a zone that nobody asked for."""
    records = [
        compacted.Record("config", b"{}", 1),
        compacted.Record("evacuate/", b"{}", 2),
        compacted.Record("evacuate/z-1", b"", 3),
        compacted.Record("evacuate/z-2", None, 4),
    ]
    assert documents.decode_evacuations(records) == {
        "z-1": (3, True),
        "z-2": (4, False),
    }
