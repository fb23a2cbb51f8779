"""Storage of uploaded files as chunks on streams of the log."""

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

# The log accepts records below 1 MiB; the difference leaves space for the other
# fields of the record.
CHUNK_BYTES = 768 * 1024
MAX_FILE_BYTES = 512 * 1024 * 1024
# An item is sent in one message between processes and its result is in one
# record, so a line must be smaller than a record.
MAX_LINE_BYTES = 512 * 1024

_APPEND_TIMEOUT_MS = 10_000.0
# A page of 8 chunks is 6 MiB, which bounds the memory of one reader.
_PAGE_RECORDS = 8
_TAIL_RECORDS = 8
_LINES_PER_CHECKPOINT = 64


class File(msgspec.Struct, tag="seal"):
    """A complete file; on the log, the record that ends the file's chunks.

    Attributes:
        file_id: Random id.
        customer: Customer to whom the file belongs.
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
        """Stores a file; returns only once its `File` record is on the log.

        Raises:
            errors.TooLargeError: The file exceeds the size limit.
            errors.UnavailableError: The log is down; the file does not exist.
        """
        file_id = "file-" + secrets.token_hex(12)
        digest = hashlib.sha256()
        line_counter = _LineCounter()
        size = chunks = 0
        async for data in _regroup(pieces):
            size += len(data)
            if size > self._max_bytes:
                raise errors.TooLargeError(
                    f"the file is larger than {self._max_bytes} bytes"
                )
            digest.update(data)
            line_counter.feed(data)
            await self._append(file_id, Chunk(chunks, data))
            chunks += 1
        seal = File(
            file_id,
            customer,
            filename,
            purpose,
            size,
            digest.hexdigest(),
            line_counter.total(),
            chunks,
            created_ms,
        )
        await self._append(file_id, seal)
        return seal

    async def info(self, file_id: str) -> File:
        """Returns a file's description.

        Raises:
            errors.NotFoundError: There is no such file, or it is incomplete.
            errors.CorruptError: The file may have expired.
            errors.UnavailableError: The log is down.
        """
        page = await self._read(file_id, 0, 1)
        first, end = page.first, page.head
        while end > first:
            start = max(first, end - _TAIL_RECORDS)
            page = await self._read(file_id, start, end - start)
            for entry in page.entries:
                record = _decode_record(entry.data)
                if isinstance(record, File):
                    return record
            end = start
        if first:
            raise errors.CorruptError(f"file {file_id} has expired")
        raise errors.NotFoundError(f"file {file_id} not found")

    async def read(self, file_id: str) -> AsyncIterator[bytes]:
        """Iterates over a file's content.

        Raises:
            errors.CorruptError: Content is missing or fails the checksum.
            errors.UnavailableError: The log is down.
        """
        digest = hashlib.sha256()
        chunk_count = 0
        async for record in self._records(file_id):
            match record:
                case Chunk(data=data):
                    digest.update(data)
                    chunk_count += 1
                    yield data
                case File() as seal:
                    _check_content(seal, chunk_count, digest.hexdigest())

    async def copy(self, file_id: str) -> None:
        """Appends a copy of a file, whose records are about to expire.

        Holds one page of chunks in memory at a time.

        Raises:
            errors.CorruptError: Content is missing.
            errors.UnavailableError: The log is down; the copy is incomplete.
        """
        async for record in self._records(file_id):
            await self._append(file_id, record)

    async def _records(self, file_id: str) -> AsyncIterator[Chunk | File]:
        """Iterates over the chunks in order, each once, and then the `File`."""
        start = chunk_count = 0
        while True:
            page = await self._read(file_id, start, _PAGE_RECORDS)
            if not page.entries:
                raise errors.CorruptError(
                    f"file {file_id} is incomplete: found {chunk_count} chunks"
                )
            for entry in page.entries:
                match _decode_record(entry.data):
                    case Chunk(index=index) as chunk if index == chunk_count:
                        chunk_count += 1
                        yield chunk
                    # An earlier `File` record, whose first chunks have expired,
                    # may precede that of a complete copy.
                    case File(chunks=chunks) as seal if chunk_count >= chunks:
                        yield seal
                        return
            start = page.entries[-1].offset + 1

    async def read_lines(self, file_id: str) -> AsyncIterator[bytes]:
        """Iterates over the lines like `read_numbered`, without numbers."""
        async for _, line in self.read_numbered(file_id):
            yield line

    async def read_numbered(
        self, file_id: str
    ) -> AsyncIterator[tuple[int, bytes]]:
        """Iterates over the lines that are not blank, without line feeds.

        Yields each line's number, counted from 1 over all lines, and the line.

        Raises:
            errors.InvalidError: A line is longer than `MAX_LINE_BYTES`.
            errors.CorruptError: Content is missing or fails the checksum.
            errors.UnavailableError: The log is down.
        """
        partial_line = b""
        number = 0
        async for data in self.read(file_id):
            parts = (partial_line + data).split(b"\n")
            partial_line = parts.pop()
            for line in parts:
                number += 1
                if number % _LINES_PER_CHECKPOINT == 0:
                    await trio.lowlevel.checkpoint()
                _check_length(line, number)
                if line.strip():
                    yield number, line
            _check_length(partial_line, number + 1)
        if partial_line.strip():
            yield number + 1, partial_line

    async def _append(self, file_id: str, record: File | Chunk) -> None:
        data = _encoder.encode(record)
        name = stream_name(file_id)
        await appends.append(
            self._log, self._clock, name, data, _APPEND_TIMEOUT_MS
        )

    async def _read(
        self, file_id: str, start: int, limit: int
    ) -> log_types.Page:
        """Reads from `start`, or from the oldest record if `start` expired."""
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
    """Counts the lines that are not blank in consecutive parts of a file."""

    __slots__ = ("_count", "_line_blank")

    def __init__(self) -> None:
        self._count = 0
        self._line_blank = True

    def feed(self, data: bytes) -> None:
        parts = data.split(b"\n")
        for part in parts[:-1]:
            self._count += bool(not self._line_blank or part.strip())
            self._line_blank = True
        self._line_blank = self._line_blank and not parts[-1].strip()

    def total(self) -> int:
        return self._count + (not self._line_blank)


async def _regroup(pieces: AsyncIterable[bytes]) -> AsyncIterator[bytes]:
    """Regroups pieces of any size into chunks of `CHUNK_BYTES`."""
    buffer = bytearray()
    async for piece in pieces:
        buffer += piece
        while len(buffer) >= CHUNK_BYTES:
            yield bytes(buffer[:CHUNK_BYTES])
            del buffer[:CHUNK_BYTES]
    if buffer:
        yield bytes(buffer)


def stream_name(file_id: str) -> str:
    """Returns the name of a file's stream on the log."""
    return f"file/{file_id}"


def _decode_record(data: bytes) -> File | Chunk | None:
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError:
        return None


def _check_content(seal: File, chunks: int, sha256: str) -> None:
    if chunks != seal.chunks or sha256 != seal.sha256:
        raise errors.CorruptError(
            f"file {seal.file_id} is corrupt: {chunks} of {seal.chunks} "
            "chunks, or the checksum differs"
        )


def _check_length(line: bytes, number: int) -> None:
    if len(line) > MAX_LINE_BYTES:
        raise errors.InvalidError(
            f"line {number} is longer than {MAX_LINE_BYTES} bytes", number
        )
