"""Splits a stream of server-sent events without changing its bytes."""

import re

from lacewingwood.upstreams import errors

_EVENT_LIMIT_BYTES = 1 << 20
_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)
_DATA = re.compile(rb"^data: ?([^\r\n]*)\r?$", re.MULTILINE)


class Splitter:
    """Gives whole events; what is left of a cut event is never given.

    Attributes:
        last_id: Id of the last whole event, None before the first one.
    """

    __slots__ = ("_rest", "last_id")

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self._rest = b""

    def feed(self, chunk: bytes) -> bytes:
        """Returns the bytes of the events that `chunk` completes.

        Raises:
            BadAnswerError: An event is too large, or its id does not follow
                the one before.
        """
        data = self._rest + chunk
        at, last_id = 0, self.last_id
        for end in _END.finditer(data):
            last_id = _following(data[at : end.end()], last_id)
            at = end.end()
        if len(data) - at > _EVENT_LIMIT_BYTES:
            raise errors.InvalidResponseError("an event is too large")
        # Nothing of a chunk counts unless all of it is in order.
        self._rest, self.last_id = data[at:], last_id
        return data[:at]

    def restart(self) -> None:
        """Prepares for a run that goes on after the last whole event."""
        self._rest = b""

    @property
    def between_events(self) -> bool:
        """True unless part of an event has come."""
        return not self._rest


def _following(event: bytes, last_id: int | None) -> int | None:
    """Returns the last id after an event; raises if one was passed over."""
    match = _ID.search(event)
    if match is None:
        return last_id
    event_id = int(match[1])
    if last_id is not None and event_id != last_id + 1:
        raise errors.InvalidResponseError(f"event {event_id} follows {last_id}")
    return event_id


def data_lines(events: bytes) -> list[bytes]:
    """Returns the data of each event in `events`, in order."""
    return [match[1] for match in _DATA.finditer(events)]
