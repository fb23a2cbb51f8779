"""Orders to the engine stand-in: load and unload models, set the role."""

import urllib.parse

import httpcore
import msgspec
import trio

from lacewingwood.upstreams import types
from standins import server


class OrderStatus(msgspec.Struct):
    """An accepted order and its outcome.

    Attributes:
        order: The order.
        outcome: `running`, `done` or `failed`.
    """

    order: types.Order
    outcome: str = "running"


class Orders:
    """Executes orders in order of arrival.

    Attributes:
        versions: Loaded version of each model.
        role: Current role.
        accepted: Orders accepted so far.
    """

    def __init__(
        self, versions: dict[str, str], check_fencing: bool, weights_url: str
    ) -> None:
        self.versions = versions
        self.role = ""
        self.accepted: list[OrderStatus] = []
        self._check_fencing = check_fencing
        self._weights_url = weights_url
        self._highest_fencing = 0
        self._order_ids: set[str] = set()
        self._send, self._receive = trio.open_memory_channel[OrderStatus](1000)

    async def handle(self, request: server.Request) -> None:
        """Answers `POST /orders` without waiting for the order's execution."""
        order = msgspec.json.decode(await request.body(), type=types.Order)
        if order.order_id in self._order_ids:
            await request.answer_json(200, {"repeated": True})
            return
        if self._check_fencing and order.fencing < self._highest_fencing:
            await request.answer_json(409, {"highest": self._highest_fencing})
            return
        self._highest_fencing = max(self._highest_fencing, order.fencing)
        self._order_ids.add(order.order_id)
        status = OrderStatus(order)
        self.accepted.append(status)
        await self._send.send(status)
        await request.answer_json(200, {"repeated": False})

    async def run(self) -> None:
        """Executes orders until cancelled."""
        async for status in self._receive:
            try:
                await self._execute(status.order)
                status.outcome = "done"
            except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
                status.outcome = "failed"

    async def _execute(self, order: types.Order) -> None:
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
