"""Interfaces to the log and the peer transport that the state layer uses."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Protocol

from lacewingwood.log import types as log_types
from lacewingwood.peers import messages

CONTROL = "control"


class Log(Protocol):
    """A client of the log service.

    Its calls take a bounded time and raise log.errors.LogError on failure.
    """

    async def append(self, stream: str, data: bytes) -> int:
        """Appends a record and returns its offset."""

    async def read(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> log_types.Page:
        """Reads up to `limit` records from `start` on.

        Waits up to `wait_ms` for a record if there is none.
        """


class Network(Protocol):
    """Transport between the processes of this system."""

    def handle(
        self,
        message_type: type[messages.Message],
        handler: Callable[[Any], Awaitable[messages.Message]],
    ) -> None:
        """Registers the coroutine function that answers a type of request."""

    async def call(
        self, address: str, request: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Returns the answer of the process at `address`.

        Raises:
            lacewingwood.errors.Error: There was no answer.
        """
