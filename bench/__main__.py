"""Measures the system and a naive version under equal load (`make bench`)."""

import pathlib
import signal
import sys
import tempfile
import time

import trio

from bench import phases
from bench import report
from bench import versions
from bench import workload
from devtools import deployment

_VERSIONS = {"system": versions.system, "naive": versions.naive}
# A version takes about a minute; none is started later than this, so that the
# benchmark ends within 5 minutes.
_LATEST_START_S = 225.0


def _measure(org: workload.Organisation, name: str) -> report.Result:
    print(f"bench: {org.name}, {name}", flush=True)
    with (
        tempfile.TemporaryDirectory(prefix="lacewingwood-") as directory,
        _VERSIONS[name](org, pathlib.Path(directory)) as version,
    ):
        run = trio.run(phases.Bench(version).run)
    return report.make_result(org, name, run)


def main() -> int:
    """Runs both versions in both deployments; returns 1 if a run failed."""
    # SIGTERM is handled as Ctrl-C, so that the deployment is stopped.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    started = time.monotonic()
    print(f"bench: seed {workload.SEED}", flush=True)
    results: list[report.Result] = []
    failed = False
    for org in (workload.AUTHORITY, workload.COOPERATIVE):
        for name in _VERSIONS:
            if time.monotonic() - started > _LATEST_START_S:
                print(f"bench: no time left for {org.name}, {name}")
                failed = True
                continue
            try:
                results.append(_measure(org, name))
                report.print_table(results[-1:])
            except deployment.DeploymentError as exc:
                print(f"bench: {org.name}, {name}: {exc}", file=sys.stderr)
                failed = True
    elapsed_s = time.monotonic() - started
    print(f"\nbench: seed {workload.SEED}, {elapsed_s:.0f} s")
    print(f"bench: report in {report.write(results, elapsed_s)}")
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
