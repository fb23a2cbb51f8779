"""Errors of the weight store's client."""

from lacewingwood import errors


class WeightsError(errors.Error):
    """Base class of the errors of the weight store's client."""

    code = "weights_error"


class UnavailableError(WeightsError):
    """The weight store could not be reached or sent no valid response."""

    code = "weights_unavailable"


class NotFoundError(WeightsError):
    """The weight store has no such artifact."""

    code = "weights_not_found"


class RateLimitedError(WeightsError):
    """The weight store accepts no further download at present.

    Attributes:
        retry_after_ms: Delay before the next attempt.
    """

    code = "weights_rate_limited"

    def __init__(self, message: str, retry_after_ms: float) -> None:
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class CorruptError(WeightsError):
    """The contents do not match the digest sent by the weight store."""

    code = "weights_corrupt"
