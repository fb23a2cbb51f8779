"""Reverse proxy for plain services, which are HTTP services but no engines."""

import dataclasses
import functools
import hashlib
import math
from collections.abc import AsyncIterator

import trio

from lacewingwood import errors as base_errors
from lacewingwood.callers import admission
from lacewingwood.callers import auth
from lacewingwood.callers import calls
from lacewingwood.callers import dependencies
from lacewingwood.callers import errors
from lacewingwood.callers import headers
from lacewingwood.callers import http
from lacewingwood.callers import routes
from lacewingwood.callers import running as running_module
from lacewingwood.log import errors as log_errors
from lacewingwood.routing import outcomes
from lacewingwood.routing import retries
from lacewingwood.routing import router as routers
from lacewingwood.state import records
from lacewingwood.upstreams import errors as upstream_errors


@dataclasses.dataclass(slots=True)
class _ProxyCall:
    """One request to a plain service.

    Attributes:
        route: The route that matches the request.
        caller: The authenticated caller, None on an open route.
        path: Path and query for the service.
        headers: Headers for the service.
        deadline_ms: The request's deadline, on the process's clock.
        claim: Digest of the request's idempotency key if it is claimed for
            this request, else empty.
    """

    route: records.Route
    caller: auth.Caller | None
    path: str
    headers: list[headers.Header]
    deadline_ms: float
    claim: str = ""


