"""Tests of the stand-ins' command line."""

import signal
import subprocess
import sys

import msgspec
import pytest
import trio

from lacewingwood import clock
from lacewingwood import errors as base_errors
from lacewingwood.upstreams import engine
from lacewingwood.upstreams import errors

_NAMES = ["log", "engine", "plain", "weights", "hostlist"]


def _spawn(name: str) -> subprocess.Popen[bytes]:
    command = [sys.executable, "-m", "standins", name, "--bind", "127.0.0.1:0"]
    return subprocess.Popen(command, stdout=subprocess.PIPE)


def _address(process: subprocess.Popen[bytes]) -> str:
    assert process.stdout is not None
    ready = msgspec.json.decode(process.stdout.readline())
    assert ready["ready"] is True
    return ready["address"]


@pytest.mark.parametrize("name", _NAMES)
def test_ready_line_and_sigterm(name: str) -> None:
    """Guards against a deployment that hangs when it starts or stops."""
    with _spawn(name) as process:
        host, _, port = _address(process).partition(":")
        assert (host, int(port) > 0) == ("127.0.0.1", True)
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=30) == -signal.SIGTERM


async def test_crashing_prompt_ends_the_process() -> None:
    """Guards against crash tests in which the engine does not crash."""
    with _spawn("engine") as process:
        address = await trio.to_thread.run_sync(_address, process)
        source = clock.MonotonicClock()
        client = engine.EngineClient(source)
        body = msgspec.json.encode(
            {"model": "sabeel-lm", "prompt": "CRASH-ENGINE"}
        )
        with pytest.raises(errors.BrokenError) as info:
            await client.complete(
                address,
                "/v1/completions",
                body,
                "r1",
                source.now_ms() + 30_000,
            )
        assert info.value.ran is base_errors.Ran.MAY_HAVE_RUN
        assert process.wait(timeout=30) == 1
