"""Keeps a small deployment running in the foreground (`make up`)."""

import json
import pathlib
import signal
import sys
import tempfile
from collections.abc import Mapping
from typing import Any

from devtools import deployment

_CUSTOMERS = {"tanta-office": (200, 400), "zifta-office": (50, 100)}


class _StopRequested(Exception):
    """A signal requested that the deployment be stopped."""


def _raise_stop(number: int, frame: object) -> None:
    raise _StopRequested


def configure(
    running: deployment.Deployment, customers: Mapping[str, tuple[float, int]]
) -> list[dict[str, str]]:
    """Creates the model, a route, customers and keys; returns the keys."""
    shape = running.shape
    running.operate(
        *("model", "put", shape.model),
        *("--service", shape.service, "--version", "1"),
    )
    running.operate(
        *("route", "put", "inspections"),
        *("--prefix", "/inspections", "--service", "inspections"),
    )
    keys: list[dict[str, str]] = []
    for name, (rate, burst) in customers.items():
        running.operate(
            *("customer", "put", name),
            *("--rate", str(rate), "--burst", str(burst)),
        )
        issued = running.operate("key", "give", name)
        keys.append(
            {"name": name, "key": issued["secret"], "key_id": issued["key_id"]}
        )
    return keys


def describe(
    running: deployment.Deployment, keys: list[dict[str, str]]
) -> dict[str, Any]:
    """Returns the addresses and keys for clients of the deployment."""
    return {
        "ready": True,
        "base_urls": running.base_urls,
        "pids": [entry.pid for entry in running.entries],
        "customers": keys,
        "model": running.shape.model,
        "operator_env": {"LACEWINGWOOD_LOG_URL": running.log_url},
        "admin": [node.info["admin"] for node in running.entries],
    }


def main() -> int:
    """Runs the deployment until SIGTERM or Ctrl-C."""
    signal.signal(signal.SIGTERM, _raise_stop)
    signal.signal(signal.SIGINT, _raise_stop)
    with tempfile.TemporaryDirectory(prefix="lacewingwood-") as directory:
        shape = deployment.Shape(workers=2)
        try:
            with deployment.running(shape, pathlib.Path(directory)) as running:
                keys = configure(running, _CUSTOMERS)
                print(json.dumps(describe(running, keys)), flush=True)
                signal.pause()
        except _StopRequested:
            return 0
        except deployment.DeploymentError as exc:
            print(f"up: {exc}", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
