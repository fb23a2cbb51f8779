"""A request that has run is answered 503 if its answer is lost."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import harness as h

# A half of the replicas lose the answer of 3 in 100 of the requests that they
# run, for five seconds.
_FAULTY_SHARE = 0.5
_LOST_PERIOD = 34
_FAULT_S = 5.0
_REQUESTS = 300
_CONCURRENT = 10
_ROUTE_TIMEOUT_MS = 2_000
# Statuses that promise that the request has not run and never will.
_PROMISES = (408, 421, 429, 503)


class LosesAnswers:
    """Makes a replica lose each 34th answer."""

    def __init__(self) -> None:
        self._count = 0
        self._start = 0.0

    def __call__(
        self, replica: h.Replica, headers: dict[str, str], path: str
    ) -> h.Fault | None:
        """Returns the fault of the next request."""
        now = time.monotonic()
        self._start = self._start or now
        self._count += 1
        during = now - self._start < _FAULT_S
        lost = during and self._count % _LOST_PERIOD == 0
        return h.Fault(lose_silently=True) if lost else None


async def _send(fleet: h.Fleet, n: int, broken: list[str]) -> None:
    """Sends a request as a client does: again after a promise."""
    path = "/call/1" if n % 2 else "/stream/1"
    for attempt in range(2):
        name = f"{path[1:-2]}-{n}-{attempt}"
        gateway = fleet.gateways[(n + attempt) % len(fleet.gateways)]
        headers = h.caller_headers(name, Deadline_Ms="5000")
        answer = await h.call(gateway.address, "POST", path, b"pay", headers)
        runs = fleet.runs(name)
        if answer.status == 200:
            return
        fleet.record.note(
            f"client: POST {path} {name} at {gateway.name}: {answer.status}"
            f" after {answer.took_ms:.0f} ms, Retry-After"
            f" {answer.headers.get('retry-after')}, {answer.body[:80]!r};"
            f" runs: {[f'{r.replica}: {r.outcome}' for r in runs]}"
        )
        if answer.status not in _PROMISES:
            return
        if runs:
            broken.append(name)


async def case(fleet: h.Fleet, trouble: bool) -> bool:
    """Sends requests that may run once, while replicas lose answers."""
    common = {"max_attempts": 1, "timeout_ms": _ROUTE_TIMEOUT_MS}
    fleet.routes = [
        h.route("call", "non_idempotent", service=h.PLAIN_SERVICE, **common),
        h.route(
            "stream", "streaming", resumable=False, gap_aim_ms=250, **common
        ),
    ]
    await fleet.configure()
    await fleet.add_replicas(4, service=h.PLAIN_SERVICE, work_s=0.05)
    await fleet.add_replicas(4)
    for n, replica in enumerate(fleet.replicas):
        replica.quiet = True
        if trouble and n % 4 < 4 * _FAULTY_SHARE:
            replica.choose_fault = LosesAnswers()
    await fleet.add_gateways(2)
    await asyncio.sleep(3.5)
    broken: list[str] = []
    limit = asyncio.Semaphore(_CONCURRENT)

    async def send(n: int) -> None:
        async with limit:
            await _send(fleet, n, broken)

    await asyncio.gather(*(send(n) for n in range(_REQUESTS)))
    lost = sum(run.outcome.startswith("lost") for run in fleet.runs())
    fleet.record.note(
        f"{_REQUESTS} requests, {lost} answers lost;"
        f" REFUSED: {len(broken)} were answered with a promise and had run"
    )
    return not broken


h.main(case, pathlib.Path(__file__).resolve().parent)
