"""Errors of the log service's client."""

from lacewingwood import errors


class LogError(errors.Error):
    """Base class of the log client's errors."""

    code = "log_error"


class UnavailableError(LogError):
    """The log gave no usable answer.

    Attributes:
        may_have_taken_effect: True if the request was an append and the log
            may have stored its record.
    """

    code = "log_unavailable"

    def __init__(self, message: str, may_have_taken_effect: bool) -> None:
        super().__init__(message)
        self.may_have_taken_effect = may_have_taken_effect


class RateLimitedError(LogError):
    """The log rejected an append because of its rate; nothing was appended."""

    code = "log_rate_limited"


class RecordTooLargeError(LogError):
    """The record exceeds the log's size limit; nothing was appended."""

    code = "log_record_too_large"


class OffsetExpiredError(LogError):
    """The log no longer keeps records from the requested offset on.

    Attributes:
        first: Earliest offset that the log still keeps.
    """

    code = "log_offset_expired"

    def __init__(self, message: str, first: int) -> None:
        super().__init__(message)
        self.first = first
