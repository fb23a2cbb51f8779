"""Tests of an evacuation with gateways that run as separate processes."""

import pathlib
import signal
import time

from devtools import fleet as fleets

_HEADERS = {"Host": fleets.HOST, "Authorization": f"Bearer {fleets.KEY}"}
# Time from the store's answer until nothing reaches the zone any more.
_TAKES_EFFECT_S = 5.0


def _send(gateway: fleets.Gateway, name: str, count: int = 10) -> set[int]:
    """Sends streams one after another; returns the statuses."""
    statuses = set()
    for n in range(count):
        headers = {
            **_HEADERS,
            "Request-Id": f"{name}-{n}",
            "Deadline-Ms": "3000",
        }
        status, _ = fleets.call(gateway.address, "POST", "/s/x", b"{}", headers)
        statuses.add(status)
    return statuses


def test_evacuated_zone_gets_nothing_after_a_stop_of_gateways(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against gateways that missed an evacuation and send to the zone.

    One gateway is killed and started again, another one is stopped while the
    evacuation comes into force and resumed afterwards.
    """
    shape = fleets.Shape(replicas=4, replica_zones=("a", "b"))
    with fleets.running(shape, tmp_path) as fleet:
        for n, gateway in enumerate(fleet.gateways):
            assert _send(gateway, f"first-{n}") == {200}
        killed, stopped, _ = fleet.gateways
        killed.signal(signal.SIGKILL)
        killed.wait()
        stopped.signal(signal.SIGSTOP)
        fleet.evacuate("b")
        in_force_s = time.time() + _TAKES_EFFECT_S
        killed.start()
        while time.time() < in_force_s:
            time.sleep(0.1)
        stopped.signal(signal.SIGCONT)
        fleet.wait_ready()
        for n, gateway in enumerate(fleet.gateways):
            assert _send(gateway, f"second-{n}") == {200}
        evacuated = fleet.replicas[1::2]
        assert all(map(fleet.arrivals, evacuated))
        late = [
            t - in_force_s
            for replica in evacuated
            for t in fleet.arrivals(replica)
            if t > in_force_s
        ]
        assert not late
        fleet.evacuate("a")
        time.sleep(_TAKES_EFFECT_S)
        assert _send(fleet.gateways[2], "third", 2) == {503}
