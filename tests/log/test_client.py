"""Tests of the log client against the stand-in log service."""

from typing import Any

import hypothesis
import pytest
import trio
import trio.testing
from hypothesis import strategies as st

from lacewingwood.log import client
from lacewingwood.log import errors
from lacewingwood.log import types
from standins import log as standin
from tests.standins import serving

_LONG_MS = 30_000


class _Wall:
    """Wall clock of the stand-in log."""

    def __init__(self) -> None:
        self.now_ms = 1_000

    def __call__(self) -> int:
        return self.now_ms


async def _start(
    nursery: trio.Nursery, wall: _Wall | None = None, **settings: Any
) -> tuple[standin.Log, client.LogClient]:
    log = standin.Log(standin.Settings(**settings), wall or _Wall())
    address = await serving.start(nursery, log.handle)
    return log, client.LogClient(f"http://{address}")


_STEPS = st.one_of(
    st.tuples(st.just("append"), st.binary(max_size=8)),
    st.tuples(st.just("lose"), st.binary(max_size=8)),
    st.tuples(st.just("down"), st.binary(max_size=8)),
    st.tuples(st.just("wait"), st.integers(1, 150)),
)


@hypothesis.settings(max_examples=40)
@hypothesis.given(steps=st.lists(_STEPS, max_size=20))
def test_log_agrees_with_the_results_reported_by_the_client(
    steps: list[tuple[str, Any]],
) -> None:
    """Guards against records lost, repeated or reordered, and wrong errors.

    Each fault of the stand-in either always or never stores the record, so a
    failed append must be on the log exactly if its error says that it may be.
    An expired offset must be reported with the earliest offset kept.
    """

    async def main() -> None:
        wall = _Wall()
        expected: list[types.Entry] = []
        async with trio.open_nursery() as nursery:
            log, reader = await _start(nursery, wall, retention_ms=100)
            for kind, value in steps:
                if kind == "wait":
                    wall.now_ms += value
                    continue
                log.faults.down = kind == "down"
                log.faults.lose_answers = int(kind == "lose")
                appended = await _append(reader, value, len(expected))
                assert appended is (kind != "down")
                if appended:
                    entry = types.Entry(len(expected), wall.now_ms, value)
                    expected.append(entry)
            log.faults.down = False
            await _check(reader, expected, wall.now_ms - 100)
            nursery.cancel_scope.cancel()

    trio.run(main)


async def _append(appender: client.LogClient, data: bytes, offset: int) -> bool:
    """Appends a record; returns whether it may be on the log."""
    try:
        assert await appender.append("jobs/1 a", data) == offset
    except errors.UnavailableError as exc:
        return exc.may_have_taken_effect
    return True


async def _check(
    reader: client.LogClient, expected: list[types.Entry], since_ms: int
) -> None:
    kept = [entry for entry in expected if entry.time_ms >= since_ms]
    first = len(expected) - len(kept)
    if first > 0:
        with pytest.raises(errors.OffsetExpiredError) as info:
            await reader.read("jobs/1 a", 0)
        assert info.value.first == first
    page = await reader.read("jobs/1 a", first, 3)
    assert page.entries == kept[:3]
    assert (page.first, page.head) == (first, len(expected))


async def test_appends_beyond_limits_are_rejected(
    nursery: trio.Nursery,
) -> None:
    """Guards against reporting a rejected append as one of unknown outcome."""
    _, appender = await _start(nursery, appends_per_s=1e-6)
    with pytest.raises(errors.RecordTooLargeError):
        await appender.append("s", b"x" * ((1 << 20) + 1))
    assert await appender.append("s", b"x" * (1 << 20)) == 0
    with pytest.raises(errors.RateLimitedError):
        await appender.append("other", b"x")
    assert (await appender.read("s", 1)).head == 1


async def test_append_to_an_unreachable_log_has_no_effect() -> None:
    """Guards against reporting an unsent append as one of unknown outcome."""
    address = await serving.unused_address()
    appender = client.LogClient(f"http://{address}")
    with pytest.raises(errors.UnavailableError) as info:
        await appender.append("s", b"x")
    assert not info.value.may_have_taken_effect


async def test_slow_append_may_have_taken_effect(
    nursery: trio.Nursery,
) -> None:
    """Guards against reporting an append with a late answer as not stored."""
    log, _ = await _start(nursery)
    address = await serving.start(nursery, log.handle)
    appender = client.LogClient(f"http://{address}", answer_timeout_s=0.2)
    log.faults.delay_ms = 1e6
    with pytest.raises(errors.UnavailableError) as info:
        await appender.append("s", b"x")
    assert info.value.may_have_taken_effect


async def test_long_poll_ends_with_a_record_or_an_outage(
    nursery: trio.Nursery,
) -> None:
    """Guards against long polls that return only at their timeout."""
    log, reader = await _start(nursery)
    pages: list[types.Page] = []

    async def poll(start: int) -> None:
        with trio.fail_after(_LONG_MS / 3000):
            pages.append(await reader.read("s", start, wait_ms=_LONG_MS))

    async with trio.open_nursery() as polls:
        polls.start_soon(poll, 0)
        await trio.testing.wait_all_tasks_blocked(0.01)
        await reader.append("other", b"y")
        await reader.append("s", b"x")
    assert [entry.data for entry in pages[0].entries] == [b"x"]

    async def poll_in_outage() -> None:
        with pytest.raises(errors.UnavailableError):
            await poll(1)

    async with trio.open_nursery() as polls:
        polls.start_soon(poll_in_outage)
        await trio.testing.wait_all_tasks_blocked(0.01)
        log.set_faults({"down": True})
