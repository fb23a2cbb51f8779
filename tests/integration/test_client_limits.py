"""Tests of a gateway whose clients exceed the limits.

They check the gateway's process only, and no time and no share of requests,
which depend on the machine. The crowd and the bounds were fixed on code without
a memory budget, where each crowd but that of empty lines exceeds a bound.
"""

import collections
import dataclasses
import os
import pathlib
import select
import socket
import time
from collections.abc import Iterator
from concurrent import futures

import pytest

from devtools import fleet as fleets

_MEMORY_MB = 76
_MAX_FDS = 160
_CLIENTS = 200
_BODY_BYTES = 1 << 20
# The limits in the configuration that the gateways follow.
_LIMITS = {
    "max_header_bytes": 8_192,
    "max_body_bytes": 4 << 20,
    "header_timeout_ms": 1_000,
    "idle_timeout_ms": 5_000,
}
# A crowd stops sending after this time, or once nothing is taken from it.
_SENDING_S = 15.0
_STALLED_S = 2.0
_POLL_MS = 20
_SEND_BYTES = 64 << 10

_HEADERS = {
    "Host": fleets.HOST,
    "Authorization": f"Bearer {fleets.KEY}",
    "Deadline-Ms": "5000",
}
_HEAD = "".join(f"{name}: {value}\r\n" for name, value in _HEADERS.items())
_POST = f"POST /s/x HTTP/1.1\r\n{_HEAD}".encode()


def _with_length(size: int) -> bytes:
    head = _POST + b"Content-Length: %d\r\n\r\n" % size
    # Stops six bytes short of the end of the body.
    return head + b"x" * (size - 6)


def _chunked(size: int, count: int) -> bytes:
    chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
    # Without the last chunk, which would end the body.
    return _POST + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * count


@dataclasses.dataclass(slots=True, kw_only=True)
class _Form:
    """What each client of a crowd sends before it waits.

    Attributes:
        data: All that is sent; the request is never complete.
        piece: Most bytes of a client that are sent at once.
    """

    data: bytes
    piece: int = _SEND_BYTES


_FORMS = {
    "endless_head": _Form(data=_POST + b"X: " + b"a" * (120 << 10)),
    "long_head": _Form(
        data=_POST + b"X: " + b"a" * (256 << 10) + b"\r\n", piece=4 << 10
    ),
    "many_fields": _Form(
        data=_POST + b"".join(b"F%d: a\r\n" % n for n in range(10_000))
    ),
    "empty_lines": _Form(data=b"\r\n" * (60 << 10)),
    "whole_bodies": _Form(data=_with_length(_BODY_BYTES)),
    "slow_bodies": _Form(data=_with_length(_BODY_BYTES), piece=8 << 10),
    "large_chunks": _Form(data=_chunked(64 << 10, 16)),
    "tiny_chunks": _Form(data=_chunked(1, 2_000)),
}


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[fleets.Fleet]:
    """Runs the store and a replica; each test starts a gateway."""
    shape = fleets.Shape(
        gateways=0,
        replicas=1,
        process_limits={"memory_mb": _MEMORY_MB, "max_fds": _MAX_FDS},
        client_limits=_LIMITS,
    )
    directory: pathlib.Path = tmp_path_factory.mktemp("fleet")
    with fleets.running(shape, directory) as running:
        yield running


@pytest.fixture
def gateway(
    fleet: fleets.Fleet, request: pytest.FixtureRequest
) -> Iterator[fleets.Gateway]:
    """Runs a gateway that no test used before."""
    started = fleet.add_gateway(f"gateway-{len(fleet.gateways)}", "zone-0")
    fleet.wait_ready()
    yield started
    assert started.process is not None
    started.process.kill()
    started.process.wait()


class _Process:
    """Resources of a gateway's process, from /proc."""

    def __init__(self, gateway: fleets.Gateway) -> None:
        assert gateway.process is not None
        self._directory = pathlib.Path(f"/proc/{gateway.process.pid}")
        self.most_descriptors = 0

    def count_descriptors(self) -> None:
        count = len(os.listdir(self._directory / "fd"))
        self.most_descriptors = max(self.most_descriptors, count)

    def most_resident_bytes(self) -> int:
        """Returns the largest resident memory since the process started."""
        lines = (self._directory / "status").read_text("ascii").splitlines()
        fields = dict(line.split(":", 1) for line in lines)
        return int(fields["VmHWM"].split()[0]) << 10


