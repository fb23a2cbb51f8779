"""An entry's pieces of one customer's bucket, without I/O."""

import math
from collections.abc import Iterator

from lacewingwood.limits import bucket
from lacewingwood.limits import lender
from lacewingwood.limits import split
from lacewingwood.peers import messages

_RENEW_MS = lender.TTL_MS / 3
# An owner that has not answered for this long is not waited for if the other
# part can help.
_LATE_MS = 20.0
_LEAST_USE_MS = 10.0
_RTT_WEIGHT = 0.2
_FIRST_RTT_MS = 2.5
# Demand is averaged over about this time.
_DEMAND_MS = 2_000.0
_IDLE_MS = 5_000.0
# From this burst on one part is asked at a time: with fewer requests in a part
# one can be full, and lose its refill, while the other is short.
_ONE_PART_BURST = 32


class Piece:
    """What an entry holds of one part.

    Attributes:
        limit: Limit of the part.
        retry_at_ms: When asking the owner again may help.
        asked_ms: Time of the question without an answer, None if there is none.
        wanted: Level that the last question asked for.
        unit: Share of this part in one request.
    """

    __slots__ = (
        "_applied",
        "_bucket",
        "_customer",
        "_end_ms",
        "_epoch",
        "_index",
        "_node_id",
        "_rtt_ms",
        "_serials",
        "_unconfirmed",
        "_use_ms",
        "asked_ms",
        "limit",
        "retry_at_ms",
        "serial",
        "unit",
        "wanted",
    )

    def __init__(
        self,
        node_id: str,
        customer: str,
        index: int,
        limit: split.Limit,
        serials: Iterator[int],
    ) -> None:
        """Makes a piece that holds nothing.

        Args:
            node_id: This process.
            customer: Name of the customer.
            index: Index of the part.
            limit: Limit of the part.
            serials: Rising numbers, the same iterator for all pieces of the
                process.
        """
        self._node_id = node_id
        self._customer = customer
        self._index = index
        self._bucket = bucket.Bucket(0.0, 0.0, 0.0, 0.0)
        self._end_ms = -math.inf
        self._epoch = -1
        # Earlier pieces of this process for this part count as applied.
        self.serial = self._applied = next(serials)
        self._serials = serials
        self._rtt_ms = _FIRST_RTT_MS
        self._use_ms = _LEAST_USE_MS
        # True if the owner still counts more as lent than is held.
        self._unconfirmed = False
        self.limit = limit
        self.unit = 1.0
        self.asked_ms: float | None = None
        self.retry_at_ms = -math.inf
        self.wanted = 0.0

    def level(self, now_ms: float) -> float:
        """Returns the requests that it can admit now."""
        return self._bucket.level(now_ms) if now_ms < self._end_ms else 0.0

    def take(self, now_ms: float, amount: float) -> None:
        """Uses up part of its level."""
        self._bucket.take(now_ms, amount)

    def rate(self, now_ms: float) -> float:
        """Returns its refill in requests a second."""
        return self._bucket.rate if now_ms < self._end_ms else 0.0

    def refills(self, now_ms: float) -> bool:
        """Returns whether it refills by itself."""
        return self.rate(now_ms) > 0

    def due(self, now_ms: float) -> bool:
        """Returns whether it should be renewed."""
        left_ms = self._end_ms - now_ms
        return self.refills(now_ms) and left_ms < lender.TTL_MS - _RENEW_MS

    def late(self, now_ms: float) -> bool:
        """Returns whether the owner's answer takes unusually long."""
        if self.asked_ms is None:
            return False
        return now_ms - self.asked_ms > max(_LATE_MS, 4 * self._rtt_ms)

    def ask(self, now_ms: float, want: float, demand: float) -> messages.Borrow:
        """Returns a question; an earlier one no longer counts."""
        self.serial = next(self._serials)
        self.asked_ms = now_ms
        self.wanted = want
        self._unconfirmed = False
        live = now_ms < self._end_ms
        return messages.Borrow(
            node_id=self._node_id,
            customer=self._customer,
            part=self._index,
            want=want,
            demand=demand,
            rate=self.rate(now_ms),
            depth=self._bucket.depth if live else 0.0,
            level=self.level(now_ms),
            serial=self.serial,
            epoch=self._epoch if live else -1,
            applied=self._applied,
            use_ms=self._use_ms,
        )

    def lent(self, now_ms: float, answer: messages.Lent) -> None:
        """Replaces the piece by an answer to the last question, if in time."""
        asked_ms = self.asked_ms
        if asked_ms is None or answer.serial != self.serial:
            return
        self.asked_ms = None
        took_ms = now_ms - asked_ms
        self._learn(took_ms)
        self.retry_at_ms = now_ms + self._retry_ms(now_ms, answer)
        if took_ms >= min(lender.ANSWER_MS, answer.ttl_ms):
            return
        self._unconfirmed = answer.rate < self.rate(now_ms)
        level = self.level(now_ms) + answer.add_level
        self._bucket = bucket.Bucket(answer.rate, answer.depth, level, now_ms)
        self._end_ms = asked_ms + answer.ttl_ms
        self._epoch = answer.epoch
        self._applied = answer.serial

    def failed(self, now_ms: float, serial: int, retry_ms: float) -> None:
        """Gives up waiting for the answer to question `serial`."""
        if serial != self.serial or self.asked_ms is None:
            return
        self.asked_ms = None
        self.retry_at_ms = now_ms + retry_ms

    def give_back(self, now_ms: float) -> messages.Return | None:
        """Ends the use of the piece; returns the message that says so."""
        level = self.level(now_ms)
        empty = level <= bucket.ROUNDING and not self.refills(now_ms)
        if empty and not self._unconfirmed:
            return None
        self._unconfirmed = False
        self.serial = next(self._serials)
        self.asked_ms = None
        self._end_ms = -math.inf
        return messages.Return(
            node_id=self._node_id,
            customer=self._customer,
            part=self._index,
            level=level,
            serial=self.serial,
            epoch=self._epoch,
            applied=self._applied,
        )

    def _retry_ms(self, now_ms: float, answer: messages.Lent) -> float:
        """Returns when one of the requests that wait could be admitted."""
        missing = self.wanted - self.level(now_ms) - answer.add_level
        if missing <= self.unit:
            return answer.retry_ms
        return answer.retry_ms * self.unit / missing

    def _learn(self, took_ms: float) -> None:
        """Adapts the time in which answers are expected to be of use."""
        self._rtt_ms += _RTT_WEIGHT * (took_ms - self._rtt_ms)
        use_ms = max(_LEAST_USE_MS, 4 * self._rtt_ms)
        if took_ms >= self._use_ms:
            use_ms = max(use_ms, 2 * took_ms)
        self._use_ms = min(use_ms, lender.ANSWER_MS)


