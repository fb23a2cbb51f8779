"""Tests of copying the configuration from peers."""

import types

import msgspec
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.limits import shared
from lacewingwood.peers import gateway_messages
from lacewingwood.platform import documents
from lacewingwood.routing import evacuation
from lacewingwood.routing import load
from lacewingwood.routing import quarantine as quarantines
from lacewingwood.state import peer_copy
from lacewingwood.state import published

_DOCUMENT = msgspec.json.encode({"version": 5, "routes": [], "tenants": []})


class _Network:
    """Answers the calls to peers; records which peers are asked."""

    def __init__(self, documents_: dict[str, bytes]) -> None:
        self.documents = documents_
        self.asked: list[str] = []

    def handle(self, message_type: type, handler: object) -> None:
        """Registers a handler."""

    async def call(
        self, address: str, request: object, timeout_ms: float
    ) -> gateway_messages.ConfigurationCopy:
        """Returns a peer's copy."""
        await trio.lowlevel.checkpoint()
        self.asked.append(address)
        return gateway_messages.ConfigurationCopy(
            self.documents[address], {}, {}
        )


def _make(
    network: _Network, clock: clocks.Clock
) -> tuple[peer_copy.PeerCopy, published.PublishedConfiguration]:
    configuration = published.PublishedConfiguration(
        documents.decode_configuration
    )
    fleet = load.Fleet()
    metrics = metrics_lib.Registry()
    presence = types.SimpleNamespace(
        addresses=lambda: list(network.documents),
        roster=types.SimpleNamespace(live_peers=list),
    )
    copy = peer_copy.PeerCopy(
        configuration,
        published.ReplicaList(fleet, documents.decode_replica, clock, 1_800),
        fleet,
        shared.SharedLimits(),
        quarantines.Quarantine(),
        types.SimpleNamespace(add_copy=lambda versions: None),  # type: ignore[arg-type]
        evacuation.Evacuations(lambda zones: None),
        presence,  # type: ignore[arg-type]
        network,  # type: ignore[arg-type]
        clock,
        metrics,
    )
    return copy, configuration


async def _run_rounds(
    copy: peer_copy.PeerCopy, clock: clocks.ManualClock
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(copy.run)
        for _ in range(6):
            await trio.testing.wait_all_tasks_blocked()
            clock.advance(400)
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()


async def test_peer_without_a_configuration_is_not_asked_alone() -> None:
    """Guards against a gateway that never finds the configuration (MIXED).

    The empty answer of a peer that had just started ended each round, and the
    next round asked the same peer first.
    """
    clock = clocks.ManualClock()
    network = _Network({"a": b"", "b": b"", "c": _DOCUMENT})
    copy, configuration = _make(network, clock)
    await _run_rounds(copy, clock)
    assert configuration.version == 5


async def test_all_peers_are_asked_in_turn() -> None:
    """Guards against rounds that ask only the first peers of a large fleet."""
    clock = clocks.ManualClock()
    empty = {f"peer-{n}": b"" for n in range(20)}
    network = _Network({**empty, "last": _DOCUMENT})
    copy, configuration = _make(network, clock)
    await _run_rounds(copy, clock)
    assert configuration.version == 5
