"""Tests of when the events of a run came."""

import collections
import math

from lacewingwood import clock as clocks
from lacewingwood.upstreams import event_reader
from lacewingwood.upstreams import event_stream
from lacewingwood.upstreams import runs


class _Run:
    """A run whose chunks come at given times."""

    status, headers, refused, misdirected = 200, [], False, False
    notice = runs.Notice()

    def __init__(
        self, clock: clocks.ManualClock, chunks: list[tuple[float, bytes]]
    ) -> None:
        self._clock = clock
        self._chunks = collections.deque(chunks)

    async def next_chunk(self, limit_ms: float = math.inf) -> bytes:
        """Returns the next chunk once its time has come."""
        if not self._chunks:
            return b""
        at_ms, chunk = self._chunks.popleft()
        self._clock.advance(max(0.0, at_ms - self._clock.now_ms()))
        return chunk


def _events(first: int, last: int) -> bytes:
    return b"".join(b"id: %d\ndata: x\n\n" % n for n in range(first, last + 1))


async def _read(
    chunks: list[tuple[float, bytes]], pause_ms: float
) -> runs.Timing:
    """Reads all events; their receiver takes `pause_ms` for each chunk."""
    clock = clocks.ManualClock()
    reader = event_reader.EventReader(
        _Run(clock, chunks), event_stream.Splitter(), clock
    )
    while await reader.next_events(1_000):
        clock.advance(pause_ms)
    return reader.timing


async def test_times_between_events_are_measured() -> None:
    """Guards against comments and joined chunks that count as events.

    Nor may the time of a run's first events count as that between events.
    """
    chunks = [
        (100.0, _events(1, 2)),
        (130.0, _events(3, 3)),
        (150.0, b": comment\n\n"),
        (190.0, _events(4, 5)),
    ]
    timing = await _read(chunks, 0.0)
    assert timing == runs.Timing(100.0, 190.0, 3, 0.0)


async def test_time_of_a_slow_receiver_is_told_apart() -> None:
    """Guards against a replica that seems slow because of a slow caller."""
    chunks = [(100.0 + 10 * n, _events(n + 1, n + 1)) for n in range(5)]
    timing = await _read(chunks, 50.0)
    # The pause after the last event is not between events.
    assert timing.paused_ms == 250.0
    assert timing.last_ms - timing.first_ms == 200.0
