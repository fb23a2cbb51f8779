"""Admission of requests by their customer's rate limit."""

from lacewingwood.callers import dependencies
from lacewingwood.callers import errors
from lacewingwood.limits import limiter


async def admit(
    deps: dependencies.Dependencies, customer_name: str, deadline_ms: float
) -> None:
    """Counts one request against its customer's rate limit.

    Raises:
        errors.CallerError: The rate limit is exceeded, or the customer was
            removed.
    """
    customer = deps.state.view.customers.get(customer_name)
    if customer is None:
        raise errors.unauthorized("the key's customer was removed")
    match await deps.limiter.admit(customer, deadline_ms):
        case limiter.Refused(retry_after_ms=retry_after_ms):
            deps.metrics.add("callers_rate_refusals", customer=customer_name)
            raise errors.CallerError(
                429,
                "rate_limit_exceeded",
                "the customer's rate limit is exceeded",
                retry_after_ms=retry_after_ms,
            )
