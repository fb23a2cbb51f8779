"""Runs the phases of the benchmark on the system or on the naive version."""

import dataclasses
import random
import time
from collections.abc import Awaitable
from collections.abc import Callable

import httpcore
import trio

from bench import probes
from bench import workload
from devtools import deployment
from devtools import load

_FILL_TIMEOUT_S = 12.0
_FILLED_SHARE = 0.85
_FILL_SAMPLE_S = 0.5
_BETWEEN_BURSTS_S = 1.5
_BURST_MONITOR_S = 0.25
_POLL_S = 0.01


@dataclasses.dataclass(slots=True)
class Phase:
    """Results of one phase of load.

    Attributes:
        outcomes: Outcomes of the phase's requests.
        usage: Slot time and tokens of the engines during the phase.
        cpu: Highest share of a core for each kind of process.
    """

    outcomes: list[load.Outcome]
    usage: probes.Usage
    cpu: dict[str, float]


@dataclasses.dataclass(slots=True)
class Burst:
    """A burst of online requests while batch items fill the engines' slots.

    Attributes:
        sent_ms: Time from the first request sent to the last.
        yielded_ms: Time from the first request sent to the poll that showed
            the last early end of a batch item; None if no item ended early.
        earliest_ms: Time from the first request sent to the poll before that.
        yields: Number of batch items that were ended early.
        poll_ms: Longest time between polls.
        first_token_ms: Times to first token of the burst's requests.
    """

    sent_ms: float
    yielded_ms: float | None
    earliest_ms: float | None
    yields: int
    poll_ms: float
    first_token_ms: list[float]