class _Crowd:
    """Clients that send the same data at the same time and stay open."""

    def __init__(self, gateway: fleets.Gateway, form: _Form) -> None:
        self._form = form
        self._sent: collections.Counter[socket.socket] = collections.Counter()
        host, _, port = gateway.address.rpartition(":")
        for _ in range(_CLIENTS):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex((host, int(port)))
            self._sent[sock] = 0

    def send(self, process: _Process) -> None:
        """Sends until all is sent or nothing more is taken."""
        end = time.monotonic() + _SENDING_S
        stalled = time.monotonic() + _STALLED_S
        waiting = {sock.fileno(): sock for sock in self._sent}
        poll = select.poll()
        for number in waiting:
            poll.register(number, select.POLLOUT)
        while waiting and time.monotonic() < min(end, stalled):
            process.count_descriptors()
            for number, _ in poll.poll(_POLL_MS):
                if self._send_piece(waiting[number]):
                    stalled = time.monotonic() + _STALLED_S
                else:
                    poll.unregister(number)
                    del waiting[number]
        process.count_descriptors()

    def close(self) -> None:
        for sock in self._sent:
            sock.close()

    def _send_piece(self, sock: socket.socket) -> bool:
        """Returns whether the client has more to send."""
        start = self._sent[sock]
        piece = self._form.data[start : start + self._form.piece]
        try:
            self._sent[sock] += sock.send(piece)
        except BlockingIOError:
            return True
        except OSError:
            # The gateway refused the client.
            return False
        return self._sent[sock] < len(self._form.data)


def _is_answered(gateway: fleets.Gateway, body: bytes = b"{}") -> bool:
    """Returns whether an ordinary request gets its whole response."""
    end = time.monotonic() + 40
    while time.monotonic() < end:
        status, events = fleets.call(
            gateway.address, "POST", "/s/x", body, _HEADERS
        )
        if status == 200 and events.count(b"data: ") == 8:
            return True
        time.sleep(0.2)
    return False


@pytest.mark.parametrize("form", _FORMS.values(), ids=_FORMS.keys())
def test_crowd_does_not_exhaust_the_process(
    gateway: fleets.Gateway, form: _Form
) -> None:
    """Guards against clients that use up a gateway's memory or descriptors."""
    process = _Process(gateway)
    crowd = _Crowd(gateway, form)
    try:
        crowd.send(process)
        answered = _is_answered(gateway)
        process.count_descriptors()
        figures = (
            process.most_resident_bytes() / (1 << 20),
            process.most_descriptors,
        )
    finally:
        crowd.close()
    assert gateway.running
    assert answered
    assert figures[0] < _MEMORY_MB, figures
    assert figures[1] < _MAX_FDS, figures


def test_largest_request_is_served_in_calm(gateway: fleets.Gateway) -> None:
    """Guards against limits that refuse a request of the largest legal size."""
    process = _Process(gateway)
    assert _is_answered(gateway, b"x" * _LIMITS["max_body_bytes"])
    assert process.most_resident_bytes() < _MEMORY_MB << 20


def test_whole_large_requests_do_not_exhaust_the_process(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against copies of bodies, made while they are sent to replicas."""
    shape = fleets.Shape(
        gateways=1,
        replicas=1,
        process_limits={"memory_mb": 170, "max_fds": 4_100},
        client_limits=_LIMITS,
    )
    body = b"x" * _LIMITS["max_body_bytes"]
    with fleets.running(shape, tmp_path) as running:
        (started,) = running.gateways
        process = _Process(started)
        with futures.ThreadPoolExecutor(20) as clients:
            for _ in range(20):
                clients.submit(
                    fleets.call, started.address, "POST", "/s/x", body, _HEADERS
                )
        assert _is_answered(started)
        assert started.running
        assert process.most_resident_bytes() < 170 << 20
