"""Continuous batching of the engine stand-in: slots, steps and the cache."""

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
_SHORTEST_TOKENS = 64
_LENGTH_SPREAD = 193
_EVENTS_KEPT = 10_000
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
    """Size and speed of the engine.

    Attributes:
        slots: Requests generated at once.
        step_ms: Duration of a step, which gives each request a token.
        prefill_ms_per_token: Time to read a prompt token that is not cached.
        cache_blocks: Blocks that the prefix cache holds.
        event_lag_ms: Delay until a cache event is reported.
        event_gap: Each event whose serial is a multiple of this is lost; 0 for
            none.
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
        tokens: Tokens sent out so far.
        index: Position of the next token in the whole text.
        length: Position at which the text ends.
        ready: Set when there are new tokens or the text has ended.
        ended: True once generation is over or was cancelled.
        cancelled: True if it was ended before its length.
    """

    __slots__ = (
        "blocks",
        "cancelled",
        "ended",
        "finish",
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
        natural = _SHORTEST_TOKENS + self.seed % _LENGTH_SPREAD
        self.length = min(natural, max_tokens or natural)
        self.finish = "stop" if self.length == natural else "length"
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
    """Returns the token at a position of the text that a prompt leads to."""
    mixed = xxhash.xxh3_64_intdigest(index.to_bytes(8, "little"), seed)
    return _WORDS[mixed % len(_WORDS)] + " "


def text(seed: int, length: int) -> str:
    """Returns the first `length` tokens as one text."""
    return "".join(token(seed, index) for index in range(length))


class PrefixCache:
    """A bounded set of blocks, least recently used first out."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, types.CacheEvent]] = (
            collections.deque(maxlen=_EVENTS_KEPT)
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
                self._event(True, block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._settings.cache_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._event(False, evicted)
        return hits

    def events(self, start: int) -> list[types.CacheEvent]:
        """Returns the events from `start` on that may be shown by now."""
        until_ms = _now_ms() - self._settings.event_lag_ms
        return [
            event
            for at_ms, event in self._events
            if at_ms <= until_ms and event.serial >= start
        ]

    def _event(self, stored: bool, block: str) -> None:
        self._serial += 1
        gap = self._settings.event_gap
        if gap and self._serial % gap == 0:
            return
        event = types.CacheEvent(self._serial, stored, block)
        self._events.append((_now_ms(), event))


class Batcher:
    """Runs sequences in slots, first come first served.

    Attributes:
        slow_factor: Multiplies the duration of a step.
        tokens: Tokens generated.
        busy_slot_ms: Time that slots were taken, added up.
    """

    def __init__(
        self,
        settings: Settings,
        cache: PrefixCache,
        stepped: Callable[[], None],
    ) -> None:
        self.slow_factor = 1.0
        self.tokens = 0
        self.busy_slot_ms = 0.0
        self._settings = settings
        self._cache = cache
        self._stepped = stepped
        self._waiting: collections.deque[Sequence] = collections.deque()
        self._running: list[Sequence] = []
        self._arrived = trio.Event()
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
        """Time that all slots have existed, added up."""
        return (_now_ms() - self._started_ms) * self._settings.slots

    def submit(self, sequence: Sequence) -> None:
        """Adds a sequence to the queue."""
        self._waiting.append(sequence)
        self._arrived.set()

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
        """Runs steps for ever."""
        step_end_s = trio.current_time()
        while True:
            self._admit()
            if not self._running:
                self._arrived = trio.Event()
                await self._arrived.wait()
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
        self._stepped()

    def _generate(self, sequence: Sequence) -> None:
        if sequence.index < sequence.length:
            sequence.tokens.append(token(sequence.seed, sequence.index))
            sequence.index += 1
            self.tokens += 1
        sequence.ended = sequence.index >= sequence.length
        sequence.notify()


def _now_ms() -> float:
    return trio.current_time() * 1000
