"""Tests of the follower of a partition."""

import pytest
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.log import compacted
from lacewingwood.log import errors
from lacewingwood.log import follow
from tests.jobs import fakes


def _make(
    log: fakes.MemoryLog, seen: dict[str, bytes | None]
) -> follow.Follower:
    def apply(page: list[compacted.Record]) -> None:
        seen.update({record.key: record.value for record in page})

    return follow.Follower(
        log,
        fakes.PARTITION,
        apply,
        apply,
        clocks.MonotonicClock(),
        metrics_lib.Registry(),
        wait_ms=20,
        pause_ms=1,
    )


async def _append(log: fakes.MemoryLog, key: str, value: bytes) -> None:
    await log.append(fakes.PARTITION, [compacted.Record(key, value)])


async def test_follower_recovers_from_outages_and_expired_records() -> None:
    """Guards against missed changes, and a crash at the first answer.

    A process whose log had been unreachable since the start ended at the first
    answer of the log (kalitanggul-serve trouble-2).
    """
    log, seen = fakes.MemoryLog(), {}
    log.down = True
    follower = _make(log, seen)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(0.15)
        log.down = False
        with trio.fail_after(2):
            await follower.ready.wait()
        await _append(log, "a", b"1")
        log.down = True
        await trio.sleep(0.05)
        log.down = False
        await _append(log, "b", b"2")
        log.core.compact()
        await _append(log, "c", b"3")
        with trio.fail_after(2):
            while seen != {"a": b"1", "b": b"2", "c": b"3"}:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()


async def test_one_poll_after_records_expired_is_up_to_date() -> None:
    """Guards against 404 for a job accepted before it was requested.

    A poll that found its offset expired returned without reading a snapshot
    (soak seed 54).
    """
    log, seen = fakes.MemoryLog(), {}
    follower = _make(log, seen)
    await follower.poll(0)
    await _append(log, "a", b"1")
    log.core.compact()
    await follower.poll(0)
    assert seen == {"a": b"1"}


async def test_catching_up_reads_more_than_one_page() -> None:
    """Guards against a reader that stops where one read of the log ends."""
    log, seen = fakes.MemoryLog(), {}
    follower = _make(log, seen)
    await follower.poll(0)
    log.max_read_kb = 1
    for n in range(9):
        await _append(log, f"key-{n}", bytes(400))
    await follower.poll(0)
    assert 0 < len(seen) < 9
    await follower.catch_up()
    assert len(seen) == 9
    assert follower.position == 9


async def test_catching_up_ends_while_records_are_appended() -> None:
    """Guards against a reader that follows a busy log for ever."""
    log, seen = fakes.MemoryLog(), {}
    follower = _make(log, seen)
    await follower.poll(0)
    log.max_read_kb = 1
    for n in range(4):
        await _append(log, f"key-{n}", bytes(800))
    read = log.read

    async def read_while_it_grows(*args):  # type: ignore[no-untyped-def]
        page = await read(*args)
        await _append(log, "more", bytes(800))
        return page

    log.read = read_while_it_grows  # type: ignore[method-assign]
    with trio.fail_after(1):
        await follower.catch_up()
    assert follower.position == 4


async def test_catching_up_fails_if_the_log_returns_no_more() -> None:
    """Guards against a reader that takes a part of the log for all of it."""
    log, seen = fakes.MemoryLog(), {}
    follower = _make(log, seen)
    await follower.poll(0)
    await _append(log, "a", b"1")

    async def read_nothing(*_):  # type: ignore[no-untyped-def]
        return compacted.Page([], 0, 1)

    log.read = read_nothing  # type: ignore[method-assign]
    with pytest.raises(errors.UnavailableError):
        await follower.catch_up()


async def test_poll_during_another_poll_is_up_to_date() -> None:
    """Guards against records dropped because a concurrent poll read first."""
    log, seen = fakes.MemoryLog(), {}
    follower = _make(log, seen)
    await follower.poll(0)
    await _append(log, "a", b"1")
    read = log.read

    async def read_after_another_poll(*args):  # type: ignore[no-untyped-def]
        log.read = read  # type: ignore[method-assign]
        await follower.poll(0)
        await _append(log, "b", b"2")
        return await read(*args)

    log.read = read_after_another_poll  # type: ignore[method-assign]
    await follower.poll(0)
    assert seen == {"a": b"1", "b": b"2"}
