"""What the callers' interface needs from the rest of the process."""

import contextlib
import dataclasses
from collections.abc import AsyncIterable
from collections.abc import AsyncIterator
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
    """The shared configuration, as lacewingwood.state.view.View has it."""

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
        """Returns the customer of a valid key's SHA-256, else None."""


class State(Protocol):
    """The view and whether it is current."""

    @property
    def view(self) -> View:
        """The current view."""

    def fresh(self) -> bool:
        """Tells whether keys and limits in the view may be relied on."""


class Limiter(Protocol):
    """Rate and burst of customers over the fleet."""

    async def admit(
        self, customer: records.Customer, deadline_ms: float
    ) -> limiter_module.Admitted | limiter_module.Refused:
        """Decides whether a request is within its customer's limit."""


class EngineStream(Protocol):
    """A streaming answer of an engine."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the data of each event, `[DONE]` left out.

        Raises:
            upstreams.errors.UpstreamError: It ended without `[DONE]`.
        """


class EngineClient(Protocol):
    """Client of engines; deadlines are on the process's clock, in ms.

    Leaving a stream early cancels the request on the engine.
    """

    def stream(
        self,
        address: str,
        path: str,
        body: bytes,
        request_id: str,
        deadline_ms: float,
    ) -> contextlib.AbstractAsyncContextManager[EngineStream]:
        """Starts a request whose answer is streamed."""

    async def complete(
        self,
        address: str,
        path: str,
        body: bytes,
        request_id: str,
        deadline_ms: float,
    ) -> bytes:
        """Returns the JSON answer of a request."""

    async def load(self, address: str) -> upstream_types.LoadReport:
        """Returns an engine's load report."""

    async def cache_events(
        self, address: str, start: int
    ) -> list[upstream_types.CacheEvent]:
        """Returns an engine's cache events from serial `start` on."""


class PlainResponse(Protocol):
    """A plain service's answer; iterating over it gives its body."""

    status: int

    @property
    def headers(self) -> Sequence[tuple[bytes, bytes]]:
        """Header fields."""

    @property
    def trailers(self) -> Sequence[tuple[bytes, bytes]]:
        """Trailers, known once the body has ended."""

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterates over the body."""


class PlainClient(Protocol):
    """Client of plain services, such as upstreams.plain.PlainClient."""

    def request(
        self,
        address: str,
        method: str,
        path: str,
        *,
        headers: list[tuple[bytes, bytes]],
        body: bytes | AsyncIterable[bytes],
        deadline_ms: float,
    ) -> contextlib.AbstractAsyncContextManager[PlainResponse]:
        """Sends a request; `path` includes the query."""


class IdempotencyClaims(Protocol):
    """Claims of idempotency keys."""

    async def claim(self, key_digest: str, request_id: str) -> str:
        """Returns the id of the request that claimed the key first.

        Raises:
            log.errors.LogError: It can't be found out now.
        """

    async def release(self, key_digest: str, request_id: str) -> None:
        """Gives up a claim whose request is known not to have run."""


class Handler(Protocol):
    """Handler of the requests under a path such as `/v1/files`."""

    async def __call__(
        self, req: http.Request, customer: str, deps: "Dependencies"
    ) -> None:
        """Answers a request of an authenticated customer."""


class PeerNotifier(Protocol):
    """Tells peers what they need to know; none of it waits."""

    def online_count(self, replica_id: str, running: int) -> None:
        """Tells a replica's room holder how many requests run from here."""

    def crash_suspect(self, message: messages.CrashSuspect) -> None:
        """Tells the other entries of a crash."""

    def crash_cleared(self, message: messages.CrashCleared) -> None:
        """Tells the other entries that a suspect has completed."""


class NullPeerNotifier:
    """Notices of a process that has no peers."""

    __slots__ = ()

    def online_count(self, replica_id: str, running: int) -> None:
        """Does nothing."""

    def crash_suspect(self, message: messages.CrashSuspect) -> None:
        """Does nothing."""

    def crash_cleared(self, message: messages.CrashCleared) -> None:
        """Does nothing."""


@dataclasses.dataclass(slots=True, frozen=True)
class Settings:
    """Bounds of the callers' interface.

    Attributes:
        max_body_bytes: Longest body of an inference request.
        max_plain_body_bytes: Longest body for a plain service.
        max_replay_bytes: Longest body that is kept to be sent again.
        max_header_bytes: Most bytes of names and values of all headers.
        deadline_ms: Time given to a request that names no deadline.
        max_deadline_ms: Longest time that a request may ask for.
        check_every_ms: Interval of checks on running streams.
        stale_grace_ms: How long streams go on while the process is stale.
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

    `plain_router` chooses among the hosts of plain services. `handlers` are
    those of batch work, by path: `/v1/files` and `/v1/batches`; `batch` is the
    intake that they use. Without `calls`, calls with an idempotency key that
    may not be repeated are refused.
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
    batch: Any = None
    peer_notifier: PeerNotifier = dataclasses.field(
        default_factory=NullPeerNotifier
    )
    suspects: suspects_module.Suspects = dataclasses.field(
        default_factory=suspects_module.Suspects
    )
    settings: Settings = dataclasses.field(default_factory=Settings)
