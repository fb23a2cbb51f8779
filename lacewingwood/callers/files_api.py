"""OpenAI's interface for files: upload, description and content."""

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

# Room for the form's boundaries and small fields beside the file.
_FORM_BYTES = 64 << 10
_MAX_HEAD_BYTES = 8 << 10
_MAX_FIELD_BYTES = 1 << 10
_MAX_PARTS = 16

_CONTENT_HEADERS = ((b"content-type", b"application/octet-stream"),)


async def handle(
    req: http.Request, customer: str, deps: dependencies.Dependencies
) -> None:
    """Answers a request whose path starts with `/v1/files`.

    Raises:
        errors.CallerError: It is refused or failed.
    """
    try:
        await _dispatch(req, customer, deps)
    except batch_errors.BatchError as exc:
        raise caller_error(exc) from exc


def caller_error(exc: batch_errors.BatchError) -> errors.CallerError:
    """Returns what a caller sees of a failure in the batch layer."""
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
            found = await deps.batch.file_info(customer, file_id)
            await req.respond_json(_describe(found))
        case ["", file_id, "content"]:
            check_method(req, "GET")
            pieces = await deps.batch.file_content(customer, file_id)
            await _send(req, pieces)
        case _:
            raise errors.CallerError(404, "not_found", "no such path")


async def _upload(
    req: http.Request, customer: str, deps: dependencies.Dependencies
) -> None:
    boundary = _boundary(req)
    limit = deps.batch.max_file_bytes + _FORM_BYTES
    req.check_length(limit)
    form = _Form(req, boundary, limit)
    filename = await form.find_file()
    stored = await deps.batch.store_file(
        customer, filename, _PURPOSE, form.file_and_rest()
    )
    await req.respond_json(_describe(stored))


async def _send(req: http.Request, pieces: AsyncIterator[bytes]) -> None:
    # The first piece is read before the answer starts, so that a failure of
    # the log is reported as such.
    first = await anext(pieces, b"")
    await req.start(200, _CONTENT_HEADERS)
    await req.write(first)
    async for piece in pieces:
        await req.write(piece)
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


def _boundary(req: http.Request) -> bytes:
    head = b"content-type: " + req.header(b"content-type") + b"\r\n\r\n"
    parsed = _parse_head(head)
    boundary = parsed.get_boundary()
    if parsed.get_content_type() != "multipart/form-data" or not boundary:
        raise errors.bad_request("the body must be multipart/form-data")
    return boundary.encode("latin-1", "replace")


def _parse_head(data: bytes) -> email.message.Message:
    parser = email.parser.BytesHeaderParser(policy=email.policy.HTTP)
    return parser.parsebytes(data)


class _Form:
    """Reads a form whose file is passed on in pieces as it arrives.

    Only the head of each part goes through the email parser, since that parser
    would keep the whole file in memory.
    """

    __slots__ = (
        "_buffer",
        "_delimiter",
        "_in_part",
        "_left",
        "_parts",
        "_purpose",
        "_req",
    )

    def __init__(self, req: http.Request, boundary: bytes, limit: int) -> None:
        self._req = req
        self._delimiter = b"\r\n--" + boundary
        # The first delimiter may lack the line break before it.
        self._buffer = bytearray(b"\r\n")
        self._left = limit
        self._in_part = True
        self._parts = itertools.count()
        self._purpose = ""

    async def find_file(self) -> str:
        """Reads up to the file's content and returns the file's name."""
        while (head := await self._next_head()) is not None:
            if _field_name(head) == "file":
                return head.get_filename() or "file"
            await self._read_field(head)
        raise errors.bad_request("the form has no file", "file")

    async def file_and_rest(self) -> AsyncIterator[bytes]:
        """Yields the file's content; checks the fields after it at the end."""
        async for piece in self._data():
            yield piece
        while (head := await self._next_head()) is not None:
            await self._read_field(head)
        while await self._fill():
            self._buffer.clear()
        if self._purpose != _PURPOSE:
            raise errors.bad_request(f"purpose must be {_PURPOSE!r}", "purpose")

    async def _read_field(self, head: email.message.Message) -> None:
        value = bytearray()
        async for piece in self._data():
            value += piece
            if len(value) > _MAX_FIELD_BYTES:
                raise errors.bad_request("a field of the form is too long")
        if _field_name(head) == "file":
            raise errors.bad_request("the form has more than one file", "file")
        if _field_name(head) == "purpose":
            self._purpose = value.decode("utf-8", "replace")

    async def _next_head(self) -> email.message.Message | None:
        """Returns the head of the next part, None after the last."""
        if self._in_part:
            async for _ in self._data():
                pass
        while len(self._buffer) < 2:
            await self._need_more()
        if self._buffer.startswith(b"--"):
            return None
        if next(self._parts) >= _MAX_PARTS:
            raise errors.bad_request("the form has too many parts")
        while (end := self._buffer.find(b"\r\n\r\n")) < 0:
            if len(self._buffer) > _MAX_HEAD_BYTES:
                raise errors.bad_request("a head in the form is too long")
            await self._need_more()
        head = bytes(self._buffer[: end + 4]).lstrip()
        # The line break before a delimiter belongs to it, also in a part
        # without content, so the head's last one is kept.
        del self._buffer[: end + 2]
        self._in_part = True
        return _parse_head(head)

    async def _data(self) -> AsyncIterator[bytes]:
        """Yields what precedes the next delimiter, and passes over that."""
        keep = len(self._delimiter) - 1
        skip = 2
        while (end := self._buffer.find(self._delimiter)) < 0:
            if len(self._buffer) > keep + skip:
                yield bytes(self._buffer[skip:-keep])
                del self._buffer[:-keep]
                skip = 0
            await self._need_more()
        piece = bytes(self._buffer[skip:end])
        del self._buffer[: end + len(self._delimiter)]
        self._in_part = False
        if piece:
            yield piece

    async def _need_more(self) -> None:
        if not await self._fill():
            raise errors.bad_request("the form ends early")

    async def _fill(self) -> bool:
        chunk = await self._req.next_chunk()
        if chunk is None:
            return False
        self._left -= len(chunk)
        if self._left < 0:
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
