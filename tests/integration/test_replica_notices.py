"""Tests of what replicas say of themselves with their responses."""

import concurrent.futures
import pathlib
import signal
import time

from devtools import fleet as fleets

_HEADERS = {"Host": fleets.HOST, "Authorization": f"Bearer {fleets.KEY}"}
_WINDOW_S = 4.0
# The users allow this long for a new limit to take effect, and then half as
# much again as the limit and five requests more in each window.
_TAKES_EFFECT_S = 3.0


def _send_for(gateway: fleets.Gateway, name: str, duration_s: float) -> int:
    """Sends one stream after another; returns the number that succeeded."""
    succeeded = sent = 0
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        sent += 1
        headers = {
            **_HEADERS,
            "Request-Id": f"{name}-{sent}",
            "Deadline-Ms": "5000",
        }
        status, _ = fleets.call(gateway.address, "POST", "/s/x", b"{}", headers)
        succeeded += status == 200
    return succeeded


def _most_in_window(times: list[float], window_s: float = _WINDOW_S) -> int:
    """Returns the largest number of times within a period."""
    return max(
        (
            sum(start <= other < start + window_s for other in times)
            for start in times
        ),
        default=0,
    )


def test_replica_that_says_it_leaves_gets_no_new_requests(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against requests to a replica that only its responses show."""
    with fleets.running(fleets.Shape(replicas=2), tmp_path) as fleet:
        leaving, staying = fleet.replicas
        fleet.set_faults(leaving, leaving=True)
        for n, gateway in enumerate(fleet.gateways):
            assert _send_for(gateway, f"first-{n}", 1.0) > 0
        told_s = time.time()
        for n, gateway in enumerate(fleet.gateways):
            assert _send_for(gateway, f"second-{n}", 1.0) > 0
        assert fleet.arrivals(leaving)
        assert max(fleet.arrivals(leaving)) < told_s
        assert max(fleet.arrivals(staying)) > told_s


def test_replicas_get_no_more_than_the_limit_they_name(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a limit that each gateway ignores or keeps for itself."""
    limit = 2.0
    with fleets.running(fleets.Shape(), tmp_path) as fleet:
        limited = fleet.replicas[:2]
        for replica in limited:
            fleet.set_faults(replica, rate_limit=limit)
        named_s = time.time()
        with concurrent.futures.ThreadPoolExecutor() as pool:
            sent = [
                pool.submit(_send_for, gateway, f"r-{n}-{i}", 11.0)
                for n, gateway in enumerate(fleet.gateways)
                for i in range(2)
            ]
            served = sum(future.result() for future in sent)
        counted = [
            [
                t
                for t in fleet.arrivals(replica)
                if t > named_s + _TAKES_EFFECT_S
            ]
            for replica in limited
        ]
    for times in counted:
        assert _most_in_window(times) <= 1.5 * limit * _WINDOW_S + 5
        # Half of what the replica takes is used meanwhile.
        assert len(times) >= limit * 8 / 2
    # What the limited replicas do not take, the third one runs.
    assert served > 200


def test_replicas_that_may_be_cold_get_no_more_than_their_bound(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a crash of a replica that turns cold unnoticed.

    Any second counts, since no gateway can know when that happens. A gateway is
    started again meanwhile, and knows nothing of what the others send.
    """
    rate = 4.0
    with fleets.running(fleets.Shape(), tmp_path) as fleet:
        fleet.configure(cold_per_s=rate)
        time.sleep(_TAKES_EFFECT_S)
        from_s = time.time()
        with concurrent.futures.ThreadPoolExecutor() as pool:
            sent = [
                pool.submit(_send_for, gateway, f"r-{n}-{i}", 6.0)
                for n, gateway in enumerate(fleet.gateways[:2])
                for i in range(3)
            ]
            fleet.gateways[2].signal(signal.SIGKILL)
            fleet.gateways[2].wait()
            fleet.gateways[2].start()
            fleet.wait_ready()
            served = _send_for(fleet.gateways[2], "r-2", 2.0)
            served += sum(future.result() for future in sent)
        for replica in fleet.replicas:
            times = [t for t in fleet.arrivals(replica) if t > from_s]
            assert _most_in_window(times, 1.0) <= 1.5 * rate + 5
        # Two thirds of what cold replicas take is used.
        assert served >= len(fleet.replicas) * rate * 4
