"""Checks of the guarantees to callers, on records of callers and replicas.

Each check returns the violations that it found, as texts that begin with the
name of the broken guarantee.
"""

import bisect
import collections
import dataclasses
from collections.abc import Iterable
from typing import Any

# Failures after which an item may be given up, by the routes of the fleet.
_MAX_ATTEMPTS = 3
# Statuses that promise that a request, or no item of a job, has run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass(slots=True)
class SentRequest:
    """One request and its answer, as recorded by the caller.

    Attributes:
        request_id: Id of the request.
        path: Path of the request.
        status: HTTP status of the answer, 0 if there was none.
        body: Body of the answer, as far as it was received.
        complete: True if the answer was received to its end.
        customer: Customer whose API key the request carried.
    """

    request_id: str
    path: str
    status: int
    body: bytes
    complete: bool
    customer: str = "kaje"


@dataclasses.dataclass(slots=True)
class JobRecord:
    """One job and its results, as recorded by the callers.

    Attributes:
        job_id: Id of the job.
        items: Ids of the job's items.
        accepted: True if any submission was answered 202.
        refused: True if every submission was answered as not run.
        results_by_position: Result of each position, as it was first read:
            item id, state and output.
    """

    job_id: str
    items: list[str]
    accepted: bool = False
    refused: bool = True
    results_by_position: dict[int, tuple[str, str, str]] = dataclasses.field(
        default_factory=dict
    )


def complete_stream(request_id: str, events: int) -> bytes:
    """Returns the body of a stream with all its events."""
    return b"".join(
        f"id: {n}\ndata: {request_id} {n}\n\n".encode()
        for n in range(1, events + 1)
    )


def check_answer(sent: SentRequest, events: int) -> list[str]:
    """Checks that a successful answer is the complete stream of its request.

    An incomplete answer is no violation: gateways are killed, and one that was
    told to stop closes its callers' connections after its grace time.
    """
    if sent.status != 200 or not sent.complete:
        return []
    if sent.body == complete_stream(sent.request_id, events):
        return []
    return [f"MIXED {sent.request_id}: another body or not whole"]


def check_runs(
    sent: Iterable[SentRequest], runs: list[dict[str, Any]]
) -> list[str]:
    """Checks the replicas' runs against the answers that callers received."""
    broken: list[str] = []
    runs_by_id: dict[str, list[dict[str, Any]]] = collections.defaultdict(list)
    for run in runs:
        runs_by_id[run["request_id"]].append(run)
        if run["key_seen"]:
            broken.append(f"UNASKED {run['request_id']}: a key was passed on")
    for request in sent:
        request_runs = runs_by_id.get(request.request_id, [])
        if request_runs and request.status in NOT_RUN_STATUSES:
            broken.append(
                f"REFUSED {request.request_id}: {request.status} but it ran"
            )
        if len(request_runs) > 1 and request.path.startswith("/o/"):
            broken.append(
                f"TWICE {request.request_id}: {len(request_runs)} runs"
            )
        if len(request_runs) > 2 and request.path.startswith("/s/"):
            broken.append(
                f"BUDGET {request.request_id}: {len(request_runs)} runs"
            )
        if any(run["customer"] != request.customer for run in request_runs):
            broken.append(f"UNASKED {request.request_id}: another customer")
        if request_runs and request.status == 401:
            broken.append(f"ROUTE {request.request_id}: 401 but it ran")
    return broken


def check_rate(
    runs: Iterable[dict[str, Any]],
    customer: str,
    limit: float,
    window_s: float = 5.0,
) -> list[str]:
    """Checks that no window has more than `limit` requests of a customer."""
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
    if worst <= limit:
        return []
    return [
        f"QUOTA {customer}: {worst} in {window_s:.0f} s, at most {limit:.0f}"
    ]


def check_read(
    job: JobRecord, start: int, results: list[dict[str, str]], events: int
) -> list[str]:
    """Checks the results of one read of a job against all earlier reads."""
    broken: list[str] = []
    for position, result in enumerate(results, start):
        seen = (result["id"], result["state"], result["output"])
        if job.results_by_position.setdefault(position, seen) != seen:
            broken.append(f"TWICE {job.job_id}: position {position} changed")
        wanted = "\n".join(f"{result['id']} {n}" for n in range(1, events + 1))
        if result["state"] == "completed" and result["output"] != wanted:
            broken.append(f"ORDER {job.job_id}: text of {result['id']}")
    listed_ids = [seen[0] for seen in job.results_by_position.values()]
    if len(set(listed_ids)) < len(listed_ids):
        broken.append(f"TWICE {job.job_id}: an item at two positions")
    return broken


def check_jobs(
    jobs: Iterable[JobRecord], runs: list[dict[str, Any]]
) -> list[str]:
    """Checks at the end that accepted jobs are done and no refused job ran."""
    broken: list[str] = []
    run_ids = {run["request_id"] for run in runs}
    for job in jobs:
        listed_ids = {seen[0] for seen in job.results_by_position.values()}
        if job.accepted and listed_ids != set(job.items):
            missing = len(job.items) - len(listed_ids)
            broken.append(f"LOST {job.job_id}: {missing} items not listed")
        if job.refused and not job.accepted and run_ids & set(job.items):
            broken.append(f"REFUSED {job.job_id}: refused but it ran")
    return broken


def check_given_up(jobs: Iterable[JobRecord], failures: int) -> list[str]:
    """Checks that no more items were given up than failed often enough.

    Args:
        jobs: The jobs.
        failures: Number of failures of replicas.
    """
    given_up = [
        item
        for job in jobs
        for item, state, _ in job.results_by_position.values()
        if state == "dead_letter"
    ]
    if len(given_up) <= failures // _MAX_ATTEMPTS:
        return []
    return [
        f"MIXED: {len(given_up)} items were given up after {failures} failures:"
        f" {', '.join(given_up[:5])}"
    ]
