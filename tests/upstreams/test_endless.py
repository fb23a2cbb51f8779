"""Tests of servers whose bytes are no answer, or another one, or half of one.

The servers send over real sockets. If they send without end, each client has to
end within a bound and hold little memory, also when many servers do so at once.
"""

import contextlib
import functools
import gc
import socket
import struct
import tracemalloc
from collections.abc import AsyncIterator

import h11
import pytest
import trio

from lacewingwood import configuration
from lacewingwood import errors as base_errors
from lacewingwood import metrics as metrics_lib
from lacewingwood.callers import errors as caller_errors
from lacewingwood.callers import forwarding
from lacewingwood.log import compacted
from lacewingwood.log import errors as log_errors
from lacewingwood.platform import replicas as replica_client
from lacewingwood.platform import store as store_lib
from lacewingwood.routing import directory
from lacewingwood.upstreams import errors
from lacewingwood.upstreams import pools as pools_lib
from lacewingwood.upstreams import runs
from tests.callers import test_forwarding
from tests.upstreams import servers

_HEAD = b"HTTP/1.1 200 OK\r\nrequest-id: id-1\r\ntransfer-encoding: chunked\r\n"
_EVENT = b"id: 1\ndata: x\n\n"
_FILLER = b"x" * 16_384
# Parts of an answer that a server starts with and those it repeats for ever.
_ENDLESS = {
    "head": (b"HTTP/1.1 200 OK\r\nx: ", _FILLER),
    "header fields": (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n" * 1000),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
    "chunk extension": (_HEAD + b"\r\n5;", _FILLER),
    "event": (_HEAD + b"\r\nffffffff\r\nid: 1\ndata: ", _FILLER),
    "comments": (_HEAD + b"\r\nffffffff\r\n", b": no event\n\n" * 1000),
    "data without an id": (_HEAD + b"\r\nffffffff\r\n", b"data: x\n\n" * 1000),
    "trailers": (_HEAD + b"trailer: t\r\n\r\n0\r\n", b"t: x\r\n" * 1000),
    "error body": (
        b"HTTP/1.1 500 X\r\nrequest-id: id-1\r\ncontent-length: 999999999"
        b"\r\n\r\n",
        _FILLER,
    ),
}
_MAX_HELD_BYTES = 8 << 20


@contextlib.asynccontextmanager
async def _endless_server(
    start: bytes, repeated: bytes, pause_s: float = 0.0, requests: int = 1
) -> AsyncIterator[str]:
    """Runs a server that never ends its answers; yields its address.

    It answers once it has that number of requests, so that the bytes of some
    do not delay the connections of others beyond the time to connect.
    """
    waiting: list[trio.SocketStream] = []
    complete = trio.Event()

    async def serve(stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            async with stream:
                await stream.receive_some()
                waiting.append(stream)
                if len(waiting) == requests:
                    complete.set()
                await complete.wait()
                await stream.send_all(start)
                while True:
                    await stream.send_all(repeated)
                    await trio.sleep(pause_s)

    async with servers.serving(serve) as address:
        yield address


async def _expect_failure(forwarder: forwarding.Forwarder) -> None:
    """Sends a request that may run once; expects no complete answer."""
    caller = test_forwarding.Caller()
    call = servers.make_call(caller, resumable=False, max_attempts=1)
    with pytest.raises((caller_errors.CallerError, forwarding.AbortError)):
        await forwarder.run(call)
    assert not caller.complete
    assert len(caller.body) < _MAX_HELD_BYTES


@pytest.mark.parametrize("name", _ENDLESS)
async def test_endless_answer_ends_early_and_holds_little(name: str) -> None:
    """Guards against a replica that fills the memory or keeps a request.

    Twelve requests meet such a replica at once. Their deadline is 5 s away.
    """
    start, repeated = _ENDLESS[name]
    async with _endless_server(
        start, repeated, requests=servers.SLOTS
    ) as address:
        forwarder = servers.make_forwarder(address)
        # A collection of all that the earlier tests left takes longer than a
        # connection may, beside other load.
        gc.collect()
        gc.disable()
        tracemalloc.start()
        try:
            with trio.fail_after(4):
                async with trio.open_nursery() as nursery:
                    for _ in range(servers.SLOTS):
                        nursery.start_soon(_expect_failure, forwarder)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
            gc.enable()
    assert peak_bytes < _MAX_HELD_BYTES


@pytest.mark.parametrize("repeated", [b":\n\n", b" ", b"1\r\nx\r\n"])
async def test_stream_that_sends_a_byte_now_and_then_is_resumed(
    repeated: bytes,
) -> None:
    """Guards against a stalled stream that is taken for a slow one.

    A byte, a comment or a chunk every 20 ms is no event. The route allows
    pauses of 50 ms, so another run goes on; the last one ends at the deadline.
    """
    start = _HEAD + b"\r\n" + b"%x\r\n" % len(_EVENT) + _EVENT + b"\r\n"
    async with _endless_server(start, repeated, 0.02) as address:
        forwarder = servers.make_forwarder(address)
        caller = test_forwarding.Caller()
        call = servers.make_call(caller)
        call.deadline_ms -= 4_000
        with trio.fail_after(2), pytest.raises(forwarding.AbortError):
            await forwarder.run(call)
        assert caller.body.startswith(_EVENT)
        assert not caller.complete
        assert "attempt_failures" in forwarder._endings._metrics.render()


async def test_slow_stream_is_not_cut() -> None:
    """Guards against cutting a stream whose events come slowly but in time.

    Its pauses are longer than those after which it would be resumed, but its
    route allows only one attempt.
    """
    caller = test_forwarding.Caller()
    chunks: list[bytes | float | type[test_forwarding.Break]] = []
    for event in test_forwarding.stream(1, 4):
        chunks += [90.0, event]
    replicas = test_forwarding.FakeReplicas(test_forwarding.Script(chunks))
    call = test_forwarding.make_call(caller, max_attempts=1)
    await test_forwarding.make_forwarder(replicas).run(call)
    assert caller.complete
    assert caller.body == b"".join(test_forwarding.stream(1, 4))


async def test_slow_caller_does_not_count_as_a_stalled_replica() -> None:
    """Guards against cutting a stream because its caller reads slowly."""
    caller = test_forwarding.Caller()
    send = caller.req._send

    async def send_slowly(message: dict[str, object]) -> None:
        await trio.sleep(0.08)
        await send(message)

    caller.req._send = send_slowly
    replicas = test_forwarding.FakeReplicas(
        test_forwarding.Script([*test_forwarding.stream(1, 4)])
    )
    await test_forwarding.make_forwarder(replicas).run(
        test_forwarding.make_call(caller)
    )
    assert caller.complete
    assert len(replicas.sent) == 1


@pytest.mark.parametrize(
    ("repeated", "pause_s"), [(_FILLER, 0.0), (b"x", 0.02)]
)
async def test_endless_answer_of_the_store_is_an_error(
    repeated: bytes, pause_s: float
) -> None:
    """Guards against a call to the store that fills memory or never ends.

    The outcome of an append is unknown then.
    """
    start = b"HTTP/1.1 200 OK\r\ncontent-length: 999999999\r\n\r\n"
    async with _endless_server(start, repeated, pause_s) as address:
        store = store_lib.Store(address, metrics_lib.Registry())
        partition = compacted.Partition("jobs", 0)
        tracemalloc.start()
        try:
            with (
                trio.fail_after(4),
                pytest.raises(log_errors.UnavailableError) as caught,
            ):
                await store.append(partition, [compacted.Record("a", b"1")])
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert caught.value.may_have_taken_effect
    assert peak_bytes < 2 * _MAX_HELD_BYTES


async def test_whole_responses_hold_a_bounded_sum() -> None:
    """Guards against many large answers that together fill the memory."""
    start = (
        b"HTTP/1.1 200 OK\r\nrequest-id: id-1\r\n"
        b"content-length: 15000000\r\n\r\n"
    )
    async with _endless_server(start, b"x" * 1_000_000) as address:
        forwarder = servers.make_forwarder(address)
        outcomes: list[bool] = []

        async def send() -> None:
            caller = test_forwarding.Caller()
            call = servers.make_call(
                caller,
                kind=configuration.RouteKind.NON_IDEMPOTENT,
                max_attempts=1,
            )
            with contextlib.suppress(caller_errors.CallerError):
                await forwarder.run(call)
            outcomes.append(caller.complete)

        with trio.fail_after(8):
            async with trio.open_nursery() as nursery:
                for _ in range(6):
                    nursery.start_soon(send)
            await send()
        assert not all(outcomes)
        # The memory that failed answers held is free again.
        assert outcomes[-1]


async def test_late_copy_of_an_answer_reaches_no_other_caller() -> None:
    """Guards against a second answer that the next request is given.

    The copy comes after the connection is in use again.
    """

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            answer = (
                b"HTTP/1.1 200 OK\r\nrequest-id: id-1\r\ncontent-length: 2"
                b"\r\n\r\nok"
            )
            await stream.receive_some()
            await stream.send_all(answer)
            await stream.receive_some()
            await stream.send_all(answer)
            await trio.sleep_forever()

    async with servers.serving(serve) as address:
        client = replica_client.Replicas()
        listing = directory.Listing("r0", "s", address, "z", 1)

        def work(request_id: str) -> runs.Work:
            headers = [(b"host", b"h.example")]
            return runs.Work(request_id, "POST", b"/p", headers, b"b", "kaje")

        async with client.open(listing, work("id-1"), 1_000) as run:
            assert await run.next_chunk() == b"ok"
            assert await run.next_chunk() == b""
        with pytest.raises(errors.InvalidResponseError) as caught:
            async with client.open(listing, work("id-2"), 1_000):
                pass
        assert caught.value.ran is base_errors.Ran.MAY_HAVE_RUN


_REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nnot-executed: 1\r\ncontent-length: 0\r\n%s\r\n"
)


async def _refuse_all(stream: trio.SocketStream, refusal: bytes) -> None:
    """Answers each request on a connection with the same bytes."""
    async with stream:
        while await stream.receive_some():
            await stream.send_all(refusal)


@pytest.mark.parametrize(
    ("header", "second_id"),
    [(b"", "id-2"), (b"", "id-1"), (b"request-id: id-1\r\n", "id-1")],
    ids=["no id", "no id, same request", "same request"],
)
async def test_copy_of_an_earlier_refusal_refuses_nothing(
    header: bytes, second_id: str
) -> None:
    """Guards against calling a request not run because of an old refusal.

    The replica repeats a refusal on a kept connection, where it runs the
    second request. On a new connection there is no earlier one.
    """
    opened = 0

    async def serve(stream: trio.SocketStream) -> None:
        nonlocal opened
        opened += 1
        await _refuse_all(stream, _REFUSAL % header)

    async with servers.serving(serve) as address:
        client = replica_client.Replicas()
        listing = directory.Listing("r0", "s", address, "z", 1)
        headers = [(b"host", b"h.example")]
        for request_id in ("id-1", second_id):
            work = runs.Work(request_id, "POST", b"/p", headers, b"b", "kaje")
            connections = opened
            failure: errors.UpstreamError | None = None
            try:
                async with client.open(listing, work, 1_000) as run:
                    assert run.refused
                    assert await run.next_chunk() == b""
                    assert opened == connections + 1
            except errors.InvalidResponseError as exc:
                failure = exc
            if failure is not None:
                assert opened == connections
                assert failure.ran is base_errors.Ran.MAY_HAVE_RUN


async def test_answer_that_breaks_off_is_never_complete() -> None:
    """Guards against half an answer that looks whole.

    It breaks off before its length, within a chunk, or without any end.
    """
    for answer in (
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhalf",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nhalf",
    ):

        async def serve(
            stream: trio.SocketStream, answer: bytes = answer
        ) -> None:
            async with stream:
                await stream.receive_some()
                await stream.send_all(answer)

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                functools.partial(trio.serve_listeners, serve, listeners)
            )
            port = listeners[0].socket.getsockname()[1]
            pool = pools_lib.Pools(1).pool(f"127.0.0.1:{port}")
            async with pool.exchange() as exchange:
                head = h11.Request(
                    method="GET", target="/", headers=[("host", "x")]
                )
                await exchange.send_whole(head, b"")
                await exchange.receive_head()
                with pytest.raises(errors.BrokenError):
                    await exchange.read()
            assert not exchange.complete
            nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def _scripted_server(
    *answers: bytes, reset: bool = False
) -> AsyncIterator[str]:
    """Runs a server with one answer for each connection; yields its address.

    Args:
        *answers: Bytes to send; the connection is closed after them.
        reset: True to reset the connections instead.
    """
    remaining = list(answers)

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some()
            await stream.send_all(remaining.pop(0))
            if reset:
                linger = struct.pack("ii", 1, 0)
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async with servers.serving(serve) as address:
        yield address


