"""The project's stand-in for the store, nearer to the users' pages.

Three things are added to `standins/keyed_store.py`: a read ends at `max_kb`, a
page of the newest records ends at 1 MB, and the times of groups pause while the
store is down.
"""

import base64
import struct
import sys
import time

import msgspec
import trio

from standins import keyed_store
from standins import server

_PAGE_RECORDS = 500
_PAGE_BYTES = 1_000_000
_RECORD_LENGTH = struct.Struct(">I")
_PAGE_HEADER = struct.Struct(">QQ")


class Core(keyed_store.Core):
    """Pages of at most 500 records or 1 MB, reads of at most `max_kb`."""

    def read(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Reads records from an offset on."""
        partition = self.partition(query["topic"], int(query["part"]))
        start = int(query["from"])
        if start < partition.first:
            return super().read(query)
        limit = int(query.get("max_kb", "1024")) * 1024
        parts = [_PAGE_HEADER.pack(partition.end, partition.first)]
        size = 0
        for record in partition.records[start - partition.first :]:
            size += len(record) + _RECORD_LENGTH.size
            if size > limit and len(parts) > 1:
                break
            parts.append(_RECORD_LENGTH.pack(len(record)) + record)
        return 200, b"".join(parts)

    def newest(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Returns a page of the newest record of each key."""
        partition = self.partition(query["topic"], int(query["part"]))
        keys = sorted(k for k in partition.newest if k > query.get("after", ""))
        items = []
        size = 0
        for key in keys[:_PAGE_RECORDS]:
            offset, value = partition.newest[key]
            size += len(key) + len(value)
            if items and size > _PAGE_BYTES:
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        more = len(keys) > len(items)
        answer = {"items": items, "more": more, "end": partition.end}
        return 200, msgspec.json.encode(answer)


class Store(keyed_store.Store):
    """The store over HTTP."""

    def __init__(self, parts: int = 8) -> None:
        super().__init__(parts)
        self._down_ms = 0.0
        self._down_since_ms: float | None = None
        self.core = Core(parts, self._group_ms)

    async def handle(self, request: server.Request) -> None:
        """Answers one request."""
        await super().handle(request)
        down = self.faults.down or self.faults.silent
        now_ms = time.monotonic() * 1000
        if down and self._down_since_ms is None:
            self._down_since_ms = now_ms
        if not down and self._down_since_ms is not None:
            self._down_ms += now_ms - self._down_since_ms
            self._down_since_ms = None

    def _group_ms(self) -> float:
        """Returns the time that counts for groups."""
        return time.monotonic() * 1000 - self._down_ms


if __name__ == "__main__":
    trio.run(server.serve, Store().handle, sys.argv[1])
