"""Rate and burst of a customer over entries that are killed."""

import signal
import threading
import time

from devtools import deployment
from tests.integration import system as systems

SHAPE = deployment.Shape(replicas=2, workers=2, slots=200)

_RATE = 20.0
_BURST = 30
_LOAD_S = 12.0


def test_killed_entries_admit_no_more_than_the_rate(
    system: systems.System,
) -> None:
    """Guards against allocations that count twice after their holder's death.

    An admission happened between the sending of its request and its answer,
    so a window from the first sending to the last answer of any run of
    admitted requests may hold no more than rate x length + burst.
    """
    key = system.customer("crowd", _RATE, _BURST)["secret"]
    system.wait_until_served(key)
    admitted: list[tuple[float, float]] = []
    stop = threading.Event()

    def caller(index: int) -> None:
        number = 0
        while not stop.is_set():
            number += 1
            entry = system.entries[(index + number) % len(system.entries)]
            sent = time.monotonic()
            answer = system.chat(entry, key, f"{index} {number}")
            if answer.status == 200:
                admitted.append((sent, time.monotonic()))
            else:
                stop.wait(0.02)

    callers = [system.threads.submit(caller, index) for index in range(6)]
    killed_at = time.monotonic()
    systems.wait_for(lambda: len(admitted) > _BURST)
    for index in (0, 1):
        victim = system.entries[index]
        victim.signal(signal.SIGKILL)
        victim.wait()
        new = system.running.spawn("entry", index)
        new.wait_ready()
        system.entries[index] = new
        before = len(admitted)
        systems.wait_for(lambda b=before: len(admitted) > b + 20)
    remaining_s = max(0.0, _LOAD_S - (time.monotonic() - killed_at))
    systems.stays(lambda: True, remaining_s)
    stop.set()
    for done in callers:
        done.result(systems.WAIT_S)
    _check_windows(admitted)


def _check_windows(admitted: list[tuple[float, float]]) -> None:
    """Checks the bound on every window of at least two admissions."""
    by_sent = sorted(admitted)
    for first, (begin, _) in enumerate(by_sent):
        ends = sorted(end for _, end in by_sent[first:])
        for count, end in enumerate(ends, 1):
            bound = _RATE * (end - begin) + _BURST
            assert count <= bound + 1e-6, (count, end - begin)
