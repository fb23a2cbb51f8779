"""Tests of the fleets that tests and the soak start."""

import pytest

from devtools import fleet


def test_port_is_not_assigned_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against gateways that end at their start: address in use."""
    monkeypatch.setattr(fleet, "_PORT_RANGE", (31_000, 31_040))
    monkeypatch.setattr(fleet, "_assigned_ports", set())

    ports = [port for _ in range(5) for port in fleet.free_ports(4)]

    assert len(set(ports)) == 20
