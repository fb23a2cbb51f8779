"""Batch work of a worker process.

Claims the leases of jobs and replicas, and runs an owner for the jobs, a
runner for each replica and a copier for records that approach the log's
retention time.
"""

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

# Reconciliation runs at this interval instead of at every change of the view:
# in a large deployment it takes milliseconds to go through all jobs and
# replicas, and the view changes many times a second.
_RECONCILE_INTERVAL_MS = 250.0
_LEASE_CHECK_INTERVAL_MS = 50.0
_JOB_RETRY_DELAY_MS = 1_000.0

_log = structlog.get_logger()


class Worker:
    """Claims leases of jobs and replicas, and runs those that it holds."""

    __slots__ = (
        "_copier",
        "_deps",
        "_handed_over",
        "_owner",
        "_pending_claims",
        "_runner_scopes",
        "_runners",
        "_running_jobs",
        "_stopping",
    )

    def __init__(
        self, deps: deps_module.Deps, rng: random.Random | None = None
    ) -> None:
        self._deps = deps
        self._copier = retention.RetentionCopier(deps)
        self._owner = owner.Owner(deps, rng or random.Random())
        self._runners: dict[str, replica_runner.ReplicaRunner] = {}
        self._runner_scopes: dict[str, trio.CancelScope] = {}
        self._pending_claims: set[str] = set()
        self._running_jobs: set[str] = set()
        self._stopping = False
        self._handed_over = trio.Event()

    @property
    def runners(self) -> dict[str, replica_runner.ReplicaRunner]:
        """Runners of the replicas whose lease is held here, by replica id."""
        return self._runners

    @property
    def jobs(self) -> dict[str, int]:
        """Lease epochs of the jobs that run here, by job id."""
        return self._owner.jobs

    async def run(self) -> None:
        """Runs until cancelled, or until `stop` has released all leases."""
        self._register_handlers()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._owner.run)
            nursery.start_soon(self._copier.run)
            nursery.start_soon(self._watch_leases)
            while not self._stopping:
                self._reconcile(nursery)
                await self._deps.clock.sleep_ms(_RECONCILE_INTERVAL_MS)
            await self._handed_over.wait()
            nursery.cancel_scope.cancel()

    async def stop(self) -> None:
        """Hands over all jobs and replicas to other workers."""
        self._stopping = True
        self._copier.stop()
        async with trio.open_nursery() as nursery:
            for job_id in list(self._owner.jobs):
                nursery.start_soon(self._owner.hand_over, job_id)
        for scope in self._runner_scopes.values():
            scope.cancel()
        names = [f"job/{job_id}" for job_id in self._deps.follower.view.jobs]
        names += [f"replica/{host.id}" for host in self._deps.hosts()]
        async with trio.open_nursery() as nursery:
            for name in names:
                if self._deps.leases.held(name) is not None:
                    nursery.start_soon(self._release, name)
        self._handed_over.set()

    async def _release(self, name: str) -> None:
        try:
            await self._deps.leases.release(name)
        except base_errors.Error:
            # Another worker claims the lease once this process has left.
            self._deps.metrics.add("batch_release_failed")

    def _register_handlers(self) -> None:
        network = self._deps.network
        network.handle(messages.OnlineCount, self._on_online_count)
        network.handle(messages.RunItem, self._on_run_item)
        network.handle(messages.WantItems, self._on_want)
        network.handle(messages.StopItems, self._on_stop)
        network.handle(messages.RoomOffer, self._on_offer)

    async def _on_online_count(self, message: messages.OnlineCount) -> None:
        runner = self._runners.get(message.replica)
        if runner is not None:
            runner.handle_online_count(message)

    async def _on_run_item(self, message: messages.RunItem) -> messages.Message:
        runner = self._runners.get(message.replica)
        if runner is None:
            return messages.Refused(
                "not_owner", "this process does not hold the replica's lease"
            )
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
        """Makes jobs and replicas match the view and the host list.

        Claims free leases, starts jobs and replicas whose lease is held, and
        stops those that are gone.
        """
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
        if job.job_id in self._running_jobs:
            return
        epoch = self._deps.leases.held(name)
        if epoch is not None:
            self._running_jobs.add(job.job_id)
            nursery.start_soon(self._run_job, job, epoch)
        else:
            self._claim_if_preferred(nursery, name, "")

    async def _run_job(self, job: records.Job, epoch: int) -> None:
        try:
            await self._owner.run_job(job, epoch)
        except* Exception:
            # The failure of one job must not end the other jobs.
            self._deps.metrics.add("batch_job_errors")
            _log.exception(
                "job run failed; retrying after a delay", job_id=job.job_id
            )
            await self._deps.clock.sleep_ms(_JOB_RETRY_DELAY_MS)
        finally:
            self._running_jobs.discard(job.job_id)
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
                self._claim_if_preferred(nursery, name, host.region)

    def _update_runner(
        self,
        nursery: trio.Nursery,
        runner: replica_runner.ReplicaRunner,
        replica: str,
        host: host_types.Host | None,
    ) -> None:
        if host is None:
            self._runner_scopes[replica].cancel()
            nursery.start_soon(self._release, f"replica/{replica}")
        elif host.address != runner.address:
            # The next reconciliation starts a runner with the new address.
            self._runner_scopes[replica].cancel()
        else:
            runner.set_leaving(host.state != "live")

    def _eligible_workers(self, region: str) -> list[records.Member]:
        """Returns the workers in `region`, or all workers if there is none."""
        members = self._deps.follower.view.members.values()
        workers = [m for m in members if m.role == "worker"]
        return [m for m in workers if m.region == region] or workers

    def _claim_if_preferred(
        self, nursery: trio.Nursery, name: str, region: str
    ) -> None:
        free = self._deps.leases.holder(name) is None
        if not free or name in self._pending_claims:
            return
        chosen = placement.preferred(
            name, self._eligible_workers(region), "worker"
        )
        if chosen is not None and chosen.node_id == self._deps.node_id:
            self._pending_claims.add(name)
            nursery.start_soon(self._claim_lease, name)

    async def _claim_lease(self, name: str) -> None:
        try:
            await self._deps.leases.claim(name)
        except base_errors.Error:
            self._deps.metrics.add("batch_claim_failed")
            await self._deps.clock.sleep_ms(_RECONCILE_INTERVAL_MS)
        finally:
            self._pending_claims.discard(name)

    async def _run_replica(self, host: host_types.Host, epoch: int) -> None:
        runner = replica_runner.ReplicaRunner(
            self._deps, host.id, host.address, epoch
        )
        scope = trio.CancelScope()
        self._runners[host.id] = runner
        self._runner_scopes[host.id] = scope
        try:
            with scope:
                await runner.run()
        finally:
            if self._runners.get(host.id) is runner:
                del self._runners[host.id]
                del self._runner_scopes[host.id]

    async def _watch_leases(self) -> None:
        """Stops the runners of replicas whose lease was lost."""
        while True:
            for replica, runner in list(self._runners.items()):
                held = self._deps.leases.held(f"replica/{replica}")
                lost = held is not None and held != runner.epoch
                gone = held is None and self._deps.follower.fresh()
                if lost or gone:
                    self._runner_scopes[replica].cancel()
            await self._deps.clock.sleep_ms(_LEASE_CHECK_INTERVAL_MS)
