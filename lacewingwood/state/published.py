"""The published configuration as this process knows it."""

from collections.abc import Callable

import structlog

from lacewingwood import clock as clocks
from lacewingwood import configuration
from lacewingwood import errors
from lacewingwood.log import compacted
from lacewingwood.routing import directory as directory_lib
from lacewingwood.routing import load

DecodeDocument = Callable[[bytes], configuration.Configuration]
DecodeReplica = Callable[[str, bytes], directory_lib.Listing]

_log = structlog.get_logger()


class PublishedConfiguration:
    """The newest configuration that was seen; it never goes back.

    Attributes:
        current: The configuration, None while none is known.
        document: The document it was read from.
        on_change: Called when a newer one was taken over.
    """

    __slots__ = ("_decode", "current", "document", "on_change")

    def __init__(self, decode: DecodeDocument) -> None:
        self.current: configuration.Configuration | None = None
        self.document = b""
        self.on_change: Callable[[configuration.Configuration], None]
        self.on_change = lambda current: None
        self._decode = decode

    @property
    def version(self) -> int:
        """Version of the configuration, 0 while none is known."""
        return self.current.version if self.current else 0

    def apply_if_newer(self, document: bytes, source: str) -> bool:
        """Takes a document over if it is newer; returns whether it was.

        Args:
            document: As the operator published it.
            source: Where it comes from, for the log.
        """
        try:
            new = self._decode(document)
        except errors.Error as exc:
            _log.error(
                "configuration not understood",
                source=source,
                detail=exc.message[:120],
            )
            return False
        if self.current is not None and new.version <= self.current.version:
            return False
        _log.info(
            "configuration applied",
            version=new.version,
            before=self.version,
            source=source,
            routes=len(new.routes),
            customers=len(new.customers),
        )
        self.current, self.document = new, document
        self.on_change(new)
        return True


class ReplicaList:
    """Takes replicas' entries over into the fleet.

    Attributes:
        entries: The entries as they were read, by replica.
    """

    __slots__ = ("_clock", "_decode", "_fleet", "_silence_ms", "entries")

    def __init__(
        self,
        fleet: load.Fleet,
        decode: DecodeReplica,
        clock: clocks.Clock,
        silence_ms: float,
    ) -> None:
        """Makes an empty list.

        Args:
            fleet: What the entries are taken over into.
            decode: Decodes an entry.
            clock: Source of time.
            silence_ms: Silence of the log that counts as an outage.
        """
        self.entries: dict[str, bytes] = {}
        self._fleet = fleet
        self._decode = decode
        self._clock = clock
        self._silence_ms = silence_ms

    def apply_snapshot(self, snapshot: list[compacted.Record]) -> None:
        """Takes over all entries."""
        now_ms = self._clock.now_ms()
        self._fleet.directory.note_contact(now_ms, self._silence_ms)
        present = {r.key for r in snapshot if r.value is not None}
        for replica_id in [i for i in self.entries if i not in present]:
            self._remove(replica_id, now_ms)
        self.apply_changes(snapshot)
        self._fleet.refresh()

    def apply_changes(self, page: list[compacted.Record]) -> None:
        """Takes over changed entries."""
        now_ms = self._clock.now_ms()
        directory = self._fleet.directory
        directory.note_contact(now_ms, self._silence_ms)
        changed = bool(directory.expire(now_ms))
        for record in page:
            if record.value is None:
                changed |= self._remove(record.key, now_ms)
            else:
                changed |= self._put(record.key, record.value)
        if changed:
            self._fleet.refresh()

    def _put(self, replica_id: str, value: bytes) -> bool:
        try:
            listing = self._decode(replica_id, value)
        except errors.Error as exc:
            _log.warning(
                "replica entry not understood",
                replica=replica_id[:40],
                detail=exc.message[:80],
            )
            return False
        self.entries[replica_id] = value
        old = self._fleet.directory.get(replica_id)
        # An entry that came back unchanged ends its holding.
        self._fleet.directory.put(listing)
        if old == listing:
            return False
        if old is None or old.leaving != listing.leaving:
            _log.info(
                "replica listed",
                replica=replica_id,
                service=listing.service,
                zone=listing.zone,
                leaving=listing.leaving,
            )
        return True

    def _remove(self, replica_id: str, now_ms: float) -> bool:
        if self.entries.pop(replica_id, None) is None:
            return False
        self._fleet.directory.remove(replica_id, now_ms)
        held = self._fleet.directory.get(replica_id) is not None
        _log.info("replica unlisted", replica=replica_id, held=held)
        return True
