"""Fenced appends to one partition of the jobs' topics."""

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import records
from lacewingwood.log import compacted
from lacewingwood.log import errors as log_errors

# Epochs that one member may use during one generation of the group.
EPOCHS_PER_GENERATION = 1 << 16

_PRODUCER = "owner"
_RETRY_MS = 150.0

_log = structlog.get_logger()


class Writer:
    """Writes to a partition until a later owner shuts it out.

    Attributes:
        epoch: This writer's epoch; final once `claim` has returned.
        lost: Set once a later owner was noticed.
    """

    __slots__ = (
        "_clock",
        "_fence",
        "_lock",
        "_log",
        "_metrics",
        "_min_epoch",
        "_partition",
        "epoch",
        "lost",
    )

    def __init__(
        self,
        log: compacted.CompactedLog,
        partition: compacted.Partition,
        min_epoch: int,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
    ) -> None:
        self.epoch = min_epoch
        self.lost = trio.Event()
        self._min_epoch = min_epoch
        self._fence = compacted.Fence(_PRODUCER, min_epoch)
        self._log = log
        self._partition = partition
        self._clock = clock
        self._metrics = metrics
        self._lock = trio.Lock()

    async def claim(self) -> compacted.Snapshot:
        """Shuts out all earlier owners.

        Returns what was on the log before; what they wrote after it and
        before the claim is at or after the snapshot's offset.
        """
        while True:
            try:
                snapshot = await self._log.snapshot(self._partition)
                self._set_epoch(snapshot.records)
                record = records.claim_record(self.epoch)
                await self._log.append(self._partition, [record], self._fence)
                self._fence.sequence += 1
                return snapshot
            except compacted.FencedError:
                # An owner of this host's earlier process; its record is in
                # the next snapshot.
                self._metrics.add("claims_fenced")
            except log_errors.LogError as exc:
                self._metrics.add("claims_failed", code=exc.code)
            await self._clock.sleep_ms(_RETRY_MS)

    async def append(self, batch: list[compacted.Record]) -> None:
        """Appends records, all or none.

        An append whose outcome is unclear is repeated under the same number
        before anything else is written, since it may still take effect.

        Raises:
            compacted.FencedError: A later owner exists.
            log_errors.LogError: Nothing was appended.
        """
        async with self._lock:
            if self.lost.is_set():
                raise compacted.FencedError("a later owner exists")
            await self._append_until_clear(batch)
            self._fence.sequence += 1

    async def _append_until_clear(self, batch: list[compacted.Record]) -> None:
        unclear = False
        while True:
            try:
                await self._log.append(self._partition, batch, self._fence)
                return
            except compacted.FencedError:
                self._note_lost()
                raise
            except log_errors.UnavailableError as exc:
                self._metrics.add("owner_appends_failed", code=exc.code)
                unclear = unclear or exc.may_have_taken_effect
                if not unclear:
                    raise
                await self._clock.sleep_ms(_RETRY_MS)

    def _set_epoch(self, snapshot: list[compacted.Record]) -> None:
        """Takes an epoch that no earlier owner of the partition had.

        The group gives a partition to one member in each generation, and each
        generation has its own range; within it the epochs are those of the
        processes that ran on this host one after another.
        """
        last = max((records.claimed_epoch(r) for r in snapshot), default=-1)
        self.epoch = max(self._min_epoch, last + 1)
        self._fence = compacted.Fence(_PRODUCER, self.epoch)

    def _note_lost(self) -> None:
        _log.warning(
            "ownership lost",
            topic=self._partition.topic,
            part=self._partition.number,
            epoch=self.epoch,
        )
        self.lost.set()
