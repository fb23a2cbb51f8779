"""Stand-in for a model engine with an OpenAI-compatible API."""

import collections
import os
import uuid
from typing import Any

import msgspec
import trio

from lacewingwood.upstreams import types
from standins import batching
from standins import completions
from standins import orders
from standins import server

_MAX_RUNS = 20_000
_MAX_KV_TRANSFERS = 1024
_DONE = b"data: [DONE]\n\n"


class Settings(msgspec.Struct):
    """Settings of the engine.

    Attributes:
        service: Service that the engine belongs to.
        model: Model that is loaded at the start.
        version: Version of that model.
        report_lag_ms: Age of the load reports that the engine answers with.
        check_fencing: True to refuse orders with a fencing number lower than
            the highest one so far.
        weights_url: URL of the weight store to load from; empty to load
            without a download.
        queue: Number of requests that may wait for a slot; more are refused.
        sizes: Capacity and speed.
    """

    service: str = "sabeel-lm"
    model: str = "sabeel-lm"
    version: str = "1"
    report_lag_ms: float = 500
    check_fencing: bool = False
    weights_url: str = ""
    queue: int = 10_000
    sizes: batching.Settings = msgspec.field(default_factory=batching.Settings)


class Faults(msgspec.Struct):
    """Faults to show, as set by `POST /faults`; missing fields stay as is.

    Attributes:
        leaving: True to report that the engine is leaving and refuse new
            requests with 503.
        refuse: True to refuse new requests with 429.
        slow_factor: Factor on the duration of a step.
        break_after_tokens: Number of tokens after which the connection of an
            answer is closed; -1 for never.
    """

    leaving: bool = False
    refuse: bool = False
    slow_factor: float = 1
    break_after_tokens: int = -1


class Run(msgspec.Struct):
    """One accepted request and its outcome, as reported by `GET /stats`.

    Attributes:
        request_id: The request's `x-request-id`.
        path: Path of the request.
        headers: All header fields of the request.
        prompt_tokens: Number of tokens of the prompt.
        resumed_tokens: Number of tokens of `resume_text`.
        tokens: Number of tokens that this engine generated.
        outcome: `running`, `done`, `cancelled`, `disconnected` or `broken`.
    """

    request_id: str
    path: str
    headers: dict[str, str]
    prompt_tokens: int
    resumed_tokens: int
    tokens: int = 0
    outcome: str = "running"


