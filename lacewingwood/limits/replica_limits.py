"""Rates at which replicas take requests, kept over all gateways.

A replica in trouble names a limit in its responses. Gateways tell each other
the newest limit that they know and how many requests they have sent, so that
all together keep to it (`shared`). A replica that may be cold has a bound on
each second (`cold_replicas`), for which the same counts are exchanged. Replicas
are named by their incarnations.
"""

import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping

import structlog

from lacewingwood.limits import cold_replicas
from lacewingwood.limits import shared
from lacewingwood.peers import gateway_messages
from lacewingwood.routing import directory

# A replica that takes nothing still gets a request in this time, since only a
# response tells that its limit has ended.
_PROBE_INTERVAL_S = 4.0
# Requests that may be sent at once beyond those of `_BURST_S` at the rate.
_BURST = 2.0
_BURST_S = 1.5
# Batch work leaves this many requests to online ones.
_BATCH_RESERVE = 1.0
# Gateways that wait for the same replica become ready to send this far apart,
# which is longer than a report between them takes.
_TURN_S = 0.04
# Time after which the order of the gateways changes.
_TURN_ORDER_MS = 500
# Gateways report the limits that they learned in this time.
_REPORT_MS = 3_000.0
# Reports of a limit that is as new as this are forwarded without delay.
_URGENT_MS = 1_000.0
# What is known of a replica is forgotten after this time without a response.
_RETENTION_MS = 600_000.0

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class _Limit:
    """What is known of one replica's limit.

    Attributes:
        rate: Requests a second, None for any number.
        learned_ms: Time of the response that told it.
        changed_ms: When a different rate was last learned by a response to this
            gateway.
        seen_here: True if that response came to this gateway.
    """

    rate: float | None
    learned_ms: float
    changed_ms: float
    seen_here: bool


