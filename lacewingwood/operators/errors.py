"""Errors of the operators' interface."""

from lacewingwood import errors


class OperatorError(errors.Error):
    """Base of the operators' layer's errors."""

    code = "operator_error"


class BadDocumentError(OperatorError):
    """A configuration document was planned although it has problems."""

    code = "bad_document"
