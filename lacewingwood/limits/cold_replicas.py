"""Bound on the requests that a replica gets in any second while it is cold.

Handles replicas that turn cold, and zones whose load returns. A cold replica
crashes well above its rate, and turns cold before any gateway knows. So
replicas of a service with such a bound are bounded at all times, and more
tightly while they are known to be cold. Performs no I/O.
"""

import collections
import dataclasses
import math
import zlib
from collections.abc import Iterable
from collections.abc import Mapping

import structlog

from lacewingwood import configuration
from lacewingwood.routing import directory

# The bound is on each period of this length.
_WINDOW_MS = 1_000.0
# One in so many requests of the bound is for gateways whose coordinators do not
# answer, and which can't know what the others send.
_PARTS_PER_ALONE = 5
# Batch work leaves this many requests to online ones.
_BATCH_RESERVE = 1
# Reports between up to 16 gateways, which need no coordinators, take less.
_REPORT_LAG_MS = 80.0
# Own requests that are looked at for this; more than any bound allows in it.
_MAX_OWN = 16
# Time after which the order of these gateways changes.
_ORDER_MS = 500
# Time in which load returns to a replica of a service without a bound. It is
# bounded by its slots in the first second.
_RETURN_MS = 4_000.0
_RETURN_GROWTH = 3.0
# In fleets with more bounded replicas, what was sent to warm ones is not
# reported: with 64, these counts take some 4 KB/s at each gateway.
_MAX_REPORTED_WARM = 64

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True, frozen=True)
class Bound:
    """Requests that one replica of a service takes in a second while cold.

    Attributes:
        rate: Requests a second that a cold replica takes.
        cold_ms: How long a replica is cold after its start.
        most: Most requests in any second, over all gateways.
        alone: Part of `most` for gateways whose coordinators do not answer.
        warm: Limit of a replica that is believed warm. A second may touch
            `alone` + 1 turns of gateways without a coordinator.
        cold: Limit of a replica that is known to be cold.
    """

    rate: float
    cold_ms: float
    most: int
    alone: int = dataclasses.field(init=False)
    warm: int = dataclasses.field(init=False)
    cold: int = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Derives the parts of the bound."""
        alone = max(1, self.most // _PARTS_PER_ALONE)
        warm = max(1, self.most - alone - 1)
        object.__setattr__(self, "alone", alone)
        object.__setattr__(self, "warm", warm)
        cold = max(1, min(warm, math.floor(self.rate)))
        object.__setattr__(self, "cold", cold)


def bounds(
    services: Iterable[configuration.Service], overage: float, slack: float
) -> dict[str, Bound]:
    """Returns the bounds of the services whose replicas may be cold.

    Args:
        services: All services.
        overage: Factor by which the rate may be exceeded in any second.
        slack: Requests allowed on top of that.
    """
    return {
        service.name: Bound(
            service.cold_rate,
            service.cold_ms,
            max(1, int(service.cold_rate * overage + slack)),
        )
        for service in services
        if service.cold_rate > 0
    }


@dataclasses.dataclass(slots=True)
class _Replica:
    """A replica and the requests that it got lately.

    Attributes:
        listing: Its entry when it was last looked at.
        bound: The bound of its service, None if it has none.
        cold_until_ms: It is known to be cold until then.
        returned_ms: When the evacuation of its zone was revoked.
        sent_ms: When requests were sent to it, or reported.
        own_ms: When this gateway last sent some of them.
        alone_ms: When this gateway last sent it one in a turn of its own.
    """

    listing: directory.Listing
    bound: Bound | None = None
    cold_until_ms: float = -math.inf
    returned_ms: float = -math.inf
    sent_ms: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    own_ms: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_OWN)
    )
    alone_ms: float = -math.inf

    def is_cold(self, now_ms: float) -> bool:
        """Returns whether it is known to be cold."""
        return now_ms < self.cold_until_ms

    def is_warming(self, now_ms: float) -> bool:
        """Returns whether its load is still kept below that of a warm one."""
        since_ms = now_ms - max(self.cold_until_ms, self.returned_ms)
        return since_ms < (self.bound.cold_ms if self.bound else _RETURN_MS)

    def limit(self, now_ms: float) -> float:
        """Returns the most requests in a second, which rise as it warms up."""
        bound = self.bound
        since_ms = max(0.0, now_ms - max(self.cold_until_ms, self.returned_ms))
        if bound is None:
            if since_ms >= _RETURN_MS:
                return math.inf
            slots = self.listing.slots
            return slots * (1 + _RETURN_GROWTH * since_ms / _RETURN_MS)
        if self.is_cold(now_ms):
            return bound.cold
        if since_ms >= bound.cold_ms:
            return bound.warm
        grown = (bound.warm - bound.cold) * since_ms / bound.cold_ms
        return bound.cold + grown

    def used(self, now_ms: float) -> int:
        """Returns the number of requests that it got in the last second."""
        sent_ms = self.sent_ms
        while sent_ms and sent_ms[0] <= now_ms - _WINDOW_MS:
            sent_ms.popleft()
        return len(sent_ms)


class ColdReplicas:
    """Bounds of all replicas, by incarnation.

    Attributes:
        share: Share of the bounds that belongs to this gateway and the peers
            whose reports arrive.
    """

    __slots__ = ("_bounds", "_replicas", "share")

    def __init__(self) -> None:
        self.share = 1.0
        self._bounds: dict[str, Bound] = {}
        self._replicas: dict[str, _Replica] = {}

    def configure(self, bounds: Mapping[str, Bound]) -> None:
        """Sets the bounds of services."""
        self._bounds = dict(bounds)
        for name, replica in list(self._replicas.items()):
            replica.bound = self._bounds.get(replica.listing.service)
            if replica.bound is None:
                del self._replicas[name]

    def update(
        self, listings: Iterable[directory.Listing], now_ms: float
    ) -> None:
        """Sets the listed replicas."""
        listed = {x.incarnation: x for x in listings}
        for name in [n for n in self._replicas if n not in listed]:
            del self._replicas[name]
        for name, listing in listed.items():
            bound = self._bounds.get(listing.service)
            replica = self._replicas.get(name)
            if replica is None:
                if bound is None:
                    continue
                replica = self._replicas[name] = _Replica(listing, bound)
            elif replica.listing is listing:
                # An entry tells only once how long the replica stays cold.
                continue
            replica.listing = listing
            if listing.warming_ms > 0 and bound is not None:
                self._note_cold(replica, listing.warming_ms, now_ms)

    def counted(self, now_ms: float) -> list[str]:
        """Returns the replicas whose requests have to be counted."""
        return [
            name
            for name, replica in self._replicas.items()
            if replica.bound is not None or replica.is_warming(now_ms)
        ]

    def note_returned(
        self, listings: Iterable[directory.Listing], now_ms: float
    ) -> None:
        """Lets load return gradually to replicas that got none for a while."""
        for listing in listings:
            replica = self._replicas.setdefault(
                listing.incarnation, _Replica(listing)
            )
            replica.returned_ms = now_ms

    def has_limit(self, name: str, now_ms: float) -> bool:
        """Returns whether a replica's requests are bounded now."""
        replica = self._replicas.get(name)
        return replica is not None and (
            replica.bound is not None or replica.limit(now_ms) < math.inf
        )

    def count_cold(self, now_ms: float) -> int:
        """Returns the number of replicas that are known to be cold."""
        return sum(r.is_cold(now_ms) for r in self._replicas.values())

    def may_send(
        self,
        name: str,
        now_ms: float,
        batch: bool,
        cautious: bool,
        turn: tuple[int, int, int],
    ) -> bool:
        """Returns whether a replica takes another request now.

        Args:
            name: The replica.
            now_ms: Present time.
            batch: True for batch work.
            cautious: True if another gateway may have granted requests that
                are not known here; half of the bound is left for these.
            turn: Position of this gateway among those that decide on requests
                to the replica, their number, and the Unix time.
        """
        replica = self._replicas.get(name)
        if replica is None:
            return True
        limit = self._limit(replica, now_ms, cautious)
        if limit == math.inf:
            return True
        # Gateways that decide at the same moment leave a request to each that
        # comes before them in an order that changes, and as many as they sent
        # themselves since the last reports to each of the others.
        position, count, wall_ms = turn
        offset = wall_ms // _ORDER_MS + _phase_ms(name)
        unreported = sum(now_ms - t < _REPORT_LAG_MS for t in replica.own_ms)
        before = (position + offset) % count + unreported * (count - 1)
        needed = min(1 + _BATCH_RESERVE * batch, limit) + before
        return limit - replica.used(now_ms) >= needed

    def may_send_alone(
        self, name: str, now_ms: float, position: int, count: int, wall_ms: int
    ) -> bool:
        """Returns whether a gateway without a coordinator may send a request.

        The gateways take turns at each replica, with one request a turn, so
        that any number of them together keep to their part of the bound.

        Args:
            name: The replica.
            now_ms: Present time.
            position: The gateway's position among those that run, from 0.
            count: Number of gateways that run.
            wall_ms: Unix time, which decides whose turn it is.
        """
        replica = self._replicas.get(name)
        if replica is None or replica.bound is None:
            return True
        bound = replica.bound
        if replica.used(now_ms) >= bound.most:
            return False
        turn_ms = _WINDOW_MS / bound.alone
        turns, passed_ms = divmod(wall_ms + _phase_ms(name), turn_ms)
        if turns % count != position:
            return False
        return replica.alone_ms < now_ms - passed_ms

    def expected(self, name: str, now_ms: float, within_ms: float) -> float:
        """Returns how many requests a replica takes within a time."""
        replica = self._replicas.get(name)
        if replica is None:
            return math.inf
        limit = self._limit(replica, now_ms, cautious=False)
        free = max(0.0, limit - replica.used(now_ms))
        return free + limit * max(0.0, within_ms) / _WINDOW_MS

    def used_share(self, name: str, now_ms: float) -> float:
        """Returns the used share of the limit of a replica that warms up.

        It is 0 for a warm one, so that the slots alone decide there.
        """
        replica = self._replicas.get(name)
        if replica is None or not replica.is_warming(now_ms):
            return 0.0
        return replica.used(now_ms) / replica.limit(now_ms)

    def note_sent(self, name: str, now_ms: float, alone: bool = False) -> None:
        """Counts a request that is sent to a replica."""
        replica = self._replicas.get(name)
        if replica is not None:
            replica.used(now_ms)
            replica.sent_ms.append(now_ms)
            replica.own_ms.append(now_ms)
            if alone:
                replica.alone_ms = now_ms

    def note_unsent(self, name: str, noted_ms: float) -> None:
        """Takes back a count; nothing was sent after all."""
        replica = self._replicas.get(name)
        if replica is not None and noted_ms in replica.sent_ms:
            replica.sent_ms.remove(noted_ms)

    def note_reported(self, name: str, count: int, now_ms: float) -> None:
        """Counts requests that another gateway has sent, as sent now."""
        replica = self._replicas.get(name)
        if replica is not None:
            # More than the bound makes no difference.
            most = (
                replica.bound.most if replica.bound else replica.listing.slots
            )
            used = replica.used(now_ms)
            replica.sent_ms.extend([now_ms] * min(count, max(0, most - used)))

    def reports(self, name: str, now_ms: float) -> bool:
        """Returns whether peers are told what was sent to a replica."""
        replica = self._replicas.get(name)
        if replica is None:
            return False
        few = len(self._replicas) <= _MAX_REPORTED_WARM
        return few or replica.is_warming(now_ms)

    def dump(self, now_ms: float) -> dict[str, tuple[int, float]]:
        """Returns for each replica its requests in a second, and the limit."""
        return {
            name: (replica.used(now_ms), round(replica.limit(now_ms), 1))
            for name, replica in self._replicas.items()
            if replica.limit(now_ms) < math.inf
        }

    def _limit(self, replica: _Replica, now_ms: float, cautious: bool) -> float:
        limit = replica.limit(now_ms)
        if limit == math.inf:
            return limit
        if cautious:
            limit //= 2
        return max(1.0, round(limit * self.share))

    def _note_cold(
        self, replica: _Replica, remaining_ms: float, now_ms: float
    ) -> None:
        if not replica.is_cold(now_ms):
            _log.info(
                "replica cold",
                replica=replica.listing.id,
                remaining_ms=round(remaining_ms),
                sent=replica.used(now_ms),
            )
        replica.cold_until_ms = now_ms + remaining_ms


def _phase_ms(name: str) -> int:
    """Returns a number that makes turns at different replicas differ."""
    return zlib.crc32(name.encode()) % 1_000_000
