"""Tests of forwarding requests to replicas and of resuming their streams."""

import contextlib
import copy
import math
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Collection

import msgspec
import pytest
import trio
from structlog import testing

from lacewingwood import clock as clocks
from lacewingwood import configuration
from lacewingwood import errors as base_errors
from lacewingwood import metrics as metrics_lib
from lacewingwood.callers import errors
from lacewingwood.callers import forwarding
from lacewingwood.callers import http
from lacewingwood.callers import progress
from lacewingwood.routing import directory
from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import load
from lacewingwood.routing import origins
from lacewingwood.routing import quarantine as quarantines
from lacewingwood.routing import slots as slots_lib
from lacewingwood.upstreams import errors as upstream_errors
from lacewingwood.upstreams import runs
from tests.routing import test_dispatcher

SEAL = [(b"seal", b"1")]


def stream(first: int, last: int) -> list[bytes]:
    """Returns events as a replica sends them."""
    return [b"id: %d\ndata: p%d\n\n" % (n, n) for n in range(first, last + 1)]


class Origins:
    """Origins of streams in memory, as `stream_origins.StreamOrigins`.

    Attributes:
        known: Origins by the key of the stream.
    """

    def __init__(self) -> None:
        self.known: dict[int, origins.Origin] = {}

    async def note_begun(
        self, key: int, replica: load.Replica, services: Collection[str]
    ) -> origins.Origin:
        """Records that a replica began a stream."""
        self.known[key] = load.origin_of(replica)
        return self.known[key]

    async def find(
        self, key: int, services: Collection[str], request_id: str
    ) -> origins.Origin | None:
        """Returns a recorded origin."""
        return self.known.get(key)


class Break(Exception):
    """Marks where the connection of a scripted run breaks."""


class Script:
    """A replica's scripted response to one request.

    Attributes:
        chunks: Chunks of the body; a number is a pause in ms.
        status: HTTP status.
        refused: True if the replica reports that it did not run the request.
        error: Raised instead of a response.
        connects: False if no connection is ever made.
        silent: True if no response ever comes.
    """

    def __init__(
        self,
        chunks: list[bytes | float | type[Break]] | None = None,
        status: int = 200,
        refused: bool = False,
        error: upstream_errors.UpstreamError | None = None,
        connects: bool = True,
        silent: bool = False,
    ) -> None:
        self.chunks = list(chunks or [])
        self.status = status
        self.refused = refused
        self.error = error
        self.connects = connects
        self.silent = silent


class _Run:
    """A scripted run."""

    misdirected = False
    notice = runs.Notice()

    def __init__(self, script: Script) -> None:
        self._chunks = list(script.chunks)
        self.status = script.status
        self.headers = list(SEAL)
        self.refused = script.refused

    async def next_chunk(self, limit_ms: float = math.inf) -> bytes:
        """Returns the next chunk."""
        await trio.lowlevel.checkpoint()
        while self._chunks:
            chunk = self._chunks.pop(0)
            if chunk is Break:
                raise upstream_errors.BrokenError("cut")
            if isinstance(chunk, bytes):
                return chunk
            with trio.move_on_after(limit_ms / 1000) as limit:
                await trio.sleep(chunk / 1000)
            if limit.cancelled_caught:
                raise upstream_errors.TimeoutError(
                    "silent", base_errors.Ran.MAY_HAVE_RUN
                )
        return b""


class FakeReplicas:
    """Responds to each request with the next script.

    Attributes:
        fresh: For each request, whether it asked for a new connection.
        gone: True if replicas accept no connections.
        sent: Replica and the event to resume after, for each request.
        closed: Number of runs that have ended.
    """

    def __init__(self, *scripts: Script) -> None:
        self._scripts = list(scripts)
        self.fresh: list[bool] = []
        self.gone = False
        self.sent: list[tuple[str, int | None]] = []
        self.closed = 0

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
    ) -> AsyncIterator[_Run]:
        """Yields the next scripted run."""
        self.sent.append((replica.id, resume_after))
        self.fresh.append(fresh)
        script = self._scripts.pop(0)
        try:
            await trio.lowlevel.checkpoint()
            if not script.connects:
                await trio.sleep_forever()
            if not isinstance(script.error, upstream_errors.ConnectError):
                on_send()
            if script.silent:
                await trio.sleep_forever()
            if script.error is not None:
                raise script.error
            yield _Run(script)
        finally:
            self.closed += 1

    async def has_stopped(self, replica: directory.Listing) -> bool:
        """Returns whether replicas accept no connections."""
        await trio.lowlevel.checkpoint()
        return self.gone


