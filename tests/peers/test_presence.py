"""Tests of the exchange of reports between gateways."""

import pytest
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.peers import gateway_messages
from lacewingwood.peers import network as network_lib
from lacewingwood.peers import presence as presence_lib
from lacewingwood.peers import roster as roster_lib
from tests.jobs import fakes


class Node:
    """A gateway's presence over real connections."""

    def __init__(
        self, host: str, log: fakes.MemoryLog, zone: str = "z"
    ) -> None:
        self.host = host
        self.zone = zone
        self.admitted: dict[str, int] = {}
        self.digests: list[gateway_messages.ZoneDigest] = []
        self.log = log
        self.running: dict[str, tuple[int, int]] = {}
        self.reports: list[gateway_messages.GatewayReport] = []
        self.lost: list[str] = []
        self.owned: dict[int, int] = {}
        self.outcomes: dict[str, tuple[int, int]] = {}
        self.started_ms = 1
        self.urgent = False
        self.presence: presence_lib.Presence

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts the network and the presence of the gateway."""
        clock, metrics = clocks.MonotonicClock(), metrics_lib.Registry()
        self.network = network_lib.Network(self.host, metrics, clock)
        await self.network.serve("127.0.0.1", 0)
        nursery.start_soon(self.network.run)
        self.roster = roster_lib.Roster(
            self.host, self.zone, clock, lambda: 0.0
        )
        self.presence = presence_lib.Presence(
            self.roster,
            f"127.0.0.1:{self.network.port}",
            [],
            self.log,
            self.network,
            self._report,
            clock,
            metrics,
            self.started_ms,
        )
        self.presence.on_report = self.reports.append
        self.roster.on_peer_lost = self.lost.append
        self.presence.on_digest = self.digests.append
        self.presence.is_urgent = lambda: self.urgent
        nursery.start_soon(self.presence.run)

    def _report(self) -> gateway_messages.GatewayReport:
        address = f"127.0.0.1:{self.network.port}"
        return gateway_messages.GatewayReport(
            self.host,
            address,
            self.started_ms,
            0,
            dict(self.running),
            dict(self.admitted),
            self.owned,
            outcomes=dict(self.outcomes),
        )


async def _until(condition) -> None:  # type: ignore[no-untyped-def]
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.01)


async def test_gateways_receive_reports_and_notice_a_stop() -> None:
    """Guards against load and owners that other gateways do not know."""
    log = fakes.MemoryLog()
    a, b = Node("a", log), Node("b", log)
    async with trio.open_nursery() as nursery:
        await a.start(nursery)
        await b.start(nursery)
        await _until(lambda: a.reports and b.reports)
        assert a.roster.reachable_share() == 1.0
        a.running["r0"] = (2, 1)
        a.owned[4] = 7
        a.presence.schedule_report()
        await _until(lambda: b.reports[-1].running == {"r0": (2, 1)})
        found = b.roster.owner_at(4)
        assert found is not None
        assert found[1] == 7
        await a.presence.leave()
        await _until(lambda: b.lost == ["a"])
        assert b.roster.owner_at(4) is None
        assert b.roster.reachable_share() == 1.0
        nursery.cancel_scope.cancel()


async def test_peer_that_becomes_silent_keeps_its_share() -> None:
    """Guards against one side of a partition that admits the whole rate."""
    log = fakes.MemoryLog()
    a, b = Node("a", log), Node("b", log)
    async with trio.open_nursery() as nursery:
        await a.start(nursery)
        async with trio.open_nursery() as other:
            await b.start(other)
            await _until(lambda: a.reports and b.reports)
            other.cancel_scope.cancel()
        await _until(lambda: a.lost == ["b"])
        assert a.roster.reachable_share() == 0.5
        nursery.cancel_scope.cancel()


async def test_large_fleet_sends_digests_to_other_zones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against reports across zones, and zones that learn nothing."""
    monkeypatch.setattr(presence_lib, "_MIN_PEERS_FOR_HUBS", 3)
    log = fakes.MemoryLog()
    nodes = [Node(f"{z}{n}", log, z) for z in "ab" for n in range(3)]
    async with trio.open_nursery() as nursery:
        for node in nodes:
            await node.start(nursery)
        await _until(
            lambda: all(len(n.roster.live_peers()) == 5 for n in nodes)
        )
        await trio.sleep(0.5)
        nodes[0].running["r0"] = (2, 0)
        nodes[1].running["r0"] = (1, 1)
        nodes[1].admitted["c"] = 7
        nodes[2].owned[4] = 9
        nodes[0].outcomes["r0"] = (200, 100)
        nodes[1].outcomes["r0"] = (100, 0)
        for node in nodes[:3]:
            node.reports.clear()
            node.presence.schedule_report()
        far = nodes[5]

        def digest_arrived() -> bool:
            last = far.digests[-1] if far.digests else None
            if last is None or last.running.get("r0") != (3, 1):
                return False
            if last.outcomes.get("r0") != (300, 100):
                return False
            counts = {h.host: h.admitted for h in last.hosts}
            return counts.get("a1") == {"c": 7}

        await _until(digest_arrived)
        await _until(lambda: far.roster.owner_at(4) is not None)
        assert all(r.host[0] == "a" for n in nodes[:3] for r in n.reports)
        nursery.cancel_scope.cancel()


