"""Claims of idempotency keys, recorded in the log's streams `calls/SHARD`.

The first claim of a key in its stream wins. All entries read the same stream
and so agree on the owner. The claim of a request that did not run may be
released, after which the next claim wins. Claims expire with the log's
retention.
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
_PAGE_SIZE = 1000
_MAX_APPEND_ATTEMPTS = 4
_RETRY_DELAY_MS = 100.0
# A request waits for its claim before it runs, so a slow log must not delay it
# for long.
_TIMEOUT_S = 5.0


class Log(Protocol):
    """The methods of log.client.LogClient that are used here."""

    async def append(self, stream: str, data: bytes) -> int:
        """Appends a record and returns its offset."""

    async def read(
        self, stream: str, start: int, limit: int, wait_ms: float
    ) -> log_types.Page:
        """Returns records from `start` on."""


class _Claim(msgspec.Struct, tag="claim"):
    """Record: a request claims a key."""

    key: str
    request_id: str


class _Release(msgspec.Struct, tag="release"):
    """Record: a key's owner, which did not run, releases the key."""

    key: str
    request_id: str


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[_Claim | _Release]
_decoder = msgspec.msgpack.Decoder(_Claim | _Release)


@dataclasses.dataclass(slots=True)
class _Shard:
    """State of one stream, as of the records read so far.

    Attributes:
        stream: Name of the stream.
        lock: Held while the stream is read.
        position: Offset of the next record to read.
        owners: Id of the owning request by key.
        claim_times: Time, key and request id of the claims, in order.
    """

    stream: str
    lock: trio.Lock = dataclasses.field(default_factory=trio.Lock)
    position: int = 0
    owners: dict[str, str] = dataclasses.field(default_factory=dict)
    claim_times: collections.deque[tuple[int, str, str]] = dataclasses.field(
        default_factory=collections.deque
    )


class Claims:
    """Claims and releases idempotency keys for this entry's requests."""

    __slots__ = ("_clock", "_log", "_shards", "_unconfirmed")

    def __init__(self, log: Log, clock: clocks.Clock) -> None:
        self._log = log
        self._clock = clock
        # Key and request id of claims that may be in the log although their
        # requests were refused.
        self._unconfirmed: list[tuple[str, str]] = []
        self._shards = [_Shard(f"calls/{i}") for i in range(_SHARDS)]

    async def claim(self, key_digest: str, request_id: str) -> str:
        """Returns the id of the request that claimed the key first.

        Raises:
            log.errors.LogError: The log is not available, or too slow.
        """
        shard = self._shard(key_digest)
        record = _encoder.encode(_Claim(key_digest, request_id))
        try:
            with trio.fail_after(_TIMEOUT_S):
                offset = await self._append(shard, record)
                await self._read_to(shard, offset)
        except (log_errors.LogError, trio.TooSlowError) as exc:
            self._unconfirmed.append((key_digest, request_id))
            raise log_errors.UnavailableError(str(exc), True) from exc
        await self._release_unconfirmed()
        return shard.owners.get(key_digest, "")

    async def release(self, key_digest: str, request_id: str) -> None:
        """Releases the claim of a request that did not run.

        Raises:
            log.errors.LogError: The release could not be recorded.
        """
        record = _encoder.encode(_Release(key_digest, request_id))
        with trio.move_on_after(_TIMEOUT_S):
            await self._append(self._shard(key_digest), record)

    async def _release_unconfirmed(self) -> None:
        """Releases the claims of refused requests once the log works again."""
        unconfirmed, self._unconfirmed = self._unconfirmed, []
        for claim_args in unconfirmed:
            try:
                await self.release(*claim_args)
            except log_errors.LogError:
                self._unconfirmed.append(claim_args)

    def _shard(self, key_digest: str) -> _Shard:
        return self._shards[int(key_digest[:8], 16) % _SHARDS]

    async def _append(self, shard: _Shard, record: bytes) -> int:
        """Appends a record, with retries; a duplicate record has no effect."""
        for _ in range(_MAX_APPEND_ATTEMPTS - 1):
            try:
                return await self._log.append(shard.stream, record)
            except (
                log_errors.UnavailableError,
                log_errors.RateLimitedError,
            ):
                await self._clock.sleep_ms(_RETRY_DELAY_MS)
        return await self._log.append(shard.stream, record)

    async def _read_to(self, shard: _Shard, offset: int) -> None:
        """Applies all records up to and including `offset`."""
        async with shard.lock:
            while shard.position <= offset:
                await self._read_page(shard)

    async def _read_page(self, shard: _Shard) -> None:
        try:
            page = await self._log.read(
                shard.stream, shard.position, _PAGE_SIZE, 0
            )
        except log_errors.OffsetExpiredError as exc:
            shard.position = exc.first
            return
        for entry in page.entries:
            _apply_record(shard, entry)
        if page.entries:
            _expire_claims_before(
                shard, page.entries[-1].time_ms - page.retention_ms
            )


def _apply_record(shard: _Shard, entry: log_types.Entry) -> None:
    shard.position = entry.offset + 1
    try:
        record = _decoder.decode(entry.data)
    except msgspec.MsgspecError:
        return
    owner = shard.owners.get(record.key)
    match record:
        case _Claim() if owner is None:
            shard.owners[record.key] = record.request_id
            shard.claim_times.append(
                (entry.time_ms, record.key, record.request_id)
            )
        case _Release() if owner == record.request_id:
            del shard.owners[record.key]


def _expire_claims_before(shard: _Shard, time_ms: int) -> None:
    while shard.claim_times and shard.claim_times[0][0] < time_ms:
        _, key, request_id = shard.claim_times.popleft()
        if shard.owners.get(key) == request_id:
            del shard.owners[key]
