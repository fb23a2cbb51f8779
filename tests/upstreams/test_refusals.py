"""Tests of what callers are told of refusals, in each form of an answer.

Replicas answer over real sockets. The statuses 408, 421, 429 and 503 promise
callers that their request has not run, so that they send it again. A replica
that states that it did not run a request is asked no more, another one is.
"""

import contextlib
import socket
import struct
from collections.abc import AsyncIterator

import pytest
import trio

from lacewingwood import configuration
from lacewingwood import errors as base_errors
from lacewingwood.callers import errors as caller_errors
from lacewingwood.callers import forwarding
from lacewingwood.callers import progress
from lacewingwood.platform import replicas as replica_client
from lacewingwood.routing import directory
from lacewingwood.upstreams import errors
from lacewingwood.upstreams import runs
from tests.callers import test_forwarding
from tests.upstreams import servers

_EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
_SERVED = (
    b"HTTP/1.1 200 OK\r\nrequest-id: id-1\r\nresponse-seal: s.1\r\n"
    b"content-length: %d\r\n\r\n%b" % (len(_EVENTS), _EVENTS)
)
_STATEMENT = b"not-executed: 1\r\n"
# What follows the status line and the first fields of an answer.
_FORMS = {
    "no body": b"content-length: 0\r\n\r\n",
    "length": b"content-length: 2\r\n\r\nno",
    "chunks": b"transfer-encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
    "neither": b"\r\nno",
    "neither, no body": b"\r\n",
    "too short": b"content-length: 9\r\n\r\nno",
    "reset": b"content-length: 9\r\n\r\nno",
    "after interim responses": b"content-length: 2\r\n\r\nno",
    "during the upload": b"content-length: 2\r\n\r\nno",
    "during the upload, reset": b"content-length: 2\r\n\r\nno",
}
_INTERIM = (
    b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 103 Early Hints\r\nnot-executed: 1\r\n\r\n"
)
_UPLOAD = bytes(3_500_000)
_KINDS = ["STREAM", "NON_IDEMPOTENT", "IDEMPOTENT"]
_STATUSES = sorted(caller_errors.NOT_RUN_STATUSES)


def _answer(
    status: int, form: str, fields: bytes = b"request-id: id-1\r\n"
) -> bytes:
    interim = _INTERIM if form == "after interim responses" else b""
    return b"%bHTTP/1.1 %d -\r\n%b%b" % (interim, status, fields, _FORMS[form])


@contextlib.asynccontextmanager
async def _replica(
    form: str, *answers: bytes, kept_open_s: float = 0.0
) -> AsyncIterator[str]:
    """Runs a replica with one answer for each request; yields its address.

    The form applies to the first answer only. `kept_open_s` is how long it
    reads nothing after an answer during the upload.
    """
    remaining = list(answers)

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            data = bytes(await stream.receive_some(100))
            # The forwarder also connects to see whether the replica has ended.
            if not data or not remaining:
                return
            first = len(remaining) == len(answers)
            early = first and form.startswith("during")
            if not early:
                await _read_rest(stream, data)
            await stream.send_all(remaining.pop(0))
            if early:
                await trio.sleep(kept_open_s)
            if first and form.endswith("reset"):
                linger = struct.pack("ii", 1, 0)
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            elif early:
                with contextlib.suppress(trio.BrokenResourceError):
                    await _read_rest(stream, data)

    async with servers.serving(serve) as address:
        yield address


async def _read_rest(stream: trio.SocketStream, data: bytes) -> None:
    """Reads the rest of a request that begins with `data`."""
    while b"\r\n\r\n" not in data:
        data += await stream.receive_some()
    head, _, body = data.partition(b"\r\n\r\n")
    left = int(head.lower().partition(b"content-length: ")[2].split()[0])
    left -= len(body)
    while left > 0 and (chunk := await stream.receive_some(1 << 20)):
        left -= len(chunk)


def _make_call(
    caller: test_forwarding.Caller, form: str, kind: str, **fields: object
) -> progress.Call:
    call = servers.make_call(
        caller,
        kind=configuration.RouteKind[kind],
        gap_objective_ms=5_000.0,
        **fields,
    )
    if form.startswith("during"):
        call.work.body = _UPLOAD
    return call


@pytest.mark.parametrize("form", _FORMS)
@pytest.mark.parametrize("status", _STATUSES)
@pytest.mark.parametrize("kind", _KINDS)
async def test_denied_run_is_not_told_as_not_run(
    kind: str, status: int, form: str
) -> None:
    """Guards against a promise that a replica has not made."""
    caller = test_forwarding.Caller()
    call = _make_call(caller, form, kind, resumable=False, max_attempts=1)
    async with _replica(form, _answer(status, form), _SERVED) as address:
        with pytest.raises(caller_errors.CallerError) as caught:
            await servers.make_forwarder(address, address).run(call)
    assert caller.status == 0
    assert caught.value.status == 502
    assert caught.value.ran is base_errors.Ran.MAY_HAVE_RUN


