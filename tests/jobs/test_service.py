"""Tests of callers' operations on jobs at any gateway."""

import contextlib
from collections.abc import AsyncIterator

import pytest
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import appending
from lacewingwood.jobs import errors
from lacewingwood.jobs import ownership as ownerships
from lacewingwood.jobs import service as services
from lacewingwood.log import compacted
from lacewingwood.peers import network as network_lib
from tests.jobs import fakes

KEY = "j/kaje/job"


class Peers:
    """What a gateway believes of the others."""

    def __init__(self) -> None:
        self.reachers: list[str] = []
        self.alone = False
        self.lost = False
        self.owner: tuple[str, int] | None = None

    def owner_at(self, partition: int) -> tuple[str, int] | None:
        """Returns the owner."""
        return self.owner

    def peers_reaching_log(self) -> list[str]:
        """Returns peers that the log answered."""
        return self.reachers

    def log_lost(self) -> bool:
        """Returns whether the log has not answered."""
        return self.lost

    def isolated(self) -> bool:
        """Returns whether no peer is heard."""
        return self.alone


class Node:
    """A gateway's job service with its own way to the log."""

    def __init__(self, host: str, core: fakes.MemoryLog) -> None:
        self.log = fakes.MemoryLog()
        self.log.core = core.core
        self.peers = Peers()
        clock, metrics = clocks.MonotonicClock(), metrics_lib.Registry()
        self.network = network_lib.Network(host, metrics, clock)
        self.partitions = [fakes.PARTITION]

        def no_owner(*args: object) -> None:
            raise AssertionError("owns nothing")

        ownership = ownerships.Ownership(
            None,  # type: ignore[arg-type]
            host,
            self.partitions,
            no_owner,  # type: ignore[arg-type]
            lambda index: None,
            no_owner,  # type: ignore[arg-type]
            clock,
            metrics,
        )
        self.service = services.JobService(
            self.log,
            self.partitions,
            ownership,
            self.network,
            self.peers,
            clock,
            metrics,
            max_record_bytes=1_000,
            max_append_bytes=2_000,
        )

    @property
    def address(self) -> str:
        """Where its peers reach it."""
        return f"127.0.0.1:{self.network.port}"


@contextlib.asynccontextmanager
async def two_nodes() -> AsyncIterator[tuple[Node, Node]]:
    """Runs two gateways' job services over one log."""
    core = fakes.MemoryLog()
    a, b = Node("a", core), Node("b", core)
    async with trio.open_nursery() as nursery:
        for node in (a, b):
            await node.network.serve("127.0.0.1", 0)
            nursery.start_soon(node.network.run)
        yield a, b
        nursery.cancel_scope.cancel()


def _exists(node: Node) -> bool:
    part = node.log.core.partition(fakes.PARTITION.topic, 0)
    return KEY in part.newest


async def test_job_is_accepted_once_it_is_on_the_log() -> None:
    """Guards against a job that is accepted and then lost."""
    async with two_nodes() as (a, _):
        await a.service.submit(fakes.make_job())
        assert _exists(a)


async def test_gateway_cut_off_from_the_log_uses_a_peer() -> None:
    """Guards against jobs refused while only one machine is turned away."""
    async with two_nodes() as (a, b):
        a.log.down = True
        a.peers.reachers = [b.address]
        await a.service.submit(fakes.make_job())
        assert _exists(b)


async def test_silent_log_is_passed_by_within_the_objective() -> None:
    """Guards against a job accepted too late to count.

    Seed: kalitanggul-serve scale-2, where a gateway that was cut off from the
    store tried it for half a second before it asked a peer.
    """
    async with two_nodes() as (a, b):
        a.peers.reachers = [b.address]

        async def never(*args: object) -> None:
            await trio.sleep_forever()

        a.log.append = never  # type: ignore[method-assign]
        for lost in (False, True):
            a.peers.lost = lost
            with trio.fail_after(0.3):
                await a.service.submit(fakes.make_job(f"job-{lost}"))


async def test_gateway_on_its_own_refuses_at_once() -> None:
    """Guards against a caller held where no job can be accepted.

    Seed: kalitanggul-serve scale-2, where a gateway that was cut off held a
    job for 1.9 s and its results were late.
    """
    async with two_nodes() as (a, _):
        a.log.down = True
        a.peers.alone = True
        with trio.fail_after(1), pytest.raises(errors.NotAcceptedError):
            await a.service.submit(fakes.make_job())


async def test_unclear_append_is_not_called_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against 503 for a job that runs later."""
    monkeypatch.setattr(appending, "_SUBMIT_MS", 50.0)
    async with two_nodes() as (a, _):
        a.log.late = 5
        with pytest.raises(errors.UnclearError):
            await a.service.submit(fakes.make_job())


async def test_large_job_exists_only_with_all_its_parts() -> None:
    """Guards against half a job after an append that failed."""
    async with two_nodes() as (a, _):
        job = fakes.make_job(items=20)
        large = type(job)(job.job, [b"x" * 500] * 20)
        calls = a.service._appender.split(
            fakes.submission_records(large),
        )
        assert len(calls) > 1
        assert calls[-1][-1].key == KEY
        await a.service.submit(large)
        assert _exists(a)


async def test_item_that_the_log_cannot_take_is_refused() -> None:
    """Guards against a job that can never be accepted, tried for ever."""
    async with two_nodes() as (a, _):
        job = fakes.make_job(items=1)
        with pytest.raises(errors.InvalidJobError):
            await a.service.submit(type(job)(job.job, [b"x" * 5_000]))


async def test_without_an_owner_nothing_is_denied() -> None:
    """Guards against 404 from a gateway that can't know."""
    async with two_nodes() as (a, b):
        with pytest.raises(errors.UnsureError):
            await a.service.read("kaje", "job", 0, 0)
        a.peers.owner = (b.address, 1)
        with pytest.raises(errors.UnsureError):
            await a.service.read("kaje", "job", 0, 0)


async def test_end_without_an_owner_goes_to_the_log() -> None:
    """Guards against an end that is lost while the owner is away."""
    async with two_nodes() as (a, _):
        await a.service.end("kaje", "job")
        part = a.log.core.partition(fakes.PARTITION.topic, 0)
        assert "e/kaje/job" in part.newest


def test_all_gateways_agree_on_the_partitions() -> None:
    """Guards against a job that two gateways look for in two places."""
    first = services.partitions(8)
    assert first == services.partitions(8)
    assert first[0] == compacted.Partition("jobs-0", 0)
    assert len(set(first)) == 24
