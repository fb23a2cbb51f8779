"""What the state layer needs of the log and of the peers' transport."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Protocol

from lacewingwood.log import types as log_types
from lacewingwood.peers import messages

CONTROL = "control"


class Log(Protocol):
    """The log service's client.

    Its calls end within a bounded time, with a log.errors.LogError if need be.
    """

    async def append(self, stream: str, data: bytes) -> int:
        """Appends a record and returns its offset."""

    async def read(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> log_types.Page:
        """Reads records from `start` on, waiting for one if there is none."""


class Network(Protocol):
    """The transport between the system's own processes."""

    def handle(
        self,
        message_type: type[messages.Message],
        handler: Callable[[Any], Awaitable[messages.Message]],
    ) -> None:
        """Answers requests of a type with what `handler` returns."""

    async def call(
        self, address: str, request: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Returns the answer of the process at `address`.

        Raises:
            lacewingwood.errors.Error: There was no answer.
        """
