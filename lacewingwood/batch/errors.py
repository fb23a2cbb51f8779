"""Errors of the batch package."""

from lacewingwood import errors


class BatchError(errors.Error):
    """Base class of the batch package's errors.

    Attributes:
        ran: Whether the request may have had an effect.
    """

    code = "batch_error"

    def __init__(
        self, message: str, ran: errors.Ran = errors.Ran.NOT_RUN
    ) -> None:
        super().__init__(message)
        self.ran = ran


class NotFoundError(BatchError):
    """The customer has no such file or job."""

    code = "not_found"


class InvalidError(BatchError):
    """The request or a line of the input file is invalid.

    Attributes:
        line: Number of the invalid line, from 1, or None.
        param: Name of the invalid field, or an empty string.
    """

    code = "invalid_request"

    def __init__(
        self, message: str, line: int | None = None, param: str = ""
    ) -> None:
        super().__init__(message)
        self.line = line
        self.param = param


class TooLargeError(BatchError):
    """The file exceeds the size limit."""

    code = "file_too_large"


class ConflictError(BatchError):
    """The idempotency key was used for a different job."""

    code = "idempotency_conflict"


class UnavailableError(BatchError):
    """The log is unavailable or this process's state is out of date."""

    code = "unavailable"


class CorruptError(BatchError):
    """A file or results on the log or an engine's answer are unusable.

    Records on the log may be incomplete or expired.
    """

    code = "corrupt"


class SupersededError(BatchError):
    """A later owner has taken over the same job."""

    code = "superseded"
