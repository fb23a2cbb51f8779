"""ASGI applications for callers and readiness checks of the platform.

Decodes the platform's headers and paths, and encodes its responses.
"""

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

# The platform calls a batch job a lot.
_JOBS_PREFIX = "/-/lots/"
_ITEMS_PREFIX = "/-/items/"
_JSON_CONTENT = (b"content-type", b"application/json")
_BINARY_CONTENT = (b"content-type", b"application/octet-stream")
# Retry-After of a call for which the owner of the job can't be reached.
_JOB_RETRY_AFTER_MS = 400.0
# Retry-After of a job that exceeds its customer's waiting tokens. Items take
# some seconds, so a part of them has made room by then.
_OVER_LIMIT_RETRY_AFTER_MS = 1_000.0
# Longer numbers in headers are ignored.
_MAX_DIGITS = 15

_log = structlog.get_logger()

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class Ingress:
    """ASGI application that serves callers' requests.

    Attributes:
        active_requests: Number of requests that are being answered.
    """

    def __init__(
        self,
        gateway: gateways.Gateway,
        jobs: job_service.JobService,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
    ) -> None:
        self.active_requests = 0
        self._gateway = gateway
        self._jobs = jobs
        self._clock = clock
        self._metrics = metrics

    async def run_forever(self) -> None:
        """Returns at once: the application has no background work."""

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answers one request."""
        if scope["type"] != "http":
            return
        head = _decode_head(scope, self._clock.now_ms())
        req = _Request(scope, receive, send, head.request_id)
        self.active_requests += 1
        try:
            await self._answer(req, head)
        except http.DisconnectedError:
            self._metrics.add("callers_disconnects")
            _log.info("caller left", request_id=head.request_id)
        finally:
            self.active_requests -= 1
            req.release()

    async def _answer(self, req: "_Request", head: gateways.Head) -> None:
        try:
            await self._dispatch(req, head)
        except errors.CallerError as exc:
            await self._respond_error(req, head, exc)
        except job_errors.JobError as exc:
            await self._respond_error(req, head, _to_caller_error(exc))
        except (forwarding.AbortError, http.DisconnectedError):
            raise
        except Exception:
            _log.exception("request failed", request_id=head.request_id)
            if req.started:
                raise
            await self._respond_error(req, head, _internal_error())

    async def _dispatch(self, req: "_Request", head: gateways.Head) -> None:
        if head.path.startswith(_JOBS_PREFIX):
            await self._handle_job(req, head)
        elif head.path.startswith(_ITEMS_PREFIX):
            await self._handle_item(req, head)
        else:
            await self._handle_routed(req, head)

    async def _handle_routed(
        self, req: "_Request", head: gateways.Head
    ) -> None:
        try:
            resolved = self._gateway.resolve(head)
        except errors.CallerError as exc:
            if exc.code != gateways.NO_ROUTE:
                raise
            if not await self._is_known_job(req, head):
                raise
            await self._confirm_job(req, head)
            return
        body = await req.read_body(self._gateway.max_body_bytes)
        customer = resolved.customer
        if resolved.route.kind is not configuration.RouteKind.BATCH:
            headers = replicas.forwarded_headers(req.headers)
            await self._gateway.forward(req, head, resolved, headers, body)
            return
        if req.method != "POST" or customer is None:
            raise errors.CallerError(
                405, "not_a_job", "submit batch jobs with POST and a key"
            )
        submission = job_codec.decode_submission(
            body,
            customer.name,
            head.request_id,
            head.host,
            head.path,
            resolved.route,
            time.time_ns() // 1_000_000,
            resolved.configuration_version,
        )
        limit = resolved.route.max_waiting_tokens
        await self._jobs.submit(submission, limit)
        await req.respond(202, b"{}")

    async def _is_known_job(self, req: "_Request", head: gateways.Head) -> bool:
        """Returns whether a request without a route submits a job again.

        Its route may have been removed after the job was accepted. Jobs are
        submitted as JSON, with the job's id as that of the request.

        Raises:
            job_errors.UnavailableError: This can't be found out now.
        """
        content_types = req.header_values(b"content-type")
        if (
            head.method != "POST"
            or _JSON_CONTENT[1] not in content_types
            or not req.header_values(b"request-id")
        ):
            return False
        try:
            job = self._job_name(head, head.request_id)
        except errors.CallerError:
            # The key is unknown as well; the caller is told of the route.
            return False
        return await self._jobs.exists(job)

    async def _confirm_job(self, req: "_Request", head: gateways.Head) -> None:
        _log.info("job known, its route is removed", request_id=head.request_id)
        await req.discard_body(self._gateway.max_body_bytes)
        await req.respond(202, b"{}")

    async def _handle_job(self, req: "_Request", head: gateways.Head) -> None:
        job = self._find_job(head, _JOBS_PREFIX)
        await req.read_body(self._gateway.max_body_bytes)
        match req.method:
            case "GET":
                start = _parse_number(req.query("after"))
                wait_ms = _parse_number(
                    req.header(b"wait-ms").decode("latin-1")
                )
                page = await self._jobs.read(job, start, wait_ms)
                await req.respond(200, job_codec.encode_results(page, start))
            case "DELETE":
                await self._jobs.end(job)
                await req.respond(200, b"{}")
            case _:
                raise errors.CallerError(405, "method", "use GET or DELETE")

    async def _handle_item(self, req: "_Request", head: gateways.Head) -> None:
        job = self._find_job(head, _ITEMS_PREFIX)
        body = await self._jobs.item_body(job, req.query("id"))
        await req.respond(200, body, [_BINARY_CONTENT])

    def _find_job(
        self, head: gateways.Head, prefix: str
    ) -> job_service.JobName:
        """Returns the job that a request names in its path after `prefix`."""
        return self._job_name(head, head.path.removeprefix(prefix))

    def _job_name(
        self, head: gateways.Head, job_id: str
    ) -> job_service.JobName:
        customer = self._gateway.authenticate(head).name
        limited = self._gateway.limits_waiting_tokens(head.host)
        return job_service.JobName(customer, job_id, limited)

    async def _respond_error(
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
        headers = [_JSON_CONTENT]
        if exc.retry_after_ms is not None:
            seconds = f"{exc.retry_after_ms / 1000:.2f}"
            headers.append((b"retry-after", seconds.encode()))
        if not (req.body_read.is_set() or req.closing):
            await req.discard_body(self._gateway.max_body_bytes)
        body = msgspec.json.encode({"error": exc.message, "code": exc.code})
        await req.respond(exc.status, body, headers)


class _Request(http.Request):
    """A request whose response carries its id in `request-id`."""

    __slots__ = ()

    async def start(
        self, status: int, headers: http.Headers, trailers: bool = False
    ) -> None:
        """Sends status and headers; adds `request-id` unless present."""
        self.started = True
        present = {name for name, _ in headers}
        added = [(b"request-id", self.request_id.encode("latin-1"))]
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    *headers,
                    *(pair for pair in added if pair[0] not in present),
                ],
            }
        )

    def query(self, name: str) -> str:
        """Returns a query parameter, or an empty string if it is absent."""
        text = self.scope["query_string"].decode("latin-1")
        return urllib.parse.parse_qs(text).get(name, [""])[0]


class ReadinessApp:
    """ASGI application for the balancer's readiness checks."""

    __slots__ = ("_unready",)

    def __init__(self, unready: Callable[[], str | None]) -> None:
        self._unready = unready

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answers 200 if the process is ready for connections, else 503."""
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
    return gateways.Head(
        request_id=request_id or secrets.token_hex(8),
        method=scope["method"],
        host=fields.get(b"host", b"").decode("latin-1"),
        path=raw_path.decode("latin-1"),
        target=raw_path + (b"?" + query if query else b""),
        api_key=key.strip().decode("latin-1"),
        timeout_ms=_decode_number(fields.get(b"deadline-ms", b"")),
        resume_after=_decode_number(fields.get(b"last-event-id", b"")),
        arrived_ms=now_ms,
        prompt=_decode_prompt(fields.get(b"prompt-prefix", b"")),
        resumes=fields.get(b"resumes", b"").decode("latin-1"),
    )


def _decode_number(value: bytes) -> int | None:
    """Returns a decimal number, None if a header holds none."""
    if not value.isdigit() or len(value) > _MAX_DIGITS:
        return None
    return int(value)


def _decode_prompt(value: bytes) -> tuple[str, ...]:
    """Returns the ids of a prompt's parts; each is followed by its length."""
    if not value:
        return ()
    parts = value.decode("latin-1").split(",")
    return tuple(part.partition(":")[0].strip() for part in parts)


