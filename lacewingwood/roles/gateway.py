"""A gateway process: serves routed requests and runs batch jobs."""

import gc
import signal
import time
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import structlog
import trio

from lacewingwood import addresses
from lacewingwood import clock as clock_lib
from lacewingwood import configuration
from lacewingwood import gateway_settings
from lacewingwood import logs
from lacewingwood import metrics as metrics_lib
from lacewingwood.callers import client_limits
from lacewingwood.callers import forwarding
from lacewingwood.callers import gateway as gateways
from lacewingwood.callers import server
from lacewingwood.limits import cold_replicas
from lacewingwood.limits import replica_limits
from lacewingwood.limits import shared
from lacewingwood.operators import admin
from lacewingwood.peers import gateway_messages
from lacewingwood.peers import network as network_lib
from lacewingwood.peers import presence as presence_lib
from lacewingwood.peers import roster as roster_lib
from lacewingwood.platform import documents
from lacewingwood.platform import ingress
from lacewingwood.platform import replicas as replica_client
from lacewingwood.platform import settings as platform_settings
from lacewingwood.platform import store as store_lib
from lacewingwood.roles import gateway_followers
from lacewingwood.roles import gateway_jobs
from lacewingwood.roles import gateway_reports
from lacewingwood.routing import coordinator_links
from lacewingwood.routing import directory
from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import evacuation
from lacewingwood.routing import load
from lacewingwood.routing import quarantine as quarantines
from lacewingwood.routing import shards as shards_lib
from lacewingwood.routing import slot_client
from lacewingwood.routing import slot_server
from lacewingwood.state import peer_copy
from lacewingwood.state import published
from lacewingwood.state import software_versions
from lacewingwood.state import stream_journal
from lacewingwood.state import stream_origins

# Each round of upkeep wakes an otherwise idle process, and a deployment has
# hundreds of them.
_UPKEEP_INTERVAL_MS = 400.0
# The load balancer sends new connections until two readiness checks, made one
# a second, have failed.
_DRAIN_MS = 2_300.0
# Part of the time before SIGKILL that is reserved for handing over jobs and
# telling peers of the stop.
_LEAVE_TIMEOUT_MS = 700.0

# Tickets are numbered from the process's start time on, so that they differ
# from those of earlier processes on the host.
_TICKET_BITS = 20

# Allocations between two collections of the youngest objects. Most objects of a
# request are in no cycle, so that few of them wait for a collection.
_COLLECTION_THRESHOLD = 5_000

LoadSettings = Callable[[], gateway_settings.GatewaySettings]

_log = structlog.get_logger()


def run(load_settings: LoadSettings) -> None:
    """Runs a gateway until SIGTERM or SIGINT.

    Args:
        load_settings: Returns the settings; called again on SIGHUP.
    """
    gateway = Gateway(load_settings)
    _exclude_loaded_code_from_collections()
    trio.run(gateway.run)


