"""Tests of reading server-sent events."""

import itertools
from typing import cast

import hypothesis
import pytest
import trio
from hypothesis import strategies as st

from lacewingwood.upstreams import errors
from lacewingwood.upstreams import http1
from lacewingwood.upstreams import sse

_PAYLOADS = st.lists(
    st.binary(min_size=1, max_size=20).filter(
        lambda data: not set(data) & set(b"\r\n") and data != b"[DONE]"
    ),
    max_size=8,
)


class _Body:
    """A response's body in given chunks."""

    def __init__(self, chunks: list[bytes]) -> None:
        self._chunks = [chunk for chunk in chunks if chunk]

    async def next_chunk(self) -> bytes:
        await trio.lowlevel.checkpoint()
        return self._chunks.pop(0) if self._chunks else b""


async def _read(chunks: list[bytes]) -> list[bytes]:
    exchange = cast(http1.Exchange, _Body(chunks))
    return [payload async for payload in sse.Events(exchange)]


def _split(data: bytes, boundaries: list[int]) -> list[bytes]:
    edges = sorted(
        {0, len(data), *(boundary % (len(data) + 1) for boundary in boundaries)}
    )
    return [data[a:b] for a, b in itertools.pairwise(edges)]


@hypothesis.given(
    payloads=_PAYLOADS,
    boundaries=st.lists(st.integers(0, 500), max_size=12),
    newline=st.sampled_from([b"\n", b"\r\n"]),
    comments=st.booleans(),
)
def test_events_are_the_same_for_any_chunking(
    payloads: list[bytes], boundaries: list[int], newline: bytes, comments: bool
) -> None:
    """Guards against tokens lost or joined at chunk boundaries."""
    lines = [b"data: " + payload for payload in [*payloads, b"[DONE]"]]
    if comments:
        lines = [b": ping" + newline + line for line in lines]
    data = b"".join(line + newline * 2 for line in lines)
    assert trio.run(_read, _split(data, boundaries)) == payloads
    assert (
        trio.run(_read, [*_split(data, boundaries), b"data: late\n\n"])
        == payloads
    )


@hypothesis.given(payloads=_PAYLOADS, length=st.integers(0, 500))
def test_truncated_stream_is_never_complete(
    payloads: list[bytes], length: int
) -> None:
    """Guards against a truncated response that looks complete."""
    lines = [b"data: " + payload + b"\n\n" for payload in payloads]
    data = b"".join(lines) + b"data: [DONE]\n\n"
    with pytest.raises(errors.BrokenError):
        trio.run(_read, [data[: min(length, len(data) - 1)]])


def test_data_lines_of_one_event_are_joined() -> None:
    """Guards against losing all but one line of an event."""
    chunks = [b"event: x\ndata: a\ndata:b\n\n", b"data: [DONE]\n\n"]
    assert trio.run(_read, chunks) == [b"a\nb"]


def test_endless_event_is_refused() -> None:
    """Guards against memory exhaustion by an event that never ends."""
    with pytest.raises(errors.InvalidResponseError):
        trio.run(_read, [b"data: " + b"x" * (1 << 20)] * 2)
