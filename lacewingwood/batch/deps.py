"""Interfaces of the services that the batch package uses."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from contextlib import AbstractAsyncContextManager
from typing import Any
from typing import Protocol

from lacewingwood import clock
from lacewingwood import metrics
from lacewingwood.hostlist import types as host_types
from lacewingwood.log import types as log_types
from lacewingwood.peers import messages
from lacewingwood.state import records
from lacewingwood.upstreams import types as upstream_types


class Log(Protocol):
    """The log service's client."""

    async def append(self, stream: str, data: bytes) -> int:
        """Appends one record and returns its offset."""

    async def read(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> log_types.Page:
        """Reads records from `start` on."""


class JobState(Protocol):
    """A job in the view of the state."""

    @property
    def job(self) -> records.Job:
        """The job as accepted."""

    @property
    def status(self) -> str:
        """`accepted`, `cancelled` or `finished`."""

    @property
    def cancelled_ms(self) -> int | None:
        """Wall-clock time of the cancellation, None if not cancelled."""

    @property
    def finished_ms(self) -> int | None:
        """Wall-clock time of completion, None if not finished."""

    @property
    def completed(self) -> int:
        """Number of items with an answer; valid once the job is finished."""

    @property
    def failed(self) -> int:
        """Number of failed items; valid once the job is finished."""


class View(Protocol):
    """The state derived from the log's stream `control`."""

    @property
    def customers(self) -> Mapping[str, records.Customer]:
        """Customers by name."""

    @property
    def models(self) -> Mapping[str, records.Model]:
        """Models by name."""

    @property
    def members(self) -> Mapping[str, records.Member]:
        """Processes by node id."""

    @property
    def jobs(self) -> Mapping[str, JobState]:
        """Jobs by id."""


class Follower(Protocol):
    """Follows the stream `control` and publishes changes to it."""

    @property
    def view(self) -> View:
        """The current view."""

    def fresh(self) -> bool:
        """Returns whether the view is known to be current."""

    async def publish(
        self, body: records.Body, based_on: int | None = None
    ) -> int:
        """Appends a change to `control` and returns its offset."""

    async def wait_change(self) -> None:
        """Waits until the view changes."""


class Leases(Protocol):
    """The leases of this process."""

    def held(self, name: str) -> int | None:
        """Returns the epoch of a lease if this process may use it now."""

    async def claim(self, name: str) -> int | None:
        """Claims a lease; returns its epoch, or None if another holds it."""

    async def release(self, name: str) -> None:
        """Releases a lease."""

    def holder(self, name: str) -> records.Member | None:
        """Returns the process that holds a lease, or None."""


class Network(Protocol):
    """Exchanges messages with other processes."""

    def handle(
        self,
        message_type: type[messages.Message],
        handler: Callable[[Any], Awaitable[messages.Message | None]],
    ) -> None:
        """Registers the handler of a message type."""

    async def call(
        self, address: str, request: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Sends a request and returns its answer."""

    def send(self, address: str, message: messages.Message) -> None:
        """Sends a message that has no answer."""


class Stream(Protocol):
    """A streamed answer of an engine."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Iterates over the payloads of its events, without `[DONE]`.

        Raises:
            upstreams.errors.UpstreamError: The stream ended without `[DONE]`.
        """


class Engines(Protocol):
    """Client of the engines."""

    def stream(
        self,
        address: str,
        path: str,
        body: bytes,
        request_id: str,
        deadline_ms: float,
    ) -> AbstractAsyncContextManager[Stream]:
        """Sends a request; leaving the context cancels it on the engine."""

    async def load(self, address: str) -> upstream_types.LoadReport:
        """Asks an engine for its load."""


class Deps(Protocol):
    """Services that a batch worker uses."""

    node_id: str
    follower: Follower
    leases: Leases
    network: Network
    log: Log
    engines: Engines
    clock: clock.Clock
    metrics: metrics.Registry

    def hosts(self) -> list[host_types.Host]:
        """Returns the host list as last fetched."""

    def wall_ms(self) -> int:
        """Returns wall-clock time in ms since the epoch."""
