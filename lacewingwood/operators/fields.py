"""Which fields a configuration document may have and with which values."""

import dataclasses
import math
import re
from collections.abc import Callable
from typing import Any

_METHODS = {"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"}
_MAX_TIMEOUT_MS = 3_600_000
_LEAST_SECRET = 16
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
_DIGEST = re.compile(r"[0-9a-f]{64}")


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One reason to refuse a document.

    Attributes:
        path: Field, such as `customers[2].rate`; empty for the whole document.
        value: What the document has there, as text.
        allowed: What is allowed there.
    """

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        place = self.path or "document"
        return f"{place}: {self.value} is not allowed; allowed: {self.allowed}"


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    """One field of an item.

    Attributes:
        allowed: Values that are allowed, in words.
        accepts: Returns whether a value is allowed.
        required: True if an item must have it.
        hidden: True if its value must not be shown.
    """

    allowed: str
    accepts: Callable[[Any], bool]
    required: bool = False
    hidden: bool = False


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and _NAME.fullmatch(value) is not None


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_positive(value: Any) -> bool:
    return _is_number(value) and math.isfinite(value) and value > 0


def _is_whole(value: Any, least: int, most: int = 2**31) -> bool:
    whole = isinstance(value, int) and not isinstance(value, bool)
    return whole and least <= value <= most


def _is_prefix(value: Any) -> bool:
    return (
        isinstance(value, str)
        and value.startswith("/")
        and not any(c.isspace() or c in "?#" for c in value)
    )


def _are_methods(value: Any) -> bool:
    return isinstance(value, list) and all(
        isinstance(item, str) and item in _METHODS for item in value
    )


def _matches(pattern: re.Pattern[str]) -> Callable[[Any], bool]:
    return lambda value: (
        isinstance(value, str) and pattern.fullmatch(value) is not None
    )


_NAME_RULE = "1 to 128 letters, digits, '.', '_', ':' or '-'"
_name = _Field(_NAME_RULE, _is_name, required=True)
_positive = _Field("a number above 0", _is_positive)
_text = _Field("a text", lambda value: isinstance(value, str))

SECTIONS: dict[str, dict[str, _Field]] = {
    "customers": {
        "name": _name,
        "rate": dataclasses.replace(_positive, required=True),
        "burst": _Field(
            "a whole number from 1", lambda v: _is_whole(v, 1), required=True
        ),
        "weight": _positive,
    },
    "keys": {
        "key_id": _name,
        "customer": _name,
        "digest": _Field(
            "the SHA-256 of the secret in 64 hexadecimal digits, lower case",
            _matches(_DIGEST),
        ),
        "secret": _Field(
            f"a text of at least {_LEAST_SECRET} characters",
            lambda v: isinstance(v, str) and len(v) >= _LEAST_SECRET,
            hidden=True,
        ),
    },
    "routes": {
        "name": _name,
        "prefix": _Field(
            "a path that starts with '/'", _is_prefix, required=True
        ),
        "service": _name,
        "host": _text,
        "open": _Field("true or false", lambda v: isinstance(v, bool)),
        "idempotent_methods": _Field(
            f"a list of {', '.join(sorted(_METHODS))}", _are_methods
        ),
        "timeout_ms": _Field(
            f"a whole number from 1 to {_MAX_TIMEOUT_MS}",
            lambda v: _is_whole(v, 1, _MAX_TIMEOUT_MS),
        ),
    },
    "models": {
        "name": _name,
        "service": _name,
        "version": _name,
        "artifact": _text,
        "min_ready": _Field("a whole number from 0", lambda v: _is_whole(v, 0)),
    },
}


def check_item(section: str, path: str, item: Any) -> list[Problem]:
    """Returns the problems of one item's own fields."""
    if not isinstance(item, dict):
        return [Problem(path, show(item), "a table")]
    spec = SECTIONS[section]
    problems = [
        Problem(f"{path}.{name}", "an unknown field", ", ".join(spec))
        for name in item
        if name not in spec
    ]
    for name, field in spec.items():
        if name not in item:
            if field.required:
                problems.append(
                    Problem(f"{path}.{name}", "nothing", field.allowed)
                )
        elif not field.accepts(item[name]):
            value = "the hidden value" if field.hidden else show(item[name])
            problems.append(Problem(f"{path}.{name}", value, field.allowed))
    return problems


def show(value: Any) -> str:
    """Returns a value as text of bounded length."""
    text = repr(value)
    return text if len(text) <= 80 else text[:77] + "..."