class Caller:
    """A caller over ASGI and the response it received.

    Attributes:
        status: Status of the response, 0 until it starts.
        headers: Headers of the response.
        body: Body received so far.
        complete: True once the response is complete.
        leave: Set to make the caller disconnect.
        req: The caller's request.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.complete = False
        self.leave = trio.Event()
        scope = {"method": "POST", "path": "/p/1", "headers": []}
        self.req = http.Request(scope, self._receive, self._send, "id-1")
        self.req.body_read.set()

    async def _receive(self) -> dict[str, object]:
        await self.leave.wait()
        return {"type": "http.disconnect"}

    async def _send(self, message: dict[str, object]) -> None:
        if message["type"] == "http.response.start":
            self.status = message["status"]  # type: ignore[assignment]
            self.headers = message["headers"]  # type: ignore[assignment]
        else:
            self.body += message["body"]  # type: ignore[operator]
            self.complete = not message["more_body"]


def make_call(caller: Caller, **fields: object) -> progress.Call:
    """Returns a call on a route whose streams may be resumed."""
    values: dict[str, object] = {
        "name": "r",
        "host": "h",
        "path_prefix": "/p/",
        "kind": configuration.RouteKind.STREAM,
        "targets": (configuration.Target("s", 1),),
        "objective_ms": 300.0,
        "gap_objective_ms": 50.0,
        "max_attempts": 2,
        "resumable": True,
    }
    values.update(fields)
    now_ms = clocks.MonotonicClock().now_ms()
    return progress.Call(
        req=caller.req,
        route=configuration.Route(**values),  # type: ignore[arg-type]
        work=runs.Work("id-1", "POST", b"/p/1", [], b"body", "kaje"),
        arrived_ms=now_ms,
        deadline_ms=now_ms + 500,
        priority=0,
        resume_after=None,
    )


def make_forwarder(
    replicas: FakeReplicas,
    quarantine: quarantines.Quarantine | None = None,
    stream_origins: Origins | None = None,
    versions: tuple[str, ...] = ("", ""),
) -> forwarding.Forwarder:
    """Returns a forwarder over replicas of two slots, two unless told."""
    clock = clocks.MonotonicClock()
    dispatcher = test_dispatcher.make(replicas=len(versions), clock=clock)
    fleet = dispatcher.fleet
    for n, version in enumerate(versions):
        listing = fleet.directory.get(f"r{n}")
        assert listing is not None
        fleet.directory.put(msgspec.structs.replace(listing, version=version))
    fleet.refresh()
    return forwarding.Forwarder(
        dispatcher,
        replicas,
        clock,
        metrics_lib.Registry(),
        quarantine or quarantines.Quarantine(),
        stream_origins or Origins(),
    )


async def test_stream_is_relayed_unchanged() -> None:
    """Guards against changes to the bytes of a replica's response."""
    caller = Caller()
    replicas = FakeReplicas(Script(stream(1, 4)))
    await make_forwarder(replicas).run(make_call(caller))
    assert caller.status == 200
    assert caller.body == b"".join(stream(1, 4))
    assert caller.complete
    assert (b"seal", b"1") in caller.headers


async def test_broken_stream_is_resumed_on_another_replica() -> None:
    """Guards against losing a stream when its replica fails."""
    caller = Caller()
    first = Script([*stream(1, 2), b"id: 3\nda", Break])
    replicas = FakeReplicas(first, Script(stream(3, 4)))
    await make_forwarder(replicas).run(make_call(caller))
    assert caller.body == b"".join(stream(1, 4))
    assert caller.complete
    (first_replica, _), (second_replica, resumed) = replicas.sent
    assert first_replica != second_replica
    assert resumed == 2