class Engine:
    """An engine; `handle` answers requests while `run` is running."""

    def __init__(self, settings: Settings) -> None:
        self.faults = Faults()
        self._settings = settings
        self._cache = batching.PrefixCache(settings.sizes)
        self._batcher = batching.Batcher(
            settings.sizes, self._cache, self._record_load
        )
        self._orders = orders.Orders(
            {settings.model: settings.version},
            settings.check_fencing,
            settings.weights_url,
        )
        self._boot_id = uuid.uuid4().hex
        self._reports: collections.deque[tuple[float, types.LoadReport]] = (
            collections.deque()
        )
        self._running: dict[str, batching.Sequence] = {}
        self._runs: collections.deque[Run] = collections.deque(maxlen=_MAX_RUNS)
        self._kv: collections.OrderedDict[str, list[str]] = (
            collections.OrderedDict()
        )
        self._refused = 0
        self._record_load()

    async def run(self) -> None:
        """Generates tokens and executes orders until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._batcher.run)
            nursery.start_soon(self._orders.run)

    async def handle(self, request: server.Request) -> None:
        """Answers one request."""
        match request.path.strip("/").split("/"):
            case ["v1", "chat", "completions"] | ["v1", "completions"]:
                await self._complete(request)
            case ["v1", "models"]:
                await request.answer_json(200, self._models())
            case ["cancel", request_id]:
                await self._cancel(request, request_id)
            case ["load"]:
                await request.answer_json(200, self.load())
            case ["cache", "events"]:
                start = int(request.query.get("start", "0"))
                await request.answer_json(200, self._cache.events(start))
            case ["orders"]:
                await self._orders.handle(request)
            case ["kv", request_id]:
                await self._transfer_kv(request, request_id)
            case ["stats"]:
                with_runs = request.query.get("runs") != "0"
                await request.answer_json(200, self._stats(with_runs))
            case ["faults"]:
                await self._answer_faults(request)
            case _:
                await request.answer(404)

    def set_faults(self, changes: dict[str, Any]) -> None:
        """Changes the faults given."""
        merged = {**msgspec.to_builtins(self.faults), **changes}
        self.faults = msgspec.convert(merged, Faults)
        self._batcher.slow_factor = self.faults.slow_factor
        self._record_load()

    async def _answer_faults(self, request: server.Request) -> None:
        self.set_faults(msgspec.json.decode(await request.body()))
        await request.answer_json(200, self.faults)

    def _models(self) -> dict[str, Any]:
        models = [
            {"id": model, "object": "model", "owned_by": self._settings.service}
            for model in self._orders.versions
        ]
        return {"object": "list", "data": models}

    def _stats(self, with_runs: bool) -> dict[str, Any]:
        return {
            "runs": list(self._runs) if with_runs else [],
            "outcomes": collections.Counter(run.outcome for run in self._runs),
            "refused": self._refused,
            "tokens": self._batcher.tokens,
            "busy_slot_ms": self._batcher.busy_slot_ms,
            "total_slot_ms": self._batcher.total_slot_ms,
            "orders": self._orders.accepted,
        }

    # Load reports.

    def _record_load(self) -> None:
        report = types.LoadReport(
            running=self._batcher.running,
            waiting=self._batcher.waiting,
            slots=self._settings.sizes.slots,
            kv_used=self._cache.used,
            step_ms=self._batcher.step_ms,
            leaving=self.faults.leaving,
            versions=dict(self._orders.versions),
            boot_id=self._boot_id,
        )
        self._reports.append((_now_ms(), report))
        self._expire_reports()

    def load(self) -> types.LoadReport:
        """Returns the newest report that is at least `report_lag_ms` old."""
        self._record_load()
        return self._reports[0][1]

    def _expire_reports(self) -> None:
        """Drops all reports before the newest one that may be returned."""
        until_ms = _now_ms() - self._settings.report_lag_ms
        while len(self._reports) > 1 and self._reports[1][0] <= until_ms:
            self._reports.popleft()

    # Completions.

    async def _complete(self, request: server.Request) -> None:
        body = await request.body()
        if b"CRASH-ENGINE" in body:
            os._exit(1)
        refusal = self._refusal()
        if refusal:
            self._refused += 1
            await _answer_error(request, *refusal)
            return
        try:
            completion = completions.parse(request, body, self._orders.versions)
        except completions.BadRequestError as exc:
            self._refused += 1
            await _answer_error(request, exc.status, exc.message)
            return
        await self._run(request, completion)

    def _refusal(self) -> tuple[int, str] | None:
        if self.faults.leaving:
            return 503, "leaving"
        if self.faults.refuse:
            return 429, "refusing"
        if self._batcher.waiting >= self._settings.queue:
            return 503, "queue full"
        return None

    async def _run(
        self, request: server.Request, completion: completions.Completion
    ) -> None:
        sequence = completion.sequence
        run = Run(
            completion.request_id,
            request.path,
            request.headers,
            sequence.prompt_tokens,
            sequence.index,
        )
        self._runs.append(run)
        self._running[completion.request_id] = sequence
        self._store_kv(completion.request_id, sequence.blocks)
        self._batcher.submit(sequence)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_disconnect, request, nursery)
                send = (
                    self._send_stream if completion.stream else self._send_whole
                )
                await send(request, completion, run)
                nursery.cancel_scope.cancel()
        finally:
            run.tokens = sequence.index - run.resumed_tokens
            if run.outcome == "running":
                run.outcome = "disconnected"
            self._batcher.cancel(sequence)
            self._running.pop(completion.request_id, None)

    async def _send_stream(
        self,
        request: server.Request,
        completion: completions.Completion,
        run: Run,
    ) -> None:
        sequence = completion.sequence
        await request.start(200, completion.headers("text/event-stream"))
        sent = 0
        while True:
            ready = sequence.ready
            while sequence.tokens:
                if sent == self.faults.break_after_tokens:
                    run.outcome = "broken"
                    await request.abort()
                    return
                await request.send(completion.chunk(sequence.tokens.popleft()))
                sent += 1
            if sequence.ended:
                break
            await ready.wait()
        if sequence.cancelled:
            run.outcome = "cancelled"
            await request.abort()
            return
        run.outcome = "done"
        await request.send(completion.final_chunks() + _DONE, more=False)

    async def _send_whole(
        self,
        request: server.Request,
        completion: completions.Completion,
        run: Run,
    ) -> None:
        sequence = completion.sequence
        while not sequence.ended:
            await sequence.ready.wait()
            if len(sequence.tokens) > self.faults.break_after_tokens >= 0:
                run.outcome = "broken"
                await request.abort()
                return
        # No HTTP status says that a request was cancelled while it ran.
        if sequence.cancelled:
            run.outcome = "cancelled"
            await request.abort()
            return
        run.outcome = "done"
        body = completion.full_body("".join(sequence.tokens))
        await request.answer(200, body, headers=completion.headers())

    async def _cancel(self, request: server.Request, request_id: str) -> None:
        sequence = self._running.get(request_id)
        if sequence is None:
            await request.answer(404)
            return
        self._batcher.cancel(sequence)
        await request.answer(204)

    # KV caches.

    def _store_kv(self, request_id: str, blocks: list[str]) -> None:
        self._kv[request_id] = blocks
        if len(self._kv) > _MAX_KV_TRANSFERS:
            self._kv.popitem(last=False)

    async def _transfer_kv(
        self, request: server.Request, request_id: str
    ) -> None:
        body = await request.body()
        if request.method == "POST":
            blocks = msgspec.msgpack.decode(body, type=list[str])
            self._cache.use(blocks)
            self._store_kv(request_id, blocks)
            await request.answer(204)
        elif request_id in self._kv:
            data = msgspec.msgpack.encode(self._kv[request_id])
            await request.answer(200, data, "application/octet-stream")
        else:
            await request.answer(404)


async def _answer_error(
    request: server.Request, status: int, message: str
) -> None:
    code = message if message == "leaving" else status
    error = {"message": message, "type": "engine_error", "code": code}
    echoed = {"x-request-id": request.headers.get("x-request-id", "")}
    await request.answer_json(status, {"error": error}, echoed)


async def _cancel_on_disconnect(
    request: server.Request, nursery: trio.Nursery
) -> None:
    await request.disconnected()
    nursery.cancel_scope.cancel()


def _now_ms() -> float:
    return trio.current_time() * 1000
