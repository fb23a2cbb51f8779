"""Tests of the splitting of event streams."""

import itertools

import hypothesis
import pytest
from hypothesis import strategies as st

from lacewingwood.upstreams import errors
from lacewingwood.upstreams import event_stream


def _stream(count: int, first: int = 1) -> bytes:
    return b"".join(
        b"id: %d\ndata: piece %d\n\n" % (n, n)
        for n in range(first, first + count)
    )


@hypothesis.given(cuts=st.lists(st.integers(0, 120), max_size=12))
def test_events_are_the_same_for_any_chunking(cuts: list[int]) -> None:
    """Guards against events lost at chunk boundaries."""
    data = _stream(5)
    edges = [0, *sorted(c for c in cuts if c < len(data)), len(data)]
    splitter = event_stream.Splitter()
    out = b""
    for start, end in itertools.pairwise(edges):
        out += splitter.feed(data[start:end])
    assert out == data
    assert splitter.last_id == 5
    assert splitter.between_events


def test_partial_event_is_not_returned() -> None:
    """Guards against part of an event that a resumed run then repeats."""
    splitter = event_stream.Splitter()
    out = splitter.feed(_stream(2)[:-3])
    assert out == _stream(1)
    assert not splitter.between_events
    splitter.restart()
    assert splitter.feed(_stream(1, first=2)) == _stream(1, first=2)


def test_missing_event_is_detected_and_its_chunk_discarded() -> None:
    """Guards against gaps in the text, and against events counted twice."""
    splitter = event_stream.Splitter()
    splitter.feed(_stream(2))
    with pytest.raises(errors.InvalidResponseError):
        splitter.feed(_stream(1, first=3) + _stream(1, first=5))
    assert splitter.last_id == 2


def test_data_of_events_in_order() -> None:
    """Guards against a result whose text differs from the stream's."""
    data = b"weight-versions: 3\nid: 1\ndata: a b\n\nid: 2\ndata: \n\n"
    assert event_stream.data_lines(data) == [b"a b", b""]


def test_id_of_thousands_of_digits_is_malformed() -> None:
    """Guards against an event of a faulty replica that ends the process."""
    with pytest.raises(errors.InvalidResponseError):
        event_stream.Splitter().feed(b"id: " + b"9" * 5_000 + b"\ndata: x\n\n")
