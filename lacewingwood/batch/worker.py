"""Ties the batch side of a worker together."""

import random

import structlog
import trio

from lacewingwood import errors as base_errors
from lacewingwood.batch import deps as deps_module
from lacewingwood.batch import owner
from lacewingwood.batch import replica_runner
from lacewingwood.batch import retention
from lacewingwood.hostlist import types as host_types
from lacewingwood.peers import messages
from lacewingwood.state import placement
from lacewingwood.state import records

# Not at every change of the view: looking through all jobs and replicas takes
# milliseconds in a large deployment, and changes come many times a second.
_CHECK_MS = 250.0
_LEASE_CHECK_MS = 50.0
_ERROR_PAUSE_MS = 1_000.0

_log = structlog.get_logger()


class Worker:
    """Claims jobs and replicas, and runs those that it holds."""

    __slots__ = (
        "_claiming",
        "_copier",
        "_deps",
        "_idle",
        "_owner",
        "_runners",
        "_running",
        "_scopes",
        "_stopping",
    )

    def __init__(
        self, deps: deps_module.Deps, rng: random.Random | None = None
    ) -> None:
        self._deps = deps
        self._copier = retention.RetentionCopier(deps)
        self._owner = owner.Owner(deps, rng or random.Random())
        self._runners: dict[str, replica_runner.ReplicaRunner] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._claiming: set[str] = set()
        self._running: set[str] = set()
        self._stopping = False
        self._idle = trio.Event()

    @property
    def runners(self) -> dict[str, replica_runner.ReplicaRunner]:
        """The replicas whose lease is used here, by id."""
        return self._runners

    @property
    def jobs(self) -> dict[str, int]:
        """Epochs of the jobs that run here, by id."""
        return self._owner.jobs

    async def run(self) -> None:
        """Runs until cancelled, or until `stop` has handed everything over."""
        self._register()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._owner.run)
            nursery.start_soon(self._copier.run)
            nursery.start_soon(self._watch_leases)
            while not self._stopping:
                self._reconcile(nursery)
                await self._deps.clock.sleep_ms(_CHECK_MS)
            await self._idle.wait()
            nursery.cancel_scope.cancel()

    async def stop(self) -> None:
        """Hands everything over to other workers."""
        self._stopping = True
        self._copier.stop()
        async with trio.open_nursery() as nursery:
            for job_id in list(self._owner.jobs):
                nursery.start_soon(self._owner.hand_over, job_id)
        for scope in self._scopes.values():
            scope.cancel()
        names = [f"job/{job_id}" for job_id in self._deps.follower.view.jobs]
        names += [f"replica/{host.id}" for host in self._deps.hosts()]
        async with trio.open_nursery() as nursery:
            for name in names:
                if self._deps.leases.held(name) is not None:
                    nursery.start_soon(self._release, name)
        self._idle.set()

    async def _release(self, name: str) -> None:
        try:
            await self._deps.leases.release(name)
        except base_errors.Error:
            # The lease is claimed by another once this process is gone.
            self._deps.metrics.add("batch_release_failed")

    def _register(self) -> None:
        network = self._deps.network
        network.handle(messages.OnlineCount, self._on_count)
        network.handle(messages.RunItem, self._on_run_item)
        network.handle(messages.WantItems, self._on_want)
        network.handle(messages.StopItems, self._on_stop)
        network.handle(messages.RoomOffer, self._on_offer)

    async def _on_count(self, message: messages.OnlineCount) -> None:
        runner = self._runners.get(message.replica)
        if runner is not None:
            runner.handle_online_count(message)

    async def _on_run_item(self, message: messages.RunItem) -> messages.Message:
        runner = self._runners.get(message.replica)
        if runner is None:
            return messages.Refused("not_owner", "not the holder of this lease")
        return await runner.run_item(message)

    async def _on_want(self, message: messages.WantItems) -> None:
        runner = self._runners.get(message.replica)
        if runner is not None:
            runner.handle_want(message)

    async def _on_stop(self, message: messages.StopItems) -> None:
        runner = self._runners.get(message.replica)
        if runner is not None:
            runner.stop_items(message)

    async def _on_offer(self, message: messages.RoomOffer) -> None:
        self._owner.handle_offer(message)

    def _reconcile(self, nursery: trio.Nursery) -> None:
        """Starts, claims and stops according to the view and the host list."""
        view = self._deps.follower.view
        active = {
            job_id: state.job
            for job_id, state in view.jobs.items()
            if state.status == "accepted"
        }
        for job in active.values():
            self._reconcile_job(nursery, job)
        self._reconcile_replicas(nursery)
        for runner in self._runners.values():
            runner.stop_orphans(set(active), set(view.members))

    def _reconcile_job(self, nursery: trio.Nursery, job: records.Job) -> None:
        name = f"job/{job.job_id}"
        if job.job_id in self._running:
            return
        epoch = self._deps.leases.held(name)
        if epoch is not None:
            self._running.add(job.job_id)
            nursery.start_soon(self._run_job, job, epoch)
        else:
            self._claim(nursery, name, "")

    async def _run_job(self, job: records.Job, epoch: int) -> None:
        try:
            await self._owner.run_job(job, epoch)
        except* Exception:
            # One job must not end those that run beside it.
            self._deps.metrics.add("batch_job_errors")
            _log.exception("job failed", job_id=job.job_id)
            await self._deps.clock.sleep_ms(_ERROR_PAUSE_MS)
        finally:
            self._running.discard(job.job_id)
        state = self._deps.follower.view.jobs.get(job.job_id)
        ended = state is None or state.status != "accepted"
        name = f"job/{job.job_id}"
        if ended and self._deps.leases.held(name) == epoch:
            await self._release(name)

    def _reconcile_replicas(self, nursery: trio.Nursery) -> None:
        hosts = {h.id: h for h in self._deps.hosts() if h.kind == "engine"}
        for replica, runner in self._runners.items():
            self._update_runner(nursery, runner, replica, hosts.get(replica))
        for replica, host in hosts.items():
            if replica in self._runners or host.state != "live":
                continue
            name = f"replica/{replica}"
            epoch = self._deps.leases.held(name)
            if epoch is not None:
                nursery.start_soon(self._run_replica, host, epoch)
            else:
                self._claim(nursery, name, host.region)

    def _update_runner(
        self,
        nursery: trio.Nursery,
        runner: replica_runner.ReplicaRunner,
        replica: str,
        host: host_types.Host | None,
    ) -> None:
        if host is None:
            self._scopes[replica].cancel()
            nursery.start_soon(self._release, f"replica/{replica}")
        elif host.address != runner.address:
            # It is started again with the new address.
            self._scopes[replica].cancel()
        else:
            runner.set_leaving(host.state != "live")

    def _workers(self, region: str) -> list[records.Member]:
        """Returns workers that may hold a lease, those of `region` if any."""
        members = self._deps.follower.view.members.values()
        workers = [m for m in members if m.role == "worker"]
        return [m for m in workers if m.region == region] or workers

    def _claim(self, nursery: trio.Nursery, name: str, region: str) -> None:
        free = self._deps.leases.holder(name) is None
        if not free or name in self._claiming:
            return
        chosen = placement.preferred(name, self._workers(region), "worker")
        if chosen is not None and chosen.node_id == self._deps.node_id:
            self._claiming.add(name)
            nursery.start_soon(self._claim_now, name)

    async def _claim_now(self, name: str) -> None:
        try:
            await self._deps.leases.claim(name)
        except base_errors.Error:
            self._deps.metrics.add("batch_claim_failed")
            await self._deps.clock.sleep_ms(_CHECK_MS)
        finally:
            self._claiming.discard(name)

    async def _run_replica(self, host: host_types.Host, epoch: int) -> None:
        runner = replica_runner.ReplicaRunner(
            self._deps, host.id, host.address, epoch
        )
        scope = trio.CancelScope()
        self._runners[host.id] = runner
        self._scopes[host.id] = scope
        try:
            with scope:
                await runner.run()
        finally:
            if self._runners.get(host.id) is runner:
                del self._runners[host.id]
                del self._scopes[host.id]

    async def _watch_leases(self) -> None:
        """Stops replicas whose lease another holds."""
        while True:
            for replica, runner in list(self._runners.items()):
                held = self._deps.leases.held(f"replica/{replica}")
                lost = held is not None and held != runner.epoch
                gone = held is None and self._deps.follower.fresh()
                if lost or gone:
                    self._scopes[replica].cancel()
            await self._deps.clock.sleep_ms(_LEASE_CHECK_MS)
