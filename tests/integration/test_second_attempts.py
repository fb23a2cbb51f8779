"""Tests of second attempts against slow responses, between processes."""

import pathlib

from devtools import fleet as fleets

_HEADERS = {"Host": fleets.HOST, "Authorization": f"Bearer {fleets.KEY}"}
_EVENTS = 8


def _send(fleet: fleets.Fleet, path: str, name: str) -> tuple[int, bytes]:
    headers = {**_HEADERS, "Request-Id": name, "Deadline-Ms": "5000"}
    address = fleet.gateways[0].address
    return fleets.call(address, "POST", path, b"{}", headers)


def _stream(name: str) -> bytes:
    return b"".join(
        f"id: {n}\ndata: {name} {n}\n\n".encode() for n in range(1, _EVENTS + 1)
    )


def test_silent_replica_does_not_delay_streams_that_may_be_repeated(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a second attempt that only works with scripted replicas.

    The streams arrive whole and unmixed, and runs of a route with one attempt
    are not repeated.
    """
    shape = fleets.Shape(gateways=1, events=_EVENTS)
    with fleets.running(shape, tmp_path) as fleet:
        fleet.configure(second_attempt_percent=100)
        for n in range(60):
            name = f"warm-{n}"
            assert _send(fleet, "/s/x", name) == (200, _stream(name))
        fleet.set_faults(fleet.replicas[0], silent=True, count=1_000)
        for n in range(30):
            name = f"slow-{n}"
            assert _send(fleet, "/s/x", name) == (200, _stream(name))
        fleet.set_faults(fleet.replicas[0])
        for n in range(20):
            name = f"once-{n}"
            assert _send(fleet, "/o/x", name) == (200, _stream(name))
        runs = fleet.runs()
        address = fleet.gateways[0].admin_address
        _, metrics = fleets.call(address, "GET", "/metrics")
    assert b"second_attempts_won" in metrics
    by_name = [run["request_id"] for run in runs]
    slow = [name for name in by_name if name.startswith("slow")]
    assert 30 < len(slow) <= 60
    assert sum(name.startswith("once") for name in by_name) == 20
