"""Calls to plain services that may not be repeated."""

import concurrent.futures
import signal

import pytest

from devtools import deployment
from tests.integration import system as systems

SHAPE = deployment.Shape(replicas=1, workers=1)


def _order(
    system: systems.System, index: int, key: str, name: str
) -> systems.Answer:
    entry = system.entries[index]
    headers = {"idempotency-key": key} if key else {}
    return system.call(
        entry, "POST", "/orders", system.key, name.encode(), headers
    )


def _executions(system: systems.System, name: str) -> int:
    return system.stats(system.running.plain)["executions"].get(name, 0)


def test_keyed_call_runs_once_over_entries(system: systems.System) -> None:
    """Guards against a call that two entries run at the same time."""
    for round_ in range(15):
        key = f"permit-{round_}"
        futures = [
            system.threads.submit(_order, system, index, key, key)
            for index in (0, 1, 2, 0)
        ]
        concurrent.futures.wait(futures)
        answers = [future.result() for future in futures]
        assert _executions(system, key) <= 1, answers
        # Exactly one of them is told that it ran.
        served = [a for a in answers if a.status == 200]
        assert len(served) == _executions(system, key), answers


@pytest.mark.parametrize(
    "where", ["before_run", "before_answer", "during_answer", "after_answer"]
)
@pytest.mark.parametrize("keyed", [False, True])
def test_broken_plain_call_says_truly_whether_it_ran(
    system: systems.System, where: str, keyed: bool
) -> None:
    """Guards against `not_run` for a call that ran, and a second run."""
    name = f"{where}-{keyed}"
    key = name if keyed else ""
    plain = system.running.plain
    system.fault(plain, where=where, count=1)
    answer = _order(system, 0, key, name)
    system.fault(plain, count=0)
    executions = _executions(system, name)
    assert executions <= 1
    if answer.status == 200 and not answer.broken:
        assert executions == 1
        assert answer.json["executions"] == 1
        assert where == "after_answer"
    elif answer.status == 200:
        assert where == "during_answer"
    elif answer.refused:
        assert executions == 0, answer
    else:
        assert answer.error["ran"] == "may_have_run", answer
    if keyed and executions:
        again = _order(system, 1, key, name)
        assert again.status != 200
        assert _executions(system, name) == 1


def test_planned_stop_cuts_no_stream(system: systems.System) -> None:
    """Guards against a planned stop that cuts streams or fails."""
    stopped = system.entries[-1]
    prompts = [systems.long_prompt(f"drain {i}") for i in range(4)]
    streams = [
        system.start_stream(stopped, system.key, prompt, 200)
        for prompt in prompts
    ]
    stopped.signal(signal.SIGTERM)
    for prompt, stream in zip(prompts, streams, strict=True):
        assert stream.ended.wait(systems.WAIT_S)
        assert stream.done
        assert not stream.broken
        assert stream.text == systems.expected_text(prompt, 200)
    assert stopped.wait() == 0
    system.entries.remove(stopped)