class Proxy:
    """Forwards requests to plain services and relays the responses."""

    __slots__ = ("_budget", "_deps", "_running")

    def __init__(
        self,
        deps: dependencies.Dependencies,
        running: running_module.RunningRequests,
    ) -> None:
        self._deps = deps
        self._running = running
        self._budget = retries.Budget()

    async def run(self, req: http.Request) -> None:
        """Forwards a request by its route and sends the response.

        Raises:
            errors.CallerError: The request failed; the response may have been
                started.
            http.DisconnectedError: The caller disconnected.
        """
        route = routes.find(req, self._deps.state.view.routes)
        req.check_length(self._deps.settings.max_plain_body_bytes)
        call = self._prepare(req, route)
        if call.caller is not None:
            customer = call.caller.customer
            await admission.admit(self._deps, customer, call.deadline_ms)
        work = functools.partial(self._run, req, call)
        await self._running.run(req, call.caller, work)

    def _prepare(self, req: http.Request, route: records.Route) -> _ProxyCall:
        caller: auth.Caller | None = None
        if not route.open:
            caller = auth.authenticate(req, self._deps.state)
        secrets = auth.find_secrets(req, self._deps.state)
        raw_path: bytes = req.scope["raw_path"]
        if headers.contains_secret(raw_path, secrets):
            raise errors.bad_request("the path contains an API key")
        query = headers.without_secrets(req.scope["query_string"], secrets)
        target = raw_path + (b"?" + query if query else b"")
        return _ProxyCall(
            route=route,
            caller=caller,
            path=target.decode("latin-1"),
            headers=headers.for_upstream(req.headers, secrets),
            deadline_ms=calls.parse_deadline_ms(req, self._deps),
        )

    async def _run(self, req: http.Request, call: _ProxyCall) -> None:
        self._add_proxy_headers(req, call)
        idempotent = req.method in call.route.idempotent_methods
        if not idempotent:
            await self._claim_idempotency_key(req, call)
        attempts = retries.Attempts(idempotent, call.deadline_ms)
        try:
            await self._attempt_until_done(req, call, attempts)
        except errors.CallerError as exc:
            exc.note_earlier_attempts(attempts.ran)
            if call.claim and exc.ran is base_errors.Ran.NOT_RUN:
                await self._release_claim(req, call)
            raise

    def _add_proxy_headers(self, req: http.Request, call: _ProxyCall) -> None:
        host = req.header(b"host")
        if host:
            call.headers.append((b"x-forwarded-host", host))
        call.headers.append((b"x-request-id", req.request_id.encode()))
        if call.caller is not None:
            customer = call.caller.customer.encode()
            call.headers.append((b"x-customer", customer))

    async def _claim_idempotency_key(
        self, req: http.Request, call: _ProxyCall
    ) -> None:
        """Claims the request's idempotency key, if it has one.

        Raises:
            errors.CallerError: Another request has claimed the key, or it
                can't be claimed now.
        """
        key = req.header(b"idempotency-key")
        if not key:
            return
        digest = _key_digest(call, key)
        if self._deps.idempotency_claims is None:
            raise _claim_unavailable_error()
        try:
            owner = await self._deps.idempotency_claims.claim(
                digest, req.request_id
            )
        except log_errors.LogError as exc:
            raise _claim_unavailable_error() from exc
        if owner != req.request_id:
            raise _duplicate_error(owner)
        call.claim = digest

    async def _release_claim(self, req: http.Request, call: _ProxyCall) -> None:
        """Releases the idempotency key, so that the caller can retry.

        If the release fails, the caller's retry is refused as a duplicate.
        """
        if self._deps.idempotency_claims is None:
            return
        try:
            await self._deps.idempotency_claims.release(
                call.claim, req.request_id
            )
        except log_errors.LogError:
            self._deps.metrics.add("callers_claims_not_released")

    async def _attempt_until_done(
        self, req: http.Request, call: _ProxyCall, attempts: retries.Attempts
    ) -> None:
        self._budget.note_request(self._now_ms())
        upload = _Upload(req, self._deps.settings)
        await upload.buffer_start()
        tried: set[str] = set()
        while True:
            try:
                await self._attempt(req, call, upload, tried)
                return
            except upstream_errors.UpstreamError as exc:
                can_retry = upload.replayable and not req.started
                outcome = outcomes.of_error(exc)
                now_ms = self._now_ms()
                if (
                    not can_retry
                    or attempts.after(outcome, self._budget, now_ms)
                    != retries.Retry()
                ):
                    raise errors.from_upstream(exc) from exc

    async def _attempt(
        self,
        req: http.Request,
        call: _ProxyCall,
        upload: "_Upload",
        tried: set[str],
    ) -> None:
        started = self._choose_replica(call, tried)
        tried.add(started.replica.id)
        outcome: outcomes.Outcome = outcomes.Cancelled()
        try:
            await self._forward(req, call, upload, started)
            outcome = outcomes.Completed()
        except upstream_errors.UpstreamError as exc:
            outcome = outcomes.of_error(exc)
            raise
        finally:
            router = self._deps.plain_router
            router.finished(started, outcome, self._now_ms())

    def _choose_replica(
        self, call: _ProxyCall, tried: set[str]
    ) -> routers.InFlight:
        route = routers.RouteRequest(
            service=call.route.service,
            model="",
            exclude=frozenset(tried),
            queue_if_full=True,
        )
        router = self._deps.plain_router
        choice = router.choose(route, self._now_ms())
        if isinstance(choice, routers.NoReplica):
            message = "no host of the service is available"
            raise errors.unavailable("no_upstream", message)
        return router.started(choice, route, self._now_ms())

    async def _forward(
        self,
        req: http.Request,
        call: _ProxyCall,
        upload: "_Upload",
        started: routers.InFlight,
    ) -> None:
        """Sends the request to one host and relays the response.

        The route's timeout applies until the response's headers.
        """
        ran = errors.Ran.NOT_RUN

        def note_sent() -> None:
            nonlocal ran
            ran = errors.Ran.MAY_HAVE_RUN

        context = self._deps.plain_client.request(
            started.replica.address,
            req.method,
            call.path,
            headers=[*call.headers, self._deadline_header(call)],
            body=upload.body(),
            deadline_ms=call.deadline_ms,
            on_send=note_sent,
        )
        limit_s = call.route.timeout_ms / 1000
        with trio.move_on_after(limit_s) as scope:
            upload.scope = scope
            async with context as response:
                scope.deadline = math.inf
                await self._relay_response(req, response)
        if upload.error is not None:
            raise upload.error
        if scope.cancelled_caught:
            raise upstream_errors.TimeoutError(
                "no response within the route's timeout", ran
            )

    async def _relay_response(
        self, req: http.Request, response: dependencies.PlainResponse
    ) -> None:
        trailers = req.accepts_trailers()
        passed = headers.for_caller(response.headers)
        await req.start(response.status, passed, trailers)
        async for chunk in response:
            await req.write(chunk)
        await req.end(trailers=headers.for_caller(response.trailers))

    def _deadline_header(self, call: _ProxyCall) -> headers.Header:
        left_ms = max(1, int(call.deadline_ms - self._now_ms()))
        return (b"x-deadline-ms", b"%d" % left_ms)

    def _now_ms(self) -> float:
        return self._deps.clock.now_ms()


