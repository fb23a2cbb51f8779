"""Puts the log lines of one request in order, with what each node believed."""

import json
import pathlib
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

_ID_FIELDS = ("request_id", "job", "job_id")
# Events after which a node believes something else, and what they tell of it.
_BELIEFS = {
    "configuration applied": "version",
    "log lost": "topic",
    "log regained": "topic",
    "peer lost": "peer",
    "peer heard": "peer",
    "replica unlisted": "replica",
    "partitions assigned": "generation",
    "replica standing": "replica",
    "owner retired": "topic",
    "starting": "started_ms",
}
_HIDDEN = ("event", "timestamp", "node", "zone", "level", *_ID_FIELDS)


def explain(request_id: str, *files: pathlib.Path) -> None:
    """Prints what happened to a request, from the logs of all gateways.

    Args:
        request_id: The request's, job's or item's id.
        files: Logs; what stands before the JSON of a line is passed over.
    """
    for line in lines_of(request_id, _read(files)):
        print(line)


def lines_of(
    request_id: str, entries: Iterable[dict[str, Any]]
) -> Iterator[str]:
    """Yields a line of text for each log line about a request, in order."""
    beliefs: dict[str, dict[str, str]] = {}
    found = False
    for entry in sorted(entries, key=lambda e: str(e.get("timestamp", ""))):
        node = str(entry.get("node", "?"))
        event = str(entry.get("event", ""))
        if event in _BELIEFS:
            _note_belief(beliefs.setdefault(node, {}), event, entry)
        if _is_about(entry, request_id):
            found = True
            yield _render(entry, node, event, beliefs.get(node, {}))
    if not found:
        yield f"no line mentions {request_id}"


def _read(files: Iterable[pathlib.Path]) -> Iterator[dict[str, Any]]:
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                start = text.find("{")
                try:
                    entry = json.loads(text[start:]) if start >= 0 else None
                except json.JSONDecodeError:
                    continue
                if isinstance(entry, dict):
                    yield entry


def _is_about(entry: dict[str, Any], request_id: str) -> bool:
    for name in _ID_FIELDS:
        value = entry.get(name)
        # A job's key holds its customer, too.
        if value == request_id or str(value).endswith("/" + request_id):
            return True
    return False


def _note_belief(
    believed: dict[str, str], event: str, entry: dict[str, Any]
) -> None:
    if event == "starting":
        believed.clear()
    value = str(entry.get(_BELIEFS[event], ""))
    match event:
        case "log lost":
            believed[_log_name(value, entry)] = "lost"
        case "log regained" | "owner retired":
            # A partition is not followed any more once its owner has retired.
            believed.pop(_log_name(value, entry), None)
        case "replica standing" if entry.get("standing") == "sound":
            believed.pop(f"replica {value}", None)
        case "replica standing":
            believed[f"replica {value}"] = str(entry.get("standing"))
        case "peer lost":
            believed[f"peer {value}"] = "lost"
        case "peer heard":
            believed.pop(f"peer {value}", None)
        case _:
            believed[event] = value


def _log_name(topic: str, entry: dict[str, Any]) -> str:
    return f"log {topic}/{entry.get('part', 0)}"


def _render(
    entry: dict[str, Any], node: str, event: str, believed: dict[str, str]
) -> str:
    time = str(entry.get("timestamp", "?"))[11:23]
    fields = " ".join(
        f"{name}={value}"
        for name, value in entry.items()
        if name not in _HIDDEN
    )
    context = ", ".join(f"{name} {value}" for name, value in believed.items())
    return f"{time} {node}: {event} {fields} [believed: {context or '-'}]"
