"""The parts of a gateway that accept batch jobs and run their items."""

from collections.abc import Callable

from lacewingwood import clock as clocks
from lacewingwood import configuration
from lacewingwood import gateway_settings
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import owner as owners
from lacewingwood.jobs import ownership as ownerships
from lacewingwood.jobs import payloads
from lacewingwood.jobs import running
from lacewingwood.jobs import scheduler as schedulers
from lacewingwood.jobs import service as job_service
from lacewingwood.log import compacted
from lacewingwood.peers import errors as peer_errors
from lacewingwood.peers import gateway_messages
from lacewingwood.peers import network as network_lib
from lacewingwood.peers import roster as roster_lib
from lacewingwood.platform import store as store_lib
from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import slot_client
from lacewingwood.state import published as published_lib
from lacewingwood.upstreams import runs

_HAND_OVER_TIMEOUT_MS = 500.0


class Jobs:
    """Creates the parts and connects them.

    Attributes:
        scheduler: Runs the items of the partitions that this gateway owns.
        ownership: The partitions.
        service: Callers' operations on jobs.
        payloads: Bodies and outputs of items that this process holds.
    """

    def __init__(
        self,
        cfg: gateway_settings.GatewaySettings,
        retention_ms: Callable[[], float],
        store: store_lib.Store,
        published: published_lib.PublishedConfiguration,
        dispatcher: dispatchers.Dispatcher,
        slots: slot_client.SlotClient,
        replicas: runs.ReplicaClient,
        network: network_lib.Network,
        roster: roster_lib.Roster,
        clock: clocks.Clock,
        wall_ms: Callable[[], int],
        metrics: metrics_lib.Registry,
    ) -> None:
        self._retention_ms = retention_ms
        self._store = store
        self._published = published
        self._network = network
        self._clock = clock
        self._wall_ms = wall_ms
        self._metrics = metrics
        self.payloads = payloads.Cache(
            store, payloads.memory_limit(cfg.memory_bytes), metrics
        )
        self.scheduler = schedulers.Scheduler(
            dispatcher,
            running.ItemRunner(slots, replicas, clock, metrics),
            lambda: published.current,
            roster.batch_rank,
            clock,
            wall_ms,
            metrics,
            slots,
        )
        partitions = job_service.partitions(cfg.partitions_per_topic)
        self.ownership = ownerships.Ownership(
            store,
            cfg.host,
            partitions,
            self._make_owner,
            roster.owner_at,
            self._hand_over,
            clock,
            metrics,
            cfg.member_ttl_min_ms,
            lambda: roster.is_candidate(2 * len(partitions)),
        )
        self.service = job_service.JobService(
            store,
            partitions,
            self.ownership,
            network,
            roster,
            self._find_route,
            clock,
            metrics,
            max_record_bytes=cfg.max_record_bytes,
            max_append_bytes=cfg.max_append_bytes,
        )

    def add_gauges(self) -> None:
        """Adds the gauges of these parts."""
        gauge = self._metrics.gauge
        gauge("items_waiting", lambda: self.scheduler.counts[0])
        gauge("items_running", lambda: self.scheduler.counts[1])
        gauge("job_payload_bytes_held", lambda: self.payloads.held_bytes)

    def _make_owner(
        self, index: int, partition: compacted.Partition, epoch: int
    ) -> owners.Owner:
        return owners.Owner(
            index,
            partition,
            epoch,
            self._store,
            self.payloads,
            self.scheduler,
            self._clock,
            self._wall_ms,
            self._metrics,
            retention_ms=self._retention_ms(),
        )

    async def _hand_over(
        self, address: str, progress: gateway_messages.JobProgress
    ) -> None:
        try:
            await self._network.call(address, progress, _HAND_OVER_TIMEOUT_MS)
        except peer_errors.PeerError as exc:
            # Without the progress, the new owner runs items from the start.
            self._metrics.add("hand_overs_failed", code=exc.code)

    def _find_route(self, host: str, path: str) -> configuration.Route | None:
        current = self._published.current
        return current.find_route(host, path) if current else None
