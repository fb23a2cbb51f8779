"""Admission of requests by their customer's rate."""

from lacewingwood.callers import dependencies
from lacewingwood.callers import errors


async def admit(
    deps: dependencies.Dependencies, customer: str, deadline_ms: float
) -> None:
    """Takes one request from the customer's rate.

    Raises:
        errors.CallerError: The rate is exceeded.
    """
    answer = await deps.limiter.admit(customer, deadline_ms)
    retry_after_ms = getattr(answer, "retry_after_ms", None)
    if retry_after_ms is not None:
        deps.metrics.add("callers_rate_refusals", customer=customer)
        raise errors.CallerError(
            429,
            "rate_limit_exceeded",
            "the customer's rate is exceeded",
            retry_after_ms=retry_after_ms,
        )
