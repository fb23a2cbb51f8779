"""What the owner of a bucket part knows of each entry that borrows from it."""

import dataclasses

from lacewingwood.peers import messages


@dataclasses.dataclass(slots=True)
class Share:
    """Rate and depth of a piece until `end_ms`."""

    rate: float = 0.0
    depth: float = 0.0
    end_ms: float = float("-inf")


@dataclasses.dataclass(slots=True)
class Offer:
    """An answer that the entry may have applied or may yet apply."""

    share: Share
    added: float
    applied_by_ms: float
    answer: messages.Lent


@dataclasses.dataclass(slots=True)
class Borrower:
    """What the owner knows of one entry.

    Attributes:
        held: Piece that the entry has or had before it applied `offer`.
        offer: The last answer, until a later message tells if it was applied.
        quota: Rate and depth that the entry may keep after the customer's
            limit was lowered; at other times no less than what it has.
        serial: Serial of its last message.
        demand: Its arrivals a second.
        seen_ms: Time of its last message.
    """

    held: Share
    quota: Share
    serial: int = 0
    offer: Offer | None = None
    demand: float = 0.0
    seen_ms: float = 0.0

    def lent(self, now_ms: float) -> tuple[float, float]:
        """Returns the most rate and depth that the entry can have."""
        live = self.held.end_ms > now_ms
        rate = self.held.rate if live else 0.0
        depth = self.held.depth if live else 0.0
        offer = self.offer
        if offer is not None and offer.share.end_ms > now_ms:
            if now_ms < offer.applied_by_ms:
                depth += offer.added
            rate = max(rate, offer.share.rate)
            depth = max(depth, offer.share.depth)
        return rate, depth

    def left_ms(self, now_ms: float) -> float:
        """Returns the time until nothing is lent any more."""
        ends = [self.held.end_ms]
        if self.offer is not None:
            ends += [self.offer.share.end_ms, self.offer.applied_by_ms]
        return max(0.0, max(ends) - now_ms)

    def kept(self, now_ms: float) -> tuple[float, float]:
        """Returns what it will have once a lowered limit is in effect."""
        rate, depth = self.lent(now_ms)
        return min(rate, self.quota.rate), min(depth, self.quota.depth)
