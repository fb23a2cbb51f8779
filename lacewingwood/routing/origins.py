"""Which software version of a service began each stream.

What two versions write does not fit together, and replicas do not check it, so
a stream may only go on at the version that began it.
"""

import msgspec
import xxhash

# Streams whose beginning is remembered, in 2.4 MB of memory.
_MAX_BEGINNINGS = 20_000


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """A service and the version of its replicas' software."""

    service: str
    version: str


class Beginnings:
    """The origins of the newest streams.

    A stream that is said to have begun at two versions has no known origin.
    """

    __slots__ = ("_begun_ms", "_origins")

    def __init__(self) -> None:
        # The oldest first; None if there are several origins.
        self._origins: dict[int, Origin | None] = {}
        self._begun_ms: dict[int, float] = {}

    def note(self, key: int, origin: Origin, now_ms: float) -> None:
        """Records the origin of a stream."""
        known = self._origins.pop(key, origin)
        self._origins[key] = origin if known == origin else None
        self._begun_ms.pop(key, None)
        self._begun_ms[key] = now_ms
        if len(self._origins) > _MAX_BEGINNINGS:
            oldest = next(iter(self._origins))
            del self._origins[oldest], self._begun_ms[oldest]

    def get(self, key: int) -> Origin | None:
        """Returns the origin of a stream, None if it is not known."""
        return self._origins.get(key)

    def since(self, oldest_ms: float) -> list[tuple[int, Origin]]:
        """Returns the streams that have begun since a time."""
        return [
            (key, origin)
            for key, origin in self._origins.items()
            if origin is not None and self._begun_ms[key] >= oldest_ms
        ]


def stream_key(customer: str, request_id: str) -> int:
    """Returns the key of a stream, by the request that brought its first event.

    Customers choose the ids of their requests, so that equal ids of different
    customers have different keys.
    """
    name = customer.encode() + b"\0" + request_id.encode("latin-1", "replace")
    return int(xxhash.xxh3_64_intdigest(name))
