"""Random faults: signals, network, clocks, store, replicas, configuration."""

import dataclasses
import pathlib
import random
import signal

import trio

from devtools import deployment
from devtools import fleet as fleets
from soak import checks
from soak import proxy as proxy_lib

_MODES = (
    proxy_lib.Mode.DELAY,
    proxy_lib.Mode.RESET,
    proxy_lib.Mode.REFUSE,
    proxy_lib.Mode.SILENT,
    proxy_lib.Mode.ONE_WAY,
)

# Time for jobs to be accepted before all gateways are killed, and for which the
# configuration can't be read then.
_RESTART_PAUSE_S = 1.5
_OUTAGE_S = 7.0


@dataclasses.dataclass(slots=True)
class Faults:
    """Injects overlapping faults into a fleet and ends each of them.

    The report lists faults by the names of the methods that inject them.

    Attributes:
        fleet: Fleet under test.
        proxies: For each gateway, the proxy between it and the store and the
            proxy between the other gateways and it.
        clock_files: Files with the offsets of the gateways' clocks.
        rng: Random numbers for the choice and the timing of faults.
        with_restarts: Whether all gateways are restarted now and then while
            the configuration can't be read.
        log: Names of the injected faults, for the report.
        denial_rng: Random numbers for denied runs, apart from `rng` so that the
            other faults of a seed stay as they are.
        failures: Number of requests that a replica was told to fail.
        store_lock: Held while the store has a fault, which replaces others.
    """

    fleet: fleets.Fleet
    proxies: list[proxy_lib.Proxy]
    clock_files: list[pathlib.Path]
    rng: random.Random
    with_restarts: bool = False
    log: list[str] = dataclasses.field(default_factory=list)
    denial_rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(1)
    )
    failures: int = 0
    store_lock: trio.Lock = dataclasses.field(default_factory=trio.Lock)

    async def inject(self, duration_s: float) -> None:
        """Injects faults for a time; all have ended when it returns."""
        end_s = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            if self.with_restarts:
                nursery.start_soon(self._restart_without_configuration, end_s)
            while trio.current_time() < end_s:
                await trio.sleep(self.rng.uniform(0.2, 1.2))
                nursery.start_soon(self._inject_one)

    async def _inject_one(self) -> None:
        kind = self.rng.choice(
            (
                self._kill,
                self._stop,
                self._pause,
                self._cut,
                self._cut,
                self._step_clock,
                self._disturb_store,
                self._forget,
                self._deal,
                self._break_replica,
                self._configure,
            )
        )
        self.log.append(kind.__name__.strip("_"))
        await kind()

    async def _kill(self) -> None:
        gateway = self.rng.choice(self.fleet.gateways)
        gateway.signal(signal.SIGKILL)
        await self._restart(gateway, self.rng.uniform(0.1, 1.0))

    async def _stop(self) -> None:
        gateway = self.rng.choice(self.fleet.gateways)
        gateway.signal(signal.SIGTERM)
        await self._restart(gateway, 0.1)

    async def _restart(self, gateway: fleets.Gateway, after_s: float) -> None:
        while gateway.running:
            await trio.sleep(0.05)
        await trio.sleep(after_s)
        if not gateway.running:
            gateway.start()

    async def _pause(self) -> None:
        gateway = self.rng.choice(self.fleet.gateways)
        gateway.signal(signal.SIGSTOP)
        try:
            await trio.sleep(self.rng.uniform(0.3, 4.0))
        finally:
            gateway.signal(signal.SIGCONT)

    async def _cut(self) -> None:
        proxy = self.rng.choice(self.proxies)
        proxy.set_mode(self.rng.choice(_MODES))
        try:
            await trio.sleep(self.rng.uniform(0.3, 4.0))
        finally:
            proxy.set_mode(proxy_lib.Mode.PASS)

    async def _step_clock(self) -> None:
        clock_file = self.rng.choice(self.clock_files)
        clock_file.write_text(str(self.rng.choice((-2_000, 2_000))))
        try:
            await trio.sleep(self.rng.uniform(0.3, 4.0))
        finally:
            clock_file.write_text("0")

    async def _disturb_store(self) -> None:
        fault = self.rng.choice(
            (
                {"down": True},
                {"delay_ms": 240},
                {"lose_appends": 5, "late_ms": 700},
                {"lose_appends": 5},
            )
        )
        async with self.store_lock:
            await self._post(self.fleet.store, **fault)
            await trio.sleep(self.rng.uniform(0.5, 3.0))
            await self._post(self.fleet.store)

    async def _restart_without_configuration(self, end_s: float) -> None:
        """Kills all gateways while the configuration can't be read."""
        while trio.current_time() < end_s:
            await trio.sleep(_RESTART_PAUSE_S)
            self.log.append("restart_without_configuration")
            async with self.store_lock, trio.open_nursery() as nursery:
                await self._post(self.fleet.store, refused_topics=["keyed.op"])
                for gateway in self.fleet.gateways:
                    gateway.signal(signal.SIGKILL)
                    nursery.start_soon(self._restart, gateway, 0.1)
                await trio.sleep(_OUTAGE_S)
                await self._post(self.fleet.store)

    async def _forget(self) -> None:
        await self._call_store("/forget")

    async def _deal(self) -> None:
        await self._call_store("/deal")

    async def _break_replica(self) -> None:
        replica = self.rng.choice(self.fleet.replicas)
        count = self.rng.randint(1, 6)
        fault = self.rng.choice(
            (
                {"break_after": self.rng.randint(0, 6), "count": count},
                {"fail": True, "count": 1},
                {"mute": True, "count": 2},
            )
        )
        self.failures += "fail" in fault
        await self._post(replica, **fault)
        others = [r for r in self.fleet.replicas if r is not replica]
        await self._deny_runs(self.denial_rng.choice(others))

    async def _deny_runs(self, replica: deployment.Process) -> None:
        """Lets a replica run requests and say less than that it did not."""
        status = self.denial_rng.choice(checks.NOT_RUN_STATUSES)
        await self._post(replica, deny=status, count=2)

    async def _configure(self) -> None:
        for _ in range(self.rng.randint(1, 3)):
            await trio.to_thread.run_sync(self.fleet.configure)
            await trio.sleep(0.2)

    async def _post(self, process, **fault) -> None:  # type: ignore[no-untyped-def]
        await trio.to_thread.run_sync(
            lambda: self.fleet.set_faults(process, **fault)
        )

    async def _call_store(self, path: str) -> None:
        address = self.fleet.store_address
        await trio.to_thread.run_sync(fleets.call, address, "POST", path)
