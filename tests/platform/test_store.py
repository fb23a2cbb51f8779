"""Tests of the client of the metadata store against its stand-in."""

import contextlib
from collections.abc import AsyncIterator

import hypothesis
import pytest
import trio
from hypothesis import strategies as st

from lacewingwood import metrics as metrics_lib
from lacewingwood.log import compacted
from lacewingwood.log import errors
from lacewingwood.platform import store as store_lib
from standins import keyed_store
from tests.standins import serving

_PARTITION = compacted.Partition("jobs", 1)


@contextlib.asynccontextmanager
async def _stores() -> AsyncIterator[tuple[keyed_store.Store, store_lib.Store]]:
    """Runs a stand-in; yields it and a client of it."""
    async with trio.open_nursery() as nursery:
        standin = keyed_store.Store()
        address = await serving.start(nursery, standin.handle)
        yield standin, store_lib.Store(address, metrics_lib.Registry())
        nursery.cancel_scope.cancel()


def _record(key: str, value: bytes | None) -> compacted.Record:
    return compacted.Record(key, value)


async def test_appended_records_are_read_back() -> None:
    """Guards against records that are truncated or merged on the wire."""
    async with _stores() as (_, store):
        await store.append(
            _PARTITION, [_record("a", b"1"), _record("b", b"\x00" * 99)]
        )
        await store.append(_PARTITION, [_record("a", None)])
        page = await store.read(_PARTITION, 0, 0)
        assert page.next_offset == 3
        assert [(r.key, r.value) for r in page.records] == [
            ("a", b"1"),
            ("b", b"\x00" * 99),
            ("a", None),
        ]
        snapshot = await store.snapshot(_PARTITION)
        assert [(r.key, r.offset) for r in snapshot.records] == [("b", 1)]
        assert snapshot.next_offset == 3


async def test_page_tells_whether_more_records_follow() -> None:
    """Guards against readers that take 1 MB of records for all of them."""
    async with _stores() as (_, store):
        for n in range(6):
            await store.append(_PARTITION, [_record(f"k{n}", bytes(250_000))])
        page = await store.read(_PARTITION, 0, 0)
        assert page.next_offset < page.end == 6
        rest = await store.read(_PARTITION, page.next_offset, 0)
        assert rest.next_offset == rest.end == 6


async def test_snapshot_reads_all_pages() -> None:
    """Guards against missing keys beyond the first page."""
    async with _stores() as (_, store):
        batch = [_record(f"k{n:04}", b"v") for n in range(1201)]
        await store.append(_PARTITION, batch)
        snapshot = await store.snapshot(_PARTITION)
        assert len(snapshot.records) == 1201


@hypothesis.given(
    st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1)
)
@hypothesis.example("permits&renewals")
@hypothesis.example("a#b")
@hypothesis.example("a+b c=d%41")
def test_snapshot_goes_on_after_any_key(name: str) -> None:
    """Guards against a snapshot without end, or without its later pages.

    The next page begins after the last key of the one before, which holds the
    id of a job.
    """

    async def check() -> None:
        async with _stores() as (_, store):
            key = f"r/kaje/{name[:100]}"
            batch = [_record(f"{key}/{n:04}", b"v") for n in range(501)]
            await store.append(_PARTITION, batch)
            with trio.fail_after(5):
                snapshot = await store.snapshot(_PARTITION)
            assert snapshot.records[-1].key == f"{key}/0500"
            assert len(snapshot.records) == 501

    trio.run(check)


async def test_snapshot_that_does_not_go_on_ends() -> None:
    """Guards against a process that reads the same page for ever."""
    async with _stores() as (standin, store):
        batch = [_record(f"k{n:04}", b"v") for n in range(501)]
        await store.append(_PARTITION, batch)
        newest = standin.core.newest

        def first_page(query: dict[str, str]) -> tuple[int, bytes]:
            return newest({**query, "after": ""})

        standin.core.newest = first_page  # type: ignore[method-assign]
        with trio.fail_after(5), pytest.raises(errors.UnavailableError):
            await store.snapshot(_PARTITION)


async def test_read_waits_for_a_record() -> None:
    """Guards against polling instead of waiting for a record."""
    async with _stores() as (_, store), trio.open_nursery() as nursery:

        async def write() -> None:
            await trio.sleep(0.05)
            await store.append(_PARTITION, [_record("a", b"1")])

        nursery.start_soon(write)
        page = await store.read(_PARTITION, 0, 2_000)
        assert len(page.records) == 1


async def test_later_epoch_fences_earlier_ones() -> None:
    """Guards against writes by an owner that was replaced."""
    async with _stores() as (_, store):
        old, new = compacted.Fence("owner", 1), compacted.Fence("owner", 2)
        await store.append(_PARTITION, [_record("a", b"1")], old)
        await store.append(_PARTITION, [], new)
        old.sequence = 1
        with pytest.raises(compacted.FencedError):
            await store.append(_PARTITION, [_record("a", b"2")], old)


