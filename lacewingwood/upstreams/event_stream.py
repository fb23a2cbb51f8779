"""Splits a stream of numbered server-sent events without changing its bytes.

The events are forwarded as they are; see `sse` for reading their payloads.
"""

import re

from lacewingwood.upstreams import errors

# The largest event of a model is some kilobytes long. Each connection may hold
# this much, also when many replicas send bytes without end.
_EVENT_LIMIT_BYTES = 128 << 10
# Blocks without an id, such as comments, that may come between two events.
_MAX_UNNUMBERED_BLOCKS = 100
# Longer numbers are no ids, and Python refuses to convert very long ones.
_MAX_ID_DIGITS = 18
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)
_DATA_LINE = re.compile(rb"^data: ?([^\r\n]*)\r?$", re.MULTILINE)


class Splitter:
    """Splits chunks of a stream at event boundaries.

    Only complete events are returned, so a caller never gets part of an event.

    Attributes:
        last_id: Id of the last complete event, None before the first one.
    """

    __slots__ = ("_partial", "_unnumbered", "last_id")

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self._partial = b""
        self._unnumbered = 0

    def feed(self, chunk: bytes) -> bytes:
        """Returns the bytes of the events that `chunk` completes.

        Raises:
            InvalidResponseError: An event is too large, has no id or one that
                does not follow the previous one, or too many comments come
                between two events.
        """
        data = self._partial + chunk
        start, last_id = 0, self.last_id
        unnumbered = self._unnumbered
        for end in _EVENT_END.finditer(data):
            event_id = _check_id(data[start : end.end()], last_id)
            unnumbered = unnumbered + 1 if event_id == last_id else 0
            if unnumbered > _MAX_UNNUMBERED_BLOCKS:
                raise errors.InvalidResponseError("too many comments")
            start, last_id = end.end(), event_id
        if len(data) - start > _EVENT_LIMIT_BYTES:
            raise errors.InvalidResponseError("event is too large")
        # The state changes only if all events of the chunk are in order.
        self._partial, self.last_id = data[start:], last_id
        self._unnumbered = unnumbered
        return data[:start]

    def restart(self) -> None:
        """Prepares for a new stream that resumes after the last whole event."""
        self._partial = b""
        self._unnumbered = 0

    @property
    def between_events(self) -> bool:
        """True unless part of an event has been received."""
        return not self._partial


def _check_id(event: bytes, last_id: int | None) -> int | None:
    """Returns the last id after an event or a comment.

    Raises:
        InvalidResponseError: An id was skipped, or the event has none. Text
            that is no event may be another answer that the replica sent.
    """
    match = _ID_LINE.search(event)
    if match is None:
        if any(map(_carries_data, event.splitlines())):
            raise errors.InvalidResponseError("an event has no id")
        return last_id
    if len(match[1]) > _MAX_ID_DIGITS:
        raise errors.InvalidResponseError("an event's id is too long")
    event_id = int(match[1])
    if last_id is not None and event_id != last_id + 1:
        raise errors.InvalidResponseError(
            f"event id {event_id} does not follow {last_id}"
        )
    return event_id


def _carries_data(line: bytes) -> bool:
    """Returns whether a line is more than a comment or a retry interval."""
    return bool(line) and not line.startswith((b":", b"retry:"))


def data_lines(events: bytes) -> list[bytes]:
    """Returns the data of each event in `events`, in order."""
    return [match[1] for match in _DATA_LINE.finditer(events)]
