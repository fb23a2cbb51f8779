"""Lends one part of a customer's bucket; runs in the part's owner.

The part's limit is divided between the owner's own bucket and the pieces that
entry processes hold. What an entry process can hold counts as lent until the
owner knows, from a later message or because enough time has passed, that it no
longer has it:

- A piece expires `TTL_MS` after the entry process requested it, and the owner
  lent it later than that.
- An answer is applied at most `ANSWER_TIMEOUT_MS` after the request, and only
  if no later request was sent. Until then, both the previous piece and the
  answer count as lent.
"""

import heapq

from lacewingwood.limits import bucket
from lacewingwood.limits import loans
from lacewingwood.limits import split
from lacewingwood.peers import messages

TTL_MS = 15_000.0
ANSWER_TIMEOUT_MS = 250.0

# Covers the difference between two hosts' clock rates over a piece's lifetime.
_CLOCK_DRIFT_FACTOR = 1.001
# The depth of a refilling piece is the demand of this time.
_REFILLING_DEPTH_MS = 500.0
# A refilling piece with a depth of less than two requests would often be full
# and lose its refill; such entry processes borrow for each request instead.
_MIN_REFILLING_DEPTH = 2.0
# An existing refilling piece is kept down to this lower depth, since tokens
# left in a piece that expires are lost.
_MIN_KEPT_DEPTH = 1.0
# Largest share of the depth that refilling pieces may hold, so that the rest
# remains for requests that arrive at other entry processes.
_MAX_REFILLING_SHARE = 0.5
# Refill rate of a piece as a fraction of the demand; a piece that refills
# faster than it is used would be full and waste the rate.
_REFILL_FRACTION = 0.5
_FORGET_AFTER_MS = 2 * TTL_MS
# Delay before a part uses an increased limit while another part shrinks. The
# other part's owner learns of the change within 3 s, or its view is no longer
# fresh and it stops lending; what it lent before expires within the TTL.
_INCREASE_DELAY_MS = 3_000 + TTL_MS * _CLOCK_DRIFT_FACTOR
_MAX_RETRY_MS = 1_000.0


