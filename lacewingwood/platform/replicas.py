"""HTTP client of the replicas, with the platform's headers."""

import contextlib
import math
from collections.abc import AsyncIterator
from collections.abc import Callable

import h11
import structlog
import trio

from lacewingwood import errors as base_errors
from lacewingwood.callers import errors as caller_errors
from lacewingwood.routing import directory
from lacewingwood.upstreams import errors
from lacewingwood.upstreams import http1
from lacewingwood.upstreams import pools as pools_lib
from lacewingwood.upstreams import runs

# Connections of one gateway to one replica, which accepts 230 from all
# gateways together.
_MAX_CONNECTIONS = 64
# Connecting takes a few ms even between zones. Connecting to an unreachable
# replica never completes, and the request must be retried on another replica
# within its latency objective.
_CONNECT_TIMEOUT_S = 0.12

_REQUEST_ID_HEADER = b"request-id"
# Present if the replica refused the request without running it.
_NOT_EXECUTED_HEADER = b"not-executed"
# Numbers of running and of queued requests and of slots, separated by commas,
# and optionally how long work takes on the replica's host at this moment, with
# 100 as usual.
_LOAD_HEADER = b"server-load"
# Requests a second, a decimal number, that the replica takes from all gateways
# together; absent while it takes any number.
_RATE_LIMIT_HEADER = b"server-limit"
# "1" in all responses of a replica that is about to end.
_LEAVING_HEADER = b"server-leaving"
# The address now belongs to another replica than the expected one, and that
# replica names itself.
_STATUS_MISDIRECTED = 421
_INSTANCE_HEADER = b"instance-id"

