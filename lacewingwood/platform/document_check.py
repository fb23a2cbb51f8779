"""Checks an operator's document before it is published; performs no I/O.

A document is decoded as gateways decode it. Findings beyond that are entries
that have no effect, and limits that contradict each other.
"""

import collections
import enum
import re
from collections.abc import Iterator
from typing import Any

import msgspec

from lacewingwood import configuration
from lacewingwood.platform import documents

# msgspec ends its messages with the place of the error, as in "- at `$.a[0]`".
_PLACE = re.compile(r"^(?P<message>.*) - at `\$\.?(?P<location>[^`]*)`$", re.S)
# Fields whose values must not be shown.
_SECRET_FIELDS = frozenset(("api_keys",))
# Sections of a document whose entries have names.
_NAMED_SECTIONS = ("routes", "tenants", "services")


class Severity(enum.Enum):
    """Weight of a finding.

    Attributes:
        ERROR: Gateways refuse the document, or requests will be refused.
        WARNING: An entry or a field has no effect.
    """

    ERROR = "error"
    WARNING = "warning"


class Finding(msgspec.Struct, frozen=True):
    """What is wrong with a document.

    Attributes:
        severity: Its weight.
        location: Place in the document, as `routes[2].host`.
        message: What is wrong.
    """

    severity: Severity
    location: str
    message: str


class Change(msgspec.Struct, frozen=True):
    """A difference between two documents.

    Attributes:
        location: Place of the entry or field, by its name.
        before: Value in force, None if there is none.
        after: Value of the document that is checked, None if it is removed.
    """

    location: str
    before: Any
    after: Any


def check(data: bytes) -> list[Finding]:
    """Returns what is wrong with a document, errors first."""
    try:
        decoded = documents.decode_configuration(data)
    except documents.DocumentError as exc:
        found = _PLACE.match(exc.message)
        location = found["location"] if found else ""
        message = found["message"] if found else exc.message
        return [Finding(Severity.ERROR, location, message)]
    raw = msgspec.json.decode(data)
    findings = [
        *_check_names(raw),
        *_check_routes(raw),
        *_check_customers(raw, decoded),
        *_check_services(raw, decoded),
        *_check_limits(raw, decoded),
    ]
    return sorted(findings, key=lambda f: f.severity is Severity.WARNING)


def compare(before: bytes, after: bytes) -> list[Change]:
    """Returns the differences between two documents that can be decoded.

    Entries are compared by their names; API keys are not shown.
    """
    old, new = msgspec.json.decode(before), msgspec.json.decode(after)
    changes: list[Change] = []
    for section in sorted(old.keys() | new.keys()):
        if section not in _NAMED_SECTIONS:
            changes += _compare_value(
                section, old.get(section), new.get(section)
            )
            continue
        old_entries, new_entries = (
            _by_name(old, section),
            _by_name(new, section),
        )
        for name in sorted(old_entries.keys() | new_entries.keys()):
            changes += _compare_value(
                f"{section}[{name}]",
                old_entries.get(name),
                new_entries.get(name),
            )
    return changes


def _check_names(raw: dict[str, Any]) -> Iterator[Finding]:
    for section in _NAMED_SECTIONS:
        counts = collections.Counter(
            entry.get("name") for entry in _entries(raw, section)
        )
        for n, entry in enumerate(_entries(raw, section)):
            name = entry.get("name")
            if counts[name] > 1:
                yield Finding(
                    Severity.ERROR,
                    f"{section}[{n}].name",
                    f"{name!r} is the name of {counts[name]} entries",
                )


def _check_routes(raw: dict[str, Any]) -> Iterator[Finding]:
    first_at: dict[tuple[str, str], int] = {}
    for n, entry in enumerate(_entries(raw, "routes")):
        place = f"routes[{n}]"
        route = _decode_route(entry)
        if route is None:
            yield Finding(
                Severity.WARNING,
                f"{place}.kind",
                f"unknown kind {entry['kind']!r}: gateways leave the route out",
            )
            continue
        matched = first_at.setdefault((route.host, route.path_prefix), n)
        if matched != n:
            yield Finding(
                Severity.WARNING,
                f"{place}.path_prefix",
                f"never matches: routes[{matched}] has its host and prefix",
            )
        if ":" in route.host:
            yield Finding(
                Severity.WARNING,
                f"{place}.host",
                "never matches: hosts are compared without their port",
            )
        if not route.path_prefix.startswith("/"):
            yield Finding(
                Severity.WARNING,
                f"{place}.path_prefix",
                "never matches: paths begin with a slash",
            )
        if not any(target.service for target in route.targets):
            yield Finding(
                Severity.ERROR,
                place,
                "no service: all requests will be refused",
            )
        yield from _check_route_limits(place, route, entry)


def _check_route_limits(
    place: str, route: configuration.Route, entry: dict[str, Any]
) -> Iterator[Finding]:
    if route.max_attempts < 1:
        yield Finding(
            Severity.ERROR, f"{place}.max_attempts", "must be at least 1"
        )
    for field in ("target_latency_ms", "gap_aim_ms"):
        if 0 < route.timeout_ms < entry.get(field, 0):
            yield Finding(
                Severity.WARNING,
                f"{place}.{field}",
                f"is longer than timeout_ms ({route.timeout_ms:g})",
            )
    if 0 < route.retention_ms < route.result_deadline_ms:
        yield Finding(
            Severity.WARNING,
            f"{place}.retention_s",
            "items may be given up before result_deadline_ms",
        )
    is_batch = route.kind is configuration.RouteKind.BATCH
    if route.max_waiting_tokens and not is_batch:
        yield Finding(
            Severity.WARNING,
            f"{place}.cap",
            "has no effect: only batch routes limit waiting tokens",
        )
    if route.resumable and route.max_attempts == 1:
        yield Finding(
            Severity.WARNING,
            f"{place}.resumable",
            "has no effect: max_attempts allows no second run",
        )
    if route.second_attempt_percent:
        yield from _check_second_attempts(place, route, is_batch)


