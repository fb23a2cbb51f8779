"""Batch jobs on real processes that fail."""

import collections
import signal
from typing import Any

import pytest

from tests.integration import system as systems

_ITEMS = 120


def _start(system: systems.System, name: str, tokens: int = 24) -> str:
    lines = system.items(name, _ITEMS, tokens)
    file_id = system.upload(system.entries[0], system.key, lines)
    answer = system.create_job(system.entries[0], system.key, file_id)
    assert answer.status == 200, answer
    return answer.json["id"]


def _done(system: systems.System, job_id: str) -> int:
    job = system.job(system.entries[0], system.key, job_id)
    counts = job.get("request_counts") or {"completed": 0, "failed": 0}
    return counts["completed"] + counts["failed"]


def _wait_completed(system: systems.System, job_id: str) -> Any:
    entry = system.entries[0]
    return systems.wait_for(
        lambda: (
            (job := system.job(entry, system.key, job_id)).get("status")
            == "completed"
            and job
        ),
        within_s=30,
    )


def _check_once(system: systems.System, job: Any, name: str) -> None:
    """Checks that every item has exactly one result, which is the right one."""
    assert job["error_file_id"] is None, job
    for entry in system.entries:
        lines = system.output(entry, system.key, job["output_file_id"])
        counts = collections.Counter(line["custom_id"] for line in lines)
        assert counts == {f"{name}-{index}": 1 for index in range(_ITEMS)}
        for line in lines:
            index = line["custom_id"].rsplit("-", 1)[1]
            choice = line["response"]["body"]["choices"][0]
            expected = systems.expected_text(f"{name} item {index}", 24)
            assert choice["message"]["content"] == expected


def test_lost_append_answers_double_no_item(system: systems.System) -> None:
    """Guards against items lost or doubled when the log loses answers."""
    job_id = _start(system, "lossy")
    while (before := _done(system, job_id)) < _ITEMS:
        system.fault(system.running.log, lose_answers=2)
        systems.wait_for(lambda b=before: _done(system, job_id) > b)
    job = _wait_completed(system, job_id)
    _check_once(system, job, "lossy")


def test_cancelled_job_stops(system: systems.System) -> None:
    """Guards against items that go on running after the job is cancelled."""
    job_id = _start(system, "unwanted", 250)
    systems.wait_for(lambda: _running(system))
    path = f"/v1/batches/{job_id}/cancel"
    answer = system.call(system.entries[1], "POST", path, system.key)
    assert answer.status == 200, answer
    systems.wait_for(lambda: not _running(system), within_s=1)
    seen = len(system.runs())
    systems.stays(lambda: len(system.runs()) == seen, 1)


def _running(system: systems.System) -> int:
    return sum(run["outcome"] == "running" for run in system.runs())


@pytest.mark.parametrize("worker", [0, 1])
def test_killed_worker_doubles_no_item(
    system: systems.System, worker: int
) -> None:
    """Guards against items lost or doubled when a worker dies with them."""
    name = f"killed{worker}"
    job_id = _start(system, name)
    systems.wait_for(lambda: _done(system, job_id) > _ITEMS // 10)
    assert _done(system, job_id) < _ITEMS
    killed = system.running.workers[worker]
    killed.signal(signal.SIGKILL)
    killed.wait()
    new = system.running.spawn("worker", worker)
    system.running.workers[worker] = new
    job = _wait_completed(system, job_id)
    _check_once(system, job, name)
    new.wait_ready()
