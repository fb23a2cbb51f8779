"""Errors of the operators' interface."""

from lacewingwood import errors


class OperatorError(errors.Error):
    """Base of the operators' layer's errors."""

    code = "operator_error"


class BadDocumentError(OperatorError):
    """A change is refused before anything is published."""

    code = "bad_document"


class ConflictError(OperatorError):
    """Another operator changed the same entity first."""

    code = "conflict"


class UnreadableError(OperatorError):
    """A file that a command names cannot be read."""

    code = "unreadable"


class UnavailableError(OperatorError):
    """The log or a process gave no answer."""

    code = "unavailable"
