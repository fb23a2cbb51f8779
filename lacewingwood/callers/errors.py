"""Errors as callers receive them, in the format of OpenAI's API."""

from typing import Any

import msgspec

from lacewingwood import errors
from lacewingwood.routing import outcomes
from lacewingwood.upstreams import errors as upstream_errors

Ran = errors.Ran

# Statuses that tell callers that a request has not run and never will, so that
# they send it again. A response that has one of them must be certain of it.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "invalid_request_error",
    405: "invalid_request_error",
    413: "invalid_request_error",
    422: "invalid_request_error",
    429: "rate_limit_error",
    431: "invalid_request_error",
}


class CallerError(errors.Error):
    """A refused or failed request, as an HTTP response.

    Attributes:
        status: HTTP status; none of `NOT_RUN_STATUSES` if the request may have
            had an effect.
        ran: Whether the request can have had an effect.
        param: Name of the invalid field, or None.
        retry_after_ms: When the request may be retried, or None.
        headers: Additional headers of the response.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        *,
        ran: Ran = Ran.NOT_RUN,
        param: str | None = None,
        retry_after_ms: float | None = None,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.ran = Ran.NOT_RUN
        self.param = param
        self.retry_after_ms = retry_after_ms
        self.headers = headers
        self.note_earlier_attempts(ran)

    def note_earlier_attempts(self, ran: Ran) -> "CallerError":
        """Takes a request's earlier attempts into account; returns self.

        A status that promises that the request has not run becomes 502.

        Args:
            ran: Whether any of the attempts can have had an effect.
        """
        if ran is Ran.MAY_HAVE_RUN:
            self.ran = ran
            if self.status in NOT_RUN_STATUSES:
                self.status, self.retry_after_ms = 502, None
        return self

    def body(self) -> bytes:
        """Returns the response's body, as JSON."""
        return msgspec.json.encode({"error": self._fields()})

    def _fields(self) -> dict[str, Any]:
        return {
            "message": self.message,
            "type": _TYPES.get(self.status, "server_error"),
            "code": self.code,
            "param": self.param,
            "ran": self.ran.value,
        }


def bad_request(
    message: str, param: str | None = None, code: str = "invalid_request"
) -> CallerError:
    """Returns the error 400 for an invalid request."""
    return CallerError(400, code, message, param=param)


def unauthorized(message: str, code: str = "invalid_api_key") -> CallerError:
    """Returns the error 401 with its challenge header."""
    challenge = ((b"www-authenticate", b"Bearer"),)
    return CallerError(401, code, message, headers=challenge)


def unavailable(
    code: str, message: str, retry_after_ms: float | None = 1000
) -> CallerError:
    """Returns the error 503 for a request that did not run."""
    return CallerError(503, code, message, retry_after_ms=retry_after_ms)


def from_upstream(exc: upstream_errors.UpstreamError) -> CallerError:
    """Returns the error that reports an upstream's failure to the caller."""
    if isinstance(exc, upstream_errors.RefusedError):
        return _from_refusal(exc)
    match exc:
        case _ if exc.ran is Ran.NOT_RUN:
            return unavailable(exc.code, "no upstream accepted the request")
        case upstream_errors.TimeoutError():
            return CallerError(504, exc.code, "upstream timed out", ran=exc.ran)
        case _:
            return CallerError(502, exc.code, "upstream failed", ran=exc.ran)


def _from_refusal(exc: upstream_errors.RefusedError) -> CallerError:
    if outcomes.of_error(exc) == outcomes.Rejected():
        message = _upstream_message(exc.body) or exc.message
        return CallerError(exc.status, exc.code, message)
    return unavailable(exc.code, "no upstream accepted the request")


def _upstream_message(body: bytes) -> str:
    try:
        message = msgspec.json.decode(body)["error"]["message"]
    except (msgspec.MsgspecError, KeyError, TypeError):
        return ""
    return message if isinstance(message, str) else ""
