"""Runs of requests at replicas, as the product sees them."""

import contextlib
import math
from typing import Protocol

import msgspec

from lacewingwood.routing import directory

Headers = list[tuple[bytes, bytes]]


class Work(msgspec.Struct):
    """What a replica is asked to run.

    Attributes:
        request_id: Identity that the replica echoes.
        method: HTTP method.
        target: Path and query as the caller sent them.
        headers: The caller's headers that are passed on; names in lower case.
        body: The whole body.
        customer: Name of the customer, empty on a public route.
    """

    request_id: str
    method: str
    target: bytes
    headers: Headers
    body: bytes
    customer: str


class Run(Protocol):
    """One run at one replica, from the head of its answer on.

    Attributes:
        status: HTTP status.
        headers: The answer's headers for the caller.
        refused: True if the replica says that it did not run the request.
        misdirected: True if another replica has this address now.
        held: Requests that the replica says it runs and queues, -1 if unsaid.
    """

    status: int
    headers: Headers
    refused: bool
    misdirected: bool
    reported_in_flight: int

    async def next_chunk(self, limit_ms: float = math.inf) -> bytes:
        """Returns the next piece of the body, empty at its end.

        Raises:
            errors.UpstreamError: The answer broke off, or nothing came for
                `limit_ms`.
        """


class ReplicaClient(Protocol):
    """Opens runs at replicas."""

    def open(
        self,
        replica: directory.Listing,
        work: Work,
        remaining_ms: float,
        resume_after: int | None = None,
        head_limit_ms: float = math.inf,
        fresh: bool = False,
    ) -> contextlib.AbstractAsyncContextManager[Run]:
        """Sends a request and waits for the head of its answer.

        Leaving the context early closes the connection, and the replica drops
        the request.

        Args:
            replica: Where to run it.
            work: What to run.
            remaining_ms: How long the caller still waits.
            resume_after: Id of the last event that is already known.
            head_limit_ms: Longest wait for the head of the answer.
            fresh: True to use a connection that nothing was sent on before.

        Raises:
            errors.UpstreamError: No answer came; `ran` tells the rest.
        """

    async def has_stopped(self, replica: directory.Listing) -> bool:
        """Returns whether a replica takes no connections any more.

        Its runs have then ended with it, or can't be reached by anybody.
        """
