"""Stand-in for a replica that streams events by the platform's protocol."""

import dataclasses
import os
import secrets
import time

import httpcore
import msgspec
import trio

from standins import server

_SEAL_HEADER = "response-seal"
_HEARTBEAT_S = 0.5


class Faults(msgspec.Struct):
    """Faults to show, as set by `POST /faults`; replaces the earlier ones.

    Attributes:
        break_after: Number of events after which the connection is broken,
            -1 for never.
        count: Number of coming runs that show the faults.
        fail: Answer 500 in place of a stream.
        deny: Status to answer after the run in place of a stream, without the
            statement that the request was not run; 0 for none.
        mute: Send nothing after the first event.
        silent: Send nothing at all.
        reject: Answer 422, which says that the request can never succeed.
        crash_part: Part of a prompt at which the process ends, empty for none;
            for all runs.
        rate_limit: Requests a second that the replica says it takes, 0 for any
            number; for all answers.
        leaving: Say in all answers, but not in the store, that the replica is
            about to end.
    """

    break_after: int = -1
    count: int = 0
    fail: bool = False
    deny: int = 0
    mute: bool = False
    silent: bool = False
    reject: bool = False
    crash_part: str = ""
    rate_limit: float = 0.0
    leaving: bool = False


class Run(msgspec.Struct):
    """One execution of a request, as reported by `GET /runs`.

    Attributes:
        request_id: Id of the request.
        customer: Customer that the request was run for.
        first: Number of the first event.
        last: Number of the last event that was sent.
        ended: True if the stream was sent to its end.
        key_seen: True if the request carried the caller's API key.
        at: Unix time of the start.
    """

    request_id: str
    customer: str
    first: int
    last: int
    ended: bool
    key_seen: bool
    at: float


@dataclasses.dataclass(slots=True, frozen=True)
class Settings:
    """Settings of the replica.

    Attributes:
        service: Service that the replica belongs to.
        slots: Number of requests that run at once.
        step_ms: Time between events.
        events: Number of events in each stream.
        queue: Number of requests that may wait for a slot.
        zone: Zone that the replica runs in.
        version: Version of the replica's software.
    """

    service: str = "sabeel-lm"
    slots: int = 8
    step_ms: float = 10
    events: int = 8
    queue: int = 24
    zone: str = "a"
    version: str = "v1"


class StreamReplica:
    """A replica; `handle` answers requests.

    Attributes:
        id: Instance id, new at each start.
        settings: Settings of the replica.
        faults: Faults to show.
        runs: All runs so far.
        arrivals: Unix time of each request so far that was for this replica.
        draining: True once the replica was told to drain.
    """

    def __init__(self, settings: Settings) -> None:
        self.id = "i-" + secrets.token_hex(4)
        self.settings = settings
        self.faults = Faults()
        self.runs: list[Run] = []
        self.arrivals: list[float] = []
        self.draining = False
        self._slots = trio.Semaphore(settings.slots)
        self._waiting = 0
        self._sequence = 0
        self._started_ms = time.time_ns() // 1_000_000

    def encode_heartbeat(self, address: str) -> bytes:
        """Returns the replica's record for the store's list of replicas."""
        self._sequence += 1
        entry = {
            "service": self.settings.service,
            "address": address,
            "zone": self.settings.zone,
            "version": self.settings.version,
            "slots": self.settings.slots,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "seq": self._sequence,
            "born": self._started_ms,
        }
        return msgspec.json.encode(entry)

    async def handle(self, request: server.Request) -> None:
        """Answers one request."""
        body = await request.body()
        match request.path:
            case "/faults":
                self.faults = msgspec.json.decode(body, type=Faults)
                await request.answer_json(200, {})
            case "/drain":
                self.draining = True
                await request.answer_json(200, {})
            case "/runs":
                await request.answer_json(200, self.runs)
            case "/arrivals":
                await request.answer_json(200, self.arrivals)
            case _:
                await self._serve(request)

    def _load_header(self) -> str:
        running = self.settings.slots - self._slots.value
        return f"{running},{self._waiting},{self.settings.slots}"

    async def _serve(self, request: server.Request) -> None:
        headers = request.headers
        echoed = {"request-id": headers.get("request-id", "")}
        if self.faults.rate_limit:
            echoed["server-limit"] = f"{self.faults.rate_limit:.1f}"
        if self.faults.leaving or self.draining:
            echoed["server-leaving"] = "1"
        expected = headers.get("expected-instance", self.id)
        if expected != self.id:
            await request.answer(421, headers={**echoed, "not-executed": "1"})
            return
        self.arrivals.append(time.time())
        if self._waiting >= self.settings.queue:
            await request.answer(503, headers={**echoed, "not-executed": "1"})
            return
        self._waiting += 1
        scope = trio.CancelScope()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, request, scope)
            with scope:
                await self._wait_and_run(request, echoed)
            nursery.cancel_scope.cancel()

    async def _wait_and_run(
        self, request: server.Request, echoed: dict[str, str]
    ) -> None:
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            await self._run(request, echoed)
        finally:
            self._slots.release()

    async def _run(
        self, request: server.Request, echoed: dict[str, str]
    ) -> None:
        faults, headers = self.faults, request.headers
        show_fault = faults.count > 0
        if show_fault:
            faults.count -= 1
        first = int(headers.get("last-event-id", "0")) + 1
        run = Run(
            headers.get("request-id", ""),
            headers.get("tenant-id", ""),
            first,
            first - 1,
            False,
            "authorization" in headers,
            time.time(),
        )
        self.runs.append(run)
        answer = {
            **echoed,
            _SEAL_HEADER: f"seal.{self.id}.{self.settings.version}",
            "server-load": self._load_header(),
        }
        if show_fault and faults.silent:
            await trio.sleep_forever()
        if show_fault and (faults.fail or faults.reject):
            await request.answer(422 if faults.reject else 500, b"", "", answer)
            return
        if show_fault and faults.deny:
            await request.answer(faults.deny, b"", "", answer)
            return
        await trio.sleep(self.settings.step_ms / 1000)
        if faults.crash_part and faults.crash_part in headers.get(
            "prompt-prefix", ""
        ):
            os._exit(1)
        await request.start(
            200, {**answer, "content-type": "text/event-stream"}
        )
        for number in range(first, self.settings.events + 1):
            sent = number - first
            if show_fault and sent == faults.break_after:
                await request.send(b"id: %d\nda" % number)
                await request.abort()
                return
            if show_fault and faults.mute and sent == 1:
                await trio.sleep_forever()
            text = f"{run.request_id} {number}".encode()
            await request.send(b"id: %d\ndata: %s\n\n" % (number, text))
            run.last = number
            await trio.sleep(self.settings.step_ms / 1000)
        run.ended = True
        await request.send(b"", more=False)


async def _cancel_on_disconnect(
    request: server.Request, scope: trio.CancelScope
) -> None:
    await request.disconnected()
    scope.cancel()


async def register(
    replica: StreamReplica, address: str, store_address: str
) -> None:
    """Writes the replica's heartbeats to the store until cancelled."""
    url = f"http://{store_address}/put?topic=keyed.servers&key={replica.id}"
    async with httpcore.AsyncConnectionPool() as pool:
        while True:
            try:
                body = replica.encode_heartbeat(address)
                await pool.request("POST", url, content=body)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                pass
            await trio.sleep(_HEARTBEAT_S)
