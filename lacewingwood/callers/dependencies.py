"""Dependencies of the request handlers, as protocols, and their settings."""

import contextlib
import dataclasses
from collections.abc import AsyncIterable
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import Protocol

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_module
from lacewingwood.callers import http
from lacewingwood.limits import limiter as limiter_module
from lacewingwood.peers import messages
from lacewingwood.routing import router as routers
from lacewingwood.routing import suspects as suspects_module
from lacewingwood.state import records
from lacewingwood.upstreams import types as upstream_types


class View(Protocol):
    """Read access to the shared configuration, see lacewingwood.state.view."""

    @property
    def customers(self) -> Mapping[str, records.Customer]:
        """Customers by name."""

    @property
    def routes(self) -> Mapping[str, records.Route]:
        """Routes by name."""

    @property
    def models(self) -> Mapping[str, records.Model]:
        """Models by name."""

    def authenticate(self, digest: str) -> str | None:
        """Returns the customer of an API key, None if the key is not valid.

        Args:
            digest: SHA-256 of the key, hexadecimal.
        """


class State(Protocol):
    """The shared configuration and whether it is current."""

    @property
    def view(self) -> View:
        """The latest known configuration."""

    def fresh(self) -> bool:
        """Returns whether the view may be used to check keys and limits."""


class Limiter(Protocol):
    """Rate limiter for customers, across all entry processes."""

    async def admit(
        self, customer: records.Customer, deadline_ms: float
    ) -> limiter_module.Admitted | limiter_module.Refused:
        """Returns whether a request is within its customer's rate limit."""


class EngineStream(Protocol):
    """A streamed response of an engine."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the data of each event except `[DONE]`.

        Raises:
            upstreams.errors.UpstreamError: The stream ended without `[DONE]`.
        """


class EngineClient(Protocol):
    """HTTP client for engines; deadlines are on the process's clock, in ms."""

    def stream(
        self,
        address: str,
        path: str,
        body: bytes,
        request_id: str,
        deadline_ms: float,
    ) -> contextlib.AbstractAsyncContextManager[EngineStream]:
        """Starts a request whose response is streamed.

        Leaving the context before the stream ends cancels the request on the
        engine.
        """

    async def complete(
        self,
        address: str,
        path: str,
        body: bytes,
        request_id: str,
        deadline_ms: float,
    ) -> bytes:
        """Sends a request and returns the JSON body of the response."""

    async def load(self, address: str) -> upstream_types.LoadReport:
        """Returns an engine's load report."""

    async def cache_events(
        self, address: str, start: int
    ) -> list[upstream_types.CacheEvent]:
        """Returns an engine's cache events from serial number `start` on."""


class PlainResponse(Protocol):
    """A plain service's response; iterating over it yields its body."""

    status: int

    @property
    def headers(self) -> Sequence[tuple[bytes, bytes]]:
        """Header fields."""

    @property
    def trailers(self) -> Sequence[tuple[bytes, bytes]]:
        """Trailers, available once the body has ended."""

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterates over the body."""


class PlainClient(Protocol):
    """HTTP client for plain services, which are no engines.

    Implemented by upstreams.plain.PlainClient.
    """

    def request(
        self,
        address: str,
        method: str,
        path: str,
        *,
        headers: list[tuple[bytes, bytes]],
        body: bytes | AsyncIterable[bytes],
        deadline_ms: float,
        on_send: Callable[[], None] = lambda: None,
    ) -> contextlib.AbstractAsyncContextManager[PlainResponse]:
        """Sends a request; `path` includes the query.

        `on_send` is called right before the first byte is sent.
        """


class IdempotencyClaims(Protocol):
    """Claims of idempotency keys."""

    async def claim(self, key_digest: str, request_id: str) -> str:
        """Returns the id of the request that claimed the key first.

        Raises:
            log.errors.LogError: The log of claims is not available.
        """

    async def release(self, key_digest: str, request_id: str) -> None:
        """Releases the claim of a request that did not run."""


class Handler(Protocol):
    """Handler of the requests under a path such as `/v1/files`."""

    async def __call__(
        self, req: http.Request, customer: str, deps: "Dependencies"
    ) -> None:
        """Handles a request of an authenticated customer."""


class PeerNotifier(Protocol):
    """Sends notifications to other processes, without waiting for them."""

    def online_count(self, replica_id: str, running: int) -> None:
        """Sends the number of this process's requests on a replica.

        The recipient is the worker that holds the replica's lease, which
        runs batch work in the capacity that online requests leave.
        """

    def crash_suspect(self, message: messages.CrashSuspect) -> None:
        """Notifies the other entries of a replica's crash."""

    def crash_cleared(self, message: messages.CrashCleared) -> None:
        """Notifies the other entries that a suspect has completed."""


