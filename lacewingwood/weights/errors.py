"""Errors of the weight store's client."""

from lacewingwood import errors


class WeightsError(errors.Error):
    """Base of the weight store client's errors."""

    code = "weights_error"


class UnavailableError(WeightsError):
    """The weight store gave no usable answer."""

    code = "weights_unavailable"


class NotFoundError(WeightsError):
    """The weight store has no such artifact."""

    code = "weights_not_found"


class RateLimitedError(WeightsError):
    """The weight store takes no more downloads for now.

    Attributes:
        retry_after_ms: Time after which to try again.
    """

    code = "weights_rate_limited"

    def __init__(self, message: str, retry_after_ms: float) -> None:
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class CorruptError(WeightsError):
    """The contents do not have the digest that the weight store gave."""

    code = "weights_corrupt"
