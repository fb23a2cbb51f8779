"""Tests of the request and response bodies of batch jobs."""

import base64

import h11
import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from lacewingwood import configuration
from lacewingwood.jobs import errors
from lacewingwood.jobs import item_tasks
from lacewingwood.jobs import payloads
from lacewingwood.jobs import running
from lacewingwood.peers import gateway_messages
from lacewingwood.platform import jobs
from lacewingwood.platform import replicas
from lacewingwood.routing import directory

_ROUTE = configuration.Route(
    name="r",
    host="h",
    path_prefix="/p/",
    kind=configuration.RouteKind.BATCH,
    targets=(),
    result_deadline_ms=18_000,
    retention_ms=60_000,
)


def _decode(items: object):  # type: ignore[no-untyped-def]
    return _decode_body(msgspec.json.encode({"items": items}))


def _decode_body(body: bytes):  # type: ignore[no-untyped-def]
    return jobs.decode_submission(
        body, "kaje", "j1", "h", "/p/j1", _ROUTE, 1_000
    )


def _item(**changes: object) -> dict[str, object]:
    item = {
        "id": "i1",
        "path": "/p/1",
        "headers": {"Model-Id": "m", "Authorization": "Bearer secret"},
        "body": base64.b64encode(b"hello").decode(),
        "tokens": 9,
    }
    return {**item, **changes}


def test_submission_is_decoded_without_the_key() -> None:
    """Guards against forwarding a key in an item's headers to a replica."""
    submission = _decode([_item()])
    assert submission.bodies == [b"hello"]
    assert submission.job.items[0].headers == [("model-id", "m")]
    assert submission.job.due_ms == 19_000
    assert submission.job.expires_ms == 61_000


@pytest.mark.parametrize(
    "items",
    [
        [],
        [_item(body="!!")],
        [_item(path="x")],
        [_item(id="")],
        [_item(), _item()],
        [_item(id=f"i{n}") for n in range(201)],
        "none",
    ],
)
def test_malformed_submissions_are_refused(items: object) -> None:
    """Guards against accepting a job in part."""
    with pytest.raises(errors.InvalidJobError):
        _decode(items)


def test_nested_submission_is_refused() -> None:
    """Guards against an internal error at a body that is nested too deeply."""
    nested = b"[" * 100_000 + b"]" * 100_000
    with pytest.raises(errors.InvalidJobError):
        _decode_body(b'{"items":[],"x":' + nested + b"}")


def test_results_name_the_next_position() -> None:
    """Guards against a position that makes readers skip a result."""
    page = gateway_messages.JobResults(
        5,
        [
            gateway_messages.JobResult("a", True, b"x\ny"),
            gateway_messages.JobResult("b", False, b""),
        ],
    )
    decoded = msgspec.json.decode(jobs.encode_results(page, 2))
    assert decoded["total"] == 5
    assert decoded["next_token"] == 4
    assert [r["state"] for r in decoded["results"]] == [
        "completed",
        "dead_letter",
    ]


@pytest.mark.parametrize(
    "changes",
    [
        {"headers": {"Length-Hint": "8\n0"}},
        {"headers": {"Length-Hint": "8\x00"}},
        {"headers": {"Length-Hint": "\u20ac"}},
        {"headers": {"Length Hint": "80"}},
        {"headers": {"": "80"}},
        {"path": "/p/a b"},
        {"path": "/p/\u00e9"},
        {"id": "a\r\nb"},
        {"id": " a"},
        {"id": "\u20ac"},
    ],
)
def test_item_that_can_not_be_sent_is_refused(
    changes: dict[str, object],
) -> None:
    """Guards against accepting an item that no request can carry."""
    with pytest.raises(errors.InvalidJobError, match="item 1: "):
        _decode([_item(id="i0"), _item(**changes)])


def test_white_space_around_a_header_is_no_part_of_it() -> None:
    """Guards against refusing what HTTP allows."""
    headers = {"Length-Hint": " \t 80 ", "Empty": "  ", "Two": "a  b"}
    (item,) = _decode([_item(headers=headers)]).job.items
    assert item.headers == [
        ("length-hint", "80"),
        ("empty", ""),
        ("two", "a  b"),
    ]


_TEXT = st.text(max_size=6)


@hypothesis.given(
    _TEXT, _TEXT, st.dictionaries(_TEXT, _TEXT, max_size=3), st.binary()
)
@hypothesis.example("i", "/p", {"length-hint": "  80"}, b"")
@hypothesis.example("i", "/p", {"x": "\x85"}, b"")
@hypothesis.example("i\x1c", "/p\x1d", {"x": "\x0b"}, b"")
def test_each_accepted_item_can_be_sent(
    item_id: str, path: str, headers: dict[str, str], body: bytes
) -> None:
    """Guards against items that pass the check and fail when they run."""
    item = {
        "id": item_id,
        "path": f"/{path}",
        "headers": headers,
        "body": base64.b64encode(body).decode(),
    }
    try:
        submission = _decode([item])
    except errors.InvalidJobError:
        return
    body = submission.bodies[0]
    task = item_tasks.ItemTask(submission.job, 0, payloads.Payload(body))
    listing = directory.Listing("r0", "s", "10.0.0.1:80", "z", 8)
    head = replicas._encode(
        listing, running._make_work(task, body), 1_000, None
    )
    conn = h11.Connection(h11.SERVER)
    wire = h11.Connection(h11.CLIENT)
    conn.receive_data(wire.send(head) or b"")
    assert isinstance(conn.next_event(), h11.Request)
