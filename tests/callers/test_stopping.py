"""Tests of requests that run or come while the process stops."""

import pytest
import trio

from lacewingwood import errors as base_errors
from lacewingwood.callers import errors
from lacewingwood.callers import forwarding
from tests.callers import test_forwarding
from tests.callers import test_gateway


async def test_running_request_is_answered_before_the_process_ends() -> None:
    """Guards against a request that is cut without an answer at the end.

    It may have run, so its caller must not be told otherwise.
    """
    replicas = test_forwarding.FakeReplicas(test_forwarding.Script(silent=True))
    forwarder = test_forwarding.make_forwarder(replicas)
    call = test_forwarding.make_call(
        test_forwarding.Caller(), resumable=False, max_attempts=1
    )
    call.deadline_ms = call.arrived_ms + 10_000
    async with trio.open_nursery() as nursery:

        async def stop() -> None:
            await trio.sleep(0.05)
            forwarder.stop.begin(drain_ms=100, grace_ms=200)

        nursery.start_soon(stop)
        started_s = trio.current_time()
        with trio.fail_after(2), pytest.raises(errors.CallerError) as caught:
            await forwarder.run(call)
    assert trio.current_time() - started_s < 0.35
    assert caught.value.status == 504
    assert caught.value.code == "stopping"
    assert caught.value.ran is base_errors.Ran.MAY_HAVE_RUN


async def test_request_that_waits_is_refused_when_the_process_ends() -> None:
    """Guards against 504 for a request that no replica was given."""
    replicas = test_forwarding.FakeReplicas(
        test_forwarding.Script(connects=False)
    )
    forwarder = test_forwarding.make_forwarder(replicas)
    call = test_forwarding.make_call(test_forwarding.Caller())
    call.deadline_ms = call.arrived_ms + 10_000
    forwarder.stop.begin(drain_ms=0, grace_ms=200)
    with trio.fail_after(2), pytest.raises(errors.CallerError) as caught:
        await forwarder.run(call)
    assert caught.value.status == 503


async def test_stream_that_outlasts_the_process_does_not_look_complete() -> (
    None
):
    """Guards against half an answer that looks whole at the end of a stop."""
    chunks = [*test_forwarding.stream(1, 1), 5_000.0]
    caller = test_forwarding.Caller()
    forwarder = test_forwarding.make_forwarder(
        test_forwarding.FakeReplicas(test_forwarding.Script(chunks))
    )
    call = test_forwarding.make_call(caller, resumable=False, max_attempts=1)
    call.deadline_ms = call.arrived_ms + 10_000
    forwarder.stop.begin(drain_ms=0, grace_ms=250)
    with trio.fail_after(2), pytest.raises(forwarding.AbortError):
        await forwarder.run(call)
    assert caller.status == 200
    assert not caller.complete


@pytest.mark.parametrize(
    ("drain_ms", "timeout_ms", "accepted"),
    [
        (5_000.0, 60_000.0, True),
        (0.0, 3_000.0, True),
        (0.0, 60_000.0, False),
    ],
    ids=["balancer may not know", "ends in time", "would be cut"],
)
async def test_late_request_is_refused_unless_it_ends_in_time(
    drain_ms: float, timeout_ms: float, accepted: bool
) -> None:
    """Guards against requests taken late in the grace and cut at its end.

    Such a request is refused at once, so that it can be sent elsewhere.
    """
    gateway = test_gateway._make(test_gateway._configuration(1, "/open/"))
    forwarder = gateway._forwarder
    replicas = test_forwarding.FakeReplicas(
        test_forwarding.Script(test_forwarding.stream(1, 2))
    )
    forwarder._attempts._replicas = replicas
    forwarder.stop.begin(drain_ms, grace_ms=5_000)
    head = test_gateway._head("/open/x")
    head.timeout_ms = timeout_ms
    head.arrived_ms = forwarder._clock.now_ms()
    caller = test_forwarding.Caller()
    resolved = gateway.resolve(head)
    if accepted:
        await gateway.forward(caller.req, head, resolved, [], b"")
        assert caller.complete
        return
    with pytest.raises(errors.CallerError) as caught:
        await gateway.forward(caller.req, head, resolved, [], b"")
    assert (caught.value.status, caught.value.code) == (503, "stopping")
    assert caught.value.retry_after_ms == 0
    assert not replicas.sent
