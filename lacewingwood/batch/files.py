"""Uploaded files, kept as chunks on streams of the log."""

import hashlib
import secrets
from collections.abc import AsyncIterable
from collections.abc import AsyncIterator

import msgspec
import trio

from lacewingwood import clock as clocks
from lacewingwood.batch import appends
from lacewingwood.batch import deps
from lacewingwood.batch import errors
from lacewingwood.log import errors as log_errors
from lacewingwood.log import types as log_types

# The log takes records below 1 MiB; the rest is room for the record's fields.
CHUNK_BYTES = 768 * 1024
MAX_FILE_BYTES = 512 * 1024 * 1024
# An item travels in one message between processes and is answered in one
# record, so that a line has to be smaller than a record.
MAX_LINE_BYTES = 512 * 1024

_APPEND_MS = 10_000.0
# A page of 8 chunks is 6 MiB, which bounds what one reader holds.
_PAGE_RECORDS = 8
_TAIL_RECORDS = 8
_LINES_PER_CHECKPOINT = 64


class File(msgspec.Struct, tag="seal"):
    """A complete file; on the log it is the record that seals the stream.

    Attributes:
        file_id: Random identity.
        customer: Owner of the file.
        filename: Name given by the caller.
        purpose: Purpose given by the caller, such as `batch`.
        size: Length in bytes.
        sha256: Digest of the content, hexadecimal.
        lines: Number of lines that are not blank.
        chunks: Number of chunks.
        created_ms: Wall-clock time, ms since the epoch.
    """

    file_id: str
    customer: str
    filename: str
    purpose: str
    size: int
    sha256: str
    lines: int
    chunks: int
    created_ms: int


class Chunk(msgspec.Struct, tag="chunk"):
    """Part of a file.

    Attributes:
        index: Position among the chunks, from 0.
        data: The bytes.
    """

    index: int
    data: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(File | Chunk)


