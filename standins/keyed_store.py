"""Stand-in for the platform's metadata store.

It keeps keyed topics in memory, as a log of records and the newest record of
each key, and assigns their partitions to the members of consumer groups.
"""

import base64
import dataclasses
import struct
import time
from collections.abc import Callable

import msgspec
import trio

from standins import server

_RECORD_LENGTH = struct.Struct(">I")
_PAGE_HEADER = struct.Struct(">QQ")
# Answers kept for each producer, for appends that it sends again.
_ANSWERS_KEPT = 5
_PAGE_RECORDS = 500
_PAGE_BYTES = 1_000_000
_DEFAULT_READ_KB = 1_024
_READ_ONLY_TOPICS = ("keyed.op", "keyed.servers")


class Faults(msgspec.Struct):
    """Faults to show, as set by `POST /faults`; replaces the earlier ones.

    Attributes:
        down: Answer all calls with 503.
        silent: Never answer any call.
        delay_ms: Delay of each answer.
        lose_appends: Number of coming appends that are applied but never
            answered.
        late_ms: Delay until such an append is applied.
        refused_clients: Client addresses whose calls are answered with 503.
        refused_topics: Topics whose calls are answered with 503.
    """

    down: bool = False
    silent: bool = False
    delay_ms: float = 0
    lose_appends: int = 0
    late_ms: float = 0
    refused_clients: list[str] = []
    refused_topics: list[str] = []


@dataclasses.dataclass(slots=True)
class _Producer:
    epoch: int
    sequence: int = -1
    answers: dict[int, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class _Partition:
    first: int = 0
    records: list[bytes] = dataclasses.field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = dataclasses.field(
        default_factory=dict
    )
    producers: dict[str, _Producer] = dataclasses.field(default_factory=dict)
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)

    @property
    def end(self) -> int:
        return self.first + len(self.records)


@dataclasses.dataclass(slots=True)
class _Group:
    ttl_ms: float = 1_000
    generation: int = 0
    members: dict[str, float] = dataclasses.field(default_factory=dict)
    owners: dict[tuple[str, int], str] = dataclasses.field(default_factory=dict)


