"""A replica that fails requests with 429 after it has run them.

The requests may run once at most. Clients take a 429 for the promise that it
is, and send what it refused once more, as a request with an id of its own.
"""

import collections
import os
import pathlib
import secrets
import sys
import threading
import time

import replica as replicas

from review.lib3 import deployment

_REPLICAS = 7
_REQUESTS = 200
# One replica of seven, which fails four requests in ten.
_FAILING_SHARE = 0.4
_HEARTBEAT_S = 1.2
_DEADLINE_MS = 5000
_PATH = "/pufi791/2f"


def _send_heartbeats(
    fleet: deployment.Deployment,
    servers: list[replicas.Replica],
    ended: threading.Event,
) -> None:
    while not ended.is_set():
        for server in servers:
            fleet.put_replica(server.id, server.entry(deployment.SERVICE))
        ended.wait(_HEARTBEAT_S)


def _send(address: str, body: bytes) -> tuple[str, int]:
    """Sends one client attempt; returns its id and the status."""
    request_id = secrets.token_hex(8)
    status, _ = deployment.call(
        address,
        "POST",
        _PATH,
        body,
        {
            **deployment.CALL_HEADERS,
            "Request-Id": request_id,
            "Deadline-Ms": str(_DEADLINE_MS),
            "Model-Id": "m",
            "Token-Count": "350,32",
            "Prompt-Prefix": "9c2e41:100,5d07b8:250",
        },
        _DEADLINE_MS / 1000,
    )
    return request_id, status


def _run(record: deployment.Record, failing_share: float) -> bool:
    """Plays the case; returns whether the rule held."""
    ended = threading.Event()
    servers = [
        replicas.Replica(n, failing_share if n == 0 else 0.0)
        for n in range(_REPLICAS)
    ]
    answers: dict[str, int] = {}
    with deployment.running(record, 2, 0, replicas=0, started=False) as fleet:
        heartbeats = threading.Thread(
            target=_send_heartbeats, args=(fleet, servers, ended)
        )
        heartbeats.start()
        try:
            fleet.start()
            time.sleep(_HEARTBEAT_S)
            for number in range(_REQUESTS):
                body = b"entry %d" % number
                gateway = fleet.gateways[number % 2]
                request_id, status = _send(gateway.address, body)
                answers[request_id] = status
                if status == 429:
                    record.note(f"{request_id} {body!r}: 429, sent again")
                    gateway = fleet.gateways[(number + 1) % 2]
                    request_id, status = _send(gateway.address, body)
                    answers[request_id] = status
        finally:
            ended.set()
            heartbeats.join()
    runs = [run for server in servers for run in server.runs]
    counts = collections.Counter(answers.values())
    record.note(f"{len(answers)} client attempts, answers by status {counts}")
    times = collections.Counter(run.body for run in runs)
    twice = sorted(body for body, count in times.items() if count > 1)
    record.note(f"{len(runs)} runs; entries that ran twice: {len(twice)}")
    refused = [
        run.request_id
        for run in runs
        if answers.get(run.request_id) in (408, 421, 429, 503)
    ]
    for request_id in refused:
        record.note(f"{request_id}: ran, and was answered as not run")
    return not refused


def main() -> int:
    """Returns 0 if the rule held, 1 if it broke, 2 if the case can't run."""
    folder = pathlib.Path(__file__).parent
    record = deployment.Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = _run(record, _FAILING_SHARE if trouble else 0.0)
    except deployment.CannotRunError as exc:
        record.note(f"can't run: {exc}")
        return 2
    record.note("the rule held" if held else "the rule is broken: REFUSED")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
