"""Errors of the shared state."""

from lacewingwood import errors


class StateError(errors.Error):
    """Base class of the shared state's errors."""

    code = "state_error"


class BadRecordError(StateError):
    """Bytes are not a valid record or encoded view."""

    code = "bad_record"


class ConflictError(StateError):
    """The change conflicts with an earlier one and has no effect."""

    code = "conflict"


class UnavailableError(StateError):
    """A change was not seen on the log in time.

    Attributes:
        may_have_taken_effect: True if the log may still have stored it.
    """

    code = "state_unavailable"

    def __init__(self, message: str, may_have_taken_effect: bool) -> None:
        super().__init__(message)
        self.may_have_taken_effect = may_have_taken_effect


class StaleError(StateError):
    """This process can't tell whether its view is current."""

    code = "stale"


class TooLargeError(StateError):
    """A change exceeds the log's size limit; it has no effect."""

    code = "change_too_large"
