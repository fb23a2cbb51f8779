"""The operator's configuration document and the replicas' entries."""

from typing import Any

import msgspec

from lacewingwood import configuration
from lacewingwood import errors
from lacewingwood.log import compacted
from lacewingwood.routing import directory

# Topics that the operator and the replicas write.
OPERATOR_PARTITION = compacted.Partition("op", 0)
REPLICAS_PARTITION = compacted.Partition("servers", 0)
CONFIGURATION_KEY = "config"

_KINDS = {
    "idempotent": configuration.RouteKind.IDEMPOTENT,
    "non_idempotent": configuration.RouteKind.NON_IDEMPOTENT,
    # Keyed requests may be repeated only under a key that these deployments
    # do not send; treated as requests that may not be repeated.
    "keyed": configuration.RouteKind.NON_IDEMPOTENT,
    "streaming": configuration.RouteKind.STREAM,
    "batch": configuration.RouteKind.BATCH,
}


class DocumentError(errors.Error):
    """A document can't be decoded."""

    code = "platform_document"


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    service: str = ""
    traffic_split: list[_Split] = []
    timeout_ms: float = 0.0
    target_latency_ms: float = 0.0
    gap_aim_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    auth_exempt: bool = False
    resumable: bool = False
    result_deadline_ms: float = 0.0
    retention_s: float = 0.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Limits(msgspec.Struct, frozen=True):
    max_body_bytes: int = 4 << 20


class _Document(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    tenants: list[_Tenant] = []
    limits: _Limits = _Limits()


class _Entry(msgspec.Struct):
    service: str
    address: str
    state: str
    zone: str = ""
    slots: int = 1
    cold_remaining_ms: float = 0.0
    born: int = 0


def decode_configuration(data: bytes) -> configuration.Configuration:
    """Reads the operator's document.

    Raises:
        DocumentError: It is malformed.
    """
    document = _decode(data, _Document)
    return configuration.Configuration(
        document.version,
        [_route(route) for route in document.routes if route.kind in _KINDS],
        [_customer(tenant) for tenant in document.tenants],
        document.limits.max_body_bytes,
    )


def decode_replica(replica_id: str, data: bytes) -> directory.Listing:
    """Reads a replica's entry.

    Raises:
        DocumentError: It is malformed or names no state known here.
    """
    entry = _decode(data, _Entry)
    host, _, port = entry.address.rpartition(":")
    if entry.state not in ("ready", "draining") or not host:
        raise DocumentError(f"entry {replica_id}: state {entry.state!r}")
    if not port.isdigit():
        raise DocumentError(f"entry {replica_id}: address {entry.address!r}")
    return directory.Listing(
        id=replica_id,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=max(1, entry.slots),
        leaving=entry.state == "draining",
        started_ms=entry.born,
        warming_ms=entry.cold_remaining_ms,
    )


def _decode(data: bytes, into: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=into)
    except msgspec.MsgspecError as exc:
        raise DocumentError(str(exc)) from exc


def _route(route: _Route) -> configuration.Route:
    splits = route.traffic_split or [_Split(route.service)]
    targets = [configuration.Target(s.service, s.weight) for s in splits]
    return configuration.Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        kind=_KINDS[route.kind],
        targets=tuple(t for t in targets if t.weight > 0),
        timeout_ms=route.timeout_ms,
        objective_ms=route.target_latency_ms,
        gap_objective_ms=route.gap_aim_ms,
        priority=route.priority,
        max_attempts=route.max_attempts,
        public=route.auth_exempt,
        resumable=route.resumable,
        result_deadline_ms=route.result_deadline_ms,
        retention_ms=route.retention_s * 1000,
    )


def _customer(tenant: _Tenant) -> configuration.Customer:
    return configuration.Customer(
        name=tenant.name,
        keys=tuple(tenant.api_keys),
        rate=tenant.rate_per_s,
        burst=tenant.burst,
        priority=tenant.priority,
    )
