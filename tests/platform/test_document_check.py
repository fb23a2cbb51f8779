"""Tests of findings on operators' documents."""

from typing import Any

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from lacewingwood.platform import document_check

_ROUTE: dict[str, Any] = {
    "name": "a",
    "host": "h",
    "path_prefix": "/a/",
    "kind": "streaming",
    "service": "s",
}
_TENANT: dict[str, Any] = {"name": "kaje", "api_keys": ["hidden-1"]}
_DOCUMENT: dict[str, Any] = {
    "version": 4,
    "routes": [_ROUTE],
    "tenants": [_TENANT],
}


def _check(document: object) -> dict[str, str]:
    """Returns the severities of findings by location."""
    findings = document_check.check(msgspec.json.encode(document))
    return {f.location: f.severity.value for f in findings}


def _with_route(**fields: object) -> dict[str, Any]:
    return {**_DOCUMENT, "routes": [{**_ROUTE, **fields}]}


def _with_tenant(**fields: object) -> dict[str, Any]:
    return {**_DOCUMENT, "tenants": [{**_TENANT, **fields}]}


def test_sound_document_has_no_findings() -> None:
    """Guards against findings that operators learn to ignore."""
    assert not _check(_DOCUMENT)
    route = {"max_attempts": 3, "resumable": True, "second_attempt_percent": 5}
    assert not _check(_with_route(**route))


@pytest.mark.parametrize(
    ("document", "location", "severity"),
    [
        (_with_route(name=4), "routes[0].name", "error"),
        (_with_route(second_attempt_percent=101), None, "error"),
        (_with_route(service=""), "routes[0]", "error"),
        (_with_route(max_attempts=0), "routes[0].max_attempts", "error"),
        (_with_route(kind="odd"), "routes[0].kind", "warning"),
        (_with_route(host="h:80"), "routes[0].host", "warning"),
        (_with_route(path_prefix="a/"), "routes[0].path_prefix", "warning"),
        (
            _with_route(timeout_ms=100, target_latency_ms=200),
            "routes[0].target_latency_ms",
            "warning",
        ),
        (_with_route(resumable=True), "routes[0].resumable", "warning"),
        (_with_route(cap=5), "routes[0].cap", "warning"),
        (
            _with_route(second_attempt_percent=5, max_attempts=2),
            "routes[0].second_attempt_percent",
            "warning",
        ),
        (
            _with_route(kind="batch", retention_s=1, result_deadline_ms=18_000),
            "routes[0].retention_s",
            "warning",
        ),
        (_with_route(auth_exempt=True), "tenants[0]", "warning"),
        (_with_tenant(api_keys=[]), "tenants[0].api_keys", "warning"),
        (_with_tenant(rate_per_s=5), "tenants[0].burst", "error"),
        (_with_tenant(burst=5), "tenants[0].burst", "warning"),
        (
            {**_DOCUMENT, "services": [{"name": "s"}, {"name": "t"}]},
            "services[1]",
            "warning",
        ),
        (
            {**_DOCUMENT, "limits": {"header_timeout_ms": 0}},
            "limits.header_timeout_ms",
            "error",
        ),
        (
            {**_DOCUMENT, "limits": {"max_body_bytes": 0}},
            "limits.max_body_bytes",
            "error",
        ),
    ],
)
def test_finding_names_its_place(
    document: object, location: str | None, severity: str
) -> None:
    """Guards against entries without effect that nobody notices."""
    location = location or "routes[0].second_attempt_percent"
    assert _check(document) == {location: severity}


def test_later_route_of_the_same_host_and_prefix_never_matches() -> None:
    """Guards against a route that is shadowed, also by another case."""
    longer = {**_ROUTE, "name": "c", "path_prefix": "/a/b/"}
    same = {**_ROUTE, "name": "b", "host": "H"}
    document = {**_DOCUMENT, "routes": [_ROUTE, longer, same]}
    assert _check(document) == {"routes[2].path_prefix": "warning"}


def test_names_and_keys_are_unique() -> None:
    """Guards against a customer that is served as another one."""
    document = {**_DOCUMENT, "tenants": [_TENANT, {**_TENANT, "name": "b"}]}
    assert _check(document) == {"tenants[1].api_keys[0]": "error"}
    document = {
        **_DOCUMENT,
        "routes": [_ROUTE, {**_ROUTE, "path_prefix": "/b/"}],
    }
    assert _check(document) == {
        "routes[0].name": "error",
        "routes[1].name": "error",
    }


def test_differences_are_those_of_entries_of_one_name() -> None:
    """Guards against a diff by position, and against keys in it."""
    after = {
        "version": 5,
        "routes": [{**_ROUTE, "name": "b"}, {**_ROUTE, "timeout_ms": 9}],
        "tenants": [
            {**_TENANT, "api_keys": ["hidden-2", "hidden-3"]},
            {"name": "new", "api_keys": ["hidden-4"]},
        ],
    }
    encode = msgspec.json.encode
    changes = document_check.compare(encode(_DOCUMENT), encode(after))
    found = {c.location: (c.before, c.after) for c in changes}
    assert found["version"] == (4, 5)
    assert found["routes[a].timeout_ms"] == (None, 9)
    assert found["routes[b]"][0] is None
    assert found["tenants[kaje].api_keys"] == ("1 keys", "2 keys")
    assert len(found) == 5
    assert b"hidden" not in encode(changes)


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
)


@hypothesis.given(
    st.sampled_from(["routes", "tenants", "services", "limits", "version"]),
    _JSON,
)
def test_odd_sections_are_findings_and_no_failures(
    section: str, value: object
) -> None:
    """Guards against a traceback instead of a finding."""
    data = msgspec.json.encode({**_DOCUMENT, section: value})
    document_check.check(data)
    document_check.compare(msgspec.json.encode(_DOCUMENT), data)
