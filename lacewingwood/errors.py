"""Base class of the errors of all packages."""

import enum


class Ran(enum.Enum):
    """Whether a request that was refused or failed may have had an effect."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class Error(Exception):
    """An error with a stable code.

    Attributes:
        code: Stable identifier, in snake_case, for programs to match.
        message: Description for people.
    """

    code = "error"

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message
