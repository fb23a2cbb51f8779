"""OpenAI's API for files: upload, description and content."""

import email.message
import email.parser
import email.policy
import itertools
from collections.abc import AsyncIterator
from typing import Any

from lacewingwood import errors as base_errors
from lacewingwood.batch import errors as batch_errors
from lacewingwood.batch import files
from lacewingwood.callers import dependencies
from lacewingwood.callers import errors
from lacewingwood.callers import http

_PATH = "/v1/files"
_PURPOSE = "batch"

# Allowance for the form's boundaries and small fields beside the file.
_FORM_OVERHEAD_BYTES = 64 << 10
_MAX_PART_HEAD_BYTES = 8 << 10
_MAX_FIELD_BYTES = 1 << 10
_MAX_PARTS = 16

_CONTENT_HEADERS = ((b"content-type", b"application/octet-stream"),)


async def handle(
    req: http.Request, customer: str, deps: dependencies.Dependencies
) -> None:
    """Handles a request whose path starts with `/v1/files`.

    Raises:
        errors.CallerError: The request was refused or failed.
    """
    try:
        await _dispatch(req, customer, deps)
    except batch_errors.BatchError as exc:
        raise caller_error(exc) from exc


def caller_error(exc: batch_errors.BatchError) -> errors.CallerError:
    """Returns the error that reports a batch error to the caller."""
    match exc:
        case batch_errors.NotFoundError():
            status = 404
        case batch_errors.InvalidError(param=param):
            return errors.bad_request(exc.message, param or None)
        case batch_errors.TooLargeError():
            status = 413
        case batch_errors.ConflictError():
            status = 409
        case batch_errors.UnavailableError():
            return errors.CallerError(
                503, exc.code, exc.message, ran=exc.ran, retry_after_ms=1000
            )
        case _:
            status = 500
    return errors.CallerError(status, exc.code, exc.message, ran=exc.ran)


def check_method(req: http.Request, allowed: str) -> None:
    """Raises errors.CallerError unless the request's method is `allowed`."""
    if req.method != allowed:
        raise errors.CallerError(
            405,
            "method_not_allowed",
            f"method {req.method} is not allowed here",
            headers=((b"allow", allowed.encode()),),
        )


async def _dispatch(
    req: http.Request, customer: str, deps: dependencies.Dependencies
) -> None:
    match req.path.removeprefix(_PATH).split("/"):
        case [""] | ["", ""]:
            check_method(req, "POST")
            await _upload(req, customer, deps)
        case ["", file_id]:
            check_method(req, "GET")
            found = await deps.batch_intake.file_info(customer, file_id)
            await req.respond_json(_describe(found))
        case ["", file_id, "content"]:
            check_method(req, "GET")
            chunks = await deps.batch_intake.file_content(customer, file_id)
            await _send_content(req, chunks)
        case _:
            raise errors.CallerError(404, "not_found", "no such path")


async def _upload(
    req: http.Request, customer: str, deps: dependencies.Dependencies
) -> None:
    boundary = _parse_boundary(req)
    limit = deps.batch_intake.max_file_bytes + _FORM_OVERHEAD_BYTES
    req.check_length(limit)
    form = _FormReader(req, boundary, limit)
    filename = await form.find_file()
    stored = await deps.batch_intake.store_file(
        customer, filename, _PURPOSE, form.read_file()
    )
    await req.respond_json(_describe(stored))


async def _send_content(
    req: http.Request, chunks: AsyncIterator[bytes]
) -> None:
    # The first chunk is read before the response starts, so that a failure of
    # the log is reported with its status.
    first = await anext(chunks, b"")
    await req.start(200, _CONTENT_HEADERS)
    await req.write(first)
    async for chunk in chunks:
        await req.write(chunk)
    await req.end()


def _describe(file: files.File) -> dict[str, Any]:
    return {
        "id": file.file_id,
        "object": "file",
        "bytes": file.size if file.size >= 0 else None,
        "created_at": file.created_ms // 1000,
        "filename": file.filename,
        "purpose": file.purpose,
        "status": "processed",
    }


def _parse_boundary(req: http.Request) -> bytes:
    head = b"content-type: " + req.header(b"content-type") + b"\r\n\r\n"
    parsed = _parse_headers(head)
    boundary = parsed.get_boundary()
    if parsed.get_content_type() != "multipart/form-data" or not boundary:
        raise errors.bad_request("the body must be multipart/form-data")
    return boundary.encode("latin-1", "replace")


