"""A loopback proxy that delays, resets, cuts and silences connections."""

import contextlib
import dataclasses
import enum

import trio

_CHUNK = 1 << 16
_POLL_S = 0.05


class Mode(enum.Enum):
    """What happens to connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    REFUSE = "refuse"
    SILENT = "silent"
    ONE_WAY = "one_way"


@dataclasses.dataclass(slots=True)
class Proxy:
    """Passes connections on to one address.

    Attributes:
        target: `IP:PORT` that it leads to.
        mode: What happens to new and open connections.
        delay_s: Delay of each piece in mode DELAY.
        address: Where it listens, once `run` has started.
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
        """Changes what happens; RESET also ends the open connections."""
        self.mode = mode
        if mode is Mode.RESET:
            for scope in self._scopes:
                scope.cancel()

    async def _serve(self, near: trio.SocketStream) -> None:
        with trio.CancelScope() as scope, contextlib.suppress(OSError):
            self._scopes.add(scope)
            try:
                async with near:
                    await self._connect(near)
            finally:
                self._scopes.discard(scope)

    async def _connect(self, near: trio.SocketStream) -> None:
        if self.mode in (Mode.REFUSE, Mode.RESET):
            return
        host, _, port = self.target.rpartition(":")
        far = await trio.open_tcp_stream(host, int(port))
        async with far, trio.open_nursery() as nursery:
            nursery.start_soon(self._pump, near, far, True, nursery)
            nursery.start_soon(self._pump, far, near, False, nursery)

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        outward: bool,
        nursery: trio.Nursery,
    ) -> None:
        try:
            while data := await source.receive_some(_CHUNK):
                while self._holds(outward):
                    await trio.sleep(_POLL_S)
                if self.mode is Mode.DELAY:
                    await trio.sleep(self.delay_s)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()

    def _holds(self, outward: bool) -> bool:
        """Returns whether data of this direction is held back now."""
        if self.mode is Mode.SILENT:
            return True
        return self.mode is Mode.ONE_WAY and not outward
