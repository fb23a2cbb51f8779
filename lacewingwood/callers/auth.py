"""Who a request comes from."""

import dataclasses
import hashlib
import urllib.parse

from lacewingwood.callers import dependencies
from lacewingwood.callers import errors
from lacewingwood.callers import http

# Names under which callers of other services send keys in the query.
_QUERY_KEYS = frozenset(
    ("access_token", "api-key", "api_key", "apikey", "authorization", "key")
)
_QUERY_MESSAGE = "an API key is taken only from the Authorization header"
_MAX_PARAMETERS = 1000
# Credentials shorter than this are found in unrelated headers by chance.
_MIN_SECRET_BYTES = 8


@dataclasses.dataclass(slots=True, frozen=True)
class Caller:
    """The customer of a request and the key that proved it.

    Attributes:
        customer: Name of the customer.
        digest: SHA-256 of the key, hexadecimal.
        secret: The key itself, for keeping it from upstreams.
    """

    customer: str
    digest: str
    secret: bytes


def authenticate(req: http.Request, state: dependencies.State) -> Caller:
    """Returns the caller of `req`, by its Authorization header alone.

    Raises:
        errors.CallerError: No valid key was given, or in the wrong place.
    """
    secret = _bearer(req, state)
    digest = hashlib.sha256(secret).hexdigest()
    customer = state.view.authenticate(digest)
    if customer is None:
        raise errors.unauthorized("the API key is not valid")
    return Caller(customer, digest, secret)


def refuse_query_keys(req: http.Request, state: dependencies.State) -> None:
    """Raises errors.CallerError if the query holds a key."""
    for name, value in _query(req):
        if name.lower() in _QUERY_KEYS or _is_key(value.encode(), state):
            raise errors.bad_request(_QUERY_MESSAGE, name, "key_in_query")


def find_secrets(
    req: http.Request, state: dependencies.State
) -> frozenset[bytes]:
    """Returns all keys and credentials found in a request.

    Credentials in an Authorization header count whether valid or not. Other
    values count if they are a valid key.
    """
    found: set[bytes] = set()
    candidates = [value.encode() for _, value in _query(req)]
    for name, value in req.headers:
        match name:
            case b"authorization" | b"proxy-authorization":
                found.add(value.partition(b" ")[2].strip())
            case b"cookie":
                candidates += [_cookie_value(c) for c in value.split(b";")]
            case _:
                candidates.append(value.strip())
    found = {s for s in found if len(s) >= _MIN_SECRET_BYTES}
    found.update(c for c in candidates if _is_key(c, state))
    return frozenset(found)


def _bearer(req: http.Request, state: dependencies.State) -> bytes:
    values = req.header_values(b"authorization")
    if not values:
        refuse_query_keys(req, state)
        message = "an API key is needed in the header Authorization: Bearer"
        raise errors.unauthorized(message, "missing_api_key")
    if len(values) > 1:
        raise errors.bad_request("header authorization is repeated")
    scheme, _, secret = values[0].partition(b" ")
    secret = secret.strip()
    if scheme.lower() != b"bearer" or not secret:
        raise errors.unauthorized("the Authorization header is not Bearer")
    return secret


def _query(req: http.Request) -> list[tuple[str, str]]:
    text = req.scope["query_string"].decode("latin-1")
    try:
        return urllib.parse.parse_qsl(
            text, keep_blank_values=True, max_num_fields=_MAX_PARAMETERS
        )
    except ValueError as exc:
        raise errors.bad_request("the query has too many fields") from exc


def _cookie_value(cookie: bytes) -> bytes:
    return cookie.partition(b"=")[2].strip().strip(b'"')


def _is_key(value: bytes, state: dependencies.State) -> bool:
    digest = hashlib.sha256(value).hexdigest()
    return state.view.authenticate(digest) is not None
