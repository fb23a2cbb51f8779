"""Start of a gateway, by flags or by environment variables alone."""

import sys
from collections.abc import Mapping

from lacewingwood import errors
from lacewingwood.platform import settings as settings_file
from lacewingwood.roles import gateway as role

_METRICS_PORT = "LACEWINGWOOD_METRICS_PORT"
_PEER_ADDRESS = "LACEWINGWOOD_PEER_ADDRESS"
_MAX_PORT = 65_535
_EXIT_FAILURE = 1
_EXIT_USAGE = 2


def run(config: str, metrics_port: int, peer_address: str) -> None:
    """Runs a gateway until it is stopped.

    Args:
        config: Path of the settings file, empty for LACEWINGWOOD_CONFIG.
        metrics_port: Port of metrics and state dump, 0 for the default.
        peer_address: Address at which gateways reach this one, empty for the
            default.
    """
    path = config or settings_file.default_path()
    role.run(lambda: settings_file.load(path, metrics_port, peer_address))


def run_from_environment(environ: Mapping[str, str]) -> None:
    """Runs a gateway whose settings all come from the environment."""
    port = environ.get(_METRICS_PORT, "0")
    if not port.isdecimal() or int(port) > _MAX_PORT:
        print(
            f"lacewingwood: error: {_METRICS_PORT}: {port!r} is not a port",
            file=sys.stderr,
        )
        sys.exit(_EXIT_USAGE)
    try:
        run("", int(port), environ.get(_PEER_ADDRESS, ""))
    except errors.Error as exc:
        print(f"lacewingwood: {exc.code}: {exc.message}", file=sys.stderr)
        sys.exit(_EXIT_FAILURE)
    except KeyboardInterrupt:
        sys.exit(130)
