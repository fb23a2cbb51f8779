"""Session in which an operator reads and publishes configuration."""

import contextlib
import getpass
import secrets
import socket
from collections.abc import AsyncIterator
from typing import Any

import trio

from lacewingwood import clock
from lacewingwood import metrics
from lacewingwood.log import client as log_client
from lacewingwood.operators import errors
from lacewingwood.peers import messages
from lacewingwood.state import errors as state_errors
from lacewingwood.state import follower as follower_lib
from lacewingwood.state import records
from lacewingwood.state import view as view_lib

_LOAD_TIMEOUT_S = 20.0


class _NoPeerNetwork:
    """Peer network of an operator's client, which has no peers."""

    __slots__ = ()

    def handle(self, message_type: type, handler: Any) -> None:
        """Ignores the handler, since no message can arrive."""

    async def call(
        self, address: str, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Raises errors.StaleError, since there is no peer to call."""
        raise state_errors.StaleError(
            f"cannot call {address}: operators' clients have no peers"
        )


class Session:
    """Reads and publishes configuration as an operator."""

    __slots__ = ("_follower",)

    def __init__(self, follower: follower_lib.Follower) -> None:
        self._follower = follower

    @property
    def view(self) -> view_lib.View:
        """The configuration as of the last read of the log."""
        return self._follower.view

    async def publish(
        self, body: records.Body, based_on: int | None = None
    ) -> int:
        """Publishes one change and returns its offset once it has been applied.

        Args:
            body: The change.
            based_on: Offset of the entity's last change in the view, -1 if
                none, or None to publish without a check for conflicts.

        Raises:
            errors.ConflictError: Another operator changed the same entity.
            errors.UnavailableError: The change was not seen on the log in time.
        """
        try:
            return await self._follower.publish(body, based_on=based_on)
        except state_errors.ConflictError as exc:
            raise errors.ConflictError(exc.message) from exc
        except state_errors.UnavailableError as exc:
            raise errors.UnavailableError(exc.message) from exc


@contextlib.asynccontextmanager
async def connect(log_url: str) -> AsyncIterator[Session]:
    """Opens a session whose view is complete and up to date.

    Raises:
        errors.UnavailableError: The log could not be read in time.
    """
    name = f"operator-{getpass.getuser()}@{socket.gethostname()}"
    follower = follower_lib.Follower(
        log_client.LogClient(log_url),
        _NoPeerNetwork(),
        clock.MonotonicClock(),
        f"{name}-{secrets.token_hex(4)}",
        "",
        metrics.Registry(),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        with trio.move_on_after(_LOAD_TIMEOUT_S) as scope:
            while not (follower.ready and follower.fresh()):
                await trio.sleep(0.01)
        if scope.cancelled_caught:
            nursery.cancel_scope.cancel()
            raise errors.UnavailableError(
                f"could not read the log at {log_url} within"
                f" {_LOAD_TIMEOUT_S:g} s; nothing was changed"
            )
        yield Session(follower)
        nursery.cancel_scope.cancel()
