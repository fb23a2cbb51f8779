"""Tests of batch jobs during failures of workers and of the log."""

import collections
import signal
from typing import Any

import pytest

from tests.integration import harness

_ITEM_COUNT = 120


def _start_job(system: harness.System, name: str, tokens: int = 24) -> str:
    lines = system.batch_lines(name, _ITEM_COUNT, tokens)
    file_id = system.upload(system.entries[0], system.key, lines)
    response = system.create_job(system.entries[0], system.key, file_id)
    assert response.status == 200, response
    return response.json["id"]


def _finished_count(system: harness.System, job_id: str) -> int:
    job = system.get_job(system.entries[0], system.key, job_id)
    counts = job.get("request_counts") or {"completed": 0, "failed": 0}
    return counts["completed"] + counts["failed"]


def _wait_until_completed(system: harness.System, job_id: str) -> Any:
    entry = system.entries[0]
    return harness.wait_for(
        lambda: (
            (job := system.get_job(entry, system.key, job_id)).get("status")
            == "completed"
            and job
        ),
        timeout_s=30,
    )


def _check_results(system: harness.System, job: Any, name: str) -> None:
    """Checks that every item has exactly one result, the expected one."""
    assert job["error_file_id"] is None, job
    for entry in system.entries:
        lines = system.get_output(entry, system.key, job["output_file_id"])
        counts = collections.Counter(line["custom_id"] for line in lines)
        assert counts == {f"{name}-{index}": 1 for index in range(_ITEM_COUNT)}
        for line in lines:
            index = line["custom_id"].rsplit("-", 1)[1]
            choice = line["response"]["body"]["choices"][0]
            expected = harness.expected_text(f"{name} item {index}", 24)
            assert choice["message"]["content"] == expected


def test_lost_append_responses_duplicate_no_item(
    system: harness.System,
) -> None:
    """Guards against losing or repeating items when appends are unconfirmed.

    The log stores the records but loses the responses to the appends.
    """
    job_id = _start_job(system, "lossy")
    while (before := _finished_count(system, job_id)) < _ITEM_COUNT:
        system.set_faults(system.deployment.log, lose_answers=2)
        harness.wait_for(lambda b=before: _finished_count(system, job_id) > b)
    job = _wait_until_completed(system, job_id)
    _check_results(system, job, "lossy")


def test_cancelled_job_stops(system: harness.System) -> None:
    """Guards against items that continue to run after a job is cancelled."""
    job_id = _start_job(system, "unwanted", 250)
    harness.wait_for(lambda: _running_count(system))
    path = f"/v1/batches/{job_id}/cancel"
    response = system.call(system.entries[1], "POST", path, system.key)
    assert response.status == 200, response
    harness.wait_for(lambda: not _running_count(system), timeout_s=1)
    seen = len(system.get_runs())
    harness.check_holds(lambda: len(system.get_runs()) == seen, 1)


def _running_count(system: harness.System) -> int:
    return sum(run["outcome"] == "running" for run in system.get_runs())


@pytest.mark.parametrize("worker", [0, 1])
def test_killed_worker_duplicates_no_item(
    system: harness.System, worker: int
) -> None:
    """Guards against losing or repeating items of a worker that is killed."""
    name = f"killed{worker}"
    job_id = _start_job(system, name)
    harness.wait_for(
        lambda: _finished_count(system, job_id) > _ITEM_COUNT // 10
    )
    assert _finished_count(system, job_id) < _ITEM_COUNT
    killed = system.deployment.workers[worker]
    killed.signal(signal.SIGKILL)
    killed.wait()
    new = system.deployment.spawn("worker", worker)
    system.deployment.workers[worker] = new
    job = _wait_until_completed(system, job_id)
    _check_results(system, job, name)
    new.wait_ready()
