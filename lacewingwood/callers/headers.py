"""Filtering of headers and queries that are proxied to plain services."""

import urllib.parse
from collections.abc import Collection
from collections.abc import Iterable

from lacewingwood.callers import http

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"http2-settings",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Request headers that this proxy sets itself, or that hold credentials for it.
_RESERVED = frozenset(
    (
        b"authorization",
        b"expect",
        b"host",
        b"proxy-authorization",
        b"x-customer",
        b"x-deadline-ms",
        b"x-forwarded-host",
        b"x-request-id",
    )
)
Header = tuple[bytes, bytes]


def for_upstream(
    headers: http.Headers, secrets: Collection[bytes]
) -> list[Header]:
    """Returns the request headers to forward to a plain service.

    Headers that contain a secret are dropped, of cookies only those that
    contain one.
    """
    dropped = _HOP_BY_HOP | _RESERVED | _connection_options(headers)
    kept = [h for h in headers if h[0] not in dropped]
    kept = [_without_secret_cookies(h, secrets) for h in kept]
    return [h for h in kept if not _header_has_secret(h, secrets)]


def for_caller(headers: Iterable[Header]) -> list[Header]:
    """Returns the headers of a plain service's response for the caller."""
    header_list = list(headers)
    dropped = _HOP_BY_HOP | _connection_options(header_list) | {b"x-request-id"}
    return [h for h in header_list if h[0].lower() not in dropped]


def without_secrets(query: bytes, secrets: Collection[bytes]) -> bytes:
    """Returns a query without the parameters that contain a secret."""
    if not secrets:
        return query
    parts = query.split(b"&")
    return b"&".join(p for p in parts if not _parameter_has_secret(p, secrets))


def contains_secret(text: bytes, secrets: Collection[bytes]) -> bool:
    """Returns whether `text` contains a secret, plain or percent-encoded."""
    if not secrets:
        return False
    decoded = urllib.parse.unquote_to_bytes(text)
    return any(secret in text or secret in decoded for secret in secrets)


def _parameter_has_secret(parameter: bytes, secrets: Collection[bytes]) -> bool:
    _, _, value = parameter.rpartition(b"=")
    decoded = urllib.parse.unquote_to_bytes(value.replace(b"+", b" "))
    return contains_secret(parameter, secrets) or decoded in secrets


def _header_has_secret(header: Header, secrets: Collection[bytes]) -> bool:
    name, value = header
    if name == b"cookie" and not value:
        return True
    lowered = {secret.lower() for secret in secrets}
    return contains_secret(name.lower(), lowered) or contains_secret(
        value, secrets
    )


def _without_secret_cookies(
    header: Header, secrets: Collection[bytes]
) -> Header:
    name, value = header
    if name != b"cookie":
        return header
    cookies = [c.strip() for c in value.split(b";")]
    kept = [c for c in cookies if c and not contains_secret(c, secrets)]
    return name, b"; ".join(kept)


def _connection_options(headers: http.Headers) -> frozenset[bytes]:
    """Returns the header names that `Connection` declares to be hop-by-hop."""
    values = [v for name, v in headers if name.lower() == b"connection"]
    names = b",".join(values).lower().split(b",")
    return frozenset(name.strip() for name in names)
