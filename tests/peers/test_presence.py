"""Tests of gateways that know and hear each other."""

import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.peers import messages
from lacewingwood.peers import network as network_lib
from lacewingwood.peers import presence as presence_lib
from tests.jobs import fakes


class Node:
    """A gateway's presence over real connections."""

    def __init__(self, host: str, log: fakes.MemoryLog) -> None:
        self.host = host
        self.log = log
        self.running: dict[str, tuple[int, int]] = {}
        self.heard: list[messages.GatewayReport] = []
        self.silent: list[str] = []
        self.owned: dict[int, int] = {}
        self.presence: presence_lib.Presence

    async def start(self, nursery: trio.Nursery) -> None:
        """Announces the gateway."""
        clock, metrics = clocks.MonotonicClock(), metrics_lib.Registry()
        self.network = network_lib.Network(self.host, metrics, clock)
        await self.network.serve("127.0.0.1", 0)
        nursery.start_soon(self.network.run)
        self.presence = presence_lib.Presence(
            self.host,
            "z",
            f"127.0.0.1:{self.network.port}",
            [],
            self.log,
            self.network,
            self._report,
            clock,
            metrics,
            1,
        )
        self.presence.on_report = self.heard.append
        self.presence.on_silent = self.silent.append
        nursery.start_soon(self.presence.run)

    def _report(self) -> messages.GatewayReport:
        address = f"127.0.0.1:{self.network.port}"
        return messages.GatewayReport(
            self.host, address, 1, 0, dict(self.running), {}, self.owned
        )


async def _until(condition) -> None:  # type: ignore[no-untyped-def]
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.01)


async def test_gateways_hear_each_other_and_notice_a_stop() -> None:
    """Guards against load and owners that are not known elsewhere."""
    log = fakes.MemoryLog()
    a, b = Node("a", log), Node("b", log)
    async with trio.open_nursery() as nursery:
        await a.start(nursery)
        await b.start(nursery)
        await _until(lambda: a.heard and b.heard)
        assert a.presence.share() == 1.0
        a.running["r0"] = (2, 1)
        a.owned[4] = 7
        a.presence.note_change()
        await _until(lambda: b.heard[-1].running == {"r0": (2, 1)})
        found = b.presence.owner_at(4)
        assert found is not None
        assert found[1] == 7
        await a.presence.leave()
        await _until(lambda: b.silent == ["a"])
        assert b.presence.owner_at(4) is None
        assert b.presence.share() == 1.0
        nursery.cancel_scope.cancel()


async def test_peer_that_falls_silent_keeps_its_share() -> None:
    """Guards against a part of a split fleet that takes the whole rate."""
    log = fakes.MemoryLog()
    a, b = Node("a", log), Node("b", log)
    async with trio.open_nursery() as nursery:
        await a.start(nursery)
        async with trio.open_nursery() as other:
            await b.start(other)
            await _until(lambda: a.heard and b.heard)
            other.cancel_scope.cancel()
        await _until(lambda: a.silent == ["b"])
        assert a.presence.share() == 0.5
        nursery.cancel_scope.cancel()
