"""Enforces the limits of connections and of bodies at a listener."""

import ctypes
import dataclasses
import math
import sys
from collections.abc import Callable

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import configuration
from lacewingwood import gateway_settings
from lacewingwood import metrics as metrics_lib
from lacewingwood.callers import connection_table
from lacewingwood.callers import errors
from lacewingwood.callers import memory

# Memory of a process that callers don't cause: 41 to 46 MB when idle, and what
# views of a large fleet and responses of replicas take.
_BASE_BYTES = 52 << 20
# Part of the rest that is given to callers. The remainder is for copies of
# bodies that are being sent, and for memory that the allocator can't reuse.
_USABLE_FRACTION = 0.7
# A request of the largest usual size fits in, also on the smallest host.
_MIN_BUDGET_BYTES = 8 << 20
# Descriptors for replicas, peers and the store, or half of all if these are
# fewer.
_RESERVED_DESCRIPTORS = 2_000
# Gateways read whole bodies at once, so that buffers would only take memory.
_READ_BYTES = 16 << 10
_QUEUED_MESSAGES = 2
# Within this time expired connections and bodies are found. The same interval
# as other periodic tasks have, so that it wakes no idle process by itself.
_SWEEP_INTERVAL_MS = 400.0
# Retry-After of a body that was refused for lack of memory. Bodies that stall
# are ended within about this time.
_RETRY_AFTER_MS = 1_500.0
# Memory is returned to the system after bodies of this size were released.
_TRIM_BYTES = 8 << 20

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True, kw_only=True)
class Settings:
    """Limits of one process.

    Attributes:
        memory_bytes: Most bytes that callers make the process hold.
        max_connections: Most open connections.
        max_fields: Most fields of a request's head.
        first_byte_ms: Time limit for the first byte of a connection.
        read_bytes: Most bytes that are read from a socket at once. All
            connections together may hold as much each before it is counted.
        queued_messages: Most parts of a request's body, of that size, that wait
            for the application.
        pace: Limits of a body's progress.
    """

    memory_bytes: float = math.inf
    max_connections: float = math.inf
    max_fields: int = 1_000
    first_byte_ms: float = 60_000.0
    # Callers that read a response only once they have sent their whole request
    # rely on these buffers if the response begins earlier.
    read_bytes: int = 64 << 10
    queued_messages: int = 10
    pace: memory.Pace = dataclasses.field(default_factory=memory.Pace)


