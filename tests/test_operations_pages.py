"""Tests that run the shell commands of the operators' pages as written."""

import contextlib
import os
import pathlib
import re
import signal
import subprocess
import sys
from collections.abc import Iterator

import pytest

from devtools import deployment

_ROOT = pathlib.Path(__file__).parents[1]
_PAGES = sorted((_ROOT / "docs" / "operations").glob("*.md"))
_BLOCK = re.compile(r"^```sh( fails)?\n(.*?)^```$", re.MULTILINE | re.DOTALL)
_TIMEOUT_S = 30


@pytest.fixture(scope="module")
def env(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, str]]:
    """Runs a deployment; yields the environment that the pages refer to."""
    logs = tmp_path_factory.mktemp("logs")
    shape = deployment.Shape(entries=2, workers=2, replicas=2)
    with deployment.running(shape, logs) as running:
        yield {
            **os.environ,
            "PATH": f"{_make_program(logs)}:{os.environ['PATH']}",
            "PYTHONPATH": str(_ROOT),
            "LACEWINGWOOD_LOG_URL": running.log_url,
            "ADMIN": running.entries[0].info["admin"],
            "BASE_URL": running.base_urls[0],
            "KEY": _make_customer(running),
            **_add_host(running),
        }


def _make_program(directory: pathlib.Path) -> pathlib.Path:
    """Writes a script `lacewingwood` that runs this source tree."""
    program = directory / "lacewingwood"
    program.write_text(
        f'#!/bin/sh\nexec "{sys.executable}" -m lacewingwood "$@"\n'
    )
    program.chmod(0o755)
    return directory


def _make_customer(running: deployment.Deployment) -> str:
    model = running.shape.model
    service = running.shape.service
    running.operate(
        *("model", "put", model, "--service", service, "--version", "1")
    )
    running.operate("customer", "put", "pages", "--rate", "50", "--burst", "99")
    return str(running.operate("key", "give", "pages")["secret"])


def _add_host(running: deployment.Deployment) -> dict[str, str]:
    """Adds a host to the host list for the processes that a page starts.

    Returns:
        The settings of an entry on that host, as environment variables.
    """
    zone, region = running.shape.zones[0], running.shape.region
    hostlist = f"http://{running.hostlist.info['address']}"
    body = {
        "id": "host-9",
        "address": "127.0.0.1:0",
        "kind": "entry",
        "service": "",
        "zone": zone,
        "region": region,
        "state": "live",
    }
    deployment.request_json("PUT", f"{hostlist}/hosts/host-9", body)
    return {
        "LACEWINGWOOD_HOSTLIST_URL": hostlist,
        "LACEWINGWOOD_HOST": "host-9",
        "LACEWINGWOOD_ZONE": zone,
        "LACEWINGWOOD_REGION": region,
        "LACEWINGWOOD_BIND": "127.0.0.1:0",
        "LACEWINGWOOD_DRAIN_MS": "500",
    }


def _page_env(env: dict[str, str], page: str) -> dict[str, str]:
    """Returns `env` with only those settings that a page mentions."""
    return {
        name: value
        for name, value in env.items()
        if not name.startswith("LACEWINGWOOD_") or f"`{name}`" in page
    }


def _run(script: str, env: dict[str, str], cwd: pathlib.Path) -> int:
    """Runs a block of shell commands and returns its exit code.

    The output goes to a file, since background processes of the block would
    keep a pipe open.
    """
    with (cwd / "output").open("wb") as output:
        shell = subprocess.Popen(
            ["bash", "-e", "-c", script],
            env=env,
            cwd=cwd,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
            start_new_session=True,
        )
        groups = cwd / "groups"
        with groups.open("a") as started:
            started.write(f"{shell.pid}\n")
        return shell.wait(_TIMEOUT_S)


@contextlib.contextmanager
def _killed_processes(cwd: pathlib.Path) -> Iterator[None]:
    """Kills on exit the processes that a page's blocks left running."""
    try:
        yield
    finally:
        for group in (cwd / "groups").read_text().split():
            with contextlib.suppress(ProcessLookupError):
                os.killpg(int(group), signal.SIGKILL)


def test_there_is_a_page_for_each_subject() -> None:
    """Guards against pages that are not found and therefore not tested."""
    names = [path.stem for path in _PAGES]
    assert names == ["batch", "customers", "deploy", "incidents", "observe"]


@pytest.mark.parametrize("path", _PAGES, ids=lambda path: path.stem)
def test_commands_of_a_page(
    path: pathlib.Path, env: dict[str, str], tmp_path: pathlib.Path
) -> None:
    """Guards against pages whose commands no longer work as described."""
    text = path.read_text(encoding="utf-8")
    blocks = _BLOCK.findall(text)
    assert len(blocks) == len(re.findall(r"^```sh", text, re.MULTILINE))
    assert blocks
    (tmp_path / "groups").touch()
    page_env = _page_env(env, text)
    with _killed_processes(tmp_path):
        for fails, script in blocks:
            code = _run(script, page_env, tmp_path)
            output = (tmp_path / "output").read_text(errors="replace")
            assert (code != 0) == bool(fails), f"{script}\n{code}: {output}"
