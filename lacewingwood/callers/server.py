"""Server for ASGI applications over HTTP/1.1 and HTTP/2 without TLS."""

import functools
import sys
from typing import Any
from typing import Protocol
from typing import cast

import structlog
import trio
from hypercorn import app_wrappers
from hypercorn import config as server_config
from hypercorn import typing as server_typing
from hypercorn.trio import worker_context

from lacewingwood.callers import client_limits
from lacewingwood.callers import connection

_MAX_STREAMS_PER_CONNECTION = 1000
_BACKLOG = 1024
# The longest time limit that a request may have, plus a margin.
_DEFAULT_GRACE_MS = 3_700_000.0

_log = structlog.get_logger()


class App(Protocol):
    """An ASGI application with background tasks."""

    async def run_forever(self) -> None:
        """Runs the background tasks until cancelled."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handles one ASGI connection scope."""


async def serve(
    app: App,
    host: str,
    port: int,
    shutdown_event: trio.Event,
    drain_ms: float,
    *,
    grace_ms: float = _DEFAULT_GRACE_MS,
    enforcer: client_limits.Enforcer | None = None,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until `shutdown_event`, then shuts down gracefully.

    Args:
        app: The application.
        host: Address to listen on.
        port: Port to listen on, 0 for any free one.
        shutdown_event: Starts the shutdown.
        drain_ms: Time after the event in which new requests are still served
            while callers are asked to use other connections. After it, no
            connection is accepted.
        grace_ms: Maximum time after that for running requests to complete.
        enforcer: Limits of connections and bodies; None for the defaults.
        task_status: Reports the port that the server listens on.
    """
    listeners = await trio.open_tcp_listeners(port, host=host, backlog=_BACKLOG)
    enforcer = enforcer or client_limits.make_unlimited()
    server = _Server(app, enforcer)
    async with trio.open_nursery() as background:
        background.start_soon(app.run_forever)
        background.start_soon(enforcer.run)
        await server.run(
            listeners, shutdown_event, drain_ms, grace_ms, task_status
        )
        background.cancel_scope.cancel()


class _Server:
    """The server's configuration and its open connections."""

    def __init__(self, app: App, enforcer: client_limits.Enforcer) -> None:
        self._enforcer = enforcer
        self._app = app_wrappers.ASGIWrapper(cast(Any, app))
        self._config = _make_config()
        self._config.max_app_queue_size = enforcer.settings.queued_messages
        self._context = worker_context.WorkerContext(None)
        self._connections: set[connection.Connection] = set()

    async def run(
        self,
        listeners: list[trio.SocketListener],
        shutdown_event: trio.Event,
        drain_ms: float,
        grace_ms: float,
        task_status: trio.TaskStatus[int],
    ) -> None:
        """Accepts and serves connections until all have ended."""
        async with trio.open_nursery() as connections:
            accept = functools.partial(
                trio.serve_listeners,
                self._serve,
                listeners,
                handler_nursery=connections,
            )
            async with trio.open_nursery() as accepting:
                accepting.start_soon(accept)
                task_status.started(listeners[0].socket.getsockname()[1])
                await shutdown_event.wait()
                await self._announce_shutdown()
                await trio.sleep(drain_ms / 1000)
                accepting.cancel_scope.cancel()
            await self._context.terminated.set()
            for conn in list(self._connections):
                conn.end_if_idle()
            deadline = trio.current_time() + grace_ms / 1000
            connections.cancel_scope.deadline = deadline

    async def _serve(self, stream: trio.SocketStream) -> None:
        if not self._enforcer.admit():
            await trio.aclose_forcefully(stream)
            return
        max_head_bytes = self._enforcer.limits.max_header_bytes
        self._config.h11_max_incomplete_size = max_head_bytes
        self._config.h2_max_header_list_size = max_head_bytes
        conn = connection.Connection(
            self._enforcer,
            self._app,
            self._config,
            self._context,
            server_typing.ConnectionState(
                server_typing.LifespanState({"enforcer": self._enforcer})
            ),
            cast(Any, stream),
        )
        self._connections.add(conn)
        try:
            await conn.run()
        except* Exception:
            _log.exception("connection failed")
        finally:
            self._connections.discard(conn)

    async def _announce_shutdown(self) -> None:
        # From here on each HTTP/1.1 response closes its connection.
        self._config.keep_alive_max_requests = 0
        for conn in list(self._connections):
            with trio.move_on_after(1):
                await conn.announce_shutdown()


def _make_config() -> server_config.Config:
    config = server_config.Config()
    config.errorlog = None
    config.accesslog = None
    config.include_server_header = False
    config.h2_max_concurrent_streams = _MAX_STREAMS_PER_CONNECTION
    config.keep_alive_max_requests = sys.maxsize
    return config
