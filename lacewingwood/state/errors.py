"""Errors of the shared state."""

from lacewingwood import errors


class StateError(errors.Error):
    """Base of the state layer's errors."""

    code = "state_error"


class BadRecordError(StateError):
    """Bytes on the log are not a record."""

    code = "bad_record"


class ConflictError(StateError):
    """Another change to the same entity came first."""

    code = "conflict"


class UnavailableError(StateError):
    """A change could not be recorded.

    Attributes:
        may_have_taken_effect: True if it may be on the log all the same.
    """

    code = "state_unavailable"

    def __init__(self, message: str, may_have_taken_effect: bool) -> None:
        super().__init__(message)
        self.may_have_taken_effect = may_have_taken_effect


class StaleError(StateError):
    """This process does not know whether its state is current."""

    code = "stale"


class TooLargeError(StateError):
    """A change is larger than the log takes; it has no effect."""

    code = "change_too_large"
