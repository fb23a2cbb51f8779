"""Client of the platform's metadata store."""

import base64
import struct
from typing import Any

import httpcore
import msgspec

from lacewingwood import metrics as metrics_lib
from lacewingwood.log import compacted
from lacewingwood.log import errors

# An answer takes some 4 ms; a store that is slow by the usual factor of 60
# still answers within this time.
_CALL_TIMEOUT_S = 1.5
_CONNECT_TIMEOUT_S = 0.5
_CONNECTIONS = 64
_KEEPALIVE_S = 10.0
_MAX_READ_KB = 1024
# The store keeps the newest record of each key in topics of such names only.
_TOPIC_PREFIX = "keyed."
_LENGTH = struct.Struct(">I")
_READ_HEAD = struct.Struct(">QQ")

_STATUS_OK = 200
_GONE = 410
_CONFLICT = 409
_FULL = 507
# Statuses that say that nothing was done.
_REFUSED = frozenset((400, 403, 413, 429, 503))


class _Item(msgspec.Struct):
    key: str
    offset: int
    value: str | None = None


class _Newest(msgspec.Struct):
    items: list[_Item]
    end: int
    more: bool = False


class _Expired(msgspec.Struct):
    first: int = 0


class _Conflict(msgspec.Struct):
    why: str = ""


class _Joined(msgspec.Struct):
    generation: int
    parts: list[tuple[str, int, int]]


class Store:
    """Keyed topics and groups of the platform's store."""

    def __init__(self, address: str, metrics: metrics_lib.Registry) -> None:
        self._base = f"http://{address}"
        self._metrics = metrics
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_CONNECTIONS,
            max_keepalive_connections=_CONNECTIONS,
            keepalive_expiry=_KEEPALIVE_S,
        )

    async def snapshot(
        self, partition: compacted.Partition
    ) -> compacted.Snapshot:
        """Returns the newest record of each key; see `CompactedLog`."""
        records: list[compacted.Record] = []
        query = (
            f"topic={_TOPIC_PREFIX}{partition.topic}&part={partition.number}"
        )
        end, after = -1, ""
        while True:
            more = f"&after={after}" if after else ""
            status, body = await self._call("GET", "newest", query + more)
            _require_ok(status, body)
            page = _decode(body, _Newest)
            # Pages are read one after another: records that came meanwhile
            # lie at or after the first page's end.
            end = page.end if end < 0 else end
            records += [_record(item) for item in page.items]
            if not page.more or not page.items:
                return compacted.Snapshot(records, end)
            after = page.items[-1].key

    async def read(
        self, partition: compacted.Partition, start: int, wait_ms: float
    ) -> compacted.Page:
        """Returns records from `start` on; see `compacted.CompactedLog`."""
        query = (
            f"topic={_TOPIC_PREFIX}{partition.topic}&part={partition.number}"
            f"&from={start}&max_kb={_MAX_READ_KB}&wait_ms={int(wait_ms)}"
        )
        status, body = await self._call("GET", "read", query, wait_ms=wait_ms)
        if status == _GONE:
            first = _decode(body, _Expired).first
            raise errors.OffsetExpiredError("records have expired", first)
        _require_ok(status, body)
        return _decode_page(body, start)

    async def append(
        self,
        partition: compacted.Partition,
        records: list[compacted.Record],
        fence: compacted.Fence | None = None,
    ) -> None:
        """Appends records, all or none; see `compacted.CompactedLog`."""
        query = (
            f"topic={_TOPIC_PREFIX}{partition.topic}&part={partition.number}"
        )
        if fence is not None:
            query += f"&producer={fence.producer}&epoch={fence.epoch}"
            query += f"&seq={fence.sequence}"
        body = b"".join([_encode_record(record) for record in records])
        status, answer = await self._call("POST", "append", query, body)
        match status:
            case 200:
                return
            case 409:
                why = _decode(answer, _Conflict).why
                raise compacted.FencedError(f"append refused: {why}")
            case 507:
                raise compacted.FullError("the store has no room")
            case _:
                _require_ok(status, answer)

    async def join(
        self,
        group: str,
        member: str,
        topics: list[str],
        ttl_ms: int,
        generation: int,
    ) -> compacted.Assignment:
        """Joins a group or keeps the membership; see `compacted.Groups`."""
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
        joined = _decode(body, _Joined)
        held = {
            compacted.Partition(topic.removeprefix(_TOPIC_PREFIX), part)
            for topic, part, _ in joined.parts
        }
        return compacted.Assignment(joined.generation, frozenset(held))

    async def leave(self, group: str, member: str) -> None:
        """Gives up a membership; see `compacted.Groups`."""
        request = msgspec.json.encode({"group": group, "member": member})
        status, body = await self._call("POST", "leave", "", request)
        _require_ok(status, body)

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
        timeouts = {
            "connect": _CONNECT_TIMEOUT_S,
            "read": timeout_s,
            "write": timeout_s,
            "pool": timeout_s,
        }
        url = f"{self._base}/-/log-{call}" + (f"?{query}" if query else "")
        headers = [("content-type", "application/json")] if body else []
        try:
            response = await self._pool.request(
                method,
                url,
                headers=headers,
                content=body if method == "POST" else None,
                extensions={"timeout": timeouts},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            self._metrics.add("store_errors", call=call, cause="connect")
            raise errors.UnavailableError(str(exc), False) from exc
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as exc:
            cause = type(exc).__name__
            self._metrics.add("store_errors", call=call, cause=cause)
            raise errors.UnavailableError(f"{cause}: {exc}", True) from exc
        if response.status != _STATUS_OK:
            self._metrics.add(
                "store_refusals", call=call, status=str(response.status)
            )
        return response.status, response.content


def _require_ok(status: int, body: bytes) -> None:
    if status != _STATUS_OK:
        text = f"status {status}: {body[:100]!r}"
        raise errors.UnavailableError(text, status not in _REFUSED)


def _decode(body: bytes, into: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=into, strict=False)
    except msgspec.MsgspecError as exc:
        raise errors.UnavailableError(f"bad answer: {exc}", True) from exc


def _record(item: _Item) -> compacted.Record:
    value = base64.b64decode(item.value) if item.value else None
    return compacted.Record(item.key, value, item.offset)


def _encode_record(record: compacted.Record) -> bytes:
    key = record.key.encode()
    content = bytes((len(key),)) + key + (record.value or b"")
    return _LENGTH.pack(len(content)) + content


def _decode_page(body: bytes, start: int) -> compacted.Page:
    records: list[compacted.Record] = []
    at, offset = _READ_HEAD.size, start
    if len(body) < at:
        raise errors.UnavailableError("short answer to a read", False)
    while at + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, at)
        at += _LENGTH.size
        content = body[at : at + length]
        if len(content) < length:
            raise errors.UnavailableError("a record is cut short", False)
        at += length
        records.append(_split_record(content, offset))
        offset += 1
    return compacted.Page(records, offset)


def _split_record(content: bytes, offset: int) -> compacted.Record:
    size = content[0] if content else 0
    key = content[1 : 1 + size].decode("utf-8", "replace")
    return compacted.Record(key, content[1 + size :] or None, offset)
