"""Borrows pieces of a customer's bucket; runs in an entry process.

A customer's token bucket is split into parts (see `split`), each owned by one
process (see `lender`). An entry process admits requests from pieces: token
buckets that it has borrowed from the owners of the parts for a limited time.

This module does no I/O; callers carry the messages and pass in the time.
"""

import math
from collections.abc import Iterator

from lacewingwood.limits import bucket
from lacewingwood.limits import lender
from lacewingwood.limits import split
from lacewingwood.peers import messages

_RENEW_AFTER_MS = lender.TTL_MS / 3
# An answer counts as late after this time or after four times the mean round
# trip, whichever is longer. Its tokens are then requested from other parts.
_MIN_LATE_MS = 20.0
_MIN_USE_MS = 10.0
_RTT_WEIGHT = 0.2
_INITIAL_RTT_MS = 2.5
# Time constant of the exponential moving average of the demand.
_DEMAND_AVERAGING_MS = 2_000.0
_IDLE_AFTER_MS = 5_000.0
# Customers with at least this burst borrow from one part at a time. With
# smaller parts, one part could be full and lose its refill while the other is
# short of tokens.
_MIN_BURST_FOR_ONE_PART = 32


class Piece:
    """The piece of one part of a bucket that an entry process holds.

    Attributes:
        limit: Limit of the part.
        request_share: Tokens of this part that one admission takes.
        requested_ms: Time of the unanswered borrow request, None if there is
            none.
        retry_at_ms: Time from which another borrow request may help.
        serial: Serial of the last message to the owner.
        wanted_level: Level that the last borrow request asked for.
    """

    __slots__ = (
        "_applied",
        "_bucket",
        "_customer",
        "_epoch",
        "_expires_ms",
        "_index",
        "_node_id",
        "_owner_overcounts",
        "_rtt_ms",
        "_serials",
        "_use_ms",
        "limit",
        "request_share",
        "requested_ms",
        "retry_at_ms",
        "serial",
        "wanted_level",
    )

    def __init__(
        self,
        node_id: str,
        customer: str,
        index: int,
        limit: split.Limit,
        serials: Iterator[int],
    ) -> None:
        """Creates a piece that holds no tokens.

        Args:
            node_id: Node id of this process.
            customer: Name of the customer.
            index: Index of the part.
            limit: Limit of the part.
            serials: Increasing numbers; all pieces of the process share the
                iterator.
        """
        self._node_id = node_id
        self._customer = customer
        self._index = index
        self._bucket = bucket.Bucket(0.0, 0.0, 0.0, 0.0)
        self._expires_ms = -math.inf
        self._epoch = -1
        # Answers to requests of this process's earlier pieces of the same part
        # count as applied.
        self.serial = self._applied = next(serials)
        self._serials = serials
        self._rtt_ms = _INITIAL_RTT_MS
        self._use_ms = _MIN_USE_MS
        # True if the owner still counts more as lent than this piece holds.
        self._owner_overcounts = False
        self.limit = limit
        self.request_share = 1.0
        self.requested_ms: float | None = None
        self.retry_at_ms = -math.inf
        self.wanted_level = 0.0

    def level(self, now_ms: float) -> float:
        """Returns the tokens that are available now."""
        return self._bucket.level(now_ms) if now_ms < self._expires_ms else 0.0

    def take(self, now_ms: float, amount: float) -> None:
        """Takes tokens out of the piece."""
        self._bucket.take(now_ms, amount)

    def rate(self, now_ms: float) -> float:
        """Returns the refill rate, in requests per second."""
        return self._bucket.rate if now_ms < self._expires_ms else 0.0

    def is_refilling(self, now_ms: float) -> bool:
        """Returns whether the piece has a refill rate."""
        return self.rate(now_ms) > 0

    def is_due(self, now_ms: float) -> bool:
        """Returns whether the piece should be renewed."""
        left_ms = self._expires_ms - now_ms
        return (
            self.is_refilling(now_ms)
            and left_ms < lender.TTL_MS - _RENEW_AFTER_MS
        )

    def is_late(self, now_ms: float) -> bool:
        """Returns whether the owner's answer is unusually late."""
        if self.requested_ms is None:
            return False
        return now_ms - self.requested_ms > max(_MIN_LATE_MS, 4 * self._rtt_ms)

    def make_request(
        self, now_ms: float, want: float, demand: float
    ) -> messages.Borrow:
        """Returns a new borrow request, which supersedes any earlier one."""
        self.serial = next(self._serials)
        self.requested_ms = now_ms
        self.wanted_level = want
        self._owner_overcounts = False
        live = now_ms < self._expires_ms
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

    def apply_answer(self, now_ms: float, answer: messages.Lent) -> None:
        """Replaces the piece by what the owner lent.

        An answer that is late or belongs to an earlier request is ignored.
        """
        requested_ms = self.requested_ms
        if requested_ms is None or answer.serial != self.serial:
            return
        self.requested_ms = None
        round_trip_ms = now_ms - requested_ms
        self._update_round_trip(round_trip_ms)
        self.retry_at_ms = now_ms + self._retry_ms(now_ms, answer)
        if round_trip_ms >= min(lender.ANSWER_TIMEOUT_MS, answer.ttl_ms):
            return
        self._owner_overcounts = answer.rate < self.rate(now_ms)
        level = self.level(now_ms) + answer.add_level
        self._bucket = bucket.Bucket(answer.rate, answer.depth, level, now_ms)
        self._expires_ms = requested_ms + answer.ttl_ms
        self._epoch = answer.epoch
        self._applied = answer.serial

    def note_failure(self, now_ms: float, serial: int, retry_ms: float) -> None:
        """Stops waiting for the answer to the request with `serial`."""
        if serial != self.serial or self.requested_ms is None:
            return
        self.requested_ms = None
        self.retry_at_ms = now_ms + retry_ms

    def return_piece(self, now_ms: float) -> messages.Return | None:
        """Stops using the piece.

        Returns:
            The message that returns it to the owner, None if there is nothing
            to return.
        """
        level = self.level(now_ms)
        empty = level <= bucket.ROUNDING and not self.is_refilling(now_ms)
        if empty and not self._owner_overcounts:
            return None
        self._owner_overcounts = False
        self.serial = next(self._serials)
        self.requested_ms = None
        self._expires_ms = -math.inf
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
        """Returns the time until one more waiting request may be admitted."""
        missing = self.wanted_level - self.level(now_ms) - answer.add_level
        if missing <= self.request_share:
            return answer.retry_ms
        return answer.retry_ms * self.request_share / missing

    def _update_round_trip(self, round_trip_ms: float) -> None:
        """Updates the mean round trip and the lifetime to request."""
        self._rtt_ms += _RTT_WEIGHT * (round_trip_ms - self._rtt_ms)
        use_ms = max(_MIN_USE_MS, 4 * self._rtt_ms)
        if round_trip_ms >= self._use_ms:
            use_ms = max(use_ms, 2 * round_trip_ms)
        self._use_ms = min(use_ms, lender.ANSWER_TIMEOUT_MS)


