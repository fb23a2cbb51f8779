"""Carrying an answer on from the text that the caller already has."""

from typing import Any

import msgspec

from lacewingwood.callers import calls


class StreamProgress:
    """What has been passed on of one streamed answer.

    Attributes:
        chunks: Data of the events that were passed on, unparsed.
        resumed: True once a second engine carries the answer on.
    """

    __slots__ = ("_body", "_call", "_identity", "chunks", "resumed")

    def __init__(self, call: calls.Call) -> None:
        self.chunks: list[bytes] = []
        self.resumed = False
        self._call = call
        self._body = call.body
        self._identity: dict[str, Any] = {}

    def body(self) -> bytes:
        """Returns the body for the next engine."""
        return self._body

    def resume(self) -> None:
        """Makes the next engine go on after the text passed on so far."""
        if not self.chunks:
            return
        body = msgspec.json.decode(self._call.body)
        body["resume_text"] = self._text()
        self._body = msgspec.json.encode(body)
        first = msgspec.json.decode(self.chunks[0])
        self._identity = {
            name: first[name] for name in ("id", "created") if name in first
        }
        self.resumed = True

    def resumable(self) -> bool:
        """Tells whether the text passed on is all that there is to know."""
        return all(map(_is_text, self.chunks))

    def adapt(self, chunk: bytes) -> bytes:
        """Returns a later engine's event with the identity of the first's."""
        event = msgspec.json.decode(chunk)
        event.update(self._identity)
        return msgspec.json.encode(event)

    def is_complete(self) -> bool:
        """Tells whether the caller has all of the answer.

        The reason for which generation stopped comes with the last text; what
        follows is only the usage, for those who asked for it.
        """
        if not self.chunks or self._call.include_usage:
            return False
        choices = msgspec.json.decode(self.chunks[-1]).get("choices")
        return bool(choices) and all(c.get("finish_reason") for c in choices)

    def _text(self) -> str:
        return "".join(map(_chunk_text, self.chunks))


def _is_text(chunk: bytes) -> bool:
    """Tells whether an event holds nothing but text of one choice."""
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
