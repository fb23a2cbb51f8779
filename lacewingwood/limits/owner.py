"""Answers other processes for the parts of buckets that this one owns."""

from collections.abc import Callable

from lacewingwood import clock as clock_lib
from lacewingwood import metrics as metrics_lib
from lacewingwood.limits import errors
from lacewingwood.limits import lender
from lacewingwood.limits import ports
from lacewingwood.limits import split
from lacewingwood.peers import messages

LimitOf = Callable[[str], split.Limit | None]


class _Tenure:
    """The parts under one claim of a lease."""

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
        limit_of: LimitOf,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Registry,
        region: str,
        never_held: Callable[[str], bool],
    ) -> None:
        """Makes the owner.

        Args:
            leases: Who owns what.
            limit_of: Returns a customer's limit in this region by name.
            clock: The time.
            metrics: Where refusals are counted.
            region: Region in the names of leases, empty if there is only one.
            never_held: Returns whether a lease certainly had no earlier
                holder, so that no earlier owner can have lent anything.
        """
        self._leases = leases
        self._limit_of = limit_of
        self._clock = clock
        self._metrics = metrics
        self._region = region
        self._never_held = never_held
        self._tenures: dict[str, _Tenure] = {}
        self._closed = False

    def watch(self) -> None:
        """Starts the waiting time of leases that have become usable."""
        for name in split.lease_names(self._region):
            self._tenure(name)

    def lend(self, msg: messages.Borrow) -> messages.Lent:
        """Answers an entry.

        Raises:
            errors.NotOwnerError: Another process may own the part.
            errors.OutdatedError: The entry no longer waits for this answer.
        """
        part = self._part(msg.customer, msg.part)
        lent = part.borrow(msg, self._clock.now_ms())
        if lent is None:
            raise errors.OutdatedError("a later question was answered")
        return lent

    def take_back(self, msg: messages.Return) -> None:
        """Takes a piece back.

        Raises:
            errors.NotOwnerError: Another process may own the part.
        """
        part = self._part(msg.customer, msg.part)
        part.take_back(msg, self._clock.now_ms())

    def hand_over(self) -> list[messages.HandOver]:
        """Ends all lending; returns what the next owners must know.

        Their `released` is still to be filled in.
        """
        now_ms = self._clock.now_ms()
        names = split.lease_names(self._region)
        tenures = [(name, self._tenure(name)) for name in names]
        self._closed = True
        handed = [
            _handed(name, tenure, now_ms)
            for name, tenure in tenures
            if tenure is not None
        ]
        return [msg for msg in handed if msg is not None]

    def take_over(self, msg: messages.HandOver, prior: int | None) -> None:
        """Starts lending what the owner before had not lent.

        Args:
            msg: What the owner before told.
            prior: Offset of the change before this process's claim.

        Raises:
            errors.NotOwnerError: This process does not own the part, or not
                as the direct successor.
        """
        tenure = self._tenure(msg.lease)
        if tenure is None or prior != msg.released:
            raise errors.NotOwnerError(f"{msg.lease} is not held here")
        now_ms = self._clock.now_ms()
        lend_from_ms = now_ms + max(0.0, msg.lend_in_ms)
        index = split.part_of(msg.lease)
        for part in msg.parts:
            if self._limit_of(part.customer) is not None:
                taken = self._part(part.customer, index)
                taken.take_over(part, lend_from_ms, now_ms)
        handed = {part.customer for part in msg.parts}
        for customer, other in tenure.parts.items():
            if customer not in handed:
                nothing = messages.HandedPart(customer, 0.0, [])
                other.take_over(nothing, lend_from_ms, now_ms)
        tenure.lend_from_ms = min(tenure.lend_from_ms, lend_from_ms)

    def _tenure(self, name: str) -> _Tenure | None:
        """Returns the state of a lease that may be used now."""
        if self._closed or not self._leases.fresh():
            return None
        epoch = self._leases.held(name)
        if epoch is None:
            return None
        tenure = self._tenures.get(name)
        if tenure is None or tenure.epoch != epoch:
            wait_ms = 0.0 if self._never_held(name) else lender.TTL_MS
            tenure = _Tenure(epoch, self._clock.now_ms() + wait_ms)
            self._tenures[name] = tenure
        return tenure

    def _part(self, customer: str, index: int) -> lender.Lender:
        name = split.lease_name(customer, index, self._region)
        tenure = self._tenure(name)
        limit = self._limit_of(customer)
        if tenure is None or limit is None:
            self._metrics.add("limit_not_owner")
            raise errors.NotOwnerError(f"{name} is not held here")
        now_ms = self._clock.now_ms()
        part = tenure.parts.get(customer)
        if part is None:
            part = tenure.parts[customer] = lender.Lender(
                tenure.epoch,
                index,
                limit,
                now_ms,
                tenure.lend_from_ms,
                full=self._never_held(name),
            )
        part.set_limit(limit, now_ms)
        return part


def _handed(
    name: str, tenure: _Tenure, now_ms: float
) -> messages.HandOver | None:
    parts = []
    for customer, part in tenure.parts.items():
        handed = part.hand_over(now_ms)
        if handed is None:
            return None
        handed.customer = customer
        parts.append(handed)
    lend_in_ms = max(0.0, tenure.lend_from_ms - now_ms)
    return messages.HandOver(name, -1, lend_in_ms, parts)
