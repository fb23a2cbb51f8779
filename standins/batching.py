"""Continuous batching of the engine stand-in: slots, steps and prefix cache."""

import collections
import math
from collections.abc import Callable

import msgspec
import trio
import xxhash

from lacewingwood.upstreams import prefix
from lacewingwood.upstreams import types

BYTES_PER_TOKEN = 4
_TOKENS_PER_BLOCK = prefix.BLOCK_BYTES // BYTES_PER_TOKEN
# A text's length is a hash of its prompt, within 64 to 256 tokens.
_MIN_TEXT_TOKENS = 64
_TEXT_LENGTHS = 193
_MAX_EVENTS = 10_000
_WORDS = (
    "permit",
    "renewal",
    "stall",
    "hygiene",
    "check",
    "market",
    "district",
    "cart",
    "license",
    "office",
    "water",
    "pump",
    "valve",
    "filter",
    "meter",
    "pipe",
    "crew",
    "repair",
    "report",
    "tank",
)


class Settings(msgspec.Struct):
    """Capacity and speed of the engine.

    Attributes:
        slots: Number of requests that are generated at once.
        step_ms: Duration of a step, which gives each request a token.
        prefill_ms_per_token: Prefill time of a prompt token that is not
            cached.
        cache_blocks: Number of blocks that the prefix cache holds.
        event_lag_ms: Delay until a cache event is reported.
        event_gap: Cache events whose serial is a multiple of this are lost;
            0 to lose none.
    """

    slots: int = 8
    step_ms: float = 20
    prefill_ms_per_token: float = 0.05
    cache_blocks: int = 4096
    event_lag_ms: float = 200
    event_gap: int = 50


class Sequence:
    """One request in the engine.

    Attributes:
        tokens: Tokens that are generated and not yet sent.
        index: Position of the next token in the whole text.
        length: Length of the whole text in tokens.
        ready: Set when there are new tokens or the sequence has ended.
        ended: True once generation is complete or was cancelled.
        cancelled: True if generation was cancelled before it was complete.
    """

    __slots__ = (
        "blocks",
        "cancelled",
        "ended",
        "finish_reason",
        "index",
        "length",
        "prefill_steps",
        "prompt_tokens",
        "ready",
        "request_id",
        "seed",
        "started",
        "tokens",
    )

    def __init__(
        self,
        request_id: str,
        model: str,
        prompt: bytes,
        max_tokens: int | None,
        resume_tokens: int,
    ) -> None:
        self.request_id = request_id
        self.blocks = prefix.block_digests(model, prompt)
        self.seed = xxhash.xxh3_64_intdigest(prompt)
        self.prompt_tokens = math.ceil(len(prompt) / BYTES_PER_TOKEN)
        full_length = _MIN_TEXT_TOKENS + self.seed % _TEXT_LENGTHS
        self.length = min(full_length, max_tokens or full_length)
        self.finish_reason = "stop" if self.length == full_length else "length"
        self.index = resume_tokens
        self.prefill_steps = 0
        self.tokens: collections.deque[str] = collections.deque()
        self.ready = trio.Event()
        self.started = False
        self.ended = False
        self.cancelled = False

    def notify(self) -> None:
        """Wakes the task that sends this sequence's tokens."""
        self.ready.set()
        self.ready = trio.Event()


def token(seed: int, index: int) -> str:
    """Returns a token of the text that is generated for a prompt.

    Args:
        seed: Hash of the prompt.
        index: Position of the token in the text.
    """
    mixed = xxhash.xxh3_64_intdigest(index.to_bytes(8, "little"), seed)
    return _WORDS[mixed % len(_WORDS)] + " "


def text(seed: int, length: int) -> str:
    """Returns the first `length` tokens of a prompt's text, joined."""
    return "".join(token(seed, index) for index in range(length))


