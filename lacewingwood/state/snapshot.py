"""Encoding of the view as snapshot records on `control`, in several parts."""

from lacewingwood.state import errors
from lacewingwood.state import records
from lacewingwood.state import view as view_lib

# The log accepts records of up to 1 MiB; the remaining bytes are for the record
# that contains the part.
PART_BYTES = 1_000_000

# Number of incomplete snapshots whose parts are kept while reading. Concurrent
# writers are few, and later snapshots displace those of a writer that died.
_MAX_UNFINISHED = 8


def split(
    view: view_lib.View, snapshot_id: str, part_bytes: int = PART_BYTES
) -> list[records.Snapshot]:
    """Returns the parts of a snapshot of `view`.

    All parts are encoded at once, as the view changes while they are written.
    """
    data = view.encode()
    pieces = [
        data[start : start + part_bytes]
        for start in range(0, len(data), part_bytes)
    ]
    return [
        records.Snapshot(snapshot_id, view.offset, index, len(pieces), piece)
        for index, piece in enumerate(pieces)
    ]


class Assembler:
    """Assembles snapshots from their parts.

    Attributes:
        newest: View from the complete snapshot that covers the most records,
            or None.
    """

    __slots__ = ("_unfinished", "newest")

    def __init__(self) -> None:
        self.newest: view_lib.View | None = None
        self._unfinished: dict[tuple[str, int, int], dict[int, bytes]] = {}

    def add(self, part: records.Snapshot) -> bool:
        """Adds one part; returns whether `newest` changed."""
        if self.newest is not None and part.covers <= self.newest.offset:
            return False
        key = (part.snapshot_id, part.covers, part.parts)
        parts = self._unfinished.setdefault(key, {})
        parts[part.part] = part.data
        if any(index not in parts for index in range(part.parts)):
            self._drop_oldest()
            return False
        del self._unfinished[key]
        return self._complete(part, parts)

    def _complete(
        self, part: records.Snapshot, parts: dict[int, bytes]
    ) -> bool:
        data = b"".join(parts[index] for index in range(part.parts))
        try:
            view = view_lib.decode(data)
        except errors.BadRecordError:
            return False
        if view.offset != part.covers:
            return False
        self.newest = view
        return True

    def _drop_oldest(self) -> None:
        while len(self._unfinished) > _MAX_UNFINISHED:
            del self._unfinished[next(iter(self._unfinished))]