class Borrower:
    """One customer's pieces at one entry.

    Attributes:
        pieces: One for each part.
    """

    __slots__ = ("_arrived_ms", "_demand", "_limit", "_turn", "pieces")

    def __init__(
        self,
        node_id: str,
        customer: str,
        limit: split.Limit,
        now_ms: float,
        serials: Iterator[int],
    ) -> None:
        self._limit = limit
        self._demand = 0.0
        self._arrived_ms = now_ms
        self._turn = split.shard(node_id)
        self.pieces = [
            Piece(node_id, customer, index, part, serials)
            for index, part in enumerate(split.parts(limit))
        ]

    def set_limit(self, limit: split.Limit) -> None:
        """Takes over a changed limit; what is held stays until renewed."""
        if limit == self._limit:
            return
        self._limit = limit
        for piece, part in zip(self.pieces, split.parts(limit), strict=True):
            piece.limit = part
            piece.retry_at_ms = -math.inf

    def arrived(self, now_ms: float) -> None:
        """Counts a request towards the demand."""
        self._demand = self.demand(now_ms) + 1000 / _DEMAND_MS
        self._arrived_ms = now_ms

    def demand(self, now_ms: float) -> float:
        """Returns recent arrivals a second."""
        passed_ms = max(0.0, now_ms - self._arrived_ms)
        return self._demand * math.exp(-passed_ms / _DEMAND_MS)

    def idle(self, now_ms: float) -> bool:
        """Returns whether no request has come for a while."""
        return now_ms - self._arrived_ms > _IDLE_MS

    def admit(self, now_ms: float) -> bool:
        """Takes one request from the pieces, if they hold it together."""
        levels = [piece.level(now_ms) for piece in self.pieces]
        total = sum(levels)
        if total + bucket.ROUNDING < 1:
            return False
        for piece, level in zip(self.pieces, levels, strict=True):
            piece.take(now_ms, min(level, level / total))
        return True

    def questions(
        self, now_ms: float, waiting: int
    ) -> list[tuple[int, messages.Borrow]]:
        """Returns what to ask, by part, so that `waiting` can be admitted."""
        levels = [piece.level(now_ms) for piece in self.pieces]
        missing = waiting - sum(levels) - self._expected(now_ms, levels)
        if missing <= bucket.ROUNDING:
            return []
        chosen = self._chosen(now_ms)
        total = sum(self.pieces[index].limit.burst for index in chosen)
        return [
            self._ask(
                index,
                now_ms,
                levels[index]
                + missing * self.pieces[index].limit.burst / total,
            )
            for index in chosen
        ]

    def renewals(self, now_ms: float) -> list[tuple[int, messages.Borrow]]:
        """Returns the questions that renew refilling pieces."""
        return [
            self._ask(index, now_ms, 0.0)
            for index, piece in enumerate(self.pieces)
            if piece.asked_ms is None and piece.due(now_ms)
        ]

    def give_back(self, now_ms: float) -> list[tuple[int, messages.Return]]:
        """Ends the use of all pieces."""
        returns = [piece.give_back(now_ms) for piece in self.pieces]
        return [(i, msg) for i, msg in enumerate(returns) if msg is not None]

    def give_back_rest(
        self, now_ms: float
    ) -> list[tuple[int, messages.Return]]:
        """Returns fractions of a request that are of no use here."""
        return [
            (index, msg)
            for index, piece in enumerate(self.pieces)
            if piece.asked_ms is None and not piece.refills(now_ms)
            if (msg := piece.give_back(now_ms)) is not None
        ]

    def asking(self) -> bool:
        """Returns whether an answer is on its way."""
        return any(piece.asked_ms is not None for piece in self.pieces)

    def retry_ms(self, now_ms: float) -> float:
        """Returns how long until asking again may help."""
        usable = [p for p in self.pieces if p.limit.burst > 0]
        at_ms = min((p.retry_at_ms for p in usable), default=math.inf)
        return max(0.0, at_ms - now_ms)

    def refill_ms(self, now_ms: float, most_ms: float) -> float:
        """Returns how long until all parts that refill soon have done so.

        Asking one of them for the other's share would exhaust it.
        """
        waits = [max(0.0, piece.retry_at_ms - now_ms) for piece in self.pieces]
        return max((wait for wait in waits if wait <= most_ms), default=0.0)

    def _ask(
        self, index: int, now_ms: float, want: float
    ) -> tuple[int, messages.Borrow]:
        piece = self.pieces[index]
        share = piece.limit.burst / max(1, self._limit.burst)
        piece.unit = share
        demand = self.demand(now_ms) * share
        return index, piece.ask(now_ms, want, demand)

    def _expected(self, now_ms: float, levels: list[float]) -> float:
        """Returns what answers that are not late will probably add."""
        return sum(
            max(0.0, piece.wanted - level)
            for piece, level in zip(self.pieces, levels, strict=True)
            if piece.asked_ms is not None and not piece.late(now_ms)
        )

    def _chosen(self, now_ms: float) -> list[int]:
        """Returns the parts to ask."""
        able = [
            index
            for index, piece in enumerate(self.pieces)
            if piece.limit.burst > 0
            and piece.asked_ms is None
            and piece.retry_at_ms <= now_ms
        ]
        if len(able) < 2 or self._limit.burst < _ONE_PART_BURST:
            return able
        self._turn += 1
        return [able[self._turn % len(able)]]
