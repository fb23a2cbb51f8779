"""Copies configuration, replicas and limit levels from other gateways.

A gateway asks its peers for what it has not received from the log yet.
"""

from collections.abc import Iterable

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.limits import shared
from lacewingwood.log import compacted
from lacewingwood.peers import errors as peer_errors
from lacewingwood.peers import gateway_messages
from lacewingwood.peers import network as network_lib
from lacewingwood.peers import presence as presence_lib
from lacewingwood.routing import evacuation
from lacewingwood.routing import load
from lacewingwood.routing import quarantine as quarantines
from lacewingwood.state import published as published_lib
from lacewingwood.state import software_versions

# A reachable gateway answers within milliseconds. The timeout leaves time to
# ask the next gateway before a new configuration has to be in force.
_TIMEOUT_MS = 500.0
_INTERVAL_MS = 400.0
# Peers that are asked in one round while none has a configuration. Bounds the
# calls when a large fleet starts during an outage of the log.
_MAX_ASKED = 4


class PeerCopy:
    """Exchanges configuration, replicas and limit levels with peers."""

    __slots__ = (
        "_asked_count",
        "_clock",
        "_evacuations",
        "_fleet",
        "_limits",
        "_metrics",
        "_network",
        "_presence",
        "_published",
        "_quarantine",
        "_replicas",
        "_versions",
    )

    def __init__(
        self,
        published: published_lib.PublishedConfiguration,
        replicas: published_lib.ReplicaList,
        fleet: load.Fleet,
        limits: shared.SharedLimits,
        quarantine: quarantines.Quarantine,
        versions: software_versions.SoftwareVersions,
        evacuations: evacuation.Evacuations,
        presence: presence_lib.Presence,
        network: network_lib.Network,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
    ) -> None:
        self._published = published
        self._replicas = replicas
        self._fleet = fleet
        self._limits = limits
        self._quarantine = quarantine
        self._versions = versions
        self._evacuations = evacuations
        self._presence = presence
        self._network = network
        self._clock = clock
        self._metrics = metrics
        self._asked_count = 0
        network.handle(
            gateway_messages.FetchConfiguration, self._on_fetch_configuration
        )

    async def run(self) -> None:
        """Fetches from peers with newer data until cancelled."""
        while True:
            await self._clock.sleep_until_next_ms(_INTERVAL_MS)
            for address in self._addresses_to_ask():
                if await self._fetch_from(address):
                    break

    def _addresses_to_ask(self) -> Iterable[str]:
        version = self._published.version
        peers = self._presence.roster.live_peers()
        newer = [peer.address for peer in peers if peer.version > version]
        if version and self._limits.levels_known:
            return newer
        # Peers that have started lately may have nothing to copy, so each round
        # asks others than the one before.
        addresses = self._presence.addresses()
        start = self._asked_count % max(1, len(addresses))
        rotated = addresses[start:] + addresses[:start]
        asked = list(dict.fromkeys([*newer, *rotated]))[:_MAX_ASKED]
        self._asked_count += len(asked)
        return asked

    async def _fetch_from(self, address: str) -> bool:
        """Applies a peer's copy; returns whether it had a configuration."""
        try:
            answer = await self._network.call(
                address, gateway_messages.FetchConfiguration(), _TIMEOUT_MS
            )
        except peer_errors.PeerError as exc:
            self._metrics.add("configuration_fetches_failed", code=exc.code)
            return False
        if not isinstance(answer, gateway_messages.ConfigurationCopy):
            return False
        if not self._fleet.directory.replicas():
            self._replicas.apply_changes(
                [
                    compacted.Record(replica_id, value)
                    for replica_id, value in answer.replicas.items()
                ]
            )
        if answer.document:
            self._published.apply_if_newer(answer.document, "peer")
        if self._published.current is not None and answer.levels:
            self._limits.init_levels(answer.levels, self._clock.now_ms())
        now_ms = self._clock.now_ms()
        self._fleet.limits.note_limits(answer.replica_limits, now_ms)
        self._versions.add_copy(answer.versions)
        self._evacuations.apply_copy(answer.evacuations)
        if answer.crash_report is not None:
            self._quarantine.note_report(answer.crash_report, now_ms)
        return bool(answer.document)

    async def _on_fetch_configuration(
        self, request: gateway_messages.FetchConfiguration
    ) -> gateway_messages.ConfigurationCopy:
        now_ms = self._clock.now_ms()
        return gateway_messages.ConfigurationCopy(
            self._published.document,
            self._replicas.entries,
            self._limits.levels(),
            self._quarantine.copy(now_ms),
            self._fleet.limits.copy(now_ms),
            self._versions.copy(),
            self._evacuations.marks(),
        )