class NullPeerNotifier:
    """Notifier for a process without peers; sends nothing."""

    __slots__ = ()

    def online_count(self, replica_id: str, running: int) -> None:
        """Does nothing."""

    def crash_suspect(self, message: messages.CrashSuspect) -> None:
        """Does nothing."""

    def crash_cleared(self, message: messages.CrashCleared) -> None:
        """Does nothing."""


@dataclasses.dataclass(slots=True, frozen=True)
class Settings:
    """Limits of the request handlers.

    Attributes:
        max_body_bytes: Maximum body of an inference request.
        max_plain_body_bytes: Maximum body of a request to a plain service.
        max_replay_bytes: Maximum body that is buffered for retries.
        max_header_bytes: Maximum total size of header names and values.
        deadline_ms: Time limit of a request that sets no deadline.
        max_deadline_ms: Maximum time limit that a request may set.
        check_interval_ms: Interval at which the API keys of running requests
            are checked.
        stale_grace_ms: How long requests continue while the shared
            configuration is not known to be current.
    """

    max_body_bytes: int = 4 << 20
    max_plain_body_bytes: int = 64 << 20
    max_replay_bytes: int = 64 << 10
    max_header_bytes: int = 32 << 10
    deadline_ms: float = 600_000
    max_deadline_ms: float = 3_600_000
    check_interval_ms: float = 500
    stale_grace_ms: float = 2000


@dataclasses.dataclass(slots=True)
class Dependencies:
    """Everything that request handlers use.

    Attributes:
        state: The shared configuration.
        limiter: Rate limiter for customers.
        router: Chooses among the replicas of engines.
        engine_client: HTTP client for engines.
        clock: The process's clock.
        metrics: The process's metrics.
        plain_client: HTTP client for plain services.
        plain_router: Chooses among the hosts of plain services.
        idempotency_claims: Claims of idempotency keys. Without it, requests
            to plain services are refused if they have an idempotency key and
            their method is not idempotent.
        batch_handlers: Handlers of the batch interface by path, `/v1/files`
            and `/v1/batches`.
        batch_intake: The intake of batch jobs that the batch handlers use.
        peer_notifier: Sends notifications to other processes.
        suspects: Requests that were running on a replica when it crashed.
        settings: Limits of the request handlers.
    """

    state: State
    limiter: Limiter
    router: routers.Router
    engine_client: EngineClient
    clock: clocks.Clock
    metrics: metrics_module.Registry
    plain_client: PlainClient
    plain_router: routers.Router
    idempotency_claims: IdempotencyClaims | None = None
    batch_handlers: Mapping[str, Handler] = dataclasses.field(
        default_factory=dict
    )
    batch_intake: Any = None
    peer_notifier: PeerNotifier = dataclasses.field(
        default_factory=NullPeerNotifier
    )
    suspects: suspects_module.Suspects = dataclasses.field(
        default_factory=suspects_module.Suspects
    )
    settings: Settings = dataclasses.field(default_factory=Settings)
