"""Followers of the configuration and of the list of replicas."""

from lacewingwood import clock as clocks
from lacewingwood import gateway_settings
from lacewingwood import metrics as metrics_lib
from lacewingwood.log import compacted
from lacewingwood.log import follow
from lacewingwood.platform import documents
from lacewingwood.platform import store as store_lib
from lacewingwood.routing import evacuation
from lacewingwood.state import published

# A read of the store waits for a change for this share of the time within which
# the change must take effect, and the next read follows after a pause. If the
# connection has gone silent, the next read is late by some 1.5 s.
_CONFIGURATION_READ_WAIT_SHARE = 0.45
_CONFIGURATION_READ_PAUSE_MS = 50.0
# Replicas renew their entries all the time, so the pause decides how many reads
# are made.
_REPLICAS_READ_WAIT_MS = 500.0
_REPLICAS_READ_PAUSE_SHARE = 0.2


def make(
    cfg: gateway_settings.GatewaySettings,
    store: store_lib.Store,
    published_: published.PublishedConfiguration,
    replica_list: published.ReplicaList,
    evacuations: evacuation.Evacuations,
    clock: clocks.Clock,
    metrics: metrics_lib.Registry,
) -> list[follow.Follower]:
    """Returns the followers, which apply what they read."""

    def apply_documents(records: list[compacted.Record]) -> None:
        for record in records:
            if record.key == documents.CONFIGURATION_KEY and record.value:
                published_.apply_if_newer(record.value, "store")

    def apply_changes(records: list[compacted.Record]) -> None:
        apply_documents(records)
        evacuations.apply_changes(documents.decode_evacuations(records))

    def apply_snapshot(records: list[compacted.Record]) -> None:
        apply_documents(records)
        evacuations.apply_snapshot(documents.decode_evacuations(records))

    return [
        follow.Follower(
            store,
            documents.OPERATOR_PARTITION,
            apply_snapshot,
            apply_changes,
            clock,
            metrics,
            wait_ms=(
                min(cfg.apply_ms, cfg.evacuation_ms)
                * _CONFIGURATION_READ_WAIT_SHARE
            ),
            pause_ms=_CONFIGURATION_READ_PAUSE_MS,
        ),
        follow.Follower(
            store,
            documents.REPLICAS_PARTITION,
            replica_list.apply_snapshot,
            replica_list.apply_changes,
            clock,
            metrics,
            wait_ms=_REPLICAS_READ_WAIT_MS,
            pause_ms=cfg.leave_ms * _REPLICAS_READ_PAUSE_SHARE,
        ),
    ]
