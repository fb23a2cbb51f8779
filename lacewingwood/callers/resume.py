"""Resumption of a streamed response from the text that the caller has."""

from typing import Any

import msgspec

from lacewingwood.callers import calls


class StreamProgress:
    """What has been relayed of one streamed response.

    Attributes:
        chunks: Data of the relayed events, unparsed.
        resumed: True once another engine resumes the response.
    """

    __slots__ = ("_body", "_call", "_first_event_fields", "chunks", "resumed")

    def __init__(self, call: calls.Call) -> None:
        self.chunks: list[bytes] = []
        self.resumed = False
        self._call = call
        self._body = call.body
        self._first_event_fields: dict[str, Any] = {}

    def body(self) -> bytes:
        """Returns the body of the request to the next engine."""
        return self._body

    def resume(self) -> None:
        """Prepares for the next engine to continue after the relayed text."""
        if not self.chunks:
            return
        body = msgspec.json.decode(self._call.body)
        body["resume_text"] = self._text_so_far()
        self._body = msgspec.json.encode(body)
        first = msgspec.json.decode(self.chunks[0])
        self._first_event_fields = {
            name: first[name] for name in ("id", "created") if name in first
        }
        self.resumed = True

    def resumable(self) -> bool:
        """Returns whether the text is the whole state of the response.

        An engine can continue from text alone, not from tool calls or other
        choices.
        """
        return all(map(_is_text, self.chunks))

    def adapt(self, chunk: bytes) -> bytes:
        """Returns a later engine's event with the first engine's id and time.

        Args:
            chunk: Data of the event.
        """
        event = msgspec.json.decode(chunk)
        event.update(self._first_event_fields)
        return msgspec.json.encode(event)

    def is_complete(self) -> bool:
        """Returns whether the whole response was relayed.

        The finish reason comes with the last text; it is followed only by the
        usage event, if the request asks for one.
        """
        if not self.chunks or self._call.include_usage:
            return False
        choices = msgspec.json.decode(self.chunks[-1]).get("choices")
        return bool(choices) and all(c.get("finish_reason") for c in choices)

    def _text_so_far(self) -> str:
        return "".join(map(_chunk_text, self.chunks))


def _is_text(chunk: bytes) -> bool:
    """Returns whether an event contains only text, and of the first choice."""
    choices = msgspec.json.decode(chunk).get("choices") or []
    return all(
        choice.get("index", 0) == 0
        and not any(
            value and name not in ("role", "content")
            for name, value in choice.get("delta", {}).items()
        )
        for choice in choices
    )


def _chunk_text(chunk: bytes) -> str:
    choices = msgspec.json.decode(chunk).get("choices")
    if not choices:
        return ""
    choice = choices[0]
    text = choice.get("text")
    if text is None:
        text = choice.get("delta", {}).get("content")
    return text or ""
