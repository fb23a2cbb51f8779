"""Errors of the rate limits."""

from lacewingwood import errors


class LimitError(errors.Error):
    """Base of the limits' errors."""

    code = "limit_error"


class NotOwnerError(LimitError):
    """This process does not own the part of the bucket now."""

    code = "not_owner"


class OutdatedError(LimitError):
    """A later message of the same entry has been handled."""

    code = "outdated"
