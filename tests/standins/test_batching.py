"""Tests of the engine stand-in's batching."""

import hypothesis
import trio
import trio.testing
from hypothesis import strategies as st

from standins import batching

_STEP_MS = 10


def _sequence(name: str, tokens: int, prompt: bytes) -> batching.Sequence:
    return batching.Sequence(name, "m", prompt, tokens, 0)


@hypothesis.given(
    slots=st.integers(1, 4),
    lengths=st.lists(st.integers(1, 9), min_size=1, max_size=12),
)
def test_slots_bound_work_in_order_of_arrival(
    slots: int, lengths: list[int]
) -> None:
    """Guards against benchmarks on an engine with more slots than configured.

    A request gets one token per step once it has a slot, so the time at which
    it ends follows from the lengths of the requests before it.
    """
    ends: dict[int, float] = {}

    async def wait(index: int, sequence: batching.Sequence) -> None:
        while not sequence.ended:
            await sequence.ready.wait()
        ends[index] = round(trio.current_time() * 1000 / _STEP_MS)

    async def main() -> None:
        settings = batching.Settings(slots=slots, step_ms=_STEP_MS)
        cache = batching.PrefixCache(settings)
        batcher = batching.Batcher(settings, cache, lambda: None)
        async with trio.open_nursery() as nursery:
            async with trio.open_nursery() as waiters:
                for index, length in enumerate(lengths):
                    sequence = _sequence(str(index), length, b"")
                    batcher.submit(sequence)
                    waiters.start_soon(wait, index, sequence)
                nursery.start_soon(batcher.run)
            nursery.cancel_scope.cancel()
        assert batcher.tokens == sum(lengths)
        assert round(batcher.busy_slot_ms) == sum(lengths) * _STEP_MS

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)
    free_at_step = [0] * slots
    for index, length in enumerate(lengths):
        slot = free_at_step.index(min(free_at_step))
        free_at_step[slot] += length
        assert ends[index] == free_at_step[slot]


async def test_cached_prefix_shortens_prefill(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a cache that reports blocks but saves no prefill time."""
    settings = batching.Settings(step_ms=_STEP_MS, prefill_ms_per_token=1)
    cache = batching.PrefixCache(settings)
    batcher = batching.Batcher(settings, cache, lambda: None)
    prompt = b"x" * 4096
    durations = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(batcher.run)
        for name in ("first", "second"):
            start_s = trio.current_time()
            sequence = _sequence(name, 1, prompt)
            batcher.submit(sequence)
            while not sequence.ended:
                await sequence.ready.wait()
            durations.append(round((trio.current_time() - start_s) * 1000))
        nursery.cancel_scope.cancel()
    prefill_steps = 4096 // batching.BYTES_PER_TOKEN // _STEP_MS
    assert durations == [(prefill_steps + 1) * _STEP_MS, _STEP_MS]


async def test_cache_events_are_late_gapped_and_bounded(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against tests of routing that see only complete, timely events."""
    settings = batching.Settings(cache_blocks=3, event_gap=4)
    cache = batching.PrefixCache(settings)
    assert cache.use(["a", "b"]) == 0
    assert cache.use(["a", "c", "d"]) == 1
    assert cache.use(["b"]) == 0
    assert cache.events(0) == []
    await trio.sleep(settings.event_lag_ms / 1000)
    seen = [(e.serial, e.stored, e.block) for e in cache.events(2)]
    assert seen == [
        (2, True, "b"),
        (3, True, "c"),
        (5, False, "b"),
        (6, True, "b"),
        (7, False, "a"),
    ]
    assert cache.used == 1
