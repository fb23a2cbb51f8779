"""Tests of the follower with an in-memory log and network."""

import itertools

import pytest
import trio
import trio.testing

from lacewingwood.log import types as log_types
from lacewingwood.state import catchup
from lacewingwood.state import errors
from lacewingwood.state import freshness
from lacewingwood.state import records
from lacewingwood.state import snapshot
from lacewingwood.state import view as view_lib
from tests.state import fakes

_CUSTOMER = records.CustomerPut(records.Customer("c", 1.0, 1))


async def test_follows_and_publishes(nursery: trio.Nursery) -> None:
    """Guards against publish returning before the change is in the view."""
    cluster = fakes.Cluster()
    a, b = cluster.follower("a"), cluster.follower("b")
    nursery.start_soon(a.run)
    nursery.start_soon(b.run)
    offset = await a.publish(_CUSTOMER)
    assert "c" in a.view.customers
    await b.wait_applied(offset)
    assert b.view.version("customer", "c") == offset
    assert a.ready
    assert a.fresh()


@pytest.mark.parametrize("failure", ["lost", "down", "limited"])
async def test_repeats_an_append(nursery: trio.Nursery, failure: str) -> None:
    """Guards against losing or repeating a change after a failed append."""
    cluster = fakes.Cluster()
    a = cluster.follower("a")
    nursery.start_soon(a.run)
    await a.wait_applied(cluster.log.put(_CUSTOMER))
    cluster.log.failures = [failure, failure]
    key = records.KeyPut("k", "d", "c")
    offsets: list[int] = []

    async def publish() -> None:
        offsets.append(await a.publish(key, based_on=-1))

    nursery.start_soon(publish)
    await cluster.run_for(1000)
    assert offsets == [1]
    assert a.view.authenticate("d") == "c"


async def test_stale_base_is_a_conflict(nursery: trio.Nursery) -> None:
    """Guards against overwriting a change that the writer never saw."""
    cluster = fakes.Cluster()
    a = cluster.follower("a")
    nursery.start_soon(a.run)
    await a.publish(_CUSTOMER, based_on=-1)
    with pytest.raises(errors.ConflictError):
        await a.publish(_CUSTOMER, based_on=-1)


@pytest.mark.parametrize(
    ("failure", "may_have_taken_effect"),
    [("down", False), ("limited", False), ("lost", True), ("", True)],
)
async def test_publish_gives_up(
    nursery: trio.Nursery, failure: str, may_have_taken_effect: bool
) -> None:
    """Guards against an outage that blocks a writer for ever.

    The timeout is shorter than the shortest delay before a second append, so
    that only the outcome of the first append counts.
    """
    cluster = fakes.Cluster()
    a = cluster.follower("a")
    nursery.start_soon(a.run)
    await cluster.run_for(100)
    cluster.log.reads_fail = True
    cluster.log.failures = [failure]
    raised: list[errors.UnavailableError] = []

    async def publish() -> None:
        with pytest.raises(errors.UnavailableError) as caught:
            await a.publish(_CUSTOMER, timeout_ms=40)
        raised.append(caught.value)

    nursery.start_soon(publish)
    await cluster.run_for(50)
    assert [exc.may_have_taken_effect for exc in raised] == [
        may_have_taken_effect
    ]


async def test_stays_fresh_by_answers_of_peers(nursery: trio.Nursery) -> None:
    """Guards against a log outage that stops online traffic."""
    cluster = fakes.Cluster()
    cluster.join("a", "b", "c")
    all_three = [cluster.follower(n) for n in "abc"]
    for each in all_three:
        nursery.start_soon(each.run)
    await cluster.run_for(1000)
    cluster.log.is_down = True
    await cluster.run_for(20_000)
    assert all(each.fresh() for each in all_three)
    cluster.network.isolate("c")
    await cluster.run_for(freshness.WINDOW_MS + 100)
    assert [each.fresh() for each in all_three] == [True, True, False]


async def test_minority_goes_stale(nursery: trio.Nursery) -> None:
    """Guards against two partitions of a region that both stay fresh."""
    cluster = fakes.Cluster()
    cluster.join(*"abcde")
    five = [cluster.follower(n) for n in "abcde"]
    for each in five:
        nursery.start_soon(each.run)
    await cluster.run_for(1000)
    cluster.log.is_down = True
    for one, other in itertools.product("ab", "cde"):
        cluster.network.cut.add(frozenset({one, other}))
    await cluster.run_for(2 * freshness.WINDOW_MS)
    assert [each.fresh() for each in five] == [False] * 2 + [True] * 3


