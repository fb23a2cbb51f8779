"""Bodies of the calls for batch jobs, which the platform calls lots."""

import base64
import binascii

import msgspec

from lacewingwood import configuration
from lacewingwood.jobs import errors
from lacewingwood.jobs import records
from lacewingwood.peers import gateway_messages

_MAX_ITEMS = 200
# Fields that concern one connection or that are set for each run.
_OWN_FIELDS = frozenset(
    (
        "authorization",
        "connection",
        "content-length",
        "deadline-ms",
        "expected-instance",
        "host",
        "last-event-id",
        "request-id",
        "tenant-id",
        "transfer-encoding",
    )
)


class _Item(msgspec.Struct):
    id: str
    path: str
    body: str = ""
    headers: dict[str, str] = {}
    tokens: int = 0


class _Lot(msgspec.Struct):
    items: list[_Item]


class _Result(msgspec.Struct):
    id: str
    state: str
    output: str


class _Results(msgspec.Struct):
    total: int
    # Position after the last result of this answer; no kind of token.
    next_token: int
    results: list[_Result]


_decoder = msgspec.json.Decoder(_Lot)


def decode_submission(
    body: bytes,
    customer: str,
    job_id: str,
    host: str,
    path: str,
    route: configuration.Route,
    now_ms: int,
) -> records.Submission:
    """Reads a submitted job.

    Raises:
        errors.InvalidJobError: It is malformed.
    """
    try:
        lot = _decoder.decode(body)
        bodies = [base64.b64decode(i.body, validate=True) for i in lot.items]
    except (msgspec.MsgspecError, binascii.Error) as exc:
        raise errors.InvalidJobError(str(exc)[:120]) from exc
    ids = {item.id for item in lot.items}
    if not lot.items or len(lot.items) > _MAX_ITEMS or len(ids) < len(bodies):
        raise errors.InvalidJobError("items are missing, too many or repeated")
    job = records.Job(
        customer=customer,
        id=job_id,
        host=host,
        path=path,
        submitted_ms=now_ms,
        due_ms=now_ms + int(route.result_deadline_ms),
        expires_ms=now_ms + int(route.retention_ms),
        items=[_item(item) for item in lot.items],
    )
    return records.Submission(job, bodies)


def encode_results(found: gateway_messages.JobResults, start: int) -> bytes:
    """Returns the body of an answer with results from `start` on."""
    results = [
        _Result(
            result.item_id,
            "completed" if result.completed else "dead_letter",
            result.output.decode("utf-8", "replace"),
        )
        for result in found.results
    ]
    return msgspec.json.encode(
        _Results(found.total, start + len(results), results)
    )


def _item(item: _Item) -> records.Item:
    if not item.id or not item.path.startswith("/"):
        raise errors.InvalidJobError("an item lacks its id or its path")
    headers = [
        (name.lower(), value)
        for name, value in item.headers.items()
        if name.lower() not in _OWN_FIELDS
    ]
    return records.Item(item.id, item.path, headers, item.tokens)
