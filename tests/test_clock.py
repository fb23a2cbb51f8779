"""Tests of the clocks."""

import trio
import trio.testing

from lacewingwood import clock


def test_monotonic_clock_never_goes_back() -> None:
    """Guards against extending leases when wall-clock time is set back."""
    source = clock.MonotonicClock()
    times = [source.now_ms() for _ in range(100)]
    assert times == sorted(times)


async def test_periodic_sleeps_end_together() -> None:
    """Guards against periodic tasks that wake a process one after another."""
    manual = clock.ManualClock(130.0)
    ends: list[float] = []

    async def sleep() -> None:
        await manual.sleep_until_next_ms(400.0)
        ends.append(manual.now_ms())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(sleep)
        await trio.testing.wait_all_tasks_blocked()
        manual.advance(100.0)
        nursery.start_soon(sleep)
        await trio.testing.wait_all_tasks_blocked()
        assert not ends
        manual.advance(170.0)
    assert ends == [400.0, 400.0]


async def test_manual_clock_wakes_only_due_sleepers() -> None:
    """Guards against tests that pass only because a sleeper woke early."""
    source = clock.ManualClock()
    woken: list[int] = []

    async def sleep(duration_ms: int) -> None:
        await source.sleep_ms(duration_ms)
        woken.append(duration_ms)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(sleep, 10)
        nursery.start_soon(sleep, 20)
        await trio.testing.wait_all_tasks_blocked()
        source.advance(10)
        await trio.testing.wait_all_tasks_blocked()
        assert woken == [10]
        source.advance(10)
    assert woken == [10, 20]
