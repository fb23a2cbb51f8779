"""Bodies of requests and responses about batch jobs.

The platform calls a batch job a lot, as in the path `/-/lots/`.
"""

import base64
import binascii
import re

import msgspec

from lacewingwood import configuration
from lacewingwood.jobs import errors
from lacewingwood.jobs import records
from lacewingwood.peers import gateway_messages

_MAX_ITEMS = 200
# Headers of an item that are not stored: hop-by-hop headers, the caller's key,
# and headers that the gateway sets for each attempt at a replica.
_DROPPED_HEADERS = frozenset(
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


# What HTTP allows in a request. White space around a value is not part of it.
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_HEADER_VALUE = re.compile(
    r"(?:[!-~\x80-\xff](?:[\t -~\x80-\xff]*[!-~\x80-\xff])?)?"
)
_PATH = re.compile(r"/[!-~]*")
_WHITE_SPACE = " \t"


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
    # Position after the last result in this response, not a token.
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
    configuration_version: int = 0,
) -> records.Submission:
    """Decodes a submitted job.

    Args:
        body: Body of the caller's request.
        customer: Name of the customer that submits the job.
        job_id: Id of the job, which is that of the request.
        host: Host that the request was sent to.
        path: Path of the request.
        route: Route of the request, which sets the job's deadlines.
        now_ms: Unix time of the submission.
        configuration_version: Version of the configuration that has the route.

    Raises:
        errors.InvalidJobError: The job is malformed.
    """
    try:
        lot = _decoder.decode(body)
        bodies = [base64.b64decode(i.body, validate=True) for i in lot.items]
    except (msgspec.MsgspecError, RecursionError, binascii.Error) as exc:
        raise errors.InvalidJobError(str(exc)[:120]) from exc
    ids = {item.id for item in lot.items}
    if not lot.items or len(lot.items) > _MAX_ITEMS or len(ids) < len(bodies):
        raise errors.InvalidJobError(
            "the job has no items, too many items or duplicate item ids"
        )
    job = records.Job(
        customer=customer,
        id=job_id,
        host=host,
        path=path,
        submitted_ms=now_ms,
        due_ms=now_ms + int(route.result_deadline_ms),
        expires_ms=now_ms + int(route.retention_ms),
        items=[_to_item(n, item) for n, item in enumerate(lot.items)],
        configuration_version=configuration_version,
    )
    return records.Submission(job, bodies)


def encode_results(page: gateway_messages.JobResults, start: int) -> bytes:
    """Returns the body of a response with results from `start` on."""
    results = [
        _Result(
            result.item_id,
            "completed" if result.completed else "dead_letter",
            result.output.decode("utf-8", "replace"),
        )
        for result in page.results
    ]
    return msgspec.json.encode(
        _Results(page.total, start + len(results), results)
    )


def _to_item(position: int, item: _Item) -> records.Item:
    """Returns an item as it is stored.

    Raises:
        errors.InvalidJobError: A part of it can't be sent in a request.
    """
    if not item.id or not _HEADER_VALUE.fullmatch(item.id):
        raise _item_error(position, "id", item.id)
    if not _PATH.fullmatch(item.path):
        raise _item_error(position, "path", item.path)
    headers: list[tuple[str, str]] = []
    for name, text in item.headers.items():
        if name.lower() in _DROPPED_HEADERS:
            continue
        value = text.strip(_WHITE_SPACE)
        if not _HEADER_NAME.fullmatch(name):
            raise _item_error(position, "name of a header", name)
        if not _HEADER_VALUE.fullmatch(value):
            raise _item_error(position, f"header {name}", value)
        headers.append((name.lower(), value))
    return records.Item(item.id, item.path, headers, item.tokens)


def _item_error(position: int, field: str, value: str) -> errors.JobError:
    return errors.InvalidJobError(
        f"item {position}: {field} can't be sent in a request: {value[:40]!r}"
    )
