"""Records of what the owner of a bucket part has lent to entry processes."""

import dataclasses

from lacewingwood.peers import messages


@dataclasses.dataclass(slots=True)
class Grant:
    """Rate and depth of a piece that is lent until `expires_ms`."""

    rate: float = 0.0
    depth: float = 0.0
    expires_ms: float = float("-inf")


@dataclasses.dataclass(slots=True)
class PendingAnswer:
    """An answer of which the owner doesn't know whether it was applied.

    Attributes:
        grant: The piece that was lent.
        added_level: Tokens that the answer adds.
        apply_deadline_ms: Time after which the borrower ignores the answer.
        answer: The answer itself, for repeated requests.
    """

    grant: Grant
    added_level: float
    apply_deadline_ms: float
    answer: messages.Lent


@dataclasses.dataclass(slots=True)
class Borrower:
    """State of one borrowing entry process, as known to the owner.

    Attributes:
        held: Piece that the borrower has, or had before it applied `pending`.
        quota: Rate and depth that the borrower may keep after the customer's
            limit was lowered; at other times no less than what it has.
        serial: Serial of the borrower's last message.
        pending: The last answer, until a later message shows whether it was
            applied.
        demand: Requests per second that arrive at the borrower.
        last_message_ms: Time of the borrower's last message.
    """

    held: Grant
    quota: Grant
    serial: int = 0
    pending: PendingAnswer | None = None
    demand: float = 0.0
    last_message_ms: float = 0.0

    def lent(self, now_ms: float) -> tuple[float, float]:
        """Returns the highest rate and depth that the borrower can have."""
        live = self.held.expires_ms > now_ms
        rate = self.held.rate if live else 0.0
        depth = self.held.depth if live else 0.0
        pending = self.pending
        if pending is not None and pending.grant.expires_ms > now_ms:
            if now_ms < pending.apply_deadline_ms:
                depth += pending.added_level
            rate = max(rate, pending.grant.rate)
            depth = max(depth, pending.grant.depth)
        return rate, depth

    def remaining_ms(self, now_ms: float) -> float:
        """Returns the time until everything lent has expired."""
        ends = [self.held.expires_ms]
        if self.pending is not None:
            ends += [
                self.pending.grant.expires_ms,
                self.pending.apply_deadline_ms,
            ]
        return max(0.0, max(ends) - now_ms)

    def lent_within_quota(self, now_ms: float) -> tuple[float, float]:
        """Returns the rate and depth lent, at most those of the quota."""
        rate, depth = self.lent(now_ms)
        return min(rate, self.quota.rate), min(depth, self.quota.depth)
