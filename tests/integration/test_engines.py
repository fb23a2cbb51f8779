"""Tests of engines that crash, break streams or leave."""

import signal

from devtools import deployment
from tests.integration import harness

SHAPE = deployment.Shape(replicas=4, workers=1)


def test_leaving_engine_gets_no_new_work(system: harness.System) -> None:
    """Guards against new requests to an engine whose load report says leaving.

    The host list still shows the engine as live.
    """
    engine = system.deployment.engines[0]
    for number in range(30):
        entry = system.entries[number % 3]
        assert system.chat(entry, system.key, f"before {number}").status == 200
    assert system.get_stats(engine)["runs"], (
        "the engine received no request before the fault"
    )
    system.set_faults(engine, leaving=True)
    harness.check_holds(lambda: True, 3)
    seen = _received_count(system, engine)
    for number in range(60):
        entry = system.entries[number % 3]
        assert system.chat(entry, system.key, f"after {number}").status == 200
    assert _received_count(system, engine) == seen
    system.set_faults(engine, leaving=False)


def _received_count(system: harness.System, engine: deployment.Process) -> int:
    """Returns how many requests an engine ran or refused."""
    stats = system.get_stats(engine)
    return len(stats["runs"]) + stats["refused"]


def test_no_engine_sees_the_callers_key(system: harness.System) -> None:
    """Guards against sending a caller's API key to an upstream.

    The key is sent in headers, cookies and query strings.
    """
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
        response = system.call(
            system.entries[0], "POST", path, key, body, headers
        )
        assert response.status == 200, response
        # The plain service returns the request that it received.
        assert key.encode() not in response.body
    path = f"/v1/chat/completions?api_key={key}"
    system.call(system.entries[0], "POST", path, key, body)
    runs = system.get_runs()
    assert runs
    assert not [run for run in runs if key in str(run)]


def test_killed_engine_truncates_no_response(system: harness.System) -> None:
    """Guards against truncated streams that look complete.

    An engine is killed during its streams: each stream must be resumed or end
    with an error or a broken connection.
    """
    prompts = [harness.long_prompt(f"stream {i}") for i in range(12)]
    responses = [
        system.start_stream(system.entries[i % 3], system.key, prompt, 100)
        for i, prompt in enumerate(prompts)
    ]
    killed = harness.wait_for(
        lambda: next(
            (
                engine
                for engine in system.deployment.engines
                if any(
                    run["outcome"] == "running"
                    for run in system.get_stats(engine)["runs"]
                )
            ),
            None,
        )
    )
    killed.signal(signal.SIGKILL)
    killed.wait()
    for prompt, response in zip(prompts, responses, strict=True):
        assert response.finished.wait(harness.TIMEOUT_S)
        expected = harness.expected_text(prompt, 100)
        if response.complete:
            assert response.text == expected
            assert not response.error
        else:
            assert response.error or response.broken, response
            assert expected.startswith(response.text)
    system.deployment.restart_engine(system.deployment.engines.index(killed))
    # The host list lags, so that entries learn the new address of the engine
    # only within seconds.
    _wait_until_stable(system)


def _wait_until_stable(system: harness.System) -> None:
    """Waits until each entry serves 20 requests in a row."""
    for entry in system.entries:
        harness.wait_for(
            lambda e=entry: all(
                system.chat(e, system.key, f"settled {n}").status == 200
                for n in range(20)
            )
        )


def test_crashing_request_reaches_at_most_two_replicas(
    system: harness.System,
) -> None:
    """Guards against retrying a request that crashes each engine it reaches.

    At most two engines may crash, and other customers must be served.
    """
    other = system.create_customer("bystander", 100, 200)["secret"]
    system.wait_until_key_is_accepted(other)
    prompt = "please CRASH-ENGINE now"
    responses = []
    for number in range(9):
        entry = system.entries[number % 3]
        responses.append(system.chat(entry, system.key, prompt))
        assert system.chat(entry, other, f"served {number}").status == 200
    crashed = [e.name for e in system.deployment.engines if not e.running]
    assert len(crashed) <= 2, crashed
    for entry in system.entries:
        harness.wait_for(
            lambda e=entry: system.chat(e, system.key, prompt).status == 422,
            timeout_s=5,
        )
        assert system.chat(entry, other, "after").status == 200
    crashed = [e.name for e in system.deployment.engines if not e.running]
    assert len(crashed) <= 2, crashed
