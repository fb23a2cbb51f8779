"""Claims of idempotency keys, on the log's streams `calls/SHARD`.

The first claim of a key on its stream wins. All entries read the same stream
and so agree on it. A claim whose call did not run may be released, after which
the next claim wins. Claims are forgotten when they fall off the log.
"""

import collections
import dataclasses
from typing import Protocol

import msgspec
import trio

from lacewingwood import clock as clocks
from lacewingwood.log import errors as log_errors
from lacewingwood.log import types as log_types

_SHARDS = 16
_PAGE = 1000
_ATTEMPTS = 4
_PAUSE_MS = 100.0
# Claims decide whether a call starts; a slow log must not hold callers long.
_TIMEOUT_S = 5.0


class Log(Protocol):
    """The part of log.client.LogClient that is needed here."""

    async def append(self, stream: str, data: bytes) -> int:
        """Returns the record's offset."""

    async def read(
        self, stream: str, start: int, limit: int, wait_ms: float
    ) -> log_types.Page:
        """Returns records from `start` on."""


class _Claim(msgspec.Struct, tag="claim"):
    """A request claims a key."""

    key: str
    request_id: str


class _Release(msgspec.Struct, tag="release"):
    """The owner gives a key up; its call has not run."""

    key: str
    request_id: str


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[_Claim | _Release]
_decoder = msgspec.msgpack.Decoder(_Claim | _Release)


@dataclasses.dataclass(slots=True)
class _Shard:
    """What has been read of one stream.

    Attributes:
        stream: Name of the stream.
        lock: Held while it is read.
        position: Offset of the next record to read.
        owners: For each key the request that has claimed it.
        times: Keys with the times of their claims, in order.
    """

    stream: str
    lock: trio.Lock = dataclasses.field(default_factory=trio.Lock)
    position: int = 0
    owners: dict[str, str] = dataclasses.field(default_factory=dict)
    times: collections.deque[tuple[int, str, str]] = dataclasses.field(
        default_factory=collections.deque
    )


class Claims:
    """Claims keys for this entry's requests."""

    __slots__ = ("_clock", "_log", "_orphans", "_shards")

    def __init__(self, log: Log, clock: clocks.Clock) -> None:
        self._log = log
        self._clock = clock
        # Claims whose requests were refused although they may be on the log.
        self._orphans: list[tuple[str, str]] = []
        self._shards = [_Shard(f"calls/{i}") for i in range(_SHARDS)]

    async def claim(self, key_digest: str, request_id: str) -> str:
        """Returns the id of the request that claimed the key first.

        Raises:
            log.errors.LogError: It can't be found out now.
        """
        shard = self._shard(key_digest)
        record = _encoder.encode(_Claim(key_digest, request_id))
        try:
            with trio.fail_after(_TIMEOUT_S):
                offset = await self._append(shard, record)
                await self._read_to(shard, offset)
        except (log_errors.LogError, trio.TooSlowError) as exc:
            self._orphans.append((key_digest, request_id))
            raise log_errors.UnavailableError(str(exc), True) from exc
        await self._release_orphans()
        return shard.owners.get(key_digest, "")

    async def release(self, key_digest: str, request_id: str) -> None:
        """Gives up a claim whose call has not run.

        Raises:
            log.errors.LogError: It could not be recorded.
        """
        record = _encoder.encode(_Release(key_digest, request_id))
        with trio.move_on_after(_TIMEOUT_S):
            await self._append(self._shard(key_digest), record)

    async def _release_orphans(self) -> None:
        """Releases earlier claims now that the log works again."""
        orphans, self._orphans = self._orphans, []
        for orphan in orphans:
            try:
                await self.release(*orphan)
            except log_errors.LogError:
                self._orphans.append(orphan)

    def _shard(self, key_digest: str) -> _Shard:
        return self._shards[int(key_digest[:8], 16) % _SHARDS]

    async def _append(self, shard: _Shard, record: bytes) -> int:
        """Appends until an offset is known; repeating has no effect."""
        for _ in range(_ATTEMPTS - 1):
            try:
                return await self._log.append(shard.stream, record)
            except (
                log_errors.UnavailableError,
                log_errors.RateLimitedError,
            ):
                await self._clock.sleep_ms(_PAUSE_MS)
        return await self._log.append(shard.stream, record)

    async def _read_to(self, shard: _Shard, offset: int) -> None:
        """Applies all records up to and including `offset`."""
        async with shard.lock:
            while shard.position <= offset:
                await self._read_page(shard)

    async def _read_page(self, shard: _Shard) -> None:
        try:
            page = await self._log.read(shard.stream, shard.position, _PAGE, 0)
        except log_errors.OffsetExpiredError as exc:
            shard.position = exc.first
            return
        for entry in page.entries:
            _apply(shard, entry)
        if page.entries:
            _forget_before(shard, page.entries[-1].time_ms - page.retention_ms)


def _apply(shard: _Shard, entry: log_types.Entry) -> None:
    shard.position = entry.offset + 1
    try:
        record = _decoder.decode(entry.data)
    except msgspec.MsgspecError:
        return
    owner = shard.owners.get(record.key)
    match record:
        case _Claim() if owner is None:
            shard.owners[record.key] = record.request_id
            shard.times.append((entry.time_ms, record.key, record.request_id))
        case _Release() if owner == record.request_id:
            del shard.owners[record.key]


def _forget_before(shard: _Shard, time_ms: int) -> None:
    while shard.times and shard.times[0][0] < time_ms:
        _, key, request_id = shard.times.popleft()
        if shard.owners.get(key) == request_id:
            del shard.owners[key]
