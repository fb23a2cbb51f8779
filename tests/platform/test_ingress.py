"""Tests of what callers get for jobs whose route was removed."""

import dataclasses
from typing import Any

import pytest
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import errors as job_errors
from lacewingwood.jobs import service as job_service
from lacewingwood.peers import gateway_messages
from lacewingwood.platform import ingress
from tests.callers import test_gateway

_JOB = job_service.JobName("kaje", "7c41")


class _Jobs:
    """Job service with one job of two items.

    Attributes:
        reachable: False if the owner of the job gives no answer.
        ended: True once the job has been ended.
    """

    def __init__(self, reachable: bool = True) -> None:
        self.reachable = reachable
        self.ended = False

    async def read(
        self, job: job_service.JobName, start: int, wait_ms: float
    ) -> gateway_messages.JobResults:
        self._check(job)
        return gateway_messages.JobResults(
            2, [gateway_messages.JobResult("i-0", True, b"out")]
        )

    async def exists(self, job: job_service.JobName) -> bool:
        try:
            self._check(job)
        except job_errors.UnknownJobError:
            return False
        return True

    async def item_body(self, job: job_service.JobName, item_id: str) -> bytes:
        self._check(job)
        return b"body"

    async def end(self, job: job_service.JobName) -> None:
        self._check(job)
        self.ended = True

    def _check(self, job: job_service.JobName) -> None:
        if not self.reachable:
            raise job_errors.UnavailableError("no owner")
        if job != _JOB:
            raise job_errors.UnknownJobError("no such job")


@dataclasses.dataclass(slots=True)
class _Answer:
    status: int = 0
    body: bytes = b""


async def _send(
    jobs: _Jobs,
    method: str,
    path: str,
    key: str = "k1",
    request_id: str = "7c41",
    content_type: str = "application/json",
) -> _Answer:
    """Sends a request to a gateway without a route for the job's host."""
    gateway = test_gateway._make(test_gateway._configuration(2, "/a/"))
    app = ingress.Ingress(
        gateway,
        jobs,  # type: ignore[arg-type]
        clocks.ManualClock(),
        metrics_lib.Registry(),
    )
    raw_path, _, query = path.partition("?")
    scope = {
        "type": "http",
        "method": method,
        "path": raw_path,
        "raw_path": raw_path.encode(),
        "query_string": query.encode(),
        "headers": [
            (b"host", b"night.example"),
            (b"authorization", b"Bearer " + key.encode()),
            (b"content-type", content_type.encode()),
            *([(b"request-id", request_id.encode())] if request_id else []),
        ],
    }
    answer = _Answer()
    unread = [b"{}"]
    answered = trio.Event()

    async def receive() -> dict[str, Any]:
        if unread:
            body = unread.pop()
            return {"type": "http.request", "body": body, "more_body": False}
        await answered.wait()
        return {"type": "http.disconnect"}

    async def send(message: dict[str, Any]) -> None:
        answer.status = message.get("status", answer.status)
        answer.body += message.get("body", b"")
        if message["type"] == "http.response.body":
            answered.set()

    with trio.fail_after(1):
        await app(scope, receive, send)
    return answer


async def test_job_is_read_and_ended_after_its_route_was_removed() -> None:
    """Guards against 404 for a job, and its body, without its route."""
    jobs = _Jobs()
    answer = await _send(jobs, "GET", "/-/lots/7c41?after=0")
    assert answer.status == 200
    assert b"i-0" in answer.body
    answer = await _send(jobs, "GET", "/-/items/7c41?id=i-1")
    assert (answer.status, answer.body) == (200, b"body")
    assert (await _send(jobs, "DELETE", "/-/lots/7c41")).status == 200
    assert jobs.ended


async def test_job_sent_again_after_its_route_was_removed_is_confirmed() -> (
    None
):
    """Guards against 404 for a job that was accepted at another gateway."""
    path = "/b/7c41"
    assert (await _send(_Jobs(), "POST", path)).status == 202
    assert (await _send(_Jobs(reachable=False), "POST", path)).status == 503


@pytest.mark.parametrize(
    ("request_id", "content_type"),
    [("", "application/json"), ("7c41", "application/octet-stream")],
)
async def test_request_that_submits_no_job_is_refused_at_once(
    request_id: str, content_type: str
) -> None:
    """Guards against 503 on an unknown route while jobs have no owner."""
    answer = await _send(
        _Jobs(reachable=False), "POST", "/b/x", "k1", request_id, content_type
    )
    assert answer.status == 404


@pytest.mark.parametrize(
    ("method", "path", "key", "request_id", "status"),
    [
        ("GET", "/-/lots/other", "k1", "x", 404),
        ("GET", "/-/lots/7c41", "k2", "x", 401),
        ("GET", "/-/items/other", "k1", "x", 404),
        ("POST", "/b/7c41", "k1", "other", 404),
        ("POST", "/b/7c41", "k2", "7c41", 404),
        ("GET", "/b/7c41", "k1", "7c41", 404),
    ],
)
async def test_what_is_not_there_is_still_denied(
    method: str, path: str, key: str, request_id: str, status: int
) -> None:
    """Guards against jobs of other customers, or invented ones."""
    answer = await _send(_Jobs(), method, path, key, request_id)
    assert answer.status == status


@pytest.mark.parametrize("value", [b"9" * 5_000, b"x", b"-1", b"1.5", b""])
def test_odd_number_in_a_header_is_ignored(value: bytes) -> None:
    """Guards against a head that fails the requests beside it."""
    scope = {
        "method": "GET",
        "raw_path": b"/a/x",
        "query_string": b"",
        "headers": [(b"deadline-ms", value), (b"last-event-id", value)],
    }
    head = ingress._decode_head(scope, 0.0)
    assert (head.timeout_ms, head.resume_after) == (None, None)
