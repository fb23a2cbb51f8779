"""Orders to the engine stand-in: loading models and changing roles."""

import urllib.parse

import httpcore
import msgspec
import trio

from lacewingwood.upstreams import types
from standins import server


class Done(msgspec.Struct):
    """An order and what became of it.

    Attributes:
        order: The order.
        outcome: `running`, `done` or `failed`.
    """

    order: types.Order
    outcome: str = "running"


class Orders:
    """Carries out orders in order of arrival.

    Attributes:
        versions: Versions loaded, by model.
        role: Current role.
        done: Orders accepted so far.
    """

    def __init__(
        self, versions: dict[str, str], check_fencing: bool, weights_url: str
    ) -> None:
        self.versions = versions
        self.role = ""
        self.done: list[Done] = []
        self._check_fencing = check_fencing
        self._weights_url = weights_url
        self._highest = 0
        self._seen: set[str] = set()
        self._send, self._receive = trio.open_memory_channel[Done](1000)

    async def handle(self, request: server.Request) -> None:
        """Answers `POST /orders` before the order has been carried out."""
        order = msgspec.json.decode(await request.body(), type=types.Order)
        if order.order_id in self._seen:
            await request.answer_json(200, {"repeated": True})
            return
        if self._check_fencing and order.fencing < self._highest:
            await request.answer_json(409, {"highest": self._highest})
            return
        self._highest = max(self._highest, order.fencing)
        self._seen.add(order.order_id)
        done = Done(order)
        self.done.append(done)
        await self._send.send(done)
        await request.answer_json(200, {"repeated": False})

    async def run(self) -> None:
        """Carries out orders for ever."""
        async for done in self._receive:
            try:
                await self._carry_out(done.order)
                done.outcome = "done"
            except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
                done.outcome = "failed"

    async def _carry_out(self, order: types.Order) -> None:
        match order.kind:
            case "load":
                await self._download(order)
                self.versions[order.model] = order.version
            case "unload":
                if self.versions.get(order.model) == order.version:
                    del self.versions[order.model]
            case "role":
                self.role = order.role

    async def _download(self, order: types.Order) -> None:
        if not self._weights_url:
            return
        name = urllib.parse.quote(f"{order.model}/{order.version}")
        url = f"{self._weights_url}/artifacts/{name}"
        async with (
            httpcore.AsyncConnectionPool() as pool,
            pool.stream("GET", url) as response,
        ):
            if response.status != 200:
                raise OSError(f"weight store answered {response.status}")
            async for _ in response.aiter_stream():
                pass
