"""Tests of a gateway's share of the partitions."""

import math

import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import owner as owners
from lacewingwood.jobs import ownership as ownerships
from lacewingwood.jobs import payloads
from lacewingwood.log import compacted
from lacewingwood.routing import origins
from lacewingwood.upstreams import event_stream
from tests.jobs import fakes


class _Groups:
    """Assigns the partition to the only member."""

    async def join(self, *args: object) -> compacted.Assignment:
        await trio.lowlevel.checkpoint()
        return compacted.Assignment(1, frozenset([fakes.PARTITION]))

    async def leave(self, *args: object) -> None:
        await trio.lowlevel.checkpoint()


def _only_task_is_at(scheduler: fakes.FakeScheduler, event: int) -> bool:
    return [t.events.last_id for t in scheduler.tasks] == [event]


async def test_owner_that_was_fenced_owns_its_partition_again() -> None:
    """Guards against a partition without an owner until the next change.

    Its items go on from where they were.
    """
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    clock, metrics = clocks.MonotonicClock(), metrics_lib.Registry()

    def make_owner(
        index: int, partition: compacted.Partition, epoch: int
    ) -> owners.Owner:
        return owners.Owner(
            index,
            partition,
            epoch,
            log,
            payloads.Cache(log, math.inf, metrics),
            scheduler,  # type: ignore[arg-type]
            clock,
            lambda: 0,
            metrics,
            retention_ms=120_000,
        )

    async def hand_over(*args: object) -> None:
        raise AssertionError("there is no other gateway")

    ownership = ownerships.Ownership(
        _Groups(),
        "host-1",
        [fakes.PARTITION],
        make_owner,
        lambda index: None,
        hand_over,
        clock,
        metrics,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ownership.run)
        submission = fakes.submission_records(fakes.make_job(items=1))
        await log.append(fakes.PARTITION, submission)
        with trio.fail_after(3):
            while not scheduler.tasks:
                await trio.sleep(0.01)
        (task,) = scheduler.tasks
        task.events = event_stream.Splitter(7)
        task.output = [b"seven events"]
        task.origin = origins.Origin("s", "v1")
        first = ownership.owner(0)
        assert first is not None
        first.lost.set()
        with trio.fail_after(6):
            while not _only_task_is_at(scheduler, 7) or task in scheduler.tasks:
                await trio.sleep(0.01)
        (resumed,) = scheduler.tasks
        assert resumed.output == [b"seven events"]
        assert resumed.origin == task.origin
        assert ownership.owner(0) is not first
        nursery.cancel_scope.cancel()


async def test_gateway_that_is_no_candidate_does_not_join() -> None:
    """Guards against calls of hundreds of gateways that own nothing."""
    joins = 0

    class Groups(_Groups):
        """Counts the calls."""

        async def join(self, *args: object) -> compacted.Assignment:
            nonlocal joins
            joins += 1
            return await super().join(*args)

    def no_owner(*args: object) -> owners.Owner:
        raise AssertionError("owns nothing")

    ownership = ownerships.Ownership(
        Groups(),
        "host-1",
        [fakes.PARTITION],
        no_owner,
        lambda index: None,
        no_owner,  # type: ignore[arg-type]
        clocks.MonotonicClock(),
        metrics_lib.Registry(),
        is_candidate=lambda: False,
    )
    with trio.move_on_after(1.2):
        await ownership.run()
    assert joins == 0
