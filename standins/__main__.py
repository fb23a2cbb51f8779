"""Starts a stand-in: `python -m standins NAME --bind 127.0.0.1:PORT ...`."""

import sys
from collections.abc import Callable

import cyclopts
import msgspec
import trio

from standins import batching
from standins import engine as engine_module
from standins import hostlist as hostlist_module
from standins import keyed_store as keyed_store_module
from standins import log as log_module
from standins import plain as plain_module
from standins import server
from standins import stream_replica as stream_replica_module
from standins import weights as weights_module

_BIND = "127.0.0.1:0"

app = cyclopts.App(name="standins", help=__doc__)


@app.command
def log(
    *,
    bind: str = _BIND,
    appends_per_s: float = 400,
    retention_ms: int = 3_600_000,
) -> None:
    """Starts the log service."""
    settings = log_module.Settings(appends_per_s, retention_ms)
    _run(lambda: log_module.Log(settings), bind)


@app.command
def engine(
    *,
    bind: str = _BIND,
    service: str = "sabeel-lm",
    model: str = "",
    version: str = "1",
    slots: int = 8,
    step_ms: float = 20,
    prefill_ms_per_token: float = 0.05,
    cache_blocks: int = 4096,
    event_lag_ms: float = 200,
    event_gap: int = 50,
    report_lag_ms: float = 500,
    check_fencing: bool = False,
    weights_url: str = "",
    queue: int = 10_000,
) -> None:
    """Starts a model engine; by default, the model is named as the service."""
    sizes = batching.Settings(
        slots=slots,
        step_ms=step_ms,
        prefill_ms_per_token=prefill_ms_per_token,
        cache_blocks=cache_blocks,
        event_lag_ms=event_lag_ms,
        event_gap=event_gap,
    )
    settings = engine_module.Settings(
        service=service,
        model=model or service,
        version=version,
        report_lag_ms=report_lag_ms,
        check_fencing=check_fencing,
        weights_url=weights_url,
        queue=queue,
        sizes=sizes,
    )
    _run(lambda: engine_module.Engine(settings), bind)


@app.command
def plain(*, bind: str = _BIND) -> None:
    """Starts a plain HTTP service."""
    _run(plain_module.Plain, bind)


@app.command
def weights(
    *,
    bind: str = _BIND,
    artifact: list[str] | None = None,
    bytes_per_s: float = 50e6,
    downloads: int = 4,
) -> None:
    """Starts the weight store; each artifact is `MODEL/VERSION=BYTES`."""
    artifacts = (item.rpartition("=") for item in artifact or [])
    sizes = {name: int(size) for name, _, size in artifacts}
    _run(
        lambda: weights_module.WeightStore(sizes, bytes_per_s, downloads), bind
    )


@app.command
def hostlist(*, bind: str = _BIND, lag_ms: float = 1000) -> None:
    """Starts the host list."""
    _run(lambda: hostlist_module.HostList(lag_ms), bind)


@app.command
def keyed_store(*, bind: str = _BIND, parts: int = 8) -> None:
    """Starts the platform's metadata store."""
    _run(lambda: keyed_store_module.Store(parts), bind)


@app.command
def stream_replica(
    *,
    store: str,
    bind: str = _BIND,
    service: str = "sabeel-lm",
    slots: int = 8,
    step_ms: float = 10,
    events: int = 8,
    zone: str = "a",
    version: str = "v1",
) -> None:
    """Starts a replica that streams events and registers in the store."""
    settings = stream_replica_module.Settings(
        service, slots, step_ms, events, zone=zone, version=version
    )
    replica = stream_replica_module.StreamReplica(settings)
    _run(lambda: replica, bind, store)


def _run(
    factory: Callable[[], server.StandIn], bind: str, store: str = ""
) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            standin = factory()
            if isinstance(standin, engine_module.Engine):
                nursery.start_soon(standin.run)
            address = await nursery.start(server.serve, standin.handle, bind)
            if isinstance(standin, stream_replica_module.StreamReplica):
                nursery.start_soon(
                    stream_replica_module.register, standin, address, store
                )
            ready = {"ready": True, "address": address}
            sys.stdout.write(msgspec.json.encode(ready).decode() + "\n")
            sys.stdout.flush()

    trio.run(main)


if __name__ == "__main__":
    app()
