"""Tests of streams while replicas of two software versions serve."""

import concurrent.futures
import http.client
import pathlib
import signal
import time

from devtools import fleet as fleets

_HEADERS = {"Host": fleets.HOST, "Authorization": f"Bearer {fleets.KEY}"}
_STREAMS = 24


class _Stream:
    """A stream as its caller receives it, over several requests.

    Attributes:
        versions: Software version that sent each piece.
        last: Id of the last event.
        ended: True once the whole stream has come.
        refused: Requests that were answered with 503.
    """

    def __init__(self, name: str) -> None:
        self.versions: list[str] = []
        self.last = 0
        self.ended = False
        self.refused = 0
        self._name = name
        self._tries = 0
        self._first = ""

    def request(self, gateway: fleets.Gateway, events: int) -> None:
        """Receives the stream, from where it broke off, until it breaks."""
        self._tries += 1
        request_id = f"{self._name}-{self._tries}"
        headers = {**_HEADERS, "Request-Id": request_id, "Deadline-Ms": "5000"}
        if self.last:
            headers["Last-Event-Id"] = str(self.last)
            headers["Resumes"] = self._first
        host, _, port = gateway.address.rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=8)
        try:
            conn.request("POST", "/s/x", b"{}", headers)
            response = conn.getresponse()
            if response.status != 200:
                self.refused += 1
                return
            version = response.headers["Response-Seal"].rpartition(".")[2]
            while line := response.readline():
                if line.startswith(b"id: "):
                    if not self.last:
                        self._first = request_id
                    self.last = int(line[4:])
                    self.versions.append(version)
            self.ended = self.last == events
        except (OSError, http.client.HTTPException):
            pass
        finally:
            conn.close()


def test_streams_are_not_joined_after_all_gateways_were_killed(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a text of which two software versions wrote a part each.

    Two replicas of each version serve. All gateways are killed while streams
    run, and the streams are taken up at gateways that have just started.
    """
    shape = fleets.Shape(replicas=2, events=60, step_ms=40.0)
    with fleets.running(shape, tmp_path) as fleet:
        for _ in range(2):
            fleet.add_replica("v2")
        time.sleep(2.5)
        streams = [_Stream(f"r{n}") for n in range(_STREAMS)]
        with concurrent.futures.ThreadPoolExecutor(_STREAMS) as pool:
            running = [
                pool.submit(stream.request, fleet.gateways[n % 3], shape.events)
                for n, stream in enumerate(streams)
            ]
            time.sleep(1.0)
            for gateway in fleet.gateways:
                gateway.signal(signal.SIGKILL)
                gateway.wait()
            for future in running:
                future.result()
            for gateway in fleet.gateways:
                gateway.start()
            fleet.wait_ready()
            time.sleep(1.0)
            begun = [stream for stream in streams if stream.last]
            taken_up = [
                pool.submit(stream.request, fleet.gateways[n % 3], shape.events)
                for n, stream in enumerate(begun)
            ]
            for future in taken_up:
                future.result()
    assert len(begun) > _STREAMS / 2
    assert {v for s in begun for v in s.versions} == {"v1", "v2"}
    assert all(len(set(stream.versions)) == 1 for stream in begun)
    # All of them could begin, so nearly all must be taken up.
    assert sum(stream.ended for stream in begun) >= 0.9 * len(begun)
