"""Start of a gateway, by flags or by environment variables alone."""

import sys
from collections.abc import Mapping
from typing import NoReturn

from lacewingwood import errors
from lacewingwood.platform import settings as settings_file
from lacewingwood.roles import gateway as role

_METRICS_PORT = "LACEWINGWOOD_METRICS_PORT"
_PEER_ADDRESS = "LACEWINGWOOD_PEER_ADDRESS"
_SECOND_ATTEMPT_PERCENT = "LACEWINGWOOD_SECOND_ATTEMPT_PERCENT"
_MAX_PORT = 65_535
_MAX_PERCENT = 100
_EXIT_FAILURE = 1
_EXIT_USAGE = 2


def run(
    config: str,
    metrics_port: int,
    peer_address: str,
    second_attempt_percent: float = 0.0,
) -> None:
    """Runs a gateway until it is stopped.

    Args:
        config: Path of the settings file, empty for LACEWINGWOOD_CONFIG.
        metrics_port: Port of metrics and state dump, 0 for the default.
        peer_address: Address at which gateways reach this one, empty for the
            default.
        second_attempt_percent: Second attempts against slow responses, as a
            percentage of the requests of each route that sets none.
    """
    path = config or settings_file.default_path()
    role.run(
        lambda: settings_file.load(
            path, metrics_port, peer_address, second_attempt_percent
        )
    )


def run_from_environment(environ: Mapping[str, str]) -> None:
    """Runs a gateway whose settings all come from the environment."""
    port = environ.get(_METRICS_PORT, "0")
    if not port.isdecimal() or int(port) > _MAX_PORT:
        _exit_usage(f"{_METRICS_PORT}: {port!r} is not a port")
    percent = _parse_percent(environ.get(_SECOND_ATTEMPT_PERCENT, "0"))
    try:
        run("", int(port), environ.get(_PEER_ADDRESS, ""), percent)
    except errors.Error as exc:
        print(f"lacewingwood: {exc.code}: {exc.message}", file=sys.stderr)
        sys.exit(_EXIT_FAILURE)
    except KeyboardInterrupt:
        sys.exit(130)


def _parse_percent(value: str) -> float:
    try:
        percent = float(value)
    except ValueError:
        percent = -1.0
    # Also rejects a value that is not a number.
    if not 0 <= percent <= _MAX_PERCENT:
        _exit_usage(
            f"{_SECOND_ATTEMPT_PERCENT}: {value!r} is not within 0 to 100"
        )
    return percent


def _exit_usage(message: str) -> NoReturn:
    print(f"lacewingwood: error: {message}", file=sys.stderr)
    sys.exit(_EXIT_USAGE)
