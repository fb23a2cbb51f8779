"""Measures the control-plane cost of an idle node by the number of nodes.

Starts entries and workers as separate processes on loopback against the
stand-ins and reads their CPU time, memory and bytes sent to peers over ten
seconds without callers. Prints JSON.
"""

import argparse
import json
import os
import pathlib
import statistics
import sys
import tempfile
import time
from typing import Any

from bench import capacity
from devtools import deployment

_INTERVAL_S = 10.0
_SETTLE_S = 5.0
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _CLOCK_TICKS_PER_S


def _memory_bytes(pid: int) -> int:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


def _peer_bytes(process: deployment.Process) -> float:
    url = f"http://{process.info['admin']}/dump"
    counters = deployment.request_json("GET", url)["metrics"]["counters"]
    return float(counters.get("peer_bytes_sent", 0))


def measure(entries: int, workers: int) -> dict[str, Any]:
    """Returns the medians over all nodes of a deployment of the given size."""
    shape = deployment.Shape(entries=entries, workers=workers, replicas=2)
    with tempfile.TemporaryDirectory(prefix="lacewingwood-") as directory:
        running = deployment.Deployment(shape, pathlib.Path(directory))
        try:
            running.start()
            running.start_nodes()
            return _measure_nodes([*running.entries, *running.workers])
        finally:
            running.stop()


def _measure_nodes(nodes: list[deployment.Process]) -> dict[str, Any]:
    time.sleep(_SETTLE_S)
    cpu = [_cpu_s(node.pid) for node in nodes]
    sent = [_peer_bytes(node) for node in nodes]
    started = time.monotonic()
    time.sleep(_INTERVAL_S)
    spent_s = time.monotonic() - started
    cpu_share = [
        (_cpu_s(node.pid) - before) / spent_s
        for node, before in zip(nodes, cpu, strict=True)
    ]
    rates = [
        (_peer_bytes(node) - before) / spent_s
        for node, before in zip(nodes, sent, strict=True)
    ]
    memory = [_memory_bytes(node.pid) for node in nodes]
    return {
        "nodes": len(nodes),
        "cpu_percent": 100 * statistics.median(cpu_share),
        "peer_bytes_per_s": statistics.median(rates),
        "memory_mb": statistics.median(memory) / 1e6,
    }


def main() -> int:
    """Fits slopes through several sizes and checks them at a larger one."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[4, 8, 16])
    parser.add_argument("--check", type=int, default=40)
    args = parser.parse_args()
    rows = [measure(size, 2) for size in args.sizes]
    check = measure(args.check, 2)
    report: dict[str, Any] = {"rows": rows, "check": check, "slopes": {}}
    for name in ("cpu_percent", "peer_bytes_per_s", "memory_mb"):
        fit = capacity.slope([(row["nodes"], row[name]) for row in rows])
        predicted = fit["intercept"] + fit["slope"] * check["nodes"]
        report["slopes"][name] = {**fit, "predicted_at_check": predicted}
    print(json.dumps(report, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
