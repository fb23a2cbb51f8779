"""Tests of the bounds of whole bodies that replicas send."""

import math

import pytest
import trio

from lacewingwood.callers import bodies
from lacewingwood.upstreams import errors as upstream_errors

_CHUNK = bytes(64 << 10)
_LIMIT_BYTES = 16 << 20


class _Run:
    """A response body of a number of chunks, without end if it is None."""

    def __init__(self, chunks: int | None, pause_s: float = 0.0) -> None:
        self._left = chunks
        self._pause_s = pause_s

    async def next_chunk(self, limit_ms: float = math.inf) -> bytes:
        """Returns the next chunk."""
        await trio.sleep(self._pause_s)
        if self._left is None:
            return _CHUNK
        self._left -= 1
        return _CHUNK if self._left >= 0 else b""


async def _read(
    reader: bodies.BodyReader, run: _Run, outcomes: list[int]
) -> None:
    try:
        body = await reader.read(run, _LIMIT_BYTES)  # type: ignore[arg-type]
    except upstream_errors.InvalidResponseError:
        outcomes.append(-1)
    else:
        outcomes.append(len(body))


async def test_endless_bodies_end_no_sound_one() -> None:
    """Guards against sound answers that fail as others have no end.

    The bodies without end reach the bound of the sum before their own.
    """
    reader = bodies.BodyReader()
    endless: list[int] = []
    sound: list[int] = []
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            for _ in range(8):
                nursery.start_soon(_read, reader, _Run(None), endless)
                nursery.start_soon(_read, reader, _Run(6, 0.005), sound)
    assert endless == [-1] * 8
    assert sound == [6 * len(_CHUNK)] * 8
    assert reader.held_bytes == 0


async def test_largest_body_ends_also_if_it_stalls() -> None:
    """Guards against a stalled body that keeps the others from being read."""
    reader = bodies.BodyReader()
    stalled: list[int] = []
    sound: list[int] = []

    class Stalls(_Run):
        async def next_chunk(self, limit_ms: float = math.inf) -> bytes:
            if self._left == 0:
                await trio.sleep_forever()
            return await super().next_chunk(limit_ms)

    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_read, reader, Stalls(250), stalled)
            await trio.sleep(0.1)
            for _ in range(3):
                nursery.start_soon(_read, reader, _Run(100, 0.001), sound)
    assert stalled == [-1]
    assert sound == [100 * len(_CHUNK)] * 3


async def test_cancelled_read_holds_nothing() -> None:
    """Guards against bytes that count for ever after a caller has left."""
    reader = bodies.BodyReader()
    with trio.move_on_after(0.05):
        await reader.read(_Run(10, 0.01), _LIMIT_BYTES)  # type: ignore[arg-type]
    assert reader.held_bytes == 0
    with pytest.raises(upstream_errors.InvalidResponseError):
        await reader.read(_Run(None), 1 << 20)  # type: ignore[arg-type]
    assert reader.held_bytes == 0


async def test_body_that_ends_as_it_is_given_up_is_not_complete() -> None:
    """Guards against a truncated body that looks whole.

    Its last chunks are there already, so no wait notices that it was given up.
    """
    reader = bodies.BodyReader()

    class Ready(_Run):
        async def next_chunk(self, limit_ms: float = math.inf) -> bytes:
            assert self._left is not None
            self._left -= 1
            return _CHUNK if self._left >= 0 else b""

    with pytest.raises(upstream_errors.InvalidResponseError):
        await reader.read(Ready(20), 1 << 20)  # type: ignore[arg-type]
    whole = await reader.read(Ready(16), 1 << 20)  # type: ignore[arg-type]
    assert len(whole) == 16 * len(_CHUNK)
