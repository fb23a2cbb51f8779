"""Published configuration and replica entries that this process applied."""

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
    """The newest known configuration; its version never decreases.

    Attributes:
        current: The configuration, None until one is received.
        document: The encoded document of `current`.
        on_change: Called with each newly applied configuration.
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
        """Version of the configuration, 0 until one is received."""
        return self.current.version if self.current else 0

    def apply_if_newer(self, document: bytes, source: str) -> bool:
        """Applies a document if its version is newer.

        Args:
            document: The document as the operator published it.
            source: Where the document comes from, for the log.

        Returns:
            Whether the document was applied.
        """
        try:
            new = self._decode(document)
        except errors.Error as exc:
            _log.error(
                "invalid configuration ignored",
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
    """Applies replica entries to the fleet.

    Attributes:
        entries: Encoded entries by replica id.
    """

    __slots__ = ("_clock", "_decode", "_fleet", "_silence_ms", "entries")

    def __init__(
        self,
        fleet: load.Fleet,
        decode: DecodeReplica,
        clock: clocks.Clock,
        silence_ms: float,
    ) -> None:
        """Creates an empty list.

        Args:
            fleet: Fleet that entries are applied to.
            decode: Decodes an entry.
            clock: Source of time.
            silence_ms: Time without contact to the log that counts as an
                outage.
        """
        self.entries: dict[str, bytes] = {}
        self._fleet = fleet
        self._decode = decode
        self._clock = clock
        self._silence_ms = silence_ms

    def apply_snapshot(self, snapshot: list[compacted.Record]) -> None:
        """Replaces all entries by those of a snapshot."""
        now_ms = self._clock.now_ms()
        self._fleet.directory.note_contact(now_ms, self._silence_ms)
        present = {r.key for r in snapshot if r.value is not None}
        for replica_id in [i for i in self.entries if i not in present]:
            self._remove(replica_id, now_ms)
        self.apply_changes(snapshot)
        self._fleet.refresh()

    def apply_changes(self, records: list[compacted.Record]) -> None:
        """Applies changed and removed entries."""
        now_ms = self._clock.now_ms()
        directory = self._fleet.directory
        directory.note_contact(now_ms, self._silence_ms)
        changed = bool(directory.expire(now_ms))
        for record in records:
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
                "invalid replica entry ignored",
                replica=replica_id[:40],
                detail=exc.message[:80],
            )
            return False
        self.entries[replica_id] = value
        old = self._fleet.directory.get(replica_id)
        # Put even if unchanged: the entry may have been held after its removal
        # during an outage, and would be dropped when the hold expires.
        self._fleet.directory.put(listing)
        # A replica that stays cold may say the same time again.
        if old == listing and listing.warming_ms <= 0:
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
