"""Tests of a fleet of gateways as separate processes."""

import base64
import json
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Iterator

import pytest

from devtools import fleet as fleets

HEADERS = {"Host": fleets.HOST, "Authorization": f"Bearer {fleets.KEY}"}


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[fleets.Fleet]:
    """Runs three gateways before three replicas."""
    directory: pathlib.Path = tmp_path_factory.mktemp("fleet")
    with fleets.running(fleets.Shape(), directory) as running:
        yield running


def _stream(
    gateway: fleets.Gateway, request_id: str, path: str = "/s/x"
) -> tuple[int, bytes]:
    headers = {**HEADERS, "Request-Id": request_id, "Deadline-Ms": "5000"}
    return fleets.call(gateway.address, "POST", path, b"{}", headers)


def _whole(request_id: str, events: int = 8) -> bytes:
    return b"".join(
        f"id: {n}\ndata: {request_id} {n}\n\n".encode()
        for n in range(1, events + 1)
    )


def _submit(gateway: fleets.Gateway, job_id: str, items: int = 4) -> int:
    body = {
        "items": [
            {
                "id": f"{job_id}-{n}",
                "path": f"/b/{n}",
                "headers": {"Model-Id": "m"},
                "body": base64.b64encode(b"x%d" % n).decode(),
                "tokens": 10,
            }
            for n in range(items)
        ]
    }
    headers = {**HEADERS, "Request-Id": job_id}
    status, _ = fleets.call(
        gateway.address, "POST", "/b/x", json.dumps(body).encode(), headers
    )
    return status


def _results(
    gateway: fleets.Gateway, job_id: str, start: int = 0
) -> tuple[int, list[dict[str, str]]]:
    status, body = fleets.call(
        gateway.address, "GET", f"/-/lots/{job_id}?after={start}", b"", HEADERS
    )
    return status, json.loads(body)["results"] if status == 200 else []


def _wait_results(
    gateway: fleets.Gateway, job_id: str, count: int
) -> list[dict[str, str]]:
    limit = time.monotonic() + 15
    found: list[dict[str, str]] = []
    while len(found) < count:
        assert time.monotonic() < limit, f"{len(found)} of {count} results"
        found = _results(gateway, job_id)[1]
        time.sleep(0.1)
    return found


def test_stream_is_the_replicas_and_bears_no_key(fleet: fleets.Fleet) -> None:
    """Guards against a changed stream and a key that reaches a replica."""
    status, body = _stream(fleet.gateways[0], "r-1")
    assert (status, body) == (200, _whole("r-1"))
    (run,) = [r for r in fleet.runs() if r["request_id"] == "r-1"]
    assert run["customer"] == "kaje"
    assert not run["key_seen"]


def test_unknown_key_and_route_are_refused(fleet: fleets.Fleet) -> None:
    """Guards against a request that runs without a key."""
    address = fleet.gateways[1].address
    odd = {**HEADERS, "Authorization": "Bearer none"}
    assert fleets.call(address, "POST", "/s/x", b"", odd)[0] == 401
    assert fleets.call(address, "POST", "/none/x", b"", HEADERS)[0] == 404


def test_broken_stream_is_resumed_in_one_answer(fleet: fleets.Fleet) -> None:
    """Guards against a stream that ends with its replica."""
    fleet.configure(max_attempts=3)
    time.sleep(1.5)
    for replica in fleet.replicas[:2]:
        fleet.set_faults(replica, break_after=3, count=1)
    # Which replica a request gets is random: go on until both have broken one.
    sent = broken = 0
    while broken < 2 and sent < 60:
        name = f"r-2-{sent}"
        sent += 1
        assert _stream(fleet.gateways[0], name) == (200, _whole(name))
        runs = [r for r in fleet.runs() if r["request_id"].startswith("r-2-")]
        broken = len(runs) - sent
    for replica in fleet.replicas:
        fleet.set_faults(replica)
    assert broken == 2
    assert {r["first"] for r in runs} >= {1, 4}


def test_stream_that_may_not_be_repeated_runs_once(
    fleet: fleets.Fleet,
) -> None:
    """Guards against a second run of what may run once."""
    for replica in fleet.replicas:
        fleet.set_faults(replica, break_after=3, count=1)
    status, body = _stream(fleet.gateways[0], "r-3", "/o/x")
    for replica in fleet.replicas:
        fleet.set_faults(replica)
    assert (status, body) == (0, b"")
    runs = [r for r in fleet.runs() if r["request_id"] == "r-3"]
    assert len(runs) == 1


def test_job_is_the_same_at_all_gateways(fleet: fleets.Fleet) -> None:
    """Guards against a job that only the gateway that took it knows."""
    assert _submit(fleet.gateways[0], "j-1") == 202
    assert _submit(fleet.gateways[1], "j-1") == 202
    found = _wait_results(fleet.gateways[2], "j-1", 4)
    for gateway in fleet.gateways:
        assert _results(gateway, "j-1") == (200, found)
    outputs = {r["id"]: r["output"] for r in found}
    assert outputs["j-1-2"].split("\n") == [f"j-1-2 {n}" for n in range(1, 9)]


def test_item_that_can_never_be_done_is_given_up(fleet: fleets.Fleet) -> None:
    """Guards against an item that is tried for ever."""
    for replica in fleet.replicas:
        fleet.set_faults(replica, reject=True, count=1)
    assert _submit(fleet.gateways[0], "j-2", items=1) == 202
    (result,) = _wait_results(fleet.gateways[0], "j-2", 1)
    for replica in fleet.replicas:
        fleet.set_faults(replica)
    assert result["state"] == "dead_letter"


