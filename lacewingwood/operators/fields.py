"""Validation of the fields of items in configuration documents."""

import dataclasses
import math
import re
from collections.abc import Callable
from typing import Any

_METHODS = {"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"}
_MAX_TIMEOUT_MS = 3_600_000
_MIN_SECRET_LENGTH = 16
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One reason why a document is invalid.

    Attributes:
        path: Path of the field, such as `customers[2].rate`; empty for the
            whole document.
        value: Text that shows the invalid value or says what is wrong.
        allowed: Text that describes the allowed values.
    """

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        location = self.path or "document"
        return f"{location}: found {self.value}; expected {self.allowed}"


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    """Rules for one field of an item.

    Attributes:
        allowed: Text that describes the allowed values.
        accepts: Returns whether a value is allowed.
        required: True if every item must have the field.
        sensitive: True if problems must not show the field's value.
    """

    allowed: str
    accepts: Callable[[Any], bool]
    required: bool = False
    sensitive: bool = False


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and _NAME_PATTERN.fullmatch(value) is not None


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_positive(value: Any) -> bool:
    return _is_number(value) and math.isfinite(value) and value > 0


def _is_integer(value: Any, minimum: int, maximum: int = 2**31) -> bool:
    is_int = isinstance(value, int) and not isinstance(value, bool)
    return is_int and minimum <= value <= maximum


def _is_path_prefix(value: Any) -> bool:
    return (
        isinstance(value, str)
        and value.startswith("/")
        and not any(c.isspace() or c in "?#" for c in value)
    )


def _is_method_list(value: Any) -> bool:
    return isinstance(value, list) and all(
        isinstance(item, str) and item in _METHODS for item in value
    )


def _matches(pattern: re.Pattern[str]) -> Callable[[Any], bool]:
    return lambda value: (
        isinstance(value, str) and pattern.fullmatch(value) is not None
    )


_ALLOWED_NAME = "1 to 128 letters, digits, '.', '_', ':' or '-'"
_NAME_FIELD = _Field(_ALLOWED_NAME, _is_name, required=True)
_POSITIVE_FIELD = _Field("a positive number", _is_positive)
_STRING_FIELD = _Field("a string", lambda value: isinstance(value, str))

FIELDS_BY_SECTION: dict[str, dict[str, _Field]] = {
    "customers": {
        "name": _NAME_FIELD,
        "rate": dataclasses.replace(_POSITIVE_FIELD, required=True),
        "burst": _Field(
            "an integer of at least 1",
            lambda v: _is_integer(v, 1),
            required=True,
        ),
        "weight": _POSITIVE_FIELD,
    },
    "keys": {
        "key_id": _NAME_FIELD,
        "customer": _NAME_FIELD,
        "digest": _Field(
            "the SHA-256 digest of the secret as 64 lowercase hex digits",
            _matches(_DIGEST_PATTERN),
        ),
        "secret": _Field(
            f"a string of at least {_MIN_SECRET_LENGTH} characters",
            lambda v: isinstance(v, str) and len(v) >= _MIN_SECRET_LENGTH,
            sensitive=True,
        ),
    },
    "routes": {
        "name": _NAME_FIELD,
        "prefix": _Field(
            "a path that starts with '/'", _is_path_prefix, required=True
        ),
        "service": _NAME_FIELD,
        "host": _STRING_FIELD,
        "open": _Field("true or false", lambda v: isinstance(v, bool)),
        "idempotent_methods": _Field(
            f"a list of {', '.join(sorted(_METHODS))}", _is_method_list
        ),
        "timeout_ms": _Field(
            f"an integer from 1 to {_MAX_TIMEOUT_MS}",
            lambda v: _is_integer(v, 1, _MAX_TIMEOUT_MS),
        ),
    },
    "models": {
        "name": _NAME_FIELD,
        "service": _NAME_FIELD,
        "version": _NAME_FIELD,
        "artifact": _STRING_FIELD,
        "min_ready": _Field(
            "an integer of at least 0", lambda v: _is_integer(v, 0)
        ),
    },
}


def check_item(section: str, path: str, item: Any) -> list[Problem]:
    """Returns the problems of one item, regardless of other items.

    Args:
        section: Section of the document that has the item.
        path: Path of the item, such as `customers[2]`.
        item: Value parsed from the document.
    """
    if not isinstance(item, dict):
        return [Problem(path, render(item), "a table")]
    field_specs = FIELDS_BY_SECTION[section]
    problems = [
        Problem(f"{path}.{name}", "an unknown field", ", ".join(field_specs))
        for name in item
        if name not in field_specs
    ]
    for name, field in field_specs.items():
        if name not in item:
            if field.required:
                problems.append(
                    Problem(f"{path}.{name}", "nothing", field.allowed)
                )
        elif not field.accepts(item[name]):
            value = (
                "a value that is not shown"
                if field.sensitive
                else render(item[name])
            )
            problems.append(Problem(f"{path}.{name}", value, field.allowed))
    return problems


def render(value: Any) -> str:
    """Returns the representation of a value, truncated to 80 characters."""
    text = repr(value)
    return text if len(text) <= 80 else text[:77] + "..."
