"""Engines that crash, break or leave."""

import signal

from devtools import deployment
from tests.integration import system as systems

SHAPE = deployment.Shape(replicas=4, workers=1)


def test_leaving_engine_gets_no_new_work(system: systems.System) -> None:
    """Guards against work sent to an engine that only its report shows leaving.

    The host list goes on to show it live.
    """
    engine = system.running.engines[0]
    for number in range(30):
        entry = system.entries[number % 3]
        assert system.chat(entry, system.key, f"before {number}").status == 200
    assert system.stats(engine)["runs"], "the engine was not used at all"
    system.fault(engine, leaving=True)
    systems.stays(lambda: True, 3)
    seen = _seen(system, engine)
    for number in range(60):
        entry = system.entries[number % 3]
        assert system.chat(entry, system.key, f"after {number}").status == 200
    assert _seen(system, engine) == seen
    system.fault(engine, leaving=False)


def _seen(system: systems.System, engine: deployment.Process) -> int:
    stats = system.stats(engine)
    return len(stats["runs"]) + stats["refused"]


def test_no_engine_sees_the_callers_key(system: systems.System) -> None:
    """Guards against a caller's key that reaches an upstream in any place."""
    key = system.key
    body = {
        "model": system.model,
        "messages": [{"role": "user", "content": "who sees my key?"}],
        "max_tokens": 1,
    }
    for path in ("/v1/chat/completions", "/echo", f"/echo?token={key}"):
        headers = {
            "authorization": f"Bearer {key}",
            "x-api-key": key,
            "cookie": f"session={key}; theme=dark",
        }
        answer = system.call(
            system.entries[0], "POST", path, key, body, headers
        )
        assert answer.status == 200, answer
        # The plain service echoes all that it receives.
        assert key.encode() not in answer.body
    path = f"/v1/chat/completions?api_key={key}"
    system.call(system.entries[0], "POST", path, key, body)
    runs = system.runs()
    assert runs
    assert not [run for run in runs if key in str(run)]


def test_killed_engine_shortens_no_answer(system: systems.System) -> None:
    """Guards against a cut answer that looks whole when an engine dies."""
    prompts = [systems.long_prompt(f"stream {i}") for i in range(12)]
    answers = [
        system.start_stream(system.entries[i % 3], system.key, prompt, 100)
        for i, prompt in enumerate(prompts)
    ]
    victim = systems.wait_for(
        lambda: next(
            (
                engine
                for engine in system.running.engines
                if any(
                    run["outcome"] == "running"
                    for run in system.stats(engine)["runs"]
                )
            ),
            None,
        )
    )
    victim.signal(signal.SIGKILL)
    victim.wait()
    for prompt, answer in zip(prompts, answers, strict=True):
        assert answer.ended.wait(systems.WAIT_S)
        expected = systems.expected_text(prompt, 100)
        if answer.done:
            assert answer.text == expected
            assert not answer.error
        else:
            assert answer.error or answer.broken, answer
            assert expected.startswith(answer.text)
    system.running.restart_engine(system.running.engines.index(victim))
    # The host list lags; entries learn the new address within seconds.
    _wait_served_repeatedly(system)


def _wait_served_repeatedly(system: systems.System) -> None:
    """Waits until each entry serves many requests one after the other."""
    for entry in system.entries:
        systems.wait_for(
            lambda e=entry: all(
                system.chat(e, system.key, f"settled {n}").status == 200
                for n in range(20)
            )
        )


def test_crash_request_takes_two_replicas(system: systems.System) -> None:
    """Guards against a request that crashes engine after engine."""
    other = system.customer("bystander", 100, 200)["secret"]
    system.wait_until_served(other)
    prompt = "please CRASH-ENGINE now"
    answers = []
    for number in range(9):
        entry = system.entries[number % 3]
        answers.append(system.chat(entry, system.key, prompt))
        assert system.chat(entry, other, f"served {number}").status == 200
    dead = [e.name for e in system.running.engines if not e.running]
    assert len(dead) <= 2, dead
    for entry in system.entries:
        systems.wait_for(
            lambda e=entry: system.chat(e, system.key, prompt).status == 422,
            within_s=5,
        )
        assert system.chat(entry, other, "after").status == 200
    dead = [e.name for e in system.running.engines if not e.running]
    assert len(dead) <= 2, dead