class ReplicaLimits:
    """Limits that replicas have named, and what was sent under them.

    Attributes:
        cold: Bounds of replicas that may be cold.
        share: Share of the limits that belongs to this gateway and the peers
            whose reports arrive.
    """

    __slots__ = ("_limits", "_sent", "cold")

    def __init__(self) -> None:
        self._limits: dict[str, _Limit] = {}
        self._sent = shared.SharedLimits(counts_first_report=True)
        self.cold = cold_replicas.ColdReplicas()
        self._sent.on_reported = self.cold.note_reported

    @property
    def share(self) -> float:
        """Share of the limits of this gateway and the peers that report."""
        return self._sent.share

    @share.setter
    def share(self, share: float) -> None:
        self._sent.share = self.cold.share = share

    def update_replicas(
        self, listings: Iterable[directory.Listing], now_ms: float
    ) -> None:
        """Sets the listed replicas, with what their entries tell of them."""
        self.cold.update(listings, now_ms)
        self._sent.count(self.cold.counted(now_ms), now_ms)

    def note_returned(
        self, listings: Iterable[directory.Listing], now_ms: float
    ) -> None:
        """Lets load return gradually to replicas whose zone was evacuated."""
        self.cold.note_returned(listings, now_ms)
        self._sent.count(self.cold.counted(now_ms), now_ms)

    def has_limit(self, replica: str, now_ms: float) -> bool:
        """Returns whether the requests to a replica are limited now."""
        return self.rate(replica) is not None or self.cold.has_limit(
            replica, now_ms
        )

    def rate(self, replica: str) -> float | None:
        """Returns a replica's limit in requests a second, None if it has none.

        A replica that takes no requests counts with the rate of the probes.
        """
        limit = self._limits.get(replica)
        if limit is None or limit.rate is None:
            return None
        return max(limit.rate, 1 / _PROBE_INTERVAL_S)

    def may_send(
        self,
        replica: str,
        now_ms: float,
        batch: bool = False,
        stagger_s: float = 0.0,
        cautious: bool = False,
        turn: tuple[int, int, int] = (0, 1, 0),
    ) -> bool:
        """Returns whether a replica takes another request now.

        Args:
            replica: The replica.
            now_ms: Present time.
            batch: True for batch work.
            stagger_s: How much longer than others this gateway waits for each
                request, so that gateways do not use the same one.
            cautious: True if another gateway may have granted requests that
                are not known here.
            turn: Position and number of the gateways that decide, and the Unix
                time; see `cold_replicas.ColdReplicas.may_send`.
        """
        if not self.cold.may_send(replica, now_ms, batch, cautious, turn):
            return False
        return self._may_send_by_rate(replica, now_ms, batch, stagger_s)

    def may_send_alone(
        self,
        replica: str,
        now_ms: float,
        batch: bool,
        stagger_s: float,
        turn: tuple[int, int, int],
    ) -> bool:
        """Returns whether a gateway without a coordinator may send a request.

        Args:
            replica: The replica.
            now_ms: Present time.
            batch: True for batch work.
            stagger_s: How much longer than others this gateway waits.
            turn: Position and number of gateways, and the Unix time; see
                `cold_replicas.ColdReplicas.may_send_alone`.
        """
        if not self.cold.may_send_alone(replica, now_ms, *turn):
            return False
        return self._may_send_by_rate(replica, now_ms, batch, stagger_s)

    def _may_send_by_rate(
        self, replica: str, now_ms: float, batch: bool, stagger_s: float
    ) -> bool:
        rate = self.rate(replica)
        if rate is None:
            return True
        needed = 1 + _BATCH_RESERVE * batch + stagger_s * rate
        return self._level(replica, now_ms) >= min(needed, _burst(rate))

    def used_share(self, replica: str, now_ms: float) -> float:
        """Returns the share of its limit that a replica has got recently.

        It is 0 for a replica without a limit, and above 1 if too much was sent.
        """
        cold = self.cold.used_share(replica, now_ms)
        rate = self.rate(replica)
        if rate is None:
            return cold
        return max(cold, 1 - self._level(replica, now_ms) / _burst(rate))

    def expected(self, replica: str, now_ms: float, within_ms: float) -> float:
        """Returns how many requests a limited replica takes within a time."""
        cold = self.cold.expected(replica, now_ms, within_ms)
        rate = self.rate(replica)
        if rate is None:
            return cold
        level = max(0.0, self._level(replica, now_ms))
        return min(cold, level + rate * within_ms / 1000)

    def note_sent(
        self, replica: str, now_ms: float, alone: bool = False
    ) -> None:
        """Counts a request that is sent to a replica.

        Args:
            replica: The replica.
            now_ms: Present time.
            alone: True if no coordinator granted it.
        """
        self._sent.note_admission(replica, now_ms)
        self.cold.note_sent(replica, now_ms, alone)

    def note_response(
        self, replica: str, rate: float | None, now_ms: float
    ) -> None:
        """Records the limit that a response names, None for no limit."""
        if rate is not None or replica in self._limits:
            self._note(replica, rate, now_ms, now_ms, seen_here=True)

    def note_report(
        self,
        node: str,
        started_ms: int,
        sent: Mapping[str, int],
        now_ms: float,
    ) -> None:
        """Applies a peer's counts of the requests that it has sent.

        Args:
            node: The peer.
            started_ms: Start time of its process.
            sent: Requests that it has sent, by replica.
            now_ms: Present time.
        """
        self._sent.note_report(node, started_ms, sent, now_ms)

    def note_limits(
        self,
        limits: Mapping[str, gateway_messages.ReplicaLimit],
        now_ms: float,
    ) -> None:
        """Applies limits that a peer or a zone has learned."""
        for replica, limit in limits.items():
            self._note(
                replica,
                limit.rate,
                now_ms - limit.age_ms,
                now_ms,
                seen_here=False,
            )

    def report(self, now_ms: float) -> dict[str, gateway_messages.ReplicaLimit]:
        """Returns the limits that responses told this gateway recently."""
        return {
            replica: _encode(limit, now_ms)
            for replica, limit in self._limits.items()
            if limit.seen_here and now_ms - limit.learned_ms < _REPORT_MS
        }

    def copy(self, now_ms: float) -> dict[str, gateway_messages.ReplicaLimit]:
        """Returns all limits, for a gateway that has just started."""
        return {
            replica: _encode(limit, now_ms)
            for replica, limit in self._limits.items()
        }

    def recently_sent(self, now_ms: float) -> dict[str, int]:
        """Returns recently changed counts of requests sent, for the peers."""
        return {
            replica: count
            for replica, count in self._sent.recent_admissions(now_ms).items()
            if replica in self._limits or self.cold.reports(replica, now_ms)
        }

    def is_urgent(self, now_ms: float) -> bool:
        """Returns whether other gateways need to hear of a limit at once.

        Where this matters, coordinators grant the requests to most replicas, so
        the counts may come later.
        """
        return any(
            now_ms - limit.changed_ms < _URGENT_MS
            for limit in self._limits.values()
        )

    def expire(self, now_ms: float) -> None:
        """Forgets replicas that have not responded for long."""
        oldest_ms = now_ms - _RETENTION_MS
        for replica, limit in list(self._limits.items()):
            if limit.learned_ms < oldest_ms:
                del self._limits[replica]
                self._sent.end_rate(replica, now_ms)

    def dump(self, now_ms: float) -> dict[str, tuple[float | None, float]]:
        """Returns each replica's limit and the requests that it takes now."""
        return {
            replica: (limit.rate, round(self._level(replica, now_ms), 1))
            for replica, limit in self._limits.items()
        }

    def _note(
        self,
        replica: str,
        rate: float | None,
        learned_ms: float,
        now_ms: float,
        seen_here: bool,
    ) -> None:
        known = self._limits.get(replica)
        if known is not None and known.learned_ms > learned_ms:
            return
        if known is None or known.rate != rate:
            _log.info(
                "replica limit changed",
                replica=replica,
                rate=rate,
                before=known.rate if known is not None else None,
                age_ms=round(now_ms - learned_ms),
                sent=self._sent.recent_admissions(now_ms).get(replica, 0),
                source="response" if seen_here else "peer",
            )
            changed_ms = learned_ms if seen_here else float("-inf")
            known = _Limit(rate, learned_ms, changed_ms, seen_here)
            self._limits[replica] = known
            kept = self.rate(replica) or 0.0
            self._sent.set_rate(replica, kept, _burst(kept), now_ms)
        known.learned_ms, known.seen_here = learned_ms, seen_here

    def _level(self, replica: str, now_ms: float) -> float:
        return self._sent.level(replica, now_ms) or 0.0


def stagger_s(position: int, count: int, wall_ms: int) -> float:
    """Returns how much longer than others a gateway waits for a request.

    Without this, all gateways with waiting requests would send one as soon as
    a replica takes a single one.

    Args:
        position: The gateway's position among those that run, from 0.
        count: Number of gateways that run.
        wall_ms: Unix time, which decides who comes first.
    """
    return (position + wall_ms // _TURN_ORDER_MS) % count * _TURN_S


def _burst(rate: float) -> float:
    return _BURST + _BURST_S * rate


def _encode(limit: _Limit, now_ms: float) -> gateway_messages.ReplicaLimit:
    return gateway_messages.ReplicaLimit(limit.rate, now_ms - limit.learned_ms)
