"""Tests of the program built as a single executable file."""

import json
import os
import pathlib
import signal
import subprocess
import sys

import pytest

from devtools import binary
from devtools import deployment

_ROOT = pathlib.Path(__file__).parents[1]


@pytest.fixture(scope="module")
def program(tmp_path_factory: pytest.TempPathFactory) -> pathlib.Path:
    """Builds the program from this source tree."""
    path = tmp_path_factory.mktemp("dist") / "lacewingwood"
    assert binary.build(_ROOT, path) == 0
    return path


def test_binary_is_one_process(
    program: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    """Guards against a launcher that runs the program in a child process."""
    shape = deployment.Shape(replicas=1)
    running = deployment.Deployment(shape, tmp_path)
    try:
        running.start()
        worker = subprocess.Popen(
            [
                *(sys.executable, str(program), "worker"),
                *("--log-url", running.log_url),
                *("--hostlist-url", running.hostlist_url),
                *("--host", "host-0", "--zone", "tanta-a"),
                *("--region", shape.region),
            ],
            env={**os.environ, "SHIV_ROOT": str(tmp_path / "shiv")},
            stdout=subprocess.PIPE,
        )
        assert worker.stdout is not None
        ready = json.loads(worker.stdout.readline())
        children = pathlib.Path(f"/proc/{worker.pid}/task").glob("*/children")
        assert ready["pid"] == worker.pid
        assert [child.read_text() for child in children] == [""]
        worker.send_signal(signal.SIGTERM)
        assert worker.wait(30) == 0
    finally:
        running.stop()


def test_binary_shows_its_help(
    program: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    """Guards against an executable without one of its libraries."""
    done = subprocess.run(
        [sys.executable, str(program), "--help"],
        env={**os.environ, "SHIV_ROOT": str(tmp_path)},
        capture_output=True,
        check=False,
    )
    assert done.returncode == 0
    assert b"entry" in done.stdout