def test_withdrawn_key_stops_within_seconds(fleet: fleets.Fleet) -> None:
    """Guards against a withdrawn key that goes on working."""
    fleet.configure(keys=("other",))
    limit = time.monotonic() + 2
    for gateway in fleet.gateways:
        while _stream(gateway, "r-4")[0] != 401:
            assert time.monotonic() < limit
            time.sleep(0.05)
    fleet.configure()
    for gateway in fleet.gateways:
        while _stream(gateway, "r-5")[0] != 200:
            assert time.monotonic() < limit + 3
            time.sleep(0.05)


def test_jobs_survive_the_loss_of_all_gateways(fleet: fleets.Fleet) -> None:
    """Guards against an accepted job that is lost with the processes."""
    assert _submit(fleet.gateways[0], "j-3", items=6) == 202
    for gateway in fleet.gateways:
        gateway.signal(signal.SIGKILL)
    for gateway in fleet.gateways:
        gateway.wait()
        gateway.start()
    fleet.wait_ready()
    found = _wait_results(fleet.gateways[1], "j-3", 6)
    assert {r["state"] for r in found} == {"completed"}


def test_planned_stop_cuts_no_stream_and_hands_jobs_over(
    fleet: fleets.Fleet,
) -> None:
    """Guards against a stop that callers notice."""
    assert _submit(fleet.gateways[1], "j-4", items=6) == 202
    stopped = fleet.gateways[0]
    stopped.signal(signal.SIGTERM)
    assert _stream(stopped, "r-6") == (200, _whole("r-6"))
    assert not stopped.ready()
    assert stopped.wait() == 0
    assert len(_wait_results(fleet.gateways[1], "j-4", 6)) == 6
    stopped.start()
    fleet.wait_ready()


def test_store_outage_leaves_online_requests_alone(
    fleet: fleets.Fleet,
) -> None:
    """Guards against refusals while only the store is away."""
    fleet.set_faults(fleet.store, down=True)
    statuses = []
    limit = time.monotonic() + 3
    while time.monotonic() < limit:
        for gateway in fleet.gateways:
            statuses.append(_stream(gateway, f"r-7-{len(statuses)}")[0])
    assert _submit(fleet.gateways[0], "j-5") == 503
    fleet.set_faults(fleet.store)
    assert set(statuses) == {200}
    limit = time.monotonic() + 10
    while _submit(fleet.gateways[0], "j-5") != 202:
        assert time.monotonic() < limit
        time.sleep(0.2)
    assert len(_wait_results(fleet.gateways[0], "j-5", 4)) == 4


def _explain(fleet: fleets.Fleet, request_id: str, wanted: str) -> str:
    """Returns what the operators' command says, once it says `wanted`."""
    files = [str(gateway.log_path) for gateway in fleet.gateways]
    command = [sys.executable, "-m", "lacewingwood", "explain", request_id]
    limit = time.monotonic() + 3
    while True:
        output = subprocess.run(
            [*command, *files], capture_output=True, text=True, check=True
        ).stdout
        if wanted in output or time.monotonic() > limit:
            return output
        time.sleep(0.2)


def test_refused_request_is_explained(fleet: fleets.Fleet) -> None:
    """Guards against a refusal for the rate that nobody can explain."""
    fleet.shape.rate = 1.0
    fleet.configure()
    time.sleep(1.5)
    statuses: dict[str, int] = {}
    for n in range(60):
        statuses[f"r-8-{n}"] = _stream(fleet.gateways[0], f"r-8-{n}")[0]
        if statuses[f"r-8-{n}"] == 429:
            break
    fleet.shape.rate = 0.0
    fleet.configure()
    time.sleep(1.5)
    refused = next(name for name, s in statuses.items() if s == 429)
    output = _explain(fleet, refused, "reason=rate")
    assert "request refused" in output
    for field in ("customer=kaje", "reason=rate", "tokens=", "share="):
        assert field in output


def test_broken_stream_is_explained(fleet: fleets.Fleet) -> None:
    """Guards against a cut stream that nobody can explain."""
    for replica in fleet.replicas:
        fleet.set_faults(replica, break_after=3, count=1)
    assert _stream(fleet.gateways[0], "r-9", "/o/x") == (0, b"")
    for replica in fleet.replicas:
        fleet.set_faults(replica)
    output = _explain(fleet, "r-9", "request given up")
    assert "attempt failed" in output
    assert "code=upstream_broken" in output
    assert "ran=may_have_run" in output
    assert "started=True" in output


def test_item_given_up_is_explained(fleet: fleets.Fleet) -> None:
    """Guards against a batch item whose end nobody can explain."""
    for replica in fleet.replicas:
        fleet.set_faults(replica, reject=True, count=1)
    assert _submit(fleet.gateways[0], "j-9", items=1) == 202
    _wait_results(fleet.gateways[0], "j-9", 1)
    for replica in fleet.replicas:
        fleet.set_faults(replica)
    output = _explain(fleet, "j-9-0", "outcome=given up")
    assert "outcome=given up" in output
    assert "replica=i-" in output
    assert "job accepted" in _explain(fleet, "j-9", "job accepted")