def _parse_number(text: str) -> int:
    """Parses a decimal number sent by a caller; an empty string is 0.

    Raises:
        errors.CallerError: The text isn't a number of at most 9 digits.
    """
    if not text:
        return 0
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise errors.bad_request(
            f"expected a number of at most 9 digits, got {text[:20]!r}"
        )
    return int(text)


def _to_caller_error(exc: job_errors.JobError) -> errors.CallerError:
    match exc:
        case job_errors.UnknownJobError():
            return errors.CallerError(404, exc.code, exc.message)
        case job_errors.InvalidJobError():
            return errors.CallerError(400, exc.code, exc.message)
        case job_errors.OverLimitError():
            return errors.CallerError(
                429,
                exc.code,
                exc.message,
                retry_after_ms=_OVER_LIMIT_RETRY_AFTER_MS,
            )
        case job_errors.OutcomeUnknownError():
            return errors.CallerError(
                504, exc.code, exc.message, ran=base_errors.Ran.MAY_HAVE_RUN
            )
        case _:
            return errors.unavailable(
                exc.code, exc.message, _JOB_RETRY_AFTER_MS
            )


def _internal_error() -> errors.CallerError:
    return errors.CallerError(
        500,
        "internal_error",
        "internal error",
        ran=base_errors.Ran.MAY_HAVE_RUN,
    )
