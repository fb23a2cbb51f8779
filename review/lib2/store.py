"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it.

Partitions of keyed topics are kept in memory. A group moves a partition to
another member only once its holder has joined with the new generation, has
left, or was silent for the time to live.
"""

import asyncio
import base64
import contextlib
import json
import struct
import time
from collections.abc import Callable
from typing import Any

from lib2 import http_server

_LENGTH = struct.Struct(">I")
_PAGE_HEAD = struct.Struct(">QQ")
_READ_ONLY = ("keyed.op", "keyed.servers")
_ANSWERS_KEPT = 5

# Returns what happens to a call: "" (served), "503", "silent" or "reset".
Fault = Callable[[str, dict[str, str], Any], str]


class _Partition:
    def __init__(self) -> None:
        self.first = 0
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.producers: dict[str, dict[str, Any]] = {}
        self.changed = asyncio.Event()
        self.newest_bytes = 0

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def add(self, contents: list[bytes]) -> None:
        for content in contents:
            size = content[0]
            key, value = content[1 : 1 + size].decode(), content[1 + size :]
            if key in self.newest:
                self.newest_bytes -= size + len(self.newest[key][1])
            if value:
                self.newest_bytes += size + len(value)
            if value:
                self.newest[key] = self.end, value
            else:
                self.newest.pop(key, None)
            self.records.append(content)
        self.changed.set()
        self.changed = asyncio.Event()


class _Group:
    def __init__(self) -> None:
        self.generation = 0
        self.members: dict[str, float] = {}
        self.known: dict[str, int] = {}
        self.target: dict[tuple[str, int], str] = {}
        self.holder: dict[tuple[str, int], str] = {}
        # Generation at which a holder was told to give a partition up.
        self.revoked: dict[tuple[str, int], int] = {}


class Store:
    """The store; `handle` answers calls."""

    def __init__(self, parts: int = 8) -> None:
        self.parts = parts
        # Appends are refused while the newest records have this many bytes.
        self.limit_bytes = 400_000_000
        self.fault: Fault = lambda call, query, request: ""
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._groups: dict[str, _Group] = {}

    def partition(self, topic: str, number: int) -> _Partition:
        """Returns a partition, which is created on first use."""
        return self._partitions.setdefault((topic, number), _Partition())

    @property
    def stored_bytes(self) -> int:
        """Size of the newest record of each key; older ones are left out."""
        return sum(p.newest_bytes for p in self._partitions.values())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record as the operator or a replica does."""
        name = key.encode()
        content = bytes((len(name),)) + name + value
        self.partition(topic, 0).add([content])

    def newest(self, topic: str, prefix: str) -> dict[str, bytes]:
        """Returns the newest values of all keys with a prefix."""
        found = {}
        for (name, _), partition in self._partitions.items():
            if name.startswith(topic):
                for key, (_, value) in partition.newest.items():
                    if key.startswith(prefix):
                        found[key] = value
        return found

    async def handle(self, request: http_server.Request) -> None:
        """Answers one call."""
        call = request.path.removeprefix("/-/log-")
        match self.fault(call, request.query, request):
            case "503":
                await request.answer(503, b"{}")
                return
            case "silent":
                await asyncio.sleep(3600)
            case "reset":
                request.reset()
                return
        match call:
            case "append" if self.stored_bytes >= self.limit_bytes:
                await request.answer(507, b"{}")
            case "append":
                # An append takes 4 ms.
                await asyncio.sleep(0.004)
                await request.answer(*self._append(request))
            case "read":
                await self._read(request)
            case "newest":
                await request.answer(*self._newest(request.query))
            case "join":
                await request.answer(*self._join(json.loads(request.body)))
            case "leave":
                await request.answer(*self._leave(json.loads(request.body)))
            case _:
                await request.answer(404, b"{}")

    def _of(self, query: dict[str, str]) -> _Partition:
        return self.partition(query["topic"], int(query["part"]))

    def _append(self, request: http_server.Request) -> tuple[int, bytes]:
        query, body = request.query, request.body
        if query["topic"] in _READ_ONLY:
            return 403, b"{}"
        partition = self._of(query)
        producer = None
        if "producer" in query:
            epoch, seq = int(query["epoch"]), int(query["seq"])
            producer = partition.producers.get(query["producer"])
            if producer is not None and epoch < producer["epoch"]:
                return 409, b'{"why":"fenced"}'
            if producer is None or epoch > producer["epoch"]:
                producer = {"epoch": epoch, "seq": seq - 1, "answers": {}}
                partition.producers[query["producer"]] = producer
            elif seq in producer["answers"]:
                return 200, producer["answers"][seq]
            elif seq != producer["seq"] + 1:
                why = {"why": "seq", "seq": producer["seq"] + 1}
                return 409, json.dumps(why).encode()
        if int(query.get("at", partition.end)) != partition.end:
            return 412, json.dumps({"end": partition.end}).encode()
        contents, position = [], 0
        while position < len(body):
            (length,) = _LENGTH.unpack_from(body, position)
            contents.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        offset = partition.end
        partition.add(contents)
        answer = json.dumps({"offset": offset, "end": partition.end}).encode()
        if producer is not None:
            producer["seq"] = seq
            producer["answers"][seq] = answer
            producer["answers"].pop(seq - _ANSWERS_KEPT, None)
        return 200, answer

    async def _read(self, request: http_server.Request) -> None:
        query = request.query
        partition, start = self._of(query), int(query["from"])
        if start >= partition.end:
            wait_s = int(query.get("wait_ms", "0")) / 1000
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(partition.changed.wait(), wait_s)
        if start < partition.first:
            body = json.dumps({"first": partition.first}).encode()
            await request.answer(410, body)
            return
        limit = int(query.get("max_kb", "1024")) << 10
        parts = [_PAGE_HEAD.pack(partition.end, partition.first)]
        size = 0
        for content in partition.records[start - partition.first :]:
            size += 4 + len(content)
            if size > limit and len(parts) > 1:
                break
            parts.append(_LENGTH.pack(len(content)) + content)
        await request.answer(200, b"".join(parts))

    def _newest(self, query: dict[str, str]) -> tuple[int, bytes]:
        partition = self._of(query)
        keys = sorted(k for k in partition.newest if k > query.get("after", ""))
        items, size = [], 0
        for key in keys[:500]:
            offset, value = partition.newest[key]
            size += len(value) * 4 // 3 + len(key) + 60
            if items and size > 1_000_000:
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        answer = {
            "items": items,
            "more": len(keys) > len(items),
            "end": partition.end,
        }
        return 200, json.dumps(answer).encode()

    def _join(self, request: dict[str, Any]) -> tuple[int, bytes]:
        group = self._groups.setdefault(request["group"], _Group())
        member, now = request["member"], time.monotonic()
        ttl_s = request["ttl_ms"] / 1000
        all_parts = [
            (topic, n) for topic in request["topics"] for n in range(self.parts)
        ]
        silent = [m for m, at in group.members.items() if now - at > ttl_s]
        for name in silent:
            del group.members[name]
        new = member not in group.members
        group.members[member] = now
        if new or silent or set(group.target) != set(all_parts):
            self._assign(group, all_parts)
        known = int(request.get("generation", 0))
        for part, wanted in group.target.items():
            holder = group.holder.get(part, "")
            gives_up = holder == member and known >= group.revoked.get(part, 0)
            if holder == wanted:
                continue
            if holder not in group.members or gives_up:
                group.holder[part] = wanted
        mine = [
            [topic, n, 0]
            for (topic, n) in sorted(all_parts)
            if group.holder.get((topic, n)) == member
            and group.target[topic, n] == member
        ]
        answer = {"generation": group.generation, "parts": mine}
        return 200, json.dumps(answer).encode()

    def _leave(self, request: dict[str, Any]) -> tuple[int, bytes]:
        group = self._groups.setdefault(request["group"], _Group())
        if group.members.pop(request["member"], None) is not None:
            self._assign(group, list(group.target))
        return 200, b"{}"

    def _assign(self, group: _Group, parts: list[tuple[str, int]]) -> None:
        group.generation += 1
        names = sorted(group.members)
        target = {}
        for index, part in enumerate(sorted(parts)):
            target[part] = names[index % len(names)] if names else ""
            old = group.holder.get(part, "")
            if old != target[part]:
                group.revoked[part] = group.generation
                if old not in group.members:
                    group.holder[part] = target[part]
        group.target = target