class Lender:
    """One part of one customer's bucket under one lease.

    Times are in ms of a monotonic clock. Messages may arrive late, repeatedly
    and in any order.
    """

    def __init__(
        self,
        epoch: int,
        index: int,
        customer_limit: split.Limit,
        now_ms: float,
        lend_from_ms: float,
        never_lent: bool = False,
    ) -> None:
        """Creates the part with nothing lent.

        Args:
            epoch: Fencing number of the owner's lease.
            index: Index of this part.
            customer_limit: The customer's limit, all parts together.
            now_ms: Current time.
            lend_from_ms: Time at which all pieces lent by earlier owners have
                expired; before, only pieces that their borrowers report are
                renewed.
            never_lent: True if no earlier owner can have lent from this part.
        """
        self.epoch = epoch
        self._index = index
        self._customer_limit = customer_limit
        self._limit = limit = split.parts(customer_limit)[index]
        self._increase_at_ms = float("inf")
        self._lend_from_ms = lend_from_ms
        self._borrowers: dict[str, loans.Borrower] = {}
        self._change_times_ms: list[float] = []
        level = float(limit.burst) if never_lent else 0.0
        start_ms = min(now_ms, lend_from_ms) if never_lent else lend_from_ms
        self._bucket = bucket.Bucket(
            limit.rate, limit.burst, level, min(start_ms, now_ms)
        )
        if not never_lent and now_ms < lend_from_ms:
            heapq.heappush(self._change_times_ms, lend_from_ms)
        self._rebalance(now_ms)

    def set_limit(self, customer_limit: split.Limit, now_ms: float) -> None:
        """Changes the customer's limit.

        Pieces lent under a higher limit shrink when they are renewed, and
        expire otherwise. If another part shrinks, this part grows only once
        the other part's owner has learned of the change and its pieces have
        expired.

        Args:
            customer_limit: The new limit, all parts together.
            now_ms: Current time.
        """
        if customer_limit == self._customer_limit:
            return
        self._advance(now_ms)
        before, after = (
            split.parts(self._customer_limit),
            split.parts(customer_limit),
        )
        self._customer_limit = customer_limit
        limit = after[self._index]
        if any(_shrinks(*pair) for pair in zip(before, after, strict=True)):
            self._increase_at_ms = now_ms + _INCREASE_DELAY_MS
            heapq.heappush(self._change_times_ms, self._increase_at_ms)
            limit = split.Limit(
                min(limit.rate, self._limit.rate),
                min(limit.burst, self._limit.burst),
            )
        self._limit = limit
        self._shrink_quotas(now_ms)
        self._rebalance(now_ms)

    def level(self, now_ms: float) -> float:
        """Returns the tokens that are not lent."""
        self._advance(now_ms)
        return self._bucket.level(now_ms)

    def rate(self, now_ms: float) -> float:
        """Returns the refill rate that is not lent, in requests per second."""
        self._advance(now_ms)
        return self._bucket.rate

    def borrow(
        self, msg: messages.Borrow, now_ms: float
    ) -> messages.Lent | None:
        """Lends a piece; returns None if the request is outdated."""
        self._advance(now_ms)
        borrower = self._borrower(msg.node_id)
        if msg.serial < borrower.serial:
            return None
        if msg.serial == borrower.serial:
            pending = borrower.pending
            return pending.answer if pending is not None else None
        self._resolve_pending(borrower, msg.serial, msg.applied, now_ms)
        if msg.epoch != self.epoch and now_ms < self._lend_from_ms:
            self._adopt_piece(borrower, msg)
        borrower.demand = max(0.0, msg.demand)
        borrower.last_message_ms = now_ms
        self._rebalance(now_ms)
        return self._lend(borrower, msg, now_ms)

    def take_back(self, msg: messages.Return, now_ms: float) -> None:
        """Takes back a piece with the tokens left in it."""
        self._advance(now_ms)
        borrower = self._borrowers.get(msg.node_id)
        if borrower is None or msg.serial <= borrower.serial:
            return
        self._resolve_pending(borrower, msg.serial, msg.applied, now_ms)
        held = borrower.held
        left = 0.0
        if msg.epoch == self.epoch and held.expires_ms > now_ms:
            left = min(max(0.0, msg.level), held.depth)
        borrower.held = loans.Grant()
        borrower.demand = 0.0
        self._rebalance(now_ms)
        self._bucket.put(now_ms, left)

    def hand_over(self, now_ms: float) -> messages.HandedPart | None:
        """Returns the state for the next owner; nothing may be lent after it.

        Returns None if the owner of another part may not have learned of a
        lowered limit yet: the next owner then has to wait.
        """
        self._advance(now_ms)
        if self._increase_at_ms != float("inf"):
            return None
        pieces = [
            messages.HandedPiece(
                node_id, *b.lent(now_ms), b.remaining_ms(now_ms)
            )
            for node_id, b in self._borrowers.items()
            if b.lent(now_ms) != (0, 0)
        ]
        return messages.HandedPart("", self._bucket.level(now_ms), pieces)

    def take_over(
        self, part: messages.HandedPart, lend_from_ms: float, now_ms: float
    ) -> None:
        """Takes over the state of the previous owner, which lends no more.

        Borrowers that have already sent a request to this owner are left out,
        as the request says what they hold.

        Args:
            part: State of the part when the previous owner stopped.
            lend_from_ms: Time at which the pieces lent by owners before the
                previous one have expired.
            now_ms: Current time.
        """
        self._advance(now_ms)
        if now_ms >= self._lend_from_ms:
            return
        for piece in part.pieces:
            if piece.node_id in self._borrowers:
                continue
            borrower = self._borrower(piece.node_id)
            borrower.last_message_ms = now_ms
            borrower.held = loans.Grant(
                piece.rate,
                piece.depth,
                now_ms + piece.left_ms * _CLOCK_DRIFT_FACTOR,
            )
            heapq.heappush(self._change_times_ms, borrower.held.expires_ms)
        self._lend_from_ms = min(self._lend_from_ms, lend_from_ms)
        heapq.heappush(self._change_times_ms, self._lend_from_ms)
        self._advance(now_ms)
        self._bucket.put(now_ms, part.level)

    def _shrink_quotas(self, now_ms: float) -> None:
        """Scales the borrowers' quotas down so that they fit into the limit."""
        borrowers = list(self._borrowers.values())
        lent = [borrower.lent_within_quota(now_ms) for borrower in borrowers]
        total_rate = sum(rate for rate, _ in lent)
        total_depth = sum(depth for _, depth in lent)
        for borrower, (rate, depth) in zip(borrowers, lent, strict=True):
            borrower.quota = loans.Grant(
                rate * _scale_factor(self._limit.rate, total_rate),
                depth * _scale_factor(self._limit.burst, total_depth),
            )

    def _borrower(self, node_id: str) -> loans.Borrower:
        borrower = self._borrowers.get(node_id)
        if borrower is None:
            unlimited = loans.Grant(float("inf"), float("inf"))
            borrower = loans.Borrower(held=loans.Grant(), quota=unlimited)
            self._borrowers[node_id] = borrower
        return borrower

    def _advance(self, now_ms: float) -> None:
        """Refills up to now, applying scheduled changes at their times."""
        while self._change_times_ms and self._change_times_ms[0] <= now_ms:
            self._rebalance(heapq.heappop(self._change_times_ms))
        self._bucket.level(now_ms)

    def _rebalance(self, now_ms: float) -> None:
        """Sets the owner's bucket to the rate and depth that are not lent."""
        if now_ms >= self._increase_at_ms:
            self._increase_at_ms = float("inf")
            self._limit = split.parts(self._customer_limit)[self._index]
        rate, depth = self._limit.rate, float(self._limit.burst)
        if now_ms < self._lend_from_ms:
            rate = depth = 0.0
        lent = [b.lent(now_ms) for b in self._borrowers.values()]
        self._bucket.configure(
            now_ms,
            max(0.0, rate - sum(lent_rate for lent_rate, _ in lent)),
            max(0.0, depth - sum(lent_depth for _, lent_depth in lent)),
        )

    def _resolve_pending(
        self, borrower: loans.Borrower, serial: int, applied: int, now_ms: float
    ) -> None:
        """Finds out from a new message whether the last answer was applied.

        Args:
            borrower: Sender of the message.
            serial: Serial of the message.
            applied: Serial of the request whose answer the borrower applied
                last.
            now_ms: Current time.
        """
        pending = borrower.pending
        request_serial = borrower.serial
        borrower.serial = serial
        borrower.pending = None
        if pending is None:
            return
        if applied >= request_serial:
            borrower.held = pending.grant
            return
        # After that time the tokens no longer counted as lent and were already
        # refilled here.
        if now_ms < min(pending.apply_deadline_ms, pending.grant.expires_ms):
            self._rebalance(now_ms)
            self._bucket.put(now_ms, pending.added_level)

    def _adopt_piece(
        self, borrower: loans.Borrower, msg: messages.Borrow
    ) -> None:
        """Counts a piece that an earlier owner lent as held."""
        borrower.held = loans.Grant(
            max(0.0, msg.rate), max(0.0, msg.depth), self._lend_from_ms
        )

    def _lend(
        self, borrower: loans.Borrower, msg: messages.Borrow, now_ms: float
    ) -> messages.Lent:
        held = (
            borrower.held
            if borrower.held.expires_ms > now_ms
            else loans.Grant()
        )
        level = min(max(0.0, msg.level), held.depth)
        available = self._available(borrower, held, now_ms)
        rate, refilling_depth = self._refilling_size(borrower, held, now_ms)
        rate = min(rate, available.rate)
        wanted_level = max(msg.want, refilling_depth)
        added_level = max(
            0.0, min(self._bucket.level(now_ms), wanted_level - level)
        )
        depth = min(max(refilling_depth, level + added_level), available.depth)
        added_level = max(0.0, min(added_level, depth - level))
        is_refilling = rate > 0 and depth > 0
        ttl_ms = TTL_MS if is_refilling else min(max(msg.use_ms, 0.0), TTL_MS)
        grant = loans.Grant(
            rate if is_refilling else 0.0,
            depth,
            now_ms + ttl_ms * _CLOCK_DRIFT_FACTOR,
        )
        self._bucket.take(now_ms, added_level)
        answer = messages.Lent(
            epoch=self.epoch,
            rate=grant.rate,
            depth=depth,
            add_level=added_level,
            ttl_ms=ttl_ms,
            retry_ms=self._retry_ms(msg.want - level - added_level, now_ms),
            serial=msg.serial,
        )
        self._set_pending(borrower, grant, added_level, answer, now_ms)
        return answer

    def _set_pending(
        self,
        borrower: loans.Borrower,
        grant: loans.Grant,
        added_level: float,
        answer: messages.Lent,
        now_ms: float,
    ) -> None:
        apply_deadline_ms = now_ms + ANSWER_TIMEOUT_MS * _CLOCK_DRIFT_FACTOR
        borrower.pending = loans.PendingAnswer(
            grant, added_level, apply_deadline_ms, answer
        )
        borrower.quota = loans.Grant(grant.rate, grant.depth)
        for expires_ms in (
            grant.expires_ms,
            apply_deadline_ms,
            borrower.held.expires_ms,
        ):
            if expires_ms > now_ms:
                heapq.heappush(self._change_times_ms, expires_ms)
        self._forget_borrowers(now_ms)
        self._rebalance(now_ms)

    def _available(
        self, borrower: loans.Borrower, held: loans.Grant, now_ms: float
    ) -> loans.Grant:
        """Returns the highest rate and depth that a borrower may get.

        It may keep what it has, unless the limit was lowered.
        """
        others = [b for b in self._borrowers.values() if b is not borrower]
        lent = [b.lent(now_ms) for b in others]
        within_quota = [b.lent_within_quota(now_ms) for b in others]
        limit = self._limit
        free_rate = limit.rate - sum(rate for rate, _ in lent)
        free_depth = limit.burst - sum(depth for _, depth in lent)
        return loans.Grant(
            _at_least_zero(
                min(
                    max(held.rate, free_rate),
                    limit.rate - sum(rate for rate, _ in within_quota),
                )
            ),
            _at_least_zero(
                min(
                    max(held.depth, free_depth),
                    limit.burst - sum(depth for _, depth in within_quota),
                )
            ),
        )

    def _refilling_size(
        self, borrower: loans.Borrower, held: loans.Grant, now_ms: float
    ) -> tuple[float, float]:
        """Returns rate and depth of a refilling piece, zeros for none.

        They are in proportion to the borrower's demand.
        """
        if now_ms < self._lend_from_ms:
            return held.rate, held.depth
        total = sum(b.demand for b in self._borrowers.values())
        share = borrower.demand / total if total else 0.0
        used_rate = min(borrower.demand, self._limit.rate * share)
        depth = min(
            used_rate * _REFILLING_DEPTH_MS / 1000,
            self._limit.burst * share * _MAX_REFILLING_SHARE,
        )
        if depth < (
            _MIN_REFILLING_DEPTH if held.rate <= 0 else _MIN_KEPT_DEPTH
        ):
            return 0.0, 0.0
        return used_rate * _REFILL_FRACTION, depth

    def _retry_ms(self, missing: float, now_ms: float) -> float:
        if missing <= bucket.ROUNDING:
            return 0.0
        if now_ms < self._lend_from_ms:
            return self._lend_from_ms - now_ms
        level = self._bucket.level(now_ms)
        wait_ms = self._bucket.wait_ms(now_ms, level + missing)
        return min(wait_ms, _MAX_RETRY_MS)

    def _forget_borrowers(self, now_ms: float) -> None:
        """Drops borrowers that have long been silent and hold nothing."""
        silent = [
            node_id
            for node_id, b in self._borrowers.items()
            if now_ms - b.last_message_ms > _FORGET_AFTER_MS
            and b.lent(now_ms) == (0, 0)
        ]
        for node_id in silent:
            del self._borrowers[node_id]


def _scale_factor(limit: float, total: float) -> float:
    return min(1.0, limit / total) if total > 0 else 1.0


def _shrinks(before: split.Limit, after: split.Limit) -> bool:
    return after.rate < before.rate or after.burst < before.burst


def _at_least_zero(value: float) -> float:
    return max(0.0, value)