class Gateway:
    """Creates the components of a gateway process and runs them."""

    def __init__(self, load_settings: LoadSettings) -> None:
        self._load_settings = load_settings
        self._cfg = cfg = load_settings()
        self._started_ms = _wall_ms()
        self._stop_times_ms = _stop_times_ms(cfg.grace_ms)
        self._clock = clock_lib.MonotonicClock()
        self._metrics = metrics_lib.Registry()
        self._shutdown = trio.Event()
        self._has_left = trio.Event()
        self._writer = logs.configure_stdout(node=cfg.host, zone=cfg.zone)
        self._store = store_lib.Store(cfg.store_address, self._metrics)
        self._network = network_lib.Network(
            cfg.host, self._metrics, self._clock
        )
        self._published = published.PublishedConfiguration(
            documents.decode_configuration
        )
        self._fleet = load.Fleet()
        self._limits = shared.SharedLimits(
            cfg.rate_tolerance, cfg.burst_tolerance
        )
        self._quarantine = quarantines.Quarantine()
        self._evacuations = evacuation.Evacuations(self._evacuate)
        self._dispatcher = dispatchers.Dispatcher(
            self._fleet,
            cfg.zone,
            self._clock,
            self._metrics,
            contention=cfg.contention,
        )
        self._replica_list = published.ReplicaList(
            self._fleet,
            documents.decode_replica,
            self._clock,
            directory.outage_threshold_ms(cfg.heartbeat_ms),
        )
        self._roster = roster_lib.Roster(
            cfg.host, cfg.zone, self._clock, self._log_age_ms
        )
        self._presence = self._make_presence()
        self._versions = software_versions.SoftwareVersions(
            self._store, self._clock, _wall_ms, self._metrics
        )
        self._journal = stream_journal.StreamJournal(
            self._store,
            cfg.host,
            lambda: len(self._roster.live_peers()) + 1,
            cfg.partitions_per_topic,
            self._clock,
            _wall_ms,
            self._metrics,
        )
        self._followers = gateway_followers.make(
            cfg,
            self._store,
            self._published,
            self._replica_list,
            self._evacuations,
            self._clock,
            self._metrics,
        )
        self._peer_copy = peer_copy.PeerCopy(
            self._published,
            self._replica_list,
            self._fleet,
            self._limits,
            self._quarantine,
            self._versions,
            self._evacuations,
            self._presence,
            self._network,
            self._clock,
            self._metrics,
        )
        self._shards = shards_lib.ShardMap()
        self._slot_server = slot_server.SlotServer(
            self._shards,
            self._fleet.limits,
            self._network,
            cfg.host,
            self._clock,
            self._metrics,
            contention=cfg.contention,
        )
        self._slots = slot_client.SlotClient(
            self._dispatcher,
            self._shards,
            coordinator_links.CoordinatorLinks(
                self._slot_server,
                self._network,
                self._roster,
                self._clock,
                self._metrics,
            ),
            self._slot_server,
            self._network,
            self._roster,
            cfg.peer_address,
            self._clock,
            self._metrics,
            first_ticket=self._started_ms << _TICKET_BITS,
        )
        self._replicas = replica_client.Replicas()
        replicas = self._replicas
        self._jobs = jobs = gateway_jobs.Jobs(
            cfg,
            lambda: self._cfg.job_status_ms,
            self._store,
            self._published,
            self._dispatcher,
            self._slots,
            replicas,
            self._network,
            self._roster,
            self._clock,
            _wall_ms,
            self._metrics,
        )
        self._forwarder = forwarder = forwarding.Forwarder(
            self._slots,
            replicas,
            self._clock,
            self._metrics,
            self._quarantine,
            stream_origins.StreamOrigins(
                self._versions,
                self._journal,
                self._network,
                self._roster,
                self._clock,
                self._metrics,
            ),
            second_attempt_percent=cfg.second_attempt_percent,
        )
        gateway = gateways.Gateway(
            self._published,
            self._limits,
            forwarder,
            self._clock,
            self._metrics,
        )
        self._app = ingress.Ingress(
            gateway, jobs.service, self._clock, self._metrics
        )
        self._dispatcher.on_change = self._presence.schedule_report
        self._dispatcher.counts_lag = lambda: self._presence.uses_hubs
        self._dispatcher.stagger_s = self._stagger_s
        self._dispatcher.turn = lambda: (*self._roster.rank(), _wall_ms())
        self._slots.coordinated = lambda: self._presence.uses_hubs
        self._slots.on_batch_slot = jobs.scheduler.start_one
        self._slots.on_preempt = jobs.scheduler.preempt_one
        self._fleet.on_replicas = self._update_replicas
        self._published.on_change = self._apply_configuration
        self._reports = gateway_reports.Reports(
            cfg,
            self._started_ms,
            self._published,
            self._fleet,
            self._limits,
            self._quarantine,
            self._evacuations,
            jobs.ownership,
            jobs.scheduler,
            self._roster,
            self._clock,
            self._log_age_ms,
        )
        self._presence.on_report = self._reports.apply
        self._presence.on_digest = self._reports.apply_digest
        self._presence.is_urgent = self._reports.has_urgent_news
        self._add_gauges()

    async def run(self) -> None:
        """Serves callers until a planned shutdown has ended."""
        cfg = self._cfg
        _log.info("starting", started_ms=self._started_ms)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(logs.flush_periodically, self._writer)
            await nursery.start(self._watch_signals)
            await self._network.serve(*addresses.split(cfg.peer_bind))
            nursery.start_soon(self._network.run)
            await self._start_admin(nursery)
            for follower in self._followers:
                nursery.start_soon(follower.run)
            nursery.start_soon(self._presence.run)
            nursery.start_soon(self._versions.run)
            nursery.start_soon(self._journal.run)
            nursery.start_soon(self._slots.run)
            nursery.start_soon(self._slot_server.run)
            nursery.start_soon(self._jobs.scheduler.run)
            nursery.start_soon(self._jobs.ownership.run)
            nursery.start_soon(self._do_upkeep)
            nursery.start_soon(self._peer_copy.run)
            nursery.start_soon(self._leave)
            await self._serve()
            with trio.move_on_after(_LEAVE_TIMEOUT_MS / 1000):
                await self._has_left.wait()
            await self._network.close(drain_ms=0)
            nursery.cancel_scope.cancel()
        _log.info("stopped")
        self._writer.flush()

    async def _serve(self) -> None:
        host, port = addresses.split(self._cfg.bind)
        drain_ms, grace_ms = self._stop_times_ms
        await server.serve(
            self._app,
            host,
            port,
            self._shutdown,
            drain_ms,
            grace_ms=grace_ms,
            enforcer=client_limits.Enforcer(
                self._clock,
                self._metrics,
                client_limits.make_settings(self._cfg),
                self._client_limits,
            ),
        )

    async def _start_admin(self, nursery: trio.Nursery) -> None:
        app = admin.AdminApp(self._metrics, self._unready, self._dump)
        bind = addresses.split(self._cfg.admin_bind)
        await nursery.start(admin.serve, app, *bind)
        ready = ingress.ReadinessApp(self._unready)
        bind = addresses.split(self._cfg.ready_bind)
        await nursery.start(admin.serve, ready, *bind)

    async def _leave(self) -> None:
        """Waits for shutdown, then hands over jobs and tells the peers.

        Runs while the last requests are still being answered.
        """
        await self._shutdown.wait()
        await self._jobs.ownership.stop()
        await self._presence.leave()
        self._has_left.set()

    async def _watch_signals(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as received:
            task_status.started()
            async for signum in received:
                if signum == signal.SIGHUP:
                    self._reload()
                    continue
                _log.info("stopping", signal=signal.Signals(signum).name)
                if not self._shutdown.is_set():
                    self._forwarder.stop.begin(*self._stop_times_ms)
                self._shutdown.set()

    def _reload(self) -> None:
        """Reads the settings again; changed addresses have no effect."""
        try:
            new = self._load_settings()
        except platform_settings.SettingsError as exc:
            _log.error("settings not reloaded", detail=exc.message)
            return
        changed = [
            name
            for name in gateway_settings.GatewaySettings.__slots__
            if getattr(new, name) != getattr(self._cfg, name)
        ]
        self._cfg = new
        _log.info("settings reloaded", changed=changed)

    async def _do_upkeep(self) -> None:
        """Removes expired reports and entries, a few times a second.

        Also updates this gateway's share of the rate limits and closes
        connections to replicas that are no longer listed.
        """
        while True:
            now_ms = self._clock.now_ms()
            self._fleet.expire(now_ms)
            self._fleet.log_standings(now_ms)
            if self._fleet.directory.expire(now_ms):
                self._fleet.refresh()
            share = self._roster.reachable_share()
            self._limits.share = self._fleet.limits.share = share
            listed = {r.listing.address for r in self._fleet.all()}
            await self._replicas.keep_only(listed)
            await self._clock.sleep_until_next_ms(_UPKEEP_INTERVAL_MS)

    def _make_presence(self) -> presence_lib.Presence:
        cfg = self._cfg
        presence = presence_lib.Presence(
            self._roster,
            cfg.peer_address,
            cfg.seeds,
            self._store,
            self._network,
            self._make_report,
            self._clock,
            self._metrics,
            self._started_ms,
        )
        self._roster.on_peer_lost = self._fleet.forget
        return presence

    def _make_report(self) -> gateway_messages.GatewayReport:
        return self._reports.make()

    def _update_replicas(self, replicas: Iterable[load.Replica]) -> None:
        listed = list(replicas)
        self._fleet.limits.update_replicas(
            [replica.listing for replica in listed], self._clock.now_ms()
        )
        self._shards.update(listed)
        self._versions.update(listed)

    def _apply_configuration(self, new: configuration.Configuration) -> None:
        rates = {
            name: (customer.rate, customer.burst)
            for name, customer in new.customers.items()
        }
        self._limits.configure(rates, self._clock.now_ms())
        bounds = cold_replicas.bounds(
            new.services, self._cfg.cold_overage, self._cfg.cold_slack
        )
        self._fleet.limits.cold.configure(bounds)
        self._update_replicas(self._fleet.all())
        self._presence.schedule_report()

    def _evacuate(self, zones: frozenset[str]) -> None:
        self._fleet.evacuate(zones, self._clock.now_ms())
        self._presence.schedule_report()

    def _stagger_s(self) -> float:
        position, count = self._roster.rank()
        return replica_limits.stagger_s(position, count, _wall_ms())

    def _log_age_ms(self) -> float:
        answer_ms = max(f.last_answer_ms for f in self._followers)
        return self._clock.now_ms() - answer_ms

    def _client_limits(self) -> configuration.ClientLimits:
        current = self._published.current
        return (
            current.client_limits if current else configuration.ClientLimits()
        )

    def _unready(self) -> str | None:
        """Returns why the process should get no connections, or None."""
        if self._shutdown.is_set():
            return "stopping"
        if self._published.current is None:
            return "no configuration yet"
        if not self._fleet.directory.replicas():
            return "no replica known yet"
        return None

    def _add_gauges(self) -> None:
        self._jobs.add_gauges()
        gauge = self._metrics.gauge
        gauge("callers_running", lambda: self._app.active_requests)
        gauge("requests_waiting", lambda: self._dispatcher.waiting)
        gauge(
            "replicas_of_unusual_speed",
            lambda: sum(r.last_unusual for r in self._fleet.all()),
        )
        gauge("peers_heard", lambda: len(self._roster.live_peers()))
        gauge("configuration_version", lambda: self._published.version)
        gauge(
            "replicas_cold",
            lambda: self._fleet.limits.cold.count_cold(self._clock.now_ms()),
        )
        gauge("zones_evacuated", lambda: len(self._evacuations.zones))
        gauge("log_lines_dropped", lambda: self._writer.dropped)

    def _dump(self) -> dict[str, Any]:
        now_ms = self._clock.now_ms()
        return {
            "host": self._cfg.host,
            "zone": self._cfg.zone,
            "unready": self._unready(),
            "version": self._published.version,
            "share": self._limits.share,
            "peers": {
                peer.host: peer.address for peer in self._roster.live_peers()
            },
            "owned": self._jobs.ownership.epochs(),
            "coordinated": self._slot_server.dump(),
            "quarantined": self._quarantine.dump(now_ms),
            "replica_limits": self._fleet.limits.dump(now_ms),
            "evacuated": sorted(self._evacuations.zones),
            "cold_replicas": self._fleet.limits.cold.dump(now_ms),
            "replicas": {
                replica.listing.id: {
                    "own": list(replica.own_counts),
                    "others": list(replica.peer_counts),
                    "leaving": replica.leaving,
                    "evacuated": replica.evacuated,
                    "failures": replica.failures,
                    "standing": replica.standing(now_ms).name.lower(),
                    "slowness": round(replica.slowness(now_ms), 2),
                }
                for replica in self._fleet.all()
            },
            "metrics": self._metrics.dump(),
        }


def _exclude_loaded_code_from_collections() -> None:
    """Spares the collector the objects that live as long as the process.

    A full collection of the 42,000 objects of the loaded modules took 22 ms on
    a fast core, in which no request is served.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(_COLLECTION_THRESHOLD)


def _stop_times_ms(total_ms: float) -> tuple[float, float]:
    """Divides the time between SIGTERM and SIGKILL.

    Returns:
        How long new requests are served as usual, and how long after that
        until connections are closed.
    """
    drain_ms = min(_DRAIN_MS, total_ms / 3)
    return drain_ms, max(0.0, total_ms - drain_ms - _LEAVE_TIMEOUT_MS)


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000