_UNFRAMED_HEAD = (
    b"HTTP/1.1 200 OK\r\nrequest-id: id-1\r\n"
    b"content-type: text/event-stream\r\n\r\n"
)


@pytest.mark.parametrize("kind", ["STREAM", "NON_IDEMPOTENT"])
async def test_answer_that_ends_with_its_connection_is_complete(
    kind: str,
) -> None:
    """Guards against losing sound answers without a length or chunks."""
    async with _scripted_server(_UNFRAMED_HEAD + _EVENT) as address:
        caller = test_forwarding.Caller()
        call = servers.make_call(
            caller, kind=configuration.RouteKind[kind], max_attempts=1
        )
        await servers.make_forwarder(address).run(call)
    assert caller.body == _EVENT
    assert caller.complete


@pytest.mark.parametrize(
    ("body", "reset"),
    [(b"", False), (_EVENT + b"id: 2\ndata: y", False), (_EVENT, True)],
    ids=["no event", "within an event", "reset"],
)
async def test_stream_that_breaks_off_with_its_connection_is_not_complete(
    body: bytes, reset: bool
) -> None:
    """Guards against half a stream without a length that looks whole."""
    async with _scripted_server(_UNFRAMED_HEAD + body, reset=reset) as address:
        await _expect_failure(servers.make_forwarder(address))


