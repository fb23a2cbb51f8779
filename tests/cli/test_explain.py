"""Tests of the command `explain`."""

import json
import pathlib

import pytest

from lacewingwood.cli import explain


def _entry(second: int, node: str, event: str, **fields: object) -> str:
    entry = {
        **fields,
        "event": event,
        "node": node,
        "timestamp": f"2026-01-01T00:00:{second:02}.000000Z",
    }
    return json.dumps(entry) + "\n"


def test_lines_of_all_nodes_are_merged_with_their_state(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against output without the state that a node assumed."""
    a, b = tmp_path / "a.log", tmp_path / "b.log"
    a.write_text(
        "  1.0 a "
        + _entry(1, "a", "configuration applied", version=3)
        + _entry(2, "a", "log lost", topic="op")
        + "not json {\n"
        + _entry(4, "a", "request refused", request_id="r", reason="rate"),
        encoding="utf-8",
    )
    b.write_text(
        _entry(3, "b", "served", request_id="other")
        + _entry(5, "b", "job ended", job="kaje/r"),
        encoding="utf-8",
    )
    explain.explain("r", b, a)
    first, second = capsys.readouterr().out.splitlines()
    assert "a: request refused reason=rate" in first
    assert "configuration applied 3" in first
    assert "log op/0 lost" in first
    assert "b: job ended" in second


def test_obsolete_state_is_not_shown(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against showing state that the node no longer assumes."""
    path = tmp_path / "a.log"
    path.write_text(
        _entry(1, "a", "log lost", topic="jobs-0", part=3)
        + _entry(2, "a", "replica standing", replica="i-1", standing="dead")
        + _entry(3, "a", "replica standing", replica="i-2", standing="failing")
        + _entry(4, "a", "owner retired", topic="jobs-0", part=3)
        + _entry(5, "a", "replica standing", replica="i-1", standing="sound")
        + _entry(6, "a", "served", request_id="r"),
        encoding="utf-8",
    )
    explain.explain("r", path)
    line = capsys.readouterr().out
    assert "[believed: replica i-2 failing]" in line


def test_unknown_request_is_reported(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against empty output that looks like a success."""
    path = tmp_path / "a.log"
    path.write_text("", encoding="utf-8")
    explain.explain("r", path)
    assert capsys.readouterr().out == "no line mentions r\n"
