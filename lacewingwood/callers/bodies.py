"""Reads whole bodies of replicas' responses within bounds."""

from lacewingwood.upstreams import errors as upstream_errors
from lacewingwood.upstreams import runs

# Most bytes of whole responses that are held at once, so that replicas which
# send bytes without end cannot use up the memory of a host of 128 MB.
_MAX_HELD_BYTES = 24 << 20


class BodyReader:
    """Reads whole bodies; bounds each of them and their sum."""

    __slots__ = ("_held_bytes",)

    def __init__(self) -> None:
        self._held_bytes = 0

    async def read(self, run: runs.Run, limit_bytes: int) -> bytes:
        """Returns a whole body.

        Raises:
            upstream_errors.InvalidResponseError: The body is larger than
                `limit_bytes`, or the bodies of all responses are too large.
        """
        chunks: list[bytes] = []
        size = 0
        try:
            while chunk := await run.next_chunk():
                chunks.append(chunk)
                size += len(chunk)
                self._held_bytes += len(chunk)
                if size > limit_bytes or self._held_bytes > _MAX_HELD_BYTES:
                    raise upstream_errors.InvalidResponseError(
                        "the response is too large"
                    )
        finally:
            self._held_bytes -= size
        return b"".join(chunks)