def _parse_headers(data: bytes) -> email.message.Message:
    parser = email.parser.BytesHeaderParser(policy=email.policy.HTTP)
    return parser.parsebytes(data)


class _FormReader:
    """Incremental parser of a multipart form with one file.

    The file's content is yielded in chunks as it arrives. Only the headers of
    each part go through the email parser, since that parser would keep the
    whole file in memory.
    """

    __slots__ = (
        "_buffer",
        "_delimiter",
        "_in_part",
        "_parts",
        "_purpose",
        "_remaining_bytes",
        "_req",
    )

    def __init__(self, req: http.Request, boundary: bytes, limit: int) -> None:
        self._req = req
        self._delimiter = b"\r\n--" + boundary
        # The first delimiter may lack the line break before it.
        self._buffer = bytearray(b"\r\n")
        self._remaining_bytes = limit
        self._in_part = True
        self._parts = itertools.count()
        self._purpose = ""

    async def find_file(self) -> str:
        """Reads the form up to the file's content; returns the file's name."""
        while (head := await self._next_part_head()) is not None:
            if _field_name(head) == "file":
                return head.get_filename() or "file"
            await self._read_field(head)
        raise errors.bad_request("the form has no file", "file")

    async def read_file(self) -> AsyncIterator[bytes]:
        """Yields the file's content, then checks the rest of the form."""
        async for chunk in self._part_content():
            yield chunk
        while (head := await self._next_part_head()) is not None:
            await self._read_field(head)
        while await self._read_chunk():
            self._buffer.clear()
        if self._purpose != _PURPOSE:
            raise errors.bad_request(f"purpose must be {_PURPOSE!r}", "purpose")

    async def _read_field(self, head: email.message.Message) -> None:
        value = bytearray()
        async for chunk in self._part_content():
            value += chunk
            if len(value) > _MAX_FIELD_BYTES:
                raise errors.bad_request("a field of the form is too long")
        if _field_name(head) == "file":
            raise errors.bad_request("the form has more than one file", "file")
        if _field_name(head) == "purpose":
            self._purpose = value.decode("utf-8", "replace")

    async def _next_part_head(self) -> email.message.Message | None:
        """Returns the headers of the next part, None after the last one."""
        if self._in_part:
            async for _ in self._part_content():
                pass
        while len(self._buffer) < 2:
            await self._require_more()
        if self._buffer.startswith(b"--"):
            return None
        if next(self._parts) >= _MAX_PARTS:
            raise errors.bad_request("the form has too many parts")
        while (end := self._buffer.find(b"\r\n\r\n")) < 0:
            if len(self._buffer) > _MAX_PART_HEAD_BYTES:
                raise errors.bad_request(
                    "the headers of a form part are too long"
                )
            await self._require_more()
        head = bytes(self._buffer[: end + 4]).lstrip()
        # The line break before a delimiter is part of the delimiter, also
        # after a part without content, so the last one of the headers is kept.
        del self._buffer[: end + 2]
        self._in_part = True
        return _parse_headers(head)

    async def _part_content(self) -> AsyncIterator[bytes]:
        """Yields the content of the current part; consumes its delimiter."""
        keep = len(self._delimiter) - 1
        # The line break that was kept after the headers is not content.
        skip = 2
        while (end := self._buffer.find(self._delimiter)) < 0:
            if len(self._buffer) > keep + skip:
                yield bytes(self._buffer[skip:-keep])
                del self._buffer[:-keep]
                skip = 0
            await self._require_more()
        chunk = bytes(self._buffer[skip:end])
        del self._buffer[: end + len(self._delimiter)]
        self._in_part = False
        if chunk:
            yield chunk

    async def _require_more(self) -> None:
        if not await self._read_chunk():
            raise errors.bad_request("the form is incomplete")

    async def _read_chunk(self) -> bool:
        chunk = await self._req.next_chunk()
        if chunk is None:
            return False
        self._remaining_bytes -= len(chunk)
        if self._remaining_bytes < 0:
            raise errors.CallerError(
                413,
                "file_too_large",
                "the file is too large",
                ran=base_errors.Ran.NOT_RUN,
            )
        self._buffer += chunk
        return True


def _field_name(head: email.message.Message) -> str:
    name = head.get_param("name", "", "content-disposition")
    return name if isinstance(name, str) else ""
