"""Structured logs: one JSON object a line, bounded, never blocking.

A reader that stops reading, or a flood of lines, costs log lines and never a
request. What was dropped is counted, and said as soon as there is room.
"""

import collections
import json
import os
import select
import sys
import time
from collections.abc import Callable
from typing import Any

import structlog
import trio

# Lines a second that are written, and how many may come at once. A request
# takes one or two lines; 4,200 requests a second over 390 gateways are 11 a
# second for each.
_LINES_PER_S = 200.0
_BURST_LINES = 800.0
# Lines on ordinary events leave this share of the budget to those on failures.
_RESERVED_SHARE = 0.25
# Lines that wait for the reader.
_MAX_WAITING = 2_000
# How often queued lines are written: each time wakes an idle process, of which
# a deployment has hundreds.
_FLUSH_S = 0.5
# A pipe that can be written to takes at least this much at once (POSIX).
_PIPE_BYTES = 4_096


class Writer:
    """Writes lines to a file descriptor without ever waiting for it.

    Attributes:
        dropped: Lines dropped since the start.
    """

    __slots__ = (
        "_at_s",
        "_clock_s",
        "_fd",
        "_reported",
        "_tokens",
        "_waiting",
        "dropped",
    )

    def __init__(
        self, fd: int, clock_s: Callable[[], float] = time.monotonic
    ) -> None:
        self.dropped = 0
        self._fd = fd
        self._clock_s = clock_s
        self._at_s = clock_s()
        self._tokens = _BURST_LINES
        self._reported = 0
        self._waiting: collections.deque[bytes] = collections.deque()

    def write(self, line: str, important: bool) -> None:
        """Queues a line, or drops it if the budget is used up."""
        now_s = self._clock_s()
        gained = (now_s - self._at_s) * _LINES_PER_S
        self._tokens = min(_BURST_LINES, self._tokens + gained)
        self._at_s = now_s
        least = 1.0 if important else _BURST_LINES * _RESERVED_SHARE
        if self._tokens < least or len(self._waiting) >= _MAX_WAITING:
            self.dropped += 1
            return
        self._tokens -= 1
        self._waiting.append(line.encode("utf-8", "replace") + b"\n")

    def flush(self) -> None:
        """Writes what the reader takes now."""
        self._report_dropped()
        while self._waiting and self._writable():
            chunk = self._next_chunk()
            try:
                written = os.write(self._fd, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads any more.
                self.dropped += chunk.count(b"\n") + len(self._waiting)
                self._waiting.clear()
                return
            if written < len(chunk):
                self._waiting.appendleft(chunk[written:])
                return

    def _report_dropped(self) -> None:
        if self.dropped == self._reported or self._waiting:
            return
        count = self.dropped - self._reported
        self._reported = self.dropped
        fields = {"event": "log lines dropped", "count": count}
        self._waiting.append(json.dumps(fields).encode() + b"\n")

    def _writable(self) -> bool:
        poll = select.poll()
        poll.register(self._fd, select.POLLOUT)
        return bool(poll.poll(0))

    def _next_chunk(self) -> bytes:
        """Takes as many lines as a pipe is sure to take."""
        chunk = self._waiting.popleft()
        if len(chunk) > _PIPE_BYTES:
            self._waiting.appendleft(chunk[_PIPE_BYTES:])
            return chunk[:_PIPE_BYTES]
        while (
            self._waiting and len(chunk) + len(self._waiting[0]) <= _PIPE_BYTES
        ):
            chunk += self._waiting.popleft()
        return chunk


class _Logger:
    """What structlog writes through."""

    __slots__ = ("_writer",)

    def __init__(self, writer: Writer) -> None:
        self._writer = writer

    def info(self, line: str) -> None:
        self._writer.write(line, important=False)

    debug = info

    def warning(self, line: str) -> None:
        self._writer.write(line, important=True)

    error = critical = exception = msg = warning


def configure_stdout(**fields: Any) -> Writer:
    """Sets up bounded logs on standard output; the caller flushes them.

    `fields` appear on every line.
    """
    writer = Writer(sys.stdout.fileno())
    configure_writer(writer, **fields)
    return writer


async def flush_periodically(writer: Writer) -> None:
    """Writes what is queued, until cancelled."""
    while True:
        writer.flush()
        await trio.sleep(_FLUSH_S)


def configure_writer(writer: Writer, **fields: Any) -> None:
    """Makes all logs go through a writer."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            # Without local variables, which hold keys and bodies.
            structlog.processors.ExceptionRenderer(
                structlog.tracebacks.ExceptionDictTransformer(show_locals=False)
            ),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=lambda *args: _Logger(writer),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**fields)