class FileStore:
    """Stores files on the log and reads them back."""

    __slots__ = ("_clock", "_log", "_max_bytes")

    def __init__(
        self,
        log: deps.Log,
        clock: clocks.Clock,
        max_bytes: int = MAX_FILE_BYTES,
    ) -> None:
        self._log = log
        self._clock = clock
        self._max_bytes = max_bytes

    async def store(
        self,
        customer: str,
        filename: str,
        purpose: str,
        pieces: AsyncIterable[bytes],
        created_ms: int,
    ) -> File:
        """Stores a file; returns only once its seal is on the log.

        Raises:
            errors.TooLargeError: It is larger than the bound.
            errors.UnavailableError: The log is down; there is no such file.
        """
        file_id = "file-" + secrets.token_hex(12)
        digest = hashlib.sha256()
        lines = _LineCounter()
        size = chunks = 0
        async for data in _regroup(pieces):
            size += len(data)
            if size > self._max_bytes:
                raise errors.TooLargeError(
                    f"the file is larger than {self._max_bytes} bytes"
                )
            digest.update(data)
            lines.feed(data)
            await self._append(file_id, Chunk(chunks, data))
            chunks += 1
        seal = File(
            file_id,
            customer,
            filename,
            purpose,
            size,
            digest.hexdigest(),
            lines.total(),
            chunks,
            created_ms,
        )
        await self._append(file_id, seal)
        return seal

    async def info(self, file_id: str) -> File:
        """Returns a file's seal.

        Raises:
            errors.NotFoundError: There is no such file, or it is incomplete.
            errors.UnavailableError: The log is down.
        """
        page = await self._read(file_id, 0, 1)
        first, end = page.first, page.head
        while end > first:
            start = max(first, end - _TAIL_RECORDS)
            page = await self._read(file_id, start, end - start)
            for entry in page.entries:
                record = _decode(entry.data)
                if isinstance(record, File):
                    return record
            end = start
        if first:
            raise errors.CorruptError(f"file {file_id} has expired")
        raise errors.NotFoundError(f"no file {file_id}")

    async def read(self, file_id: str) -> AsyncIterator[bytes]:
        """Iterates over a file's content.

        Raises:
            errors.CorruptError: Content is missing or differs from the seal.
            errors.UnavailableError: The log is down.
        """
        digest = hashlib.sha256()
        expected = 0
        async for record in self._records(file_id):
            match record:
                case Chunk(data=data):
                    digest.update(data)
                    expected += 1
                    yield data
                case File() as seal:
                    _check(seal, expected, digest.hexdigest())

    async def copy(self, file_id: str) -> None:
        """Appends a copy of a file before its records fall off the log.

        Holds a page of chunks at a time.

        Raises:
            errors.CorruptError: Content is missing.
            errors.UnavailableError: The log is down; the copy is incomplete.
        """
        async for record in self._records(file_id):
            await self._append(file_id, record)

    async def _records(self, file_id: str) -> AsyncIterator[Chunk | File]:
        """Iterates over the chunks in order, each once, and then the seal."""
        start = expected = 0
        while True:
            page = await self._read(file_id, start, _PAGE_RECORDS)
            if not page.entries:
                raise errors.CorruptError(
                    f"file {file_id} is incomplete: {expected} chunks"
                )
            for entry in page.entries:
                match _decode(entry.data):
                    case Chunk(index=index) as chunk if index == expected:
                        expected += 1
                        yield chunk
                    # Before the seal of a copy there may be one whose first
                    # chunks have expired.
                    case File(chunks=chunks) as seal if expected >= chunks:
                        yield seal
                        return
            start = page.entries[-1].offset + 1

    async def read_lines(self, file_id: str) -> AsyncIterator[bytes]:
        """Iterates over the lines as `read_numbered`, without numbers."""
        async for _, line in self.read_numbered(file_id):
            yield line

    async def read_numbered(
        self, file_id: str
    ) -> AsyncIterator[tuple[int, bytes]]:
        """Iterates over the lines that are not blank, without their ends.

        Yields each line's number, counted from 1 over all lines, and the line.

        Raises:
            errors.InvalidError: A line is longer than `MAX_LINE_BYTES`.
            errors.CorruptError: Content is missing or differs from the seal.
            errors.UnavailableError: The log is down.
        """
        rest = b""
        number = 0
        async for data in self.read(file_id):
            parts = (rest + data).split(b"\n")
            rest = parts.pop()
            for line in parts:
                number += 1
                if number % _LINES_PER_CHECKPOINT == 0:
                    await trio.lowlevel.checkpoint()
                _check_length(line, number)
                if line.strip():
                    yield number, line
            _check_length(rest, number + 1)
        if rest.strip():
            yield number + 1, rest

    async def _append(self, file_id: str, record: File | Chunk) -> None:
        data = _encoder.encode(record)
        name = stream_name(file_id)
        await appends.append(self._log, self._clock, name, data, _APPEND_MS)

    async def _read(
        self, file_id: str, start: int, limit: int
    ) -> log_types.Page:
        """Reads from `start`, or from the first record that is left."""
        while True:
            try:
                return await self._log.read(
                    stream_name(file_id), start, limit, 0
                )
            except log_errors.OffsetExpiredError as exc:
                if exc.first <= start:
                    message = f"file {file_id} has expired"
                    raise errors.CorruptError(message) from exc
                start = exc.first
            except log_errors.LogError as exc:
                raise errors.UnavailableError(exc.message) from exc


class _LineCounter:
    """Counts lines that are not blank over pieces of a file."""

    __slots__ = ("_count", "_rest_blank")

    def __init__(self) -> None:
        self._count = 0
        self._rest_blank = True

    def feed(self, data: bytes) -> None:
        parts = data.split(b"\n")
        for part in parts[:-1]:
            self._count += bool(not self._rest_blank or part.strip())
            self._rest_blank = True
        self._rest_blank = self._rest_blank and not parts[-1].strip()

    def total(self) -> int:
        return self._count + (not self._rest_blank)


async def _regroup(pieces: AsyncIterable[bytes]) -> AsyncIterator[bytes]:
    buffer = bytearray()
    async for piece in pieces:
        buffer += piece
        while len(buffer) >= CHUNK_BYTES:
            yield bytes(buffer[:CHUNK_BYTES])
            del buffer[:CHUNK_BYTES]
    if buffer:
        yield bytes(buffer)


def stream_name(file_id: str) -> str:
    """Returns the name of a file's stream."""
    return f"file/{file_id}"


def _decode(data: bytes) -> File | Chunk | None:
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError:
        return None


def _check(seal: File, chunks: int, sha256: str) -> None:
    if chunks != seal.chunks or sha256 != seal.sha256:
        raise errors.CorruptError(
            f"file {seal.file_id} differs from its seal: {chunks} of "
            f"{seal.chunks} chunks"
        )


def _check_length(line: bytes, number: int) -> None:
    if len(line) > MAX_LINE_BYTES:
        raise errors.InvalidError(
            f"line {number} is longer than {MAX_LINE_BYTES} bytes", number
        )
