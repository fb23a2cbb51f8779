"""Tests of second attempts beside slow ones, by a simulated clock."""

import contextlib
import math
from collections.abc import AsyncIterator
from collections.abc import Callable

import msgspec
import pytest
import trio
from trio import testing as trio_testing

from lacewingwood import configuration
from lacewingwood import errors as base_errors
from lacewingwood import metrics as metrics_lib
from lacewingwood.callers import errors
from lacewingwood.callers import forwarding
from lacewingwood.callers import progress
from lacewingwood.routing import directory
from lacewingwood.routing import load
from lacewingwood.routing import origins
from lacewingwood.routing import outliers
from lacewingwood.routing import quarantine as quarantines
from lacewingwood.routing import slots as slots_lib
from lacewingwood.upstreams import errors as upstream_errors
from lacewingwood.upstreams import runs
from tests.callers import test_forwarding
from tests.routing import fleets
from tests.routing import test_dispatcher

Script = test_forwarding.Script
stream = test_forwarding.stream

# The usual time to the first event, which is also the delay here.
_USUAL_MS = 100.0


class _Replicas(test_forwarding.FakeReplicas):
    """Scripted replicas that note when each run began and ended.

    Attributes:
        spans: Replica, begin and end in ms of each run.
    """

    def __init__(self, *scripts: Script) -> None:
        super().__init__(*scripts)
        self.spans: list[list[object]] = []

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
    ) -> AsyncIterator[runs.Run]:
        """Yields the next scripted run."""
        span: list[object] = [replica.id, trio.current_time() * 1000, math.inf]
        self.spans.append(span)
        try:
            async with super().open(
                replica,
                work,
                remaining_ms,
                resume_after,
                head_limit_ms,
                fresh,
                on_send,
            ) as run:
                yield run
        finally:
            span[2] = trio.current_time() * 1000

    def overlap_ms(self) -> float:
        """Returns for how long the first two runs overlapped."""
        (_, _, end), (_, begin, _) = self.spans[:2]
        assert isinstance(end, float)
        assert isinstance(begin, float)
        second_end = self.spans[1][2]
        assert isinstance(second_end, float)
        return min(end, second_end) - begin


class _Setup:
    """A forwarder over three replicas in two zones, and one call."""

    def __init__(
        self, *scripts: Script, percent: float = 100.0, **fields: object
    ) -> None:
        self.clock = fleets.Clock()
        self.replicas = _Replicas(*scripts)
        self.dispatcher = test_dispatcher.make(
            replicas=3,
            slots=4,
            clock=self.clock,  # type: ignore[arg-type]
        )
        fleet = self.dispatcher.fleet
        for n, version in enumerate(("v0", "v1", "v2")):
            listing = fleet.directory.get(f"r{n}")
            assert listing is not None
            zone = "z" if n < 2 else "far"
            fleet.directory.put(
                msgspec.structs.replace(listing, version=version, zone=zone)
            )
        fleet.refresh()
        self.metrics = metrics_lib.Registry()
        self.quarantine = quarantines.Quarantine()
        self.origins = test_forwarding.Origins()
        self.forwarder = forwarding.Forwarder(
            self.dispatcher,
            self.replicas,
            self.clock,  # type: ignore[arg-type]
            self.metrics,
            self.quarantine,
            self.origins,
            second_attempt_percent=percent,
        )
        self.caller = test_forwarding.Caller()
        self.call = test_forwarding.make_call(self.caller, **fields)
        self.call.arrived_ms = self.clock.now_ms()
        self.call.deadline_ms = self.call.arrived_ms + 5_000

    def learn_times(self) -> None:
        """Records usual times, and requests that allow a second attempt."""
        decisions = self.forwarder._second_attempts
        for _ in range(50):
            decisions.note_request(self.call.route)
            decisions.note_time(self.call.route, _USUAL_MS, self.clock.now_ms())

    def remove(self, name: str) -> None:
        """Lets a replica leave."""
        fleet = self.dispatcher.fleet
        listing = fleet.directory.get(name)
        assert listing is not None
        fleet.directory.put(msgspec.structs.replace(listing, leaving=True))
        fleet.refresh()

    def again(self) -> None:
        """Prepares the same call of another caller."""
        self.caller = test_forwarding.Caller()
        self.call.req = self.caller.req
        self.call.arrived_ms = self.clock.now_ms()
        self.call.deadline_ms = self.call.arrived_ms + 5_000

    async def run(self) -> None:
        """Runs the call; afterwards no slot may be held."""
        try:
            await self.forwarder.run(self.call)
        finally:
            for replica in self.dispatcher.fleet.all():
                assert replica.own_counts == [0, 0]

    def wasted(self, cause: str) -> float:
        """Returns how many second attempts were of no use."""
        return self.metrics.counter("second_attempts_wasted", cause=cause)

    def held_back(self, cause: str) -> float:
        """Returns how many second attempts were not made."""
        return self.metrics.counter("second_attempts_held_back", cause=cause)


