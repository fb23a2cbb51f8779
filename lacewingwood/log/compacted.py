"""Compacted topics of a log: the newest record of each key is kept for ever.

The interfaces are those that the product needs; clients implement them.
"""

from typing import Protocol

import msgspec

from lacewingwood.log import errors


class FencedError(errors.LogError):
    """A later owner has fenced this writer; nothing was appended."""

    code = "log_fenced"


class FullError(errors.LogError):
    """The log has no room left; nothing was appended."""

    code = "log_full"


class Partition(msgspec.Struct, frozen=True, order=True):
    """One partition of a compacted topic."""

    topic: str
    number: int


class Record(msgspec.Struct, frozen=True):
    """A record of a compacted topic.

    Attributes:
        key: What it is about.
        value: The value, None if the key was deleted.
        offset: Position in its partition.
    """

    key: str
    value: bytes | None
    offset: int = -1


class Page(msgspec.Struct, frozen=True):
    """Records in offset order, and the offset that follows the last one."""

    records: list[Record]
    next_offset: int


class Snapshot(msgspec.Struct, frozen=True):
    """The newest record of each key, and an offset to read on from.

    Records appended while the snapshot was read may be missing from it; all
    of them are at or after `next_offset`.
    """

    records: list[Record]
    next_offset: int


class Fence(msgspec.Struct):
    """Identity of a writer that later writers shut out.

    Attributes:
        producer: Name shared by all writers of one role in a partition.
        epoch: A writer with a greater epoch shuts out those below.
        sequence: Number of the writer's next append.
    """

    producer: str
    epoch: int
    sequence: int = 0


class Assignment(msgspec.Struct, frozen=True):
    """The partitions that a member of a group holds.

    Attributes:
        generation: Rises with each change of any member's partitions.
        partitions: What this member holds.
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

    async def read(
        self, partition: Partition, start: int, wait_ms: float
    ) -> Page:
        """Returns records from `start` on; waits for one up to `wait_ms`.

        Raises:
            UnavailableError: The log gave no usable answer.
            OffsetExpiredError: Records from `start` on are no longer kept.
        """

    async def append(
        self,
        partition: Partition,
        records: list[Record],
        fence: Fence | None = None,
    ) -> None:
        """Appends records, all or none.

        With a fence a repeat after an unclear outcome takes effect once. No
        records at all sets the fence's epoch.

        Raises:
            UnavailableError: The log gave no usable answer.
            FencedError: A writer with a later epoch exists.
            FullError: The log has no room.
        """


class Groups(Protocol):
    """Distribution of partitions over the members of a group."""

    async def join(
        self,
        group: str,
        member: str,
        topics: list[str],
        ttl_ms: int,
        generation: int,
    ) -> Assignment:
        """Joins a group or keeps the membership; returns what it holds.

        Raises:
            UnavailableError: The log gave no usable answer.
        """

    async def leave(self, group: str, member: str) -> None:
        """Gives up the membership.

        Raises:
            UnavailableError: The log gave no usable answer.
        """
