"""Lends one part of a customer's bucket; runs in the part's owner.

The part's limit is divided between the owner's own bucket and the pieces that
entries hold. What an entry can hold counts as lent until the owner knows that
the entry no longer has it, by a later message or by the passing of time:

- A piece ends `TTL_MS` after the entry asked for it, which is before the owner
  lent it.
- An answer is applied at most `ANSWER_MS` after the question and only while no
  later question has been asked; until then both the old piece and the answer
  on its way count.
"""

import heapq

from lacewingwood.limits import bucket
from lacewingwood.limits import loans
from lacewingwood.limits import split
from lacewingwood.peers import messages

TTL_MS = 15_000.0
ANSWER_MS = 250.0

# Covers the difference between two hosts' clock rates over a piece's life.
_DRIFT = 1.001
# A refilling piece holds what arrives in this time. With less than two
# requests in it, it would often be full and lose its refill; such entries
# borrow for each request instead.
_STANDING_MS = 500.0
_LEAST_DEPTH = 2.0
_KEEP_DEPTH = 1.0
# Most of the depth that refilling pieces may hold, so that the rest remains
# for requests that land on other entries.
_STANDING_SHARE = 0.5
# Part of an entry's demand that its piece refills; a piece that refills faster
# than it is used would be full and waste the rate.
_REFILL_SHARE = 0.5
_FORGET_MS = 2 * TTL_MS
# An owner learns of a changed limit within the 3 s in which it is fresh.
_RAISE_MS = 3_000 + TTL_MS * _DRIFT
_NEVER_MS = 1_000.0


