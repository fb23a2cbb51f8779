"""In-memory log and network with failures that tests can inject."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import trio
import trio.testing

from lacewingwood import clock
from lacewingwood import errors
from lacewingwood import metrics
from lacewingwood.log import errors as log_errors
from lacewingwood.log import types as log_types
from lacewingwood.peers import messages
from lacewingwood.state import follower
from lacewingwood.state import records


class FakeLog:
    """A log with one stream.

    Attributes:
        entries: All records.
        first: Offset below which records have expired.
        is_down: Whether all calls fail.
        reads_fail: Whether reads fail.
        failures: Failures of the next appends: `lost` (appended, but the
            answer is lost), `down` (not appended), `limited` (rejected by the
            rate limit) or an empty string for none.
        retention_ms: Retention time that reads return.
    """

    def __init__(self, source: clock.ManualClock) -> None:
        self.entries: list[log_types.Entry] = []
        self.first = 0
        self.is_down = False
        self.reads_fail = False
        self.failures: list[str] = []
        self.retention_ms = 1_000_000
        self._clock = source
        self._appended = trio.Event()

    def put(self, body: records.Body, by: str = "op", **more: Any) -> int:
        """Appends a record as an operator would."""
        record_id = more.pop("record_id", f"put-{len(self.entries)}")
        return self._put(
            records.encode(records.Record(record_id, by, body, **more))
        )

    async def append(self, stream: str, data: bytes) -> int:
        await trio.lowlevel.checkpoint()
        failure = self.failures.pop(0) if self.failures else ""
        if self.is_down or failure == "down":
            raise log_errors.UnavailableError("down", False)
        if failure == "limited":
            raise log_errors.RateLimitedError("limited")
        offset = self._put(data)
        if failure == "lost":
            raise log_errors.UnavailableError("lost", True)
        return offset

    async def read(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> log_types.Page:
        await trio.lowlevel.checkpoint()
        if wait_ms and start >= len(self.entries):
            await self._wait(wait_ms)
        if self.is_down or self.reads_fail:
            raise log_errors.UnavailableError("down", False)
        if start < self.first:
            raise log_errors.OffsetExpiredError("expired", self.first)
        return log_types.Page(
            self.entries[start : start + limit],
            self.first,
            len(self.entries),
            self.retention_ms,
        )

    def _put(self, data: bytes) -> int:
        offset = len(self.entries)
        now_ms = int(self._clock.now_ms())
        self.entries.append(log_types.Entry(offset, now_ms, data))
        self._appended.set()
        self._appended = trio.Event()
        return offset

    async def _wait(self, wait_ms: int) -> None:
        appended = self._appended
        async with trio.open_nursery() as nursery:

            async def time_out() -> None:
                await self._clock.sleep_ms(wait_ms)
                nursery.cancel_scope.cancel()

            nursery.start_soon(time_out)
            await appended.wait()
            nursery.cancel_scope.cancel()


class Unreachable(errors.Error):
    """The peer can't be reached."""


class FakeNetwork:
    """Connects the processes of a test.

    Attributes:
        nodes: The processes' ends of the network, by address.
        cut: Pairs of addresses that can't reach each other.
    """

    def __init__(self) -> None:
        self.nodes: dict[str, FakePort] = {}
        self.cut: set[frozenset[str]] = set()

    def port(self, address: str) -> "FakePort":
        """Adds the process at `address`; returns its end of the network."""
        self.nodes[address] = FakePort(self, address)
        return self.nodes[address]

    def isolate(self, address: str) -> None:
        """Cuts a process off from all others."""
        self.cut |= {frozenset({address, other}) for other in self.nodes}


class FakePort:
    """One process's end of the network."""

    def __init__(self, network: FakeNetwork, address: str) -> None:
        self.handlers: dict[type, Callable[[Any], Awaitable[Any]]] = {}
        self.calls: list[tuple[str, messages.Message]] = []
        self._network = network
        self._address = address

    def handle(
        self,
        message_type: type[messages.Message],
        handler: Callable[[Any], Awaitable[messages.Message]],
    ) -> None:
        self.handlers[message_type] = handler

    async def call(
        self, address: str, request: messages.Message, timeout_ms: float
    ) -> messages.Message:
        await trio.lowlevel.checkpoint()
        self.calls.append((address, request))
        cut = frozenset({self._address, address}) in self._network.cut
        port = self._network.nodes.get(address)
        if cut or port is None or type(request) not in port.handlers:
            raise Unreachable(f"no answer from {address}")
        return await port.handlers[type(request)](request)


class Cluster:
    """The clock, log and network that the processes of a test share."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock(1000.0)
        self.log = FakeLog(self.clock)
        self.network = FakeNetwork()

    def follower(self, node_id: str, region: str = "r") -> follower.Follower:
        """Returns a follower whose address is its node id."""
        return follower.Follower(
            self.log,
            self.network.port(node_id),
            self.clock,
            node_id,
            region,
            metrics.Registry(),
        )

    def join(self, *node_ids: str, region: str = "r") -> None:
        """Appends records of joining members to the log."""
        for node_id in node_ids:
            joined = records.MemberJoined(member(node_id, region))
            self.log.put(joined, by=node_id)

    async def run_for(self, duration_ms: float, step_ms: float = 50.0) -> None:
        """Advances the clock in steps and runs all tasks after each."""
        await trio.testing.wait_all_tasks_blocked()
        for _ in range(int(duration_ms / step_ms)):
            self.clock.advance(step_ms)
            await trio.testing.wait_all_tasks_blocked()


def member(
    node_id: str, region: str = "r", role: str = "entry"
) -> records.Member:
    """Returns a member; `a2` is a later process on the same host as `a`."""
    host = f"h-{node_id[0]}"
    return records.Member(node_id, role, node_id, "z", region, host)