class Core:
    """The store's state without HTTP; calls return a status and a body."""

    def __init__(
        self, parts: int = 8, now_ms: Callable[[], float] | None = None
    ) -> None:
        self._partitions_per_topic = parts
        self._now_ms = now_ms or (lambda: time.monotonic() * 1000)
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._groups: dict[str, _Group] = {}

    def partition(self, topic: str, number: int) -> _Partition:
        """Returns a partition, which is created on first use."""
        return self._partitions.setdefault((topic, number), _Partition())

    def append(
        self, query: dict[str, str], body: bytes, operator: bool = False
    ) -> tuple[int, bytes]:
        """Appends length-prefixed records, as the body of a call has them.

        Args:
            query: Topic, partition and, for a fenced append, the producer
                with its epoch and sequence number; `at` is the offset at which
                the partition must end.
            body: The records.
            operator: True to allow topics that are read-only for gateways.
        """
        topic = query["topic"]
        if topic in _READ_ONLY_TOPICS and not operator:
            return 403, b"{}"
        partition = self.partition(topic, int(query["part"]))
        if "producer" in query:
            refusal = _check_producer(partition, query)
            if refusal is not None:
                return refusal
        offset = partition.end
        if int(query.get("at", offset)) != offset:
            return 412, msgspec.json.encode({"end": offset})
        position = 0
        while position < len(body):
            (length,) = _RECORD_LENGTH.unpack_from(body, position)
            self._add(partition, body[position + 4 : position + 4 + length])
            position += 4 + length
        answer = (offset, partition.end)
        if "producer" in query and body:
            producer = partition.producers[query["producer"]]
            producer.sequence = int(query["seq"])
            producer.answers[producer.sequence] = answer
            producer.answers.pop(producer.sequence - _ANSWERS_KEPT, None)
        partition.changed.set()
        partition.changed = trio.Event()
        return 200, _encode_offsets(answer)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record as an operator or a replica does."""
        name = key.encode()
        content = bytes((len(name),)) + name + value
        body = _RECORD_LENGTH.pack(len(content)) + content
        self.append({"topic": topic, "part": "0"}, body, operator=True)

    def read(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Reads records from an offset on, up to `max_kb` but at least one."""
        partition = self.partition(query["topic"], int(query["part"]))
        start = int(query["from"])
        if start < partition.first:
            return 410, msgspec.json.encode({"first": partition.first})
        limit = int(query.get("max_kb", _DEFAULT_READ_KB)) << 10
        parts = [_PAGE_HEADER.pack(partition.end, partition.first)]
        size = 0
        for record in partition.records[start - partition.first :]:
            size += _RECORD_LENGTH.size + len(record)
            if size > limit and len(parts) > 1:
                break
            parts.append(_RECORD_LENGTH.pack(len(record)) + record)
        return 200, b"".join(parts)

    def newest(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Returns a page of the newest records of all keys."""
        partition = self.partition(query["topic"], int(query["part"]))
        keys = sorted(k for k in partition.newest if k > query.get("after", ""))
        items: list[dict[str, object]] = []
        size = 0
        for key in keys[:_PAGE_RECORDS]:
            offset, value = partition.newest[key]
            size += len(key) + len(value)
            if items and size > _PAGE_BYTES:
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        answer = {
            "items": items,
            "more": len(keys) > len(items),
            "end": partition.end,
        }
        return 200, msgspec.json.encode(answer)

    def join(self, body: bytes) -> tuple[int, bytes]:
        """Joins a group or renews a membership."""
        request = msgspec.json.decode(body)
        group = self._groups.setdefault(request["group"], _Group())
        group.ttl_ms = request["ttl_ms"]
        now_ms = self._now_ms()
        self._expire_members(group, now_ms)
        new = request["member"] not in group.members
        group.members[request["member"]] = now_ms
        partitions = [
            (topic, number)
            for topic in request["topics"]
            for number in range(self._partitions_per_topic)
        ]
        if new or set(group.owners) != set(partitions):
            self._assign(group, partitions)
        assigned = [
            [topic, number, 0]
            for (topic, number), owner in sorted(group.owners.items())
            if owner == request["member"]
        ]
        answer = {"generation": group.generation, "parts": assigned}
        return 200, msgspec.json.encode(answer)

    def leave(self, body: bytes) -> tuple[int, bytes]:
        """Ends a membership."""
        request = msgspec.json.decode(body)
        group = self._groups.setdefault(request["group"], _Group())
        if group.members.pop(request["member"], None) is not None:
            self._assign(group, list(group.owners))
        return 200, b"{}"

    def reassign_partitions(self) -> None:
        """Reassigns all partitions of all groups."""
        for group in self._groups.values():
            names = list(group.members)
            group.members = {n: group.members[n] for n in reversed(names)}
            self._assign(group, list(group.owners))

    def compact(self) -> None:
        """Drops all records but the newest of each key, as compaction does."""
        for partition in self._partitions.values():
            partition.first = partition.end
            partition.records.clear()

    def _add(self, partition: _Partition, content: bytes) -> None:
        size = content[0]
        key = content[1 : 1 + size].decode()
        value = content[1 + size :]
        if value:
            partition.newest[key] = (partition.end, value)
        else:
            partition.newest.pop(key, None)
        partition.records.append(content)

    def _expire_members(self, group: _Group, now_ms: float) -> None:
        silent = [
            name
            for name, seen_ms in group.members.items()
            if now_ms - seen_ms > group.ttl_ms
        ]
        for name in silent:
            del group.members[name]
        if silent:
            self._assign(group, list(group.owners))

    def _assign(self, group: _Group, partitions: list[tuple[str, int]]) -> None:
        group.generation += 1
        names = list(group.members)
        group.owners = {
            partition: names[index % len(names)] if names else ""
            for index, partition in enumerate(sorted(partitions))
        }


class Store:
    """The store over HTTP; `handle` answers requests."""

    def __init__(self, parts: int = 8) -> None:
        self.core = Core(parts)
        self.faults = Faults()

    async def handle(self, request: server.Request) -> None:
        """Answers one request."""
        body = await request.body()
        if request.path == "/faults":
            self.faults = msgspec.json.decode(body, type=Faults)
            await request.answer_json(200, self.faults)
            return
        if request.path == "/put":
            query = request.query
            self.core.put(query["topic"], query["key"], body)
            await request.answer_json(200, {})
            return
        if request.path == "/forget":
            self.core.compact()
            await request.answer_json(200, {})
            return
        if request.path == "/deal":
            self.core.reassign_partitions()
            await request.answer_json(200, {})
            return
        await self._call(request, body)

    async def _call(self, request: server.Request, body: bytes) -> None:
        faults = self.faults
        if faults.delay_ms:
            await trio.sleep(faults.delay_ms / 1000)
        if faults.silent:
            await trio.sleep_forever()
        if (
            faults.down
            or request.client[0] in faults.refused_clients
            or request.query.get("topic") in faults.refused_topics
        ):
            await request.answer(503, b"{}")
            return
        match request.path.rpartition("/log-")[2]:
            case "append":
                await self._append(request, body)
            case "read":
                await self._read(request)
            case "newest":
                await request.answer(*self.core.newest(request.query))
            case "join":
                await request.answer(*self.core.join(body))
            case "leave":
                await request.answer(*self.core.leave(body))
            case _:
                await request.answer(404, b"{}")

    async def _append(self, request: server.Request, body: bytes) -> None:
        if self.faults.lose_appends > 0:
            self.faults.lose_appends -= 1
            await trio.sleep(self.faults.late_ms / 1000)
            self.core.append(request.query, body)
            await trio.sleep_forever()
        await request.answer(*self.core.append(request.query, body))

    async def _read(self, request: server.Request) -> None:
        query = request.query
        partition = self.core.partition(query["topic"], int(query["part"]))
        if int(query["from"]) >= partition.end:
            with trio.move_on_after(int(query.get("wait_ms", "0")) / 1000):
                await partition.changed.wait()
        await request.answer(*self.core.read(query))


def _check_producer(
    partition: _Partition, query: dict[str, str]
) -> tuple[int, bytes] | None:
    """Checks the epoch and sequence number of a producer's append.

    Returns:
        The answer to a fenced, repeated or out-of-sequence append, None if
        the append may be done.
    """
    epoch, sequence = int(query["epoch"]), int(query["seq"])
    producer = partition.producers.get(query["producer"])
    if producer is not None and epoch < producer.epoch:
        return 409, b'{"why":"fenced"}'
    if producer is None or epoch > producer.epoch:
        partition.producers[query["producer"]] = _Producer(epoch, sequence - 1)
        return None
    if sequence in producer.answers:
        return 200, _encode_offsets(producer.answers[sequence])
    if sequence != producer.sequence + 1:
        why = {"why": "seq", "seq": producer.sequence + 1}
        return 409, msgspec.json.encode(why)
    return None


def _encode_offsets(answer: tuple[int, int]) -> bytes:
    return msgspec.json.encode({"offset": answer[0], "end": answer[1]})
