"""Settings of the roles, read from flags and environment variables."""

import dataclasses
import ipaddress
import urllib.parse
from collections.abc import Callable
from typing import Annotated
from typing import Any

import cyclopts

from lacewingwood import addresses

ENV_PREFIX = "LACEWINGWOOD_"

_MAX_DURATION_MS = 86_400_000
_MAX_PORT = 65_535


def _check_url(type_: object, value: str) -> None:
    """Accepts `http://HOST:PORT` without a path."""
    parts = urllib.parse.urlsplit(value)
    if parts.scheme != "http" or not parts.hostname or parts.path.strip("/"):
        raise ValueError("Must be http://HOST:PORT.")
    if parts.port is None:
        raise ValueError("Must name a port, as in http://10.0.0.1:8080.")


def _check_address(type_: object, value: str) -> None:
    """Accepts `IP:PORT`; port 0 lets the system choose one."""
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError("Must be IP:PORT, as in 10.0.0.1:8080.") from None
    if not port.isdigit() or int(port) > _MAX_PORT:
        raise ValueError("Must end in a port from 0 to 65535.")


def _check_reachable(type_: object, value: str) -> None:
    """Accepts `IP:PORT` of an address that other processes can connect to."""
    _check_address(type_, value)
    host, _ = addresses.split(value)
    if ipaddress.ip_address(host).is_unspecified:
        raise ValueError("Must be an address that other hosts can reach.")


def _check_addresses(type_: object, values: list[str]) -> None:
    """Accepts a list of `IP:PORT`."""
    for value in values:
        _check_address(type_, value)


def _check_name(type_: object, value: str) -> None:
    """Accepts non-empty names without white space, slashes or commas."""
    if not value or any(c.isspace() or c in "/," for c in value):
        raise ValueError("Must be a name without white space, '/' or ','.")


def _setting(
    help_: str, *checks: Callable[[Any, Any], None]
) -> cyclopts.Parameter:
    return cyclopts.Parameter(help=help_, validator=list(checks))


def _duration(help_: str, least_ms: int = 0) -> cyclopts.Parameter:
    limits = cyclopts.validators.Number(gte=least_ms, lte=_MAX_DURATION_MS)
    return cyclopts.Parameter(help=help_, validator=limits)


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(slots=True, kw_only=True)
class LogSettings:
    """Address of the platform's log."""

    log_url: Annotated[
        str,
        cyclopts.Parameter(
            help="Log service, http://HOST:PORT.",
            validator=_check_url,
            env_var=f"{ENV_PREFIX}LOG_URL",
        ),
    ]


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(slots=True, kw_only=True)
class NodeSettings(LogSettings):
    """Settings common to the roles `entry` and `worker`."""

    hostlist_url: Annotated[
        str, _setting("Host list, http://HOST:PORT.", _check_url)
    ]
    host: Annotated[
        str, _setting("Identity of this host on the host list.", _check_name)
    ]
    zone: Annotated[str, _setting("Availability zone.", _check_name)]
    region: Annotated[str, _setting("Region.", _check_name)]
    peer_bind: Annotated[
        str,
        _setting("Listener for other processes, IP:PORT.", _check_reachable),
    ] = "127.0.0.1:0"
    admin_bind: Annotated[
        str,
        _setting(
            "Listener for health, metrics and dumps, IP:PORT.", _check_address
        ),
    ] = "127.0.0.1:0"
    seeds: Annotated[
        list[str],
        _setting(
            "Peer listeners of other processes, IP:PORT each. They provide the"
            " configuration if the log is down at the start.",
            _check_addresses,
        ),
    ] = dataclasses.field(default_factory=list)
    drain_ms: Annotated[
        int,
        _duration("How long new requests are served after SIGTERM, in ms."),
    ] = 5_000
    shutdown_ms: Annotated[
        int,
        _duration("Longest wait for running streams at shutdown, in ms.", 1),
    ] = 3_600_000


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(slots=True, kw_only=True)
class EntrySettings(NodeSettings):
    """Settings of an entry process."""

    bind: Annotated[
        str, _setting("Listener for callers, IP:PORT.", _check_address)
    ] = "127.0.0.1:8080"
    max_body_bytes: Annotated[
        int,
        cyclopts.Parameter(
            help="Largest body of an inference request, in bytes.",
            validator=cyclopts.validators.Number(gte=1_024, lte=2**30),
        ),
    ] = 4 * 2**20
    max_file_bytes: Annotated[
        int,
        cyclopts.Parameter(
            help="Largest file for batch jobs, in bytes.",
            validator=cyclopts.validators.Number(gte=1_024, lte=2**34),
        ),
    ] = 512 * 2**20
    request_timeout_ms: Annotated[
        int, _duration("Longest duration of an online request, in ms.", 1)
    ] = 600_000


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerSettings(NodeSettings):
    """Settings of a worker process."""
