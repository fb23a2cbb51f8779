"""An asynchronous HTTP/1.1 client for many requests at once."""

import asyncio


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> tuple[int, bytes]:
    """Makes a call on a new connection.

    Returns:
        The status, and the raw rest of the connection; status 0 without one.
    """
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {
                **headers,
                "Connection": "close",
                "Content-Length": str(len(body)),
            }
            lines = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
            head = f"{method} {target} HTTP/1.1\r\n{lines}\r\n"
            writer.write(head.encode("latin-1") + body)
            data = await reader.read(-1)
    except (OSError, TimeoutError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
    parts = data.split(b" ", 2)
    return (int(parts[1]) if len(parts) > 2 else 0), data
