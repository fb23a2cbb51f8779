"""Errors of the host list's client."""

from lacewingwood import errors


class UnavailableError(errors.Error):
    """The host list could not be fetched."""

    code = "hostlist_unavailable"
