"""Outcomes of attempts at an upstream."""

import dataclasses

import msgspec

from lacewingwood import errors
from lacewingwood.upstreams import errors as upstream_errors

# Client error statuses after which another upstream may accept the request. An
# upstream responds with 404 if it has not loaded a model that exists.
_RETRY_ELSEWHERE_STATUSES = frozenset((401, 403, 404, 408, 421, 425, 429))


@dataclasses.dataclass(slots=True, frozen=True)
class Completed:
    """The request completed."""


@dataclasses.dataclass(slots=True, frozen=True)
class Cancelled:
    """The caller cancelled; this tells nothing about the upstream's health."""


@dataclasses.dataclass(slots=True, frozen=True)
class Rejected:
    """The upstream rejected the request as invalid and did not run it."""


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """The upstream did not accept the request.

    Attributes:
        leaving: True if it refused because it is about to stop.
    """

    leaving: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Unreachable:
    """No connection could be made."""


@dataclasses.dataclass(slots=True, frozen=True)
class Broken:
    """The connection broke, or the upstream failed with a server error."""

    ran: errors.Ran = errors.Ran.MAY_HAVE_RUN


@dataclasses.dataclass(slots=True, frozen=True)
class Malformed:
    """The response was invalid."""

    ran: errors.Ran = errors.Ran.MAY_HAVE_RUN


@dataclasses.dataclass(slots=True, frozen=True)
class TimedOut:
    """The upstream did not respond in time."""

    ran: errors.Ran = errors.Ran.MAY_HAVE_RUN


Outcome = (
    Completed
    | Cancelled
    | Rejected
    | Refused
    | Unreachable
    | Broken
    | Malformed
    | TimedOut
)


def of_error(exc: upstream_errors.UpstreamError) -> Outcome:
    """Returns the outcome for an error of an upstream client."""
    match exc:
        case upstream_errors.RefusedError(status=status):
            if 400 <= status < 500 and status not in _RETRY_ELSEWHERE_STATUSES:
                return Rejected()
            return Refused(leaving=_says_leaving(exc.body))
        case upstream_errors.ConnectError():
            return Unreachable()
        case upstream_errors.TimeoutError():
            return TimedOut(exc.ran)
        case upstream_errors.InvalidResponseError():
            return Malformed(exc.ran)
        case _:
            return Broken(exc.ran)


def _says_leaving(body: bytes) -> bool:
    try:
        return msgspec.json.decode(body)["error"]["code"] == "leaving"
    except (msgspec.MsgspecError, KeyError, TypeError):
        return False
