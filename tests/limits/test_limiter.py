"""Tests of limiters on several hosts, compared with a single bucket."""

import dataclasses
import itertools
import random
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import pytest
import trio
import trio.testing

from lacewingwood import errors as base_errors
from lacewingwood import metrics
from lacewingwood.limits import bucket
from lacewingwood.limits import lender
from lacewingwood.limits import limiter
from lacewingwood.peers import errors as peer_errors
from lacewingwood.peers import messages
from lacewingwood.state import records

_ROUNDING_ERROR = 1e-6
_LONG_MS = 1_000.0


class TrioClock:
    """Trio's clock, which jumps to the next deadline in these tests."""

    def now_ms(self) -> float:
        return trio.current_time() * 1000

    async def sleep_ms(self, duration_ms: float) -> None:
        await trio.sleep(duration_ms / 1000)


class Fleet:
    """Limiters on hosts whose network takes 0.5 to 2 ms one way."""

    def __init__(self, hosts: int, customer: records.Customer) -> None:
        self.customer = customer
        self.rnd = random.Random(7)
        self.clock = TrioClock()
        self.owners = [0, 1]
        self.epochs = [1, 1]
        self.dead: set[int] = set()
        self.calls = 0
        self.handlers: list[dict[type, Any]] = [{} for _ in range(hosts)]
        self.metrics = metrics.Registry()
        self.limiters = [
            limiter.Limiter(
                f"host-{index}",
                Port(self, index),
                Leases(self, index),
                lambda name: self.customer,
                self.clock,
                self.metrics,
                never_held=lambda name: self.epochs[int(name[-1])] == 1,
            )
            for index in range(hosts)
        ]

    async def admit(self, host: int) -> bool:
        deadline_ms = self.clock.now_ms() + _LONG_MS
        result = await self.limiters[host].admit(self.customer, deadline_ms)
        return isinstance(result, limiter.Admitted)


