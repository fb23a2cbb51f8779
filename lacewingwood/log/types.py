"""Types of the data exchanged with the log service."""

import msgspec


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A record as stored by the log.

    Attributes:
        offset: Position in its stream, from 0.
        time_ms: Unix time of the append by the clock of the log service.
        data: Content of the record.
    """

    offset: int
    time_ms: int
    data: bytes


class Page(msgspec.Struct, frozen=True):
    """A range of the records of a stream.

    Attributes:
        entries: Records in offset order, possibly none.
        first: Earliest offset that the log still keeps.
        head: Offset that the next append would have had when the page was
            read.
        retention_ms: How long the log keeps a record.
    """

    entries: list[Entry]
    first: int
    head: int
    retention_ms: int
