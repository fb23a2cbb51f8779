"""Tests of the shares of customers that wait for slots."""

import random

from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import fair_order
from lacewingwood.routing import load
from lacewingwood.routing import slots as slots_lib

_SERVICE_MS = 10.0


def _play(
    per_s: dict[str, float], seconds: float, tokens: dict[str, float]
) -> dict[str, list[float]]:
    """Returns the waits by customer at a server of 100 requests a second."""
    rng = random.Random(1)
    order = fair_order.FairOrder()
    arrivals = sorted(
        (rng.uniform(0, seconds * 1000), customer)
        for customer, rate in per_s.items()
        for _ in range(round(rate * seconds))
    )
    waiting: list[tuple[float, slots_lib.SlotRequest]] = []
    waits: dict[str, list[float]] = {customer: [] for customer in per_s}
    now_ms = 0.0
    while arrivals or waiting:
        while arrivals and arrivals[0][0] <= now_ms:
            at_ms, customer = arrivals.pop(0)
            req = slots_lib.SlotRequest(
                "s",
                load.WorkKind.ONLINE,
                arrived_ms=at_ms,
                objective_ms=300,
                customer=customer,
                tokens=tokens.get(customer, 100.0),
            )
            waiting.append((order.add(customer, req.tokens), req))
        if waiting:
            chosen = min(
                waiting,
                key=lambda w: dispatchers.fair_waiting_key(
                    w[1], now_ms, order.excess(w[0])
                ),
            )
            waiting.remove(chosen)
            order.note_served(chosen[1].customer, chosen[1].tokens)
            waits[chosen[1].customer].append(now_ms - chosen[1].arrived_ms)
        now_ms += _SERVICE_MS
    return waits


def test_burst_of_one_customer_delays_the_others_by_little() -> None:
    """Guards against a customer that takes all slots by sending more."""
    usual = {f"c{n}": 7.0 for n in range(10)}
    waits = _play({**usual, "burst": 52.5}, 4, {})
    others = [w for c in usual for w in waits[c]]
    assert max(others) < 600
    assert sum(w <= 200 for w in others) >= 0.95 * len(others)
    # What the others leave, 120 of its 210 requests in 4 s, is for it.
    assert sorted(waits["burst"])[105] < 1_500
    assert max(waits["burst"]) < 4_000


def test_shares_are_of_work_not_of_requests() -> None:
    """Guards against a customer whose long requests count like short ones."""
    waits = _play({"long": 80.0, "short": 80.0}, 4, {"long": 300.0})
    served_early = {c: sum(w <= 1_000 for w in waits[c]) for c in waits}
    assert served_early["short"] >= 2 * served_early["long"]


def test_customer_is_not_charged_for_requests_that_got_no_slot() -> None:
    """Guards against requests put behind others by ones that were given up."""
    order = fair_order.FairOrder()
    order.add("b", 100.0)
    for _ in range(10):
        order.add("a", 100.0)
        order.cancel("a", 100.0)
    assert order.excess(order.add("a", 100.0)) == 0.0


def test_shares_are_forgotten_once_nothing_waits() -> None:
    """Guards against a customer that waits in calm for an earlier burst."""
    order = fair_order.FairOrder()
    for _ in range(10):
        order.add("a", 100.0)
    for _ in range(10):
        order.note_served("a", 100.0)
    assert order.excess(order.add("a", 100.0)) == 0.0


def test_priority_does_not_make_a_request_wait_forever() -> None:
    """Guards against requests of low priority that starve."""
    old = slots_lib.SlotRequest(
        "s", load.WorkKind.ONLINE, rank=5, deadline_ms=5_000
    )
    new = slots_lib.SlotRequest(
        "s", load.WorkKind.ONLINE, arrived_ms=2_600, deadline_ms=7_600
    )
    key = dispatchers.fair_waiting_key
    assert key(new, 2_400) < key(old, 2_400)
    assert key(old, 2_600) < key(new, 2_600)
