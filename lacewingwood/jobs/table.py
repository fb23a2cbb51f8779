"""The jobs of one partition, derived from its records."""

import dataclasses
from collections.abc import Iterable

import structlog

from lacewingwood.jobs import errors
from lacewingwood.jobs import records
from lacewingwood.log import compacted

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class Entry:
    """One job.

    Attributes:
        key: Its key.
        job: Its specification, None while only parts have come.
        bodies: Bodies of items that are not listed yet.
        results: Results by position, without gaps.
        listed: Indexes of the items that have a result.
        ended: True once its caller has ended it.
    """

    key: str
    job: records.Job | None = None
    bodies: dict[int, bytes] = dataclasses.field(default_factory=dict)
    results: list[records.Result] = dataclasses.field(default_factory=list)
    listed: set[int] = dataclasses.field(default_factory=set)
    ended: bool = False

    @property
    def open(self) -> bool:
        """True while items may still run."""
        return self.job is not None and not self.ended and not self.complete

    @property
    def complete(self) -> bool:
        """True once every item has a result."""
        return self.job is not None and len(self.listed) == len(self.job.items)

    def unlisted(self) -> list[int]:
        """Returns the indexes of the items without a result."""
        if self.job is None:
            return []
        count = len(self.job.items)
        return [index for index in range(count) if index not in self.listed]

    def item_index(self, item_id: str) -> int | None:
        """Returns the index of an item, or None."""
        items = self.job.items if self.job else []
        for index, item in enumerate(items):
            if item.id == item_id:
                return index
        return None


class Table:
    """All jobs of one partition."""

    __slots__ = ("_early", "_entries")

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        # Results that came before those at lower positions; a snapshot gives
        # its records in the order of keys.
        self._early: dict[str, dict[int, records.Result]] = {}

    def get(self, key: str) -> Entry | None:
        """Returns a job that exists, or None."""
        entry = self._entries.get(key)
        return entry if entry is not None and entry.job is not None else None

    def entries(self) -> Iterable[Entry]:
        """Returns all jobs that exist."""
        return [e for e in self._entries.values() if e.job is not None]

    def apply(self, record: compacted.Record) -> records.Change | None:
        """Takes over a record; returns its meaning, None if it has none."""
        try:
            change = records.decode(record)
        except errors.JobError as exc:
            _log.warning("record not understood", detail=exc.message[:80])
            return None
        match change:
            case records.JobChange(key, job):
                self._apply_job(key, job)
            case records.BodyChange(key, item, body):
                self._apply_body(key, item, body)
            case records.ResultChange(key, position, result):
                self._apply_result(key, position, result)
            case records.EndChange(key):
                entry = self._entry(key)
                entry.ended = True
                entry.bodies.clear()
        return change

    def load(self, snapshot: list[compacted.Record]) -> None:
        """Takes over the newest records of all keys."""
        for record in snapshot:
            self.apply(record)

    def _entry(self, key: str) -> Entry:
        entry = self._entries.get(key)
        if entry is None:
            entry = self._entries[key] = Entry(key)
        return entry

    def _apply_job(self, key: str, job: records.Job | None) -> None:
        if job is None:
            self._entries.pop(key, None)
            self._early.pop(key, None)
            return
        entry = self._entry(key)
        if entry.job is None:
            entry.job = job

    def _apply_body(self, key: str, item: int, body: bytes | None) -> None:
        entry = self._entry(key)
        if body is None or item in entry.listed or entry.ended:
            entry.bodies.pop(item, None)
        else:
            entry.bodies[item] = body

    def _apply_result(
        self, key: str, position: int, result: records.Result | None
    ) -> None:
        if result is None:
            return
        entry = self._entry(key)
        early = self._early.setdefault(key, {})
        early.setdefault(position, result)
        while (following := early.pop(len(entry.results), None)) is not None:
            entry.results.append(following)
            entry.listed.add(following.item)
            entry.bodies.pop(following.item, None)
        if not early:
            del self._early[key]
