"""The configuration that operators publish as one versioned document."""

import enum

import msgspec


class RouteKind(enum.Enum):
    """Kind of a route's requests: whether they may be retried or streamed.

    The responses to STREAM requests are event streams; BATCH requests submit
    batch jobs.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    BATCH = "batch"


class Target(msgspec.Struct, frozen=True):
    """A service that a route sends requests to.

    Attributes:
        service: Name of the service.
        weight: Share of the requests relative to the route's other targets.
    """

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Targets, time limits and retry policy for a host and path prefix.

    Attributes:
        name: Unique name.
        host: Value of the `Host` header, in lower case, without a port.
        path_prefix: Begins and ends with a slash.
        kind: Kind of the requests.
        targets: Services and their weights.
        timeout_ms: Longest time until the end of a response, 0 for no limit.
        objective_ms: Latency objective: time until the first byte, or until a
            job is accepted.
        gap_objective_ms: Objective for the longest pause between events of a
            stream, 0 for none.
        priority: Priority of the requests, 0 is the highest.
        max_attempts: Most replicas that one request may run on.
        public: True if requests need no key.
        resumable: True if a broken stream may be resumed at another replica.
        result_deadline_ms: Time from a job's first submission until its
            results are due.
        retention_ms: Time from a job's first submission until its unfinished
            items may be given up.
        max_waiting_tokens: Most tokens of one customer's unfinished batch
            items, over all gateways; 0 for no limit.
        second_attempt_percent: Second attempts against slow responses, as a
            percentage of the requests; None for the gateway's setting.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_ms: float = 0.0
    objective_ms: float = 0.0
    gap_objective_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    result_deadline_ms: float = 0.0
    retention_ms: float = 0.0
    max_waiting_tokens: int = 0
    second_attempt_percent: float | None = None

    @property
    def repeatable(self) -> bool:
        """True if a request may be retried after it may have run."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind in (RouteKind.IDEMPOTENT, RouteKind.BATCH)


class Service(msgspec.Struct, frozen=True):
    """A service whose replicas are cold after their start.

    Attributes:
        name: Unique name.
        cold_ms: How long a replica is cold after its start.
        cold_rate: Requests a second that a cold replica takes, 0 if its
            replicas need no care.
    """

    name: str
    cold_ms: float = 0.0
    cold_rate: float = 0.0


class Customer(msgspec.Struct, frozen=True):
    """A customer, its keys and its rate limit.

    Attributes:
        name: Unique name.
        keys: Secret API keys of the customer's callers.
        rate: Requests a second over all hosts together, 0 for no limit.
        burst: Requests allowed at once.
        priority: Overrides the route's priority unless None.
    """

    name: str
    keys: tuple[str, ...]
    rate: float = 0.0
    burst: float = 0.0
    priority: int | None = None


class ClientLimits(msgspec.Struct, frozen=True):
    """Limits of callers' connections.

    Attributes:
        max_header_bytes: Longest head of a request.
        header_timeout_ms: Time limit for a request's head.
        idle_timeout_ms: Time limit for a connection without a request. The
            default is longer than load balancers usually keep idle connections,
            so that they close them first and send no request on a connection
            that is being closed here.
    """

    max_header_bytes: int = 128 << 10
    header_timeout_ms: float = 60_000.0
    idle_timeout_ms: float = 300_000.0


class Configuration:
    """One version of the whole configuration, with indexes for look-ups.

    Attributes:
        version: Increases with each published configuration.
        routes: All routes.
        customers: Customers by name.
        has_customers: False if no route requires a key.
        max_body_bytes: Longest request body that is accepted.
        client_limits: Limits of callers' connections.
        services: Services that have settings of their own.
    """

    __slots__ = (
        "_by_host",
        "_by_key",
        "client_limits",
        "customers",
        "has_customers",
        "max_body_bytes",
        "routes",
        "services",
        "version",
    )

    def __init__(
        self,
        version: int,
        routes: list[Route],
        customers: list[Customer],
        max_body_bytes: int = 4 << 20,
        client_limits: ClientLimits | None = None,
        services: list[Service] | None = None,
    ) -> None:
        self.version = version
        self.routes = routes
        self.max_body_bytes = max_body_bytes
        self.client_limits = client_limits or ClientLimits()
        self.services = services or []
        self.customers = {c.name: c for c in customers}
        self.has_customers = bool(customers)
        self._by_key = {key: c for c in customers for key in c.keys}
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda r: -len(r.path_prefix)):
            self._by_host.setdefault(route.host, []).append(route)

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of `path`, or None."""
        for route in self._by_host.get(_host_name(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def limits_waiting_tokens(self, host: str) -> bool:
        """Returns whether a route of this host limits the waiting tokens."""
        routes = self._by_host.get(_host_name(host), ())
        return any(route.max_waiting_tokens for route in routes)

    def customer_by_key(self, key: str) -> Customer | None:
        """Returns the customer that holds a key, or None."""
        return self._by_key.get(key)


def _host_name(host: str) -> str:
    return host.partition(":")[0].lower()
