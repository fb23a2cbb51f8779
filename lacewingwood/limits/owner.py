"""Answers borrow requests for the parts of buckets that this process owns."""

from collections.abc import Callable

from lacewingwood import clock as clock_lib
from lacewingwood import metrics as metrics_lib
from lacewingwood.limits import errors
from lacewingwood.limits import lender
from lacewingwood.limits import ports
from lacewingwood.limits import split
from lacewingwood.peers import messages

FindLimit = Callable[[str], split.Limit | None]


class _HeldLease:
    """The parts owned under one claim of a lease.

    Attributes:
        epoch: Fencing number of the lease.
        lend_from_ms: Time at which all pieces lent by earlier owners have
            expired.
        parts: The parts by customer.
    """

    __slots__ = ("epoch", "lend_from_ms", "parts")

    def __init__(self, epoch: int, lend_from_ms: float) -> None:
        self.epoch = epoch
        self.lend_from_ms = lend_from_ms
        self.parts: dict[str, lender.Lender] = {}


class Owner:
    """The parts of customers' buckets whose leases this process holds."""

    def __init__(
        self,
        leases: ports.Leases,
        find_limit: FindLimit,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Registry,
        region: str,
        never_held: Callable[[str], bool],
    ) -> None:
        """Creates an owner without parts.

        Args:
            leases: The leases on bucket parts.
            find_limit: Returns a customer's limit in this region by name, None
                if there is no such customer.
            clock: Source of time.
            metrics: Counts requests for parts that are not owned here.
            region: Region in the names of leases, empty if there is only one.
            never_held: Returns whether a lease certainly had no earlier
                holder, so that no earlier owner can have lent anything.
        """
        self._leases = leases
        self._find_limit = find_limit
        self._clock = clock
        self._metrics = metrics
        self._region = region
        self._never_held = never_held
        self._held_leases: dict[str, _HeldLease] = {}
        self._closed = False

    def update_leases(self) -> None:
        """Notes leases that have become usable and starts their waiting time.

        After it, all pieces lent by earlier owners have expired.
        """
        for name in split.lease_names(self._region):
            self._held_lease(name)

    def lend(self, msg: messages.Borrow) -> messages.Lent:
        """Lends a piece of a part.

        Raises:
            errors.NotOwnerError: Another process may own the part.
            errors.OutdatedError: The borrower has sent a later message and no
                longer waits for this answer.
        """
        part = self._part(msg.customer, msg.part)
        lent = part.borrow(msg, self._clock.now_ms())
        if lent is None:
            raise errors.OutdatedError("a later message was already handled")
        return lent

    def take_back(self, msg: messages.Return) -> None:
        """Takes back a piece.

        Raises:
            errors.NotOwnerError: Another process may own the part.
        """
        part = self._part(msg.customer, msg.part)
        part.take_back(msg, self._clock.now_ms())

    def hand_over(self) -> list[messages.HandOver]:
        """Stops lending; returns the messages to the next owners.

        The caller must set the `released` field of each message.
        """
        now_ms = self._clock.now_ms()
        names = split.lease_names(self._region)
        held_leases = [(name, self._held_lease(name)) for name in names]
        self._closed = True
        handed = [
            _hand_over_message(name, held_lease, now_ms)
            for name, held_lease in held_leases
            if held_lease is not None
        ]
        return [msg for msg in handed if msg is not None]

    def take_over(self, msg: messages.HandOver, prior: int | None) -> None:
        """Takes over the state of the previous owner and starts to lend.

        Args:
            msg: The previous owner's message.
            prior: Offset of the lease's last change before this process's
                claim.

        Raises:
            errors.NotOwnerError: This process does not hold the lease, or is
                not the direct successor of the sender.
        """
        held_lease = self._held_lease(msg.lease)
        if held_lease is None or prior != msg.released:
            raise errors.NotOwnerError(
                f"the lease {msg.lease} was not taken over from the sender"
            )
        now_ms = self._clock.now_ms()
        lend_from_ms = now_ms + max(0.0, msg.lend_in_ms)
        index = split.part_index(msg.lease)
        for part in msg.parts:
            if self._find_limit(part.customer) is not None:
                owned_part = self._part(part.customer, index)
                owned_part.take_over(part, lend_from_ms, now_ms)
        handed = {part.customer for part in msg.parts}
        for customer, other in held_lease.parts.items():
            if customer not in handed:
                empty = messages.HandedPart(customer, 0.0, [])
                other.take_over(empty, lend_from_ms, now_ms)
        held_lease.lend_from_ms = min(held_lease.lend_from_ms, lend_from_ms)

    def _held_lease(self, name: str) -> _HeldLease | None:
        """Returns the state of a lease, None if it may not be used now."""
        if self._closed or not self._leases.fresh():
            return None
        epoch = self._leases.held(name)
        if epoch is None:
            return None
        held_lease = self._held_leases.get(name)
        if held_lease is None or held_lease.epoch != epoch:
            wait_ms = 0.0 if self._never_held(name) else lender.TTL_MS
            held_lease = _HeldLease(epoch, self._clock.now_ms() + wait_ms)
            self._held_leases[name] = held_lease
        return held_lease

    def _part(self, customer: str, index: int) -> lender.Lender:
        name = split.lease_name(customer, index, self._region)
        held_lease = self._held_lease(name)
        limit = self._find_limit(customer)
        if held_lease is None or limit is None:
            self._metrics.add("limit_not_owner")
            raise errors.NotOwnerError(
                f"unknown customer or no usable lease {name}"
            )
        now_ms = self._clock.now_ms()
        part = held_lease.parts.get(customer)
        if part is None:
            part = held_lease.parts[customer] = lender.Lender(
                held_lease.epoch,
                index,
                limit,
                now_ms,
                held_lease.lend_from_ms,
                never_lent=self._never_held(name),
            )
        part.set_limit(limit, now_ms)
        return part


def _hand_over_message(
    name: str, held_lease: _HeldLease, now_ms: float
) -> messages.HandOver | None:
    """Returns the hand-over message, None if a part can't be handed over."""
    parts = []
    for customer, part in held_lease.parts.items():
        handed = part.hand_over(now_ms)
        if handed is None:
            return None
        handed.customer = customer
        parts.append(handed)
    lend_in_ms = max(0.0, held_lease.lend_from_ms - now_ms)
    return messages.HandOver(name, -1, lend_in_ms, parts)