@pytest.mark.parametrize("form", _FORMS)
@pytest.mark.parametrize("status", _STATUSES)
@pytest.mark.parametrize("kind", ["STREAM", "IDEMPOTENT"])
async def test_denied_run_is_repeated_where_it_may_be(
    kind: str, status: int, form: str
) -> None:
    """Guards against a failure that another replica would have served."""
    caller = test_forwarding.Caller()
    call = _make_call(caller, form, kind)
    async with _replica(form, _answer(status, form), _SERVED) as address:
        await servers.make_forwarder(address, address).run(call)
    assert (caller.status, caller.body) == (200, _EVENTS)


@pytest.mark.parametrize("form", _FORMS)
@pytest.mark.parametrize("status", [*_STATUSES, 400])
@pytest.mark.parametrize("kind", _KINDS)
async def test_refused_request_is_sent_to_another_replica(
    kind: str, status: int, form: str
) -> None:
    """Guards against an attempt that is lost although it is known not to run.

    The request may run once only, and the refusal counts as no run.
    """
    caller = test_forwarding.Caller()
    call = _make_call(caller, form, kind, resumable=False, max_attempts=1)
    fields = b"request-id: id-1\r\n" + _STATEMENT
    refusal = _answer(status, form, fields)
    async with _replica(form, refusal, _SERVED) as address:
        await servers.make_forwarder(address, address).run(call)
    assert (caller.status, caller.body) == (200, _EVENTS)


@pytest.mark.parametrize("form", ["no body", "length", "chunks"])
@pytest.mark.parametrize("status", _STATUSES)
async def test_request_that_all_replicas_refuse_is_told_as_not_run(
    status: int, form: str
) -> None:
    """Guards against a 502 for what is known not to have run."""
    caller = test_forwarding.Caller()
    call = _make_call(caller, form, "NON_IDEMPOTENT", max_attempts=1)
    call.deadline_ms -= 4_500
    refusals = [_answer(status, form, b"request-id: id-1\r\n" + _STATEMENT)]
    refusals += [_answer(status, "length", _STATEMENT)] * 12
    async with _replica(form, *refusals) as address:
        with pytest.raises(caller_errors.CallerError) as caught:
            await servers.make_forwarder(address, address).run(call)
    assert caught.value.status == 503
    assert caught.value.ran is base_errors.Ran.NOT_RUN


@pytest.mark.parametrize("refused", [True, False])
@pytest.mark.parametrize("kind", _KINDS)
async def test_answer_during_an_upload_that_stalls_is_read_at_once(
    kind: str, refused: bool
) -> None:
    """Guards against "may have run" at the deadline, and against lost time.

    The replica has refused or failed the request, and reads no more of it.
    """
    form = "during the upload"
    fields = b"request-id: id-1\r\n" + (_STATEMENT if refused else b"")
    caller = test_forwarding.Caller()
    call = _make_call(caller, form, kind, resumable=False, max_attempts=1)
    call.work.body = bytes(12_000_000)
    first = _answer(503, form, fields)
    async with _replica(form, first, _SERVED, kept_open_s=3.0) as address:
        forwarder = servers.make_forwarder(address, address)
        with trio.fail_after(2):
            if refused:
                await forwarder.run(call)
                assert (caller.status, caller.body) == (200, _EVENTS)
                return
            with pytest.raises(caller_errors.CallerError) as caught:
                await forwarder.run(call)
    assert caught.value.status == 502


async def test_error_that_comes_in_parts_during_an_upload_is_whole() -> None:
    """Guards against half an error, or none, from a replica that reads on.

    It sends the head, reads the rest of the request, and sends the body.
    """
    answer = _answer(500, "length")
    head, _, body = answer.partition(b"\r\n\r\n")

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            data = bytes(await stream.receive_some(100))
            await stream.send_all(head + b"\r\n\r\n")
            await trio.sleep(0.1)
            await _read_rest(stream, data)
            await stream.send_all(body)

    caller = test_forwarding.Caller()
    call = _make_call(
        caller, "during the upload", "NON_IDEMPOTENT", max_attempts=1
    )
    async with servers.serving(serve) as address:
        with trio.fail_after(3):
            await servers.make_forwarder(address).run(call)
    assert (caller.status, caller.body) == (500, body)


