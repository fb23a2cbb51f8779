"""Tests of a fleet of gateways that run as separate processes."""

import base64
import http.client
import json
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from concurrent import futures

import httpcore
import pytest

from devtools import fleet as fleets

_HEADERS = {"Host": fleets.HOST, "Authorization": f"Bearer {fleets.KEY}"}


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[fleets.Fleet]:
    """Runs three gateways and three replicas."""
    directory: pathlib.Path = tmp_path_factory.mktemp("fleet")
    with fleets.running(fleets.Shape(), directory) as running:
        yield running


def _stream(
    gateway: fleets.Gateway, request_id: str, path: str = "/s/x"
) -> tuple[int, bytes]:
    """Returns status and body of a stream; status 0 if it was truncated."""
    headers = {**_HEADERS, "Request-Id": request_id, "Deadline-Ms": "5000"}
    return fleets.call(gateway.address, "POST", path, b"{}", headers)


def _expected_stream(request_id: str, events: int = 8) -> bytes:
    """Returns the body of a complete stream."""
    return b"".join(
        f"id: {n}\ndata: {request_id} {n}\n\n".encode()
        for n in range(1, events + 1)
    )


def _prompt_stream(
    gateway: fleets.Gateway, request_id: str, *parts: str
) -> int:
    """Returns the status of a stream whose prompt has the given parts."""
    prompt = ",".join(f"{part}:50" for part in (*parts, f"own-{request_id}"))
    headers = {
        **_HEADERS,
        "Request-Id": request_id,
        "Deadline-Ms": "2000",
        "Prompt-Prefix": prompt,
    }
    body = request_id.encode()
    return fleets.call(gateway.address, "POST", "/s/x", body, headers)[0]


def _submit(gateway: fleets.Gateway, job_id: str, items: int = 4) -> int:
    """Submits a batch job and returns the status of the response."""
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
    headers = {**_HEADERS, "Request-Id": job_id}
    status, _ = fleets.call(
        gateway.address, "POST", "/b/x", json.dumps(body).encode(), headers
    )
    return status


def _get_results(
    gateway: fleets.Gateway, job_id: str, start: int = 0
) -> tuple[int, list[dict[str, str]]]:
    """Returns status and results of a job, from position `start` on."""
    status, body = fleets.call(
        gateway.address, "GET", f"/-/lots/{job_id}?after={start}", b"", _HEADERS
    )
    return status, json.loads(body)["results"] if status == 200 else []


def _wait_results(
    gateway: fleets.Gateway, job_id: str, count: int
) -> list[dict[str, str]]:
    """Waits until a job has `count` results and returns them."""
    deadline = time.monotonic() + 15
    found: list[dict[str, str]] = []
    while len(found) < count:
        assert time.monotonic() < deadline, (
            f"{len(found)} of {count} results before the timeout"
        )
        found = _get_results(gateway, job_id)[1]
        time.sleep(0.1)
    return found


def test_stream_is_unchanged_and_replica_gets_no_key(
    fleet: fleets.Fleet,
) -> None:
    """Guards against changing a stream and sending the API key to a replica."""
    status, body = _stream(fleet.gateways[0], "r-1")
    assert (status, body) == (200, _expected_stream("r-1"))
    (run,) = [r for r in fleet.runs() if r["request_id"] == "r-1"]
    assert run["customer"] == "kaje"
    assert not run["key_seen"]


def test_unknown_key_and_route_are_refused(fleet: fleets.Fleet) -> None:
    """Guards against running requests with an unknown key or path."""
    address = fleet.gateways[1].address
    headers = {**_HEADERS, "Authorization": "Bearer none"}
    assert fleets.call(address, "POST", "/s/x", b"", headers)[0] == 401
    assert fleets.call(address, "POST", "/none/x", b"", _HEADERS)[0] == 404


def test_broken_stream_is_resumed_in_one_response(fleet: fleets.Fleet) -> None:
    """Guards against losing a stream when its replica fails."""
    fleet.configure(max_attempts=3)
    time.sleep(1.5)
    for replica in fleet.replicas[:2]:
        fleet.set_faults(replica, break_after=3, count=1)
    # Replicas are selected at random, so requests are sent until both faulty
    # replicas have broken a stream.
    sent = broken = 0
    while broken < 2 and sent < 60:
        name = f"r-2-{sent}"
        sent += 1
        assert _stream(fleet.gateways[0], name) == (200, _expected_stream(name))
        runs = [r for r in fleet.runs() if r["request_id"].startswith("r-2-")]
        broken = len(runs) - sent
    for replica in fleet.replicas:
        fleet.set_faults(replica)
    assert broken == 2
    assert {r["first"] for r in runs} >= {1, 4}


