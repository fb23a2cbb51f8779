"""Measures the CPU time of log lines (`python -m bench.log_cost`).

The CPU time of a line is measured in a loop in this process, that of a request
on a gateway process which serves streams of one replica. The report gives the
share of a request's CPU time that its log lines take.
"""

import json
import os
import pathlib
import sys
import tempfile
import threading
import time

import structlog

from devtools import fleet as fleets
from lacewingwood import logs

_LINES = 20_000
_LINES_PER_FLUSH = 20
_PAUSE_S = 0.0005
_REQUESTS = 400
_HEADERS = {"Host": fleets.HOST, "Authorization": f"Bearer {fleets.KEY}"}


def _line_us() -> float:
    """Returns the CPU time in us of writing one line to a pipe."""
    reader, fd = os.pipe()
    threading.Thread(target=_read_all, args=(reader,), daemon=True).start()
    writer = logs.Writer(fd, clock_s=_fast_clock())
    logs.configure_writer(writer, node="front-a-1", zone="a")
    log = structlog.get_logger()
    started = time.thread_time()
    for n in range(_LINES):
        log.info(
            "served",
            request_id=f"{n:016x}",
            route="route",
            customer="customer",
            replica="i-0123456789",
            attempts=1,
            refusals=0,
            total_ms=300,
        )
        if n % _LINES_PER_FLUSH == 0:
            writer.flush()
            # Lets the reader run; the time slept is not CPU time.
            time.sleep(_PAUSE_S)
    spent_s = time.thread_time() - started
    if writer.dropped:
        raise SystemExit(f"{writer.dropped} lines were dropped")
    return spent_s / _LINES * 1e6


def _fast_clock():  # type: ignore[no-untyped-def]
    """Returns a clock so fast that the writer's rate limit drops no line."""
    now_s = 0.0

    def clock_s() -> float:
        nonlocal now_s
        now_s += 1.0
        return now_s

    return clock_s


def _read_all(reader: int) -> None:
    while os.read(reader, 1 << 16):
        pass


def _request_us(directory: pathlib.Path) -> tuple[float, float]:
    """Returns a gateway's CPU time in us and log lines per request."""
    shape = fleets.Shape(gateways=1, replicas=1, step_ms=1.0)
    with fleets.running(shape, directory) as fleet:
        gateway = fleet.gateways[0]
        assert gateway.process is not None
        _send(gateway, 20)
        before_us, lines_before = (
            _cpu_us(gateway.process.pid),
            _count_lines(gateway),
        )
        started_s = time.monotonic()
        _send(gateway, _REQUESTS)
        spent_us = _cpu_us(gateway.process.pid) - before_us
        elapsed_s = time.monotonic() - started_s
        # The process's idle CPU time is not attributed to the requests.
        idle_us = _cpu_us(gateway.process.pid)
        time.sleep(3)
        idle_us = (_cpu_us(gateway.process.pid) - idle_us) / 3
        lines = _count_lines(gateway) - lines_before
    return (spent_us - idle_us * elapsed_s) / _REQUESTS, lines / _REQUESTS


def _send(gateway: fleets.Gateway, count: int) -> None:
    for n in range(count):
        headers = {**_HEADERS, "Request-Id": f"r{n}", "Deadline-Ms": "5000"}
        status, _ = fleets.call(gateway.address, "POST", "/s/x", b"{}", headers)
        if status != 200:
            raise SystemExit(f"a request was answered {status}")


def _cpu_us(pid: int) -> float:
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    user, system = stat.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK") * 1e6


def _count_lines(gateway: fleets.Gateway) -> int:
    return gateway.log_path.read_bytes().count(b"\n")


def main() -> int:
    """Prints the figures as one line of JSON."""
    with tempfile.TemporaryDirectory(prefix="lacewingwood-") as directory:
        request_us, lines = _request_us(pathlib.Path(directory))
    line_us = _line_us()
    figures = {
        "line_us": round(line_us, 1),
        "lines_per_request": round(lines, 2),
        "request_us": round(request_us),
        "share": round(line_us * lines / request_us, 4),
    }
    print(json.dumps(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main())