async def test_another_process_at_an_address_is_no_evidence(
    nursery: trio.Nursery,
) -> None:
    """Guards against evidence from a process at a dead member's address."""
    cluster = fakes.Cluster()
    cluster.join("a", "b")
    a, later = cluster.follower("a"), cluster.follower("b2")
    cluster.network.nodes["b"] = cluster.network.nodes["b2"]
    nursery.start_soon(a.run)
    nursery.start_soon(later.run)
    await cluster.run_for(1000)
    cluster.log.is_down = True
    await cluster.run_for(freshness.WINDOW_MS + 1000)
    assert not a.fresh()


def test_snapshot_that_leaves_a_gap_is_not_used() -> None:
    """Guards against a view that lacks records expired after the snapshot."""
    view = view_lib.View()
    [part] = snapshot.split(view, "s")
    data = records.encode(records.Record("i", "a", part))
    for start, usable in ((0, True), (5, False)):
        loader = catchup.Loader(start)
        loader.add([log_types.Entry(start, 0, data)])
        assert (loader.view() is not None) == usable


async def test_log_that_lags_is_no_evidence(nursery: trio.Nursery) -> None:
    """Guards against evidence from a log that lost records or lags behind."""
    cluster = fakes.Cluster()
    a = cluster.follower("a")
    nursery.start_soon(a.run)
    await a.publish(_CUSTOMER)
    cluster.log.entries.clear()
    await cluster.run_for(freshness.WINDOW_MS + 1000)
    assert not a.fresh()
    assert a.ready


async def test_fetches_newer_records_from_a_peer(
    nursery: trio.Nursery,
) -> None:
    """Guards against a fresh process that lacks a change its peer has.

    Process `b` loses the log first, and fetches the missing record from `a`.
    """
    cluster = fakes.Cluster()
    cluster.join("a", "b", "c")
    a, b, c = (cluster.follower(n) for n in "abc")
    for each in (a, b, c):
        nursery.start_soon(each.run)
    await cluster.run_for(1000)
    b._log = fakes.FakeLog(cluster.clock)
    b._log.is_down = True
    await cluster.run_for(1000)
    await a.publish(_CUSTOMER)
    cluster.log.is_down = True
    await cluster.run_for(2000)
    assert "c" in b.view.customers
    assert b.fresh()


async def test_starts_from_a_peer_when_the_log_is_down(
    nursery: trio.Nursery,
) -> None:
    """Guards against a process that can't start during a log outage."""
    cluster = fakes.Cluster()
    cluster.join("a", "b")
    a, b, late = (cluster.follower(n) for n in ("a", "b", "late"))
    nursery.start_soon(a.run)
    nursery.start_soon(b.run)
    await a.publish(_CUSTOMER)
    cluster.log.is_down = True
    late.prober.seeds = ["a"]
    nursery.start_soon(late.run)
    assert not late.ready
    await cluster.run_for(5000)
    assert late.ready
    assert late.fresh()
    assert late.view.encode() == a.view.encode()


@pytest.mark.parametrize("with_peer", [True, False])
async def test_recovers_after_its_offset_expired(
    nursery: trio.Nursery, with_peer: bool
) -> None:
    """Guards against a process that can't continue after a long pause.

    Either a peer's view or a snapshot on the log must suffice.
    """
    cluster = fakes.Cluster()
    cluster.join("a", "b")
    a, b = cluster.follower("a"), cluster.follower("b")
    nursery.start_soon(a.run)
    await a.publish(_CUSTOMER)
    if with_peer:
        b.prober.seeds = ["a"]
    else:
        cluster.network.isolate("b")
        for part in snapshot.split(a.view, "s", part_bytes=100):
            await a.publish(part)
    last = await a.publish(records.KeyPut("k", "d", "c"))
    cluster.log.first = 3
    nursery.start_soon(b.run)
    await cluster.run_for(3000)
    assert b.view.offset == last + 1
    assert b.view.encode() == a.view.encode()
    assert b.fresh()
