"""Data exchanged with the log service."""

import msgspec


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One record as the log keeps it.

    Attributes:
        offset: Position in its stream, from 0.
        time_ms: The log's own wall clock at the append, in ms since the epoch.
        data: The record's bytes.
    """

    offset: int
    time_ms: int
    data: bytes


class Page(msgspec.Struct, frozen=True):
    """Part of a stream.

    Attributes:
        entries: Records in offset order, possibly none.
        first: Earliest offset the log still keeps.
        head: Offset that the next append would get when the page was read.
        retention_ms: For how long the log keeps a record.
    """

    entries: list[Entry]
    first: int
    head: int
    retention_ms: int
