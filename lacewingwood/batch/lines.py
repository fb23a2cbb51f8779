"""Validation of the lines of a job's input file."""

from collections.abc import Container

import msgspec
import xxhash

from lacewingwood.batch import errors

ENDPOINTS = ("/v1/chat/completions", "/v1/completions")
MAX_ITEMS = 1_000_000


class _Line(msgspec.Struct):
    """One request of an input file."""

    custom_id: str
    method: str
    url: str
    body: dict[str, msgspec.Raw]


_decoder = msgspec.json.Decoder(_Line)


class Checker:
    """Validates the lines of one input file in order.

    All lines must be for the same endpoint and model, with unique custom ids.

    Attributes:
        count: Number of lines validated.
    """

    __slots__ = ("_endpoint", "_model", "_models", "_seen_digests", "count")

    def __init__(self, endpoint: str, models: Container[str]) -> None:
        self._endpoint = endpoint
        self._models = models
        self._model = ""
        # Digests of 64 bits use little memory for a million ids; among a
        # million, the probability of a false duplicate is below 1e-7.
        self._seen_digests: set[int] = set()
        self.count = 0

    def check(self, number: int, data: bytes) -> None:
        """Validates one line.

        Args:
            number: Number of the line in the file, from 1.
            data: The line, JSON.

        Raises:
            errors.InvalidError: The line is invalid.
        """
        self.count += 1
        if self.count > MAX_ITEMS:
            raise _line_error(
                number, f"the file has more than {MAX_ITEMS} requests"
            )
        line = _decode_line(number, data)
        if line.method != "POST":
            raise _line_error(number, "method must be POST", "method")
        if line.url != self._endpoint:
            raise _line_error(number, f"url must be {self._endpoint}", "url")
        self._check_model(number, line)
        self._check_custom_id(number, line.custom_id)

    def _check_model(self, number: int, line: _Line) -> None:
        model = _model(line)
        if not model:
            raise _line_error(
                number, "body.model must be the name of a model", "model"
            )
        if not self._model and model not in self._models:
            raise _line_error(
                number, f"model {model!r} does not exist", "model"
            )
        self._model = self._model or model
        if model != self._model:
            message = f"a batch must have one model, here {self._model!r}"
            raise _line_error(number, message, "model")

    def _check_custom_id(self, number: int, custom_id: str) -> None:
        if not custom_id:
            raise _line_error(number, "custom_id is empty", "custom_id")
        digest = xxhash.xxh3_64_intdigest(custom_id.encode())
        if digest in self._seen_digests:
            message = f"custom_id {custom_id!r} is used twice"
            raise _line_error(number, message, "custom_id")
        self._seen_digests.add(digest)


def _decode_line(number: int, data: bytes) -> _Line:
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise _line_error(number, str(exc)) from exc


def _model(line: _Line) -> str:
    """Returns the model of a request, or an empty string if it is invalid."""
    try:
        return msgspec.json.decode(line.body["model"], type=str)
    except (KeyError, msgspec.MsgspecError):
        return ""


def _line_error(
    number: int, message: str, param: str = ""
) -> errors.InvalidError:
    return errors.InvalidError(f"line {number}: {message}", number, param)
