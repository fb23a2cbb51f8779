"""Callers' requests on the platform's wire, handed to the product."""

import secrets
import time
import urllib.parse
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import msgspec
import structlog

from lacewingwood import clock as clocks
from lacewingwood import configuration
from lacewingwood import errors as base_errors
from lacewingwood import metrics as metrics_lib
from lacewingwood.callers import errors
from lacewingwood.callers import forwarding
from lacewingwood.callers import gateway as gateways
from lacewingwood.callers import http
from lacewingwood.jobs import errors as job_errors
from lacewingwood.jobs import service as job_service
from lacewingwood.platform import jobs as job_codec
from lacewingwood.platform import replicas

READY_PATH = "/-/ready"

_JOBS = "/-/lots/"
_ITEMS = "/-/items/"
_JSON = (b"content-type", b"application/json")
_BYTES = (b"content-type", b"application/octet-stream")
# When to come back if the owner of a job can't be reached.
_RETRY_JOB_MS = 400.0
_MAX_RESULT_BYTES = 900_000

_log = structlog.get_logger()

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class Ingress:
    """ASGI application that translates callers' requests and answers."""

    def __init__(
        self,
        gateway: gateways.Gateway,
        jobs: job_service.JobService,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
    ) -> None:
        self.running = 0
        self._gateway = gateway
        self._jobs = jobs
        self._clock = clock
        self._metrics = metrics

    async def run_for_ever(self) -> None:
        """Has no work of its own."""

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answers one request."""
        if scope["type"] != "http":
            return
        head = _decode_head(scope, self._clock.now_ms())
        req = _Request(scope, receive, send, head.request_id)
        self.running += 1
        try:
            await self._answer(req, head)
        except http.DisconnectedError:
            self._metrics.add("callers_disconnects")
            _log.info("caller left", request_id=head.request_id)
        finally:
            self.running -= 1

    async def _answer(self, req: "_Request", head: gateways.Head) -> None:
        try:
            await self._dispatch(req, head)
        except errors.CallerError as exc:
            await self._refuse(req, head, exc)
        except job_errors.JobError as exc:
            await self._refuse(req, head, _from_job(exc))
        except (forwarding.AbortError, http.DisconnectedError):
            raise
        except Exception:
            _log.exception("request failed", request_id=head.request_id)
            if req.started:
                raise
            await self._refuse(req, head, _internal_error())

    async def _dispatch(self, req: "_Request", head: gateways.Head) -> None:
        if head.path.startswith(_JOBS):
            await self._handle_job(req, head)
        elif head.path.startswith(_ITEMS):
            await self._handle_item(req, head)
        else:
            await self._handle_routed(req, head)

    async def _handle_routed(
        self, req: "_Request", head: gateways.Head
    ) -> None:
        resolved = self._gateway.resolve(head)
        body = await req.read_body(self._gateway.max_body_bytes)
        customer = resolved.customer
        if resolved.route.kind is not configuration.RouteKind.BATCH:
            headers = replicas.passed_headers(req.headers)
            await self._gateway.forward(req, head, resolved, headers, body)
            return
        if req.method != "POST" or customer is None:
            raise errors.CallerError(405, "not_a_job", "jobs are submitted")
        submission = job_codec.decode_submission(
            body,
            customer.name,
            head.request_id,
            head.host,
            head.path,
            resolved.route,
            time.time_ns() // 1_000_000,
        )
        await self._jobs.submit(submission)
        await req.respond(202, b"{}")

    async def _handle_job(self, req: "_Request", head: gateways.Head) -> None:
        customer = self._gateway.customer_at(head).name
        await req.read_body(self._gateway.max_body_bytes)
        job_id = head.path.removeprefix(_JOBS)
        match req.method:
            case "GET":
                start = _number(req.query("after"))
                wait_ms = _number(req.value(b"wait-ms").decode("latin-1"))
                found = await self._jobs.read(customer, job_id, start, wait_ms)
                _trim(found.results)
                await req.respond(200, job_codec.encode_results(found, start))
            case "DELETE":
                await self._jobs.end(customer, job_id)
                await req.respond(200, b"{}")
            case _:
                raise errors.CallerError(405, "method", "use GET or DELETE")

    async def _handle_item(self, req: "_Request", head: gateways.Head) -> None:
        customer = self._gateway.customer_at(head).name
        job_id = head.path.removeprefix(_ITEMS)
        body = await self._jobs.item_body(customer, job_id, req.query("id"))
        await req.respond(200, body, [_BYTES])

    async def _refuse(
        self, req: "_Request", head: gateways.Head, exc: errors.CallerError
    ) -> None:
        self._metrics.add("callers_failures", code=exc.code)
        _log.info(
            "refused" if exc.ran is base_errors.Ran.NOT_RUN else "failed",
            request_id=head.request_id,
            status=exc.status,
            code=exc.code,
            detail=exc.message[:80],
            waited_ms=round(self._clock.now_ms() - head.arrived_ms),
            retry_after_ms=exc.retry_after_ms,
        )
        headers = [_JSON]
        if exc.retry_after_ms is not None:
            seconds = f"{exc.retry_after_ms / 1000:.2f}"
            headers.append((b"retry-after", seconds.encode()))
        if not req.body_read.is_set():
            await req.discard_body(self._gateway.max_body_bytes)
        body = msgspec.json.encode({"error": exc.message, "code": exc.code})
        await req.respond(exc.status, body, headers)


class _Request(http.Request):
    """A request whose answer bears the id that the caller gave it."""

    __slots__ = ()

    async def start(
        self, status: int, headers: http.Headers, trailers: bool = False
    ) -> None:
        """Sends status and headers."""
        self.started = True
        named = {name for name, _ in headers}
        own = [(b"request-id", self.request_id.encode("latin-1"))]
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [*headers, *(p for p in own if p[0] not in named)],
            }
        )

    def query(self, name: str) -> str:
        """Returns a parameter of the query, empty if there is none."""
        text = self.scope["query_string"].decode("latin-1")
        return urllib.parse.parse_qs(text).get(name, [""])[0]


class ReadyApp:
    """ASGI application for the balancer's readiness checks."""

    __slots__ = ("_unready",)

    def __init__(self, unready: Callable[[], str | None]) -> None:
        self._unready = unready

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answers 200 while the process wants new connections, else 503."""
        if scope["type"] == "lifespan":
            while True:
                message = await receive()
                await send({"type": message["type"] + ".complete"})
                if message["type"] == "lifespan.shutdown":
                    return
        if scope["type"] != "http":
            return
        reason = self._unready()
        status = 200 if reason is None else 503
        if scope["path"] != READY_PATH:
            status = 404
        body = (reason or "ready").encode()
        headers = [(b"content-length", b"%d" % len(body))]
        start = {"type": "http.response.start", "status": status}
        await send({**start, "headers": headers})
        await send({"type": "http.response.body", "body": body})


def _decode_head(scope: dict[str, Any], now_ms: float) -> gateways.Head:
    fields: dict[bytes, bytes] = {}
    for name, value in scope["headers"]:
        fields.setdefault(name, value)
    query: bytes = scope["query_string"]
    raw_path: bytes = scope["raw_path"]
    request_id = fields.get(b"request-id", b"").decode("latin-1")
    scheme, _, key = fields.get(b"authorization", b"").partition(b" ")
    if scheme.lower() != b"bearer":
        key = b""
    patience = fields.get(b"deadline-ms", b"")
    last_event = fields.get(b"last-event-id", b"")
    return gateways.Head(
        request_id=request_id or secrets.token_hex(8),
        method=scope["method"],
        host=fields.get(b"host", b"").decode("latin-1"),
        path=raw_path.decode("latin-1"),
        target=raw_path + (b"?" + query if query else b""),
        key=key.strip().decode("latin-1"),
        patience_ms=float(patience) if patience.isdigit() else None,
        resume_after=int(last_event) if last_event.isdigit() else None,
        arrived_ms=now_ms,
    )


def _number(text: str) -> int:
    """Returns a number from a caller, 0 for none.

    Raises:
        errors.CallerError: It is none.
    """
    if not text:
        return 0
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise errors.bad_request(f"not a number: {text[:20]!r}")
    return int(text)


def _trim(results: list[Any]) -> None:
    """Drops results beyond what one answer may hold; one always stays."""
    size = 0
    for index, result in enumerate(results):
        size += len(result.output)
        if size > _MAX_RESULT_BYTES and index:
            del results[index:]
            return


def _from_job(exc: job_errors.JobError) -> errors.CallerError:
    match exc:
        case job_errors.UnknownJobError():
            return errors.CallerError(404, exc.code, exc.message)
        case job_errors.InvalidJobError():
            return errors.CallerError(400, exc.code, exc.message)
        case job_errors.OutcomeUnknownError():
            return errors.CallerError(
                504, exc.code, exc.message, ran=base_errors.Ran.MAY_HAVE_RUN
            )
        case _:
            return errors.unavailable(exc.code, exc.message, _RETRY_JOB_MS)


def _internal_error() -> errors.CallerError:
    return errors.CallerError(
        500,
        "internal_error",
        "internal error",
        ran=base_errors.Ran.MAY_HAVE_RUN,
    )
