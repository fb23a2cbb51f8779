"""Data exchanged with engines."""

import msgspec


class LoadReport(msgspec.Struct):
    """An engine's load report, which lags behind the engine's state.

    Attributes:
        running: Requests being generated.
        waiting: Requests admitted but not yet started.
        slots: Requests that can be generated concurrently.
        kv_used: Share of the KV cache in use, 0 to 1.
        step_ms: Duration of a recent engine step.
        leaving: True if the engine is about to stop.
        versions: Loaded version of each model, by model.
        boot_id: Changes with each start of the engine.
    """

    running: int
    waiting: int
    slots: int
    kv_used: float
    step_ms: float
    leaving: bool
    versions: dict[str, str]
    boot_id: str


class CacheEvent(msgspec.Struct):
    """A change of an engine's prefix cache.

    Attributes:
        serial: Increases by one per event; a gap means that events were lost.
        stored: True if the block was stored, False if it was evicted.
        block: Hash of the prompt prefix up to the end of the block.
    """

    serial: int
    stored: bool
    block: str


class Order(msgspec.Struct):
    """An order to an engine.

    Attributes:
        order_id: Unique id; repeating an order with the same id has no effect.
        fencing: Fencing number of the lease under which the order is given.
        kind: `load`, `unload` or `role`.
        model: Model that the order applies to.
        version: Version that the order applies to.
        role: New role for kind `role`.
    """

    order_id: str
    fencing: int
    kind: str
    model: str = ""
    version: str = ""
    role: str = ""
