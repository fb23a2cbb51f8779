"""Tests of the rate-limited, non-blocking log writer."""

import json
import os

from lacewingwood import logs


def _read(fd: int) -> bytes:
    os.set_blocking(fd, False)
    data = b""
    while True:
        try:
            chunk = os.read(fd, 1 << 20)
        except BlockingIOError:
            return data
        if not chunk:
            return data
        data += chunk


def test_stalled_reader_drops_lines_without_blocking() -> None:
    """Guards against a process that blocks on a full pipe."""
    reader, writer_fd = os.pipe()
    now_s = 0.0
    writer = logs.Writer(writer_fd, lambda: now_s)
    line = json.dumps({"event": "x" * 200})
    for _ in range(60):
        now_s += 1
        for _ in range(100):
            writer.write(line, important=False)
        writer.flush()
    assert writer.dropped > 0
    first = _read(reader)
    now_s += 10
    writer.flush()
    rest = _read(reader)
    while more := (writer.flush(), _read(reader))[1]:
        rest += more
    lines = (first + rest).splitlines()
    assert all(json.loads(text) for text in lines)
    assert any(b"log lines dropped" in text for text in lines)


def test_excess_lines_are_dropped_but_important_ones_are_kept() -> None:
    """Guards against losing a failure's line among many ordinary lines."""
    reader, writer_fd = os.pipe()
    writer = logs.Writer(writer_fd, lambda: 0.0)
    for _ in range(5_000):
        writer.write('{"event": "usual"}', important=False)
    writer.write('{"event": "failure"}', important=True)
    data = b""
    for _ in range(20):
        writer.flush()
        data += _read(reader)
    assert b"failure" in data
    assert data.count(b"usual") < 1_000


def test_closed_reader_is_no_error() -> None:
    """Guards against a process that exits when its reader has gone."""
    reader, writer_fd = os.pipe()
    os.close(reader)
    writer = logs.Writer(writer_fd, lambda: 0.0)
    writer.write('{"event": "x"}', important=True)
    writer.flush()
    assert writer.dropped == 1
