"""Callers of the soak: they send streams and jobs and record the answers."""

import base64
import functools
import http.client
import json
import random

import trio

from devtools import fleet as fleets
from soak import checks

_KEYS = {"kaje": fleets.KEY, fleets.LIMITED_CUSTOMER: fleets.LIMITED_KEY}
_HEADERS = {"Host": fleets.HOST, "Authorization": f"Bearer {fleets.KEY}"}
_CALL_TIMEOUT_S = 6.0
_JOB_PAUSE_S = 0.6
_READ_PAUSE_S = 0.4
_CONNECTION_ERRORS = (http.client.HTTPException, OSError)


class Callers:
    """All callers and the records of their requests and jobs.

    Attributes:
        sent: Stream requests that have ended.
        jobs: Jobs that were submitted.
        broken: Violations that were found in answers.
    """

    def __init__(
        self, fleet: fleets.Fleet, rng: random.Random, events: int
    ) -> None:
        self.sent: list[checks.SentRequest] = []
        self.jobs: list[checks.JobRecord] = []
        self.broken: list[str] = []
        self._fleet = fleet
        self._rng = rng
        self._events = events
        self._last_id = 0

    async def send_streams(self, customer: str = "kaje") -> None:
        """Sends stream requests one after another until cancelled."""
        while True:
            gateway = self._rng.choice(self._fleet.gateways)
            count = self._rng.randint(1, 6)
            names = [self._next_id("r") for _ in range(count)]
            path = self._rng.choice(("/s/x", "/s/x", "/o/x"))
            with trio.CancelScope(shield=True):
                sent = await trio.to_thread.run_sync(
                    functools.partial(
                        _send_on_connection,
                        gateway.address,
                        path,
                        names,
                        customer,
                    )
                )
            for request in sent:
                self.sent.append(request)
                self.broken += checks.check_answer(request, self._events)
            await trio.sleep(self._rng.uniform(0.0, 0.1))

    async def send_jobs(self) -> None:
        """Submits jobs, some repeatedly, and reads them until cancelled."""
        while True:
            job_id = self._next_id("j")
            items = [f"{job_id}-{n}" for n in range(self._rng.randint(1, 6))]
            job = checks.JobRecord(job_id, items)
            self.jobs.append(job)
            with trio.CancelScope(shield=True):
                await self._submit(job)
            await self._read_some()
            await trio.sleep(_JOB_PAUSE_S)

    async def read_until_done(self, timeout_s: float) -> None:
        """Reads all accepted jobs until they are done or a time has passed."""
        with trio.move_on_after(timeout_s):
            while any(not self._is_done(job) for job in self.jobs):
                await self._read_some()
                await trio.sleep(_READ_PAUSE_S)

    def _next_id(self, kind: str) -> str:
        self._last_id += 1
        return f"{kind}-{self._last_id}"

    def _is_done(self, job: checks.JobRecord) -> bool:
        return not job.accepted or len(job.results_by_position) == len(
            job.items
        )

    async def _submit(self, job: checks.JobRecord) -> None:
        body = json.dumps({"items": [_item(name) for name in job.items]})
        headers = {**_HEADERS, "Request-Id": job.job_id}
        for _ in range(3):
            status, _ = await self._call("POST", "/b/x", body.encode(), headers)
            job.accepted = job.accepted or status == 202
            job.refused = job.refused and status in checks.NOT_RUN_STATUSES
            if job.accepted and self._rng.random() < 0.7:
                return

    async def _read_some(self) -> None:
        for job in self.jobs:
            if not job.accepted or (
                self._is_done(job) and self._rng.random() < 0.8
            ):
                continue
            start = self._rng.randint(0, len(job.results_by_position))
            path = f"/-/lots/{job.job_id}?after={start}"
            status, body = await self._call("GET", path, b"", _HEADERS)
            if status == 200:
                results = json.loads(body)["results"]
                self.broken += checks.check_read(
                    job, start, results, self._events
                )
            elif status == 404:
                self.broken.append(f"LOST {job.job_id}: 404 though accepted")

    async def _call(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, bytes]:
        gateway = self._rng.choice(self._fleet.gateways)
        return await trio.to_thread.run_sync(
            fleets.call,
            gateway.address,
            method,
            path,
            body,
            headers,
            _CALL_TIMEOUT_S,
        )


def _item(name: str) -> dict[str, object]:
    return {
        "id": name,
        "path": "/b/1",
        "headers": {"Model-Id": "m"},
        "body": base64.b64encode(name.encode()).decode(),
        "tokens": 10,
    }


def _send_on_connection(
    address: str, path: str, names: list[str], customer: str
) -> list[checks.SentRequest]:
    """Sends requests over one connection, up to the first incomplete answer."""
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=_CALL_TIMEOUT_S)
    sent = []
    try:
        for name in names:
            sent.append(_send_request(conn, path, name, customer))
            if not sent[-1].complete:
                break
    finally:
        conn.close()
    return sent


def _send_request(
    conn: http.client.HTTPConnection, path: str, name: str, customer: str
) -> checks.SentRequest:
    headers = {
        "Host": fleets.HOST,
        "Authorization": f"Bearer {_KEYS[customer]}",
        "Request-Id": name,
        "Deadline-Ms": "5000",
    }
    status, body = 0, b""

    def record(body: bytes, complete: bool) -> checks.SentRequest:
        return checks.SentRequest(name, path, status, body, complete, customer)

    try:
        conn.request("POST", path, b"{}", headers)
        response = conn.getresponse()
        status = response.status
        body = response.read()
    except http.client.IncompleteRead as exc:
        return record(exc.partial, False)
    except (TimeoutError, *_CONNECTION_ERRORS):
        return record(body, False)
    return record(body, True)
