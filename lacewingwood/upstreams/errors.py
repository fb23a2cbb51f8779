"""Errors of the clients of engines and plain services."""

from lacewingwood import errors


class UpstreamError(errors.Error):
    """Base of the upstream clients' errors.

    Attributes:
        ran: Whether the request can have had an effect on the upstream.
    """

    code = "upstream_error"

    def __init__(self, message: str, ran: errors.Ran) -> None:
        super().__init__(message)
        self.ran = ran


class ConnectError(UpstreamError):
    """No connection could be made; the request was not sent."""

    code = "upstream_connect_failed"

    def __init__(self, message: str) -> None:
        super().__init__(message, errors.Ran.NOT_RUN)


class RefusedError(UpstreamError):
    """The upstream refused the request before running it.

    Attributes:
        status: HTTP status of the response.
        body: Body of the response.
    """

    code = "upstream_refused"

    def __init__(self, message: str, status: int, body: bytes) -> None:
        super().__init__(message, errors.Ran.NOT_RUN)
        self.status = status
        self.body = body


class UnsendableError(UpstreamError):
    """The request can't be written in the upstream's protocol."""

    code = "upstream_request_unsendable"

    def __init__(self, message: str) -> None:
        super().__init__(message, errors.Ran.NOT_RUN)


class BrokenError(UpstreamError):
    """The connection broke, or the upstream failed; the request may have run.

    The upstream may have received the request before the connection broke.
    """

    code = "upstream_broken"

    def __init__(self, message: str) -> None:
        super().__init__(message, errors.Ran.MAY_HAVE_RUN)


class TimeoutError(UpstreamError):
    """The upstream did not respond in time."""

    code = "upstream_timeout"


class InvalidResponseError(UpstreamError):
    """The upstream's response is malformed or not for this request."""

    code = "upstream_bad_answer"

    def __init__(self, message: str) -> None:
        super().__init__(message, errors.Ran.MAY_HAVE_RUN)
