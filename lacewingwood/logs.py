"""Structured logs: one JSON object a line, rate-limited and non-blocking.

Lines are dropped if the reader stops reading or if there are too many of them,
so that logging never delays a request. Dropped lines are counted, and the
count is logged as soon as there is room.
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

# Token bucket for lines. A request logs one or two lines; 4,200 requests a
# second over 390 gateways are 11 requests a second for each gateway.
_LINES_PER_S = 200.0
_BURST_LINES = 800.0
# Fraction of the burst that is reserved for lines of level warning and above.
_RESERVED_FRACTION = 0.25
# Lines queued for the reader.
_MAX_QUEUED_LINES = 2_000
# Each flush wakes an otherwise idle process, and a deployment has hundreds of
# them.
_FLUSH_INTERVAL_S = 0.5
# A writable pipe accepts at least this many bytes without blocking (POSIX).
_PIPE_CHUNK_BYTES = 4_096


class Writer:
    """Writes lines to a file descriptor without blocking.

    Attributes:
        dropped: Number of lines dropped since the start.
    """

    __slots__ = (
        "_clock_s",
        "_fd",
        "_queue",
        "_refilled_at_s",
        "_reported_dropped",
        "_tokens",
        "dropped",
    )

    def __init__(
        self, fd: int, clock_s: Callable[[], float] = time.monotonic
    ) -> None:
        self.dropped = 0
        self._fd = fd
        self._clock_s = clock_s
        self._refilled_at_s = clock_s()
        self._tokens = _BURST_LINES
        self._reported_dropped = 0
        self._queue: collections.deque[bytes] = collections.deque()

    def write(self, line: str, important: bool) -> None:
        """Queues a line, or drops it if the rate limit is exceeded.

        Args:
            line: The line without its line feed.
            important: True for warnings and errors, which may use the
                reserved part of the burst.
        """
        now_s = self._clock_s()
        refill = (now_s - self._refilled_at_s) * _LINES_PER_S
        self._tokens = min(_BURST_LINES, self._tokens + refill)
        self._refilled_at_s = now_s
        needed = 1.0 if important else _BURST_LINES * _RESERVED_FRACTION
        if self._tokens < needed or len(self._queue) >= _MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._tokens -= 1
        self._queue.append(line.encode("utf-8", "replace") + b"\n")

    def flush(self) -> None:
        """Writes as many queued lines as possible without blocking."""
        self._report_dropped()
        while self._queue and self._is_writable():
            chunk = self._next_chunk()
            try:
                written = os.write(self._fd, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has closed the pipe.
                self.dropped += chunk.count(b"\n") + len(self._queue)
                self._queue.clear()
                return
            if written < len(chunk):
                self._queue.appendleft(chunk[written:])
                return

    def _report_dropped(self) -> None:
        if self.dropped == self._reported_dropped or self._queue:
            return
        count = self.dropped - self._reported_dropped
        self._reported_dropped = self.dropped
        fields = {"event": "log lines dropped", "count": count}
        self._queue.append(json.dumps(fields).encode() + b"\n")

    def _is_writable(self) -> bool:
        poll = select.poll()
        poll.register(self._fd, select.POLLOUT)
        return bool(poll.poll(0))

    def _next_chunk(self) -> bytes:
        """Removes queued lines of up to _PIPE_CHUNK_BYTES from the queue."""
        chunk = self._queue.popleft()
        if len(chunk) > _PIPE_CHUNK_BYTES:
            self._queue.appendleft(chunk[_PIPE_CHUNK_BYTES:])
            return chunk[:_PIPE_CHUNK_BYTES]
        while (
            self._queue
            and len(chunk) + len(self._queue[0]) <= _PIPE_CHUNK_BYTES
        ):
            chunk += self._queue.popleft()
        return chunk


class _Logger:
    """Logger that structlog passes rendered lines to."""

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
    """Sends all logs to standard output.

    Args:
        fields: Fields of every line.

    Returns:
        The writer, which the caller has to flush.
    """
    writer = Writer(sys.stdout.fileno())
    configure_writer(writer, **fields)
    return writer


async def flush_periodically(writer: Writer) -> None:
    """Flushes a writer periodically until cancelled."""
    while True:
        writer.flush()
        await trio.sleep(_FLUSH_INTERVAL_S)


def configure_writer(writer: Writer, **fields: Any) -> None:
    """Sends all logs to a writer.

    Args:
        writer: The writer, which the caller has to flush.
        fields: Fields of every line.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            # Local variables are left out since they hold keys and bodies.
            structlog.processors.ExceptionRenderer(
                structlog.tracebacks.ExceptionDictTransformer(show_locals=False)
            ),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=lambda *args: _Logger(writer),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**fields)
