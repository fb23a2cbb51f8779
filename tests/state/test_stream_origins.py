"""Tests of what gateways know of the version that began a stream."""

import contextlib
import dataclasses
from collections.abc import AsyncIterator

import trio
from trio import testing as trio_testing

from lacewingwood import metrics as metrics_lib
from lacewingwood.log import compacted
from lacewingwood.routing import directory
from lacewingwood.routing import load
from lacewingwood.routing import origins
from lacewingwood.state import software_versions
from lacewingwood.state import stream_journal
from lacewingwood.state import stream_origins
from tests.jobs import fakes
from tests.routing import fleets

_SERVICES = ["s"]
_V1, _V2 = origins.Origin("s", "v1"), origins.Origin("s", "v2")


@dataclasses.dataclass(slots=True)
class _Peer:
    host: str
    address: str


class _Roster:
    """The other gateways of a test's fleet, running or not."""

    def __init__(self, fleet: "_Fleet", host: str) -> None:
        self._fleet, self._host = fleet, host

    def expected_peers(self) -> list[_Peer]:
        return [
            _Peer(host, host)
            for host in self._fleet.gateways
            if host != self._host
        ]


class _Gateway:
    """What one gateway knows; lists the replicas that it is told of."""

    def __init__(self, fleet: "_Fleet", host: str, *versions: str) -> None:
        clock, metrics = fleets.Clock(), metrics_lib.Registry()
        self.versions = software_versions.SoftwareVersions(
            fleet.log, clock, fleet.wall_ms, metrics
        )
        self.journal = stream_journal.StreamJournal(
            fleet.log,
            host,
            lambda: 3,
            fleet.partitions,
            clock,
            fleet.wall_ms,
            metrics,
        )
        self.origins = stream_origins.StreamOrigins(
            self.versions,
            self.journal,
            fleets.Network(fleet.bus, host),  # type: ignore[arg-type]
            _Roster(fleet, host),  # type: ignore[arg-type]
            clock,
            metrics,
        )
        self.scope = trio.CancelScope()
        self.list_replicas(*versions)

    def list_replicas(self, *versions: str) -> None:
        """Replaces the listed replicas."""
        self.replicas = [
            load.Replica(
                directory.Listing(f"r{n}", "s", "h:1", "z", 8, version=version)
            )
            for n, version in enumerate(versions)
        ]
        self.versions.update(self.replicas)

    async def run(self) -> None:
        """Runs until the scope is cancelled."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.versions.run)
                nursery.start_soon(self.journal.run)

    async def begin(self, request_id: str, index: int = 0) -> None:
        """Begins a stream at one of the listed replicas."""
        key = origins.stream_key("c", request_id)
        await self.origins.note_begun(key, self.replicas[index], _SERVICES)

    async def find(self, request_id: str) -> origins.Origin | None:
        """Finds the origin of a stream that is taken up here."""
        key = origins.stream_key("c", request_id)
        return await self.origins.find(key, _SERVICES, "new")


class _Fleet:
    """Gateways on one log."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.log = fakes.MemoryLog()
        self.bus = fleets.Bus(nursery, delay_ms=1.0)
        self.gateways: dict[str, _Gateway] = {}
        self.partitions = 8
        self._nursery = nursery

    def wall_ms(self) -> int:
        """Returns the simulated time."""
        return 1_000_000_000_000 + int(trio.current_time() * 1000)

    async def start(self, host: str, *versions: str) -> _Gateway:
        """Starts a gateway and waits until it has read the log."""
        gateway = self.gateways[host] = _Gateway(self, host, *versions)
        self._nursery.start_soon(gateway.run)
        await trio.sleep(0.5)
        return gateway

    def kill(self, *hosts: str) -> None:
        """Ends gateways; the others do not know it."""
        for host in hosts:
            self.gateways[host].scope.cancel()
            self.bus.silent.add(host)

    def appends(self, topic: str) -> int:
        """Returns the number of records of a topic."""
        parts = range(stream_journal.PARTITIONS)
        return sum(self.log.core.partition(topic, n).end for n in parts)


@contextlib.asynccontextmanager
async def _running_fleet() -> AsyncIterator[_Fleet]:
    async with trio.open_nursery() as nursery:
        yield _Fleet(nursery)
        nursery.cancel_scope.cancel()


