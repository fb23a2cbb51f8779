"""A small HTTP/1.1 server for stand-ins, with the standard library only."""

import asyncio
import urllib.parse
from collections.abc import Awaitable
from collections.abc import Callable


class Request:
    """One request; `answer` or `start`, `chunk` and `end` reply to it."""

    def __init__(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.method = method
        self.path, _, query = target.partition("?")
        self.target = target
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body
        self.writer = writer
        self.keep = True

    async def answer(
        self,
        status: int,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> None:
        """Sends a whole response."""
        fields = {"content-length": str(len(body)), **(headers or {})}
        self.writer.write(_head(status, fields) + body)
        await self.writer.drain()

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Begins a response in chunks."""
        self.writer.write(
            _head(status, {"transfer-encoding": "chunked", **headers})
        )
        await self.writer.drain()

    async def chunk(self, data: bytes) -> None:
        """Sends a chunk."""
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await self.writer.drain()

    async def end(self) -> None:
        """Sends the last chunk."""
        self.writer.write(b"0\r\n\r\n")
        await self.writer.drain()

    def reset(self) -> None:
        """Breaks the connection."""
        self.keep = False
        self.writer.transport.abort()


Handler = Callable[[Request], Awaitable[None]]


async def serve(
    handler: Handler, host: str = "127.0.0.1", port: int = 0
) -> tuple[asyncio.Server, str]:
    """Serves requests; returns the server and its address."""

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await _read(reader, writer)
                if request is None:
                    return
                await _handle(handler, request, reader)
                if not request.keep:
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(run, host, port, limit=1 << 20)
    bound = server.sockets[0].getsockname()
    return server, f"{bound[0]}:{bound[1]}"


async def _handle(
    handler: Handler, request: Request, reader: asyncio.StreamReader
) -> None:
    """Runs a handler; cancels it if the peer closes the connection."""
    task = asyncio.ensure_future(handler(request))
    gone = asyncio.ensure_future(_closed(reader))
    await asyncio.wait({task, gone}, return_when=asyncio.FIRST_COMPLETED)
    if not task.done():
        task.cancel()
        request.keep = False
    gone.cancel()
    await asyncio.gather(task, gone, return_exceptions=True)
    if not task.cancelled() and task.exception() is not None:
        request.keep = False


async def _closed(reader: asyncio.StreamReader) -> None:
    # The clients of these stand-ins never send a request before the response
    # to the one before it, so that buffered bytes need no care.
    while not reader.at_eof():
        await asyncio.sleep(0.005)


async def _read(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Request | None:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    return Request(method, target, headers, body, writer)


def _head(status: int, headers: dict[str, str]) -> bytes:
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} X\r\n{fields}\r\n".encode("latin-1")
