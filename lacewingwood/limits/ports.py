"""Interfaces that the rate limiter requires from the rest of the process."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Protocol

from lacewingwood.peers import messages
from lacewingwood.state import records


class Leases(Protocol):
    """The leases, whose holders own the parts of the buckets."""

    def holder(self, name: str) -> records.Member | None:
        """Returns the process that holds a lease, None if none does."""

    def held(self, name: str) -> int | None:
        """Returns the epoch of a lease, None if it may not be used here now."""

    def prior(self, name: str) -> int | None:
        """Returns the offset of the change before a lease's last claim."""

    def fresh(self) -> bool:
        """Returns whether this process's view is known to be current."""


class Network(Protocol):
    """Transport to the other processes."""

    def handle(
        self,
        message_type: type[messages.Message],
        handler: Callable[[Any], Awaitable[messages.Message | None]],
    ) -> None:
        """Registers the coroutine function that handles a type of message."""

    async def call(
        self, address: str, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Sends a request and returns the answer."""

    def send(self, address: str, message: messages.Message) -> None:
        """Sends a message that has no answer."""