class Lender:
    """One part of one customer's bucket under one lease.

    Times are monotonic, in ms; messages are handled in any order and number.
    """

    def __init__(
        self,
        epoch: int,
        index: int,
        whole: split.Limit,
        now_ms: float,
        lend_from_ms: float,
        full: bool = False,
    ) -> None:
        """Makes the part.

        Args:
            epoch: Fencing number of the owner's lease.
            index: Index of this part.
            whole: The customer's limit, all parts together.
            now_ms: The time.
            lend_from_ms: When all pieces of earlier owners have ended; only
                pieces that entries report are lent before.
            full: True if no earlier owner can have lent from this part.
        """
        self.epoch = epoch
        self._index = index
        self._whole = whole
        self._limit = limit = split.parts(whole)[index]
        self._raise_ms = float("inf")
        self._lend_from_ms = lend_from_ms
        self._borrowers: dict[str, loans.Borrower] = {}
        self._changes: list[float] = []
        level = float(limit.burst) if full else 0.0
        start_ms = min(now_ms, lend_from_ms) if full else lend_from_ms
        self._bucket = bucket.Bucket(
            limit.rate, limit.burst, level, min(start_ms, now_ms)
        )
        if not full and now_ms < lend_from_ms:
            heapq.heappush(self._changes, lend_from_ms)
        self._rebalance(now_ms)

    def set_limit(self, whole: split.Limit, now_ms: float) -> None:
        """Changes the customer's limit from now on.

        Pieces lent under a higher limit shrink when they are renewed and end
        with their TTL otherwise. If another part shrinks, this one grows only
        when the other's owner has also learned of the change and its pieces
        have ended.
        """
        if whole == self._whole:
            return
        self._advance(now_ms)
        before, after = split.parts(self._whole), split.parts(whole)
        self._whole = whole
        limit = after[self._index]
        if any(_shrinks(*pair) for pair in zip(before, after, strict=True)):
            self._raise_ms = now_ms + _RAISE_MS
            heapq.heappush(self._changes, self._raise_ms)
            limit = split.Limit(
                min(limit.rate, self._limit.rate),
                min(limit.burst, self._limit.burst),
            )
        self._limit = limit
        self._shrink_quotas(now_ms)
        self._rebalance(now_ms)

    def level(self, now_ms: float) -> float:
        """Returns the requests that are not lent."""
        self._advance(now_ms)
        return self._bucket.level(now_ms)

    def rate(self, now_ms: float) -> float:
        """Returns the refill of what is not lent, in requests a second."""
        self._advance(now_ms)
        return self._bucket.rate

    def borrow(
        self, msg: messages.Borrow, now_ms: float
    ) -> messages.Lent | None:
        """Returns the entry's new piece, None if the message is outdated."""
        self._advance(now_ms)
        borrower = self._borrower(msg.node_id)
        if msg.serial < borrower.serial:
            return None
        if msg.serial == borrower.serial:
            offer = borrower.offer
            return offer.answer if offer is not None else None
        self._settle(borrower, msg.serial, msg.applied, now_ms)
        if msg.epoch != self.epoch and now_ms < self._lend_from_ms:
            self._adopt(borrower, msg)
        borrower.demand = max(0.0, msg.demand)
        borrower.seen_ms = now_ms
        self._rebalance(now_ms)
        return self._lend(borrower, msg, now_ms)

    def take_back(self, msg: messages.Return, now_ms: float) -> None:
        """Takes a piece back with what is left in it."""
        self._advance(now_ms)
        borrower = self._borrowers.get(msg.node_id)
        if borrower is None or msg.serial <= borrower.serial:
            return
        self._settle(borrower, msg.serial, msg.applied, now_ms)
        held = borrower.held
        left = 0.0
        if msg.epoch == self.epoch and held.end_ms > now_ms:
            left = min(max(0.0, msg.level), held.depth)
        borrower.held = loans.Share()
        borrower.demand = 0.0
        self._rebalance(now_ms)
        self._bucket.put(now_ms, left)

    def hand_over(self, now_ms: float) -> messages.HandedPart | None:
        """Returns what a new owner must know; nothing may be lent after it.

        None if a change of the limit is still on its way to the other part's
        owner, which only time can settle.
        """
        self._advance(now_ms)
        if self._raise_ms != float("inf"):
            return None
        pieces = [
            messages.HandedPiece(node_id, *b.lent(now_ms), b.left_ms(now_ms))
            for node_id, b in self._borrowers.items()
            if b.lent(now_ms) != (0, 0)
        ]
        return messages.HandedPart("", self._bucket.level(now_ms), pieces)

    def take_over(
        self, part: messages.HandedPart, lend_from_ms: float, now_ms: float
    ) -> None:
        """Takes over from the owner before, which lends no more.

        Entries that have asked here already told what they hold themselves.
        """
        self._advance(now_ms)
        if now_ms >= self._lend_from_ms:
            return
        for piece in part.pieces:
            if piece.node_id in self._borrowers:
                continue
            borrower = self._borrower(piece.node_id)
            borrower.seen_ms = now_ms
            borrower.held = loans.Share(
                piece.rate, piece.depth, now_ms + piece.left_ms * _DRIFT
            )
            heapq.heappush(self._changes, borrower.held.end_ms)
        self._lend_from_ms = min(self._lend_from_ms, lend_from_ms)
        heapq.heappush(self._changes, self._lend_from_ms)
        self._advance(now_ms)
        self._bucket.put(now_ms, part.level)

    def _shrink_quotas(self, now_ms: float) -> None:
        """Scales what entries may keep so that it fits into the limit."""
        borrowers = list(self._borrowers.values())
        kept = [borrower.kept(now_ms) for borrower in borrowers]
        rate = sum(each for each, _ in kept)
        depth = sum(each for _, each in kept)
        for borrower, (own_rate, own_depth) in zip(
            borrowers, kept, strict=True
        ):
            borrower.quota = loans.Share(
                own_rate * _fraction(self._limit.rate, rate),
                own_depth * _fraction(self._limit.burst, depth),
            )

    def _borrower(self, node_id: str) -> loans.Borrower:
        borrower = self._borrowers.get(node_id)
        if borrower is None:
            unlimited = loans.Share(float("inf"), float("inf"))
            borrower = loans.Borrower(held=loans.Share(), quota=unlimited)
            self._borrowers[node_id] = borrower
        return borrower

    def _advance(self, now_ms: float) -> None:
        """Refills up to now, with each change of what is lent in its order."""
        while self._changes and self._changes[0] <= now_ms:
            self._rebalance(heapq.heappop(self._changes))
        self._bucket.level(now_ms)

    def _rebalance(self, now_ms: float) -> None:
        """Gives the owner's bucket what is not lent."""
        if now_ms >= self._raise_ms:
            self._raise_ms = float("inf")
            self._limit = split.parts(self._whole)[self._index]
        rate, depth = self._limit.rate, float(self._limit.burst)
        if now_ms < self._lend_from_ms:
            rate = depth = 0.0
        lent = [b.lent(now_ms) for b in self._borrowers.values()]
        self._bucket.configure(
            now_ms,
            max(0.0, rate - sum(each for each, _ in lent)),
            max(0.0, depth - sum(each for _, each in lent)),
        )

    def _settle(
        self, borrower: loans.Borrower, serial: int, applied: int, now_ms: float
    ) -> None:
        """Learns from a new message whether the last answer was applied."""
        offer = borrower.offer
        asked = borrower.serial
        borrower.serial = serial
        borrower.offer = None
        if offer is None:
            return
        if applied >= asked:
            borrower.held = offer.share
            return
        # Later the offer no longer counted as lent and was refilled here.
        if now_ms < min(offer.applied_by_ms, offer.share.end_ms):
            self._rebalance(now_ms)
            self._bucket.put(now_ms, offer.added)

    def _adopt(self, borrower: loans.Borrower, msg: messages.Borrow) -> None:
        """Takes over a piece that an earlier owner lent."""
        borrower.held = loans.Share(
            max(0.0, msg.rate), max(0.0, msg.depth), self._lend_from_ms
        )

    def _lend(
        self, borrower: loans.Borrower, msg: messages.Borrow, now_ms: float
    ) -> messages.Lent:
        held = borrower.held if borrower.held.end_ms > now_ms else loans.Share()
        level = min(max(0.0, msg.level), held.depth)
        room = self._room(borrower, held, now_ms)
        rate, standing = self._standing(borrower, held, now_ms)
        rate = min(rate, room.rate)
        wanted = max(msg.want, standing)
        added = max(0.0, min(self._bucket.level(now_ms), wanted - level))
        depth = min(max(standing, level + added), room.depth)
        added = max(0.0, min(added, depth - level))
        refills = rate > 0 and depth > 0
        ttl_ms = TTL_MS if refills else min(max(msg.use_ms, 0.0), TTL_MS)
        share = loans.Share(
            rate if refills else 0.0, depth, now_ms + ttl_ms * _DRIFT
        )
        self._bucket.take(now_ms, added)
        answer = messages.Lent(
            epoch=self.epoch,
            rate=share.rate,
            depth=depth,
            add_level=added,
            ttl_ms=ttl_ms,
            retry_ms=self._retry_ms(msg.want - level - added, now_ms),
            serial=msg.serial,
        )
        self._offer(borrower, share, added, answer, now_ms)
        return answer

    def _offer(
        self,
        borrower: loans.Borrower,
        share: loans.Share,
        added: float,
        answer: messages.Lent,
        now_ms: float,
    ) -> None:
        applied_by_ms = now_ms + ANSWER_MS * _DRIFT
        borrower.offer = loans.Offer(share, added, applied_by_ms, answer)
        borrower.quota = loans.Share(share.rate, share.depth)
        for end_ms in (share.end_ms, applied_by_ms, borrower.held.end_ms):
            if end_ms > now_ms:
                heapq.heappush(self._changes, end_ms)
        self._forget(now_ms)
        self._rebalance(now_ms)

    def _room(
        self, borrower: loans.Borrower, held: loans.Share, now_ms: float
    ) -> loans.Share:
        """Returns the most that an entry may get beside all others.

        It may keep what it has, unless the limit was lowered.
        """
        others = [b for b in self._borrowers.values() if b is not borrower]
        lent = [b.lent(now_ms) for b in others]
        kept = [b.kept(now_ms) for b in others]
        limit = self._limit
        free_rate = limit.rate - sum(rate for rate, _ in lent)
        free_depth = limit.burst - sum(depth for _, depth in lent)
        return loans.Share(
            _at_least_zero(
                min(
                    max(held.rate, free_rate),
                    limit.rate - sum(rate for rate, _ in kept),
                )
            ),
            _at_least_zero(
                min(
                    max(held.depth, free_depth),
                    limit.burst - sum(depth for _, depth in kept),
                )
            ),
        )

    def _standing(
        self, borrower: loans.Borrower, held: loans.Share, now_ms: float
    ) -> tuple[float, float]:
        """Returns rate and depth in proportion to the entry's demand."""
        if now_ms < self._lend_from_ms:
            return held.rate, held.depth
        total = sum(b.demand for b in self._borrowers.values())
        share = borrower.demand / total if total else 0.0
        used = min(borrower.demand, self._limit.rate * share)
        depth = min(
            used * _STANDING_MS / 1000,
            self._limit.burst * share * _STANDING_SHARE,
        )
        # An entry keeps its piece until its demand has clearly fallen: what is
        # left in a piece that ends is lost.
        if depth < (_LEAST_DEPTH if held.rate <= 0 else _KEEP_DEPTH):
            return 0.0, 0.0
        return used * _REFILL_SHARE, depth

    def _retry_ms(self, missing: float, now_ms: float) -> float:
        if missing <= bucket.ROUNDING:
            return 0.0
        if now_ms < self._lend_from_ms:
            return self._lend_from_ms - now_ms
        level = self._bucket.level(now_ms)
        wait_ms = self._bucket.wait_ms(now_ms, level + missing)
        return min(wait_ms, _NEVER_MS)

    def _forget(self, now_ms: float) -> None:
        """Drops entries that are gone and hold nothing."""
        gone = [
            node_id
            for node_id, b in self._borrowers.items()
            if now_ms - b.seen_ms > _FORGET_MS and b.lent(now_ms) == (0, 0)
        ]
        for node_id in gone:
            del self._borrowers[node_id]


def _fraction(limit: float, total: float) -> float:
    return min(1.0, limit / total) if total > 0 else 1.0


def _shrinks(before: split.Limit, after: split.Limit) -> bool:
    return after.rate < before.rate or after.burst < before.burst


def _at_least_zero(value: float) -> float:
    return max(0.0, value)
