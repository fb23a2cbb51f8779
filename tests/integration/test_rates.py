"""Tests of a customer's rate and burst while entries are killed."""

import signal
import threading
import time

from devtools import deployment
from tests.integration import harness

SHAPE = deployment.Shape(replicas=2, workers=2, slots=200)

_RATE_PER_S = 20.0
_BURST_REQUESTS = 30
_LOAD_DURATION_S = 12.0


def test_killed_entries_admit_no_more_than_the_rate(
    system: harness.System,
) -> None:
    """Guards against admitting a killed entry's share of the rate twice.

    A request is admitted between its sending and its response. So any window
    that starts when one admitted request is sent and ends with the response to
    another may contain at most rate * duration + burst admissions.
    """
    key = system.create_customer("crowd", _RATE_PER_S, _BURST_REQUESTS)[
        "secret"
    ]
    system.wait_until_key_is_accepted(key)
    admitted: list[tuple[float, float]] = []
    stop = threading.Event()

    def send_requests(index: int) -> None:
        number = 0
        while not stop.is_set():
            number += 1
            entry = system.entries[(index + number) % len(system.entries)]
            sent = time.monotonic()
            response = system.chat(entry, key, f"{index} {number}")
            if response.status == 200:
                admitted.append((sent, time.monotonic()))
            else:
                stop.wait(0.02)

    futures = [
        system.executor.submit(send_requests, index) for index in range(6)
    ]
    started = time.monotonic()
    harness.wait_for(lambda: len(admitted) > _BURST_REQUESTS)
    for index in (0, 1):
        killed = system.entries[index]
        killed.signal(signal.SIGKILL)
        killed.wait()
        new = system.deployment.spawn("entry", index)
        new.wait_ready()
        system.entries[index] = new
        before = len(admitted)
        harness.wait_for(lambda b=before: len(admitted) > b + 20)
    remaining_s = max(0.0, _LOAD_DURATION_S - (time.monotonic() - started))
    harness.check_holds(lambda: True, remaining_s)
    stop.set()
    for future in futures:
        future.result(harness.TIMEOUT_S)
    _check_windows(admitted)


def _check_windows(admitted: list[tuple[float, float]]) -> None:
    """Checks the rate bound in each window between admitted requests."""
    by_sent = sorted(admitted)
    for first, (begin, _) in enumerate(by_sent):
        ends = sorted(end for _, end in by_sent[first:])
        for count, end in enumerate(ends, 1):
            bound = _RATE_PER_S * (end - begin) + _BURST_REQUESTS
            assert count <= bound + 1e-6, (count, end - begin)