# Request headers that are not forwarded: hop-by-hop headers, the caller's key,
# and headers that this client sets itself.
_DROPPED_REQUEST_HEADERS = frozenset(
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
# Response headers that are not forwarded to the caller.
_DROPPED_RESPONSE_HEADERS = frozenset(
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

_log = structlog.get_logger()


class Run:
    """One attempt at one replica; see `runs.Run`."""

    __slots__ = (
        "_exchange",
        "_has_data",
        "headers",
        "misdirected",
        "notice",
        "refused",
        "status",
    )

    def __init__(self, exchange: http1.Exchange, replica_id: str) -> None:
        self._exchange = exchange
        self._has_data = False
        self.status = exchange.status
        self.headers = [
            (name, value)
            for name, value in exchange.headers
            if name not in _DROPPED_RESPONSE_HEADERS
        ]
        self.refused = _is_refusal(exchange, replica_id)
        says_misdirected = exchange.status == _STATUS_MISDIRECTED
        self.misdirected = self.refused and says_misdirected
        # Another replica speaks of itself if it has this address now.
        self.notice = (
            runs.Notice() if says_misdirected else _decode_notice(exchange)
        )

    async def next_chunk(self, limit_ms: float = math.inf) -> bytes:
        """Returns the next chunk of the body; see `runs.Run`."""
        if limit_ms == math.inf:
            return self._check_end(await self._exchange.next_chunk())
        deadline = trio.current_time() + limit_ms / 1000
        # Cheaper than `trio.move_on_after`, once for each chunk.
        with trio.CancelScope(deadline=deadline):
            return self._check_end(await self._exchange.next_chunk())
        raise _timeout_error(limit_ms)

    def _check_end(self, chunk: bytes) -> bytes:
        """Returns a chunk; raises if it is the end of an answer of no bytes.

        Such an answer is only complete if it has a length or chunks: a replica
        that ends closes its connections as well.
        """
        if chunk:
            self._has_data = True
        elif not self._has_data and not self._exchange.framed:
            raise errors.BrokenError("the connection was closed without data")
        return chunk


class Replicas:
    """Opens runs at replicas; see `runs.ReplicaClient`."""

    __slots__ = ("_pools",)

    def __init__(self) -> None:
        self._pools = pools_lib.Pools(
            _MAX_CONNECTIONS, _CONNECT_TIMEOUT_S, accept_unframed=True
        )

    @contextlib.asynccontextmanager
    async def open(
        self,
        replica: directory.Listing,
        work: runs.Work,
        remaining_ms: float,
        resume_after: int | None = None,
        head_limit_ms: float = math.inf,
        fresh: bool = False,
        on_send: Callable[[], None] = lambda: None,
    ) -> AsyncIterator[Run]:
        """Sends a request and waits for its response head; see `runs`."""
        head = _encode(replica, work, remaining_ms, resume_after)
        pool = self._pools.pool(replica.address)
        async with pool.exchange(fresh, work.request_id) as exchange:
            on_send()
            with trio.move_on_after(head_limit_ms / 1000) as limit:
                await exchange.send_and_receive_head(
                    head, work.body, lambda: _denies_run(exchange, replica.id)
                )
            if limit.cancelled_caught:
                raise _timeout_error(head_limit_ms)
            _check_request_id(exchange, work.request_id, replica.id)
            run = Run(exchange, replica.id)
            if run.refused:
                exchange.note_refusal(work.request_id)
            yield run

    async def has_stopped(self, replica: directory.Listing) -> bool:
        """Returns whether a replica no longer accepts connections."""
        return not await self._pools.pool(replica.address).reachable()

    async def keep_only(self, addresses: set[str]) -> None:
        """Closes idle connections to replicas that are no longer listed."""
        await self._pools.keep_only(addresses)


def forwarded_headers(headers: runs.Headers) -> runs.Headers:
    """Returns the caller's headers that are forwarded to a replica.

    Leaves out those that the `Connection` header names.
    """
    hop_by_hop = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name not in _DROPPED_REQUEST_HEADERS and name not in hop_by_hop
    ]


def _encode(
    replica: directory.Listing,
    work: runs.Work,
    remaining_ms: float,
    resume_after: int | None,
) -> h11.Request:
    """Returns the head of a request.

    Raises:
        errors.UnsendableError: It can't be written as HTTP.
    """
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
    try:
        return h11.Request(
            method=work.method, target=work.target, headers=headers
        )
    except h11.LocalProtocolError as exc:
        raise errors.UnsendableError(str(exc)) from exc


def _is_refusal(exchange: http1.Exchange, replica_id: str) -> bool:
    """Returns whether a response states that the request was not run.

    A status alone does not. The 421 of a replica that names itself does if the
    request was meant for another one.
    """
    if exchange.header(_NOT_EXECUTED_HEADER) is not None:
        return True
    instance = exchange.header(_INSTANCE_HEADER)
    return (
        exchange.status == _STATUS_MISDIRECTED
        and bool(instance)
        and instance != replica_id.encode()
    )


def _denies_run(exchange: http1.Exchange, replica_id: str) -> bool:
    """Returns whether nobody needs more of a response than its head."""
    return (
        _is_refusal(exchange, replica_id)
        or exchange.status in caller_errors.NOT_RUN_STATUSES
    )


def _check_request_id(
    exchange: http1.Exchange, request_id: str, replica_id: str
) -> None:
    """Raises InvalidResponseError for the response to another request."""
    echoed = exchange.header(_REQUEST_ID_HEADER)
    if echoed is not None and echoed.decode("latin-1") == request_id:
        return
    # A replica may refuse a request before it has read the request's id. On a
    # connection that was used before, this may be a copy of an earlier refusal.
    refused = _is_refusal(exchange, replica_id)
    if echoed is None and refused and not exchange.reused:
        return
    raise errors.InvalidResponseError("the response echoes another request id")


def _timeout_error(limit_ms: float) -> errors.TimeoutError:
    return errors.TimeoutError(
        f"the replica sent no data for {limit_ms:.0f} ms",
        base_errors.Ran.MAY_HAVE_RUN,
    )


def _decode_notice(exchange: http1.Exchange) -> runs.Notice:
    load = exchange.header(_LOAD_HEADER)
    return runs.Notice(
        _parse_load(load),
        _parse_rate_limit(exchange.header(_RATE_LIMIT_HEADER)),
        exchange.header(_LEAVING_HEADER) == b"1",
        _parse_slowness(load),
    )


def _parse_load(load: bytes | None) -> int:
    """Returns how many requests a replica runs and queues, -1 if unknown."""
    parts = (load or b"").split(b",")
    try:
        return int(parts[0]) + int(parts[1])
    except (IndexError, ValueError):
        return -1


def _parse_slowness(load: bytes | None) -> float | None:
    """Returns how long work takes on a replica's host, None if not known."""
    parts = (load or b"").split(b",")
    if len(parts) < 4:
        return None
    try:
        slowness = float(parts[3]) / 100
    except ValueError:
        return None
    return slowness if math.isfinite(slowness) and slowness > 0 else None


def _parse_rate_limit(value: bytes | None) -> float | None:
    """Returns a limit in requests a second, None if there is none."""
    if value is None:
        return None
    try:
        limit = float(value)
    except ValueError:
        limit = math.nan
    if not math.isfinite(limit) or limit < 0:
        _log.warning("malformed rate limit ignored", value=repr(value[:40]))
        return None
    return limit
