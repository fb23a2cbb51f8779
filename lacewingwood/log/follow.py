"""Follows one partition of a compacted topic."""

from collections.abc import Callable

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.log import compacted
from lacewingwood.log import errors

# A failed read is tried again after this time, doubled up to the longest.
_RETRY_MS = 100.0
_MAX_RETRY_MS = 400.0

_log = structlog.get_logger()


class Follower:
    """Reads a partition from its newest records on.

    Attributes:
        ready: Set once a snapshot was taken over.
        last_answer_ms: When the log answered last, or this was made.
        position: Offset of the next record to read.
    """

    __slots__ = (
        "_clock",
        "_log",
        "_lost",
        "_metrics",
        "_on_records",
        "_on_snapshot",
        "_partition",
        "_pause_ms",
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
    ) -> None:
        """Makes a follower that `run` drives.

        Args:
            log: Where to read.
            partition: What to read.
            on_snapshot: Takes the newest record of each key.
            on_records: Takes the records that follow, in order; called with
                none when the log has answered that there are none.
            clock: Source of time.
            metrics: Where failures are counted.
            wait_ms: How long a read waits for a record.
            pause_ms: Pause after each read; bounds the calls a second.
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
        self._lost = False

    async def run(self) -> None:
        """Follows until cancelled."""
        retry_ms = _RETRY_MS
        while True:
            try:
                await self.poll(self._wait_ms)
            except errors.LogError as exc:
                self._note_lost(exc)
                await self._clock.sleep_ms(retry_ms)
                retry_ms = min(retry_ms * 2, _MAX_RETRY_MS)
                continue
            retry_ms = _RETRY_MS
            await self._clock.sleep_ms(self._pause_ms)

    async def poll(self, wait_ms: float) -> None:
        """Reads once.

        Raises:
            errors.LogError: The log gave no usable answer.
        """
        if self.position < 0:
            await self._load()
        else:
            await self._read(wait_ms)

    async def _load(self) -> None:
        snapshot = await self._log.snapshot(self._partition)
        self._note_contact()
        self.position = snapshot.next_offset
        self._on_snapshot(snapshot.records)
        self.ready.set()

    async def _read(self, wait_ms: float) -> None:
        position = self.position
        try:
            page = await self._log.read(self._partition, position, wait_ms)
        except errors.OffsetExpiredError:
            _log.info(
                "history expired",
                topic=self._partition.topic,
                part=self._partition.number,
                position=position,
            )
            self.position = -1
            await self._load()
            return
        self._note_contact()
        if self.position < 0 or page.next_offset < self.position:
            # Another read of the same follower has come further.
            return
        new = [r for r in page.records if r.offset >= self.position]
        self.position = page.next_offset
        self._on_records(new)

    def _note_contact(self) -> None:
        now_ms = self._clock.now_ms()
        if self._lost:
            self._lost = False
            _log.info(
                "log regained",
                topic=self._partition.topic,
                part=self._partition.number,
                silent_ms=round(now_ms - self.last_answer_ms),
            )
        self.last_answer_ms = now_ms

    def _note_lost(self, exc: errors.LogError) -> None:
        self._metrics.add("log_read_failures", topic=self._partition.topic)
        if self._lost:
            return
        self._lost = True
        _log.warning(
            "log lost",
            topic=self._partition.topic,
            part=self._partition.number,
            code=exc.code,
            detail=exc.message[:80],
        )