async def test_silent_stream_is_resumed_within_the_gap_objective() -> None:
    """Guards against waiting for a replica that has become unreachable."""
    caller = Caller()
    first = Script([*stream(1, 1), 400.0, *stream(2, 4)])
    replicas = FakeReplicas(first, Script(stream(2, 4)))
    started = trio.current_time()
    await make_forwarder(replicas).run(make_call(caller))
    assert caller.body == b"".join(stream(1, 4))
    assert trio.current_time() - started < 0.2


async def test_stream_that_may_not_be_resumed_is_aborted() -> None:
    """Guards against a truncated stream that looks complete or runs again."""
    caller = Caller()
    replicas = FakeReplicas(Script([*stream(1, 2), Break]))
    call = make_call(caller, resumable=False, max_attempts=1)
    with pytest.raises(forwarding.AbortError):
        await make_forwarder(replicas).run(call)
    assert not caller.complete
    assert len(replicas.sent) == 1


async def test_run_that_may_have_begun_is_not_reported_as_not_run() -> None:
    """Guards against a 503, which permits a retry, if the request may have run.

    The route does not allow a second run.
    """
    caller = Caller()
    replicas = FakeReplicas(Script(error=upstream_errors.BrokenError("reset")))
    call = make_call(caller, resumable=False)
    with pytest.raises(errors.CallerError) as caught:
        await make_forwarder(replicas).run(call)
    assert caught.value.status == 502
    assert caught.value.ran is base_errors.Ran.MAY_HAVE_RUN
    assert len(replicas.sent) == 1


async def test_refusal_is_retried_without_counting_an_attempt() -> None:
    """Guards against a request that fails because one replica is full."""
    caller = Caller()
    replicas = FakeReplicas(
        Script(status=503, refused=True), Script(stream(1, 2))
    )
    call = make_call(caller, resumable=False, max_attempts=1)
    await make_forwarder(replicas).run(call)
    assert caller.body == b"".join(stream(1, 2))


async def test_request_that_no_replica_accepts_fails_as_not_run() -> None:
    """Guards against a 500 or 502 for a request that did not run.

    An error that leaves a nursery in an ExceptionGroup is reported as 500.
    """
    caller = Caller()
    refusal = upstream_errors.ConnectError("refused")
    replicas = FakeReplicas(Script(error=refusal), Script(error=refusal))
    with pytest.raises(errors.CallerError) as caught:
        await make_forwarder(replicas).run(make_call(caller))
    assert caught.value.status == 503
    assert caught.value.retry_after_ms is not None


