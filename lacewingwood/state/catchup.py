"""Records kept for peers, and the first view of a starting process."""

import collections

from lacewingwood.log import types as log_types
from lacewingwood.state import errors
from lacewingwood.state import records
from lacewingwood.state import snapshot
from lacewingwood.state import view as view_lib

# Enough for a peer to follow for several hours at 10,000 records a day; one
# that is further behind takes the whole view.
_HISTORY_RECORDS = 4096
_HISTORY_BYTES = 4 << 20

# Bytes of records in one answer to a peer.
_ANSWER_BYTES = 1 << 20


class History:
    """The last records applied, for peers that are behind."""

    __slots__ = ("_bytes", "_data", "_end")

    def __init__(self) -> None:
        self._data: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self._end = 0

    def add(self, offset: int, data: bytes) -> None:
        """Keeps the record at `offset`; a gap drops those before it."""
        if offset != self._end:
            self._data.clear()
            self._bytes = 0
        self._data.append(data)
        self._bytes += len(data)
        self._end = offset + 1
        while len(self._data) > _HISTORY_RECORDS or (
            self._bytes > _HISTORY_BYTES and len(self._data) > 1
        ):
            self._bytes -= len(self._data.popleft())

    def since(self, start: int) -> list[bytes]:
        """Returns records from `start` on, none if it is no longer kept."""
        first = self._end - len(self._data)
        if start < first:
            return []
        found: list[bytes] = []
        size = 0
        for index in range(start - first, len(self._data)):
            size += len(self._data[index])
            if found and size > _ANSWER_BYTES:
                break
            found.append(self._data[index])
        return found


class Loader:
    """Makes a view from the log's records, with the newest snapshot if any.

    Attributes:
        next_offset: Offset to read next.
    """

    __slots__ = ("_assembler", "_pending", "_start", "next_offset")

    def __init__(self, start: int) -> None:
        self.next_offset = start
        self._start = start
        self._assembler = snapshot.Assembler()
        self._pending: list[log_types.Entry] = []

    def add(self, entries: list[log_types.Entry]) -> None:
        """Takes the records read at `next_offset`."""
        for entry in entries:
            if entry.offset == self.next_offset:
                self.next_offset += 1
                self._pending.append(entry)
                self._look_for_snapshot(entry.data)

    def view(self) -> view_lib.View | None:
        """Returns the view below `next_offset`, None without a snapshot."""
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
