"""Fakes of the services that the batch package uses, on trio's clock."""

import bisect
import contextlib
import dataclasses
import json
from collections.abc import AsyncIterable
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import trio

from lacewingwood import errors as base_errors
from lacewingwood import metrics
from lacewingwood.hostlist import types as host_types
from lacewingwood.log import errors as log_errors
from lacewingwood.log import types as log_types
from lacewingwood.peers import messages
from lacewingwood.state import errors as state_errors
from lacewingwood.state import records
from lacewingwood.upstreams import errors as upstream_errors
from lacewingwood.upstreams import types as upstream_types

MODEL = "sabeel-lm"
CUSTOMER = "tanta-office"
_LATENCY_S = 0.001
WALL_START_MS = 1_700_000_000_000


class Clock:
    """The clock of the trio run, which tests may replace by a mock clock."""

    def now_ms(self) -> float:
        return trio.current_time() * 1000

    async def sleep_ms(self, duration_ms: float) -> None:
        await trio.sleep(max(0.0, duration_ms) / 1000)


class Log:
    """A log in memory that can be down or lose answers to appends.

    Attributes:
        streams: Records by stream.
        down: Whether every call fails.
        loses_answer: Called after each append; returns whether its answer is
            lost.
        first_offsets: Offset of the oldest record, for streams with expired
            records.
    """

    def __init__(self) -> None:
        self.streams: dict[str, list[bytes]] = {}
        self.down = False
        self.loses_answer: Callable[[], bool] = lambda: False
        self.first_offsets: dict[str, int] = {}

    async def append(self, stream: str, data: bytes) -> int:
        await trio.lowlevel.checkpoint()
        if self.down:
            raise log_errors.UnavailableError("down", False)
        if len(data) > 1 << 20:
            raise log_errors.RecordTooLargeError("too large")
        entries = self.streams.setdefault(stream, [])
        entries.append(data)
        offset = len(entries) - 1
        if self.loses_answer():
            raise log_errors.UnavailableError("answer lost", True)
        return offset

    async def read(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> log_types.Page:
        await trio.lowlevel.checkpoint()
        if self.down:
            raise log_errors.UnavailableError("down", False)
        data = self.streams.get(stream, [])
        first = self.first_offsets.get(stream, 0)
        if start < first:
            raise log_errors.OffsetExpiredError("expired", first)
        part = enumerate(data[start : start + limit], start)
        entries = [log_types.Entry(offset, 0, item) for offset, item in part]
        return log_types.Page(entries, first, len(data), 10**9)


class AgingLog(Log):
    """A log that drops records after `retention_ms` on trio's clock.

    Attributes:
        append_s: Duration of an append.
        times: Wall-clock times of the records, by stream.
    """

    def __init__(self, retention_ms: int) -> None:
        super().__init__()
        self.retention_ms = retention_ms
        self.append_s = 0.0
        self.times: dict[str, list[int]] = {}

    def expire(self) -> None:
        oldest_ms = self._wall_ms() - self.retention_ms
        for stream, times in self.times.items():
            self.first_offsets[stream] = bisect.bisect_left(times, oldest_ms)

    async def append(self, stream: str, data: bytes) -> int:
        await trio.sleep(self.append_s)
        try:
            return await super().append(stream, data)
        finally:
            times = self.times.setdefault(stream, [])
            added = len(self.streams.get(stream, [])) - len(times)
            times += [self._wall_ms()] * added

    async def read(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> log_types.Page:
        self.expire()
        page = await super().read(stream, start, limit, wait_ms)
        times = self.times.get(stream, [])
        entries = [
            log_types.Entry(e.offset, times[e.offset], e.data)
            for e in page.entries
        ]
        return log_types.Page(entries, page.first, page.head, self.retention_ms)

    def _wall_ms(self) -> int:
        return WALL_START_MS + int(trio.current_time() * 1000)


@dataclasses.dataclass
class JobState:
    """A job in the view."""

    job: records.Job
    status: str = "accepted"
    cancelled_ms: int | None = None
    finished_ms: int | None = None
    completed: int = 0
    failed: int = 0


class Control:
    """The stream `control` and the view of it that all processes share."""

    def __init__(self) -> None:
        self.customers: dict[str, records.Customer] = {}
        self.models = {MODEL: records.Model(MODEL, MODEL, "1")}
        self.members: dict[str, records.Member] = {}
        self.jobs: dict[str, JobState] = {}
        self.leases: dict[str, tuple[str, int]] = {}
        self.changed = trio.Event()
        self.finishes: list[records.JobFinished] = []
        self.offset = 0

    def apply(self, body: records.Body) -> int:
        match body:
            case records.JobAccepted(job):
                if job.job_id in self.jobs:
                    raise state_errors.ConflictError("exists")
                self.jobs[job.job_id] = JobState(job)
            case records.JobCancelled(job_id, at_ms):
                self._check_accepted(job_id)
                self.jobs[job_id].status = "cancelled"
                self.jobs[job_id].cancelled_ms = at_ms
            case records.JobFinished(job_id, completed, failed, at_ms):
                self._check_accepted(job_id)
                self.finishes.append(body)
                state = self.jobs[job_id]
                state.status, state.finished_ms = "finished", at_ms
                state.completed, state.failed = completed, failed
            case records.LeaseClaimed(name, holder):
                self.leases[name] = (holder, self.offset)
            case records.LeaseReleased(name):
                self.leases.pop(name, None)
        self.offset += 1
        self.changed.set()
        self.changed = trio.Event()
        return self.offset - 1

    def _check_accepted(self, job_id: str) -> None:
        if self.jobs[job_id].status != "accepted":
            raise state_errors.ConflictError("ended")


class Follower:
    """Follower of one process; all processes share one view."""

    def __init__(self, control: Control) -> None:
        self.view = control
        self.is_fresh = True
        self.error: Exception | None = None

    def fresh(self) -> bool:
        return self.is_fresh

    async def publish(
        self, body: records.Body, based_on: int | None = None
    ) -> int:
        await trio.lowlevel.checkpoint()
        if self.error is not None:
            raise self.error
        return self.view.apply(body)

    async def wait_change(self) -> None:
        await self.view.changed.wait()


class Leases:
    """Leases of one process, which take effect immediately."""

    def __init__(self, node_id: str, follower: Follower) -> None:
        self._node_id = node_id
        self._follower = follower

    def held(self, name: str) -> int | None:
        holder, epoch = self._follower.view.leases.get(name, ("", -1))
        held_here = holder == self._node_id and self._follower.fresh()
        return epoch if held_here else None

    async def claim(self, name: str) -> int | None:
        await trio.lowlevel.checkpoint()
        if name not in self._follower.view.leases:
            self._follower.view.apply(records.LeaseClaimed(name, self._node_id))
        return self.held(name)

    async def release(self, name: str) -> None:
        await trio.lowlevel.checkpoint()
        if self.held(name) is not None:
            body = records.LeaseReleased(name, self._node_id)
            self._follower.view.apply(body)

    def holder(self, name: str) -> records.Member | None:
        holder, _ = self._follower.view.leases.get(name, ("", -1))
        return self._follower.view.members.get(holder)


class UnreachableError(base_errors.Error):
    """The peer cannot be reached."""

    code = "peer_unreachable"


class Bus:
    """Connects the networks of all processes of one test.

    Attributes:
        networks: Networks by address.
        message_count: Number of calls and messages sent.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.networks: dict[str, Network] = {}
        self.message_count = 0


class Network:
    """Network of one process, connected to the bus."""

    def __init__(self, bus: Bus, address: str) -> None:
        self._bus = bus
        self._handlers: dict[type, Callable[[Any], Awaitable[Any]]] = {}
        self._scopes: set[trio.CancelScope] = set()
        bus.networks[address] = self

    def handle(
        self,
        message_type: type[messages.Message],
        handler: Callable[[Any], Awaitable[messages.Message | None]],
    ) -> None:
        self._handlers[message_type] = handler

    async def call(
        self, address: str, request: messages.Message, timeout_ms: float
    ) -> messages.Message:
        self._bus.message_count += 1
        await trio.sleep(_LATENCY_S)
        peer = self._bus.networks.get(address)
        if peer is None:
            raise UnreachableError("gone")
        scope = trio.CancelScope()
        peer._scopes.add(scope)
        with scope:
            return await peer._handlers[type(request)](request)
        raise UnreachableError("died")

    def send(self, address: str, message: messages.Message) -> None:
        peer = self._bus.networks.get(address)
        self._bus.message_count += 1
        if peer is not None and type(message) in peer._handlers:
            handler = peer._handlers[type(message)]
            self._bus.nursery.start_soon(handler, message)

    def kill(self) -> None:
        for scope in self._scopes:
            scope.cancel()


@dataclasses.dataclass
class Engine:
    """An engine that emits a numbered word each step.

    Attributes:
        running: Events that are set when the engine crashes, by request id.
        max_running: Largest number of requests that ran at a time.
        crashes: Number of crashes.
        bodies: Request bodies received.
        refusals: Statuses with which it refuses the next requests.
    """

    slots: int = 4
    step_ms: float = 20.0
    leaving: bool = False
    running: dict[str, trio.Event] = dataclasses.field(default_factory=dict)
    max_running: int = 0
    crashes: int = 0
    bodies: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    refusals: list[int] = dataclasses.field(default_factory=list)

    def crash(self) -> None:
        self.crashes += 1
        for crashed in self.running.values():
            crashed.set()


class Engines:
    """Client of all engines."""

    def __init__(self) -> None:
        self.by_address: dict[str, Engine] = {}

    async def load(self, address: str) -> upstream_types.LoadReport:
        await trio.lowlevel.checkpoint()
        engine = self.by_address[address]
        return upstream_types.LoadReport(
            running=len(engine.running),
            waiting=0,
            slots=engine.slots,
            kv_used=0.0,
            step_ms=engine.step_ms,
            leaving=engine.leaving,
            versions={},
            boot_id="1",
        )

    @contextlib.asynccontextmanager
    async def stream(
        self,
        address: str,
        path: str,
        body: bytes,
        request_id: str,
        deadline_ms: float,
    ) -> AsyncIterator["Stream"]:
        engine = self.by_address[address]
        fields = json.loads(body)
        engine.bodies.append(fields)
        if engine.refusals:
            status = engine.refusals.pop(0)
            raise upstream_errors.RefusedError("refused", status, b"")
        if fields.get("refuse"):
            raise upstream_errors.RefusedError("refused", 400, b"bad")
        engine.running[request_id] = trio.Event()
        engine.max_running = max(engine.max_running, len(engine.running))
        try:
            yield Stream(engine, fields, engine.running[request_id])
        finally:
            del engine.running[request_id]


@dataclasses.dataclass
class Stream:
    """A streamed answer that breaks off if its engine crashes."""

    engine: Engine
    fields: dict[str, Any]
    crashed: trio.Event

    async def chunks(self) -> AsyncIterator[bytes]:
        first = len(self.fields.get("resume_text", "").split())
        last = self.fields.get("max_tokens", 3)
        for number in range(first, last):
            if self.fields.get("poison"):
                self.engine.crash()
            with trio.move_on_after(self.engine.step_ms / 1000):
                await self.crashed.wait()
            if self.crashed.is_set():
                raise upstream_errors.BrokenError("engine died")
            delta = {"content": f"w{number} "}
            choice = {"index": 0, "delta": delta, "finish_reason": None}
            yield json.dumps({"id": "c", "choices": [choice]}).encode()
        usage = {"total_tokens": last}
        end = {"index": 0, "delta": {}, "finish_reason": "stop"}
        yield json.dumps({"choices": [end], "usage": usage}).encode()


class Deps:
    """Dependencies of one worker."""

    def __init__(self, env: "Environment", node_id: str) -> None:
        address = f"{node_id}:1"
        self.node_id = node_id
        self.follower = Follower(env.control)
        self.leases = Leases(node_id, self.follower)
        self.network = Network(env.bus, address)
        self.log = env.log
        self.engines = env.engines
        self.clock = Clock()
        self.metrics = metrics.Registry()
        self._env = env
        env.control.members[node_id] = records.Member(
            node_id, "worker", address, "tanta-a", "delta-north"
        )

    def hosts(self) -> list[host_types.Host]:
        return self._env.hosts

    def wall_ms(self) -> int:
        return WALL_START_MS + int(self.clock.now_ms())


class Environment:
    """Services that all processes of one test share."""

    def __init__(self, nursery: trio.Nursery, replicas: int = 1) -> None:
        self.control = Control()
        self.log = Log()
        self.engines = Engines()
        self.bus = Bus(nursery)
        self.hosts: list[host_types.Host] = []
        for number in range(replicas):
            address = f"engine-{number}:8000"
            self.engines.by_address[address] = Engine()
            self.hosts.append(
                host_types.Host(
                    id=f"replica-{number}",
                    address=address,
                    kind="engine",
                    service=MODEL,
                    zone="tanta-a",
                    region="delta-north",
                    state="live",
                )
            )


def line(custom_id: str, max_tokens: int = 3, **extra: Any) -> bytes:
    """Returns one line of an input file."""
    content = [{"role": "user", "content": f"about {custom_id}"}]
    body = {"model": MODEL, "messages": content, "max_tokens": max_tokens}
    request = {
        "custom_id": custom_id,
        "method": "POST",
        "url": "/v1/chat/completions",
        "body": body | extra,
    }
    return json.dumps(request).encode() + b"\n"


async def pieces(data: bytes, size: int = 1000) -> AsyncIterator[bytes]:
    """Yields `data` in pieces of at most `size` bytes."""
    for start in range(0, len(data), size):
        yield data[start : start + size]


async def read_json(lines: AsyncIterable[bytes]) -> list[dict[str, Any]]:
    """Decodes JSON lines."""
    return [json.loads(item) async for item in lines]