async def test_quicker_second_attempt_answers(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a slow replica that makes its callers wait.

    The first run is cancelled at once, none of it reaches the caller, and the
    origin of the stream is the replica that answered, in another zone.
    """
    late = [b"id: 1\ndata: other\n\n", *stream(2, 4)]
    setup = _Setup(Script([400.0, *late]), Script([20.0, *stream(1, 4)]))
    setup.learn_times()
    await setup.run()
    assert setup.caller.body == b"".join(stream(1, 4))
    assert setup.caller.complete
    assert setup.replicas.spans[1][0] == "r2"
    assert setup.replicas.overlap_ms() == pytest.approx(20, abs=2)
    key = origins.stream_key("kaje", "id-1")
    assert setup.origins.known[key] == origins.Origin("s", "v2")
    assert setup.metrics.counter("second_attempts_won", route="r") == 1


async def test_first_attempt_answers_if_it_is_quicker_after_all(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against giving up a run that is about to answer."""
    setup = _Setup(Script([130.0, *stream(1, 3)]), Script([200.0, b"x"]))
    setup.learn_times()
    await setup.run()
    assert setup.caller.body == b"".join(stream(1, 3))
    assert setup.replicas.overlap_ms() == pytest.approx(30, abs=2)
    assert setup.wasted("first_won") == 1


async def test_replica_that_is_outrun_each_time_is_avoided(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against second attempts that hide a replica which is always slow.

    In a trial 95 of 400 requests had a second attempt because of one replica.
    One slow response alone changes nothing.
    """
    slow, quick = Script([400.0, *stream(1, 1)]), Script(stream(1, 1))
    setup = _Setup(slow, quick, slow, quick, quick)
    setup.learn_times()
    setup.remove("r1")
    replica = setup.dispatcher.fleet.get("r0")
    assert replica is not None
    for standing in (outliers.Standing.SOUND, outliers.Standing.DEAD):
        await setup.run()
        assert replica.standing(setup.clock.now_ms()) is standing
        setup.again()
    await setup.run()
    used = [span[0] for span in setup.replicas.spans]
    assert used == ["r0", "r2", "r0", "r2", "r2"]


async def test_runs_overlap_for_a_limited_time(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a request that two replicas work on for long.

    Each has sent the head of its response and comments, but no event.
    """
    setup = _Setup(
        Script([b": a\n\n", 700.0, *stream(1, 2)]),
        Script([b": b\n\n", 900.0, *stream(1, 2)]),
    )
    setup.learn_times()
    await setup.run()
    assert setup.caller.body == b": a\n\n" + b"".join(stream(1, 2))
    assert setup.replicas.overlap_ms() <= 300
    assert setup.wasted("overlap") == 1


async def test_both_attempts_count(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against more runs than a route allows."""
    setup = _Setup(
        Script([200.0, test_forwarding.Break]),
        Script([150.0, test_forwarding.Break]),
    )
    setup.learn_times()
    with pytest.raises(errors.CallerError) as caught:
        await setup.run()
    assert caught.value.status == 502
    assert caught.value.ran is base_errors.Ran.MAY_HAVE_RUN
    assert len(setup.replicas.spans) == 2


async def test_stream_is_resumed_if_the_winner_breaks(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a stream that is lost because two runs raced for it."""
    setup = _Setup(
        Script(silent=True),
        Script([*stream(1, 2), test_forwarding.Break]),
        Script(stream(3, 4)),
        max_attempts=3,
    )
    for n in range(3):
        listing = setup.dispatcher.fleet.directory.get(f"r{n}")
        assert listing is not None
        setup.dispatcher.fleet.directory.put(
            msgspec.structs.replace(listing, version="v")
        )
    setup.dispatcher.fleet.refresh()
    setup.learn_times()
    await setup.run()
    assert setup.caller.body == b"".join(stream(1, 4))
    assert setup.replicas.sent[2][1] == 2


@pytest.mark.parametrize("first_fails", [True, False])
async def test_other_attempt_goes_on_if_one_fails(
    first_fails: bool, autojump_clock: trio_testing.MockClock
) -> None:
    """Guards against a call that fails with one of its two attempts."""
    broken = Script([120.0, test_forwarding.Break])
    sound = Script([180.0, *stream(1, 2)])
    scripts = (broken, sound) if first_fails else (sound, broken)
    setup = _Setup(*scripts)
    setup.learn_times()
    await setup.run()
    assert setup.caller.body == b"".join(stream(1, 2))
    assert len(setup.replicas.spans) == 2


@pytest.mark.parametrize("status", sorted(errors.NOT_RUN_STATUSES))
@pytest.mark.parametrize("first_fails", [True, False])
async def test_status_that_denies_a_run_does_not_win(
    first_fails: bool, status: int, autojump_clock: trio_testing.MockClock
) -> None:
    """Guards against a quick failure that ends a run which would answer."""
    failed = Script([120.0, b"no"], status=status)
    sound = Script([180.0, *stream(1, 2)])
    scripts = (failed, sound) if first_fails else (sound, failed)
    setup = _Setup(*scripts)
    setup.learn_times()
    await setup.run()
    assert setup.caller.status == 200
    assert setup.caller.body == b"".join(stream(1, 2))


async def test_refusal_of_one_attempt_says_nothing_of_the_other(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a 503 for a request whose response was lost.

    The refused attempt does not count, so another run is still allowed.
    """
    setup = _Setup(
        Script([250.0, test_forwarding.Break]),
        Script(status=503, refused=True),
        *[Script(status=503, refused=True) for _ in range(6)],
        percent=2.0,
    )
    setup.learn_times()
    with pytest.raises(errors.CallerError) as caught:
        await setup.run()
    assert caught.value.status == 502
    assert caught.value.ran is base_errors.Ran.MAY_HAVE_RUN
    assert setup.wasted("refused") == 1
    # What did not run is no extra work.
    now_ms = setup.clock.now_ms()
    decisions = setup.forwarder._second_attempts
    assert decisions.check(setup.call.route, 5_000, now_ms) is None


async def test_lost_response_ends_after_the_usual_timeout(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against second attempts that lift the limit on a silent run.

    After a refused second attempt the first may still be followed by another.
    """
    setup = _Setup(
        Script(silent=True),
        Script(status=503, refused=True),
        Script(stream(1, 1)),
    )
    setup.learn_times()
    await setup.run()
    assert setup.caller.body == b"".join(stream(1, 1))
    assert setup.clock.now_ms() - setup.call.arrived_ms < 1_100


async def test_pause_of_the_last_run_is_not_cut(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against cutting the winner as if the loser were still to come."""
    chunks = [*stream(1, 1), 400.0, *stream(2, 2)]
    setup = _Setup(Script(silent=True), Script(chunks))
    setup.learn_times()
    await setup.run()
    assert setup.caller.body == b"".join(stream(1, 2))


async def test_second_attempt_goes_to_another_replica(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against two runs at the replica that is slow."""
    setup = _Setup(Script([400.0, *stream(1, 2)]))
    setup.remove("r1")
    setup.remove("r2")
    setup.learn_times()
    await setup.run()
    assert setup.held_back("no_slot") == 1


async def test_last_attempt_is_not_cut(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against ending a slow run that nothing can replace any more."""
    setup = _Setup(Script([2_000.0, *stream(1, 2)]), Script(silent=True))
    setup.learn_times()
    await setup.run()
    assert setup.caller.body == b"".join(stream(1, 2))


async def test_disconnect_cancels_both_runs(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against work for a caller that has left."""
    setup = _Setup(Script(silent=True), Script(silent=True))
    setup.learn_times()
    async with trio.open_nursery() as nursery:

        async def leave() -> None:
            await trio.sleep(0.15)
            setup.caller.leave.set()

        nursery.start_soon(leave)
        with pytest.raises(Exception):  # noqa: B017, PT011
            await setup.run()
    assert setup.replicas.closed == 2
    assert setup.wasted("given_up") == 1


async def test_deadline_during_a_race_reports_that_it_may_have_run(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a promise "not run" while two runs are pending."""
    setup = _Setup(Script(silent=True), Script(silent=True))
    setup.learn_times()
    setup.call.deadline_ms = setup.call.arrived_ms + 250
    with pytest.raises(errors.CallerError) as caught:
        await setup.run()
    assert caught.value.status == 504
    assert caught.value.ran is base_errors.Ran.MAY_HAVE_RUN


async def test_crash_during_a_race_is_noted(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a crash that is not seen because the other run answers."""
    setup = _Setup(
        Script([110.0, test_forwarding.Break]),
        Script([10.2, *stream(1, 2)]),
    )
    setup.replicas.gone = True
    setup.learn_times()
    await setup.run()
    assert setup.caller.complete
    assert setup.quarantine.report(setup.clock.now_ms()) is not None


async def test_unstreamed_response_is_relayed_whole_from_one_run(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a body that is put together from two runs."""
    setup = _Setup(
        Script([b"slow", 300.0, b"er"]),
        Script([b"qu", 20.0, b"ick"]),
        kind=configuration.RouteKind.IDEMPOTENT,
    )
    setup.learn_times()
    await setup.run()
    assert setup.caller.body == b"quick"


@pytest.mark.parametrize(
    "fields",
    [
        {"max_attempts": 1},
        {"resumable": False},
        {"second_attempt_percent": 0.0},
        {"kind": configuration.RouteKind.NON_IDEMPOTENT},
    ],
)
async def test_requests_that_may_run_once_are_not_repeated(
    fields: dict[str, object], autojump_clock: trio_testing.MockClock
) -> None:
    """Guards against a second run of what may run once or wants none."""
    setup = _Setup(Script([400.0, *stream(1, 2)]), **fields)
    setup.learn_times()
    await setup.run()
    assert len(setup.replicas.spans) == 1


async def test_stream_that_is_taken_up_is_not_repeated(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against two runs of a stream whose beginning the caller has."""
    setup = _Setup(Script([400.0, *stream(3, 4)]))
    setup.learn_times()
    setup.call.resumes, setup.call.resume_after = "id-0", 2
    setup.origins.known[origins.stream_key("kaje", "id-0")] = origins.Origin(
        "s", "v0"
    )
    await setup.run()
    assert len(setup.replicas.spans) == 1


async def test_no_second_attempt_is_made_without_known_times(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against second attempts by a gateway that has just started."""
    setup = _Setup(Script([400.0, *stream(1, 2)]))
    await setup.run()
    assert setup.held_back("no_times") == 1


async def test_suspect_of_a_crash_is_not_repeated(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a request that crashes two replicas at once."""
    setup = _Setup(Script([400.0, *stream(1, 2)]))
    setup.learn_times()
    listing = setup.dispatcher.fleet.directory.get("r0")
    assert listing is not None
    setup.quarantine.note_crash(listing, setup.call.work, setup.clock.now_ms())
    await setup.run()
    assert setup.held_back("suspect") == 1


@pytest.mark.parametrize("busy", [3, 4])
async def test_busy_replicas_get_no_second_attempts(
    busy: int, autojump_clock: trio_testing.MockClock
) -> None:
    """Guards against second attempts that slow first ones.

    One slot stays free for the next request.
    """
    setup = _Setup(Script([400.0, *stream(1, 2)]))
    setup.learn_times()
    for n in range(3):
        setup.dispatcher.fleet.note_report(
            f"peer{n}", {f"r{n}": (busy - (n == 0), 0)}, setup.clock.now_ms()
        )
    await setup.run()
    assert setup.held_back("no_slot") == 1
    assert len(setup.replicas.spans) == 1


async def test_slower_replica_gets_no_second_attempt(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a second attempt that would come later than the first."""
    setup = _Setup(Script([400.0, *stream(1, 2)]), Script([20.0]))
    setup.learn_times()
    await trio.sleep(1)
    setup.again()
    now_ms = setup.clock.now_ms()
    for replica in setup.dispatcher.fleet.all():
        quick = replica.listing.id == "r0"
        replica.speed.note_figure(1.0 if quick else 3.0, now_ms)
    await setup.run()
    assert setup.replicas.spans[0][0] == "r0"
    assert setup.held_back("no_slot") == 1
    assert len(setup.replicas.spans) == 1


async def test_no_second_attempt_is_made_while_requests_wait(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against second attempts that take the slots of waiting ones."""
    setup = _Setup(Script([400.0, *stream(1, 2)]))
    setup.learn_times()
    nobody = {"r0", "r1", "r2"}
    waiting = slots_lib.SlotRequest(
        "s", load.WorkKind.ONLINE, deadline_ms=1e9, exclude=nobody
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(setup.dispatcher.acquire, waiting)
        await trio_testing.wait_all_tasks_blocked()
        await setup.run()
        nursery.cancel_scope.cancel()
    assert setup.held_back("no_slot") == 1


async def test_route_without_second_attempts_starts_no_task(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a cost of the feature where it is off."""
    setup = _Setup(Script([10.0, *stream(1, 2)]), percent=0.0)
    tasks: list[int] = []
    send = setup.caller.req._send

    async def send_and_count(message: dict[str, object]) -> None:
        tasks.append(trio.lowlevel.current_statistics().tasks_living)
        await send(message)

    setup.caller.req._send = send_and_count
    before = trio.lowlevel.current_statistics().tasks_living
    await setup.run()
    # One task waits for the caller's disconnect.
    assert max(tasks) == before + 1
    assert not setup.forwarder._second_attempts._routes


async def test_error_of_both_is_relayed_once(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against an error response that is lost, or sent twice."""
    setup = _Setup(
        Script(error=upstream_errors.BrokenError("cut"), chunks=[]),
        Script([b"no"], status=500),
    )
    setup.learn_times()
    await setup.run()
    assert setup.caller.status == 500
    assert setup.caller.body == b"no"


@pytest.mark.parametrize("status", sorted(errors.NOT_RUN_STATUSES))
@pytest.mark.parametrize("first_denies", [True, False])
async def test_error_that_can_be_relayed_is(
    first_denies: bool, status: int, autojump_clock: trio_testing.MockClock
) -> None:
    """Guards against hiding a replica's error behind one that can't be told."""
    denial = Script([150.0, b"x"], status=status)
    error = Script([150.0, b"no"], status=500)
    scripts = (denial, error) if first_denies else (error, denial)
    setup = _Setup(*scripts)
    setup.learn_times()
    await setup.run()
    assert (setup.caller.status, setup.caller.body) == (500, b"no")


def test_progress_counts_each_pending_attempt() -> None:
    """Guards against "not run" once one of two pending attempts is refused."""
    call = test_forwarding.make_call(test_forwarding.Caller())
    state = progress.Progress(call)
    replica = load.Replica(directory.Listing("r0", "s", "h:1", "z", 1))
    first, second = (
        progress.Attempt(state, slots_lib.Slot(replica, load.WorkKind.ONLINE))
        for _ in range(2)
    )
    first.note_sent()
    first.note_sent()
    second.note_sent()
    second.record_failure(upstream_errors.RefusedError("not run", 503, b""))
    assert state.effect() is base_errors.Ran.MAY_HAVE_RUN
    first.abandon()
    first.abandon()
    assert (state.pending, state.attempts, state.refusals) == (0, 1, 1)
