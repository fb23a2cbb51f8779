"""Tests of runs of items at replicas."""

import contextlib
import math
from collections.abc import AsyncIterator

import msgspec
import pytest
import trio
from structlog import testing
from trio import testing as trio_testing

from lacewingwood import clock as clocks
from lacewingwood import configuration
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import item_tasks
from lacewingwood.jobs import payloads
from lacewingwood.jobs import records
from lacewingwood.jobs import running
from lacewingwood.log import errors as log_errors
from lacewingwood.routing import directory
from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import load
from lacewingwood.routing import origins
from lacewingwood.routing import outliers
from lacewingwood.routing import slots as slots_lib
from lacewingwood.upstreams import errors as upstream_errors
from lacewingwood.upstreams import event_stream
from lacewingwood.upstreams import runs
from tests.jobs import fakes

ROUTE = configuration.Route(
    name="items",
    host="h",
    path_prefix="/",
    kind=configuration.RouteKind.BATCH,
    targets=(configuration.Target("s", 1.0),),
    max_attempts=3,
)


class _Run:
    """An answer with a status and a complete event stream.

    A negative status is that of a refusal.
    """

    def __init__(self, status: int) -> None:
        self.status = abs(status)
        self.headers: runs.Headers = []
        self.refused = status < 0
        self.misdirected = status == -421
        self.notice = runs.Notice()
        self._chunks = [b"id: 1\ndata: x\n\n", b""]

    async def next_chunk(self, limit_ms: float = math.inf) -> bytes:
        """Returns the next chunk."""
        return self._chunks.pop(0)


class _Replicas:
    """Answers with the given statuses; None breaks the connection."""

    def __init__(self, statuses: list[int | None]) -> None:
        self.statuses = statuses
        self.fresh: list[bool] = []

    @contextlib.asynccontextmanager
    async def open(
        self,
        replica: directory.Listing,
        work: runs.Work,
        remaining_ms: float,
        resume_after: int | None = None,
        head_limit_ms: float = math.inf,
        fresh: bool = False,
    ) -> AsyncIterator[_Run]:
        """Yields the next answer."""
        self.fresh.append(fresh)
        status = self.statuses.pop(0)
        if status is None:
            raise upstream_errors.BrokenError("reset")
        yield _Run(status)

    async def has_stopped(self, replica: directory.Listing) -> bool:
        """Returns False."""
        return False


class RunnerHarness:
    """Runs one item at replicas with the given answers."""

    def __init__(self, statuses: list[int | None], replicas: int = 4) -> None:
        self.clock = clocks.ManualClock()
        fleet = load.Fleet()
        for n in range(replicas):
            fleet.directory.put(
                directory.Listing(f"r{n}", "s", f"10.0.0.{n}:80", "z", 8)
            )
        fleet.refresh()
        self.fleet = fleet
        metrics = metrics_lib.Registry()
        self.dispatcher = dispatchers.Dispatcher(
            fleet, "z", self.clock, metrics
        )
        self.replicas = _Replicas(statuses)
        self.runner = running.ItemRunner(
            self.dispatcher, self.replicas, self.clock, metrics
        )
        job = fakes.make_job("job", 1).job
        self.silent = False
        self.task = item_tasks.ItemTask(job, 0, payloads.Payload(b"{}"))

    async def run_at(self, replica_id: str) -> records.Result | None:
        """Runs the item at one replica."""
        replica = self.fleet.get(replica_id)
        assert replica is not None
        replica.own_counts[1] += 1
        slot = slots_lib.Slot(replica, load.WorkKind.BATCH)
        return await self.runner.run(self.task, slot, ROUTE)


async def test_item_that_fails_at_several_replicas_is_given_up() -> None:
    """Guards against an item that can't be completed and runs for ever."""
    harness = RunnerHarness([500, 500, 500])
    assert await harness.run_at("r0") is None
    assert await harness.run_at("r1") is None
    result = await harness.run_at("r2")
    assert result is not None
    assert not result.completed


async def test_one_failing_replica_does_not_end_an_item() -> None:
    """Guards against an item given up for one replica's partial failure."""
    harness = RunnerHarness([500, 500, 500, 200])
    for _ in range(3):
        assert await harness.run_at("r0") is None
    result = await harness.run_at("r1")
    assert result is not None
    assert result.completed


async def test_item_that_always_fails_has_a_bounded_number_of_runs() -> None:
    """Guards against more than 3 times the route's max_attempts."""
    harness = RunnerHarness([500] * 20)
    run_count = 1
    while await harness.run_at("r0") is None:
        run_count += 1
    assert run_count <= 3 * ROUTE.max_attempts


async def test_first_failure_counts_against_the_replica() -> None:
    """Guards against unnoticed partial failures and blamed sound replicas."""
    harness = RunnerHarness([500, 500])
    await harness.run_at("r0")
    await harness.run_at("r1")
    counts = {
        i: r.outcomes.counts(0)
        for i in ("r0", "r1")
        if (r := harness.fleet.get(i))
    }
    assert counts == {"r0": (0, outliers.UNITS), "r1": (0, 0)}