async def test_repeated_append_takes_effect_once() -> None:
    """Guards against writing a record twice after a lost response."""
    async with _stores() as (standin, store):
        fence = compacted.Fence("owner", 1)
        await store.append(_PARTITION, [_record("a", b"1")], fence)
        await store.append(_PARTITION, [_record("a", b"1")], fence)
        assert standin.core.partition("keyed.jobs", 1).end == 1


async def test_expired_offset_reports_the_first_kept() -> None:
    """Guards against skipping expired records silently."""
    async with _stores() as (standin, store):
        await store.append(_PARTITION, [_record("a", b"1")])
        standin.core.compact()
        with pytest.raises(errors.OffsetExpiredError) as caught:
            await store.read(_PARTITION, 0, 0)
        assert caught.value.first == 1
        assert len((await store.snapshot(_PARTITION)).records) == 1


async def test_refused_append_has_taken_no_effect() -> None:
    """Guards against reporting a refused job as possibly accepted."""
    async with _stores() as (standin, store):
        standin.faults.down = True
        with pytest.raises(errors.UnavailableError) as caught:
            await store.append(_PARTITION, [_record("a", b"1")])
        assert not caught.value.may_have_taken_effect


async def test_timed_out_append_may_have_taken_effect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against reporting an appended job as refused."""
    monkeypatch.setattr(store_lib, "_CALL_TIMEOUT_S", 0.1)
    async with _stores() as (standin, store):
        standin.faults.lose_appends = 1
        with pytest.raises(errors.UnavailableError) as caught:
            await store.append(_PARTITION, [_record("a", b"1")])
        assert caught.value.may_have_taken_effect
        assert standin.core.partition("keyed.jobs", 1).end == 1


async def test_group_assigns_each_partition_to_one_member() -> None:
    """Guards against partitions without an owner, or with two owners."""
    async with _stores() as (_, store):
        first = await store.join("g", "a", ["jobs"], 1000, 0)
        second = await store.join("g", "b", ["jobs"], 1000, 0)
        first = await store.join("g", "a", ["jobs"], 1000, first.generation)
        assert len(first.partitions) == len(second.partitions) == 4
        assert not first.partitions & second.partitions
        assert second.generation == first.generation
        await store.leave("g", "b")
        first = await store.join("g", "a", ["jobs"], 1000, first.generation)
        assert len(first.partitions) == 8


async def test_late_answer_to_a_call_that_timed_out_reaches_no_other_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an append that is taken for done by another's answer.

    The first connection answers after the time-out, the second one refuses.
    """
    monkeypatch.setattr(store_lib, "_CALL_TIMEOUT_S", 0.1)
    answers = [(0.15, b"200 OK"), (0.0, b"412 Precondition Failed")]

    async def serve(stream: trio.SocketStream) -> None:
        delay_s, status = answers.pop(0)
        async with stream:
            await stream.receive_some()
            await trio.sleep(delay_s)
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(
                    b"HTTP/1.1 %s\r\ncontent-length: 2\r\n\r\n{}" % status
                )

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        store = store_lib.Store(f"127.0.0.1:{port}", metrics_lib.Registry())
        with pytest.raises(errors.UnavailableError) as caught:
            await store.append(_PARTITION, [_record("a", b"1")])
        assert caught.value.may_have_taken_effect
        await trio.sleep(0.1)
        with pytest.raises(compacted.ConflictError):
            await store.append(_PARTITION, [_record("a", b"1")])
        nursery.cancel_scope.cancel()


async def test_record_is_found_by_its_key() -> None:
    """Guards against a body that can't be read once its offset has expired."""
    async with _stores() as (standin, store):
        keys = [f"b/kaje/job/{n}" for n in range(120)] + ["b/", "~", "é", "b"]
        batch = [_record(key, key.encode()) for key in keys]
        await store.append(_PARTITION, batch)
        await store.append(_PARTITION, [_record("b/kaje/job/7", None)])
        standin.core.compact()
        for key in keys:
            record = await store.find(_PARTITION, key)
            if key == "b/kaje/job/7":
                assert record is None
                continue
            assert record is not None
            assert (record.key, record.value) == (key, key.encode())
        assert await store.find(_PARTITION, "b/kaje/job/200") is None


async def test_read_of_one_record_returns_little_more() -> None:
    """Guards against reading 1 MB for each body."""
    async with _stores() as (_, store):
        for n in range(6):
            await store.append(_PARTITION, [_record(f"k{n}", bytes(100_000))])
        page = await store.read(_PARTITION, 2, 0, max_bytes=100_100)
        assert [record.key for record in page.records] == ["k2"]
