"""Slots on replicas, requests for them, and what gives them."""

import dataclasses
from collections.abc import Collection
from typing import Protocol

from lacewingwood.routing import load
from lacewingwood.routing import speeds


@dataclasses.dataclass(slots=True, eq=False)
class SlotRequest:
    """A request for a slot.

    Attributes:
        service: Service that must run it.
        work: Kind of work.
        rank: Priority, 0 is the highest.
        arrived_ms: Time of arrival.
        objective_ms: Time after `arrived_ms` by which its first event is due.
        deadline_ms: Time after which its caller no longer waits.
        exclude: Replicas that must not be used.
        urgent: True for batch work that may take the last free slots.
        repeatable: True if it may be retried on another replica if it fails.
        version: Software version that must run it, None for any.
        spare: True if it must slow no other request: it never waits, and uses
            a slot only if more than that are free and no request waits.
        avoid_zone: Zone whose replicas are used only if no other has a slot.
        customer: Customer that sent it, empty if it has none.
        tokens: Its estimated work, for the shares of customers.
        hopeless: Set if it was refused since it can't begin before its
            deadline.
    """

    service: str
    work: load.WorkKind
    rank: int = 0
    arrived_ms: float = 0.0
    objective_ms: float = 0.0
    deadline_ms: float = float("inf")
    exclude: set[str] = dataclasses.field(default_factory=set)
    urgent: bool = False
    repeatable: bool = True
    version: str | None = None
    spare: bool = False
    avoid_zone: str | None = None
    customer: str = ""
    tokens: float = 1.0
    hopeless: bool = False

    def allows(self, replica: load.Replica) -> bool:
        """Returns whether a replica may run it, its load aside."""
        if not replica.takes_work or replica.listing.id in self.exclude:
            return False
        return self.version in (None, replica.listing.version)


@dataclasses.dataclass(slots=True, eq=False)
class Slot:
    """A slot on a replica, held until it is released.

    Attributes:
        replica: The replica.
        work: Kind of work.
        held: False once it was released.
        ticket: Number of the ticket under which a coordinator granted it, 0 for
            a slot that was taken without one.
        refused: True if the replica refused the request as full.
        failed: True if the request failed at the replica.
        unused: True if nothing was sent to the replica.
        sent_ms: When the request was sent.
        deviation: How much slower than usual the run was.
    """

    replica: load.Replica
    work: load.WorkKind
    held: bool = True
    ticket: int = 0
    refused: bool = False
    failed: bool = False
    unused: bool = False
    sent_ms: float = 0.0
    deviation: speeds.Deviation = speeds.NO_DEVIATION

    def note_refusal(self, misdirected: bool, now_ms: float) -> None:
        """Records that the request was not run.

        Args:
            misdirected: Whether another replica has the address now; else the
                replica is full.
            now_ms: Current time.
        """
        if misdirected:
            self.replica.note_failure(now_ms)
            self.failed = True
        else:
            self.replica.note_full(now_ms)
            self.refused = True


class Slots(Protocol):
    """Gives slots to requests, and takes them back."""

    @property
    def fleet(self) -> load.Fleet:
        """The replicas and their load as this gateway knows them."""

    def has_replica(
        self,
        service: str,
        exclude: Collection[str] = frozenset(),
        version: str | None = None,
    ) -> bool:
        """Returns whether a service has a usable replica not in `exclude`.

        With `version`, only replicas of that software version count.
        """

    async def acquire(self, req: SlotRequest) -> Slot | None:
        """Waits for a slot.

        Returns:
            None if the deadline passes first, or if it is known before that no
            replica can run the request in time.
        """

    def release(self, slot: Slot) -> None:
        """Releases a slot; further calls have no effect."""