def make_settings(cfg: gateway_settings.GatewaySettings) -> Settings:
    """Derives the limits from the memory and the descriptors of a process."""
    budget = _USABLE_FRACTION * (cfg.memory_bytes - _BASE_BYTES)
    budget = max(_MIN_BUDGET_BYTES, budget)
    busy_bytes = memory.CONNECTION_BYTES + memory.TRANSIT_BYTES
    reserved = min(cfg.max_descriptors // 2, _RESERVED_DESCRIPTORS)
    return Settings(
        memory_bytes=budget,
        max_connections=min(
            cfg.max_descriptors - reserved, budget // 2 // busy_bytes
        ),
        max_fields=cfg.max_header_fields,
        first_byte_ms=cfg.first_byte_ms,
        read_bytes=_READ_BYTES,
        queued_messages=_QUEUED_MESSAGES,
        pace=memory.Pace(
            cfg.body_stall_ms, cfg.body_rate_window_ms, cfg.body_bytes_per_s
        ),
    )


class Body:
    """A request's body that is received within the limits.

    Attributes:
        scope: Cancelled if the body is ended.
    """

    __slots__ = ("_enforcer", "_state", "scope")

    def __init__(self, enforcer: "Enforcer", state: memory.Body) -> None:
        self.scope = trio.CancelScope()
        self._enforcer = enforcer
        self._state = state

    async def receive(self, size: int, kept: bool = True) -> None:
        """Counts bytes that arrived; waits while no more may be read.

        Args:
            size: Number of the bytes.
            kept: False for bytes that are dropped at once.
        """
        enforcer, state = self._enforcer, self._state
        now_ms = enforcer.clock.now_ms()
        if not kept:
            state.note_received(size, now_ms)
            return
        enforcer.end_bodies(enforcer.budget.receive(state, size, now_ms))
        while enforcer.budget.must_wait(state, enforcer.clock.now_ms()):
            await enforcer.room.park()

    def error(self) -> errors.CallerError | None:
        """Returns why the body was ended, None if it was not."""
        match self._state.reason:
            case None:
                return None
            case memory.Reason.MEMORY:
                return errors.unavailable(
                    "memory",
                    "too many large bodies are being received",
                    _RETRY_AFTER_MS,
                )
            case _:
                return errors.CallerError(
                    408, "body_timeout", "the body arrives too slowly"
                )

    def complete(self) -> None:
        """Ends the receiving; the body is held until `release`."""
        enforcer = self._enforcer
        enforcer.end_bodies(enforcer.budget.complete(self._state))
        enforcer.admit_waiting()

    def release(self) -> None:
        """Stops counting the body."""
        self._enforcer.release(self._state)


class Enforcer:
    """The limits of one listener for callers.

    Attributes:
        budget: Bytes that callers make the process hold.
        clock: The process's clock.
        connections: The open connections.
        room: Tasks that wait until bodies may be read again.
        settings: The limits.
        turn: Taken by bodies of very many chunks; see `http1.Http1`.
    """

    __slots__ = (
        "_bodies",
        "_end_connection",
        "_limits",
        "_metrics",
        "_released_bytes",
        "budget",
        "clock",
        "connections",
        "room",
        "settings",
        "turn",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
        settings: Settings | None = None,
        limits: Callable[
            [], configuration.ClientLimits
        ] = configuration.ClientLimits,
    ) -> None:
        self.clock = clock
        self.settings = settings or Settings()
        self.budget = memory.Budget(
            self.settings.memory_bytes, self.settings.pace
        )
        self.connections = connection_table.ConnectionTable(
            self.settings.max_connections, self.settings.first_byte_ms
        )
        self.room = trio.lowlevel.ParkingLot()
        self.turn = trio.Lock()
        self._limits = limits
        self._metrics = metrics
        self._bodies: dict[memory.Body, Body] = {}
        self._end_connection: dict[
            connection_table.Entry, Callable[[connection_table.End], None]
        ] = {}
        self._released_bytes = 0
        metrics.gauge("callers_connections", lambda: self.connections.open)
        metrics.gauge("callers_connections_idle", lambda: self.connections.idle)
        metrics.gauge("callers_held_bytes", lambda: self.budget.held_bytes)
        metrics.gauge("callers_bodies_open", lambda: self.budget.open_bodies)
        if self.settings.memory_bytes < math.inf:
            metrics.gauge(
                "callers_budget_bytes", lambda: self.settings.memory_bytes
            )

    @property
    def limits(self) -> configuration.ClientLimits:
        """The limits of the current configuration."""
        return self._limits()

    async def run(self) -> None:
        """Ends connections and bodies that exceed a limit, until cancelled."""
        while True:
            await self.clock.sleep_until_next_ms(_SWEEP_INTERVAL_MS)
            self._sweep()

    def admit(self) -> bool:
        """Makes room for one more connection; returns whether there is any."""
        if not self.connections.full:
            return True
        evicted = self.connections.evict(self.clock.now_ms())
        if evicted is None:
            self._note_end("refused")
            return False
        self._end(evicted, connection_table.End.EVICTED)
        return True

    def add(
        self, end: Callable[[connection_table.End], None]
    ) -> connection_table.Entry:
        """Adds a connection that `end` closes."""
        limits = self._limits()
        self.connections.header_ms = limits.header_timeout_ms
        self.connections.idle_ms = limits.idle_timeout_ms
        entry = self.connections.add(self.clock.now_ms())
        self._end_connection[entry] = end
        self.budget.note_connections(1)
        return entry

    def remove(self, entry: connection_table.Entry) -> None:
        """Removes a connection that was closed."""
        self.connections.remove(entry)
        self._end_connection.pop(entry, None)
        self.budget.note_connections(-1)

    def open_body(self) -> Body:
        """Begins to receive a body."""
        state = self.budget.open(self.clock.now_ms())
        body = self._bodies[state] = Body(self, state)
        return body

    def end_bodies(self, ended: list[memory.Body]) -> None:
        """Makes whoever receives these bodies drop them."""
        for state in ended:
            assert state.reason is not None
            self._metrics.add("callers_bodies_ended", reason=state.reason.value)
            _log.info(
                "body ended",
                reason=state.reason.value,
                received=state.received_bytes,
                held=self.budget.held_bytes,
                bodies=self.budget.open_bodies,
            )
            self._released_bytes += state.received_bytes
            self._bodies[state].scope.cancel()

    def release(self, state: memory.Body) -> None:
        """Stops counting a body."""
        self._released_bytes += state.held_bytes
        self.budget.release(state)
        self._bodies.pop(state, None)
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Lets bodies that are held back decide anew whether to go on.

        While memory is short only the oldest may, which waits the longest.
        """
        if self.room:
            self.room.unpark(count=1 if self.budget.short else math.inf)

    def _sweep(self) -> None:
        now_ms = self.clock.now_ms()
        for entry, cause in self.connections.expired(now_ms):
            self._end(entry, cause)
        self.end_bodies(self.budget.sweep(now_ms))
        # Each decides anew whether it has to wait.
        self.room.unpark_all()
        if self._released_bytes > _TRIM_BYTES:
            self._released_bytes = 0
            _trim()

    def _end(
        self, entry: connection_table.Entry, cause: connection_table.End
    ) -> None:
        self._note_end(cause.value)
        end = self._end_connection.get(entry)
        if end is not None:
            end(cause)

    def _note_end(self, cause: str) -> None:
        self._metrics.add("callers_connections_ended", cause=cause)


def _trim() -> None:
    """Returns freed memory to the system, which the allocator would keep."""
    if sys.platform == "linux":
        trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
        if trim is not None:
            trim(0)


def make_unlimited() -> Enforcer:
    """Returns the limits of a listener that needs no others."""
    limits = configuration.ClientLimits(header_timeout_ms=300_000.0)
    settings = Settings(
        first_byte_ms=300_000.0, pace=memory.Pace(math.inf, math.inf, 0.0)
    )
    clock = clocks.MonotonicClock()
    return Enforcer(clock, metrics_lib.Registry(), settings, lambda: limits)
