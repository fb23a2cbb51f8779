"""Which gateways of a zone pass on what the zone's others report.

In a large zone no gateway reports to all others. Each reports to two hubs,
the first by host of those that answer; the second is a standby. A hub is
whoever is reported to, and answers with all that is new to it, at longer
intervals as a standby. Hubs report to each other in the same way, so what one
knows reaches all.
"""

import dataclasses
import random
from collections.abc import Iterable

# Hubs that a gateway reports to: while one is being replaced, the other goes
# on.
_HUBS = 2
# A hub that has not answered for this long is passed over, and tried again
# after about the longer time.
_MUTE_MS = 1_000.0
_RETRY_MS = 4_000.0
# A gateway that has not reported for this long gets no more from this hub.
_SUBSCRIPTION_MS = 1_500.0


@dataclasses.dataclass(slots=True)
class _Hub:
    """What is known of a gateway as a hub.

    Attributes:
        asked_ms: When reports to it began, None while it gets none.
        heard_ms: When it last passed something on.
        avoid_until_ms: Passed over before this time.
    """

    asked_ms: float | None = None
    heard_ms: float = float("-inf")
    avoid_until_ms: float = 0.0


class Hubs:
    """Choice of hubs, and who takes this gateway for one."""

    __slots__ = ("_hubs", "_rng", "_subscribers")

    def __init__(self, rng: random.Random | None = None) -> None:
        self._hubs: dict[str, _Hub] = {}
        self._subscribers: dict[str, tuple[float, bool]] = {}
        self._rng = rng or random.Random()

    def choose(self, hosts: Iterable[str], now_ms: float) -> list[str]:
        """Returns the hubs to report to now, the standby last.

        Args:
            hosts: Gateways of this zone that should be there.
            now_ms: Present time.
        """
        ordered = sorted(hosts)
        chosen = [h for h in ordered if self._may_ask(h, now_ms)][:_HUBS]
        # All were mute: some may be back.
        chosen = chosen or self._rng.sample(ordered, min(_HUBS, len(ordered)))
        for host, hub in self._hubs.items():
            if host not in chosen:
                hub.asked_ms = None
        for host in chosen:
            hub = self._hubs.setdefault(host, _Hub())
            if hub.asked_ms is None:
                hub.asked_ms = now_ms
        return chosen

    def note_heard(self, host: str, now_ms: float) -> None:
        """Notes that a hub has passed something on."""
        hub = self._hubs.setdefault(host, _Hub())
        hub.heard_ms = now_ms
        hub.avoid_until_ms = 0.0

    def subscribe(
        self, host: str, now_ms: float, standby: bool = False
    ) -> None:
        """Notes that a gateway reports to this one, if only as its standby."""
        self._subscribers[host] = now_ms, standby

    def unsubscribe(self, host: str) -> None:
        """Notes that a gateway has stopped."""
        self._subscribers.pop(host, None)

    def subscribers(
        self, now_ms: float, standby: bool | None = None
    ) -> list[str]:
        """Returns the gateways that take this one for a hub.

        Args:
            now_ms: Present time.
            standby: Whether as their standby; None for all.
        """
        limit_ms = now_ms - _SUBSCRIPTION_MS
        over = [h for h, (at, _) in self._subscribers.items() if at < limit_ms]
        for host in over:
            del self._subscribers[host]
        return [
            host
            for host, (_, kind) in self._subscribers.items()
            if standby is None or kind == standby
        ]

    def _may_ask(self, host: str, now_ms: float) -> bool:
        hub = self._hubs.get(host)
        if hub is None:
            return True
        if hub.avoid_until_ms > now_ms:
            return False
        if hub.asked_ms is None:
            return True
        if now_ms - max(hub.heard_ms, hub.asked_ms) <= _MUTE_MS:
            return True
        # Spread, so that not all gateways try it at the same moment.
        retry_ms = _RETRY_MS * self._rng.uniform(0.75, 1.25)
        hub.avoid_until_ms = now_ms + retry_ms
        return False
