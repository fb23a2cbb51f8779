"""Decides what becomes of a caller's request, before any replica sees it."""

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

# When to come back to a gateway that has no configuration yet.
_RETRY_STARTING_MS = 500.0
# A route without a time limit still ends at some time.
_LONGEST_MS = 600_000.0

_log = structlog.get_logger()


class Head(msgspec.Struct):
    """What decides a request's way.

    Attributes:
        request_id: The caller's id of the request, or one made here.
        method: HTTP method.
        host: Value of the `Host` header.
        path: Path without the query.
        target: Path and query.
        key: The key it came with, empty if none.
        patience_ms: How long the caller waits, None if it doesn't say.
        resume_after: Id of the last event that the caller has, or None.
        arrived_ms: When it was read.
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


class Resolved(msgspec.Struct):
    """A request's route, and its customer unless the route is public."""

    route: configuration.Route
    customer: configuration.Customer | None


class Gateway:
    """Finds routes, checks keys and rates, and forwards."""

    __slots__ = ("_clock", "_forwarder", "_limits", "_metrics", "_published")

    def __init__(
        self,
        published_: published.Published,
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
        """Longest body that a caller may send."""
        current = self._published.current
        return current.max_body_bytes if current else 0

    def resolve(self, head: Head) -> Resolved:
        """Returns a request's route and customer.

        Raises:
            errors.CallerError: There is no such route, or the key is unknown.
        """
        current = self._current()
        route = current.find_route(head.host, head.path)
        if route is None:
            raise self._refused(head, 404, "no_route", "no such route")
        if route.public or not current.has_customers:
            return Resolved(route, None)
        return Resolved(route, self._customer(current, head))

    def authenticate(self, head: Head) -> configuration.Customer:
        """Returns the customer of a request that names a route's host only.

        Raises:
            errors.CallerError: There is no such host, or the key is unknown.
        """
        current = self._current()
        if not current.host_known(head.host):
            raise self._refused(head, 404, "no_route", "no such host")
        return self._customer(current, head)

    async def forward(
        self,
        req: http.Request,
        head: Head,
        resolved: Resolved,
        headers: runs.Headers,
        body: bytes,
    ) -> None:
        """Answers a request from a replica of its route.

        Raises:
            errors.CallerError: It failed before its answer was started.
            forwarding.AbortError: Its answer can't be completed.
            http.DisconnectedError: The caller went away.
        """
        customer, route = resolved.customer, resolved.route
        if customer is not None:
            self._admit(head, customer)
        limits_ms = [t for t in (head.timeout_ms, route.timeout_ms) if t]
        deadline_ms = head.arrived_ms + min(limits_ms, default=_LONGEST_MS)
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
            )
        )

    def _current(self) -> configuration.Configuration:
        if self._published.current is None:
            raise errors.unavailable(
                "no_configuration",
                "this gateway has no configuration yet",
                _RETRY_STARTING_MS,
            )
        return self._published.current

    def _customer(
        self, current: configuration.Configuration, head: Head
    ) -> configuration.Customer:
        customer = current.customer_of(head.api_key) if head.api_key else None
        if customer is None:
            raise self._refused(head, 401, "unknown_key", "the key is unknown")
        return customer

    def _admit(self, head: Head, customer: configuration.Customer) -> None:
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
            "the customer's rate is used up",
            retry_after_ms=retry_ms,
        )

    def _refused(
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
