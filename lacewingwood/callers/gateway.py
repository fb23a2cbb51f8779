"""Routing, authentication and rate limiting of requests at a gateway."""

import msgspec
import structlog

from lacewingwood import clock as clocks
from lacewingwood import configuration
from lacewingwood import metrics as metrics_lib
from lacewingwood.callers import errors
from lacewingwood.callers import forwarding
from lacewingwood.callers import http
from lacewingwood.callers import progress
from lacewingwood.limits import shared
from lacewingwood.state import published
from lacewingwood.upstreams import runs

# Code of the error for a request that no route matches.
NO_ROUTE = "no_route"

# Retry-After of a gateway that has not received a configuration yet.
_NO_CONFIGURATION_RETRY_AFTER_MS = 500.0
# Applies if neither the caller nor the route sets a time limit.
_DEFAULT_TIMEOUT_MS = 600_000.0

_log = structlog.get_logger()


class Head(msgspec.Struct):
    """The parts of a request's line and headers that a gateway evaluates.

    Attributes:
        request_id: The caller's id of the request, or a generated one.
        method: HTTP method.
        host: Value of the `Host` header.
        path: Path without the query.
        target: Path and query.
        api_key: API key of the request, empty if it has none.
        timeout_ms: How long the caller waits, None if the request does not
            say.
        resume_after: Id of the last event that the caller received, or None.
        arrived_ms: When the head was read, on the process's clock.
        prompt: Ids of the parts of the prompt; see `runs.Work`.
        resumes: Id of the caller's request that brought the first event of the
            stream that this one goes on with, empty if it does not say.
    """

    request_id: str
    method: str
    host: str
    path: str
    target: bytes
    api_key: str
    timeout_ms: float | None
    resume_after: int | None
    arrived_ms: float
    prompt: tuple[str, ...] = ()
    resumes: str = ""


class Resolved(msgspec.Struct):
    """The route and the customer of a request.

    Attributes:
        route: The route that matches the request's host and path.
        customer: The owner of the request's API key. None if the route is
            public or no customers are configured.
        configuration_version: Version of the configuration that has the route.
    """

    route: configuration.Route
    customer: configuration.Customer | None
    configuration_version: int


class Gateway:
    """Authenticates requests, applies rate limits and forwards them."""

    __slots__ = ("_clock", "_forwarder", "_limits", "_metrics", "_published")

    def __init__(
        self,
        published_: published.PublishedConfiguration,
        limits: shared.SharedLimits,
        forwarder: forwarding.Forwarder,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
    ) -> None:
        self._published = published_
        self._limits = limits
        self._forwarder = forwarder
        self._clock = clock
        self._metrics = metrics

    @property
    def max_body_bytes(self) -> int:
        """Maximum size of a request body; 0 without a configuration."""
        current = self._published.current
        return current.max_body_bytes if current else 0

    def limits_waiting_tokens(self, host: str) -> bool:
        """Returns whether a route of a host limits the waiting tokens."""
        current = self._published.current
        return current is not None and current.limits_waiting_tokens(host)

    def resolve(self, head: Head) -> Resolved:
        """Returns the route and the customer of a request.

        Raises:
            errors.CallerError: No route matches, or the API key is unknown.
        """
        current = self._configuration()
        route = current.find_route(head.host, head.path)
        if route is None:
            raise self._refusal(head, 404, NO_ROUTE, "no such route")
        if route.public or not current.has_customers:
            return Resolved(route, None, current.version)
        customer = self._find_customer(current, head)
        return Resolved(route, customer, current.version)

    def authenticate(self, head: Head) -> configuration.Customer:
        """Returns the customer of a request for a job that was accepted.

        Such a request needs no route: the job outlives the one that took it.

        Raises:
            errors.CallerError: The API key is unknown.
        """
        return self._find_customer(self._configuration(), head)

    async def forward(
        self,
        req: http.Request,
        head: Head,
        resolved: Resolved,
        headers: runs.Headers,
        body: bytes,
    ) -> None:
        """Forwards a request to a replica of its route and sends the response.

        Raises:
            errors.CallerError: The request failed before its response was
                started.
            forwarding.AbortError: The response was started and can't be
                completed.
            http.DisconnectedError: The caller disconnected.
        """
        customer, route = resolved.customer, resolved.route
        timeouts_ms = [t for t in (head.timeout_ms, route.timeout_ms) if t]
        deadline_ms = head.arrived_ms + min(
            timeouts_ms, default=_DEFAULT_TIMEOUT_MS
        )
        self._forwarder.stop.check(head.request_id, deadline_ms)
        if customer is not None:
            self._check_rate_limit(head, customer)
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        work = runs.Work(
            request_id=head.request_id,
            method=head.method,
            target=head.target,
            headers=headers,
            body=body,
            customer=customer.name if customer else "",
            prompt=head.prompt,
        )
        await self._forwarder.run(
            progress.Call(
                req=req,
                route=route,
                work=work,
                arrived_ms=head.arrived_ms,
                deadline_ms=deadline_ms,
                priority=priority,
                resume_after=head.resume_after,
                resumes=head.resumes,
            )
        )

    def _configuration(self) -> configuration.Configuration:
        if self._published.current is None:
            raise errors.unavailable(
                "no_configuration",
                "this gateway has no configuration yet",
                _NO_CONFIGURATION_RETRY_AFTER_MS,
            )
        return self._published.current

    def _find_customer(
        self, current: configuration.Configuration, head: Head
    ) -> configuration.Customer:
        customer = (
            current.customer_by_key(head.api_key) if head.api_key else None
        )
        if customer is None:
            raise self._refusal(
                head, 401, "unknown_key", "the API key is unknown"
            )
        return customer

    def _check_rate_limit(
        self, head: Head, customer: configuration.Customer
    ) -> None:
        retry_ms = self._limits.admit(customer.name, self._clock.now_ms())
        if retry_ms is None:
            return
        level = self._limits.level(customer.name)
        self._metrics.add("requests_refused", reason="rate")
        _log.info(
            "request refused",
            request_id=head.request_id,
            customer=customer.name,
            reason="rate",
            rate=customer.rate,
            burst=customer.burst,
            tokens=round(level, 2) if level is not None else None,
            share=round(self._limits.share, 3),
            version=self._published.version,
        )
        raise errors.CallerError(
            429,
            "rate_exceeded",
            "the customer's rate limit is exceeded",
            retry_after_ms=retry_ms,
        )

    def _refusal(
        self, head: Head, status: int, code: str, text: str
    ) -> errors.CallerError:
        self._metrics.add("requests_refused", reason=code)
        _log.info(
            "request refused",
            request_id=head.request_id,
            reason=code,
            host=head.host[:60],
            path=head.path[:60],
            version=self._published.version,
        )
        return errors.CallerError(status, code, text)
