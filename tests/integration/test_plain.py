"""Tests of non-idempotent calls to plain services, and of planned stops."""

import concurrent.futures
import signal

import pytest

from devtools import deployment
from tests.integration import harness

SHAPE = deployment.Shape(replicas=1, workers=1)


def _send_order(
    system: harness.System, index: int, key: str, name: str
) -> harness.Response:
    """Sends an order to an entry; an empty `key` sends no idempotency key."""
    entry = system.entries[index]
    headers = {"idempotency-key": key} if key else {}
    return system.call(
        entry, "POST", "/orders", system.key, name.encode(), headers
    )


def _execution_count(system: harness.System, name: str) -> int:
    """Returns how often the plain service executed an order."""
    return system.get_stats(system.deployment.plain)["executions"].get(name, 0)


def test_keyed_call_runs_once_across_entries(system: harness.System) -> None:
    """Guards against running concurrent calls with one idempotency key twice.

    The calls are sent to several entries at the same time.
    """
    for round_ in range(15):
        key = f"permit-{round_}"
        futures = [
            system.executor.submit(_send_order, system, index, key, key)
            for index in (0, 1, 2, 0)
        ]
        concurrent.futures.wait(futures)
        responses = [future.result() for future in futures]
        assert _execution_count(system, key) <= 1, responses
        # The call that ran, and no other, is answered with 200.
        served = [r for r in responses if r.status == 200]
        assert len(served) == _execution_count(system, key), responses


@pytest.mark.parametrize(
    "where", ["before_run", "before_answer", "during_answer", "after_answer"]
)
@pytest.mark.parametrize("keyed", [False, True])
def test_broken_plain_call_reports_whether_it_ran(
    system: harness.System, where: str, keyed: bool
) -> None:
    """Guards against `not_run` for a call that ran, and against a second run.

    The service breaks the connection at one point of the call.
    """
    name = f"{where}-{keyed}"
    key = name if keyed else ""
    plain = system.deployment.plain
    system.set_faults(plain, where=where, count=1)
    response = _send_order(system, 0, key, name)
    system.set_faults(plain, count=0)
    executions = _execution_count(system, name)
    assert executions <= 1
    if response.status == 200 and not response.broken:
        assert executions == 1
        assert response.json["executions"] == 1
        assert where == "after_answer"
    elif response.status == 200:
        assert where == "during_answer"
    elif response.refused_as_not_run:
        assert executions == 0, response
    else:
        assert response.error["ran"] == "may_have_run", response
    if keyed and executions:
        again = _send_order(system, 1, key, name)
        assert again.status != 200
        assert _execution_count(system, name) == 1


def test_planned_stop_truncates_no_stream(system: harness.System) -> None:
    """Guards against a planned stop that truncates streams or fails."""
    stopped = system.entries[-1]
    prompts = [harness.long_prompt(f"drain {i}") for i in range(4)]
    streams = [
        system.start_stream(stopped, system.key, prompt, 200)
        for prompt in prompts
    ]
    stopped.signal(signal.SIGTERM)
    for prompt, stream in zip(prompts, streams, strict=True):
        assert stream.finished.wait(harness.TIMEOUT_S)
        assert stream.complete
        assert not stream.broken
        assert stream.text == harness.expected_text(prompt, 200)
    assert stopped.wait() == 0
    system.entries.remove(stopped)
