"""Checks of the lines of a job's input file."""

from collections.abc import Container

import msgspec
import xxhash

from lacewingwood.batch import errors

ENDPOINTS = ("/v1/chat/completions", "/v1/completions")
MAX_ITEMS = 1_000_000


class _Line(msgspec.Struct):
    custom_id: str
    method: str
    url: str
    body: dict[str, msgspec.Raw]


_decoder = msgspec.json.Decoder(_Line)


class Checker:
    """Checks lines one after the other.

    Attributes:
        count: Number of lines checked.
    """

    __slots__ = ("_endpoint", "_model", "_models", "_seen", "count")

    def __init__(self, endpoint: str, models: Container[str]) -> None:
        self._endpoint = endpoint
        self._models = models
        self._model = ""
        # Digests of 64 bits keep a million names small; a false duplicate
        # among a million has a probability below 1e-7.
        self._seen: set[int] = set()
        self.count = 0

    def check(self, number: int, data: bytes) -> None:
        """Checks the line with this number, from 1.

        Raises:
            errors.InvalidError: The line is wrong.
        """
        self.count += 1
        if self.count > MAX_ITEMS:
            raise _invalid(number, f"more than {MAX_ITEMS} requests")
        line = _decode(number, data)
        if line.method != "POST":
            raise _invalid(number, "method must be POST", "method")
        if line.url != self._endpoint:
            raise _invalid(number, f"url must be {self._endpoint}", "url")
        self._check_model(number, line)
        self._check_custom_id(number, line.custom_id)

    def _check_model(self, number: int, line: _Line) -> None:
        model = _model(line)
        if not model:
            raise _invalid(number, "body.model must be a name", "model")
        if not self._model and model not in self._models:
            raise _invalid(number, f"there is no model {model!r}", "model")
        self._model = self._model or model
        if model != self._model:
            message = f"a batch is for one model, here {self._model!r}"
            raise _invalid(number, message, "model")

    def _check_custom_id(self, number: int, custom_id: str) -> None:
        if not custom_id:
            raise _invalid(number, "custom_id is empty", "custom_id")
        digest = xxhash.xxh3_64_intdigest(custom_id.encode())
        if digest in self._seen:
            message = f"custom_id {custom_id!r} is used twice"
            raise _invalid(number, message, "custom_id")
        self._seen.add(digest)


def _decode(number: int, data: bytes) -> _Line:
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise _invalid(number, str(exc)) from exc


def _model(line: _Line) -> str:
    try:
        return msgspec.json.decode(line.body["model"], type=str)
    except (KeyError, msgspec.MsgspecError):
        return ""


def _invalid(number: int, message: str, param: str = "") -> errors.InvalidError:
    return errors.InvalidError(f"line {number}: {message}", number, param)
