"""Stand-in for the platform's host list, which lags behind changes."""

import collections
import time

import msgspec

from lacewingwood.hostlist import types
from standins import server


class HostList:
    """Hosts as they were `lag_ms` ago; `handle` answers requests."""

    def __init__(self, lag_ms: float) -> None:
        self._lag_ms = lag_ms
        self._hosts: dict[str, types.Host] = {}
        self._shown: list[types.Host] = []
        self._pending: collections.deque[tuple[float, list[types.Host]]] = (
            collections.deque()
        )

    async def handle(self, request: server.Request) -> None:
        """Answers one request."""
        body = await request.body()
        host_id = request.path.removeprefix("/hosts/")
        match request.method:
            case "GET" if request.path == "/hosts":
                await request.answer_json(200, self._list())
            case "PUT" if host_id != request.path:
                host = msgspec.json.decode(body, type=types.Host)
                self._hosts[host_id] = host
                self._changed()
                await request.answer(204)
            case "DELETE" if host_id != request.path:
                self._hosts.pop(host_id, None)
                self._changed()
                await request.answer(204)
            case _:
                await request.answer(404)

    def _changed(self) -> None:
        visible_ms = _now_ms() + self._lag_ms
        self._pending.append((visible_ms, list(self._hosts.values())))

    def _list(self) -> list[types.Host]:
        while self._pending and self._pending[0][0] <= _now_ms():
            self._shown = self._pending.popleft()[1]
        return self._shown


def _now_ms() -> float:
    return time.monotonic() * 1000
