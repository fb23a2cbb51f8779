"""The replicas that the platform lists, and which of them may be used."""

import msgspec

# Entries that expired while the store was away are back this long after its
# return if their replica lives; one that is still missing then is gone.
_RETURN_MS = 2_200.0
# Renewals that a replica misses before the store drops its entry.
_MISSED_RENEWALS = 3


class Listing(msgspec.Struct, frozen=True):
    """A replica as the platform lists it.

    Attributes:
        id: Identity of this start of the replica.
        service: Service that it belongs to.
        address: `IP:PORT`.
        zone: Its availability zone.
        slots: Requests it runs at once.
        leaving: True if it takes no more work.
        started_ms: Unix time of its start, 0 if not known.
        warming_ms: How much longer it is slow after its start.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    started_ms: int = 0
    warming_ms: float = 0.0


class Directory:
    """Listed replicas; bridges the loss of entries during a store outage."""

    __slots__ = ("_held", "_listed", "_restored_ms", "_seen_ms")

    def __init__(self) -> None:
        self._listed: dict[str, Listing] = {}
        # Entries removed just after an outage, and until when they count.
        self._held: dict[str, tuple[Listing, float]] = {}
        self._seen_ms: float | None = None
        self._restored_ms = float("-inf")

    def replicas(self) -> list[Listing]:
        """Returns the replicas that are known, leaving ones included."""
        return [*self._listed.values(), *(x for x, _ in self._held.values())]

    def get(self, replica_id: str) -> Listing | None:
        """Returns a replica, or None if it is not known."""
        held = self._held.get(replica_id)
        return self._listed.get(replica_id) or (held[0] if held else None)

    def note_contact(self, now_ms: float, silence_ms: float) -> None:
        """Notes that the store answered.

        Args:
            now_ms: When it answered.
            silence_ms: Time without an answer that counts as an outage.
        """
        last = self._seen_ms
        if last is not None and now_ms - last > silence_ms:
            self._restored_ms = now_ms
        self._seen_ms = now_ms

    def put(self, listing: Listing) -> None:
        """Takes over a new or changed entry."""
        self._held.pop(listing.id, None)
        self._listed[listing.id] = listing

    def remove(self, replica_id: str, now_ms: float) -> None:
        """Notes that an entry was removed."""
        listing = self._listed.pop(replica_id, None)
        if listing is None:
            return
        until_ms = self._restored_ms + _RETURN_MS
        if now_ms < until_ms and not listing.leaving:
            self._held[replica_id] = (listing, until_ms)

    def expire(self, now_ms: float) -> list[Listing]:
        """Drops held entries whose time is over; returns them."""
        over = [x for x, until_ms in self._held.values() if until_ms <= now_ms]
        for listing in over:
            del self._held[listing.id]
        return over


def outage_threshold_ms(heartbeat_ms: float) -> float:
    """Returns how long the store must be silent for entries to expire."""
    return heartbeat_ms * _MISSED_RENEWALS / 2
