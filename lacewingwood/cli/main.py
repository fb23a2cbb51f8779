"""Command line of the program `lacewingwood`."""

import sys
from typing import Annotated

import cyclopts

import lacewingwood
from lacewingwood import errors
from lacewingwood import settings

_EXIT_FAILURE = 1
_EXIT_USAGE = 2
_MAX_PORT = 65_535

app = cyclopts.App(
    name="lacewingwood",
    help="Serves online and batch inference on one fleet.",
    version=lacewingwood.__version__,
)

# Roles read every setting from the environment, too. The client's commands
# read only the log's address from it: a variable set for an entry on the same
# host must not change what the client publishes.
_ROLE_CONFIG = cyclopts.config.Env(settings.ENV_PREFIX, command=False)
# Imported on use, so that the client's modules do not delay a role's start.
for _name in ("customer", "key", "route", "model", "config"):
    app.command(f"lacewingwood.cli.operator:{_name}_app", name=_name)
for _name in ("status", "dump"):
    app.command(f"lacewingwood.cli.operator:{_name}", name=_name)
app.command("lacewingwood.cli.explain:explain", name="explain")


@app.command(config=_ROLE_CONFIG)
def entry(cfg: settings.EntrySettings) -> None:
    """Runs an entry process: serves callers' requests."""
    from lacewingwood.roles import entry as role  # noqa: PLC0415

    role.run(cfg)


@app.command(config=_ROLE_CONFIG)
def worker(cfg: settings.WorkerSettings) -> None:
    """Runs a worker process: batch jobs and snapshots of shared state."""
    from lacewingwood.roles import worker as role  # noqa: PLC0415

    role.run(cfg)


@app.command(config=_ROLE_CONFIG)
def gateway(
    config: Annotated[
        str, cyclopts.Parameter(help="Settings file of the platform.")
    ] = "",
    metrics_port: Annotated[
        int,
        cyclopts.Parameter(
            help="Port of metrics and state dump.",
            validator=cyclopts.validators.Number(gte=0, lte=_MAX_PORT),
        ),
    ] = 0,
    peer_address: Annotated[
        str,
        cyclopts.Parameter(help="Address at which gateways reach this one."),
    ] = "",
    second_attempt_percent: Annotated[
        float,
        cyclopts.Parameter(
            help="Second attempts against slow responses, as a percentage of "
            "the requests of each route that sets none.",
            validator=cyclopts.validators.Number(gte=0, lte=100),
        ),
    ] = 0.0,
) -> None:
    """Runs a gateway process: serves routed requests and runs batch jobs.

    The default of `--config` is the path in LACEWINGWOOD_CONFIG. The default
    of `--metrics-port` is the second port of the file's `port_range`.
    `--peer-address` is for a gateway that others reach through a proxy.
    """
    from lacewingwood.cli import gateway as command  # noqa: PLC0415

    command.run(config, metrics_port, peer_address, second_attempt_percent)


def main() -> None:
    """Runs the command line; exits with 2 on a usage error."""
    try:
        app(exit_on_error=False, print_error=False)
    except cyclopts.CycloptsError as exc:
        print(f"lacewingwood: error: {exc}", file=sys.stderr)
        sys.exit(_EXIT_USAGE)
    except errors.Error as exc:
        print(f"lacewingwood: {exc.code}: {exc.message}", file=sys.stderr)
        sys.exit(_EXIT_FAILURE)
    except KeyboardInterrupt:
        sys.exit(130)


if __name__ == "__main__":
    main()
