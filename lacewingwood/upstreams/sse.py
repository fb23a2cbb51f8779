"""Server-sent events, split without decoding what they carry."""

from collections.abc import AsyncIterator

from lacewingwood.upstreams import errors

DONE = b"[DONE]"
_PREFIX = b"data: "
_END = b"\n\n"
_EVENT_LIMIT_BYTES = 1 << 20


async def events(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Iterates over the payloads of a stream up to `[DONE]`, not included.

    Args:
        chunks: The body, cut anywhere.

    Raises:
        BrokenError: The stream ended without `[DONE]`.
        BadAnswerError: An event is larger than 1 MiB.
    """
    rest = b""
    async for chunk in chunks:
        # Nearly always a chunk holds exactly one event.
        if not rest and chunk.startswith(_PREFIX):
            end = chunk.find(_END)
            if end == len(chunk) - 2:
                payload = chunk[6:end]
                if b"\n" not in payload and payload != DONE:
                    yield payload
                    continue
        *whole, rest = _normalized(rest + chunk).split(_END)
        for event in whole:
            payload = _payload(event)
            if payload == DONE:
                return
            if payload:
                yield payload
        if len(rest) > _EVENT_LIMIT_BYTES:
            raise errors.BadAnswerError("event is too large")
    raise errors.BrokenError("stream ended without [DONE]")


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
