"""Admission of requests by their customer's rate."""

from lacewingwood.callers import dependencies
from lacewingwood.callers import errors
from lacewingwood.limits import limiter


async def admit(
    deps: dependencies.Dependencies, name: str, deadline_ms: float
) -> None:
    """Takes one request from the rate of the customer called `name`.

    Raises:
        errors.CallerError: The rate is exceeded, or the customer is gone.
    """
    customer = deps.state.view.customers.get(name)
    if customer is None:
        raise errors.unauthorized("the key's customer was removed")
    match await deps.limiter.admit(customer, deadline_ms):
        case limiter.Refused(retry_after_ms=retry_after_ms):
            deps.metrics.add("callers_rate_refusals", customer=name)
            raise errors.CallerError(
                429,
                "rate_limit_exceeded",
                "the customer's rate is exceeded",
                retry_after_ms=retry_after_ms,
            )
