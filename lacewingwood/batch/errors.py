"""Errors of the batch layer."""

from lacewingwood import errors


class BatchError(errors.Error):
    """Base of the batch layer's errors.

    Attributes:
        ran: Whether the request can have had an effect.
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
    """The request or a line of the file is wrong.

    Attributes:
        line: Number of the wrong line, from 1, or None.
        param: Name of the wrong field, or an empty string.
    """

    code = "invalid_request"

    def __init__(
        self, message: str, line: int | None = None, param: str = ""
    ) -> None:
        super().__init__(message)
        self.line = line
        self.param = param


class TooLargeError(BatchError):
    """The file is larger than the bound."""

    code = "file_too_large"


class ConflictError(BatchError):
    """The idempotency key belongs to a different job."""

    code = "idempotency_conflict"


class UnavailableError(BatchError):
    """The log or this process's own state cannot be used now."""

    code = "unavailable"


class CorruptError(BatchError):
    """A file or result on the log is incomplete or has expired."""

    code = "corrupt"


class SupersededError(BatchError):
    """A later owner has started on the same job."""

    code = "superseded"
