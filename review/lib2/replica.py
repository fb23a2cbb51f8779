"""Stand-in for a replica: streams events, as PROTOCOL.md describes it."""

import asyncio
import json
import secrets
import time

from lib2 import http_server
from lib2 import store as stores


class Replica:
    """A replica of one service that registers itself in the store.

    Attributes:
        runs: One entry a run: id of the request, its path, tenant, first and
            last event.
        crash_path: Path of a request that crashes the replica once it has sent
            `crash_after` events of a run; empty for none.
        crashes: Unix times of the crashes.
    """

    def __init__(
        self,
        store: stores.Store,
        service: str,
        *,
        events: int = 20,
        step_ms: float = 20.0,
        slots: int = 8,
        zone: str = "a",
    ) -> None:
        self.id = "i-" + secrets.token_hex(4)
        self.address = ""
        self.runs: list[dict[str, object]] = []
        self.events, self.step_ms, self.slots = events, step_ms, slots
        self.state = "ready"
        self.crash_path, self.crash_after, self.back_s = "", 0, 3.0
        self.crashes: list[float] = []
        # Size of whole answers, which requests below /docs/ get.
        self.answer_bytes = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._store, self._service, self._zone = store, service, zone
        self._running = self._waiting = self._seq = 0
        self._free = asyncio.Semaphore(slots)
        self._born = time.time_ns() // 1_000_000

    @property
    def busy(self) -> bool:
        """Whether a request runs or waits."""
        return self._running > 0 or self._waiting > 0

    async def start(self) -> None:
        """Listens, and writes heartbeats from then on."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server, self.address = await http_server.serve(
            self.handle, port=port
        )
        self._beats = asyncio.ensure_future(self._beat())

    async def _crash(self) -> None:
        """Ends at once, and starts again under a new id some seconds later."""
        self.crashes.append(time.time())
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        old = self.id
        await asyncio.sleep(self.back_s)
        self.id = "i-" + secrets.token_hex(4)
        self._born, self._seq = time.time_ns() // 1_000_000, 0
        await self.start()
        # The entry of the one before ends after three heartbeats of silence.
        await asyncio.sleep(max(0.0, 3.6 - self.back_s))
        self._store.put("keyed.servers", old, b"")

    async def _beat(self) -> None:
        while True:
            self._seq += 1
            entry = {
                "service": self._service,
                "address": self.address,
                "zone": self._zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "cold_remaining_ms": 0,
                "seq": self._seq,
                "born": self._born,
            }
            text = json.dumps(entry).encode()
            self._store.put("keyed.servers", self.id, text)
            await asyncio.sleep(1.2)

    async def handle(self, request: http_server.Request) -> None:
        """Answers one request."""
        self._writers.add(request.writer)
        try:
            await self._admit(request)
        finally:
            self._writers.discard(request.writer)

    async def _admit(self, request: http_server.Request) -> None:
        headers = request.headers
        echoed = {"Request-Id": headers.get("request-id", "")}
        if headers.get("expected-instance", self.id) != self.id:
            await request.answer(421, b"", {**echoed, "Not-Executed": "1"})
            return
        if self._waiting >= 24:
            await request.answer(503, b"", {**echoed, "Not-Executed": "1"})
            return
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            await self._run(request, echoed)
        finally:
            self._running -= 1
            self._free.release()

    async def _run(
        self, request: http_server.Request, echoed: dict[str, str]
    ) -> None:
        headers = request.headers
        first = int(headers.get("last-event-id", "0")) + 1
        run: dict[str, object] = {
            "id": headers.get("request-id", ""),
            "path": request.path,
            "tenant": headers.get("tenant-id", ""),
            "replica": self.id,
            "at": time.time(),
            "first": first,
            "last": first - 1,
        }
        self.runs.append(run)
        await asyncio.sleep(self.step_ms / 1000)
        if request.path.startswith("/docs/"):
            seal = {"Response-Seal": f"seal.{self.id}"}
            body = b"x" * self.answer_bytes
            await request.answer(200, body, {**echoed, **seal})
            return
        await request.start(
            200,
            {
                **echoed,
                "Content-Type": "text/event-stream",
                "Response-Seal": f"seal.{self.id}",
                "Server-Load": f"{self._running},{self._waiting},{self.slots}",
            },
        )
        deadly = request.path == self.crash_path
        for number in range(first, self.events + 1):
            if deadly and number - first >= self.crash_after:
                self._crashing = asyncio.ensure_future(self._crash())
                await asyncio.sleep(1)
            text = f"{run['id']} {number}"
            await request.chunk(f"id: {number}\ndata: {text}\n\n".encode())
            run["last"] = number
            await asyncio.sleep(self.step_ms / 1000)
        await request.end()


def full_output(item_id: str, events: int) -> str:
    """Returns the whole output of an item."""
    return "\n".join(f"{item_id} {n}" for n in range(1, events + 1))