@pytest.mark.parametrize("status", [408, 421, 429, 503, 504])
async def test_error_that_is_no_failed_attempt_is_noted(status: int) -> None:
    """Guards against runs again and again at a replica that fails them.

    Such a run counts against the replica and delays the next one more each
    time, but does not end the item.
    """
    harness = RunnerHarness([*[status] * 12, 200])
    delays = []
    with testing.capture_logs() as lines:
        for n in range(12):
            assert await harness.run_at(f"r{n % 2}") is None
            now_ms = harness.clock.now_ms()
            delays.append(harness.task.not_before_ms - now_ms)
    assert delays[3] > 2 * delays[0] > 0
    assert max(delays) <= 2_500
    assert harness.task.failures == 0
    counts = [r.outcomes.counts(0) for r in harness.fleet.all()]
    assert sorted(counts) == [(0, 0)] * 3 + [(0, outliers.UNITS)]
    failed = [line for line in lines if line["event"] == "item run failed"]
    assert [line["code"] for line in failed] == [f"status_{status}"] * 12
    result = await harness.run_at("r2")
    assert result is not None
    assert result.completed


async def test_replica_whose_address_another_has_gets_no_more_items() -> None:
    """Guards against items for a replica that is gone, one after another.

    A replica that is full is asked again soon; the one of another service that
    has the address now is none to ask.
    """
    harness = RunnerHarness([-421, -503])
    for replica_id in ("r0", "r1"):
        assert await harness.run_at(replica_id) is None
    gone, full = harness.fleet.get("r0"), harness.fleet.get("r1")
    assert gone is not None
    assert full is not None
    assert (gone.failures, full.failures) == (1, 0)
    assert harness.task.failures == harness.task.breaks == 0


async def test_item_whose_replicas_crash_runs_again_soon() -> None:
    """Guards against an item that is not placed after a burst of crashes."""
    harness = RunnerHarness([None] * 12 + [200])
    for n in range(12):
        assert await harness.run_at(f"r{n % 4}") is None
        assert harness.task.not_before_ms - harness.clock.now_ms() <= 2_500
    result = await harness.run_at("r0")
    assert result is not None
    assert result.completed


async def test_item_that_broke_once_gets_a_fresh_connection() -> None:
    """Guards against runs on connections that the replica has closed."""
    harness = RunnerHarness([None, 200])
    await harness.run_at("r0")
    result = await harness.run_at("r1")
    assert result is not None
    assert harness.replicas.fresh == [False, True]


async def test_item_starts_again_at_another_version() -> None:
    """Guards against a result that two software versions wrote."""
    harness = RunnerHarness([200])
    harness.task.events = event_stream.Splitter(5)
    harness.task.add_output([b"old"])
    harness.task.origin = origins.Origin("s", "earlier")
    result = await harness.run_at("r0")
    assert result is not None
    assert result.output == b"x"


async def test_item_goes_on_at_its_version() -> None:
    """Guards against work that is done again for nothing."""
    harness = RunnerHarness([200])
    harness.task.events = event_stream.Splitter(0)
    harness.task.add_output([b"old"])
    harness.task.origin = origins.Origin("s", "")
    result = await harness.run_at("r0")
    assert result is not None
    assert result.output == b"old\nx"


async def test_item_that_can_not_be_sent_is_given_up() -> None:
    """Guards against records of older releases that end each process.

    A submission of this kind is refused today.
    """
    harness = RunnerHarness([200])
    job = harness.task.job
    odd = records.Item("\u20ac", "/p", [], 1)
    harness.task.job = msgspec.structs.replace(job, items=[odd])
    result = await harness.run_at("r0")
    assert result is not None
    assert not result.completed
    assert harness.replicas.statuses == [200]


async def test_unexpected_error_ends_one_run_only() -> None:
    """Guards against an item that ends the process, and all others with it."""
    harness = RunnerHarness([])
    results = [await harness.run_at("r0") for _ in range(6)]
    assert results[:5] == [None] * 5
    assert results[5] is not None
    assert not results[5].completed
    replica = harness.fleet.get("r0")
    assert replica is not None
    assert replica.own_counts[1] == 0


async def test_item_whose_body_can_not_be_read_waits(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against giving up items, or blaming replicas, for the log."""

    class Unreadable(payloads.Payload):
        __slots__ = ()

        async def load(self) -> bytes:
            if harness.silent:
                await trio.sleep_forever()
            raise log_errors.UnavailableError("down", False)

    harness = RunnerHarness([200])
    harness.task.body = Unreadable(b"")
    for harness.silent in (False, True):
        started = trio.current_time()
        assert await harness.run_at("r0") is None
        assert trio.current_time() - started <= 1.0
        assert harness.task.not_before_ms > harness.clock.now_ms()
    assert harness.task.failures == harness.task.breaks == 0
    replica = harness.fleet.get("r0")
    assert replica is not None
    assert replica.failures == 0
    harness.task.body = payloads.Payload(b"{}")
    result = await harness.run_at("r0")
    assert result is not None
    assert result.completed
