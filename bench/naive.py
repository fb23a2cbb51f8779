"""A naive implementation that serves as the baseline of the benchmark.

`python -m bench.naive entry` relays requests to the replicas round-robin and
gives each entry a fixed share of each limit. `python -m bench.naive batch`
keeps a fixed number of batch items running on the replicas, whatever the
online load. Configuration is a JSON file.
"""

import functools
import itertools
import json
import pathlib
import random
import sys
import time
from typing import Any
from typing import cast

import httpcore
import trio

from lacewingwood.callers import server


class _Bucket:
    """Token bucket of this entry's share of one customer's limit."""

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._last = time.monotonic()

    def admit(self) -> bool:
        now = time.monotonic()
        refill = self._rate * (now - self._last)
        self._level = min(self._burst, self._level + refill)
        self._last = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


class Relay:
    """ASGI application that relays each request to the next replica."""

    def __init__(self, cfg: dict[str, Any]) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=2_000, max_keepalive_connections=500
        )
        self._replicas = itertools.cycle(cfg["engines"])
        entry_count = cfg["entries"]
        self._buckets = {
            key: _Bucket(rate / entry_count, max(1, burst / entry_count))
            for key, (rate, burst) in cfg["keys"].items()
        }

    async def run_forever(self) -> None:
        """Does nothing; the server requires this method."""
        await trio.sleep_forever()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answers one request."""
        if scope["type"] != "http":
            return
        body = await _read_body(receive)
        key = dict(scope["headers"]).get(b"authorization", b"").decode()
        bucket = self._buckets.get(key.removeprefix("Bearer "))
        if bucket is None:
            await _answer(send, 401, b'{"error": {"code": "invalid_key"}}')
        elif not bucket.admit():
            await _answer(send, 429, b'{"error": {"code": "rate_limited"}}')
        else:
            await self._relay(scope["path"], body, send)

    async def _relay(self, path: str, body: bytes, send: Any) -> None:
        url = f"http://{next(self._replicas)}{path}"
        headers = [(b"content-type", b"application/json")]
        async with self._pool.stream(
            "POST", url, headers=headers, content=body
        ) as response:
            await send(
                {
                    "type": "http.response.start",
                    "status": response.status,
                    "headers": [(b"content-type", b"text/event-stream")],
                }
            )
            async for chunk in response.aiter_stream():
                await _send_body(send, chunk, True)
        await _send_body(send, b"", False)


async def _read_body(receive: Any) -> bytes:
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body"):
            return body


async def _answer(send: Any, status: int, body: bytes) -> None:
    headers = [(b"content-type", b"application/json")]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await _send_body(send, body, False)


async def _send_body(send: Any, body: bytes, more: bool) -> None:
    await send({"type": "http.response.body", "body": body, "more_body": more})


async def _run_entry(cfg: dict[str, Any]) -> None:
    async with trio.open_nursery() as nursery:
        serve = functools.partial(
            server.serve, cast(Any, Relay(cfg)), "127.0.0.1", 0, trio.Event(), 0
        )
        port = await nursery.start(serve)
        _print_ready(f"127.0.0.1:{port}")


async def _run_batch(cfg: dict[str, Any]) -> None:
    """Keeps `concurrency` items running until the process is stopped."""
    pool = httpcore.AsyncConnectionPool(
        max_connections=2_000, max_keepalive_connections=500
    )
    replicas = itertools.cycle(cfg["engines"])
    items = itertools.count()
    rng = random.Random(cfg["seed"])

    async def keep_running() -> None:
        while True:
            body = {
                "model": cfg["model"],
                "messages": [
                    {"role": "user", "content": f"{next(items)} {rng.random()}"}
                ],
                "max_tokens": cfg["item_tokens"],
            }
            url = f"http://{next(replicas)}/v1/chat/completions"
            await pool.request("POST", url, content=json.dumps(body).encode())

    async with trio.open_nursery() as nursery:
        for _ in range(cfg["concurrency"]):
            nursery.start_soon(keep_running)
        _print_ready("")


def _print_ready(address: str) -> None:
    print(json.dumps({"ready": True, "address": address}), flush=True)


def main() -> None:
    """Runs one entry or batch process of the naive version."""
    role, path = sys.argv[1:]
    cfg = json.loads(pathlib.Path(path).read_text())
    trio.run(_run_entry if role == "entry" else _run_batch, cfg)


if __name__ == "__main__":
    main()
