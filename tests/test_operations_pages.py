"""Runs the shell commands of the operators' pages as they are written."""

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
    """Runs a deployment and gives the environment that the pages name."""
    logs = tmp_path_factory.mktemp("logs")
    shape = deployment.Shape(entries=2, workers=2, replicas=2)
    with deployment.running(shape, logs) as running:
        yield {
            **os.environ,
            "PATH": f"{_client(logs)}:{os.environ['PATH']}",
            "PYTHONPATH": str(_ROOT),
            "LACEWINGWOOD_LOG_URL": running.log_url,
            "ADMIN": running.entries[0].info["admin"],
            "BASE_URL": running.base_urls[0],
            "KEY": _make_customer(running),
            **_new_host(running),
        }


def _client(directory: pathlib.Path) -> pathlib.Path:
    """Makes the program available under its name, from this source tree."""
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


def _new_host(running: deployment.Deployment) -> dict[str, str]:
    """Lists a host for the processes that a page starts."""
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


def _for_page(env: dict[str, str], page: str) -> dict[str, str]:
    """Keeps only the settings that a page names."""
    return {
        name: value
        for name, value in env.items()
        if not name.startswith("LACEWINGWOOD_") or f"`{name}`" in page
    }


def _run(script: str, env: dict[str, str], cwd: pathlib.Path) -> int:
    """Runs a block, with its output in a file as it may leave processes."""
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
def _no_leftovers(cwd: pathlib.Path) -> Iterator[None]:
    """Ends what the blocks of a page started and did not stop."""
    try:
        yield
    finally:
        for group in (cwd / "groups").read_text().split():
            with contextlib.suppress(ProcessLookupError):
                os.killpg(int(group), signal.SIGKILL)


def test_there_is_a_page_for_each_subject() -> None:
    """Guards against pages that are not found and so never run."""
    names = [path.stem for path in _PAGES]
    assert names == ["batch", "customers", "deploy", "incidents", "observe"]


@pytest.mark.parametrize("path", _PAGES, ids=lambda path: path.stem)
def test_commands_of_a_page(
    path: pathlib.Path, env: dict[str, str], tmp_path: pathlib.Path
) -> None:
    """Guards against pages whose commands no longer do what they say."""
    text = path.read_text(encoding="utf-8")
    blocks = _BLOCK.findall(text)
    assert len(blocks) == len(re.findall(r"^```sh", text, re.MULTILINE))
    assert blocks
    (tmp_path / "groups").touch()
    page_env = _for_page(env, text)
    with _no_leftovers(tmp_path):
        for fails, script in blocks:
            code = _run(script, page_env, tmp_path)
            said = (tmp_path / "output").read_text(errors="replace")
            assert (code != 0) == bool(fails), f"{script}\n{code}: {said}"
