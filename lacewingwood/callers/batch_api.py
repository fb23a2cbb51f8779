"""OpenAI's API for batches: create, get, list and cancel."""

import urllib.parse
from typing import Any

import msgspec

from lacewingwood.batch import errors as batch_errors
from lacewingwood.batch import intake
from lacewingwood.callers import dependencies
from lacewingwood.callers import errors
from lacewingwood.callers import files_api
from lacewingwood.callers import http

_PATH = "/v1/batches"
_MAX_BODY_BYTES = 64 << 10
_MAX_KEY_BYTES = 255
_MAX_PAGE_SIZE = 100
_STATUS_BY_STATE = {
    "accepted": "in_progress",
    "finished": "completed",
    "cancelled": "cancelled",
}


class _CreateRequest(msgspec.Struct):
    input_file_id: str
    endpoint: str
    completion_window: str = "24h"
    metadata: dict[str, str] | None = None


async def handle(
    req: http.Request, customer: str, deps: dependencies.Dependencies
) -> None:
    """Handles a request whose path starts with `/v1/batches`.

    Raises:
        errors.CallerError: The request was refused or failed.
    """
    try:
        await _dispatch(req, customer, deps)
    except batch_errors.BatchError as exc:
        raise files_api.caller_error(exc) from exc


async def _dispatch(
    req: http.Request, customer: str, deps: dependencies.Dependencies
) -> None:
    match req.path.removeprefix(_PATH).split("/"):
        case [""] | ["", ""] if req.method == "GET":
            await _list(req, customer, deps)
        case [""] | ["", ""]:
            files_api.check_method(req, "POST")
            await _create(req, customer, deps)
        case ["", job_id]:
            files_api.check_method(req, "GET")
            status = await deps.batch_intake.get(customer, job_id)
            await req.respond_json(describe(status))
        case ["", job_id, "cancel"]:
            files_api.check_method(req, "POST")
            status = await deps.batch_intake.cancel(customer, job_id)
            await req.respond_json(describe(status))
        case _:
            raise errors.CallerError(404, "not_found", "no such path")


async def _create(
    req: http.Request, customer: str, deps: dependencies.Dependencies
) -> None:
    body = await req.read_body(_MAX_BODY_BYTES)
    try:
        fields = msgspec.json.decode(body, type=_CreateRequest)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise errors.bad_request(f"invalid request: {exc}") from exc
    key = req.header(b"idempotency-key")
    if len(key) > _MAX_KEY_BYTES:
        raise errors.bad_request("header idempotency-key is too long")
    status = await deps.batch_intake.create_job(
        customer,
        fields.input_file_id,
        fields.endpoint,
        fields.completion_window,
        metadata=fields.metadata,
        idempotency_key=key.decode("latin-1"),
    )
    await req.respond_json(describe(status))


async def _list(
    req: http.Request, customer: str, deps: dependencies.Dependencies
) -> None:
    query = dict(
        urllib.parse.parse_qsl(req.scope["query_string"].decode("latin-1"))
    )
    limit = query.get("limit", "20")
    if not limit.isdecimal() or not 1 <= int(limit) <= _MAX_PAGE_SIZE:
        raise errors.bad_request(
            f"limit must be from 1 to {_MAX_PAGE_SIZE}", "limit"
        )
    statuses, has_more = await deps.batch_intake.list(
        customer, query.get("after", ""), int(limit)
    )
    data = [describe(status) for status in statuses]
    await req.respond_json(
        {
            "object": "list",
            "data": data,
            "first_id": data[0]["id"] if data else None,
            "last_id": data[-1]["id"] if data else None,
            "has_more": has_more,
        }
    )


def describe(status: intake.Status) -> dict[str, Any]:
    """Returns a job as OpenAI's batch object.

    The field `late` is an extension: true if the job is not expected to end
    within its completion window.
    """
    job = status.job
    progress = status.progress
    ended = status.state != "accepted"
    output = intake.output_file_id(job.job_id)
    failures = intake.errors_file_id(job.job_id)
    return {
        "id": job.job_id,
        "object": "batch",
        "endpoint": job.endpoint,
        "errors": None,
        "input_file_id": job.input_file,
        "completion_window": _format_window(job.due_ms - job.created_ms),
        "status": _STATUS_BY_STATE[status.state],
        "output_file_id": output if ended and progress.completed else None,
        "error_file_id": failures if ended and progress.failed else None,
        "created_at": job.created_ms // 1000,
        "in_progress_at": job.created_ms // 1000,
        "expires_at": job.due_ms // 1000,
        "finalizing_at": None,
        "completed_at": _to_seconds(status.finished_ms),
        "failed_at": None,
        "expired_at": None,
        "cancelling_at": _to_seconds(status.cancelled_ms),
        "cancelled_at": _to_seconds(status.cancelled_ms),
        "request_counts": {
            "total": job.items,
            "completed": progress.completed,
            "failed": progress.failed,
        },
        "metadata": job.metadata,
        "late": progress.late and not ended,
    }


def _to_seconds(at_ms: int | None) -> int | None:
    return None if at_ms is None else at_ms // 1000


def _format_window(window_ms: int) -> str:
    hours, rest = divmod(window_ms, 3_600_000)
    return f"{window_ms // 60_000}m" if rest else f"{hours}h"
