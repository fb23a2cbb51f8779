"""Errors of the transport between the system's own processes."""

from lacewingwood import errors


class PeerError(errors.Error):
    """Base of the peer transport's errors.

    Attributes:
        ran: Whether the peer can have acted on the request.
    """

    code = "peer_error"

    def __init__(self, message: str, ran: errors.Ran) -> None:
        super().__init__(message)
        self.ran = ran


class UnreachableError(PeerError):
    """No connection to the peer, or it broke before the answer arrived."""

    code = "peer_unreachable"


class TimeoutError(PeerError):
    """The peer did not answer in time."""

    code = "peer_timeout"


class RefusedError(PeerError):
    """The peer answered that it cannot serve the request.

    Attributes:
        reason: The peer's stable identifier, such as `not_owner`.
    """

    code = "peer_refused"

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(message, errors.Ran.NOT_RUN)
        self.reason = reason


class MalformedError(errors.Error):
    """Bytes received from a peer violate the protocol."""

    code = "peer_malformed"