_EARLY_ANSWERS = {
    "IDEMPOTENT": _UNFRAMED_HEAD.replace(b"text/event-stream", b"text/plain")
    + bytes(3_000),
    "NON_IDEMPOTENT": _UNFRAMED_HEAD.replace(b"text/event-stream", b"x/y")
    + bytes(3_000),
    "STREAM": _UNFRAMED_HEAD + _EVENT + b"id: 2\ndata: y\n\n",
}


@contextlib.asynccontextmanager
async def _early_server(answer: bytes, reset: bool) -> AsyncIterator[str]:
    """Runs a server that answers before it reads a body; yields its address.

    It resets the connection then, or reads the body and closes it.
    """

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some(100)
            await stream.send_all(answer)
            if reset:
                # The client's buffers are full by then.
                await trio.sleep(0.1)
                linger = struct.pack("ii", 1, 0)
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                return
            with trio.move_on_after(0.5):
                while await stream.receive_some(1 << 20):
                    pass

    async with servers.serving(serve) as address:
        yield address


@pytest.mark.parametrize("kind", _EARLY_ANSWERS)
@pytest.mark.parametrize("reset", [True, False])
async def test_early_answer_is_complete_unless_it_was_reset(
    kind: str, reset: bool
) -> None:
    """Guards against half an answer, reset during the upload, as a whole one.

    The error of the reset was seen by the write of the request, so that the
    following read found the end of the connection.
    """
    answer = _EARLY_ANSWERS[kind]
    async with _early_server(answer, reset) as address:
        caller = test_forwarding.Caller()
        call = servers.make_call(
            caller,
            kind=configuration.RouteKind[kind],
            resumable=False,
            max_attempts=1,
        )
        call.work = runs.Work(
            "id-1",
            "POST",
            b"/p/1",
            [(b"host", b"h.example")],
            bytes(3_500_000),
            "kaje",
        )
        forwarder = servers.make_forwarder(address)
        if not reset:
            await forwarder.run(call)
            assert caller.complete
            assert caller.body == answer.partition(b"\r\n\r\n")[2]
            return
        with pytest.raises((caller_errors.CallerError, forwarding.AbortError)):
            await forwarder.run(call)
        assert not caller.complete


_STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nResponse-Seal: s.1\r\n"
    b"Content-Type: text/event-stream\r\n\r\n"
)


@pytest.mark.parametrize("resumable", [True, False])
async def test_head_that_breaks_off_is_no_answer(resumable: bool) -> None:
    """Guards against a success with an empty or short body, framed as whole."""
    lengths = iter(range(len(_STREAM_HEAD)))

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            # The forwarder also connects to see whether the replica has ended.
            if await stream.receive_some():
                await stream.send_all(_STREAM_HEAD[: next(lengths)])

    async with servers.serving(serve) as address:
        for _ in _STREAM_HEAD:
            caller = test_forwarding.Caller()
            call = servers.make_call(
                caller, resumable=resumable, max_attempts=1
            )
            with pytest.raises(
                (caller_errors.CallerError, forwarding.AbortError)
            ):
                await servers.make_forwarder(address).run(call)
            assert caller.status == 0


@pytest.mark.parametrize("kind", ["IDEMPOTENT", "NON_IDEMPOTENT", "STREAM"])
@pytest.mark.parametrize(
    "status",
    [b"000", b"099", b"20", b"0200", b"+20", b"600", b"999"],
)
async def test_answer_with_an_invalid_status_is_not_relayed(
    kind: str, status: bytes
) -> None:
    """Guards against a replica's invalid status that reaches the caller."""
    answer = (
        b"HTTP/1.1 %b OK\r\nrequest-id: id-1\r\ncontent-length: %d\r\n"
        b"content-type: text/event-stream\r\n\r\n%b"
    ) % (status, len(_EVENT), _EVENT)
    async with _scripted_server(answer) as address:
        caller = test_forwarding.Caller()
        call = servers.make_call(
            caller,
            kind=configuration.RouteKind[kind],
            resumable=False,
            max_attempts=1,
        )
        with pytest.raises(caller_errors.CallerError) as caught:
            await servers.make_forwarder(address).run(call)
    assert caller.status == 0
    assert caught.value.status == 502
    assert caught.value.ran is base_errors.Ran.MAY_HAVE_RUN