@pytest.mark.parametrize("status", [*_STATUSES, 500])
@pytest.mark.parametrize("max_attempts", [1, 2])
async def test_error_whose_body_stalls_does_not_hold_a_request(
    max_attempts: int, status: int
) -> None:
    """Guards against waiting until the deadline for what nobody needs.

    Of a last attempt only the body of a 500 is needed, for the caller.
    """
    stalled = _answer(status, "too short")
    sent = 0

    async def serve(stream: trio.SocketStream) -> None:
        nonlocal sent
        async with stream:
            if not await stream.receive_some():
                return
            sent += 1
            await stream.send_all(stalled if sent == 1 else _SERVED)
            await trio.sleep_forever()

    caller = test_forwarding.Caller()
    call = _make_call(caller, "", "IDEMPOTENT", max_attempts=max_attempts)
    async with servers.serving(serve) as address:
        forwarder = servers.make_forwarder(address, address)
        started_s = trio.current_time()
        if max_attempts == 2:
            await forwarder.run(call)
            assert (caller.status, caller.body) == (200, _EVENTS)
        else:
            with pytest.raises(caller_errors.CallerError) as caught:
                await forwarder.run(call)
            assert caught.value.ran is base_errors.Ran.MAY_HAVE_RUN
            assert caught.value.status == (504 if status == 500 else 502)
        if max_attempts == 2 or status != 500:
            assert trio.current_time() - started_s < 2


async def _open(
    answer: bytes, reused: bool = False
) -> tuple[bool, bool, errors.UpstreamError | None]:
    """Returns `refused` and `misdirected` of a run, and its error.

    With `reused`, the answer is the second one of its connection.
    """
    listing_id = "r0"
    headers = [(b"host", b"h.example")]

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            if reused and await stream.receive_some():
                await stream.send_all(_SERVED)
            if await stream.receive_some():
                await stream.send_all(answer)

    async with servers.serving(serve) as address:
        client = replica_client.Replicas()
        listing = directory.Listing(listing_id, "s", address, "z", 1)
        work = runs.Work("id-1", "POST", b"/p", headers, b"body", "kaje")
        if reused:
            async with client.open(listing, work, 1_000) as run:
                while await run.next_chunk():
                    pass
        try:
            async with client.open(listing, work, 1_000) as run:
                return run.refused, run.misdirected, None
        except errors.UpstreamError as exc:
            return False, False, exc


@pytest.mark.parametrize(
    "fields",
    [
        b"instance-id: r1\r\n",
        b"instance-id: r1\r\nrequest-id: id-1\r\n",
        _STATEMENT,
        _STATEMENT + b"request-id: id-1\r\n",
        _STATEMENT + b"instance-id: r1\r\n",
    ],
)
async def test_answer_of_another_replica_is_a_refusal(fields: bytes) -> None:
    """Guards against an attempt that is lost where an address is used again.

    The replica that has the address now says who it is and runs nothing.
    """
    answer = b"HTTP/1.1 421 -\r\n%bcontent-length: 0\r\n\r\n" % fields
    assert await _open(answer) == (True, True, None)


async def test_copy_of_another_replicas_answer_is_no_refusal() -> None:
    """Guards against "not run" because of an answer to an earlier request."""
    answer = b"HTTP/1.1 421 -\r\ninstance-id: r1\r\ncontent-length: 0\r\n\r\n"
    _, _, exc = await _open(answer, reused=True)
    assert isinstance(exc, errors.InvalidResponseError)
    assert exc.ran is base_errors.Ran.MAY_HAVE_RUN


@pytest.mark.parametrize(
    "fields", [b"", b"instance-id: r0\r\n", b"instance-id: \r\n"]
)
async def test_421_without_a_statement_is_no_refusal(fields: bytes) -> None:
    """Guards against "not run" for a request that its replica has run."""
    answer = (
        b"HTTP/1.1 421 -\r\nrequest-id: id-1\r\n%bcontent-length: 0\r\n\r\n"
    ) % fields
    assert await _open(answer) == (False, False, None)


@pytest.mark.parametrize("status", _STATUSES)
async def test_denied_run_does_not_get_into_a_stream(status: int) -> None:
    """Guards against an error, or an end, within a stream that is resumed."""
    begun = (
        b"HTTP/1.1 200 OK\r\nrequest-id: id-1\r\n"
        b"content-length: 99\r\n\r\nid: 1\ndata: x\n\n"
    )
    rest = b"id: 2\ndata: y\n\n"
    going_on = (
        b"HTTP/1.1 200 OK\r\nrequest-id: id-1\r\ncontent-length: %d\r\n\r\n%b"
    ) % (len(rest), rest)
    denial = _answer(status, "length")
    for max_attempts in (2, 3):
        caller = test_forwarding.Caller()
        call = _make_call(caller, "", "STREAM", max_attempts=max_attempts)
        async with _replica("", begun, denial, going_on) as address:
            forwarder = servers.make_forwarder(address, address, address)
            if max_attempts == 3:
                await forwarder.run(call)
                assert (caller.body, caller.complete) == (_EVENTS, True)
                continue
            with pytest.raises(forwarding.AbortError):
                await forwarder.run(call)
        assert not caller.complete
        assert caller.body == b"id: 1\ndata: x\n\n"
