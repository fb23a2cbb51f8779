"""Reader of the settings file that the platform writes for each process.

The structures mirror the file's tables, whose field names they keep.
"""

import os
import tomllib
from typing import Annotated
from typing import Any

import msgspec

from lacewingwood import errors
from lacewingwood import gateway_settings

ENV = "LACEWINGWOOD_CONFIG"

# In force where callers compete for the replicas.
_CONTENTION_CONTRACT = "pressure"


class SettingsError(errors.Error):
    """The settings file is missing, unreadable or malformed."""

    code = "platform_settings"


class _Listen(msgspec.Struct):
    # Listener for callers.
    front: str
    # Listener for the load balancer's readiness checks.
    ready: str
    # Listener for other gateways; see `_to_settings`.
    control: str = ""


_Ms = Annotated[float, msgspec.Meta(ge=1)]


class _Limits(msgspec.Struct, frozen=True):
    # Memory of the host in MiB, and most descriptors of the process.
    memory_mb: Annotated[float, msgspec.Meta(ge=1)] = 256.0
    max_fds: Annotated[int, msgspec.Meta(ge=1)] = 1024
    # The platform doesn't set these; operators may.
    max_header_fields: Annotated[int, msgspec.Meta(ge=1)] = 256
    first_byte_ms: _Ms = 60_000.0
    body_stall_ms: _Ms = 10_000.0
    body_rate_window_ms: _Ms = 30_000.0
    body_bytes_per_s: Annotated[float, msgspec.Meta(ge=0)] = 100.0


class _Bounds(msgspec.Struct, frozen=True):
    # Time after a disturbance until a host counts as undisturbed.
    contact_ms: float = 3000.0
    # Time within which a draining replica stops getting requests.
    drain_ms: float = 2000.0
    # Time between SIGTERM and SIGKILL.
    grace_s: float = 8.0
    config_apply_ms: float = 2000.0
    # Fraction by which a customer may exceed its rate.
    quota_overage: float = 0.0
    # Requests by which a customer may exceed its burst.
    quota_slack: float = 0.0
    # Factor by which requests to a cold replica may exceed its rate, and
    # requests on top of that, in any second.
    cold_overage: float = 1.5
    cold_slack: float = 5.0
    # Time from an acknowledged evacuation until the zone gets no requests.
    evacuation_ms: float = 5000.0
    # How long a job stays readable after its submission.
    status_s: float = 120.0
    cancel_ms: float = 3000.0
    settle_ms: float = 1000.0
    pass_ms: float = 120.0


class _Store(msgspec.Struct):
    address: str
    # Partitions of each topic.
    parts: int = 8
    # Largest record.
    record_bytes: int = 262_144
    # Most bytes of one append.
    call_bytes: int = 2_097_152
    # Shortest time to live of a group membership.
    ttl_min_ms: int = 1000


class _File(msgspec.Struct):
    # Name of the host.
    node: str
    ip: str
    zone: str
    listen: _Listen
    # Address and limits of the platform's metadata store.
    platform_settings: _Store
    region: str = ""
    port_range: tuple[int, int] | None = None
    seeds: list[str] = []
    # Interval at which replicas renew their entries.
    heartbeat_ms: float = 1200.0
    # Parts of the platform's rules that are in force.
    contracts: list[str] = []
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()


def load(
    path: str,
    metrics_port: int = 0,
    peer_address: str = "",
    second_attempt_percent: float = 0.0,
) -> gateway_settings.GatewaySettings:
    """Reads a settings file.

    Args:
        path: Path of the file.
        metrics_port: Port of metrics and state dump; 0 for the second port
            of the file's `port_range`.
        peer_address: Address at which other gateways reach this one, empty
            for the address that it listens on.
        second_attempt_percent: Second attempts of routes that set none.

    Raises:
        SettingsError: The file can't be read, or a value is missing or
            malformed.
    """
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
        file_ = msgspec.convert(raw, _File, strict=False)
        cfg = _to_settings(file_, metrics_port, peer_address)
        cfg.second_attempt_percent = second_attempt_percent
        return cfg
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError(f"{path}: {exc}") from exc
    except msgspec.ValidationError as exc:
        raise SettingsError(f"{path}: {exc}") from exc


def default_path(environ: Any = os.environ) -> str:
    """Returns the path in LACEWINGWOOD_CONFIG, empty if it is not set."""
    return str(environ.get(ENV, ""))


def _to_settings(
    file: _File, metrics_port: int, peer_address: str
) -> gateway_settings.GatewaySettings:
    store, bounds, limits = file.platform_settings, file.bounds, file.limits
    first_port = file.port_range[0] if file.port_range else 0
    # The platform means `control` for calls from outside, but nothing makes
    # such calls. Its address is used as the peer listener because `seeds`
    # lists it.
    peer_bind = file.listen.control or f"{file.ip}:{first_port}"
    return gateway_settings.GatewaySettings(
        host=file.node,
        zone=file.zone,
        region=file.region,
        bind=file.listen.front,
        ready_bind=file.listen.ready,
        peer_bind=peer_bind,
        peer_address=peer_address or peer_bind,
        admin_bind=f"{file.ip}:{metrics_port or first_port + 1}",
        seeds=file.seeds,
        store_address=store.address,
        partitions_per_topic=store.parts,
        max_record_bytes=store.record_bytes,
        max_append_bytes=store.call_bytes,
        member_ttl_min_ms=store.ttl_min_ms,
        heartbeat_ms=file.heartbeat_ms,
        contact_ms=bounds.contact_ms,
        leave_ms=bounds.drain_ms,
        apply_ms=bounds.config_apply_ms,
        grace_ms=bounds.grace_s * 1000,
        job_status_ms=bounds.status_s * 1000,
        rate_tolerance=bounds.quota_overage,
        burst_tolerance=bounds.quota_slack,
        contention=_CONTENTION_CONTRACT in file.contracts,
        memory_bytes=int(limits.memory_mb * (1 << 20)),
        max_descriptors=limits.max_fds,
        max_header_fields=limits.max_header_fields,
        first_byte_ms=limits.first_byte_ms,
        body_stall_ms=limits.body_stall_ms,
        body_rate_window_ms=limits.body_rate_window_ms,
        body_bytes_per_s=limits.body_bytes_per_s,
        cold_overage=bounds.cold_overage,
        cold_slack=bounds.cold_slack,
        evacuation_ms=bounds.evacuation_ms,
    )
