"""Builds the JSON answer to a request from the engine's event stream."""

from typing import Any

import msgspec

from lacewingwood.batch import errors

# Fields of a streamed answer that have the same value in each event.
_COMMON_FIELDS = ("id", "created", "model", "system_fingerprint")

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(dict[str, Any])


def streaming_body(body: bytes, resume_text: str) -> bytes:
    """Returns a copy of a request body that asks the engine for a stream.

    Raises:
        errors.InvalidError: `body` is not a JSON object.
    """
    try:
        fields = _decoder.decode(body)
    except msgspec.MsgspecError as exc:
        raise errors.InvalidError(f"body: {exc}") from exc
    fields["stream"] = True
    fields["stream_options"] = {"include_usage": True}
    if resume_text:
        fields["resume_text"] = resume_text
    return _encoder.encode(fields)


class AnswerBuilder:
    """Builds one JSON answer from the events of a stream."""

    __slots__ = (
        "_chat",
        "_choices",
        "_common_fields",
        "_resume_text",
        "_usage",
    )

    def __init__(self, path: str, resume_text: str) -> None:
        self._chat = path.endswith("/chat/completions")
        self._resume_text = resume_text
        self._common_fields: dict[str, Any] = {}
        self._choices: dict[int, dict[str, Any]] = {}
        self._usage: dict[str, Any] | None = None

    @property
    def text(self) -> str:
        """Text so far from which another run can resume.

        Empty if there is none or if the answer holds more than one text: it has
        several choices or other parts such as tool calls.
        """
        if not self._choices:
            return self._resume_text
        if len(self._choices) > 1:
            return ""
        choice = next(iter(self._choices.values()))
        if not self._chat:
            return self._resume_text + choice["text"]
        message = choice["message"]
        if set(message) - {"role", "content"}:
            return ""
        return self._resume_text + (message.get("content") or "")

    def feed(self, payload: bytes) -> None:
        """Adds the payload of one event to the answer.

        Raises:
            errors.CorruptError: The payload is malformed or reports an error.
        """
        try:
            event = _decoder.decode(payload)
            self._feed(event)
        except (msgspec.MsgspecError, KeyError, TypeError) as exc:
            raise errors.CorruptError(
                f"malformed event in the engine's stream: {exc!r}"
            ) from exc

    def encode(self) -> bytes:
        """Returns the complete answer as JSON."""
        kind = "chat.completion" if self._chat else "text_completion"
        choices = [self._choices[i] for i in sorted(self._choices)]
        if self._resume_text and len(choices) == 1:
            self._prepend(choices[0])
        answer = {**self._common_fields, "object": kind, "choices": choices}
        if self._usage is not None:
            answer["usage"] = self._usage
        return _encoder.encode(answer)

    def _feed(self, event: dict[str, Any]) -> None:
        if event.get("error"):
            raise errors.CorruptError(
                f"the engine reported an error: {event['error']}"
            )
        for name in _COMMON_FIELDS:
            if name in event:
                self._common_fields.setdefault(name, event[name])
        self._usage = event.get("usage") or self._usage
        for part in event.get("choices", ()):
            self._feed_choice(part)

    def _feed_choice(self, part: dict[str, Any]) -> None:
        index = part["index"]
        choice = self._choices.get(index)
        if choice is None:
            choice = self._choices[index] = self._new_choice(index)
        if part.get("finish_reason") is not None:
            choice["finish_reason"] = part["finish_reason"]
        if not self._chat:
            choice["text"] += part.get("text") or ""
            return
        _merge(choice["message"], part.get("delta") or {})

    def _new_choice(self, index: int) -> dict[str, Any]:
        choice: dict[str, Any] = {"index": index, "finish_reason": None}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": None}
        else:
            choice["text"] = ""
        return choice

    def _prepend(self, choice: dict[str, Any]) -> None:
        if not self._chat:
            choice["text"] = self._resume_text + choice["text"]
            return
        message = choice["message"]
        content = message.get("content") or ""
        message["content"] = self._resume_text + content


def _merge(message: dict[str, Any], delta: dict[str, Any]) -> None:
    """Appends the delta of one event to a message."""
    for name, value in delta.items():
        before = message.get(name)
        if name == "tool_calls":
            _merge_tool_calls(message.setdefault(name, []), value)
        elif name != "role" and isinstance(before, str) and value is not None:
            message[name] = before + value
        elif value is not None or name not in message:
            message[name] = value


def _merge_tool_calls(
    calls: list[dict[str, Any]], parts: list[dict[str, Any]]
) -> None:
    for part in parts:
        index = part["index"]
        while len(calls) <= index:
            calls.append({"function": {"name": "", "arguments": ""}})
        call = calls[index]
        for name in ("id", "type"):
            if part.get(name):
                call[name] = part[name]
        for name, value in (part.get("function") or {}).items():
            call["function"][name] += value or ""
