"""What of a request and its answer passes to and from a plain service."""

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
# Headers that are ours to set, or that carry credentials for us.
_OURS = frozenset(
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
    """Returns the headers that a plain service may see."""
    dropped = _HOP_BY_HOP | _OURS | _named_by_connection(headers)
    passed = [h for h in headers if h[0] not in dropped]
    passed = [_without_cookies(h, secrets) for h in passed]
    return [h for h in passed if not _holds(h, secrets)]


def for_caller(headers: Iterable[Header]) -> list[Header]:
    """Returns the headers of a plain service's answer for the caller."""
    listed = list(headers)
    dropped = _HOP_BY_HOP | _named_by_connection(listed) | {b"x-request-id"}
    return [h for h in listed if h[0].lower() not in dropped]


def without_secrets(query: bytes, secrets: Collection[bytes]) -> bytes:
    """Returns a query without the parameters whose value is a secret."""
    if not secrets:
        return query
    parts = query.split(b"&")
    return b"&".join(p for p in parts if not _is_secret(p, secrets))


def contains_secret(text: bytes, secrets: Collection[bytes]) -> bool:
    """Tells whether `text` holds a secret, as it is or percent-encoded."""
    if not secrets:
        return False
    decoded = urllib.parse.unquote_to_bytes(text)
    return any(secret in text or secret in decoded for secret in secrets)


def _is_secret(parameter: bytes, secrets: Collection[bytes]) -> bool:
    _, _, value = parameter.rpartition(b"=")
    decoded = urllib.parse.unquote_to_bytes(value.replace(b"+", b" "))
    return contains_secret(parameter, secrets) or decoded in secrets


def _holds(header: Header, secrets: Collection[bytes]) -> bool:
    name, value = header
    if name == b"cookie" and not value:
        return True
    lowered = {secret.lower() for secret in secrets}
    return contains_secret(name.lower(), lowered) or contains_secret(
        value, secrets
    )


def _without_cookies(header: Header, secrets: Collection[bytes]) -> Header:
    name, value = header
    if name != b"cookie":
        return header
    cookies = [c.strip() for c in value.split(b";")]
    kept = [c for c in cookies if c and not contains_secret(c, secrets)]
    return name, b"; ".join(kept)


def _named_by_connection(headers: http.Headers) -> frozenset[bytes]:
    """Returns the headers that `Connection` declares to be hop-by-hop."""
    values = [v for name, v in headers if name.lower() == b"connection"]
    names = b",".join(values).lower().split(b",")
    return frozenset(name.strip() for name in names)
