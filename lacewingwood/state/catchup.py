"""Recent records for peers that lag, and loading of a view from the log."""

import collections

from lacewingwood.log import types as log_types
from lacewingwood.state import errors
from lacewingwood.state import records
from lacewingwood.state import snapshot
from lacewingwood.state import view as view_lib

# Covers several hours at 10,000 records a day; a peer that is further behind
# fetches the whole view.
_MAX_HISTORY_RECORDS = 4096
_MAX_HISTORY_BYTES = 4 << 20

# An answer to a peer holds at least one record, and further ones up to this
# size.
_MAX_ANSWER_BYTES = 1 << 20


class History:
    """The most recent records applied, for peers that lag behind."""

    __slots__ = ("_bytes", "_data", "_end")

    def __init__(self) -> None:
        self._data: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self._end = 0

    def add(self, offset: int, data: bytes) -> None:
        """Adds the record at `offset`; a gap drops all earlier records."""
        if offset != self._end:
            self._data.clear()
            self._bytes = 0
        self._data.append(data)
        self._bytes += len(data)
        self._end = offset + 1
        while len(self._data) > _MAX_HISTORY_RECORDS or (
            self._bytes > _MAX_HISTORY_BYTES and len(self._data) > 1
        ):
            self._bytes -= len(self._data.popleft())

    def since(self, start: int) -> list[bytes]:
        """Returns records from `start` on; empty if `start` is not kept."""
        first = self._end - len(self._data)
        if start < first:
            return []
        found: list[bytes] = []
        size = 0
        for index in range(start - first, len(self._data)):
            size += len(self._data[index])
            if found and size > _MAX_ANSWER_BYTES:
                break
            found.append(self._data[index])
        return found


class Loader:
    """Builds a view from the records of the log.

    The view starts from the newest snapshot among them, or from an empty view
    if the log is read from its first record on.

    Attributes:
        next_offset: Offset of the next record to read.
    """

    __slots__ = ("_assembler", "_pending", "_start", "next_offset")

    def __init__(self, start: int) -> None:
        self.next_offset = start
        self._start = start
        self._assembler = snapshot.Assembler()
        self._pending: list[log_types.Entry] = []

    def add(self, entries: list[log_types.Entry]) -> None:
        """Adds the records read from `next_offset` on."""
        for entry in entries:
            if entry.offset == self.next_offset:
                self.next_offset += 1
                self._pending.append(entry)
                self._look_for_snapshot(entry.data)

    def view(self) -> view_lib.View | None:
        """Returns the view below `next_offset`.

        Returns None if the records neither start at offset 0 nor contain a
        snapshot that covers all offsets before them.
        """
        view = self._assembler.newest
        if view is None and self._start == 0:
            view = view_lib.View()
        if view is None or view.offset < self._start:
            return None
        for entry in self._pending:
            if entry.offset == view.offset:
                view.apply(entry.offset, entry.data)
        return view

    def _look_for_snapshot(self, data: bytes) -> None:
        try:
            body = records.decode(data).body
        except errors.BadRecordError:
            return
        if not isinstance(body, records.Snapshot):
            return
        newest = self._assembler.newest
        if self._assembler.add(body) and self._assembler.newest != newest:
            covered = body.covers
            self._pending = [e for e in self._pending if e.offset >= covered]
