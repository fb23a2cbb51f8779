"""Directory of the replicas that the platform lists."""

import msgspec

# After an outage of the store, replicas that are still alive renew their
# expired entries within this time; a replica whose entry is still missing then
# is gone.
_RENEWAL_GRACE_MS = 2_200.0
# Renewals that a replica misses before the store drops its entry.
_MISSED_RENEWALS_TO_EXPIRE = 3


class Listing(msgspec.Struct, frozen=True):
    """A replica as the platform lists it.

    Attributes:
        id: Identifies one start of the replica.
        service: Service that the replica belongs to.
        address: `IP:PORT`.
        zone: Availability zone.
        slots: Number of requests that it runs concurrently.
        leaving: True if it accepts no new work.
        started_ms: Unix time of its start, 0 if not known.
        warming_ms: Remaining warm-up time, during which it is slow.
        version: Version of its software.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    started_ms: int = 0
    warming_ms: float = 0.0
    version: str = ""

    @property
    def incarnation(self) -> str:
        """Identifies one start of the replica, also if it keeps its id."""
        return f"{self.id}/{self.started_ms}"


class Directory:
    """Listed replicas; retains entries that expire because of a store outage.

    After an outage, expired entries count as listed until their replicas have
    had time to renew them.
    """

    __slots__ = ("_last_contact_ms", "_listed", "_outage_end_ms", "_retained")

    def __init__(self) -> None:
        self._listed: dict[str, Listing] = {}
        # Entries removed just after an outage, with the time until which each
        # still counts as listed.
        self._retained: dict[str, tuple[Listing, float]] = {}
        self._last_contact_ms: float | None = None
        self._outage_end_ms = float("-inf")

    def replicas(self) -> list[Listing]:
        """Returns all listed and retained replicas, including leaving ones."""
        return [
            *self._listed.values(),
            *(x for x, _ in self._retained.values()),
        ]

    def get(self, replica_id: str) -> Listing | None:
        """Returns a replica, or None if it is not known."""
        retained = self._retained.get(replica_id)
        return self._listed.get(replica_id) or (
            retained[0] if retained else None
        )

    def note_contact(self, now_ms: float, outage_ms: float) -> None:
        """Records that the store responded.

        Args:
            now_ms: Time of the response.
            outage_ms: Time without a response that counts as an outage.
        """
        last = self._last_contact_ms
        if last is not None and now_ms - last > outage_ms:
            self._outage_end_ms = now_ms
        self._last_contact_ms = now_ms

    def put(self, listing: Listing) -> None:
        """Adds or replaces an entry."""
        self._retained.pop(listing.id, None)
        self._listed[listing.id] = listing

    def remove(self, replica_id: str, now_ms: float) -> None:
        """Removes an entry, or retains it if an outage has just ended."""
        listing = self._listed.pop(replica_id, None)
        if listing is None:
            return
        until_ms = self._outage_end_ms + _RENEWAL_GRACE_MS
        if now_ms < until_ms and not listing.leaving:
            self._retained[replica_id] = (listing, until_ms)

    def expire(self, now_ms: float) -> list[Listing]:
        """Removes and returns entries that were not renewed in time."""
        expired = [
            x for x, until_ms in self._retained.values() if until_ms <= now_ms
        ]
        for listing in expired:
            del self._retained[listing.id]
        return expired


def outage_threshold_ms(heartbeat_ms: float) -> float:
    """Returns the time without a store response that counts as an outage.

    It is half of the time after which the store drops entries that are not
    renewed.
    """
    return heartbeat_ms * _MISSED_RENEWALS_TO_EXPIRE / 2
