"""Errors of the rate limiter."""

from lacewingwood import errors


class LimitError(errors.Error):
    """Base class of the rate limiter's errors."""

    code = "limit_error"


class NotOwnerError(LimitError):
    """This process does not currently own the part of the bucket."""

    code = "not_owner"


class OutdatedError(LimitError):
    """A later message of the same entry process was already handled."""

    code = "outdated"
