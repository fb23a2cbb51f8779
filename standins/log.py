"""Stand-in for the log service: append-only streams kept in memory."""

import collections
import time
import urllib.parse
from collections.abc import Callable
from typing import Any

import msgspec
import trio

from lacewingwood.log import types
from standins import server

_RECORD_LIMIT_BYTES = 1 << 20
_PAGE_LIMIT_BYTES = 8 << 20
_WAIT_LIMIT_MS = 60_000


def wall_ms() -> int:
    """Returns wall-clock time in ms since the epoch."""
    return time.time_ns() // 1_000_000


class Faults(msgspec.Struct):
    """Faults to show, as set by `POST /faults`; missing fields stay as is.

    Attributes:
        down: True to answer all calls to streams with 503.
        delay_ms: Delay of each answer.
        lose_answers: Number of coming appends that are applied but not
            answered.
    """

    down: bool = False
    delay_ms: float = 0
    lose_answers: int = 0


class Settings(msgspec.Struct):
    """Limits of the log.

    Attributes:
        appends_per_s: Appends accepted per second, over all streams.
        retention_ms: Time for which a record is kept.
    """

    appends_per_s: float = 400
    retention_ms: int = 3_600_000


class _Stream:
    __slots__ = ("appended", "entries", "first")

    def __init__(self) -> None:
        self.entries: collections.deque[types.Entry] = collections.deque()
        self.first = 0
        self.appended = trio.Event()

    @property
    def head(self) -> int:
        return self.first + len(self.entries)

    def append(self, data: bytes, time_ms: int) -> int:
        offset = self.head
        self.entries.append(types.Entry(offset, time_ms, data))
        self.appended.set()
        self.appended = trio.Event()
        return offset

    def expire(self, before_ms: int) -> None:
        while self.entries and self.entries[0].time_ms < before_ms:
            self.entries.popleft()
            self.first += 1

    def page(self, start: int, limit: int) -> list[types.Entry]:
        entries: list[types.Entry] = []
        size = 0
        for index in range(start - self.first, len(self.entries)):
            entry = self.entries[index]
            size += len(entry.data)
            if len(entries) == limit or (entries and size > _PAGE_LIMIT_BYTES):
                break
            entries.append(entry)
        return entries


class _TokenBucket:
    """A token bucket whose burst is one second's tokens, at least one."""

    __slots__ = ("_burst", "_rate_per_s", "_tokens", "_updated_s")

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = max(1.0, rate_per_s)
        self._tokens = self._burst
        self._updated_s = trio.current_time()

    def take(self) -> bool:
        now_s = trio.current_time()
        gained = (now_s - self._updated_s) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + gained)
        self._updated_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Log:
    """Streams, limits and faults of the log; `handle` answers requests."""

    def __init__(
        self, settings: Settings, wall_ms: Callable[[], int] = wall_ms
    ) -> None:
        self.faults = Faults()
        self._settings = settings
        self._wall_ms = wall_ms
        self._append_bucket = _TokenBucket(settings.appends_per_s)
        self._streams: dict[str, _Stream] = {}
        self._went_down = trio.Event()
        self._appends = 0

    async def handle(self, request: server.Request) -> None:
        """Answers one request."""
        if request.path == "/faults":
            await self._answer_faults(request)
        elif request.path == "/stats":
            await request.answer_json(200, self._stats())
        elif request.path.startswith("/streams/"):
            await self._answer_stream(request)
        else:
            await request.answer(404)

    def set_faults(self, changes: dict[str, Any]) -> None:
        """Changes the faults given; an outage ends all long polls."""
        merged = {**msgspec.to_builtins(self.faults), **changes}
        self.faults = msgspec.convert(merged, Faults)
        if self.faults.down:
            self._went_down.set()
            self._went_down = trio.Event()

    def _stats(self) -> dict[str, object]:
        heads = {name: stream.head for name, stream in self._streams.items()}
        return {"appends": self._appends, "heads": heads}

    async def _answer_faults(self, request: server.Request) -> None:
        self.set_faults(msgspec.json.decode(await request.body()))
        await request.answer_json(200, self.faults)

    async def _answer_stream(self, request: server.Request) -> None:
        body = await request.body()
        if self.faults.delay_ms:
            await trio.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            await request.answer(503)
            return
        name = request.path.removeprefix("/streams/")
        if request.method == "POST":
            await self._append(request, name, body)
        else:
            await self._read(request, name)

    async def _append(
        self, request: server.Request, name: str, body: bytes
    ) -> None:
        if len(body) > _RECORD_LIMIT_BYTES:
            await request.answer(413)
            return
        if not self._append_bucket.take():
            await request.answer(429)
            return
        stream = self._stream(name)
        stream.expire(self._wall_ms() - self._settings.retention_ms)
        offset = stream.append(body, self._wall_ms())
        self._appends += 1
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            await request.abort()
            return
        await request.answer_json(200, {"offset": offset})

    async def _read(self, request: server.Request, name: str) -> None:
        start = int(request.query.get("start", "0"))
        limit = int(request.query.get("limit", "1000"))
        wait_ms = float(request.query.get("wait_ms", "0"))
        stream = self._stream(name)
        if start >= stream.head and wait_ms > 0:
            await self._wait(stream, start, min(wait_ms, _WAIT_LIMIT_MS))
        if self.faults.down:
            await request.answer(503)
            return
        stream.expire(self._wall_ms() - self._settings.retention_ms)
        if start < stream.first:
            await request.answer_json(410, {"first": stream.first})
            return
        page = types.Page(
            stream.page(start, limit),
            stream.first,
            stream.head,
            self._settings.retention_ms,
        )
        body = msgspec.msgpack.encode(page)
        await request.answer(200, body, "application/msgpack")

    async def _wait(self, stream: _Stream, start: int, wait_ms: float) -> None:
        with trio.move_on_after(wait_ms / 1000):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_when_set, self._went_down, nursery)
                while start >= stream.head and not self.faults.down:
                    await stream.appended.wait()
                nursery.cancel_scope.cancel()

    def _stream(self, name: str) -> _Stream:
        name = urllib.parse.unquote(name)
        stream = self._streams.get(name)
        if stream is None:
            stream = self._streams[name] = _Stream()
        return stream


async def _cancel_when_set(event: trio.Event, nursery: trio.Nursery) -> None:
    await event.wait()
    nursery.cancel_scope.cancel()