def _check_second_attempts(
    place: str, route: configuration.Route, is_batch: bool
) -> Iterator[Finding]:
    place += ".second_attempt_percent"
    if is_batch or not route.repeatable:
        message = "has no effect: requests may not be repeated"
    elif route.max_attempts == 1:
        message = "has no effect: max_attempts allows no second run"
    elif route.max_attempts == 2 and route.resumable:
        message = (
            "a stream can't be resumed after a second attempt, since "
            "max_attempts is 2"
        )
    else:
        return
    yield Finding(Severity.WARNING, place, message)


def _check_customers(
    raw: dict[str, Any], decoded: configuration.Configuration
) -> Iterator[Finding]:
    needs_keys = not decoded.routes or any(
        not route.public for route in decoded.routes
    )
    holders: dict[str, int] = {}
    for n, entry in enumerate(_entries(raw, "tenants")):
        place = f"tenants[{n}]"
        keys = entry.get("api_keys", [])
        if not keys:
            yield Finding(
                Severity.WARNING,
                f"{place}.api_keys",
                "the customer has no key and can make no request",
            )
        elif not needs_keys:
            yield Finding(
                Severity.WARNING,
                place,
                "never matches: no route requires a key",
            )
        for m, key in enumerate(keys):
            other = holders.setdefault(key, n)
            if other != n:
                yield Finding(
                    Severity.ERROR,
                    f"{place}.api_keys[{m}]",
                    f"is also a key of tenants[{other}]",
                )
        rate, burst = entry.get("rate_per_s", 0), entry.get("burst", 0)
        if rate > 0 and burst < 1:
            yield Finding(
                Severity.ERROR,
                f"{place}.burst",
                "is below 1: nearly no request is admitted",
            )
        if burst and not rate:
            yield Finding(
                Severity.WARNING,
                f"{place}.burst",
                "has no effect: there is no rate",
            )


def _check_services(
    raw: dict[str, Any], decoded: configuration.Configuration
) -> Iterator[Finding]:
    if "services" not in raw:
        return
    used = {t.service for route in decoded.routes for t in route.targets}
    listed = {entry.get("name") for entry in _entries(raw, "services")}
    for n, entry in enumerate(_entries(raw, "services")):
        if entry.get("name") not in used:
            yield Finding(
                Severity.WARNING, f"services[{n}]", "no route sends to it"
            )
    for n, entry in enumerate(_entries(raw, "routes")):
        splits = entry.get("traffic_split") or [entry]
        for split in splits:
            service = split.get("service", "")
            if service and service not in listed:
                yield Finding(
                    Severity.WARNING,
                    f"routes[{n}]",
                    f"service {service!r} is not listed in services",
                )


def _check_limits(
    raw: dict[str, Any], decoded: configuration.Configuration
) -> Iterator[Finding]:
    if decoded.max_body_bytes < 1:
        yield Finding(Severity.ERROR, "limits.max_body_bytes", "admits no body")
    limits = raw.get("limits", {})
    for name in ("header_timeout_ms", "idle_timeout_ms", "max_header_bytes"):
        value = limits.get(name, 1)
        if not isinstance(value, (int, float)) or value <= 0:
            yield Finding(
                Severity.ERROR, f"limits.{name}", "is no positive number"
            )


def _decode_route(entry: dict[str, Any]) -> configuration.Route | None:
    """Returns a route as gateways decode it, None if they leave it out."""
    data = msgspec.json.encode({"version": 1, "routes": [entry]})
    routes = documents.decode_configuration(data).routes
    return routes[0] if routes else None


def _entries(document: dict[str, Any], section: str) -> list[dict[str, Any]]:
    """Returns the entries of a section; decoders pass over some sections."""
    entries = document.get(section)
    if not isinstance(entries, list):
        return []
    return [entry for entry in entries if isinstance(entry, dict)]


def _by_name(document: dict[str, Any], section: str) -> dict[str, Any]:
    return {str(e.get("name")): e for e in _entries(document, section)}


def _compare_value(place: str, before: Any, after: Any) -> Iterator[Change]:
    """Yields the changed fields of an entry, or a whole entry that is new."""
    if before == after:
        return
    if isinstance(before, dict) and isinstance(after, dict):
        for field in sorted(before.keys() | after.keys()):
            old, new = before.get(field), after.get(field)
            if field in _SECRET_FIELDS and old != new:
                yield Change(f"{place}.{field}", _count(old), _count(new))
            else:
                yield from _compare_value(f"{place}.{field}", old, new)
        return
    yield Change(place, _without_secrets(before), _without_secrets(after))


def _without_secrets(value: Any) -> Any:
    if not isinstance(value, dict):
        return value
    return {
        name: _count(field) if name in _SECRET_FIELDS else field
        for name, field in value.items()
    }


def _count(keys: Any) -> str:
    return f"{len(keys or ())} keys"
