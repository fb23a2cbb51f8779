"""Tests of the platform's settings file."""

import pathlib

import pytest

from lacewingwood.platform import settings

_FILE = """
node = "front-a-1"
ip = "10.1.0.21"
zone = "a"
port_range = [7360, 7375]
seeds = ["10.1.0.21:8683"]
unheard = { of = 1 }
[listen]
front = "10.1.0.21:8689"
ready = "10.1.0.21:8687"
control = "10.1.0.21:8683"
[bounds]
grace_s = 8
quota_overage = 0.1
quota_slack = 20
cold_overage = 2
[limits]
memory_mb = 170
max_fds = 4100
body_stall_ms = 9000
[platform_settings]
address = "10.200.1.7:8688"
parts = 4
"""


def test_file_is_decoded_to_settings(tmp_path: pathlib.Path) -> None:
    """Guards against mixing up units or fields of the file."""
    path = tmp_path / "local.toml"
    path.write_text(_FILE, encoding="utf-8")
    cfg = settings.load(str(path))
    assert cfg.host == "front-a-1"
    assert cfg.peer_bind == "10.1.0.21:8683"
    assert cfg.grace_ms == 8_000
    assert cfg.rate_tolerance == 0.1
    assert (cfg.cold_overage, cfg.cold_slack) == (2, 5)
    assert cfg.partitions_per_topic == 4
    assert (cfg.memory_bytes, cfg.max_descriptors) == (170 << 20, 4_100)
    assert cfg.body_stall_ms == 9_000


def test_metrics_port_can_be_set(tmp_path: pathlib.Path) -> None:
    """Guards against a metrics port that changes with every deployment."""
    path = tmp_path / "local.toml"
    path.write_text(_FILE, encoding="utf-8")
    assert settings.load(str(path)).admin_bind == "10.1.0.21:7361"
    named = settings.load(str(path), metrics_port=9464)
    assert named.second_attempt_percent == 0
    hedged = settings.load(str(path), second_attempt_percent=2.5)
    assert hedged.second_attempt_percent == 2.5
    assert named.admin_bind == "10.1.0.21:9464"


@pytest.mark.parametrize(
    "text",
    [
        "",
        "node = 1",
        "not toml",
        _FILE.replace("parts = 4", "parts='x'"),
        _FILE.replace("= 9000", "= 0"),
    ],
)
def test_malformed_file_is_reported(tmp_path: pathlib.Path, text: str) -> None:
    """Guards against running with settings that could not be read."""
    path = tmp_path / "local.toml"
    path.write_text(text, encoding="utf-8")
    with pytest.raises(settings.SettingsError, match=r"local\.toml"):
        settings.load(str(path))


def test_missing_file_is_reported() -> None:
    """Guards against a traceback in place of an error message."""
    with pytest.raises(settings.SettingsError):
        settings.load("/nonexistent/local.toml")