async def test_only_version_is_known_after_the_loss_of_all_gateways(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a cost, or refusals, while there is a single version."""
    async with _running_fleet() as fleet:
        old = await fleet.start("a", "v1", "v1")
        started_s = trio.current_time()
        await old.begin("r-1")
        assert trio.current_time() == started_s
        assert not fleet.appends("streams")
        fleet.kill("a")
        new = await fleet.start("b", "v1", "v1")
        assert await new.find("r-1") == _V1


async def test_journal_tells_the_version_after_the_loss_of_all_gateways(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against streams joined after all gateways were killed at once."""
    async with _running_fleet() as fleet:
        old = await fleet.start("a", "v1", "v2")
        await old.begin("r-1", 0)
        await old.begin("r-2", 1)
        fleet.kill("a")
        new = await fleet.start("b", "v1", "v2")
        assert await new.find("r-1") == _V1
        assert await new.find("r-2") == _V2
        assert await new.find("r-3") is None


async def test_log_may_have_a_single_partition_for_each_topic(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a journal on partitions that do not exist."""
    async with _running_fleet() as fleet:
        fleet.partitions = 1
        for host in ("a", "b", "c", "d"):
            gateway = await fleet.start(host, "v1", "v2")
            await gateway.begin(f"r-{host}", 1)
        assert fleet.appends("streams") == 4
        assert fleet.log.core.partition("streams", 0).end == 4
        fleet.kill("a", "b", "c", "d")
        new = await fleet.start("e", "v1", "v2")
        assert await new.find("r-c") == _V2


async def test_stream_of_a_version_that_has_left_is_not_taken_for_the_new_one(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against guessing by the replicas that are listed now."""
    async with _running_fleet() as fleet:
        old = await fleet.start("a", "v1", "v1")
        fleet.kill("a")
        await old.begin("r-1")
        new = await fleet.start("b", "v2", "v2")
        assert await new.find("r-1") is None


async def test_streams_begun_before_a_second_version_are_known(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against refusing the streams that ran when a release began."""
    async with _running_fleet() as fleet:
        old = await fleet.start("a", "v1", "v1")
        await old.begin("r-1")
        old.list_replicas("v1", "v2")
        await trio.sleep(0.5)
        fleet.kill("a")
        new = await fleet.start("b", "v2", "v2")
        assert await new.find("r-1") == _V1


async def test_late_list_of_versions_is_no_reason_to_guess(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a gateway that has not heard of a second version."""
    async with _running_fleet() as fleet:
        late = await fleet.start("a", "v1")
        early = await fleet.start("b", "v1", "v2")
        await early.begin("r-1", 1)
        fleet.kill("b")
        assert await late.find("r-1") == _V2


async def test_peers_tell_the_version_while_the_log_is_down(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against refusals in an outage of the log."""
    async with _running_fleet() as fleet:
        first = await fleet.start("a", "v1", "v2")
        second = await fleet.start("b", "v1", "v2")
        fleet.log.down = True
        await first.begin("r-1", 1)
        assert await second.find("r-1") == _V2
        assert await second.find("r-2") is None


async def test_silent_peer_may_know_of_another_version(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against guessing while the log and a gateway are out of reach."""
    async with _running_fleet() as fleet:
        gateway = await fleet.start("a", "v1")
        await fleet.start("b", "v1")
        fleet.log.down = True
        assert await gateway.find("r-1") == _V1
        fleet.bus.silent.add("b")
        assert await gateway.find("r-1") is None


async def test_slow_log_delays_the_first_event_by_little(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against streams that wait for a log that does not answer."""
    async with _running_fleet() as fleet:
        gateway = await fleet.start("a", "v1", "v2")
        fleet.log.down = True
        started_s = trio.current_time()
        await gateway.begin("r-1")
        assert trio.current_time() - started_s < 0.05
        fleet.log.down = False
        await trio.sleep(1)
        fleet.kill("a")
        new = await fleet.start("b", "v1", "v2")
        assert await new.find("r-1") == _V1


async def test_version_is_not_used_before_the_log_knows_it(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against streams at a version that later gateways never hear of."""
    async with _running_fleet() as fleet:
        gateway = await fleet.start("a", "v1")
        fleet.log.down = True
        gateway.list_replicas("v1", "v2")
        await trio.sleep(1)
        pending = [replica.version_pending for replica in gateway.replicas]
        assert pending == [False, True]
        fleet.log.down = False
        await trio.sleep(1)
        assert not gateway.replicas[1].version_pending


async def test_version_without_replicas_is_forgotten(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a journal that is written for ever after one release."""
    async with _running_fleet() as fleet:
        gateway = await fleet.start("a", "v1", "v2")
        gateway.list_replicas("v2")
        await trio.sleep(2_000)
        assert gateway.versions.of_services(_SERVICES) == {_V2}
        later = await fleet.start("b", "v2")
        assert await later.find("r-1") == _V2


async def test_long_journal_is_read_to_its_end(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a stream called unknown as others follow in the log.

    One read of the log returns a part of the records only.
    """
    async with _running_fleet() as fleet:
        new = await fleet.start("b", "v1", "v2")
        assert await new.find("r-0") is None
        old = await fleet.start("a", "v1", "v2")
        for n in range(40):
            await old.begin(f"r-{n}", n % 2)
            await trio.sleep(0.01)
        fleet.kill("a")
        fleet.log.max_read_kb = 1
        assert await new.find("r-39") == _V2


async def test_many_versions_are_confirmed_to_the_last(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a version that is unknown as one read is too short."""
    async with _running_fleet() as fleet:
        gateway = await fleet.start("a", "v1")
        fleet.log.max_read_kb = 1
        names = [f"{n:050}" for n in range(40)]
        fleet.gateways["b"] = _Gateway(fleet, "b", *names)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.gateways["b"].versions.run)
            await trio.sleep(0.02)
            assert await gateway.versions.confirm()
            assert origins.Origin("s", names[-1]) in (
                gateway.versions.of_services(_SERVICES)
            )
            nursery.cancel_scope.cancel()


async def test_malformed_records_are_passed_over(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a record of another program that stops a gateway."""
    async with _running_fleet() as fleet:
        junk = [compacted.Record("x", b"\xc1"), compacted.Record("y", b"[]")]
        await fleet.log.append(software_versions.VERSIONS, junk)
        for number in range(stream_journal.PARTITIONS):
            part = compacted.Partition("streams", number)
            await fleet.log.append(part, junk)
        gateway = await fleet.start("a", "v1", "v2")
        await gateway.begin("r-1", 1)
        fleet.kill("a")
        new = await fleet.start("b", "v1", "v2")
        assert await new.find("r-1") == _V2


def test_stream_with_two_origins_is_unknown() -> None:
    """Guards against a guess if a request's id was used twice."""
    beginnings = origins.Beginnings()
    beginnings.note(1, _V1, 0)
    beginnings.note(1, _V1, 1)
    assert beginnings.get(1) == _V1
    beginnings.note(1, _V2, 2)
    assert beginnings.get(1) is None
    assert beginnings.since(0) == []
