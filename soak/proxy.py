"""A TCP proxy on loopback that injects network faults into connections."""

import contextlib
import dataclasses
import enum

import trio

_CHUNK_BYTES = 1 << 16
_POLL_S = 0.05


class Mode(enum.Enum):
    """Fault that the proxy injects.

    Attributes:
        PASS: None; data is forwarded.
        DELAY: Each chunk of data is delayed.
        RESET: Open and new connections are closed.
        REFUSE: New connections are closed, open ones are kept.
        SILENT: No data is forwarded; connections stay open.
        ONE_WAY: Data is forwarded to the server and not to the client.
    """

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    REFUSE = "refuse"
    SILENT = "silent"
    ONE_WAY = "one_way"


@dataclasses.dataclass(slots=True)
class Proxy:
    """Forwards connections to one address.

    Attributes:
        target: `IP:PORT` to which connections are forwarded.
        mode: Fault injected into new and open connections.
        delay_s: Delay of each chunk in mode DELAY.
        address: `IP:PORT` that the proxy listens on, once `run` has started.
    """

    target: str
    mode: Mode = Mode.PASS
    delay_s: float = 0.08
    address: str = ""
    _scopes: set[trio.CancelScope] = dataclasses.field(default_factory=set)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    def set_mode(self, mode: Mode) -> None:
        """Changes the fault; RESET also closes the open connections."""
        self.mode = mode
        if mode is Mode.RESET:
            for scope in self._scopes:
                scope.cancel()

    async def _serve(self, client: trio.SocketStream) -> None:
        with trio.CancelScope() as scope, contextlib.suppress(OSError):
            self._scopes.add(scope)
            try:
                async with client:
                    await self._connect(client)
            finally:
                self._scopes.discard(scope)

    async def _connect(self, client: trio.SocketStream) -> None:
        if self.mode in (Mode.REFUSE, Mode.RESET):
            return
        host, _, port = self.target.rpartition(":")
        server = await trio.open_tcp_stream(host, int(port))
        async with server, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, client, server, True, nursery)
            nursery.start_soon(self._copy, server, client, False, nursery)

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        to_server: bool,
        nursery: trio.Nursery,
    ) -> None:
        try:
            while data := await source.receive_some(_CHUNK_BYTES):
                while self._is_blocked(to_server):
                    await trio.sleep(_POLL_S)
                if self.mode is Mode.DELAY:
                    await trio.sleep(self.delay_s)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()

    def _is_blocked(self, to_server: bool) -> bool:
        """Returns whether the mode blocks data of this direction."""
        if self.mode is Mode.SILENT:
            return True
        return self.mode is Mode.ONE_WAY and not to_server
