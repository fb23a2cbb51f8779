"""OpenAI completion requests and answers of the engine stand-in."""

import time
import uuid
from typing import Any

import msgspec

from lacewingwood.upstreams import prefix
from standins import batching
from standins import server


class BadRequestError(Exception):
    """The request cannot be run.

    Attributes:
        status: HTTP status of the answer.
        message: Reason, as sent to the client.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message


class Completion:
    """One requested completion: its sequence and the encoding of its answer.

    Attributes:
        request_id: The caller's `x-request-id`, or a new id.
        sequence: Sequence that the engine runs.
        stream: True to answer with server-sent events.
    """

    __slots__ = (
        "_chat",
        "_created",
        "_first",
        "_include_usage",
        "_model",
        "request_id",
        "sequence",
        "stream",
    )

    def __init__(
        self,
        request_id: str,
        body: dict[str, Any],
        chat: bool,
        sequence: batching.Sequence,
    ) -> None:
        options = body.get("stream_options") or {}
        self.request_id = request_id
        self.sequence = sequence
        self.stream = bool(body.get("stream", False))
        self._chat = chat
        self._created = int(time.time())
        self._first = True
        self._include_usage = bool(options.get("include_usage", False))
        self._model = body["model"]

    def headers(self, content_type: str = "") -> dict[str, str]:
        """Returns the header fields of the answer."""
        fields = {"x-request-id": self.request_id}
        if content_type:
            fields["content-type"] = content_type
        return fields

    def chunk(self, text: str) -> bytes:
        """Returns the event that carries one token."""
        if not self._chat:
            return self._event([_text_choice(text, None)])
        delta = {"content": text}
        if self._first:
            delta = {"role": "assistant", "content": text}
            self._first = False
        return self._event([_delta_choice(delta, None)])

    def final_chunks(self) -> bytes:
        """Returns the final events of a stream, except `[DONE]`."""
        finish_reason = self.sequence.finish_reason
        choice = _delta_choice({}, finish_reason)
        if not self._chat:
            choice = _text_choice("", finish_reason)
        events = self._event([choice])
        if self._include_usage:
            events += self._event([], usage=self._usage())
        return events

    def full_body(self, text: str) -> bytes:
        """Returns the body of an answer that is not streamed."""
        finish_reason = self.sequence.finish_reason
        choice = _text_choice(text, finish_reason)
        if self._chat:
            message = {"role": "assistant", "content": text}
            choice = {
                "index": 0,
                "message": message,
                "finish_reason": finish_reason,
            }
        return msgspec.json.encode(
            self._envelope([choice], "", usage=self._usage())
        )

    def _usage(self) -> dict[str, int]:
        """Counts tokens; the text given as `resume_text` is included."""
        prompt_tokens = self.sequence.prompt_tokens
        completion_tokens = self.sequence.index
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens + completion_tokens,
        }

    def _event(self, choices: list[dict[str, Any]], **extra: Any) -> bytes:
        envelope = self._envelope(choices, ".chunk", **extra)
        return b"data: " + msgspec.json.encode(envelope) + b"\n\n"

    def _envelope(
        self, choices: list[dict[str, Any]], suffix: str, **extra: Any
    ) -> dict[str, Any]:
        kind = "text_completion"
        if self._chat:
            kind = "chat.completion" + suffix
        return {
            "id": self.request_id,
            "object": kind,
            "created": self._created,
            "model": self._model,
            "choices": choices,
            **extra,
        }


def parse(
    request: server.Request, data: bytes, versions: dict[str, str]
) -> Completion:
    """Returns the completion that a request asks for.

    Raises:
        BadRequestError: The request is malformed, its model is not loaded, its
            prompt contains `BAD-ITEM` or its `resume_text` is not the start
            of the answer.
    """
    body = _decode(data)
    model = body.get("model")
    if model not in versions:
        raise BadRequestError(404, f"model {model!r} is not loaded")
    prompt = prefix.prompt(body)
    if b"BAD-ITEM" in prompt:
        raise BadRequestError(400, "bad item")
    max_tokens = body.get("max_completion_tokens") or body.get("max_tokens")
    if max_tokens is not None and not isinstance(max_tokens, int):
        raise BadRequestError(400, "max_tokens is not a number")
    request_id = request.headers.get("x-request-id") or uuid.uuid4().hex
    resume_text = body.get("resume_text") or ""
    resumed = len(resume_text.split())
    sequence = batching.Sequence(request_id, model, prompt, max_tokens, resumed)
    if resume_text != batching.text(sequence.seed, resumed):
        raise BadRequestError(400, "resume_text is not the start of the answer")
    chat = request.path.endswith("/chat/completions")
    return Completion(request_id, body, chat, sequence)


def _decode(data: bytes) -> dict[str, Any]:
    try:
        return msgspec.json.decode(data, type=dict[str, Any])
    except msgspec.MsgspecError as exc:
        raise BadRequestError(400, str(exc)) from exc


def _delta_choice(
    delta: dict[str, str], finish_reason: str | None
) -> dict[str, Any]:
    return {"index": 0, "delta": delta, "finish_reason": finish_reason}


def _text_choice(text: str, finish_reason: str | None) -> dict[str, Any]:
    return {"index": 0, "text": text, "finish_reason": finish_reason}
