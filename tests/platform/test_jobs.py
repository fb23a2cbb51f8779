"""Tests of the request and response bodies of batch jobs."""

import base64

import msgspec
import pytest

from lacewingwood import configuration
from lacewingwood.jobs import errors
from lacewingwood.peers import gateway_messages
from lacewingwood.platform import jobs

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
