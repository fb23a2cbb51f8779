"""One order of the requests that wait for slots, fair between customers.

This answers a customer that sends many times its usual traffic while there are
too few slots: its requests wait behind those of the others, but no longer than
until its own share of the work comes round. It performs no I/O.
"""

import collections
import math

# Bytes of a prompt for each token, and what a response of unknown length is
# charged in tokens. Online responses on the large deployments have about 20
# events; a replica takes as long for one as for some four tokens of the prompt.
_BYTES_PER_TOKEN = 4
_RESPONSE_TOKENS = 80.0
# A request that has waited for this part of the time that its caller gives it
# comes first among those of its customer's share, so that neither its priority
# nor a missed objective makes it wait until its deadline.
_MAX_WAIT_SHARE = 0.5


def estimate_tokens(body_bytes: int) -> float:
    """Returns the work of an online request whose response is not known."""
    return body_bytes / _BYTES_PER_TOKEN + _RESPONSE_TOKENS


class FairOrder:
    """Shares of customers in the work that is served while requests wait.

    Virtual time is the work that each waiting customer could have had. Each
    request gets a tag, the virtual time at which its customer's share has come
    to it. Requests without a customer are never put behind others.
    """

    __slots__ = ("_finish", "_virtual", "_waiting")

    def __init__(self) -> None:
        self._virtual = 0.0
        # Virtual time at which each customer has had its share.
        self._finish: dict[str, float] = {}
        # Number of waiting requests of each customer.
        self._waiting: collections.Counter[str] = collections.Counter()

    def add(self, customer: str, tokens: float) -> float:
        """Returns the tag of a request that starts to wait."""
        self._waiting[customer] += 1
        tag = max(self._virtual, self._finish.get(customer, 0.0))
        if customer:
            self._finish[customer] = tag + tokens
        return tag

    def note_served(self, customer: str, tokens: float) -> None:
        """Records that a waiting request has got a slot."""
        self._virtual += tokens / len(self._waiting)
        self._remove(customer)

    def cancel(self, customer: str, tokens: float) -> None:
        """Removes a request that has got no slot; it is not charged."""
        if customer:
            self._finish[customer] -= tokens
        self._remove(customer)

    def excess(self, tag: float) -> float:
        """Returns how far a request is ahead of its customer's share."""
        return max(0.0, tag - self._virtual)

    def next_excess(self, customer: str) -> float:
        """Returns the excess that a customer's next request would have."""
        return self.excess(self._finish.get(customer, 0.0))

    def _remove(self, customer: str) -> None:
        self._waiting[customer] -= 1
        if not self._waiting[customer]:
            del self._waiting[customer]
        if not self._waiting:
            # Shares count only while requests wait.
            self._finish.clear()
            self._virtual = 0.0


def is_overdue(arrived_ms: float, deadline_ms: float, now_ms: float) -> bool:
    """Returns whether a request has waited for a large part of its time."""
    if math.isinf(deadline_ms):
        return False
    limit_ms = _MAX_WAIT_SHARE * (deadline_ms - arrived_ms)
    return now_ms - arrived_ms > limit_ms
