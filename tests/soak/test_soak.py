"""Short runs of the soak, with the seeds that once failed."""

import json
import subprocess
import sys

import pytest

# Seeds that once broke a guarantee, each with the fault behind it.
REGRESSIONS: dict[int, str] = {
    54: "404 for an accepted job: an expired offset triggered no snapshot read",
}


# Gateways from which on coordinators grant the slots.
_LARGE_FLEET = 18


def _run_soak(
    seed: int, seconds: float, gateways: int = 4, *options: str
) -> dict[str, object]:
    command = [sys.executable, "-m", "soak", "--seed", str(seed)]
    command += ["--seconds", str(seconds), "--gateways", str(gateways)]
    command += options
    result = subprocess.run(
        command, capture_output=True, text=True, timeout=120, check=False
    )
    assert result.stdout, result.stderr[-2_000:]
    return json.loads(result.stdout.splitlines()[-1])


@pytest.mark.parametrize("seed", [101, *REGRESSIONS])
def test_promises_hold_under_faults(seed: int) -> None:
    """Guards against guarantees that fail when faults overlap."""
    report = _run_soak(seed, 6.0)
    assert report["broken"] == []
    assert report["served"]


def test_promises_hold_when_all_restart_without_a_configuration() -> None:
    """Guards against items that are given up during a partial outage."""
    report = _run_soak(7, 10.0, 4, "--with-restarts")
    assert report["broken"] == []
    assert "restart_without_configuration" in report["faults"]
    assert report["accepted"]


def test_promises_hold_in_a_large_fleet() -> None:
    """Guards against guarantees that fail with coordinators and hubs."""
    report = _run_soak(401, 8.0, _LARGE_FLEET)
    assert report["broken"] == []
    assert report["served"]
