"""Stand-in for a plain HTTP service with non-idempotent calls."""

import collections
import enum

import msgspec
import trio

from standins import server


class Break(enum.Enum):
    """Point of a request at which the connection is broken."""

    BEFORE_RUN = "before_run"
    BEFORE_ANSWER = "before_answer"
    DURING_ANSWER = "during_answer"
    AFTER_ANSWER = "after_answer"


class Faults(msgspec.Struct):
    """Faults to show, as set by `POST /faults`; replaces the earlier ones.

    Attributes:
        where: Point at which the connections of coming requests are broken.
        count: Number of coming requests whose connection is broken.
        delay_ms: Delay before each request is run.
    """

    where: Break = Break.BEFORE_ANSWER
    count: int = 0
    delay_ms: float = 0


class Plain:
    """Echoes requests and counts executed orders; `handle` answers requests."""

    def __init__(self) -> None:
        self.faults = Faults()
        self._executions: collections.Counter[str] = collections.Counter()
        self._requests = 0

    async def handle(self, request: server.Request) -> None:
        """Answers one request."""
        if request.path == "/faults":
            body = await request.body()
            self.faults = msgspec.json.decode(body, type=Faults)
            await request.answer_json(200, self.faults)
        elif request.path == "/stats":
            await request.answer_json(200, self._stats())
        else:
            await self._run(request)

    def _stats(self) -> dict[str, object]:
        return {"requests": self._requests, "executions": self._executions}

    async def _run(self, request: server.Request) -> None:
        self._requests += 1
        if self.faults.delay_ms:
            await trio.sleep(self.faults.delay_ms / 1000)
        where = self._next_break()
        if where is Break.BEFORE_RUN:
            await request.abort()
        elif request.path == "/stream":
            await _echo_stream(request, where)
        elif request.path == "/trailers":
            await _send_trailers(request)
        else:
            await self._answer(request, where)

    def _next_break(self) -> Break | None:
        if self.faults.count <= 0:
            return None
        self.faults.count -= 1
        return self.faults.where

    async def _answer(
        self, request: server.Request, where: Break | None
    ) -> None:
        body = await request.body()
        if request.method == "POST" and request.path == "/orders":
            key = request.headers.get("idempotency-key", body.decode())
            self._executions[key] += 1
            answer = {"key": key, "executions": self._executions[key]}
            await _send_or_break(request, msgspec.json.encode(answer), where)
        else:
            await _send_or_break(request, _echo(request, body), where)


def _echo(request: server.Request, body: bytes) -> bytes:
    return msgspec.json.encode(
        {
            "method": request.method,
            "path": request.path,
            "query": request.query,
            "headers": request.headers,
            "body": body.decode("utf-8", "replace"),
        }
    )


async def _send_or_break(
    request: server.Request, body: bytes, where: Break | None
) -> None:
    match where:
        case Break.BEFORE_ANSWER:
            await request.abort()
        case Break.DURING_ANSWER:
            await request.start(200, {"content-length": str(len(body))})
            await request.send(body[: len(body) // 2])
            await request.abort()
        case Break.AFTER_ANSWER:
            await request.answer(200, body)
            await request.abort()
        case _:
            await request.answer(200, body)


async def _echo_stream(request: server.Request, where: Break | None) -> None:
    """Sends each chunk of the body back as it arrives."""
    if where is Break.BEFORE_ANSWER:
        await request.abort()
        return
    await request.start(200, {"content-type": "application/octet-stream"})
    async for chunk in request.chunks():
        await request.send(chunk)
        if where is Break.DURING_ANSWER:
            await request.abort()
            return
    await request.send(b"", more=False)


async def _send_trailers(request: server.Request) -> None:
    """Answers with trailers, which hypercorn sends over HTTP/2 only."""
    body = await request.body()
    chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    head = (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
        b"trailer: x-length\r\nconnection: close\r\n\r\n"
    )
    tail = b"0\r\nx-length: %d\r\n\r\n" % len(body)
    await request.send_raw(head + chunk + tail)
    await request.abort()
