"""The promises that the soak checks, from what callers and replicas saw."""

import bisect
import collections
import dataclasses
from collections.abc import Iterable
from typing import Any


@dataclasses.dataclass(slots=True)
class Sent:
    """One request as its caller saw it.

    Attributes:
        request_id: Its id.
        path: Its path.
        status: Status of the answer, 0 if there was none.
        body: Body of the answer.
        whole: True if the answer came to its end.
        customer: Customer whose key it bore.
    """

    request_id: str
    path: str
    status: int
    body: bytes
    whole: bool
    customer: str = "kaje"


@dataclasses.dataclass(slots=True)
class JobSeen:
    """One job as its callers saw it.

    Attributes:
        job_id: Its id.
        items: Ids of its items.
        accepted: True if any submission was answered 202.
        refused: True if every submission was answered 429 or 503.
        positions: Results by position, as they were first read.
    """

    job_id: str
    items: list[str]
    accepted: bool = False
    refused: bool = True
    positions: dict[int, tuple[str, str, str]] = dataclasses.field(
        default_factory=dict
    )


def whole_stream(request_id: str, events: int) -> bytes:
    """Returns the body of a whole stream."""
    return b"".join(
        f"id: {n}\ndata: {request_id} {n}\n\n".encode()
        for n in range(1, events + 1)
    )


def check_answer(sent: Sent, events: int) -> list[str]:
    """Checks one answer: the whole stream of its own request, or no success."""
    if sent.status != 200 or not sent.whole:
        return []
    if sent.body == whole_stream(sent.request_id, events):
        return []
    return [f"MIXED {sent.request_id}: another body or not whole"]


def check_runs(sent: Iterable[Sent], runs: list[dict[str, Any]]) -> list[str]:
    """Checks what ran against what callers were told."""
    broken: list[str] = []
    by_id: dict[str, list[dict[str, Any]]] = collections.defaultdict(list)
    for run in runs:
        by_id[run["request_id"]].append(run)
        if run["key_seen"]:
            broken.append(f"UNASKED {run['request_id']}: a key was passed on")
    for request in sent:
        ran = by_id.get(request.request_id, [])
        if ran and request.status in (429, 503):
            broken.append(
                f"REFUSED {request.request_id}: {request.status} but it ran"
            )
        if len(ran) > 1 and request.path.startswith("/o/"):
            broken.append(f"TWICE {request.request_id}: {len(ran)} runs")
        if len(ran) > 2 and request.path.startswith("/s/"):
            broken.append(f"BUDGET {request.request_id}: {len(ran)} runs")
        if any(run["customer"] != request.customer for run in ran):
            broken.append(f"UNASKED {request.request_id}: another customer")
        if ran and request.status == 401:
            broken.append(f"ROUTE {request.request_id}: 401 but it ran")
    return broken


def check_rate(
    runs: Iterable[dict[str, Any]],
    customer: str,
    most: float,
    window_s: float = 5.0,
) -> list[str]:
    """Checks that no window has more than so many requests of a customer."""
    first: dict[str, float] = {}
    for run in runs:
        if run["customer"] == customer:
            at = first.get(run["request_id"], run["at"])
            first[run["request_id"]] = min(at, run["at"])
    times = sorted(first.values())
    counts = [
        bisect.bisect(times, at + window_s) - n for n, at in enumerate(times)
    ]
    worst = max(counts, default=0)
    if worst <= most:
        return []
    return [
        f"QUOTA {customer}: {worst} in {window_s:.0f} s, at most {most:.0f}"
    ]


def check_read(
    job: JobSeen, start: int, results: list[dict[str, str]], events: int
) -> list[str]:
    """Checks one reading of a job against all earlier ones."""
    broken: list[str] = []
    for position, result in enumerate(results, start):
        seen = (result["id"], result["state"], result["output"])
        if job.positions.setdefault(position, seen) != seen:
            broken.append(f"TWICE {job.job_id}: position {position} changed")
        wanted = "\n".join(f"{result['id']} {n}" for n in range(1, events + 1))
        if result["state"] == "completed" and result["output"] != wanted:
            broken.append(f"ORDER {job.job_id}: text of {result['id']}")
    listed = [seen[0] for seen in job.positions.values()]
    if len(set(listed)) < len(listed):
        broken.append(f"TWICE {job.job_id}: an item at two positions")
    return broken


def check_jobs(
    jobs: Iterable[JobSeen], runs: list[dict[str, Any]]
) -> list[str]:
    """Checks at the end that accepted jobs are done and refused ones not."""
    broken: list[str] = []
    ran = {run["request_id"] for run in runs}
    for job in jobs:
        listed = {seen[0] for seen in job.positions.values()}
        if job.accepted and listed != set(job.items):
            missing = len(job.items) - len(listed)
            broken.append(f"LOST {job.job_id}: {missing} items not listed")
        if job.refused and not job.accepted and ran & set(job.items):
            broken.append(f"REFUSED {job.job_id}: refused but it ran")
    return broken
