"""Stand-in for the platform's host list, which shows changes with a delay."""

import collections

import msgspec
import trio

from lacewingwood.hostlist import types
from standins import server


class HostList:
    """The hosts as of `lag_ms` ago; `handle` answers requests.

    Attributes:
        lag_ms: Delay until a change is visible to readers.
    """

    def __init__(self, lag_ms: float) -> None:
        self.lag_ms = lag_ms
        self._hosts: dict[str, types.Host] = {}
        self._visible: list[types.Host] = []
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
                self._record_change()
                await request.answer(204)
            case "DELETE" if host_id != request.path:
                self._hosts.pop(host_id, None)
                self._record_change()
                await request.answer(204)
            case _:
                await request.answer(404)

    def _record_change(self) -> None:
        self._pending.append((_now_ms(), list(self._hosts.values())))

    def _list(self) -> list[types.Host]:
        until_ms = _now_ms() - self.lag_ms
        while self._pending and self._pending[0][0] <= until_ms:
            self._visible = self._pending.popleft()[1]
        return self._visible


def _now_ms() -> float:
    return trio.current_time() * 1000
