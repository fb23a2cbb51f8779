"""Errors of the transport between the processes of this system."""

from lacewingwood import errors


class PeerError(errors.Error):
    """Base class of the peer transport's errors.

    Attributes:
        ran: Whether the peer may have acted on the request.
    """

    code = "peer_error"

    def __init__(self, message: str, ran: errors.Ran) -> None:
        super().__init__(message)
        self.ran = ran


class UnreachableError(PeerError):
    """The connection failed, or broke before the answer arrived."""

    code = "peer_unreachable"


class TimeoutError(PeerError):
    """The peer did not answer within the timeout."""

    code = "peer_timeout"


class RefusedError(PeerError):
    """The peer answered that it cannot serve the request.

    Attributes:
        reason: Error code that the peer sent, such as `not_owner`.
    """

    code = "peer_refused"

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(message, errors.Ran.NOT_RUN)
        self.reason = reason


class MalformedError(errors.Error):
    """Bytes received from a peer violate the protocol."""

    code = "peer_malformed"