async def test_request_that_cannot_begin_in_time_is_told_no_return(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against callers that return only to be late as well."""

    async def refuse(_: object, req: slots_lib.SlotRequest) -> None:
        await trio.lowlevel.checkpoint()
        req.hopeless = True

    monkeypatch.setattr(dispatchers.Dispatcher, "acquire", refuse)
    with pytest.raises(errors.CallerError) as caught:
        await make_forwarder(FakeReplicas()).run(make_call(Caller()))
    assert (caught.value.status, caught.value.code) == (503, "no_capacity")
    assert caught.value.ran is base_errors.Ran.NOT_RUN
    assert caught.value.retry_after_ms is None


async def test_lost_answers_count_as_attempts() -> None:
    """Guards against a request that runs on one replica after another.

    Each replica runs it, and its answer is lost before the head.
    """
    lost = [Script(error=upstream_errors.BrokenError("x")) for _ in range(4)]
    broken = Script([*stream(1, 2), Break])
    for scripts in ([broken, *lost], lost):
        replicas = FakeReplicas(*scripts)
        call = make_call(Caller(), max_attempts=2)
        with pytest.raises((errors.CallerError, forwarding.AbortError)):
            await make_forwarder(replicas, versions=("",) * 6).run(call)
        assert len(replicas.sent) == 2


async def test_attempts_are_bounded() -> None:
    """Guards against a request that breaks one replica after another."""
    caller = Caller()
    broken = [Script(error=upstream_errors.BrokenError("x")) for _ in range(5)]
    replicas = FakeReplicas(*broken)
    with pytest.raises(errors.CallerError) as caught:
        await make_forwarder(replicas).run(make_call(caller))
    assert caught.value.status == 502
    assert len(replicas.sent) == 2


async def test_error_response_of_a_replica_is_relayed() -> None:
    """Guards against changes to a replica's error response."""
    caller = Caller()
    replicas = FakeReplicas(Script([b"sorry"], status=500))
    call = make_call(caller, max_attempts=1)
    await make_forwarder(replicas).run(call)
    assert (caller.status, caller.body) == (500, b"sorry")


async def test_request_is_not_retried_on_the_replica_that_failed() -> None:
    """Guards against a second attempt on the replica that just failed."""
    for _ in range(8):
        caller = Caller()
        replicas = FakeReplicas(
            Script([b"sorry"], status=500),
            Script([b"id: 1\ndata: x\n\n"]),
        )
        forwarder = make_forwarder(replicas)
        for replica in forwarder._slots.fleet.all():
            for _ in range(4):
                replica.note_failure(clocks.MonotonicClock().now_ms())
        await forwarder.run(make_call(caller))
        first, second = replicas.sent
        assert first[0] != second[0]


async def test_run_that_ended_with_its_replica_is_not_counted() -> None:
    """Guards against failing a stream whose run ended with its replica.

    The run can't continue unseen, so another one is allowed in its place.
    """
    caller = Caller()
    replicas = FakeReplicas(
        Script([b"id: 1\ndata: x\n\n", Break]),
        Script([b"id: 2\ndata: y\n\n"]),
    )
    replicas.gone = True
    call = make_call(caller, max_attempts=1)
    await make_forwarder(replicas).run(call)
    assert caller.body == b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
    assert [after for _, after in replicas.sent] == [None, 1]


@pytest.mark.parametrize(("gone", "resumable"), [(False, True), (True, False)])
async def test_other_broken_runs_are_counted(
    gone: bool, resumable: bool
) -> None:
    """Guards against more runs than the route allows.

    A broken run is counted if its replica has not ended, so that the run may
    continue, or if the route does not allow the request to run again.
    """
    caller = Caller()
    replicas = FakeReplicas(Script([b"id: 1\ndata: x\n\n", Break]), Script([]))
    replicas.gone = gone
    call = make_call(caller, max_attempts=1, resumable=resumable)
    with pytest.raises(forwarding.AbortError):
        await make_forwarder(replicas).run(call)
    assert len(replicas.sent) == 1


async def test_request_that_crashes_replicas_reaches_two() -> None:
    """Guards against a request that crashes one replica after another."""
    caller = Caller()
    broken = [Script(error=upstream_errors.BrokenError("x")) for _ in range(5)]
    replicas = FakeReplicas(*broken)
    replicas.gone = True
    with pytest.raises(errors.CallerError):
        await make_forwarder(replicas).run(make_call(caller, max_attempts=1))
    assert len(replicas.sent) == 2


async def test_last_attempt_uses_a_new_connection() -> None:
    """Guards against an attempt lost to a connection reset while idle."""
    replicas = FakeReplicas(
        Script(error=upstream_errors.BrokenError("x")),
        Script([b"id: 1\ndata: x\n\n"]),
    )
    await make_forwarder(replicas).run(make_call(Caller()))
    assert replicas.fresh == [False, True]


@pytest.mark.parametrize("status", sorted(errors.NOT_RUN_STATUSES))
@pytest.mark.parametrize("max_attempts", [1, 3])
@pytest.mark.parametrize("kind", ["STREAM", "NON_IDEMPOTENT"])
async def test_status_that_denies_a_run_is_not_relayed(
    kind: str, max_attempts: int, status: int
) -> None:
    """Guards against reporting a request that ran as not run.

    Callers send a request again after these statuses. A replica that does not
    state that the request has not run may have run it.
    """
    caller = Caller()
    replicas = FakeReplicas(Script([b"x"], status=status), Script(stream(1, 2)))
    call = make_call(
        caller,
        kind=configuration.RouteKind[kind],
        max_attempts=max_attempts,
        resumable=False,
    )
    with pytest.raises(errors.CallerError) as caught:
        await make_forwarder(replicas).run(call)
    assert caller.status == 0
    assert caught.value.status == 502
    assert caught.value.ran is base_errors.Ran.MAY_HAVE_RUN
    assert caught.value.retry_after_ms is None
    assert len(replicas.sent) == 1


@pytest.mark.parametrize("status", sorted(errors.NOT_RUN_STATUSES))
@pytest.mark.parametrize("kind", ["STREAM", "IDEMPOTENT"])
async def test_request_is_retried_after_a_status_that_denies_its_run(
    kind: str, status: int
) -> None:
    """Guards against failing a request that another replica would serve."""
    caller = Caller()
    replicas = FakeReplicas(Script([b"x"], status=status), Script(stream(1, 2)))
    call = make_call(caller, kind=configuration.RouteKind[kind])
    await make_forwarder(replicas).run(call)
    assert (caller.status, caller.body) == (200, b"".join(stream(1, 2)))
    first, second = replicas.sent
    assert first[0] != second[0]


@pytest.mark.parametrize("status", sorted(errors.NOT_RUN_STATUSES))
async def test_status_that_denies_a_run_counts_as_an_attempt(
    status: int,
) -> None:
    """Guards against more runs than the route allows."""
    replicas = FakeReplicas(*(Script([b"x"], status=status) for _ in range(9)))
    call = make_call(Caller(), max_attempts=2)
    with pytest.raises(errors.CallerError) as caught:
        await make_forwarder(replicas).run(call)
    assert caught.value.status == 502
    assert len(replicas.sent) == 2


@pytest.mark.parametrize("status", sorted(errors.NOT_RUN_STATUSES))
async def test_status_that_denies_a_run_clears_no_suspect(status: int) -> None:
    """Guards against ending a quarantine by a run that was not completed.

    Nor does it speak for the replica, which failed the request.
    """
    quarantine = quarantines.Quarantine()
    call = make_call(Caller(), resumable=False)
    now_ms = clocks.MonotonicClock().now_ms()
    crashed = directory.Listing("r9", "s", "10.0.0.9:80", "z", 2)
    quarantine.note_crash(crashed, call.work, now_ms, begun=True)
    forwarder = make_forwarder(
        FakeReplicas(Script([b"x"], status=status)), quarantine
    )
    with pytest.raises(errors.CallerError):
        await forwarder.run(call)
    assert quarantine.is_suspect(call.work)
    assert sum(r.failures for r in forwarder._slots.fleet.all()) == 1


@pytest.mark.parametrize(
    ("status", "last"),
    [(500, "error relayed"), (429, "request given up"), (404, "served")],
)
async def test_error_of_a_replica_is_logged(status: int, last: str) -> None:
    """Guards against requests that end without a line that tells why."""
    call = make_call(Caller(), max_attempts=1)
    forwarder = make_forwarder(FakeReplicas(Script([b"x"], status=status)))
    with (
        testing.capture_logs() as lines,
        contextlib.suppress(errors.CallerError),
    ):
        await forwarder.run(call)
    failed = [line for line in lines if line["event"] == "attempt failed"]
    assert lines[-1]["event"] == last
    if last == "served":
        assert (lines[-1]["status"], failed) == (status, [])
        return
    assert [line["code"] for line in failed] == [f"status_{status}"]
    assert failed[0]["replica"] in ("r0", "r1")
    assert lines[-1]["reason"] == f"status_{status}"


async def test_disconnect_cancels_the_run() -> None:
    """Guards against runs that continue after the caller disconnected."""
    caller = Caller()
    replicas = FakeReplicas(Script([*stream(1, 1), 5_000.0]))
    call = make_call(caller, gap_objective_ms=0.0)
    with trio.fail_after(1):
        async with trio.open_nursery() as nursery:

            async def leave() -> None:
                await trio.sleep(0.02)
                caller.leave.set()

            nursery.start_soon(leave)
            with pytest.raises(http.DisconnectedError):
                await make_forwarder(replicas).run(call)
    assert replicas.closed == 1


async def test_request_times_out_at_its_deadline() -> None:
    """Guards against a request that runs past its route's timeout."""
    caller = Caller()
    replicas = FakeReplicas(Script([5_000.0]))
    call = make_call(caller, resumable=False)
    call.deadline_ms = call.arrived_ms + 50
    with pytest.raises(errors.CallerError) as caught:
        await make_forwarder(replicas).run(call)
    assert caught.value.status == 504


@pytest.mark.parametrize(
    ("script", "status", "ran"),
    [
        (Script(silent=True), 504, base_errors.Ran.MAY_HAVE_RUN),
        (Script(connects=False), 503, base_errors.Ran.NOT_RUN),
    ],
)
@pytest.mark.parametrize(
    "kind",
    [
        configuration.RouteKind.NON_IDEMPOTENT,
        configuration.RouteKind.STREAM,
    ],
)
async def test_request_whose_answer_is_lost_is_not_reported_as_not_run(
    kind: configuration.RouteKind,
    script: Script,
    status: int,
    ran: base_errors.Ran,
) -> None:
    """Guards against a 503 at the deadline for a request that was sent.

    The caller would take it for not run, and send it again.
    """
    call = make_call(Caller(), kind=kind, resumable=False, max_attempts=1)
    call.deadline_ms = call.arrived_ms + 60
    with pytest.raises(errors.CallerError) as caught:
        await make_forwarder(FakeReplicas(script)).run(call)
    assert (caught.value.status, caught.value.ran) == (status, ran)


async def test_refusal_after_a_lost_answer_does_not_hide_it() -> None:
    """Guards against a 503 if only the last of the attempts did not run."""
    replicas = FakeReplicas(
        Script(error=upstream_errors.BrokenError("reset")),
        Script(status=503, refused=True),
    )
    call = make_call(Caller(), max_attempts=2)
    call.deadline_ms = call.arrived_ms + 200
    with pytest.raises(errors.CallerError) as caught:
        await make_forwarder(replicas).run(call)
    assert caught.value.ran is base_errors.Ran.MAY_HAVE_RUN
    assert caught.value.status in (502, 504)


async def test_request_refused_before_its_deadline_has_not_run() -> None:
    """Guards against a 504 for a request that all replicas refused."""
    refused = [Script(status=503, refused=True) for _ in range(2)]
    replicas = FakeReplicas(*refused, Script(connects=False))
    call = make_call(Caller(), max_attempts=1)
    call.deadline_ms = call.arrived_ms + 100
    with pytest.raises(errors.CallerError) as caught:
        await make_forwarder(replicas, versions=("",) * 3).run(call)
    assert caught.value.status == 503


async def test_unstreamed_response_is_relayed_only_if_complete() -> None:
    """Guards against a truncated body that looks complete."""
    caller = Caller()
    replicas = FakeReplicas(
        Script([b"hal", Break]), Script([b"whole", b" body"])
    )
    call = make_call(caller, kind=configuration.RouteKind.IDEMPOTENT)
    await make_forwarder(replicas).run(call)
    assert caller.body == b"whole body"


def _crash_twice(
    quarantine: quarantines.Quarantine, work: runs.Work, now_ms: float
) -> None:
    """Records two crashes of which only one request is suspected."""
    for replica_id in ("x1", "x2"):
        replica = directory.Listing(replica_id, "s", "h:1", "a", slots=1)
        quarantine.note_crash(replica, work, now_ms)


async def test_quarantined_call_is_refused_without_being_sent() -> None:
    """Guards against sending what crashes replicas, and an untrue refusal."""
    caller = Caller()
    call = make_call(caller)
    quarantine = quarantines.Quarantine()
    _crash_twice(quarantine, call.work, call.arrived_ms)
    replicas = FakeReplicas()
    with pytest.raises(errors.CallerError) as caught:
        await make_forwarder(replicas, quarantine).run(call)
    assert caught.value.status == 503
    assert caught.value.ran is base_errors.Ran.NOT_RUN
    assert caught.value.retry_after_ms > 1_000
    assert replicas.sent == []


async def test_call_that_crashes_two_replicas_reaches_no_third() -> None:
    """Guards against retrying a request on one replica after another."""
    broken = Script(error=upstream_errors.BrokenError("reset"))
    replicas = FakeReplicas(broken, Script([Break]), Script(stream(1, 4)))
    replicas.gone = True
    call = make_call(Caller(), max_attempts=4)
    with pytest.raises(errors.CallerError) as caught:
        await make_forwarder(replicas).run(call)
    assert caught.value.ran is base_errors.Ran.MAY_HAVE_RUN
    assert caught.value.status == 502
    assert len(replicas.sent) == 2


async def test_call_that_had_begun_is_no_suspect_of_a_crash() -> None:
    """Guards against giving up a sound stream whose replicas crash."""
    first, second = (
        Script([*stream(n, n), *stream(n + 1, n + 1), Break]) for n in (1, 3)
    )
    replicas = FakeReplicas(first, second)
    replicas.gone = True
    quarantine = quarantines.Quarantine()
    call = make_call(Caller(), max_attempts=2)
    with pytest.raises(forwarding.AbortError):
        await make_forwarder(replicas, quarantine).run(call)
    assert len(replicas.sent) == 2
    assert quarantine.check(call.work, call.arrived_ms) is None


def _crash_after_two_events(first: int) -> Script:
    return Script([*stream(first, first), *stream(first + 1, first + 1), Break])


async def test_stream_that_crashes_each_replica_late_is_refused() -> None:
    """Guards against a stream that crashes replicas without end (BUDGET)."""
    quarantine = quarantines.Quarantine()
    replicas = FakeReplicas(*map(_crash_after_two_events, (1, 3, 5)))
    replicas.gone = True
    forwarder = make_forwarder(replicas, quarantine, versions=("",) * 6)
    with pytest.raises(forwarding.AbortError):
        await forwarder.run(make_call(Caller(), max_attempts=4))
    with pytest.raises(errors.CallerError) as caught:
        await forwarder.run(make_call(Caller()))
    assert caught.value.status == 503
    assert caught.value.ran is base_errors.Ran.NOT_RUN
    assert len(replicas.sent) == 3


async def test_end_of_a_resumed_stream_does_not_clear_it() -> None:
    """Guards against a stream that crashes each replica at which it begins.

    What is left of it after the crash completes elsewhere.
    """
    quarantine = quarantines.Quarantine()
    scripts = [_crash_after_two_events(1), Script(stream(3, 4))] * 3
    replicas = FakeReplicas(*scripts)
    replicas.gone = True
    forwarder = make_forwarder(replicas, quarantine, versions=("",) * 6)
    for _ in range(2):
        caller = Caller()
        await forwarder.run(make_call(caller))
        assert caller.complete
    with pytest.raises(forwarding.AbortError):
        await forwarder.run(make_call(Caller()))
    with pytest.raises(errors.CallerError) as caught:
        await forwarder.run(make_call(Caller()))
    assert caught.value.status == 503
    assert len(replicas.sent) == 5


async def test_stream_that_completes_at_one_replica_is_no_suspect() -> None:
    """Guards against refusing a sound stream whose replicas crashed before."""
    quarantine = quarantines.Quarantine()
    call = make_call(Caller())
    for replica_id in ("x1", "x2"):
        replica = directory.Listing(replica_id, "s", "h:1", "a", slots=1)
        quarantine.note_crash(
            replica, call.work, call.arrived_ms - 1, begun=True
        )
    assert quarantine.is_suspect(call.work)
    replicas = FakeReplicas(Script(stream(1, 4)))
    await make_forwarder(replicas, quarantine).run(call)
    assert not quarantine.is_suspect(call.work)


_OTHER_ANSWERS = {
    "not found": Script([b"no such model\n\n"], status=404),
    "redirect": Script([b"moved\n\n"], status=302),
    "error in place of events": Script([b"overloaded\n\n"]),
    "head in place of events": Script(
        [b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"]
    ),
    "head between events": Script(
        [*stream(3, 3), b"HTTP/1.1 503 Busy\r\n\r\n", *stream(4, 4)]
    ),
}


@pytest.mark.parametrize("name", _OTHER_ANSWERS)
async def test_other_answer_to_a_resumed_stream_does_not_get_into_it(
    name: str,
) -> None:
    """Guards against an error's text within a stream that had begun."""
    caller = Caller()
    answer = copy.deepcopy(_OTHER_ANSWERS[name])
    replicas = FakeReplicas(Script([*stream(1, 2), Break]), answer)
    with pytest.raises(forwarding.AbortError):
        await make_forwarder(replicas).run(make_call(caller))
    assert caller.body in (
        b"".join(stream(1, 2)),
        b"".join(stream(1, 3)),
    )
    assert not caller.complete


async def test_broken_stream_goes_on_at_its_own_version_only() -> None:
    """Guards against an answer that two software versions wrote."""
    for _ in range(10):
        caller = Caller()
        replicas = FakeReplicas(
            Script([*stream(1, 2), Break]), Script(stream(3, 4))
        )
        forwarder = make_forwarder(replicas, versions=("v1", "v1", "v2", "v2"))
        await forwarder.run(make_call(caller))
        assert caller.body == b"".join(stream(1, 4))
        (first, _), (second, _) = replicas.sent
        assert {first, second} in ({"r0", "r1"}, {"r2", "r3"})


async def test_stream_whose_version_has_no_other_replica_stays_there() -> None:
    """Guards against a stream that is given up, or goes on at another one."""
    caller = Caller()
    replicas = FakeReplicas(
        Script([*stream(1, 2), Break]), Script(stream(3, 4))
    )
    forwarder = make_forwarder(replicas, versions=("v1", "v2"))
    await forwarder.run(make_call(caller))
    assert caller.body == b"".join(stream(1, 4))
    (first, _), (second, _) = replicas.sent
    assert first == second


async def test_run_without_an_event_may_be_repeated_at_any_version() -> None:
    """Guards against refusing a stream of which the caller has nothing."""
    caller = Caller()
    replicas = FakeReplicas(Script([b"id: 1", Break]), Script(stream(1, 4)))
    forwarder = make_forwarder(replicas, versions=("v1", "v2"))
    await forwarder.run(make_call(caller))
    assert caller.body == b"".join(stream(1, 4))


async def _take_up(
    stream_origins: Origins, versions: tuple[str, ...], *scripts: Script
) -> tuple[Caller, FakeReplicas, errors.CallerError | None]:
    """Takes up, after its second event, the stream that `first` began."""
    replicas = FakeReplicas(*(scripts or (Script(stream(3, 4)),)))
    caller = Caller()
    forwarder = make_forwarder(
        replicas, stream_origins=stream_origins, versions=versions
    )
    call = make_call(caller)
    call.resume_after, call.resumes = 2, "first"
    try:
        await forwarder.run(call)
    except errors.CallerError as exc:
        return caller, replicas, exc
    return caller, replicas, None


async def test_stream_is_taken_up_at_the_version_that_began_it() -> None:
    """Guards against a stream joined from two versions over two requests."""
    known = Origins()
    key = origins.stream_key("kaje", "first")
    known.known[key] = origins.Origin("s", "v2")
    for _ in range(10):
        caller, replicas, _ = await _take_up(known, ("v1", "v1", "v1", "v2"))
        assert caller.body == b"".join(stream(3, 4))
        assert replicas.sent == [("r3", 2)]


@pytest.mark.parametrize("begun_at", ["v9", None])
async def test_stream_that_can_not_go_on_is_refused_at_once(
    begun_at: str | None,
) -> None:
    """Guards against guessing, and against holding what can't be served."""
    known = Origins()
    if begun_at is not None:
        key = origins.stream_key("kaje", "first")
        known.known[key] = origins.Origin("s", begun_at)
    started_s = trio.current_time()
    _, replicas, exc = await _take_up(known, ("v1", "v2"))
    assert exc is not None
    assert (exc.status, exc.ran) == (503, base_errors.Ran.NOT_RUN)
    assert exc.retry_after_ms
    assert not replicas.sent
    assert trio.current_time() - started_s < 0.2


@pytest.mark.parametrize("status", sorted(errors.NOT_RUN_STATUSES))
async def test_stream_that_is_taken_up_is_not_told_as_not_run(
    status: int,
) -> None:
    """Guards against a promise for a stream that has gone on at a replica."""
    known = Origins()
    key = origins.stream_key("kaje", "first")
    known.known[key] = origins.Origin("s", "v1")
    denial = Script([b"x"], status=status)
    caller, replicas, exc = await _take_up(
        known, ("v1", "v1"), denial, Script(stream(3, 4))
    )
    assert exc is None
    assert caller.body == b"".join(stream(3, 4))
    assert replicas.sent == [(replicas.sent[0][0], 2), (replicas.sent[1][0], 2)]
    _, _, exc = await _take_up(known, ("v1", "v1"), denial, denial)
    assert exc is not None
    assert (exc.status, exc.ran) == (502, base_errors.Ran.MAY_HAVE_RUN)
    refusal = Script(status=status, refused=True)
    caller, _, exc = await _take_up(
        known, ("v1", "v1"), refusal, Script(stream(3, 4))
    )
    assert exc is None
    assert caller.body == b"".join(stream(3, 4))
