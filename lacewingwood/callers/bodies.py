"""Reads whole bodies of replicas' responses within bounds."""

import trio

from lacewingwood.upstreams import errors as upstream_errors
from lacewingwood.upstreams import runs

# Most bytes of whole responses that are held at once, so that replicas which
# send bytes without end cannot use up the memory of a host of 128 MB.
_MAX_HELD_BYTES = 24 << 20


class _Reading:
    """A body that is being read."""

    __slots__ = ("chunks", "scope", "size")

    def __init__(self) -> None:
        self.chunks: list[bytes] = []
        self.scope = trio.CancelScope()
        self.size = 0


class BodyReader:
    """Reads whole bodies; bounds each of them and their sum.

    If their sum is too large, the largest is given up: bodies without end are,
    and sound ones beside them are not.
    """

    __slots__ = ("_readings",)

    def __init__(self) -> None:
        self._readings: set[_Reading] = set()

    @property
    def held_bytes(self) -> int:
        """Size of all that is held of bodies that are being read."""
        return sum(reading.size for reading in self._readings)

    async def read(self, run: runs.Run, limit_bytes: int) -> bytes:
        """Returns a whole body.

        Raises:
            upstream_errors.InvalidResponseError: The body is larger than
                `limit_bytes`, or the largest while all are too large.
        """
        reading = _Reading()
        self._readings.add(reading)
        try:
            with reading.scope:
                while chunk := await run.next_chunk():
                    reading.chunks.append(chunk)
                    reading.size += len(chunk)
                    if reading.size > limit_bytes:
                        reading.scope.cancel()
                    else:
                        self._give_up_largest()
            # The body may have ended before the cancellation was noticed.
            if not reading.scope.cancel_called:
                return b"".join(reading.chunks)
        finally:
            self._readings.discard(reading)
        raise upstream_errors.InvalidResponseError("the response is too large")

    def _give_up_largest(self) -> None:
        while self.held_bytes > _MAX_HELD_BYTES:
            largest = max(self._readings, key=lambda reading: reading.size)
            self._readings.discard(largest)
            largest.chunks.clear()
            largest.scope.cancel()
