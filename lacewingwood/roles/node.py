"""Common components of entry and worker processes."""

import contextlib
import os
import secrets
import signal
import sys
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import structlog
import trio

from lacewingwood import addresses
from lacewingwood import clock as clock_lib
from lacewingwood import logs
from lacewingwood import metrics as metrics_lib
from lacewingwood import settings
from lacewingwood.hostlist import client as hostlist_client
from lacewingwood.log import client as log_client
from lacewingwood.operators import admin
from lacewingwood.peers import network as network_lib
from lacewingwood.roles import hosts
from lacewingwood.state import errors as state_errors
from lacewingwood.state import follower as follower_lib
from lacewingwood.state import lease_manager
from lacewingwood.state import maintenance
from lacewingwood.state import monitor
from lacewingwood.state import records

_LEAVE_TIMEOUT_S = 5.0

# Exit code after an eviction. An evicted process must rejoin with a new node
# id; it exits with this code so that its supervisor restarts it.
EXIT_EVICTED = 75

_log = structlog.get_logger()


class Node:
    """One process: its clock, metrics, peers, shared state and leases.

    Attributes:
        cfg: Settings of the process.
        role: `entry` or `worker`.
        node_id: Unique for each start of a process.
        clock: Source of monotonic time.
        metrics: Metrics of the process.
        log: Client of the log.
        network: Connections to other processes.
        follower: The shared state as read from the log.
        leases: Leases of this process.
        watcher: The platform's host list.
        shutdown: Set when a planned shutdown begins.
        admin_address: `IP:PORT` of the admin listener, empty until it runs.
    """

    def __init__(self, cfg: settings.NodeSettings, role: str) -> None:
        self.cfg = cfg
        self.role = role
        self.node_id = f"{role}-{cfg.host}-{secrets.token_hex(4)}"
        self.clock = clock_lib.MonotonicClock()
        self.metrics = metrics_lib.Registry()
        self.log = log_client.LogClient(cfg.log_url)
        self.network = network_lib.Network(
            self.node_id, self.metrics, self.clock
        )
        self.follower = follower_lib.Follower(
            self.log,
            self.network,
            self.clock,
            self.node_id,
            cfg.region,
            self.metrics,
        )
        self.follower.prober.seeds = list(cfg.seeds)
        self.leases = lease_manager.LeaseManager(self.follower)
        self.watcher = hosts.HostWatcher(
            hostlist_client.HostListClient(cfg.hostlist_url),
            self.clock,
            self.metrics,
        )
        self.watcher.listeners.append(
            lambda listed: self.follower.set_hosts(host.id for host in listed)
        )
        self.shutdown = trio.Event()
        self.admin_address = ""
        self._monitor = monitor.Monitor(self.follower)
        self._serving = False
        self._nursery: trio.Nursery | None = None
        self._presence: maintenance.Presence | None = None
        self._dumps: dict[str, Callable[[], Any]] = {}
        self._evicted = False

    def add_dump(self, name: str, dump: Callable[[], Any]) -> None:
        """Adds a section to the state dump.

        Args:
            name: Key of the section.
            dump: Returns the section's content.
        """
        self._dumps[name] = dump

    def wall_ms(self) -> int:
        """Returns wall-clock time in ms since the epoch."""
        return time.time_ns() // 1_000_000

    @contextlib.asynccontextmanager
    async def running(self) -> Any:
        """Runs the common components and yields a nursery for the role's."""
        self._writer = logs.configure_stdout(
            node_id=self.node_id, role=self.role
        )
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(logs.flush_periodically, self._writer)
                await self._start(nursery)
                try:
                    yield nursery
                finally:
                    nursery.cancel_scope.cancel()
        finally:
            self._writer.flush()

    def announce(self, address: str = "") -> None:
        """Logs that the process is ready, and the addresses it listens on.

        Args:
            address: Listener for callers, empty if there is none.
        """
        self._serving = True
        _log.info(
            "ready",
            ready=True,
            pid=os.getpid(),
            address=address,
            peer=self._peer_address(),
            admin=self.admin_address,
        )
        self._writer.flush()

    async def leave(
        self,
        hand_over: Callable[[dict[str, int]], Awaitable[None]] | None = None,
    ) -> None:
        """Releases all leases and removes the process from the members.

        Args:
            hand_over: Called with the offsets at which leases were released,
                to send state to their next holders.
        """
        with trio.move_on_after(_LEAVE_TIMEOUT_S):
            try:
                if self._presence is not None:
                    released = await self._presence.leave()
                    if hand_over is not None:
                        await hand_over(released)
            except state_errors.StateError as exc:
                self.metrics.add("leave_errors", code=exc.code)
            await self.network.close()

    def exit_code(self) -> int:
        """Returns the exit code of the process."""
        return EXIT_EVICTED if self._evicted else 0

    async def _start(self, nursery: trio.Nursery) -> None:
        await nursery.start(self._watch_signals)
        await self.network.serve(*addresses.split(self.cfg.peer_bind))
        nursery.start_soon(self.network.run)
        app = admin.AdminApp(self.metrics, self._unready, self._dump)
        bind = addresses.split(self.cfg.admin_bind)
        self.admin_address = await nursery.start(admin.serve, app, *bind)
        await self.watcher.fetch()
        nursery.start_soon(self.watcher.run)
        nursery.start_soon(self.follower.run)
        await self.follower.wait_until(lambda: self.follower.ready)
        await self._join(nursery)

    async def _join(self, nursery: trio.Nursery) -> None:
        member = records.Member(
            node_id=self.node_id,
            role=self.role,
            address=self._peer_address(),
            zone=self.cfg.zone,
            region=self.cfg.region,
            host=self.cfg.host,
            admin=self.admin_address,
        )
        self._presence = maintenance.Presence(
            self.follower, self.leases, member
        )
        nursery.start_soon(self._presence.run)
        nursery.start_soon(self._watch_eviction, self._presence)
        nursery.start_soon(self.leases.run)
        nursery.start_soon(self._monitor.run)

    async def _watch_signals(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as received:
            task_status.started()
            async for signum in received:
                _log.info("shutdown", signal=signal.Signals(signum).name)
                self.shutdown.set()

    async def _watch_eviction(self, presence: maintenance.Presence) -> None:
        await presence.evicted.wait()
        _log.warning(
            "evicted", reason="removed from the members by other processes"
        )
        self._evicted = True
        self.shutdown.set()

    def _peer_address(self) -> str:
        host, _ = addresses.split(self.cfg.peer_bind)
        return f"{host}:{self.network.port}"

    def _unready(self) -> str | None:
        """Returns why the process should get no requests, or None."""
        if self.shutdown.is_set():
            return "shutting down"
        if not self.follower.ready:
            return "configuration not yet read"
        if not self.follower.fresh():
            return "cut off from the log and from peers"
        return None if self._serving else "starting"

    def _dump(self) -> dict[str, Any]:
        view = self.follower.view
        now_ms = self.clock.now_ms()
        sections = {name: dump() for name, dump in self._dumps.items()}
        return {
            "node_id": self.node_id,
            "role": self.role,
            "zone": self.cfg.zone,
            "region": self.cfg.region,
            "unready": self._unready(),
            "state": {
                "offset": view.offset,
                "fresh": self.follower.fresh(),
                "fresh_for_ms": self.follower.fresh_until_ms() - now_ms,
                "log_age_ms": self.follower.log_age_ms(),
                "quorum": sorted(self.follower.quorum_set()),
                "members": records.to_json(view.members),
                "leases": records.to_json(view.leases),
                "leases_usable": self._usable_leases(),
                "customers": records.to_json(view.customers),
                "routes": records.to_json(view.routes),
                "models": records.to_json(view.models),
                "keys": len(view.keys),
                "jobs": len(view.jobs),
            },
            "hosts": records.to_json(self.watcher.hosts()),
            "metrics": self.metrics.dump(),
            **sections,
        }

    def _usable_leases(self) -> list[str]:
        names = self.follower.view.leases
        return [name for name in names if self.leases.held(name) is not None]


def run(main: Callable[[], Awaitable[int]]) -> None:
    """Runs a role's main function and exits with the code it returns.

    Exits with 1 if a listener's address can't be bound.
    """
    try:
        code = trio.run(main)
    except BaseExceptionGroup as group:
        os_errors, rest = group.split(OSError)
        if os_errors is None or rest is not None:
            raise
        print(f"lacewingwood: cannot listen: {os_errors}", file=sys.stderr)
        code = 1
    sys.exit(code)
