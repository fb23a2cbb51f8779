"""Client of the platform's metadata store.

Implements `compacted.CompactedLog` and `compacted.Groups` over HTTP.
"""

import base64
import struct
import urllib.parse
from typing import Any

import h11
import msgspec
import trio

from lacewingwood import metrics as metrics_lib
from lacewingwood.log import compacted
from lacewingwood.log import errors
from lacewingwood.upstreams import errors as upstream_errors
from lacewingwood.upstreams import http1
from lacewingwood.upstreams import pools as pools_lib

# A call normally takes about 4 ms. The timeout still covers the usual
# slowdown of the store by a factor of 60.
_CALL_TIMEOUT_S = 1.5
_CONNECT_TIMEOUT_S = 0.5
_MAX_CONNECTIONS = 64
_MAX_READ_KB = 1024
# A page of the newest records holds 1 MB in base64, and a read as much.
_MAX_ANSWER_BYTES = 4 << 20
# The store compacts only topics whose names have this prefix.
_TOPIC_PREFIX = "keyed."
_RECORD_LENGTH = struct.Struct(">I")
# End and first offset of the partition.
_PAGE_HEADER = struct.Struct(">QQ")

_STATUS_OK = 200
_STATUS_GONE = 410
_STATUS_CONFLICT = 409
_STATUS_FULL = 507
# Statuses of calls that had no effect.
_REFUSED_STATUSES = frozenset((400, 403, 413, 429, 503))


class _Item(msgspec.Struct):
    key: str
    offset: int
    # In base64; None or empty for a deleted key.
    value: str | None = None


class _NewestResponse(msgspec.Struct):
    items: list[_Item]
    # Offset after the partition's last record.
    end: int
    # Whether further pages follow.
    more: bool = False


class _ExpiredResponse(msgspec.Struct):
    # Offset of the first record that is still kept.
    first: int = 0


class _ConflictResponse(msgspec.Struct):
    why: str = ""


class _JoinResponse(msgspec.Struct):
    generation: int
    # Topic, partition number and a value that is not used here.
    parts: list[tuple[str, int, int]]


