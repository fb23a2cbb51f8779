"""Servers over real sockets with scripted answers, and a forwarder to them."""

import contextlib
import functools
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable

import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.callers import forwarding
from lacewingwood.callers import progress
from lacewingwood.platform import replicas as replica_client
from lacewingwood.routing import directory
from lacewingwood.routing import dispatcher as dispatchers
from lacewingwood.routing import load
from lacewingwood.routing import quarantine as quarantines
from lacewingwood.upstreams import runs
from tests.callers import test_forwarding

# Slots of each replica.
SLOTS = 12


@contextlib.asynccontextmanager
async def serving(
    serve: Callable[[trio.SocketStream], Awaitable[object]],
) -> AsyncIterator[str]:
    """Serves connections; yields the address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            functools.partial(trio.serve_listeners, serve, listeners)
        )
        yield f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        nursery.cancel_scope.cancel()


def make_call(
    caller: test_forwarding.Caller, **fields: object
) -> progress.Call:
    """Returns a call with 5 s until its deadline."""
    call = test_forwarding.make_call(caller, **fields)
    headers = [(b"host", b"h.example")]
    call.work = runs.Work("id-1", "POST", b"/p/1", headers, b"body", "kaje")
    call.deadline_ms += 4_500
    return call


def make_forwarder(*addresses: str) -> forwarding.Forwarder:
    """Returns a forwarder over replicas at some addresses."""
    clock, metrics = clocks.MonotonicClock(), metrics_lib.Registry()
    fleet = load.Fleet()
    for n, address in enumerate(addresses):
        fleet.directory.put(
            directory.Listing(f"r{n}", "s", address, "z", SLOTS)
        )
    fleet.refresh()
    return forwarding.Forwarder(
        dispatchers.Dispatcher(fleet, "z", clock, metrics),
        replica_client.Replicas(),
        clock,
        metrics,
        quarantines.Quarantine(),
        test_forwarding.Origins(),
    )
