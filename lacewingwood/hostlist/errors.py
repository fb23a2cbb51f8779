"""Errors of the host list's client."""

from lacewingwood import errors


class UnavailableError(errors.Error):
    """The host list gave no usable answer."""

    code = "hostlist_unavailable"