class Store:
    """Client of the compacted topics and the groups of the store."""

    def __init__(self, address: str, metrics: metrics_lib.Registry) -> None:
        self._host = address.encode()
        self._metrics = metrics
        self._pool = pools_lib.Pool(
            address, _MAX_CONNECTIONS, _CONNECT_TIMEOUT_S
        )

    async def snapshot(
        self, partition: compacted.Partition
    ) -> compacted.Snapshot:
        """Returns the newest record of each key.

        See `compacted.CompactedLog`.
        """
        records: list[compacted.Record] = []
        end = await self.scan(partition, records.extend)
        return compacted.Snapshot(records, end)

    async def scan(
        self, partition: compacted.Partition, on_records: compacted.OnRecords
    ) -> int:
        """Passes on the newest record of each key.

        See `compacted.CompactedLog`.
        """
        end, after = -1, ""
        starts: set[str] = set()
        while True:
            page = await self._newest(partition, after)
            # Records appended while later pages are read are at or after the
            # end that the first page reports.
            end = page.end if end < 0 else end
            on_records([_to_record(item) for item in page.items])
            if not page.more or not page.items:
                return end
            after = page.items[-1].key
            if after in starts:
                # The next pages would be the same again.
                raise errors.UnavailableError(
                    f"the pages after {after!r} repeat themselves", False
                )
            starts.add(after)

    async def find(
        self, partition: compacted.Partition, key: str
    ) -> compacted.Record | None:
        """Returns the newest record of a key; see `compacted.CompactedLog`."""
        page = await self._newest(partition, _key_before(key))
        found = [_to_record(item) for item in page.items if item.key == key]
        if not found and page.items and page.items[0].key < key:
            # The store's order of keys is another one.
            def add(records: list[compacted.Record]) -> None:
                found.extend(r for r in records if r.key == key)

            await self.scan(partition, add)
        return found[0] if found else None

    async def read(
        self,
        partition: compacted.Partition,
        start: int,
        wait_ms: float,
        max_bytes: int | None = None,
    ) -> compacted.Page:
        """Returns records from offset `start` on, at most 1 MB or one record.

        See `compacted.CompactedLog`.
        """
        max_kb = _MAX_READ_KB
        if max_bytes is not None:
            max_kb = min(max_kb, -(-max_bytes // 1024))
        query = _query(
            partition,
            **{"from": start, "max_kb": max_kb, "wait_ms": int(wait_ms)},
        )
        status, body = await self._call("GET", "read", query, wait_ms=wait_ms)
        if status == _STATUS_GONE:
            first = _decode(body, _ExpiredResponse).first
            raise errors.OffsetExpiredError(
                "records at this offset have expired", first
            )
        _require_ok(status, body)
        return _decode_page(body, start)

    async def append(
        self,
        partition: compacted.Partition,
        records: list[compacted.Record],
        fence: compacted.Fence | None = None,
        expected_end: int | None = None,
    ) -> None:
        """Appends records, all or none; see `compacted.CompactedLog`."""
        conditions: dict[str, str | int] = {}
        if fence is not None:
            conditions["producer"] = fence.producer
            conditions["epoch"] = fence.epoch
            conditions["seq"] = fence.sequence
        if expected_end is not None:
            conditions["at"] = expected_end
        query = _query(partition, **conditions)
        body = b"".join([_encode_record(record) for record in records])
        status, response = await self._call("POST", "append", query, body)
        match status:
            case 200:
                return
            case 409:
                reason = _decode(response, _ConflictResponse).why
                raise compacted.FencedError(f"append refused: {reason}")
            case 412:
                raise compacted.ConflictError("the partition has grown")
            case 507:
                raise compacted.FullError("the store is full")
            case _:
                _require_ok(status, response)

    async def join(
        self,
        group: str,
        member: str,
        topics: list[str],
        ttl_ms: int,
        generation: int,
    ) -> compacted.Assignment:
        """Joins a group or renews the membership; see `compacted.Groups`."""
        request = {
            "group": group,
            "member": member,
            "topics": [_TOPIC_PREFIX + topic for topic in topics],
            "ttl_ms": ttl_ms,
            "generation": generation,
        }
        status, body = await self._call(
            "POST", "join", "", msgspec.json.encode(request)
        )
        _require_ok(status, body)
        joined = _decode(body, _JoinResponse)
        partitions = {
            compacted.Partition(topic.removeprefix(_TOPIC_PREFIX), number)
            for topic, number, _ in joined.parts
        }
        return compacted.Assignment(joined.generation, frozenset(partitions))

    async def leave(self, group: str, member: str) -> None:
        """Leaves a group; see `compacted.Groups`."""
        request = msgspec.json.encode({"group": group, "member": member})
        status, body = await self._call("POST", "leave", "", request)
        _require_ok(status, body)

    async def _newest(
        self, partition: compacted.Partition, after: str
    ) -> _NewestResponse:
        position = {"after": after} if after else {}
        query = _query(partition, **position)
        status, body = await self._call("GET", "newest", query)
        _require_ok(status, body)
        page: _NewestResponse = _decode(body, _NewestResponse)
        return page

    async def _call(
        self,
        method: str,
        call: str,
        query: str,
        body: bytes = b"",
        wait_ms: float = 0.0,
    ) -> tuple[int, bytes]:
        self._metrics.add("store_calls", call=call)
        timeout_s = _CALL_TIMEOUT_S + wait_ms / 1000
        head = self._encode_head(method, call, query, body)
        try:
            # An answer whose head came may take the time of another call.
            with trio.fail_after(timeout_s + _CALL_TIMEOUT_S):
                async with self._pool.exchange() as exchange:
                    with trio.fail_after(timeout_s):
                        await exchange.send_whole(head, body)
                        await exchange.receive_head()
                    answer = await _read_answer(exchange)
        except upstream_errors.ConnectError as exc:
            self._metrics.add("store_errors", call=call, cause="connect")
            raise errors.UnavailableError(exc.message, False) from exc
        except (upstream_errors.UpstreamError, trio.TooSlowError) as exc:
            cause = type(exc).__name__
            self._metrics.add("store_errors", call=call, cause=cause)
            raise errors.UnavailableError(f"{cause}: {exc}", True) from exc
        if exchange.status != _STATUS_OK:
            self._metrics.add(
                "store_refusals", call=call, status=str(exchange.status)
            )
        return exchange.status, answer

    def _encode_head(
        self, method: str, call: str, query: str, body: bytes
    ) -> h11.Request:
        target = f"/-/log-{call}" + (f"?{query}" if query else "")
        headers = [(b"host", self._host)]
        if body:
            headers.append((b"content-type", b"application/json"))
        if method == "POST":
            headers.append((b"content-length", b"%d" % len(body)))
        return h11.Request(method=method, target=target, headers=headers)


def _query(partition: compacted.Partition, **fields: str | int) -> str:
    """Returns the query of a call; keys may hold any character."""
    topic = _TOPIC_PREFIX + partition.topic
    names = {"topic": topic, "part": partition.number, **fields}
    return urllib.parse.urlencode(names, safe="/", quote_via=urllib.parse.quote)


def _key_before(key: str) -> str:
    """Returns a text before a key and after nearly all that precede it."""
    if not key or ord(key[-1]) <= 1:
        return key[:-1]
    return key[:-1] + chr(ord(key[-1]) - 1) + "~"


async def _read_answer(exchange: http1.Exchange) -> bytes:
    """Returns the body of an answer.

    Raises:
        errors.UnavailableError: The body is larger than any answer.
    """
    chunks: list[bytes] = []
    size = 0
    while chunk := await exchange.next_chunk():
        chunks.append(chunk)
        size += len(chunk)
        if size > _MAX_ANSWER_BYTES:
            raise errors.UnavailableError("the answer is too large", True)
    return b"".join(chunks)


def _require_ok(status: int, body: bytes) -> None:
    if status != _STATUS_OK:
        message = f"the store answered status {status}: {body[:100]!r}"
        raise errors.UnavailableError(message, status not in _REFUSED_STATUSES)


def _decode(body: bytes, type_: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=type_, strict=False)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise errors.UnavailableError(
            f"malformed response from the store: {exc}", True
        ) from exc


def _to_record(item: _Item) -> compacted.Record:
    value = base64.b64decode(item.value) if item.value else None
    return compacted.Record(item.key, value, item.offset)


def _encode_record(record: compacted.Record) -> bytes:
    key = record.key.encode()
    content = bytes((len(key),)) + key + (record.value or b"")
    return _RECORD_LENGTH.pack(len(content)) + content


def _decode_page(body: bytes, start: int) -> compacted.Page:
    records: list[compacted.Record] = []
    position, offset = _PAGE_HEADER.size, start
    if len(body) < position:
        raise errors.UnavailableError("response to a read is too short", False)
    end, _ = _PAGE_HEADER.unpack_from(body)
    while position + _RECORD_LENGTH.size <= len(body):
        (length,) = _RECORD_LENGTH.unpack_from(body, position)
        position += _RECORD_LENGTH.size
        content = body[position : position + length]
        if len(content) < length:
            raise errors.UnavailableError("a record is truncated", False)
        position += length
        records.append(_decode_record(content, offset))
        offset += 1
    return compacted.Page(records, offset, end)


def _decode_record(content: bytes, offset: int) -> compacted.Record:
    key_size = content[0] if content else 0
    key = content[1 : 1 + key_size].decode("utf-8", "replace")
    return compacted.Record(key, content[1 + key_size :] or None, offset)
