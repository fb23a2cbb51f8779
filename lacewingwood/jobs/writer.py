"""Fenced appends to one partition of the job topics."""

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import records
from lacewingwood.jobs import table as tables
from lacewingwood.log import compacted
from lacewingwood.log import errors as log_errors
from lacewingwood.log import follow

# Number of epochs that one member may use in one generation of the group.
EPOCHS_PER_GENERATION = 1 << 16

_PRODUCER = "owner"
_RETRY_DELAY_MS = 150.0

_log = structlog.get_logger()


class Writer:
    """Appends to a partition until a later owner fences it.

    Attributes:
        epoch: This writer's epoch; final once `claim` has returned.
        lost: Set once the log has reported a later owner.
    """

    __slots__ = (
        "_cancelled_batch",
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
        self._cancelled_batch: list[compacted.Record] | None = None

    async def claim(self, scan: follow.Scan, table: tables.Table) -> int:
        """Fences all earlier owners.

        Args:
            scan: Scans the partition.
            table: Receives the newest records, read before the claim.

        Returns:
            The offset to read on from. Records that earlier owners appended
            between the scan and the claim are at or after it.

        Raises:
            compacted.FencedError: The owner of a later generation has claimed
                the partition.
        """
        while True:
            try:
                newest_epoch, next_offset = await self._load(scan, table)
                if _generation(newest_epoch) > _generation(self._min_epoch):
                    break
                self._set_epoch(newest_epoch)
                record = records.claim_record(self.epoch)
                await self._log.append(self._partition, [record], self._fence)
                self._fence.sequence += 1
                return next_offset
            except compacted.FencedError:
                # An earlier process on this host has used the epoch; the next
                # snapshot holds its claim record.
                self._metrics.add("claims_fenced")
            except log_errors.LogError as exc:
                self._metrics.add("claims_failed", code=exc.code)
            await self._clock.sleep_ms(_RETRY_DELAY_MS)
        # This gateway has not yet heard that the partition is no longer its
        # own. A higher epoch would fence the rightful owner.
        self._note_ownership_lost()
        raise compacted.FencedError("a later generation's owner exists")

    async def _load(
        self, scan: follow.Scan, table: tables.Table
    ) -> tuple[int, int]:
        """Loads the table; returns the newest epoch and the next offset."""
        newest_epoch = -1

        def load(page: list[compacted.Record]) -> None:
            nonlocal newest_epoch
            for record in page:
                newest_epoch = max(newest_epoch, records.claimed_epoch(record))
            table.load(page)

        table.clear()
        next_offset = await scan(self._partition, load)
        return newest_epoch, next_offset

    async def append(self, batch: list[compacted.Record]) -> None:
        """Appends records, all or none.

        An append whose outcome is unknown may still take effect later, so it
        is repeated under the same sequence number before any other append.

        Raises:
            compacted.FencedError: A later owner exists.
            log_errors.LogError: Nothing was appended.
        """
        async with self._lock:
            if self.lost.is_set():
                raise compacted.FencedError("a later owner exists")
            if self._cancelled_batch is not None:
                await self._append_next(self._cancelled_batch, True)
            await self._append_next(batch, False)

    async def _append_next(
        self, batch: list[compacted.Record], outcome_unknown: bool
    ) -> None:
        """Appends under the next sequence number.

        An append whose caller is cancelled may have taken effect. It is kept
        and repeated before the next one: the log would take another batch under
        its sequence number for its repetition and drop it.
        """
        self._cancelled_batch = batch
        try:
            await self._append_until_settled(batch, outcome_unknown)
        except log_errors.LogError:
            self._cancelled_batch = None
            raise
        self._cancelled_batch = None
        self._fence.sequence += 1

    async def _append_until_settled(
        self, batch: list[compacted.Record], outcome_unknown: bool
    ) -> None:
        while True:
            try:
                await self._log.append(self._partition, batch, self._fence)
                return
            except compacted.FencedError:
                self._note_ownership_lost()
                raise
            except log_errors.UnavailableError as exc:
                self._metrics.add("owner_appends_failed", code=exc.code)
                outcome_unknown = outcome_unknown or exc.may_have_taken_effect
                if not outcome_unknown:
                    raise
                await self._clock.sleep_ms(_RETRY_DELAY_MS)

    def _set_epoch(self, newest_epoch: int) -> None:
        """Chooses an epoch that no earlier owner of the partition has used.

        The group assigns a partition to one member in each generation, and
        each generation has its own range of epochs. Within that range the
        epochs belong to successive processes on this host.
        """
        self.epoch = max(self._min_epoch, newest_epoch + 1)
        self._fence = compacted.Fence(_PRODUCER, self.epoch)

    def _note_ownership_lost(self) -> None:
        _log.warning(
            "ownership lost",
            topic=self._partition.topic,
            part=self._partition.number,
            epoch=self.epoch,
        )
        self.lost.set()


def _generation(epoch: int) -> int:
    """Returns the generation of the group to which an epoch belongs."""
    return epoch // EPOCHS_PER_GENERATION
