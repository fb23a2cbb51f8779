"""Tests of the store's client against the stand-in."""

import contextlib
from collections.abc import AsyncIterator

import pytest
import trio

from lacewingwood import metrics as metrics_lib
from lacewingwood.log import compacted
from lacewingwood.log import errors
from lacewingwood.platform import store as store_lib
from standins import keyed_store
from tests.standins import serving

P = compacted.Partition("jobs", 1)


@contextlib.asynccontextmanager
async def started() -> AsyncIterator[tuple[keyed_store.Store, store_lib.Store]]:
    """Gives a stand-in and a client of it."""
    async with trio.open_nursery() as nursery:
        standin = keyed_store.Store()
        address = await serving.start(nursery, standin.handle)
        yield standin, store_lib.Store(address, metrics_lib.Registry())
        nursery.cancel_scope.cancel()


def _record(key: str, value: bytes | None) -> compacted.Record:
    return compacted.Record(key, value)


async def test_appended_records_are_read_back() -> None:
    """Guards against records that are cut or joined on the wire."""
    async with started() as (_, store):
        await store.append(P, [_record("a", b"1"), _record("b", b"\x00" * 99)])
        await store.append(P, [_record("a", None)])
        page = await store.read(P, 0, 0)
        assert page.next_offset == 3
        assert [(r.key, r.value) for r in page.records] == [
            ("a", b"1"),
            ("b", b"\x00" * 99),
            ("a", None),
        ]
        snapshot = await store.snapshot(P)
        assert [(r.key, r.offset) for r in snapshot.records] == [("b", 1)]
        assert snapshot.next_offset == 3


async def test_snapshot_reads_all_pages() -> None:
    """Guards against keys beyond the first page that are not seen."""
    async with started() as (_, store):
        batch = [_record(f"k{n:04}", b"v") for n in range(1201)]
        await store.append(P, batch)
        snapshot = await store.snapshot(P)
        assert len(snapshot.records) == 1201


async def test_read_waits_for_a_record() -> None:
    """Guards against polling in place of waiting."""
    async with started() as (_, store), trio.open_nursery() as nursery:

        async def write() -> None:
            await trio.sleep(0.05)
            await store.append(P, [_record("a", b"1")])

        nursery.start_soon(write)
        page = await store.read(P, 0, 2_000)
        assert len(page.records) == 1


async def test_later_epoch_shuts_out_earlier_ones() -> None:
    """Guards against writes of an owner that was replaced."""
    async with started() as (_, store):
        old, new = compacted.Fence("owner", 1), compacted.Fence("owner", 2)
        await store.append(P, [_record("a", b"1")], old)
        await store.append(P, [], new)
        old.sequence = 1
        with pytest.raises(compacted.FencedError):
            await store.append(P, [_record("a", b"2")], old)


async def test_repeated_append_takes_effect_once() -> None:
    """Guards against a record that is written twice after a lost answer."""
    async with started() as (standin, store):
        fence = compacted.Fence("owner", 1)
        await store.append(P, [_record("a", b"1")], fence)
        await store.append(P, [_record("a", b"1")], fence)
        assert standin.core.part("keyed.jobs", 1).end == 1


async def test_expired_offset_is_told_with_the_first_kept() -> None:
    """Guards against records that are passed over without notice."""
    async with started() as (standin, store):
        await store.append(P, [_record("a", b"1")])
        standin.core.forget_history()
        with pytest.raises(errors.OffsetExpiredError) as caught:
            await store.read(P, 0, 0)
        assert caught.value.first == 1
        assert len((await store.snapshot(P)).records) == 1


async def test_refusal_says_that_nothing_was_done() -> None:
    """Guards against a job that is called unclear when it was refused."""
    async with started() as (standin, store):
        standin.faults.down = True
        with pytest.raises(errors.UnavailableError) as caught:
            await store.append(P, [_record("a", b"1")])
        assert not caught.value.may_have_taken_effect


async def test_silence_leaves_the_outcome_open(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a job that is refused though it was appended."""
    monkeypatch.setattr(store_lib, "_CALL_TIMEOUT_S", 0.1)
    async with started() as (standin, store):
        standin.faults.lose_appends = 1
        with pytest.raises(errors.UnavailableError) as caught:
            await store.append(P, [_record("a", b"1")])
        assert caught.value.may_have_taken_effect
        assert standin.core.part("keyed.jobs", 1).end == 1


async def test_group_deals_each_partition_to_one_member() -> None:
    """Guards against partitions without an owner, or with two."""
    async with started() as (_, store):
        first = await store.join("g", "a", ["jobs"], 1000, 0)
        second = await store.join("g", "b", ["jobs"], 1000, 0)
        first = await store.join("g", "a", ["jobs"], 1000, first.generation)
        assert len(first.partitions) == len(second.partitions) == 4
        assert not first.partitions & second.partitions
        assert second.generation == first.generation
        await store.leave("g", "b")
        first = await store.join("g", "a", ["jobs"], 1000, first.generation)
        assert len(first.partitions) == 8
