"""A replica that fails part of its requests with 429 after running them.

It follows the platform's protocol in all else: a response that says that a
request was not run has `Not-Executed`, and these responses have none.
"""

import dataclasses
import random
import socket
import threading
import time


@dataclasses.dataclass(slots=True)
class Run:
    """A request that a replica has run."""

    request_id: str
    body: bytes
    status: int


class Replica:
    """A replica on a port of its own.

    Attributes:
        id: Its id.
        runs: What it has run.
    """

    def __init__(self, number: int, failing_share: float) -> None:
        self.id = f"i-{number:08x}"
        self.runs: list[Run] = []
        self._failing_share = failing_share
        self._rng = random.Random(number)
        self._born = time.time_ns() // 1_000_000
        self._sequence = 0
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(100)
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, service: str) -> dict[str, object]:
        """Returns the next heartbeat for the list of replicas."""
        self._sequence += 1
        host, port = self._listener.getsockname()
        return {
            "service": service,
            "address": f"{host}:{port}",
            "zone": "semarang",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": self._sequence,
            "born": self._born,
        }

    def _accept(self) -> None:
        while True:
            conn, _ = self._listener.accept()
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()

    def _serve(self, conn: socket.socket) -> None:
        with conn, conn.makefile("rb") as reader:
            while line := reader.readline():
                headers: dict[str, str] = {}
                while (field := reader.readline().strip()) != b"":
                    name, _, value = field.decode("latin-1").partition(":")
                    headers[name.lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                body = reader.read(size)
                conn.sendall(self._answer(line, headers, body))

    def _answer(
        self, line: bytes, headers: dict[str, str], body: bytes
    ) -> bytes:
        request_id = headers.get("request-id", "")
        if headers.get("expected-instance", self.id) != self.id:
            return _encode(421, request_id, b"", b"Not-Executed: 1\r\n")
        if not request_id or not line.startswith(b"POST "):
            return _encode(400, request_id, b"", b"Not-Executed: 1\r\n")
        fails = self._rng.random() < self._failing_share
        status = 429 if fails else 200
        self.runs.append(Run(request_id, body, status))
        events = [b"id: %d\ndata: %s\n\n" % (n, body) for n in range(1, 9)]
        time.sleep(0.02)
        answer = b"" if fails else b"".join(events)
        return _encode(status, request_id, answer)


def _encode(
    status: int, request_id: str, body: bytes, fields: bytes = b""
) -> bytes:
    head = b"HTTP/1.1 %d -\r\nRequest-Id: %s\r\n" % (
        status,
        request_id.encode(),
    )
    if not fields:
        fields = b"Response-Seal: %s\r\n" % request_id.encode()
    if body:
        fields += b"Content-Type: text/event-stream\r\n"
    return head + fields + b"Content-Length: %d\r\n\r\n" % len(body) + body