@dataclasses.dataclass
class Port:
    """The transport of one host."""

    fleet: Fleet
    index: int

    def handle(
        self,
        message_type: type[messages.Message],
        handler: Callable[[Any], Awaitable[messages.Message | None]],
    ) -> None:
        self.fleet.handlers[self.index][message_type] = handler

    async def call(
        self, address: str, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        fleet, host = self.fleet, int(address)
        fleet.calls += 1
        with trio.move_on_after(timeout_ms / 1000):
            await trio.sleep(fleet.rnd.uniform(0.0005, 0.002))
            while host in fleet.dead:
                await trio.sleep(1)
            try:
                answer = await fleet.handlers[host][type(message)](message)
            except base_errors.Error as exc:
                raise peer_errors.RefusedError(exc.code, "") from exc
            await trio.sleep(fleet.rnd.uniform(0.0005, 0.002))
            return answer
        raise peer_errors.TimeoutError("", base_errors.Ran.MAY_HAVE_RUN)

    def send(self, address: str, message: messages.Message) -> None:
        trio.lowlevel.spawn_system_task(self._send, int(address), message)

    async def _send(self, host: int, message: messages.Message) -> None:
        await trio.sleep(self.fleet.rnd.uniform(0.0005, 0.002))
        if host not in self.fleet.dead:
            await self.fleet.handlers[host][type(message)](message)


@dataclasses.dataclass
class Leases:
    """One host's view of the leases."""

    fleet: Fleet
    index: int

    def holder(self, name: str) -> records.Member | None:
        owner = self.fleet.owners[int(name[-1])]
        return records.Member(f"host-{owner}", "entry", str(owner), "z", "r")

    def held(self, name: str) -> int | None:
        part = int(name[-1])
        mine = self.fleet.owners[part] == self.index
        return self.fleet.epochs[part] if mine else None

    def prior(self, name: str) -> int | None:
        return None

    def fresh(self) -> bool:
        return True


async def _run(
    fleet: Fleet, arrivals: list[tuple[float, int]]
) -> tuple[int, int]:
    """Returns how many requests a single bucket and the fleet admit.

    Checks that the fleet's admissions conform to the limit.

    Args:
        fleet: The limiters.
        arrivals: Time in seconds and host of each request.
    """
    customer = fleet.customer
    single, conforming = (
        bucket.Bucket(customer.rate, customer.burst, customer.burst, 0.0)
        for _ in range(2)
    )
    counts = {"single": 0, "fleet": 0}
    start_ms = fleet.clock.now_ms()

    async def admit_one(host: int) -> None:
        if await fleet.admit(host):
            now_ms = fleet.clock.now_ms() - start_ms
            assert conforming.take(now_ms, 1 - _ROUNDING_ERROR)
            counts["fleet"] += 1

    async with trio.open_nursery() as nursery:
        for each in fleet.limiters:
            nursery.start_soon(each.run)
        async with trio.open_nursery() as requests:
            for at_s, host in arrivals:
                await trio.sleep_until(start_ms / 1000 + at_s)
                counts["single"] += single.take(at_s * 1000, 1)
                requests.start_soon(admit_one, host)
        nursery.cancel_scope.cancel()
    return counts["single"], counts["fleet"]


def _arrivals(
    rate: float, seconds: float, hosts: int, seed: int
) -> list[tuple[float, int]]:
    rnd = random.Random(seed)
    gaps = iter(lambda: rnd.expovariate(rate), None)
    times = itertools.takewhile(
        lambda at: at < seconds, itertools.accumulate(gaps)
    )
    return [(at, rnd.randrange(hosts)) for at in times]


@pytest.mark.parametrize("spread", [1, 10])
@pytest.mark.parametrize(
    ("rate", "burst", "load"),
    [
        (1.0, 1, 0.8),
        (1.0, 2, 0.8),
        (2.0, 5, 0.9),
        (5.0, 20, 0.95),
        (20.0, 40, 0.8),
        (100.0, 100, 0.9),
        (200.0, 60, 0.9),
        (100.0, 100, 3.0),
    ],
)
async def test_fleet_without_faults_admits_what_one_bucket_admits(
    autojump_clock: trio.testing.MockClock,
    rate: float,
    burst: int,
    load: float,
    spread: int,
) -> None:
    """Guards against refusals within the limit and against over-admission."""
    fleet = Fleet(10, records.Customer("c", rate, burst))
    seconds = min(600.0, 4_000 / (rate * load))
    single, admitted = await _run(
        fleet, _arrivals(rate * load, seconds, spread, seed=burst)
    )
    assert admitted >= 0.999 * single


async def test_owner_that_dies_is_replaced_without_over_admission(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against tokens lent twice and against a stop of busy hosts.

    The owner of one part dies; the part has a new owner only 5 s later.
    """
    fleet = Fleet(6, records.Customer("c", 100.0, 100))

    async def fail_over() -> None:
        await trio.sleep(10)
        fleet.dead.add(0)
        await trio.sleep(5)
        fleet.owners[0], fleet.epochs[0] = 2, 2

    async with trio.open_nursery() as nursery:
        nursery.start_soon(fail_over)
        arrivals = _arrivals(60.0, 60.0, 5, seed=3)
        survivors = [(at, host + 1) for at, host in arrivals]
        single, admitted = await _run(fleet, survivors)
    assert single == len(arrivals)
    assert admitted >= 0.9 * single


async def test_lowered_rate_is_kept_within_the_time_to_live(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against continued use of pieces lent under the old limit."""
    fleet = Fleet(4, records.Customer("c", 100.0, 100))
    admitted = 0

    async def admit_one(host: int) -> None:
        nonlocal admitted
        admitted += await fleet.admit(host)

    async with trio.open_nursery() as nursery:
        for each in fleet.limiters:
            nursery.start_soon(each.run)
        async with trio.open_nursery() as requests:
            for at_s, host in _arrivals(200.0, 30.0, 4, seed=5):
                await trio.sleep_until(at_s)
                if at_s > 5:
                    fleet.customer = records.Customer("c", 10.0, 10)
                if at_s < 5 + lender.TTL_MS / 1000 + 1:
                    admitted = 0
                requests.start_soon(admit_one, host)
        nursery.cancel_scope.cancel()
    seconds = 30 - 5 - lender.TTL_MS / 1000 - 1
    assert admitted <= 10 * (seconds + 1) + 10


async def test_request_is_refused_in_time_without_any_owner(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against requests that wait for dead owners beyond 250 ms."""
    fleet = Fleet(3, records.Customer("c", 1.0, 4))
    fleet.dead = {0, 1}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.limiters[2].run)
        start_s = trio.current_time()
        assert not await fleet.admit(2)
        assert trio.current_time() - start_s <= 0.25 + _ROUNDING_ERROR
        nursery.cancel_scope.cancel()
