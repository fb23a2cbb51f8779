"""Errors of the log service's client."""

from lacewingwood import errors


class LogError(errors.Error):
    """Base of the log client's errors."""

    code = "log_error"


class UnavailableError(LogError):
    """The log gave no usable answer.

    Attributes:
        may_have_taken_effect: True if an append may be on the log although its
            answer was lost.
    """

    code = "log_unavailable"

    def __init__(self, message: str, may_have_taken_effect: bool) -> None:
        super().__init__(message)
        self.may_have_taken_effect = may_have_taken_effect


class RateLimitedError(LogError):
    """The log refused an append because it takes too many; not appended."""

    code = "log_rate_limited"


class RecordTooLargeError(LogError):
    """The record is larger than the log accepts; not appended."""

    code = "log_record_too_large"


class OffsetExpiredError(LogError):
    """The offset asked for has fallen off the log.

    Attributes:
        first: The earliest offset that the log still keeps.
    """

    code = "log_offset_expired"

    def __init__(self, message: str, first: int) -> None:
        super().__init__(message)
        self.first = first
