"""Requests to replicas and their answers, on the platform's wire."""

import contextlib
import math
from collections.abc import AsyncIterator

import h11
import trio

from lacewingwood import errors as base_errors
from lacewingwood.routing import directory
from lacewingwood.upstreams import errors
from lacewingwood.upstreams import http1
from lacewingwood.upstreams import runs

# Connections of one gateway to one replica; replicas take 230 of all.
_CONNECTIONS = 64
# Between zones a connection takes a few ms; a replica that is cut off or dark
# takes for ever, and its request must find another one within its objective.
_CONNECT_TIMEOUT_S = 0.12

_REQUEST_ID = b"request-id"
_NOT_RUN = b"not-executed"
_LOAD = b"server-load"
_MISDIRECTED = 421

# Headers that concern one connection or that are set here.
_NOT_PASSED = frozenset(
    (
        b"authorization",
        b"connection",
        b"content-length",
        b"deadline-ms",
        b"expected-instance",
        b"keep-alive",
        b"last-event-id",
        b"proxy-authorization",
        b"proxy-connection",
        b"request-id",
        b"te",
        b"tenant-id",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
_NOT_RETURNED = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"server-load",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class Run:
    """One run at one replica; see `runs.Run`."""

    __slots__ = (
        "_exchange",
        "headers",
        "held",
        "misdirected",
        "refused",
        "status",
    )

    def __init__(self, exchange: http1.Exchange) -> None:
        self._exchange = exchange
        self.status = exchange.status
        self.headers = [
            (name, value)
            for name, value in exchange.headers
            if name not in _NOT_RETURNED
        ]
        self.misdirected = exchange.status == _MISDIRECTED
        self.refused = exchange.header(_NOT_RUN) is not None or self.misdirected
        self.held = _held(exchange.header(_LOAD))

    async def next_chunk(self, limit_ms: float = math.inf) -> bytes:
        """Returns the next piece of the body; see `runs.Run`."""
        if limit_ms == math.inf:
            return await self._exchange.next_chunk()
        with trio.move_on_after(limit_ms / 1000):
            return await self._exchange.next_chunk()
        raise _silent(limit_ms)


class Replicas:
    """Opens runs at replicas; see `runs.Replicas`."""

    __slots__ = ("_pools",)

    def __init__(self) -> None:
        self._pools = http1.Pools(_CONNECTIONS, _CONNECT_TIMEOUT_S)

    @contextlib.asynccontextmanager
    async def open(
        self,
        replica: directory.Listing,
        work: runs.Work,
        remaining_ms: float,
        resume_after: int | None = None,
        head_limit_ms: float = math.inf,
        fresh: bool = False,
    ) -> AsyncIterator[Run]:
        """Sends a request and waits for the head of its answer."""
        head = _encode(replica, work, remaining_ms, resume_after)
        pool = self._pools.pool(replica.address)
        async with pool.exchange(fresh) as exchange:
            with trio.move_on_after(head_limit_ms / 1000) as limit:
                await exchange.send_whole(head, work.body)
                await exchange.receive_head()
            if limit.cancelled_caught:
                raise _silent(head_limit_ms)
            _check_identity(exchange, work.request_id)
            yield Run(exchange)

    async def ended(self, replica: directory.Listing) -> bool:
        """Returns whether a replica takes no connections any more."""
        return not await self._pools.pool(replica.address).reachable()

    async def keep_only(self, addresses: set[str]) -> None:
        """Drops idle connections to replicas that are not listed any more."""
        await self._pools.keep_only(addresses)


def forwarded_headers(headers: runs.Headers) -> runs.Headers:
    """Returns those of a caller's headers that replicas get unchanged."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name not in _NOT_PASSED and name not in named
    ]


def _encode(
    replica: directory.Listing,
    work: runs.Work,
    remaining_ms: float,
    resume_after: int | None,
) -> h11.Request:
    headers = [
        *work.headers,
        (b"request-id", work.request_id.encode("latin-1")),
        (b"deadline-ms", b"%d" % max(1, int(remaining_ms))),
        (b"expected-instance", replica.id.encode()),
    ]
    if work.customer:
        headers.append((b"tenant-id", work.customer.encode()))
    if resume_after is not None:
        headers.append((b"last-event-id", b"%d" % resume_after))
    if work.body or work.method not in ("GET", "HEAD", "DELETE"):
        headers.append((b"content-length", b"%d" % len(work.body)))
    return h11.Request(method=work.method, target=work.target, headers=headers)


def _check_identity(exchange: http1.Exchange, request_id: str) -> None:
    """Raises BadAnswerError for the answer to another request."""
    echoed = exchange.header(_REQUEST_ID)
    if echoed is not None and echoed.decode("latin-1") == request_id:
        return
    # A refusal may come before the replica has read the request's id.
    if echoed is None and exchange.header(_NOT_RUN) is not None:
        return
    raise errors.BadAnswerError("the answer belongs to another request")


def _silent(limit_ms: float) -> errors.TimeoutError:
    return errors.TimeoutError(
        f"silent for {limit_ms:.0f} ms", base_errors.Ran.MAY_HAVE_RUN
    )


def _held(load: bytes | None) -> int:
    """Returns the requests that a replica runs and queues, -1 if unknown."""
    parts = (load or b"").split(b",")
    try:
        return int(parts[0]) + int(parts[1])
    except (IndexError, ValueError):
        return -1
