"""Server-sent events, split without decoding what they carry."""

import collections

from lacewingwood.upstreams import errors
from lacewingwood.upstreams import http1

_DONE = b"[DONE]"
_DONE_CHUNK = b"data: [DONE]\n\n"
_END = b"\n\n"
_EVENT_LIMIT_BYTES = 1 << 20


class Events:
    """Iterates over the payloads of a stream up to `[DONE]`, not included.

    A class in place of an async generator: a generator left early would wait
    for the garbage collector.

    Attributes:
        done: True once `[DONE]` was received.
    """

    __slots__ = ("_exchange", "_rest", "_whole", "done")

    def __init__(self, exchange: http1.Exchange) -> None:
        self.done = False
        self._exchange = exchange
        self._rest = b""
        self._whole: collections.deque[bytes] = collections.deque()

    def __aiter__(self) -> "Events":
        return self

    async def __anext__(self) -> bytes:
        """Returns the next payload.

        Raises:
            BrokenError: The stream ended without `[DONE]`.
            BadAnswerError: An event is larger than 1 MiB.
        """
        while not self._whole:
            if self.done:
                raise StopAsyncIteration
            chunk = await self._exchange.next_chunk()
            # Nearly always a chunk holds exactly one event of one line.
            if (
                not self._rest
                and chunk.find(b"\n") == len(chunk) - 2
                and chunk.startswith(b"data: ")
                and chunk.endswith(b"\n\n")
                and chunk != _DONE_CHUNK
            ):
                return chunk[6:-2]
            self._split(chunk)
        return self._whole.popleft()

    def _split(self, chunk: bytes) -> None:
        if not chunk:
            raise errors.BrokenError("stream ended without [DONE]")
        data = _normalized(self._rest + chunk)
        *events, self._rest = data.split(_END)
        if len(self._rest) > _EVENT_LIMIT_BYTES:
            raise errors.InvalidResponseError("event is too large")
        for event in events:
            payload = _payload(event)
            if payload == _DONE:
                self.done = True
                return
            if payload:
                self._whole.append(payload)


def _normalized(data: bytes) -> bytes:
    if b"\r" not in data:
        return data
    return data.replace(b"\r\n", b"\n")


def _payload(event: bytes) -> bytes:
    """Returns the data lines of an event, joined; other lines are ignored."""
    lines = [
        line.removeprefix(b"data:").removeprefix(b" ")
        for line in event.split(b"\n")
        if line.startswith(b"data:")
    ]
    return b"\n".join(lines)