@dataclasses.dataclass(slots=True)
class Version:
    """A running version under test: the system or the naive one.

    Attributes:
        organisation: Deployment and load under test.
        running: Processes of the deployment.
        base_urls: URLs of the entries.
        keys: API key of each customer.
        start_batch: Starts a batch job that outlasts the run.
    """

    organisation: workload.Organisation
    running: deployment.Deployment
    base_urls: list[str]
    keys: dict[str, str]
    start_batch: Callable[[], Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Run:
    """Results of all phases on one version.

    Attributes:
        warm_up: First load; it counts only in the check of over-admission.
        entry_half: Half of the engines' capacity, sent in halves to entries
            and engines: the part through the entries.
        direct_half: The part sent to the engines directly.
        online_only: Online load without batch.
        excess: One customer sends far above its rate.
        slots_filled: Whether batch filled the slots before the next phase.
        online_with_batch: The online load of `online_only`, with batch.
        bursts: Bursts of online requests, with batch.
        burst_outcomes: Outcomes of the bursts' requests.
    """

    warm_up: Phase
    entry_half: Phase
    direct_half: Phase
    online_only: Phase
    excess: Phase
    slots_filled: bool
    online_with_batch: Phase
    bursts: list[Burst]
    burst_outcomes: list[load.Outcome]

    def through_entries(self) -> list[load.Outcome]:
        """Returns the outcomes of all requests sent to the entries."""
        phases = (self.warm_up, self.entry_half, self.online_only, self.excess)
        found = [o for phase in phases for o in phase.outcomes]
        return found + self.online_with_batch.outcomes + self.burst_outcomes


class Bench:
    """Runs the phases on one version."""

    def __init__(self, version: Version) -> None:
        self._version = version
        self._org = version.organisation
        self._engines = version.running.engine_addresses
        rng = random.Random(workload.SEED)
        self._target = load.Target(version.base_urls, rng)
        direct_urls = [f"http://{a}/v1" for a in self._engines]
        self._direct = load.Target(direct_urls, rng)
        self._pool = httpcore.AsyncConnectionPool(max_connections=50)

    async def run(self) -> Run:
        """Runs all phases and returns their results."""
        org, keys = self._org, self._version.keys
        online = org.online(keys)
        warm_up = await self._load("warm-up", online, workload.WARM_UP_S)
        entry, direct = await self._half_load()
        online_only = await self._load("online", online, workload.PHASE_S)
        excess = await self._load("excess", org.excess(keys), workload.PHASE_S)
        await self._version.start_batch()
        slots_filled = await self._wait_until_full()
        online_with_batch = await self._load("online", online, workload.PHASE_S)
        bursts, outcomes = await self._send_bursts()
        return Run(
            warm_up,
            entry,
            direct,
            online_only,
            excess,
            slots_filled,
            online_with_batch,
            bursts,
            outcomes,
        )

    async def _load(
        self,
        name: str,
        callers: list[load.Caller],
        duration_s: float,
        target: load.Target | None = None,
    ) -> Phase:
        """Runs open-loop load; the name seeds the arrivals."""
        rng = random.Random(f"{workload.SEED} {name}")
        cpu = probes.Cpu(self._version.running.processes)
        before = await self._usage()
        outcomes = await load.run(
            target or self._target,
            callers,
            duration_s,
            self._org.shape.model,
            rng,
        )
        used = (await self._usage()).since(before)
        return Phase(outcomes, used, cpu.shares())

    async def _half_load(self) -> tuple[Phase, Phase]:
        """Sends half of the load to the entries and half to the engines."""
        callers = self._org.half_load(self._version.keys)
        for caller in callers:
            caller.rate /= 2
        phases: dict[str, Phase] = {}

        async def run(name: str, target: load.Target) -> None:
            phases[name] = await self._load(
                f"half {name}", callers, workload.HALF_LOAD_S, target
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run, "entry", self._target)
            nursery.start_soon(run, "direct", self._direct)
        return phases["entry"], phases["direct"]

    async def _usage(self) -> probes.Usage:
        return await probes.usage(self._pool, self._engines)

    async def _wait_until_full(self) -> bool:
        deadline = time.monotonic() + _FILL_TIMEOUT_S
        while time.monotonic() < deadline:
            before = await self._usage()
            await trio.sleep(_FILL_SAMPLE_S)
            used = (await self._usage()).since(before)
            if used.busy_ms >= _FILLED_SHARE * used.total_ms:
                return True
        return False

    async def _send_bursts(self) -> tuple[list[Burst], list[load.Outcome]]:
        bursts: list[Burst] = []
        outcomes: list[load.Outcome] = []
        for index in range(workload.BURSTS):
            await trio.sleep(_BETWEEN_BURSTS_S)
            burst, sent = await self._send_burst(index)
            bursts.append(burst)
            outcomes += sent
        return bursts, outcomes

    async def _send_burst(self, index: int) -> tuple[Burst, list[load.Outcome]]:
        """Sends requests for half of all slots at once."""
        callers = self._org.online(self._version.keys)
        count = self._org.shape.replicas * workload.SLOTS // 2
        monitor = probes.YieldMonitor(self._pool, self._engines)
        outcomes = [
            load.Outcome(
                customer=callers[n % 2].customer, prompt=f"burst {index} {n}"
            )
            for n in range(count)
        ]
        async with trio.open_nursery() as requests:
            monitor_scope = await requests.start(_run_monitor, monitor)
            for n, outcome in enumerate(outcomes):
                requests.start_soon(
                    load.request,
                    self._target,
                    callers[n % 2],
                    self._org.shape.model,
                    outcome,
                )
            await trio.sleep(_BURST_MONITOR_S)
            monitor_scope.cancel()
        return _read_burst(monitor, outcomes), outcomes


async def _run_monitor(
    monitor: probes.YieldMonitor,
    task_status: trio.TaskStatus[trio.CancelScope],
) -> None:
    """Polls until cancelled; reports the scope to cancel."""
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            await nursery.start(monitor.run, _POLL_S)
            task_status.started(scope)


def _read_burst(
    monitor: probes.YieldMonitor, outcomes: list[load.Outcome]
) -> Burst:
    sent = [o.sent_s for o in outcomes]
    first = min(sent)
    changes = [c for c in monitor.changes if c[1] > first]
    last = max(changes, key=lambda c: c[1], default=None)
    return Burst(
        sent_ms=(max(sent) - first) * 1000,
        yielded_ms=(last[1] - first) * 1000 if last else None,
        earliest_ms=(last[0] - first) * 1000 if last else None,
        yields=sum(count for _, _, count in changes),
        poll_ms=max(monitor.polls_s, default=0) * 1000,
        first_token_ms=[
            o.first_token_ms for o in outcomes if o.first_token_ms is not None
        ],
    )
