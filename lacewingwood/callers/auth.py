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
    """Returns the caller of `req`.

    Raises:
        errors.CallerError: No valid key was given, or in the wrong place.
    """
    _check_query(req.scope["query_string"])
    secret = bearer(req)
    digest = hashlib.sha256(secret).hexdigest()
    customer = state.view.authenticate(digest)
    if customer is None:
        raise errors.unauthorized("the API key is not valid")
    return Caller(customer, digest, secret)


def bearer(req: http.Request) -> bytes:
    """Returns the key in the Authorization header.

    Raises:
        errors.CallerError: There is no such header, or more than one.
    """
    values = req.values(b"authorization")
    if not values:
        message = "an API key is needed in the header Authorization: Bearer"
        raise errors.unauthorized(message, "missing_api_key")
    if len(values) > 1:
        raise errors.bad_request("header authorization is repeated")
    scheme, _, secret = values[0].partition(b" ")
    secret = secret.strip()
    if scheme.lower() != b"bearer" or not secret:
        raise errors.unauthorized("the Authorization header is not Bearer")
    return secret


def _check_query(query: bytes) -> None:
    if not query:
        return
    pairs = urllib.parse.parse_qsl(
        query.decode("latin-1"), keep_blank_values=True
    )
    for name, _ in pairs:
        if name.lower() in _QUERY_KEYS:
            message = "an API key is taken only from the Authorization header"
            raise errors.bad_request(message, name, "key_in_query")