class PrefixCache:
    """A bounded set of prompt blocks with least-recently-used eviction."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, types.CacheEvent]] = (
            collections.deque(maxlen=_MAX_EVENTS)
        )
        self._serial = 0

    @property
    def used(self) -> float:
        """Share of the cache in use, 0 to 1."""
        return len(self._blocks) / self._settings.cache_blocks

    def use(self, blocks: list[str]) -> int:
        """Stores a prompt's blocks; returns how many leading ones it held."""
        hits = 0
        for block in blocks:
            if block not in self._blocks:
                break
            hits += 1
        for block in blocks:
            if block not in self._blocks:
                self._record_event(True, block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._settings.cache_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._record_event(False, evicted)
        return hits

    def events(self, start: int) -> list[types.CacheEvent]:
        """Returns events from serial `start` on that are not too recent."""
        until_ms = _now_ms() - self._settings.event_lag_ms
        return [
            event
            for at_ms, event in self._events
            if at_ms <= until_ms and event.serial >= start
        ]

    def _record_event(self, stored: bool, block: str) -> None:
        self._serial += 1
        gap = self._settings.event_gap
        if gap and self._serial % gap == 0:
            return
        event = types.CacheEvent(self._serial, stored, block)
        self._events.append((_now_ms(), event))


class Batcher:
    """Runs sequences in slots, first come first served.

    Attributes:
        slow_factor: Factor on the duration of a step.
        tokens: Number of tokens generated.
        busy_slot_ms: Time that slots were taken, summed over the slots.
    """

    def __init__(
        self,
        settings: Settings,
        cache: PrefixCache,
        on_step: Callable[[], None],
    ) -> None:
        self.slow_factor = 1.0
        self.tokens = 0
        self.busy_slot_ms = 0.0
        self._settings = settings
        self._cache = cache
        self._on_step = on_step
        self._waiting: collections.deque[Sequence] = collections.deque()
        self._running: list[Sequence] = []
        self._submitted = trio.Event()
        self._started_ms = _now_ms()

    @property
    def running(self) -> int:
        """Number of sequences that hold a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of sequences that wait for a slot."""
        return len(self._waiting)

    @property
    def step_ms(self) -> float:
        """Duration of a step."""
        return self._settings.step_ms * self.slow_factor

    @property
    def total_slot_ms(self) -> float:
        """Time since the start, summed over the slots."""
        return (_now_ms() - self._started_ms) * self._settings.slots

    def submit(self, sequence: Sequence) -> None:
        """Adds a sequence to the queue."""
        self._waiting.append(sequence)
        self._submitted.set()

    def cancel(self, sequence: Sequence) -> None:
        """Ends a sequence; its slot is free at the next step."""
        if sequence.ended:
            return
        sequence.ended = True
        sequence.cancelled = True
        if sequence in self._waiting:
            self._waiting.remove(sequence)
        sequence.notify()

    async def run(self) -> None:
        """Runs steps until cancelled."""
        step_end_s = trio.current_time()
        while True:
            self._admit()
            if not self._running:
                self._submitted = trio.Event()
                await self._submitted.wait()
                step_end_s = trio.current_time()
                continue
            # Steps follow each other without drift, but a late engine does
            # not catch up with steps that take no time.
            step_s = self.step_ms / 1000
            step_end_s = max(step_end_s + step_s, trio.current_time())
            await trio.sleep_until(step_end_s)
            self._step()

    def _admit(self) -> None:
        self._running = [s for s in self._running if not s.ended]
        while self._waiting and len(self._running) < self._settings.slots:
            sequence = self._waiting.popleft()
            hits = self._cache.use(sequence.blocks)
            tokens = sequence.prompt_tokens - hits * _TOKENS_PER_BLOCK
            prefill_ms = tokens * self._settings.prefill_ms_per_token
            sequence.prefill_steps = int(prefill_ms / self._settings.step_ms)
            sequence.started = True
            self._running.append(sequence)

    def _step(self) -> None:
        self.busy_slot_ms += len(self._running) * self.step_ms
        for sequence in self._running:
            if sequence.ended:
                continue
            if sequence.prefill_steps > 0:
                sequence.prefill_steps -= 1
                continue
            self._generate(sequence)
        self._on_step()

    def _generate(self, sequence: Sequence) -> None:
        if sequence.index < sequence.length:
            sequence.tokens.append(token(sequence.seed, sequence.index))
            sequence.index += 1
            self.tokens += 1
        sequence.ended = sequence.index >= sequence.length
        sequence.notify()


def _now_ms() -> float:
    return trio.current_time() * 1000
