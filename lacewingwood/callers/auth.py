"""Authentication of requests by API key."""

import dataclasses
import hashlib
import urllib.parse

from lacewingwood.callers import dependencies
from lacewingwood.callers import errors
from lacewingwood.callers import http

# Query parameters in which clients of other services send API keys.
_QUERY_KEY_NAMES = frozenset(
    ("access_token", "api-key", "api_key", "apikey", "authorization", "key")
)
_QUERY_MESSAGE = "an API key is accepted only in the Authorization header"
_MAX_PARAMETERS = 1000
# Shorter credentials would be found by chance in unrelated headers.
_MIN_SECRET_BYTES = 8


@dataclasses.dataclass(slots=True, frozen=True)
class Caller:
    """An authenticated caller.

    Attributes:
        customer: Name of the customer.
        digest: SHA-256 of the API key, hexadecimal.
        secret: The API key itself.
    """

    customer: str
    digest: str
    secret: bytes


def authenticate(req: http.Request, state: dependencies.State) -> Caller:
    """Authenticates a request by its Authorization header.

    Raises:
        errors.CallerError: The header holds no valid API key. If it is
            missing, a key in the query is reported as such.
    """
    secret = _bearer_token(req, state)
    digest = hashlib.sha256(secret).hexdigest()
    customer = state.view.authenticate(digest)
    if customer is None:
        raise errors.unauthorized("the API key is not valid")
    return Caller(customer, digest, secret)


def refuse_query_keys(req: http.Request, state: dependencies.State) -> None:
    """Raises errors.CallerError if the query contains an API key."""
    for name, value in _query_parameters(req):
        if name.lower() in _QUERY_KEY_NAMES or _is_valid_key(
            value.encode(), state
        ):
            raise errors.bad_request(_QUERY_MESSAGE, name, "key_in_query")


def find_secrets(
    req: http.Request, state: dependencies.State
) -> frozenset[bytes]:
    """Returns all API keys and credentials in a request's query and headers.

    They must not be passed on to upstreams. Credentials in an Authorization or
    Proxy-Authorization header are included whether valid or not, other values
    only if they are a valid API key.
    """
    found: set[bytes] = set()
    candidates = [value.encode() for _, value in _query_parameters(req)]
    for name, value in req.headers:
        match name:
            case b"authorization" | b"proxy-authorization":
                found.add(value.partition(b" ")[2].strip())
            case b"cookie":
                candidates += [_cookie_value(c) for c in value.split(b";")]
            case _:
                candidates.append(value.strip())
    found = {s for s in found if len(s) >= _MIN_SECRET_BYTES}
    found.update(c for c in candidates if _is_valid_key(c, state))
    return frozenset(found)


def _bearer_token(req: http.Request, state: dependencies.State) -> bytes:
    values = req.header_values(b"authorization")
    if not values:
        refuse_query_keys(req, state)
        message = "an API key is required in the header Authorization: Bearer"
        raise errors.unauthorized(message, "missing_api_key")
    if len(values) > 1:
        raise errors.bad_request("header authorization is repeated")
    scheme, _, secret = values[0].partition(b" ")
    secret = secret.strip()
    if scheme.lower() != b"bearer" or not secret:
        raise errors.unauthorized(
            "the Authorization header does not hold a Bearer token"
        )
    return secret


def _query_parameters(req: http.Request) -> list[tuple[str, str]]:
    text = req.scope["query_string"].decode("latin-1")
    try:
        return urllib.parse.parse_qsl(
            text, keep_blank_values=True, max_num_fields=_MAX_PARAMETERS
        )
    except ValueError as exc:
        raise errors.bad_request("the query has too many fields") from exc


def _cookie_value(cookie: bytes) -> bytes:
    return cookie.partition(b"=")[2].strip().strip(b'"')


def _is_valid_key(value: bytes, state: dependencies.State) -> bool:
    digest = hashlib.sha256(value).hexdigest()
    return state.view.authenticate(digest) is not None