class Borrower:
    """One customer's pieces in one entry process.

    Attributes:
        pieces: The pieces, by index of the part.
    """

    __slots__ = ("_arrived_ms", "_demand", "_limit", "_rotation", "pieces")

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
        self._rotation = split.shard(node_id)
        self.pieces = [
            Piece(node_id, customer, index, part, serials)
            for index, part in enumerate(split.parts(limit))
        ]

    def set_limit(self, limit: split.Limit) -> None:
        """Changes the limit; pieces already held stay until renewed."""
        if limit == self._limit:
            return
        self._limit = limit
        for piece, part in zip(self.pieces, split.parts(limit), strict=True):
            piece.limit = part
            piece.retry_at_ms = -math.inf

    def note_arrival(self, now_ms: float) -> None:
        """Counts an arriving request towards the demand."""
        self._demand = self.demand(now_ms) + 1000 / _DEMAND_AVERAGING_MS
        self._arrived_ms = now_ms

    def demand(self, now_ms: float) -> float:
        """Returns the average of recent arrivals per second."""
        passed_ms = max(0.0, now_ms - self._arrived_ms)
        return self._demand * math.exp(-passed_ms / _DEMAND_AVERAGING_MS)

    def is_idle(self, now_ms: float) -> bool:
        """Returns whether no request has arrived for `_IDLE_AFTER_MS`."""
        return now_ms - self._arrived_ms > _IDLE_AFTER_MS

    def admit(self, now_ms: float) -> bool:
        """Takes one token from all pieces together, in proportion to levels.

        Returns:
            Whether the pieces together held a token.
        """
        levels = [piece.level(now_ms) for piece in self.pieces]
        total = sum(levels)
        if total + bucket.ROUNDING < 1:
            return False
        for piece, level in zip(self.pieces, levels, strict=True):
            piece.take(now_ms, min(level, level / total))
        return True

    def borrow_requests(
        self, now_ms: float, waiting: int
    ) -> list[tuple[int, messages.Borrow]]:
        """Returns the borrow requests for `waiting` requests.

        Args:
            now_ms: Current time.
            waiting: Number of requests that wait for admission.

        Returns:
            Pairs of the index of a part and the request to its owner.
        """
        levels = [piece.level(now_ms) for piece in self.pieces]
        missing = waiting - sum(levels) - self._expected_level(now_ms, levels)
        if missing <= bucket.ROUNDING:
            return []
        asked_parts = self._parts_to_ask(now_ms)
        total = sum(self.pieces[index].limit.burst for index in asked_parts)
        return [
            self._make_request(
                index,
                now_ms,
                levels[index]
                + missing * self.pieces[index].limit.burst / total,
            )
            for index in asked_parts
        ]

    def renewals(self, now_ms: float) -> list[tuple[int, messages.Borrow]]:
        """Returns the borrow requests that renew refilling pieces."""
        return [
            self._make_request(index, now_ms, 0.0)
            for index, piece in enumerate(self.pieces)
            if piece.requested_ms is None and piece.is_due(now_ms)
        ]

    def return_pieces(self, now_ms: float) -> list[tuple[int, messages.Return]]:
        """Stops using all pieces; returns the messages by part."""
        returns = [piece.return_piece(now_ms) for piece in self.pieces]
        return [(i, msg) for i, msg in enumerate(returns) if msg is not None]

    def return_leftovers(
        self, now_ms: float
    ) -> list[tuple[int, messages.Return]]:
        """Stops using pieces without a refill; returns the messages by part.

        They hold fractions of a token, which nobody can use here.
        """
        return [
            (index, msg)
            for index, piece in enumerate(self.pieces)
            if piece.requested_ms is None and not piece.is_refilling(now_ms)
            if (msg := piece.return_piece(now_ms)) is not None
        ]

    def has_pending_request(self) -> bool:
        """Returns whether a borrow request has no answer yet."""
        return any(piece.requested_ms is not None for piece in self.pieces)

    def retry_ms(self, now_ms: float) -> float:
        """Returns the time until another borrow request may help."""
        usable = [p for p in self.pieces if p.limit.burst > 0]
        at_ms = min((p.retry_at_ms for p in usable), default=math.inf)
        return max(0.0, at_ms - now_ms)

    def refill_wait_ms(self, now_ms: float, max_wait_ms: float) -> float:
        """Returns the time until all parts that refill soon have refilled.

        Taking the tokens missing in one part from another would exhaust that
        one.

        Args:
            now_ms: Current time.
            max_wait_ms: Parts that take longer to refill are left out.
        """
        waits = [max(0.0, piece.retry_at_ms - now_ms) for piece in self.pieces]
        return max((wait for wait in waits if wait <= max_wait_ms), default=0.0)

    def _make_request(
        self, index: int, now_ms: float, want: float
    ) -> tuple[int, messages.Borrow]:
        piece = self.pieces[index]
        share = piece.limit.burst / max(1, self._limit.burst)
        piece.request_share = share
        demand = self.demand(now_ms) * share
        return index, piece.make_request(now_ms, want, demand)

    def _expected_level(self, now_ms: float, levels: list[float]) -> float:
        """Returns the tokens that outstanding answers will probably add.

        Late answers are left out.
        """
        return sum(
            max(0.0, piece.wanted_level - level)
            for piece, level in zip(self.pieces, levels, strict=True)
            if piece.requested_ms is not None and not piece.is_late(now_ms)
        )

    def _parts_to_ask(self, now_ms: float) -> list[int]:
        """Returns the indices of the parts to borrow from."""
        available = [
            index
            for index, piece in enumerate(self.pieces)
            if piece.limit.burst > 0
            and piece.requested_ms is None
            and piece.retry_at_ms <= now_ms
        ]
        if len(available) < 2 or self._limit.burst < _MIN_BURST_FOR_ONE_PART:
            return available
        self._rotation += 1
        return [available[self._rotation % len(available)]]
