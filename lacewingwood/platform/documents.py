"""Decoders of the operator's configuration document and replica entries.

The structures mirror the platform's JSON, whose field names they keep.
"""

import ipaddress
import re
from typing import Annotated
from typing import Any

import msgspec

from lacewingwood import configuration
from lacewingwood import errors
from lacewingwood.log import compacted
from lacewingwood.routing import directory

# Partitions that the operator and the replicas write to.
OPERATOR_PARTITION = compacted.Partition("op", 0)
REPLICAS_PARTITION = compacted.Partition("servers", 0)
CONFIGURATION_KEY = "config"
# Followed by the zone that is evacuated while the key has a value.
_EVACUATION_PREFIX = "evacuate/"

# A replica's id is sent in a header of each request to it.
_REPLICA_ID = re.compile(r"[!-~]+")

_KINDS = {
    "idempotent": configuration.RouteKind.IDEMPOTENT,
    "non_idempotent": configuration.RouteKind.NON_IDEMPOTENT,
    # Keyed requests are idempotent only with an idempotency key, which these
    # deployments do not send.
    "keyed": configuration.RouteKind.NON_IDEMPOTENT,
    "streaming": configuration.RouteKind.STREAM,
    "batch": configuration.RouteKind.BATCH,
}


class DocumentError(errors.Error):
    """A document or a replica entry can't be decoded."""

    code = "platform_document"


_Percent = Annotated[float, msgspec.Meta(ge=0, le=100)]
_Duration = Annotated[float, msgspec.Meta(ge=0, le=3_600)]
_Rate = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]


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
    # Time to the first byte, or until a job is accepted.
    target_latency_ms: float = 0.0
    # Objective for the longest pause between events of a stream.
    gap_aim_ms: float = 0.0
    # 0 is the highest.
    priority: int = 0
    max_attempts: int = 1
    auth_exempt: bool = False
    resumable: bool = False
    result_deadline_ms: float = 0.0
    # From a job's submission until its items may be given up.
    retention_s: float = 0.0
    # Tokens of a tenant that may wait on a batch route, 0 for no limit. The
    # name also stands for other limits, in the services' engines.
    cap: float = 0.0
    # Absent for the gateway's setting.
    second_attempt_percent: _Percent | None = None


class _Service(msgspec.Struct):
    name: str
    # How long a replica is cold after its start, and how many requests a second
    # it takes then; 0 for a service without cold replicas.
    cold_start_s: _Duration = 0.0
    cold_per_s: _Rate = 0.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Limits(msgspec.Struct, frozen=True):
    max_body_bytes: int = 4 << 20
    # 0 for the default of each, as if it were absent.
    max_header_bytes: Annotated[int, msgspec.Meta(ge=0)] = 0
    header_timeout_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    idle_timeout_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class _Document(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    tenants: list[_Tenant] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()


_Name = Annotated[str, msgspec.Meta(max_length=200)]
# Numbers beyond what any replica has are not taken for it: the product computes
# with them, and sends them to other gateways.
_Slots = Annotated[int, msgspec.Meta(le=100_000)]
_UnixMs = Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]


class _ReplicaEntry(msgspec.Struct):
    service: _Name
    address: _Name
    state: str
    # Version of the replica's software, not of its weights.
    version: _Name
    zone: _Name = ""
    # Requests that the replica runs at once.
    slots: _Slots = 1
    # How much longer the replica is slow after its start.
    cold_remaining_ms: float = 0.0
    # Unix time of the replica's start in ms.
    born: _UnixMs = 0


def decode_evacuations(
    records: list[compacted.Record],
) -> dict[str, tuple[int, bool]]:
    """Returns the zones that records evacuate or revoke, with their offsets."""
    return {
        zone: (record.offset, record.value is not None)
        for record in records
        if record.key.startswith(_EVACUATION_PREFIX)
        and (zone := record.key[len(_EVACUATION_PREFIX) :])
    }


def decode_configuration(data: bytes) -> configuration.Configuration:
    """Decodes the operator's document.

    Routes of unknown kinds are left out.

    Raises:
        DocumentError: The document is malformed.
    """
    document = _decode(data, _Document)
    return configuration.Configuration(
        document.version,
        [_to_route(route) for route in document.routes if route.kind in _KINDS],
        [_to_customer(tenant) for tenant in document.tenants],
        document.limits.max_body_bytes,
        _to_client_limits(document.limits),
        [
            configuration.Service(
                service.name, service.cold_start_s * 1000, service.cold_per_s
            )
            for service in document.services
        ],
    )


def decode_replica(replica_id: str, data: bytes) -> directory.Listing:
    """Decodes a replica's entry.

    Raises:
        DocumentError: The entry is malformed or its state is unknown.
    """
    entry = _decode(data, _ReplicaEntry)
    if entry.state not in ("ready", "draining"):
        raise DocumentError(
            f"replica entry {replica_id}: unknown state {entry.state[:20]!r}"
        )
    _check_address(replica_id, entry.address)
    if not _REPLICA_ID.fullmatch(replica_id):
        raise DocumentError(
            f"replica entry {replica_id!r}: the id is not valid"
        )
    return directory.Listing(
        id=replica_id,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=max(1, entry.slots),
        leaving=entry.state == "draining",
        started_ms=entry.born,
        warming_ms=entry.cold_remaining_ms,
        version=entry.version,
    )


def _check_address(replica_id: str, address: str) -> None:
    """Raises DocumentError unless an address is an IPv4 number and a port."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as exc:
        raise DocumentError(f"replica entry {replica_id}: {exc}") from exc
    if not port.isascii() or not port.isdigit() or not 0 < int(port) < 1 << 16:
        raise DocumentError(
            f"replica entry {replica_id}: no port in address {address!r}"
        )


def _decode(data: bytes, type_: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=type_)
    except (msgspec.MsgspecError, RecursionError) as exc:
        # The latter for values that are nested too deeply.
        raise DocumentError(str(exc)) from exc


def _to_route(route: _Route) -> configuration.Route:
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
        max_waiting_tokens=int(route.cap),
        second_attempt_percent=route.second_attempt_percent,
    )


def _to_client_limits(limits: _Limits) -> configuration.ClientLimits:
    defaults = configuration.ClientLimits()
    return configuration.ClientLimits(
        limits.max_header_bytes or defaults.max_header_bytes,
        limits.header_timeout_ms or defaults.header_timeout_ms,
        limits.idle_timeout_ms or defaults.idle_timeout_ms,
    )


def _to_customer(tenant: _Tenant) -> configuration.Customer:
    return configuration.Customer(
        name=tenant.name,
        keys=tuple(tenant.api_keys),
        rate=tenant.rate_per_s,
        burst=tenant.burst,
        priority=tenant.priority,
    )
