"""Tests of the command line's errors for invalid use."""

import os
import pathlib
import signal
import subprocess
import sys
from collections.abc import Iterator

import pytest
import trio

from devtools import deployment
from lacewingwood.log import client as log_client

_NODE = {
    "--log-url": "http://127.0.0.1:1",
    "--hostlist-url": "http://127.0.0.1:2",
    "--host": "host-0",
    "--zone": "tanta-a",
    "--region": "delta-north",
}


def _run(
    *args: str, env: dict[str, str] | None = None
) -> subprocess.CompletedProcess[str]:
    clean = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("LACEWINGWOOD_")
    }
    return subprocess.run(
        [sys.executable, "-m", "lacewingwood", *args],
        env={**clean, **(env or {})},
        capture_output=True,
        check=False,
        text=True,
        timeout=30,
    )


def _assert_failed(
    done: subprocess.CompletedProcess[str], code: int, *named: str
) -> None:
    assert done.returncode == code, done.stderr
    assert "Traceback" not in done.stderr
    assert done.stderr.count("\n") == 1, done.stderr
    assert done.stderr.startswith("lacewingwood: ")
    for name in named:
        assert name in done.stderr
    assert done.stdout == ""


def _node_args(**changes: str | None) -> list[str]:
    settings: dict[str, str | None] = {**_NODE}
    settings |= {
        f"--{key.replace('_', '-')}": value for key, value in changes.items()
    }
    return [
        text
        for flag, value in settings.items()
        if value is not None
        for text in (flag, value)
    ]


@pytest.mark.parametrize("role", ["entry", "worker"])
@pytest.mark.parametrize(
    ("setting", "value"),
    [
        ("log_url", "127.0.0.1:1"),
        ("hostlist_url", "http://127.0.0.1"),
        ("host", "a/b"),
        ("zone", ""),
        ("peer_bind", "localhost:1"),
        ("admin_bind", "127.0.0.1:65536"),
        ("drain_ms", "-1"),
        ("shutdown_ms", "soon"),
    ],
)
def test_invalid_setting_is_named(role: str, setting: str, value: str) -> None:
    """Guards against a process that starts with an invalid setting."""
    done = _run(role, *_node_args(**{setting: value}))
    _assert_failed(done, 2, "--" + setting.replace("_", "-"))


@pytest.mark.parametrize("setting", ["log_url", "hostlist_url", "region"])
def test_missing_setting_is_named(setting: str) -> None:
    """Guards against an unintended default of a required setting."""
    done = _run("worker", *_node_args(**{setting: None}))
    _assert_failed(done, 2, "--" + setting.replace("_", "-"))


def test_invalid_variable_is_named() -> None:
    """Guards against a message that does not name the invalid variable."""
    name = "LACEWINGWOOD_DRAIN_MS"
    done = _run("worker", *_node_args(), env={name: "soon"})
    _assert_failed(done, 2, name)


def test_unknown_command_and_option_are_named() -> None:
    """Guards against ignoring a misspelt option."""
    _assert_failed(_run("entri"), 2, "entri")
    _assert_failed(_run("entry", *_node_args(), "--drian-ms", "1"), 2, "drian")


def test_dump_of_an_absent_process_is_an_error() -> None:
    """Guards against a traceback when a process does not run."""
    _assert_failed(_run("dump", "127.0.0.1:1"), 1, "127.0.0.1:1")


@pytest.fixture(scope="module")
def log_env(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[dict[str, str]]:
    """Runs a stand-in log without other processes; yields its variables."""
    logs = tmp_path_factory.mktemp("logs")
    args = ["log", "--bind", "127.0.0.1:0"]
    log = deployment.Process("log", "standins", args, logs)
    try:
        log.wait_ready()
        yield {"LACEWINGWOOD_LOG_URL": f"http://{log.info['address']}"}
    finally:
        log.signal(signal.SIGTERM)
        log.wait()


def _assert_nothing_published(log_env: dict[str, str]) -> None:
    log = log_client.LogClient(log_env["LACEWINGWOOD_LOG_URL"])
    page = trio.run(log.read, "control", 0, 1, 0)
    assert page.head == 0


@pytest.mark.parametrize(
    ("args", "named"),
    [
        (("customer", "put", "a", "--rate", "0", "--burst", "1"), "rate"),
        (("customer", "put", "a", "--rate", "nan", "--burst", "1"), "rate"),
        (("customer", "put", "a", "--rate", "1", "--burst", "0"), "burst"),
        (("customer", "put", "a b", "--rate", "1", "--burst", "1"), "name"),
        (("customer", "delete", "nobody"), "nobody"),
        (("key", "give", "nobody"), "nobody"),
        (("key", "withdraw", "nothing"), "nothing"),
        (("route", "put", "a", "--prefix", "x", "--service", "s"), "prefix"),
    ],
)
def test_invalid_change_names_its_field(
    args: tuple[str, ...], named: str, log_env: dict[str, str]
) -> None:
    """Guards against publishing an invalid change."""
    _assert_failed(_run(*args, env=log_env), 1, named)
    _assert_nothing_published(log_env)


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("schema_version = 2", "schema_version"),
        ("", "schema_version"),
        ("schema_version =", "TOML"),
        ("schema_version = 1\n[[customer]]\nname = 'a'", "customer"),
        (
            "schema_version = 1\n"
            "[[routes]]\nname = 'a'\nprefix = '/a'\nservice = 's'\n"
            "[[routes]]\nname = 'b'\nprefix = '/a/'\nservice = 's'\n",
            "routes[1].prefix",
        ),
    ],
)
def test_invalid_file_names_its_field(
    text: str, named: str, log_env: dict[str, str], tmp_path: pathlib.Path
) -> None:
    """Guards against applying a file that is invalid in part."""
    file = tmp_path / "config.toml"
    file.write_text(text)
    done = _run("config", "apply", str(file), env=log_env)
    _assert_failed(done, 1, named)
    _assert_nothing_published(log_env)


def test_gateway_without_flags_names_a_malformed_variable() -> None:
    """Guards against a traceback, or a port that is silently ignored."""
    done = _run("gateway", env={"LACEWINGWOOD_METRICS_PORT": "many"})
    _assert_failed(done, 2, "LACEWINGWOOD_METRICS_PORT", "many")
    name = "LACEWINGWOOD_SECOND_ATTEMPT_PERCENT"
    for value in ("many", "-1", "101", "nan"):
        done = _run("gateway", env={name: value})
        _assert_failed(done, 2, name, value)
    done = _run("gateway", "--second-attempt-percent", "101")
    _assert_failed(done, 2, "second-attempt-percent")
    done = _run("gateway", env={"LACEWINGWOOD_CONFIG": "/nowhere.toml"})
    _assert_failed(done, 1, "platform_settings", "/nowhere.toml")


def test_gateway_starts_without_the_command_lines_library() -> None:
    """Guards against start-up time and memory that each gateway would pay."""
    program = "import sys; import lacewingwood.cli.gateway; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        check=True,
        text=True,
        timeout=30,
    )
    assert "lacewingwood.roles.gateway" in done.stdout.split()
    assert "cyclopts" not in done.stdout.split()
