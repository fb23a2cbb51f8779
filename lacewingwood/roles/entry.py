"""An entry process: serves callers' requests."""

import dataclasses
import functools
import random
from typing import Any

import trio

from lacewingwood import addresses
from lacewingwood import settings
from lacewingwood.batch import intake
from lacewingwood.callers import app as app_lib
from lacewingwood.callers import batch_api
from lacewingwood.callers import dependencies
from lacewingwood.callers import files_api
from lacewingwood.callers import idempotency
from lacewingwood.callers import server
from lacewingwood.limits import limiter as limiter_lib
from lacewingwood.limits import placement as limit_placement
from lacewingwood.limits import split
from lacewingwood.roles import node as node_lib
from lacewingwood.roles import notices as notices_lib
from lacewingwood.routing import replicas
from lacewingwood.routing import router as router_lib
from lacewingwood.routing import suspects as suspects_lib
from lacewingwood.state import errors as state_errors
from lacewingwood.state import records
from lacewingwood.upstreams import engine
from lacewingwood.upstreams import plain

# Entries that start together wait this long for each other before they claim
# parts of buckets, so that the first one does not claim all of them.
_START_DELAY_MS = 1_000.0
_OWNERSHIP_TIMEOUT_S = 10.0

# The new owner of a part lends nothing new for 15 s. The interval of moves is
# longer, so that moves never stop the lending of a customer's two parts at the
# same time.
_SPREAD_INTERVAL_MS = 20_000.0


def run(cfg: settings.EntrySettings) -> None:
    """Runs an entry until SIGTERM or SIGINT."""
    node_lib.run(lambda: Entry(cfg).run())


class Entry:
    """Creates the components of an entry process and runs them."""

    def __init__(self, cfg: settings.EntrySettings) -> None:
        self._cfg = cfg
        self._node = node_lib.Node(cfg, "entry")
        node = self._node
        self._router = self._make_router("engine")
        self._plain_router = self._make_router("plain")
        self._suspects = suspects_lib.Suspects()
        self._notices = notices_lib.Notices(
            node.follower,
            node.leases,
            node.network,
            self._router,
            self._suspects,
            node.clock,
        )
        self._limiter = limiter_lib.Limiter(
            node.node_id,
            node.network,
            _LimiterLeases(node),
            self._customer,
            node.clock,
            node.metrics,
            region=cfg.region,
            never_held=self._is_first_claim,
        )
        node.add_dump("replicas", self._dump_replicas)

    async def run(self) -> int:
        """Serves callers until a planned shutdown has ended.

        Returns:
            The exit code of the process.
        """
        cfg, node = self._cfg, self._node
        app = app_lib.make_app(self._make_dependencies())
        node.metrics.gauge("callers_running", lambda: len(app.running))
        async with node.running() as nursery:
            nursery.start_soon(self._limiter.run)
            await self._start_owning(nursery)
            nursery.start_soon(self._notices.run)
            async with trio.open_nursery() as serving:
                port = await serving.start(self._serve, app)
                host, _ = addresses.split(cfg.bind)
                node.announce(f"{host}:{port}")
            self._limiter.return_pieces()
            hand_overs = self._limiter.stop_lending()
            await node.leave(
                functools.partial(self._limiter.hand_over, hand_overs)
            )
        return node.exit_code()

    async def _start_owning(self, nursery: trio.Nursery) -> None:
        """Starts claiming parts of buckets; waits until all have owners."""
        node = self._node
        await node.clock.sleep_ms(_START_DELAY_MS)
        claim_assigned = functools.partial(
            node.leases.claim_assigned,
            split.lease_names,
            "entry",
            limit_placement.preferred,
        )
        nursery.start_soon(claim_assigned)
        nursery.start_soon(self._spread_parts)
        with trio.move_on_after(_OWNERSHIP_TIMEOUT_S):
            await node.follower.wait_until(self._all_parts_owned)

    def _all_parts_owned(self) -> bool:
        holder = self._node.leases.holder
        return all(holder(name) is not None for name in split.lease_names())

    async def _spread_parts(self) -> None:
        """Periodically releases parts whose sibling is also owned here."""
        node = self._node
        while True:
            await node.clock.sleep_ms(_SPREAD_INTERVAL_MS)
            for name in limit_placement.misplaced(
                split.lease_names(),
                node.leases.held,
                node.follower.view.members,
                node.node_id,
            ):
                try:
                    await node.leases.release(name)
                except state_errors.StateError as exc:
                    node.metrics.add("lease_errors", code=exc.code)

    async def _serve(
        self,
        app: app_lib.App,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        host, port = addresses.split(self._cfg.bind)
        await server.serve(
            app,
            host,
            port,
            self._node.shutdown,
            self._cfg.drain_ms,
            grace_ms=self._cfg.shutdown_ms,
            task_status=task_status,
        )

    def _make_router(self, kind: str) -> router_lib.Router:
        router = router_lib.Router(
            router_lib.Settings(zone=self._cfg.zone),
            random.Random(),
            kind=kind,
        )
        self._node.watcher.listeners.append(router.fleet.update_hosts)
        return router

    def _make_dependencies(self) -> dependencies.Dependencies:
        cfg, node = self._cfg, self._node
        return dependencies.Dependencies(
            state=node.follower,
            limiter=self._limiter,
            router=self._router,
            engine_client=engine.EngineClient(node.clock),
            clock=node.clock,
            metrics=node.metrics,
            plain_client=plain.PlainClient(node.clock),
            plain_router=self._plain_router,
            idempotency_claims=idempotency.Claims(node.log, node.clock),
            batch_handlers={
                "/v1/files": files_api.handle,
                "/v1/batches": batch_api.handle,
            },
            batch_intake=intake.Intake(
                node.log,
                node.follower,
                node.clock,
                node.wall_ms,
                cfg.max_file_bytes,
            ),
            peer_notifier=self._notices,
            suspects=self._suspects,
            settings=dependencies.Settings(
                max_body_bytes=cfg.max_body_bytes,
                deadline_ms=cfg.request_timeout_ms,
            ),
        )

    def _customer(self, name: str) -> records.Customer | None:
        return self._node.follower.view.customers.get(name)

    def _is_first_claim(self, lease_name: str) -> bool:
        """Returns whether the present claim of a lease is the first one."""
        lease = self._node.follower.view.leases.get(lease_name)
        return lease is not None and lease.is_first_claim

    def _dump_replicas(self) -> list[dict[str, Any]]:
        return [_describe(replica) for replica in self._router.fleet.all()]


class _LimiterLeases:
    """Implements the limiter's `Leases` interface with the node's leases."""

    __slots__ = ("_node",)

    def __init__(self, node: node_lib.Node) -> None:
        self._node = node

    def holder(self, name: str) -> records.Member | None:
        """Returns the process that holds a lease."""
        return self._node.leases.holder(name)

    def held(self, name: str) -> int | None:
        """Returns the epoch of a lease that this process may use now."""
        return self._node.leases.held(name)

    def prior(self, name: str) -> int | None:
        """Returns the offset of the change before a lease's last claim."""
        lease = self._node.follower.view.leases.get(name)
        return lease.prior if lease is not None else None

    def fresh(self) -> bool:
        """Returns whether the local view is known to be current."""
        return self._node.follower.fresh()


def _describe(replica: replicas.Replica) -> dict[str, Any]:
    names = (field.name for field in dataclasses.fields(replica))
    return {name: getattr(replica, name) for name in names}