class _Upload:
    """A request's body, forwarded to a service.

    Attributes:
        error: Why the body could not be read to its end, None if it could.
        scope: Cancel scope of the attempt, cancelled if reading fails.
    """

    __slots__ = (
        "_buffered",
        "_ran",
        "_req",
        "_settings",
        "_size",
        "_streaming",
        "error",
        "scope",
    )

    def __init__(
        self, req: http.Request, settings: dependencies.Settings
    ) -> None:
        self.error: Exception | None = None
        self.scope = trio.CancelScope()
        self._req = req
        self._settings = settings
        self._buffered: list[bytes] = []
        self._size = 0
        self._streaming = False
        self._ran = errors.Ran.NOT_RUN

    @property
    def replayable(self) -> bool:
        """Whether the body can still be sent from its start."""
        return not self._streaming

    async def buffer_start(self) -> None:
        """Reads the body up to the limit of what may be buffered."""
        while self._size <= self._settings.max_replay_bytes:
            chunk = await self._read_chunk()
            if chunk is None:
                return
            self._buffered.append(chunk)

    def body(self) -> bytes | AsyncIterator[bytes]:
        """Returns the body for one attempt; as bytes if all is buffered."""
        if self._req.body_read.is_set() and not self._streaming:
            return b"".join(self._buffered)
        return self._chunks()

    async def _chunks(self) -> AsyncIterator[bytes]:
        for chunk in self._buffered:
            yield chunk
        self._ran = errors.Ran.MAY_HAVE_RUN
        while (more := await self._next_streamed_chunk()) is not None:
            yield more

    async def _next_streamed_chunk(self) -> bytes | None:
        """Returns the next chunk after the buffered ones, None at the end.

        If reading fails, this cancels the attempt and does not return: the
        end of the iterator would mark the body as complete for the service.
        """
        self._streaming = True
        try:
            return await self._read_chunk()
        except (errors.CallerError, http.DisconnectedError) as exc:
            self.error = exc
            self.scope.cancel()
            await trio.sleep_forever()
            raise

    async def _read_chunk(self) -> bytes | None:
        chunk = await self._req.next_chunk()
        self._size += len(chunk or b"")
        limit = self._settings.max_plain_body_bytes
        if self._size > limit:
            raise http.body_too_large_error(limit, self._ran)
        return chunk


def _key_digest(call: _ProxyCall, key: bytes) -> str:
    customer = call.caller.customer if call.caller is not None else ""
    parts = (customer.encode(), call.route.name.encode(), key)
    return hashlib.sha256(b"\0".join(parts)).hexdigest()


def _claim_unavailable_error() -> errors.CallerError:
    message = "the idempotency key cannot be recorded now"
    return errors.unavailable("claim_unavailable", message)


def _duplicate_error(owner: str) -> errors.CallerError:
    return errors.CallerError(
        409,
        "idempotency_key_used",
        f"request {owner} was sent with this idempotency key before",
        ran=errors.Ran.MAY_HAVE_RUN,
    )
