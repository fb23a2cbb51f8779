"""Interface to compacted topics of a log.

A compacted topic keeps the newest record of each key for ever. The protocols
hold only the operations that this system needs; clients implement them.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec

from lacewingwood.log import errors


class FencedError(errors.LogError):
    """A writer with a later epoch has fenced this one; nothing was appended."""

    code = "log_fenced"


class ConflictError(errors.LogError):
    """The partition does not end where the append expects; nothing was done."""

    code = "log_conflict"


class FullError(errors.LogError):
    """The log has no space left; nothing was appended."""

    code = "log_full"


class Partition(msgspec.Struct, frozen=True, order=True):
    """One partition of a compacted topic."""

    topic: str
    number: int


class Record(msgspec.Struct, frozen=True):
    """A record of a compacted topic.

    Attributes:
        key: Key of the record; a newer record of the same key replaces it.
        value: The value, None if the key was deleted.
        offset: Position in the partition, -1 before the append.
    """

    key: str
    value: bytes | None
    offset: int = -1


class Page(msgspec.Struct, frozen=True):
    """Records in offset order, as many as the log returns at once.

    Attributes:
        records: The records.
        next_offset: Offset to read on from.
        end: Offset after the partition's last record. More records follow if
            it is greater than `next_offset`.
    """

    records: list[Record]
    next_offset: int
    end: int


class Snapshot(msgspec.Struct, frozen=True):
    """The newest record of each key, and the offset to read on from.

    Records appended while the snapshot was read may be missing from it; all of
    these have offsets of at least `next_offset`.
    """

    records: list[Record]
    next_offset: int


# Receives records of a partition, some at a time.
OnRecords = Callable[[list[Record]], None]


class Fence(msgspec.Struct):
    """Identity of a writer, which fences writers of earlier epochs.

    Attributes:
        producer: Name shared by all writers that take turns in a partition.
        epoch: Once a writer has appended with an epoch, the log rejects
            appends of the same producer with a lower one.
        sequence: Sequence number of the writer's next append.
    """

    producer: str
    epoch: int
    sequence: int = 0


class Assignment(msgspec.Struct, frozen=True):
    """The partitions that a member of a group holds.

    Attributes:
        generation: Increases with each change of any member's partitions.
        partitions: The partitions of this member.
    """

    generation: int
    partitions: frozenset[Partition]


class CompactedLog(Protocol):
    """Access to compacted topics."""

    async def snapshot(self, partition: Partition) -> Snapshot:
        """Returns the newest record of each key.

        Raises:
            UnavailableError: The log gave no usable answer.
        """

    async def scan(self, partition: Partition, on_records: OnRecords) -> int:
        """Passes on the newest record of each key, one page after another.

        Returns:
            The offset to read on from, see `Snapshot`.

        Raises:
            UnavailableError: The log gave no usable answer. Some pages may have
                been passed on.
        """

    async def find(self, partition: Partition, key: str) -> Record | None:
        """Returns the newest record of a key, None if it has none.

        Raises:
            UnavailableError: The log gave no usable answer.
        """

    async def read(
        self,
        partition: Partition,
        start: int,
        wait_ms: float,
        max_bytes: int | None = None,
    ) -> Page:
        """Returns records from `start` on, not always all of them.

        Waits up to `wait_ms` for a record if there is none. With `max_bytes`
        it returns about as many bytes at most, but at least one record.

        Raises:
            UnavailableError: The log gave no usable answer.
            OffsetExpiredError: The log no longer keeps all records from
                `start` on.
        """

    async def append(
        self,
        partition: Partition,
        records: list[Record],
        fence: Fence | None = None,
        expected_end: int | None = None,
    ) -> None:
        """Appends either all of the records or none.

        An append with a fence that is repeated with the same sequence number
        after an unknown outcome takes effect once. With an empty list of
        records it only establishes the epoch of the fence.

        Args:
            partition: The partition.
            records: The records, in order.
            fence: Identity of the writer, None for an append without one.
            expected_end: The append takes effect only if the partition ends at
                this offset; None for no condition.

        Raises:
            UnavailableError: The log gave no usable answer.
            ConflictError: The partition ends at another offset.
            FencedError: A writer with a later epoch exists.
            FullError: The log has no space left.
        """


class Groups(Protocol):
    """Membership in groups whose members share the partitions of topics."""

    async def join(
        self,
        group: str,
        member: str,
        topics: list[str],
        ttl_ms: int,
        generation: int,
    ) -> Assignment:
        """Joins a group or renews the membership; returns the partitions held.

        Raises:
            UnavailableError: The log gave no usable answer.
        """

    async def leave(self, group: str, member: str) -> None:
        """Leaves a group.

        Raises:
            UnavailableError: The log gave no usable answer.
        """
