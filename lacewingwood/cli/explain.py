"""Merges the log lines about one request from the logs of all nodes.

Each line is shown with the cluster state that its node assumed at the time:
its configuration version, lost logs and peers, and replicas' health.
"""

import json
import pathlib
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

_ID_FIELDS = ("request_id", "job", "job_id")
# Events that change the state that a node assumes, and the field of each that
# holds the new value or names what changed.
_STATE_EVENTS = {
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
_HIDDEN_FIELDS = ("event", "timestamp", "node", "zone", "level", *_ID_FIELDS)


def explain(request_id: str, *files: pathlib.Path) -> None:
    """Prints what happened to a request, from the logs of all gateways.

    Args:
        request_id: Id of the request, job or item.
        files: Logs; text before the JSON object of a line is ignored.
    """
    for line in explanation_lines(request_id, _read(files)):
        print(line)


def explanation_lines(
    request_id: str, entries: Iterable[dict[str, Any]]
) -> Iterator[str]:
    """Yields a line of text for each log line about a request, by time."""
    states: dict[str, dict[str, str]] = {}
    found = False
    for entry in sorted(entries, key=lambda e: str(e.get("timestamp", ""))):
        node = str(entry.get("node", "?"))
        event = str(entry.get("event", ""))
        if event in _STATE_EVENTS:
            _update_state(states.setdefault(node, {}), event, entry)
        if _is_about(entry, request_id):
            found = True
            yield _render(entry, node, event, states.get(node, {}))
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
        # Jobs are logged with their key, which is CUSTOMER/ID.
        if value == request_id or str(value).endswith("/" + request_id):
            return True
    return False


def _update_state(
    state: dict[str, str], event: str, entry: dict[str, Any]
) -> None:
    if event == "starting":
        state.clear()
    value = str(entry.get(_STATE_EVENTS[event], ""))
    match event:
        case "log lost":
            state[_log_name(value, entry)] = "lost"
        case "log regained" | "owner retired":
            # A gateway stops reading a partition when it ceases to own it.
            state.pop(_log_name(value, entry), None)
        case "replica standing" if entry.get("standing") == "sound":
            state.pop(f"replica {value}", None)
        case "replica standing":
            state[f"replica {value}"] = str(entry.get("standing"))
        case "peer lost":
            state[f"peer {value}"] = "lost"
        case "peer heard":
            state.pop(f"peer {value}", None)
        case _:
            state[event] = value


def _log_name(topic: str, entry: dict[str, Any]) -> str:
    return f"log {topic}/{entry.get('part', 0)}"


def _render(
    entry: dict[str, Any], node: str, event: str, state: dict[str, str]
) -> str:
    time = str(entry.get("timestamp", "?"))[11:23]
    fields = " ".join(
        f"{name}={value}"
        for name, value in entry.items()
        if name not in _HIDDEN_FIELDS
    )
    assumed = ", ".join(f"{name} {value}" for name, value in state.items())
    return f"{time} {node}: {event} {fields} [believed: {assumed or '-'}]"
