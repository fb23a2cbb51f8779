"""Reads a partition of a compacted topic and its further changes."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.log import compacted
from lacewingwood.log import errors

# A failed read is retried after this delay, doubled with each further failure
# up to `_MAX_RETRY_MS`.
_MIN_RETRY_MS = 100.0
_MAX_RETRY_MS = 400.0

# Passes on the newest records of a partition; see `CompactedLog.scan`.
Scan = Callable[
    [compacted.Partition, compacted.OnRecords], Coroutine[Any, Any, int]
]

_log = structlog.get_logger()


class Follower:
    """Reads a snapshot of a partition, then the records that follow.

    Attributes:
        ready: Set once a snapshot was read and passed on.
        last_answer_ms: When the log last answered; the time of creation before
            the first answer.
        position: Offset of the next record to read, -1 if a snapshot has to be
            read first.
    """

    __slots__ = (
        "_clock",
        "_is_unreachable",
        "_log",
        "_metrics",
        "_on_records",
        "_on_snapshot",
        "_partition",
        "_pause_ms",
        "_scan",
        "_wait_ms",
        "last_answer_ms",
        "position",
        "ready",
    )

    def __init__(
        self,
        log: compacted.CompactedLog,
        partition: compacted.Partition,
        on_snapshot: Callable[[list[compacted.Record]], None],
        on_records: Callable[[list[compacted.Record]], None],
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
        *,
        wait_ms: float,
        pause_ms: float,
        scan: Scan | None = None,
    ) -> None:
        """Creates a follower; `run` does the reading.

        Args:
            log: Log to read from.
            partition: Partition to read.
            on_snapshot: Called with the newest record of each key.
            on_records: Called with the records that follow, in order; with an
                empty list if the log answered that there are none.
            clock: Source of time.
            metrics: Counts failed reads.
            wait_ms: How long a read waits for a record.
            pause_ms: Pause after each read; bounds the rate of reads.
            scan: Scans the partition in place of a snapshot, which is not held
                as a whole then: `on_snapshot` is called with each page.
        """
        self.ready = trio.Event()
        self.last_answer_ms = clock.now_ms()
        self.position = -1
        self._log = log
        self._partition = partition
        self._on_snapshot = on_snapshot
        self._on_records = on_records
        self._clock = clock
        self._metrics = metrics
        self._wait_ms = wait_ms
        self._pause_ms = pause_ms
        self._scan = scan
        self._is_unreachable = False

    async def run(self) -> None:
        """Reads until cancelled; retries failed reads."""
        retry_ms = _MIN_RETRY_MS
        while True:
            try:
                await self.poll(self._wait_ms)
            except errors.LogError as exc:
                self._note_failure(exc)
                await self._clock.sleep_ms(retry_ms)
                retry_ms = min(retry_ms * 2, _MAX_RETRY_MS)
                continue
            retry_ms = _MIN_RETRY_MS
            await self._clock.sleep_ms(self._pause_ms)

    async def catch_up(self) -> None:
        """Reads all records that were appended before this call.

        A single read returns only a part of them if they are many.

        Raises:
            errors.LogError: The log gave no usable answer. What it returned
                until then has been passed on.
        """
        end = await self.poll(0)
        while self.position < end:
            before = self.position
            await self.poll(0)
            if self.position == before:
                raise errors.UnavailableError(
                    "a read returned no record before the end", False
                )

    async def poll(self, wait_ms: float) -> int:
        """Reads a snapshot if one is needed, otherwise some new records.

        Args:
            wait_ms: How long to wait for a record if there is none.

        Returns:
            Offset after the partition's last record. The read has not reached
            it if it is greater than `position`.

        Raises:
            errors.LogError: The log gave no usable answer.
        """
        if self.position < 0:
            return await self._read_snapshot()
        return await self._read_records(wait_ms)

    async def _read_snapshot(self) -> int:
        if self._scan is not None:
            next_offset = await self._scan(self._partition, self._on_snapshot)
            self._note_answer()
            self.position = next_offset
        else:
            snapshot = await self._log.snapshot(self._partition)
            self._note_answer()
            self.position = next_offset = snapshot.next_offset
            self._on_snapshot(snapshot.records)
        self.ready.set()
        return next_offset

    async def _read_records(self, wait_ms: float) -> int:
        position = self.position
        try:
            page = await self._log.read(self._partition, position, wait_ms)
        except errors.OffsetExpiredError:
            _log.info(
                "offset expired; reading a new snapshot",
                topic=self._partition.topic,
                part=self._partition.number,
                position=position,
            )
            self.position = -1
            return await self._read_snapshot()
        self._note_answer()
        if self.position < 0 or page.next_offset < self.position:
            # A concurrent read of this follower has already read further.
            return page.end
        records = [r for r in page.records if r.offset >= self.position]
        self.position = page.next_offset
        self._on_records(records)
        return page.end

    def _note_answer(self) -> None:
        now_ms = self._clock.now_ms()
        if self._is_unreachable:
            self._is_unreachable = False
            _log.info(
                "log regained",
                topic=self._partition.topic,
                part=self._partition.number,
                silent_ms=round(now_ms - self.last_answer_ms),
            )
        self.last_answer_ms = now_ms

    def _note_failure(self, exc: errors.LogError) -> None:
        self._metrics.add("log_read_failures", topic=self._partition.topic)
        if self._is_unreachable:
            return
        self._is_unreachable = True
        _log.warning(
            "log lost",
            topic=self._partition.topic,
            part=self._partition.number,
            code=exc.code,
            detail=exc.message[:80],
        )