def test_requests_with_one_part_do_not_crash_replica_after_replica(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against sending a part that crashes replicas to all of them."""
    shape = fleets.Shape(replicas=10)
    with fleets.running(shape, tmp_path) as fleet:
        for replica in fleet.replicas:
            fleet.set_faults(replica, crash_part="bad")
        statuses = []
        for n in range(24):
            gateway = fleet.gateways[n % 3]
            _prompt_stream(gateway, f"bad-{n}", "start", "bad")
            statuses.append(
                _prompt_stream(gateway, f"good-{n}", "start", f"part-{n}")
            )
        ended = sum(not replica.running for replica in fleet.replicas)
        # The users allow five crashes and three requests more.
        assert 0 < ended <= 8
        # With five of ten replicas left, sound requests are all served.
        assert statuses[-12:] == [200] * 12
        refused = _prompt_stream(fleet.gateways[0], "bad", "start", "bad")
        assert refused == 503


def test_stream_that_may_not_be_repeated_runs_once(
    fleet: fleets.Fleet,
) -> None:
    """Guards against repeating a request on a route that forbids retries."""
    for replica in fleet.replicas:
        fleet.set_faults(replica, break_after=3, count=1)
    status, body = _stream(fleet.gateways[0], "r-3", "/o/x")
    for replica in fleet.replicas:
        fleet.set_faults(replica)
    assert (status, body) == (0, b"")
    runs = [r for r in fleet.runs() if r["request_id"] == "r-3"]
    assert len(runs) == 1


@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize("http2", [False, True], ids=["HTTP/1.1", "HTTP/2"])
def test_status_of_a_request_that_ran_promises_nothing(
    fleet: fleets.Fleet, http2: bool, status: int
) -> None:
    """Guards against callers that send again what has run.

    A replica fails the request after the run, by a status that would promise
    that it has not run. Where it may be repeated, another replica is tried.
    """
    fleet.configure(max_attempts=2)
    time.sleep(1.5)
    seen = {}
    with httpcore.ConnectionPool(http1=not http2, http2=http2) as pool:
        for path in ("/o/x", "/s/x"):
            request_id = f"deny{path[:2]}-{status}-{http2}".replace("/", "-")
            for replica in fleet.replicas:
                fleet.set_faults(replica, deny=status, count=1)
            got = pool.request(
                "POST",
                f"http://{fleet.gateways[0].address}{path}",
                headers={**_HEADERS, "Request-Id": request_id},
                content=b"{}",
            )
            runs = [r for r in fleet.runs() if r["request_id"] == request_id]
            seen[path] = got.status, len(runs)
    for replica in fleet.replicas:
        fleet.set_faults(replica)
    # Streams on /s/ have two attempts, and each replica denies one run.
    assert seen == {"/o/x": (502, 1), "/s/x": (502, 2)}


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_items_complete_though_replicas_deny_their_runs(
    fleet: fleets.Fleet, status: int
) -> None:
    """Guards against items that are given up, or results of failed runs."""
    for replica in fleet.replicas:
        fleet.set_faults(replica, deny=status, count=2)
    job_id = f"job-denied-{status}"
    assert _submit(fleet.gateways[0], job_id) == 202
    results = _wait_results(fleet.gateways[1], job_id, 4)
    for replica in fleet.replicas:
        fleet.set_faults(replica)
    assert {r["state"] for r in results} == {"completed"}


def test_job_is_the_same_at_all_gateways(fleet: fleets.Fleet) -> None:
    """Guards against a job that only the gateway that accepted it returns.

    The job is submitted at two gateways and read at all of them.
    """
    assert _submit(fleet.gateways[0], "j-1") == 202
    assert _submit(fleet.gateways[1], "j-1") == 202
    found = _wait_results(fleet.gateways[2], "j-1", 4)
    for gateway in fleet.gateways:
        assert _get_results(gateway, "j-1") == (200, found)
    outputs = {r["id"]: r["output"] for r in found}
    assert outputs["j-1-2"].split("\n") == [f"j-1-2 {n}" for n in range(1, 9)]


def test_job_beyond_the_customers_waiting_tokens_is_refused(
    fleet: fleets.Fleet,
) -> None:
    """Guards against accepting more tokens than may wait on the route.

    An item has 10 tokens. A job that fits is accepted and readable everywhere.
    """
    fleet.configure(waiting_limit=25)
    deadline = time.monotonic() + 3
    while (status := _submit(fleet.gateways[0], "large", items=3)) != 429:
        assert status in (202, 503)
        assert time.monotonic() < deadline
        time.sleep(0.1)
    for number, gateway in enumerate(fleet.gateways):
        assert _submit(gateway, f"refused-{number}", items=3) == 429
        assert _submit(gateway, f"fits-{number}", items=2) == 202
        found = _wait_results(fleet.gateways[0], f"fits-{number}", 2)
        for other in fleet.gateways:
            assert _get_results(other, f"fits-{number}") == (200, found)
            assert _get_results(other, f"refused-{number}")[0] == 404
    assert not [r for r in fleet.runs() if "refused" in r["request_id"]]
    fleet.configure()


def test_rejected_item_is_dead_lettered(fleet: fleets.Fleet) -> None:
    """Guards against retrying an item without end.

    Each replica rejects the item once.
    """
    for replica in fleet.replicas:
        fleet.set_faults(replica, reject=True, count=1)
    assert _submit(fleet.gateways[0], "j-2", items=1) == 202
    (result,) = _wait_results(fleet.gateways[0], "j-2", 1)
    for replica in fleet.replicas:
        fleet.set_faults(replica)
    assert result["state"] == "dead_letter"


def test_withdrawn_key_stops_within_seconds(fleet: fleets.Fleet) -> None:
    """Guards against accepting a withdrawn key for more than 2 s."""
    fleet.configure(keys=("other",))
    deadline = time.monotonic() + 2
    for gateway in fleet.gateways:
        while _stream(gateway, "r-4")[0] != 401:
            assert time.monotonic() < deadline
            time.sleep(0.05)
    fleet.configure()
    for gateway in fleet.gateways:
        while _stream(gateway, "r-5")[0] != 200:
            assert time.monotonic() < deadline + 3
            time.sleep(0.05)


def test_jobs_survive_the_loss_of_all_gateways(fleet: fleets.Fleet) -> None:
    """Guards against losing an accepted job when all gateways are killed."""
    assert _submit(fleet.gateways[0], "j-3", items=6) == 202
    for gateway in fleet.gateways:
        gateway.signal(signal.SIGKILL)
    for gateway in fleet.gateways:
        gateway.wait()
        gateway.start()
    fleet.wait_ready()
    found = _wait_results(fleet.gateways[1], "j-3", 6)
    assert {r["state"] for r in found} == {"completed"}


def test_planned_stop_completes_streams_and_jobs(
    fleet: fleets.Fleet,
) -> None:
    """Guards against a planned stop that truncates streams or loses jobs."""
    assert _submit(fleet.gateways[1], "j-4", items=6) == 202
    stopped = fleet.gateways[0]
    stopped.signal(signal.SIGTERM)
    assert _stream(stopped, "r-6") == (200, _expected_stream("r-6"))
    assert not stopped.ready()
    assert stopped.wait() == 0
    assert len(_wait_results(fleet.gateways[1], "j-4", 6)) == 6
    stopped.start()
    fleet.wait_ready()


def test_planned_stop_answers_all_that_it_has_read(
    fleet: fleets.Fleet,
) -> None:
    """Guards against requests that are cut as the grace of a stop ends.

    One runs for longer than the grace and may run once only. The body of the
    other comes after the drain; it could not end in time.
    """
    fleet.configure(timeout_ms=30_000)
    time.sleep(1)
    for replica in fleet.replicas:
        fleet.set_faults(replica, silent=True, count=1)
    stopped = fleet.gateways[0]
    headers = {**_HEADERS, "Deadline-Ms": "30000"}
    upload = http.client.HTTPConnection(stopped.address, timeout=10)
    upload.putrequest("POST", "/o/x", skip_host=True)
    late_headers = {**headers, "Request-Id": "r-late", "Content-Length": "2"}
    for name, value in late_headers.items():
        upload.putheader(name, value)
    upload.endheaders()
    with futures.ThreadPoolExecutor() as pool:
        running = pool.submit(
            fleets.call,
            *(stopped.address, "POST", "/o/x", b"{}"),
            headers={**headers, "Request-Id": "r-long"},
            timeout_s=15,
        )
        deadline = time.monotonic() + 5
        while not any(run["request_id"] == "r-long" for run in fleet.runs()):
            assert time.monotonic() < deadline
            time.sleep(0.05)
        stopped.signal(signal.SIGTERM)
        time.sleep(4)
        sent_s = time.monotonic()
        upload.send(b"{}")
        response = upload.getresponse()
        body = response.read()
        assert (response.status, time.monotonic() - sent_s < 0.5) == (503, True)
        assert b'"stopping"' in body
        assert response.getheader("Retry-After") == "0.00"
        status, body = running.result()
    upload.close()
    assert (status, b'"stopping"' in body) == (504, True)
    assert not any(run["request_id"] == "r-late" for run in fleet.runs())
    assert stopped.wait() == 0
    for replica in fleet.replicas:
        fleet.set_faults(replica)
    fleet.configure()
    stopped.start()
    fleet.wait_ready()


def test_store_outage_does_not_affect_online_requests(
    fleet: fleets.Fleet,
) -> None:
    """Guards against refusing online requests during an outage of the store.

    New jobs need the store and must be refused until it is available again.
    """
    fleet.set_faults(fleet.store, down=True)
    statuses = []
    deadline = time.monotonic() + 3
    while time.monotonic() < deadline:
        for gateway in fleet.gateways:
            statuses.append(_stream(gateway, f"r-7-{len(statuses)}")[0])
    assert _submit(fleet.gateways[0], "j-5") == 503
    fleet.set_faults(fleet.store)
    assert set(statuses) == {200}
    deadline = time.monotonic() + 10
    while _submit(fleet.gateways[0], "j-5") != 202:
        assert time.monotonic() < deadline
        time.sleep(0.2)
    assert len(_wait_results(fleet.gateways[0], "j-5", 4)) == 4


def _wait_for_explanation(
    fleet: fleets.Fleet, request_id: str, wanted: str
) -> str:
    """Returns the output of `explain` once it has `wanted`, or after 3 s."""
    files = [str(gateway.log_path) for gateway in fleet.gateways]
    command = [sys.executable, "-m", "lacewingwood", "explain", request_id]
    deadline = time.monotonic() + 3
    while True:
        output = subprocess.run(
            [*command, *files], capture_output=True, text=True, check=True
        ).stdout
        if wanted in output or time.monotonic() > deadline:
            return output
        time.sleep(0.2)


def test_refused_request_is_explained(fleet: fleets.Fleet) -> None:
    """Guards against a rate limit refusal that `explain` does not show."""
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
    output = _wait_for_explanation(fleet, refused, "reason=rate")
    assert "request refused" in output
    for field in ("customer=kaje", "reason=rate", "tokens=", "share="):
        assert field in output


def test_broken_stream_is_explained(fleet: fleets.Fleet) -> None:
    """Guards against a truncated stream that `explain` does not show."""
    for replica in fleet.replicas:
        fleet.set_faults(replica, break_after=3, count=1)
    assert _stream(fleet.gateways[0], "r-9", "/o/x") == (0, b"")
    for replica in fleet.replicas:
        fleet.set_faults(replica)
    output = _wait_for_explanation(fleet, "r-9", "request given up")
    assert "attempt failed" in output
    assert "code=upstream_broken" in output
    assert "ran=may_have_run" in output
    assert "started=True" in output


def test_item_given_up_is_explained(fleet: fleets.Fleet) -> None:
    """Guards against a failed batch item that `explain` does not show."""
    for replica in fleet.replicas:
        fleet.set_faults(replica, reject=True, count=1)
    assert _submit(fleet.gateways[0], "j-9", items=1) == 202
    _wait_results(fleet.gateways[0], "j-9", 1)
    for replica in fleet.replicas:
        fleet.set_faults(replica)
    output = _wait_for_explanation(fleet, "j-9-0", "outcome=given up")
    assert "outcome=given up" in output
    assert "replica=i-" in output
    assert "job accepted" in _wait_for_explanation(fleet, "j-9", "job accepted")