async def test_reports_after_a_restart_with_a_clock_set_back_are_accepted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against ignoring a gateway because its clock was set back."""
    monkeypatch.setattr(roster_lib, "REPORT_TIMEOUT_MS", 150.0)
    log = fakes.MemoryLog()
    a, b, restarted = Node("a", log), Node("b", log), Node("b", log)
    b.started_ms, restarted.started_ms = 5_000, 3_000
    async with trio.open_nursery() as nursery:
        await a.start(nursery)
        async with trio.open_nursery() as other:
            await b.start(other)
            await _until(lambda: a.reports)
            other.cancel_scope.cancel()
        await _until(lambda: a.lost == ["b"])
        a.reports.clear()
        await restarted.start(nursery)
        await _until(lambda: a.reports and a.reports[-1].started_ms == 3_000)
        nursery.cancel_scope.cancel()


async def test_zone_replaces_hubs_that_stopped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a zone without reports after its hubs have stopped."""
    monkeypatch.setattr(presence_lib, "_MIN_PEERS_FOR_HUBS", 3)
    log = fakes.MemoryLog()
    nodes = [Node(f"a{n}", log, "a") for n in range(5)]
    async with trio.open_nursery() as nursery:
        async with trio.open_nursery() as hubs:
            for node in nodes:
                await node.start(hubs if node.host < "a2" else nursery)
            await _until(
                lambda: all(len(n.roster.live_peers()) == 4 for n in nodes)
            )
            hubs.cancel_scope.cancel()
        rest = nodes[2:]
        await _until(lambda: all(len(n.roster.live_peers()) == 2 for n in rest))
        nodes[4].running["r0"] = (3, 0)
        nodes[4].presence.schedule_report()
        await _until(
            lambda: any(r.running == {"r0": (3, 0)} for r in nodes[2].reports)
        )
        nursery.cancel_scope.cancel()


async def test_number_of_reports_does_not_grow_with_the_zone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against reports from all to all in a large zone."""
    monkeypatch.setattr(presence_lib, "_MIN_PEERS_FOR_HUBS", 3)
    log = fakes.MemoryLog()
    nodes = [Node(f"a{n}", log, "a") for n in range(8)]
    async with trio.open_nursery() as nursery:
        for node in nodes:
            await node.start(nursery)
        await _until(
            lambda: all(len(n.roster.live_peers()) == 7 for n in nodes)
        )
        await trio.sleep(1)
        sent: list[str] = []
        last = nodes[-1]
        send = last.network.send
        monkeypatch.setattr(
            last.network,
            "send",
            lambda address, message: (
                sent.append(address)
                or send(  # type: ignore[func-returns-value]
                    address, message
                )
            ),
        )
        for _ in range(20):
            last.presence.schedule_report()
            await trio.sleep(0.05)
        assert len(set(sent)) == 2
        assert 2 <= len(sent) <= 12
        nursery.cancel_scope.cancel()


async def test_urgent_counts_reach_other_zones_without_delay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against exceeding a limit because hubs delay urgent counts."""
    monkeypatch.setattr(presence_lib, "_MIN_PEERS_FOR_HUBS", 3)
    log = fakes.MemoryLog()
    nodes = [Node(f"{z}{n}", log, z) for z in "ab" for n in range(4)]
    near, far = nodes[3], nodes[7]
    near.urgent = True
    async with trio.open_nursery() as nursery:
        for node in nodes:
            await node.start(nursery)
        await _until(
            lambda: all(len(n.roster.live_peers()) == 7 for n in nodes)
        )
        await trio.sleep(1)
        delays = []
        for count in range(1, 6):
            near.admitted["c"] = count
            near.presence.schedule_report()
            started = trio.current_time()

            def digest_arrived(count: int = count) -> bool:
                hosts = far.digests[-1].hosts if far.digests else []
                return any(h.admitted.get("c") == count for h in hosts)

            await _until(digest_arrived)
            delays.append(trio.current_time() - started)
        # The report, the hub and the hub of the other zone each cause one pause
        # at most.
        assert sorted(delays)[2] < 0.3
        nursery.cancel_scope.cancel()
