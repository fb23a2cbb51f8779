"""Calls and one-way messages between the processes of this system.

Messages are gRPC frames on HTTP/2. Each process has one stream to every peer
that it sends to; the answers to its calls come back on the same stream.
"""

from collections.abc import Iterable

import trio

from lacewingwood import clock as clock_lib
from lacewingwood import errors as base_errors
from lacewingwood import metrics as metrics_lib
from lacewingwood.peers import errors
from lacewingwood.peers import incoming
from lacewingwood.peers import link as link_lib
from lacewingwood.peers import messages

_DRAIN_POLL_MS = 10
_CLOSE_TIMEOUT_MS = 1_000


class Network:
    """The peer transport of this process.

    Attributes:
        port: Port on which it listens, 0 before `serve`.
    """

    def __init__(
        self,
        node_id: str,
        metrics: metrics_lib.Registry,
        clock: clock_lib.Clock,
    ) -> None:
        self._node_id = node_id
        self._metrics = metrics
        self._clock = clock
        self._handlers: dict[type, incoming.Handler] = {}
        self._links: dict[str, link_lib.Link] = {}
        self._incoming: set[incoming.IncomingConnection] = set()
        self._listeners: list[trio.SocketListener] = []
        self._accept_scope = trio.CancelScope()
        self._nursery: trio.Nursery | None = None
        self._closing = False
        self._closed = trio.Event()
        self.port = 0

    def handle(
        self, message_type: type[messages.Message], handler: incoming.Handler
    ) -> None:
        """Registers the coroutine function that handles a type of message.

        Handlers run concurrently, in no particular order. An `errors.Error`
        that a handler raises is sent to the caller as `Refused` with its code.
        A handler is cancelled when its caller stops waiting, so its state must
        be consistent at every checkpoint.
        """
        self._handlers[message_type] = handler

    async def call(
        self, address: str, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Sends a request and returns the answer.

        Raises:
            errors.UnreachableError: The connection failed or broke.
            errors.TimeoutError: No answer arrived within `timeout_ms`.
            errors.RefusedError: The peer answered with `Refused`.
        """
        if self._closing:
            raise errors.UnreachableError(
                "the network is closed", base_errors.Ran.NOT_RUN
            )
        return await self._link(address).call(message, timeout_ms)

    def send(self, address: str, message: messages.Message) -> None:
        """Sends a one-way message; never blocks, and may drop the message."""
        if self._closing:
            self._metrics.add("peer_messages_dropped")
            return
        self._link(address).send(message)

    async def serve(self, bind_host: str, port: int) -> None:
        """Listens on `bind_host` and sets `port` to the bound port."""
        listeners = await trio.open_tcp_listeners(port, host=bind_host)
        self.port = listeners[0].socket.getsockname()[1]
        self._listeners += listeners
        if self._nursery is not None:
            for listener in listeners:
                self._nursery.start_soon(self._accept, listener)

    async def run(self) -> None:
        """Runs all connections until `close`."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for listener in self._listeners:
                nursery.start_soon(self._accept, listener)
            for address, link in self._links.items():
                nursery.start_soon(self._run_link, address, link)
            await self._closed.wait()
            nursery.cancel_scope.cancel()

    async def close(self, drain_ms: float = 5_000) -> None:
        """Refuses new calls, waits for running ones, and ends `run`.

        Args:
            drain_ms: Longest wait for running calls in either direction.
        """
        self._closing = True
        self._accept_scope.cancel()
        for listener in self._listeners:
            await listener.aclose()
        for conn in self._incoming:
            conn.refuse_new()
        with trio.move_on_after(drain_ms / 1000):
            await self._wait_until_idle()
        for endpoint in self._endpoints():
            endpoint.finish()
        with trio.move_on_after(_CLOSE_TIMEOUT_MS / 1000):
            while self._incoming:
                await trio.sleep(_DRAIN_POLL_MS / 1000)
        self._closed.set()

    def _endpoints(
        self,
    ) -> Iterable[incoming.IncomingConnection | link_lib.Link]:
        return [*self._incoming, *self._links.values()]

    async def _wait_until_idle(self) -> None:
        while any(endpoint.busy for endpoint in self._endpoints()):
            await trio.sleep(_DRAIN_POLL_MS / 1000)

    def _link(self, address: str) -> link_lib.Link:
        link = self._links.get(address)
        if link is None:
            link = link_lib.Link(
                address, self._node_id, self._metrics, self._clock
            )
            self._links[address] = link
            if self._nursery is not None:
                self._nursery.start_soon(self._run_link, address, link)
        return link

    async def _run_link(self, address: str, link: link_lib.Link) -> None:
        await link.run()
        del self._links[address]

    async def _accept(self, listener: trio.SocketListener) -> None:
        assert self._nursery is not None
        with self._accept_scope:
            await trio.serve_listeners(
                self._serve, [listener], handler_nursery=self._nursery
            )

    async def _serve(self, stream: trio.SocketStream) -> None:
        conn = incoming.IncomingConnection(
            stream, self._handlers, self._metrics
        )
        self._incoming.add(conn)
        try:
            async with stream:
                await conn.run()
        finally:
            self._incoming.discard(conn)
