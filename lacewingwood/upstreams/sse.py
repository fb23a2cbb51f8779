"""Reads the payloads of server-sent events without decoding them."""

import collections

from lacewingwood.upstreams import errors
from lacewingwood.upstreams import http1

_DONE = b"[DONE]"
_DONE_CHUNK = b"data: [DONE]\n\n"
_EVENT_END = b"\n\n"
_EVENT_LIMIT_BYTES = 1 << 20


class Events:
    """Iterates over the payloads of a stream up to `[DONE]`, excluding it.

    This is a class because an async generator that is left early is closed only
    by the garbage collector.

    Attributes:
        done: True once `[DONE]` was received.
    """

    __slots__ = ("_exchange", "_partial", "_payloads", "done")

    def __init__(self, exchange: http1.Exchange) -> None:
        self.done = False
        self._exchange = exchange
        self._partial = b""
        self._payloads: collections.deque[bytes] = collections.deque()

    def __aiter__(self) -> "Events":
        return self

    async def __anext__(self) -> bytes:
        """Returns the next payload.

        Raises:
            BrokenError: The stream ended without `[DONE]`.
            InvalidResponseError: An event is larger than 1 MiB.
        """
        while not self._payloads:
            if self.done:
                raise StopAsyncIteration
            chunk = await self._exchange.next_chunk()
            # Fast path: nearly every chunk is exactly one event of one line.
            if (
                not self._partial
                and chunk.find(b"\n") == len(chunk) - 2
                and chunk.startswith(b"data: ")
                and chunk.endswith(b"\n\n")
                and chunk != _DONE_CHUNK
            ):
                return chunk[6:-2]
            self._split(chunk)
        return self._payloads.popleft()

    def _split(self, chunk: bytes) -> None:
        if not chunk:
            raise errors.BrokenError("stream ended without [DONE]")
        data = _normalized(self._partial + chunk)
        *events, self._partial = data.split(_EVENT_END)
        if len(self._partial) > _EVENT_LIMIT_BYTES:
            raise errors.InvalidResponseError("event is too large")
        for event in events:
            payload = _payload(event)
            if payload == _DONE:
                self.done = True
                return
            if payload:
                self._payloads.append(payload)


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
