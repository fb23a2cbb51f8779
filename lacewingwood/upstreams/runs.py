"""Interface to replicas: sending a request and reading its response.

A run is one attempt of a request at one replica.
"""

import contextlib
import dataclasses
import math
from collections.abc import Callable
from typing import Protocol

import msgspec

from lacewingwood.routing import directory

Headers = list[tuple[bytes, bytes]]


class Work(msgspec.Struct):
    """A request to run at a replica.

    Attributes:
        request_id: Identity that the replica returns with its response.
        method: HTTP method.
        target: Path and query as the caller sent them.
        headers: The caller's headers to forward; names in lower case.
        body: The whole body.
        customer: Name of the customer, empty on a public route.
        prompt: Ids of the parts of the prompt, in order. Requests share all
            but the last, which belongs to the request or to its session.
    """

    request_id: str
    method: str
    target: bytes
    headers: Headers
    body: bytes
    customer: str
    prompt: tuple[str, ...] = ()


class Notice(msgspec.Struct, frozen=True):
    """What a replica says of itself in the head of a response.

    Attributes:
        in_flight: Requests that it runs and queues, -1 if it states no number.
        rate_limit: Requests a second that it takes from all gateways together,
            None if it names no limit.
        leaving: True if it is about to end and takes no new work.
        slowness: How long work takes on its host at this moment, 1.0 as usual,
            None if it does not say.
    """

    in_flight: int = -1
    rate_limit: float | None = None
    leaving: bool = False
    slowness: float | None = None


@dataclasses.dataclass(slots=True)
class Timing:
    """When the events of a run came.

    Attributes:
        first_ms: Time of the first numbered event, 0 before it.
        last_ms: Time of the last numbered event.
        gaps: Number of numbered events after those that came first.
        paused_ms: Time since the first event that its receiver spent on other
            than waiting for events.
    """

    first_ms: float = 0.0
    last_ms: float = 0.0
    gaps: int = 0
    paused_ms: float = 0.0


class Run(Protocol):
    """One run at one replica, once the head of its response has arrived.

    Attributes:
        status: HTTP status.
        headers: Response headers for the caller.
        refused: True if the replica states that it did not run the request.
        misdirected: True if another replica has this address now.
        notice: What the replica says of itself.
    """

    status: int
    headers: Headers
    refused: bool
    misdirected: bool
    notice: Notice

    async def next_chunk(self, limit_ms: float = math.inf) -> bytes:
        """Returns the next piece of the body, empty at its end.

        Raises:
            errors.UpstreamError: The response broke off, or no data arrived
                for `limit_ms`.
        """


class ReplicaClient(Protocol):
    """Client that runs requests at replicas."""

    def open(
        self,
        replica: directory.Listing,
        work: Work,
        remaining_ms: float,
        resume_after: int | None = None,
        head_limit_ms: float = math.inf,
        fresh: bool = False,
        on_send: Callable[[], None] = lambda: None,
    ) -> contextlib.AbstractAsyncContextManager[Run]:
        """Sends a request and waits for the head of its response.

        Leaving the context early closes the connection, and the replica drops
        the request.

        Args:
            replica: Replica that runs the request.
            work: Request to run.
            remaining_ms: Time until the caller stops waiting.
            resume_after: Id of the last event received by an earlier run.
            head_limit_ms: Longest wait for the head of the response.
            fresh: True to use a connection that nothing was sent on before.
            on_send: Called right before the first byte is sent. If the context
                is cancelled after that, the request may have run.

        Raises:
            errors.UpstreamError: No response; `ran` tells whether the request
                may have run.
        """

    async def has_stopped(self, replica: directory.Listing) -> bool:
        """Returns whether a replica no longer accepts connections.

        Its runs have then ended with it, or nobody can reach them.
        """
