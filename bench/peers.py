"""Measures the cost of calls between peers; prints JSON.

Both ends run in this process, so CPU time is the sum of both. The transport
is compared with plain TCP, on which the same envelopes are sent with a length
prefix of 4 bytes.
"""

import argparse
import json
import struct
import sys
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import trio

from lacewingwood import clock
from lacewingwood import metrics
from lacewingwood.peers import messages
from lacewingwood.peers import network
from lacewingwood.peers import wire

_SIZES = (0, 100, 1_000, 10_000, 100_000)
_CONCURRENCY = (1, 32)
_TIMEOUT_MS = 30_000
_LENGTH = struct.Struct(">I")

Call = Callable[[messages.Message], Awaitable[Any]]


class PlainPeer:
    """One end of a TCP connection with length-prefixed envelopes."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.bytes_sent = 0
        self._stream = stream
        self._outbox = bytearray()
        self._wake = trio.Event()
        self._calls: dict[int, trio.Event] = {}
        self._next_id = 1

    async def call(self, message: messages.Message) -> None:
        """Sends a request and waits for its answer."""
        call_id = self._next_id
        self._next_id += 1
        done = self._calls[call_id] = trio.Event()
        with trio.move_on_after(_TIMEOUT_MS / 1000):
            self._post(wire.Kind.CALL, call_id, message)
            await done.wait()

    async def run(self) -> None:
        """Reads and writes until the other end closes."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write)
            buffer = bytearray()
            while data := await self._stream.receive_some(65536):
                buffer += data
                for payload in _split(buffer):
                    self._dispatch(nursery, payload)
            nursery.cancel_scope.cancel()

    def _dispatch(self, nursery: trio.Nursery, payload: bytes) -> None:
        envelope = wire.decode(payload)
        if envelope.kind is wire.Kind.ANSWER:
            self._calls.pop(envelope.call_id).set()
        else:
            nursery.start_soon(self._answer, envelope)

    async def _answer(
        self, envelope: wire.Envelope | wire.UnknownEnvelope
    ) -> None:
        if isinstance(envelope, wire.UnknownEnvelope):
            return
        answer = await _handle(envelope.body)
        self._post(wire.Kind.ANSWER, envelope.call_id, answer)

    def _post(self, kind: wire.Kind, call_id: int, body: Any) -> None:
        frame = wire.encode(kind, call_id, body)[5:]
        self._outbox += _LENGTH.pack(len(frame)) + frame
        self._wake.set()

    async def _write(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            data, self._outbox = self._outbox, bytearray()
            self.bytes_sent += len(data)
            await self._stream.send_all(data)


def _split(buffer: bytearray) -> list[bytes]:
    payloads = []
    while len(buffer) >= _LENGTH.size:
        end = _LENGTH.size + _LENGTH.unpack_from(buffer)[0]
        if len(buffer) < end:
            break
        payloads.append(bytes(buffer[_LENGTH.size : end]))
        del buffer[:end]
    return payloads


async def _handle(message: Any) -> messages.Message:
    return messages.Lent(7, 1.0, 2.0, 3.0, 15_000.0, 0.0)


def _request(size: int) -> messages.Message:
    return messages.RunItem(
        "job", 1, 2, "replica", "/v1/completions", b"x" * size, "", 1000.0
    )


async def _drive(
    call: Call, sent: Callable[[], float], size: int, parallel: int, count: int
) -> dict[str, float]:
    """Makes `count` calls, `parallel` at a time, and returns their cost."""
    request = _request(size)

    async def repeat(calls: int) -> None:
        for _ in range(calls):
            await call(request)

    await repeat(10)
    bytes_before, cpu_before, wall_before = (
        sent(),
        time.process_time(),
        time.perf_counter(),
    )
    async with trio.open_nursery() as nursery:
        for _ in range(parallel):
            nursery.start_soon(repeat, count // parallel)
    done = count // parallel * parallel
    return {
        "size": size,
        "parallel": parallel,
        "cpu_us_per_call": round(
            (time.process_time() - cpu_before) / done * 1e6, 1
        ),
        "wall_us_per_call": round(
            (time.perf_counter() - wall_before) / done * 1e6, 1
        ),
        "bytes_per_call": round((sent() - bytes_before) / done, 1),
        "payload_bytes": len(wire.encode(wire.Kind.CALL, 100, request)) - 5,
    }


async def _series(
    call: Call, sent: Callable[[], float], count: int
) -> list[dict[str, float]]:
    rows = []
    for size in _SIZES:
        for parallel in _CONCURRENCY:
            calls = max(parallel * 10, count // (1 + size // 10_000))
            rows.append(await _drive(call, sent, size, parallel, calls))
    return rows


async def _grpc(count: int) -> list[dict[str, float]]:
    registry = metrics.Registry()
    nodes = [
        network.Network(name, registry, clock.MonotonicClock())
        for name in ("a", "b")
    ]
    nodes[1].handle(messages.RunItem, _handle)
    await nodes[1].serve("127.0.0.1", 0)
    address = f"127.0.0.1:{nodes[1].port}"

    async def call(message: messages.Message) -> Any:
        return await nodes[0].call(address, message, _TIMEOUT_MS)

    async with trio.open_nursery() as nursery:
        for node in nodes:
            nursery.start_soon(node.run)
        rows = await _series(
            call, lambda: registry.counter("peer_bytes_sent"), count
        )
        nursery.cancel_scope.cancel()
    return rows


async def _plain(count: int) -> list[dict[str, float]]:
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
    port = listener.socket.getsockname()[1]
    client = PlainPeer(await trio.open_tcp_stream("127.0.0.1", port))
    server = PlainPeer(await listener.accept())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(client.run)
        nursery.start_soon(server.run)
        rows = await _series(
            client.call, lambda: client.bytes_sent + server.bytes_sent, count
        )
        nursery.cancel_scope.cancel()
    return rows


def main() -> None:
    """Measures both transports and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=5_000)
    count = parser.parse_args().count
    result = {
        "grpc_http2": trio.run(_grpc, count),
        "trial_plain_tcp": trio.run(_plain, count),
    }
    json.dump(result, sys.stdout, indent=1)
    print()


if __name__ == "__main__":
    main()
