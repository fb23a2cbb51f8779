"""Stand-in for the platform's metadata store: keyed topics and groups."""

import base64
import dataclasses
import struct
import time
from collections.abc import Callable

import msgspec
import trio

from standins import server

_LENGTH = struct.Struct(">I")
_HEAD = struct.Struct(">QQ")
_REPEATS = 5
_PAGE = 500
_READ_ONLY = ("keyed.op", "keyed.servers")


class Faults(msgspec.Struct):
    """Faults to show, as set by `POST /faults`; replaces the earlier ones.

    Attributes:
        down: Answer everything with 503.
        silent: Answer nothing.
        delay_ms: Delay of each answer.
        lose_appends: So many of the next appends are done and not answered.
        late_ms: Delay until a lost append is done.
        refused_clients: Client addresses that get 503.
    """

    down: bool = False
    silent: bool = False
    delay_ms: float = 0
    lose_appends: int = 0
    late_ms: float = 0
    refused_clients: list[str] = []


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
    """The store's state; calls return a status and a body."""

    def __init__(
        self, parts: int = 8, now_ms: Callable[[], float] | None = None
    ) -> None:
        self._count = parts
        self._now_ms = now_ms or (lambda: time.monotonic() * 1000)
        self._parts: dict[tuple[str, int], _Partition] = {}
        self._groups: dict[str, _Group] = {}

    def partition(self, topic: str, number: int) -> _Partition:
        """Returns a partition, made on first use."""
        return self._parts.setdefault((topic, number), _Partition())

    def append(
        self, query: dict[str, str], body: bytes, operator: bool = False
    ) -> tuple[int, bytes]:
        """Appends records in the form of the wire."""
        topic = query["topic"]
        if topic in _READ_ONLY and not operator:
            return 403, b"{}"
        partition = self.partition(topic, int(query["part"]))
        if "producer" in query:
            refusal = _check_producer(partition, query)
            if refusal is not None:
                return refusal
        offset = partition.end
        at = 0
        while at < len(body):
            (length,) = _LENGTH.unpack_from(body, at)
            self._add(partition, body[at + 4 : at + 4 + length])
            at += 4 + length
        answer = (offset, partition.end)
        if "producer" in query and body:
            producer = partition.producers[query["producer"]]
            producer.sequence = int(query["seq"])
            producer.answers[producer.sequence] = answer
            producer.answers.pop(producer.sequence - _REPEATS, None)
        partition.changed.set()
        partition.changed = trio.Event()
        return 200, _offsets(answer)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record as the operator or a replica."""
        name = key.encode()
        content = bytes((len(name),)) + name + value
        body = _LENGTH.pack(len(content)) + content
        self.append({"topic": topic, "part": "0"}, body, operator=True)

    def read(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Reads records from an offset on."""
        partition = self.partition(query["topic"], int(query["part"]))
        start = int(query["from"])
        if start < partition.first:
            return 410, msgspec.json.encode({"first": partition.first})
        body = _HEAD.pack(partition.end, partition.first)
        for record in partition.records[start - partition.first :]:
            body += _LENGTH.pack(len(record)) + record
        return 200, body

    def newest(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Returns the newest record of each key."""
        partition = self.partition(query["topic"], int(query["part"]))
        keys = sorted(k for k in partition.newest if k > query.get("after", ""))
        items = [
            {
                "key": key,
                "value": base64.b64encode(partition.newest[key][1]).decode(),
                "offset": partition.newest[key][0],
            }
            for key in keys[:_PAGE]
        ]
        answer = {
            "items": items,
            "more": len(keys) > _PAGE,
            "end": partition.end,
        }
        return 200, msgspec.json.encode(answer)

    def join(self, body: bytes) -> tuple[int, bytes]:
        """Joins a group or keeps a membership."""
        request = msgspec.json.decode(body)
        group = self._groups.setdefault(request["group"], _Group())
        group.ttl_ms = request["ttl_ms"]
        now_ms = self._now_ms()
        self._drop_silent(group, now_ms)
        new = request["member"] not in group.members
        group.members[request["member"]] = now_ms
        partitions = [
            (topic, number)
            for topic in request["topics"]
            for number in range(self._count)
        ]
        if new or set(group.owners) != set(partitions):
            self._deal(group, partitions)
        held = [
            [topic, number, 0]
            for (topic, number), owner in sorted(group.owners.items())
            if owner == request["member"]
        ]
        answer = {"generation": group.generation, "parts": held}
        return 200, msgspec.json.encode(answer)

    def leave(self, body: bytes) -> tuple[int, bytes]:
        """Gives up a membership."""
        request = msgspec.json.decode(body)
        group = self._groups.setdefault(request["group"], _Group())
        if group.members.pop(request["member"], None) is not None:
            self._deal(group, list(group.owners))
        return 200, b"{}"

    def reassign_partitions(self) -> None:
        """Reassigns all partitions of all groups."""
        for group in self._groups.values():
            names = list(group.members)
            group.members = {n: group.members[n] for n in reversed(names)}
            self._deal(group, list(group.owners))

    def compact(self) -> None:
        """Drops all records but the newest of each key."""
        for partition in self._parts.values():
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

    def _drop_silent(self, group: _Group, now_ms: float) -> None:
        silent = [
            name
            for name, seen_ms in group.members.items()
            if now_ms - seen_ms > group.ttl_ms
        ]
        for name in silent:
            del group.members[name]
        if silent:
            self._deal(group, list(group.owners))

    def _deal(self, group: _Group, partitions: list[tuple[str, int]]) -> None:
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
        if faults.down or request.client[0] in faults.refused_clients:
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
    """Returns the answer to a fenced, repeated or misplaced append."""
    epoch, sequence = int(query["epoch"]), int(query["seq"])
    producer = partition.producers.get(query["producer"])
    if producer is not None and epoch < producer.epoch:
        return 409, b'{"why":"fenced"}'
    if producer is None or epoch > producer.epoch:
        partition.producers[query["producer"]] = _Producer(epoch, sequence - 1)
        return None
    if sequence in producer.answers:
        return 200, _offsets(producer.answers[sequence])
    if sequence != producer.sequence + 1:
        why = {"why": "seq", "seq": producer.sequence + 1}
        return 409, msgspec.json.encode(why)
    return None


def _offsets(answer: tuple[int, int]) -> bytes:
    return msgspec.json.encode({"offset": answer[0], "end": answer[1]})
