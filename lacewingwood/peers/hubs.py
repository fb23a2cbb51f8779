"""Chooses the hubs that forward reports between the gateways of a zone.

In a large zone no gateway reports to all others. Each reports to two hubs: of
the gateways that answer, the first two in the order of their host names. The
second is its standby. A gateway that receives such reports is thereby a hub,
and answers with all reports that are new to it, at longer intervals to those
whose standby it is. Hubs report to each other in the same way, so a report
that reaches one hub reaches all gateways of the zone.
"""

import dataclasses
import random
from collections.abc import Iterable

# Hubs that a gateway reports to; while one is being replaced, the other still
# forwards reports.
_HUB_COUNT = 2
# A hub that has not answered for `_HUB_TIMEOUT_MS` is skipped, and tried again
# after about `_HUB_RETRY_MS`.
_HUB_TIMEOUT_MS = 1_000.0
_HUB_RETRY_MS = 4_000.0
# A hub sends nothing more to a gateway that has not reported for this long.
_SUBSCRIPTION_TTL_MS = 1_500.0


@dataclasses.dataclass(slots=True)
class _Hub:
    """State of a gateway that was chosen as a hub or answered as one.

    Attributes:
        reporting_since_ms: When this gateway began to report to the hub, None
            while it does not.
        answer_ms: When the hub last sent forwarded reports.
        avoid_until_ms: The hub is skipped before this time.
    """

    reporting_since_ms: float | None = None
    answer_ms: float = float("-inf")
    avoid_until_ms: float = 0.0


class Hubs:
    """The hubs of a gateway, and the gateways whose hub it is.

    The latter are its subscribers.
    """

    __slots__ = ("_hubs", "_rng", "_subscribers")

    def __init__(self, rng: random.Random | None = None) -> None:
        self._hubs: dict[str, _Hub] = {}
        # Time of the last report, and whether it was to a standby, by host.
        self._subscribers: dict[str, tuple[float, bool]] = {}
        self._rng = rng or random.Random()

    def choose(self, hosts: Iterable[str], now_ms: float) -> list[str]:
        """Returns the hubs to report to now, the standby last.

        Args:
            hosts: Other gateways of this zone that are expected to run.
            now_ms: Current time.
        """
        ordered = sorted(hosts)
        chosen = [h for h in ordered if self._is_usable(h, now_ms)][:_HUB_COUNT]
        # No hub has answered recently, but some may be reachable again.
        chosen = chosen or self._rng.sample(
            ordered, min(_HUB_COUNT, len(ordered))
        )
        for host, hub in self._hubs.items():
            if host not in chosen:
                hub.reporting_since_ms = None
        for host in chosen:
            hub = self._hubs.setdefault(host, _Hub())
            if hub.reporting_since_ms is None:
                hub.reporting_since_ms = now_ms
        return chosen

    def note_answer(self, host: str, now_ms: float) -> None:
        """Records that a hub has sent forwarded reports."""
        hub = self._hubs.setdefault(host, _Hub())
        hub.answer_ms = now_ms
        hub.avoid_until_ms = 0.0

    def subscribe(
        self, host: str, now_ms: float, standby: bool = False
    ) -> None:
        """Records that a gateway reports to this one as its hub or standby."""
        self._subscribers[host] = now_ms, standby

    def unsubscribe(self, host: str) -> None:
        """Removes a gateway that has stopped."""
        self._subscribers.pop(host, None)

    def subscribers(
        self, now_ms: float, standby: bool | None = None
    ) -> list[str]:
        """Returns the gateways that report to this one as a hub.

        Args:
            now_ms: Current time.
            standby: True for those whose standby this gateway is, False for
                the others, None for all.
        """
        limit_ms = now_ms - _SUBSCRIPTION_TTL_MS
        expired = [
            host
            for host, (report_ms, _) in self._subscribers.items()
            if report_ms < limit_ms
        ]
        for host in expired:
            del self._subscribers[host]
        return [
            host
            for host, (_, is_standby) in self._subscribers.items()
            if standby is None or is_standby == standby
        ]

    def _is_usable(self, host: str, now_ms: float) -> bool:
        hub = self._hubs.get(host)
        if hub is None:
            return True
        if hub.avoid_until_ms > now_ms:
            return False
        if hub.reporting_since_ms is None:
            return True
        if (
            now_ms - max(hub.answer_ms, hub.reporting_since_ms)
            <= _HUB_TIMEOUT_MS
        ):
            return True
        # Random, so that the gateways do not all retry at the same moment.
        retry_ms = _HUB_RETRY_MS * self._rng.uniform(0.75, 1.25)
        hub.avoid_until_ms = now_ms + retry_ms
        return False
