"""Errors of the operators' interface."""

from lacewingwood import errors


class OperatorError(errors.Error):
    """Base class of the errors of the operators' interface."""

    code = "operator_error"


class BadDocumentError(OperatorError):
    """A configuration document is invalid; none of it was published."""

    code = "bad_document"


class ConflictError(OperatorError):
    """Another operator changed the same entity first."""

    code = "conflict"


class UnreadableError(OperatorError):
    """A file that a command names cannot be read."""

    code = "unreadable"


class UnavailableError(OperatorError):
    """The log or a process did not answer, or its answer was unusable."""

    code = "unavailable"
