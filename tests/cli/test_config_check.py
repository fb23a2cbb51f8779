"""Tests of the command that checks documents for gateways."""

import json
import pathlib
import signal
import subprocess
from collections.abc import Iterator

import pytest

from devtools import deployment
from devtools import fleet as fleets
from tests.cli import test_main

_DOCUMENT = {
    "version": 4,
    "routes": [
        {
            "name": "a",
            "host": "h",
            "path_prefix": "/a/",
            "kind": "streaming",
            "service": "s",
        }
    ],
}


@pytest.fixture(scope="module")
def config(tmp_path_factory: pytest.TempPathFactory) -> Iterator[str]:
    """Runs a stand-in store with a document; yields a settings file."""
    path = tmp_path_factory.mktemp("check")
    store = deployment.Process(
        "store", "standins", ["keyed-store", "--bind", "127.0.0.1:0"], path
    )
    try:
        store.wait_ready()
        address = str(store.info["address"])
        body = json.dumps(_DOCUMENT).encode()
        fleets.call(address, "POST", "/put?topic=keyed.op&key=config", body)
        yield _write_settings(path, address)
    finally:
        store.signal(signal.SIGTERM)
        store.wait()


def _write_settings(path: pathlib.Path, store: str) -> str:
    file = path / "settings.toml"
    file.write_text(
        'node = "n"\nip = "127.0.0.1"\nzone = "z"\n'
        '[listen]\nfront = "127.0.0.1:1"\nready = "127.0.0.1:2"\n'
        f'[platform_settings]\naddress = "{store}"\n'
    )
    return str(file)


def _check(
    path: pathlib.Path, document: object, *args: str
) -> subprocess.CompletedProcess[str]:
    file = path / "document.json"
    file.write_text(json.dumps(document))
    return test_main._run("config", "check", str(file), *args)


def test_document_is_compared_with_the_one_in_force(
    config: str, tmp_path: pathlib.Path
) -> None:
    """Guards against publishing what was not reviewed, or over another one."""
    new = {**_DOCUMENT, "version": 5}
    for version in ("current", "4"):
        args = ("--against", version, "--config", config)
        done = _check(tmp_path, new, *args)
        assert done.returncode == 0, done.stderr
        assert done.stdout == (
            "valid\nchanges against version 4: 1\n  version: 4 -> 5\n"
        )
    done = _check(tmp_path, new, *args, "--json")
    assert json.loads(done.stdout) == {
        "valid": True,
        "findings": [],
        "against": 4,
        "changes": [{"location": "version", "before": 4, "after": 5}],
    }


def test_exit_codes_tell_errors_from_checks_that_can_not_be_made(
    config: str, tmp_path: pathlib.Path
) -> None:
    """Guards against a script that publishes a document with errors."""
    done = _check(tmp_path, {**_DOCUMENT, "version": "four"})
    assert done.returncode == 1
    assert done.stdout.startswith("error: version: ")
    done = _check(tmp_path, _DOCUMENT, "--against", "9", "--config", config)
    test_main._assert_failed(done, 2, "version 4 is in force, not 9")
    absent = _write_settings(tmp_path, "127.0.0.1:1")
    done = _check(
        tmp_path, _DOCUMENT, "--against", "current", "--config", absent
    )
    test_main._assert_failed(done, 2)
    done = test_main._run("config", "check", str(tmp_path / "absent.json"))
    test_main._assert_failed(done, 2, "absent.json")
    toml = tmp_path / "office.toml"
    toml.write_text("schema_version = 1")
    done = test_main._run("config", "check", str(toml))
    test_main._assert_failed(done, 2, "--log-url")
