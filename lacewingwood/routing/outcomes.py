"""How an attempt on an upstream ended."""

import dataclasses

import msgspec

from lacewingwood import errors
from lacewingwood.upstreams import errors as upstream_errors

# Statuses with which an upstream says that another one may take the request;
# with 404, that it has not loaded a model which exists.
_BUSY = frozenset((401, 403, 404, 408, 425, 429))


@dataclasses.dataclass(slots=True, frozen=True)
class Completed:
    """The request completed."""


@dataclasses.dataclass(slots=True, frozen=True)
class Cancelled:
    """The caller gave up, which says nothing of the upstream."""


@dataclasses.dataclass(slots=True, frozen=True)
class Rejected:
    """The upstream found the request itself at fault; it did not run."""


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """The upstream did not take the request; `leaving` if it stops."""

    leaving: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Unreachable:
    """No connection could be made."""


@dataclasses.dataclass(slots=True, frozen=True)
class Broken:
    """The connection broke."""

    ran: errors.Ran = errors.Ran.MAY_HAVE_RUN


@dataclasses.dataclass(slots=True, frozen=True)
class Malformed:
    """The answer made no sense."""

    ran: errors.Ran = errors.Ran.MAY_HAVE_RUN


@dataclasses.dataclass(slots=True, frozen=True)
class TimedOut:
    """The upstream did not answer in time."""

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
    """Returns the outcome that an upstream client's error stands for."""
    match exc:
        case upstream_errors.RefusedError(status=status):
            if 400 <= status < 500 and status not in _BUSY:
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
