"""Tests of the deployment that `make up` runs."""

import json
import pathlib
import signal
import subprocess
import sys

import openai


def test_up_serves_and_leaves_no_process_behind() -> None:
    """Guards against a `make up` that serves no request or leaks processes."""
    up = subprocess.Popen(
        [sys.executable, "-m", "devtools.up"], stdout=subprocess.PIPE
    )
    assert up.stdout is not None
    ready = json.loads(up.stdout.readline())
    client = openai.OpenAI(
        api_key=ready["customers"][0]["key"], base_url=ready["base_urls"][0]
    )
    response = client.chat.completions.create(
        model=ready["model"], messages=[{"role": "user", "content": "permit?"}]
    )
    assert response.choices[0].message.content
    up.send_signal(signal.SIGTERM)
    assert up.wait(60) == 0
    assert not any(
        pathlib.Path(f"/proc/{pid}").exists() for pid in ready["pids"]
    )
