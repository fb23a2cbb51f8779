"""The jobs of one partition, built from its records."""

import dataclasses
from collections.abc import Iterable

import structlog

from lacewingwood.jobs import errors
from lacewingwood.jobs import payloads
from lacewingwood.jobs import records
from lacewingwood.log import compacted

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class ListedResult:
    """A result at its position; see `records.Result`.

    Attributes:
        item: Index of the item in its job.
        completed: False if the item was given up.
        output: Data of all events of the answer, joined by line feeds.
    """

    item: int
    completed: bool
    output: payloads.Payload


@dataclasses.dataclass(slots=True)
class Entry:
    """State of one job.

    Attributes:
        key: The job's key.
        job: The specification, None until its record has been read.
        bodies: Bodies of the unfinished items, by item index.
        results: The results in order of their positions, without gaps.
        finished_items: Indexes of the items that have a result.
        ended: True once the caller has ended the job.
    """

    key: str
    job: records.Job | None = None
    bodies: dict[int, payloads.Payload] = dataclasses.field(
        default_factory=dict
    )
    results: list[ListedResult] = dataclasses.field(default_factory=list)
    finished_items: set[int] = dataclasses.field(default_factory=set)
    ended: bool = False

    @property
    def open(self) -> bool:
        """True while items of the job may still run."""
        return self.job is not None and not self.ended and not self.complete

    @property
    def complete(self) -> bool:
        """True once every item has a result."""
        return self.job is not None and len(self.finished_items) == len(
            self.job.items
        )

    def unfinished_items(self) -> list[int]:
        """Returns the indexes of the items without a result."""
        if self.job is None:
            return []
        count = len(self.job.items)
        return [
            index for index in range(count) if index not in self.finished_items
        ]

    def item_index(self, item_id: str) -> int | None:
        """Returns the index of an item, None if the job has no such item."""
        items = self.job.items if self.job else []
        for index, item in enumerate(items):
            if item.id == item_id:
                return index
        return None


class Table:
    """All jobs of one partition, by key."""

    __slots__ = ("_entries", "_make_payload", "_out_of_order")

    def __init__(
        self, make_payload: payloads.Make = payloads.of_record
    ) -> None:
        """Creates an empty table.

        Args:
            make_payload: Makes the bodies and outputs that the table refers to.
        """
        self._make_payload = make_payload
        self._entries: dict[str, Entry] = {}
        # Results read before those at lower positions, by job key and
        # position. A snapshot is ordered by record key, not by position.
        self._out_of_order: dict[str, dict[int, ListedResult]] = {}

    def get(self, key: str) -> Entry | None:
        """Returns a job, None if its specification has not been read."""
        entry = self._entries.get(key)
        return entry if entry is not None and entry.job is not None else None

    def entries(self) -> Iterable[Entry]:
        """Returns all jobs whose specification has been read."""
        return [e for e in self._entries.values() if e.job is not None]

    def apply(self, record: compacted.Record) -> records.Change | None:
        """Applies a record to the table.

        Returns:
            The decoded change, None if the record is malformed or belongs to
            no job.
        """
        try:
            change = records.decode(record)
        except errors.JobError as exc:
            _log.warning("malformed record skipped", detail=exc.message[:80])
            return None
        match change:
            case records.JobChange(key, job):
                self._apply_job(key, job)
            case records.BodyChange(key, item, body):
                self._apply_body(key, item, record, body)
            case records.ResultChange(key, position, result):
                self._apply_result(key, position, record, result)
            case records.EndChange(key):
                entry = self._entry(key)
                entry.ended = True
                for index in list(entry.bodies):
                    _remove_body(entry, index)
        return change

    def load(self, snapshot: list[compacted.Record]) -> None:
        """Applies the newest records of all keys, in any order."""
        for record in snapshot:
            self.apply(record)

    def clear(self) -> None:
        """Removes all jobs."""
        for key in list(self._entries):
            self._remove(key)

    def _entry(self, key: str) -> Entry:
        entry = self._entries.get(key)
        if entry is None:
            entry = self._entries[key] = Entry(key)
        return entry

    def _apply_job(self, key: str, job: records.Job | None) -> None:
        if job is None:
            self._remove(key)
            return
        entry = self._entry(key)
        if entry.job is None:
            entry.job = job

    def _remove(self, key: str) -> None:
        entry = self._entries.pop(key, None)
        pending = self._out_of_order.pop(key, {})
        if entry is None:
            return
        for body in entry.bodies.values():
            body.release()
        for result in (*entry.results, *pending.values()):
            result.output.release()

    def _apply_body(
        self,
        key: str,
        item: int,
        record: compacted.Record,
        body: bytes | None,
    ) -> None:
        entry = self._entry(key)
        _remove_body(entry, item)
        if body is not None and not (
            item in entry.finished_items or entry.ended
        ):
            entry.bodies[item] = self._make_payload(record, body)

    def _apply_result(
        self,
        key: str,
        position: int,
        record: compacted.Record,
        result: records.Result | None,
    ) -> None:
        if result is None:
            return
        entry = self._entry(key)
        if position < len(entry.results):
            # An owner reads its own results after it has appended them.
            known = entry.results[position]
            if known.item == result.item:
                known.output.locate(record.offset)
            return
        pending = self._out_of_order.setdefault(key, {})
        if position not in pending:
            output = self._make_payload(record, result.output)
            pending[position] = ListedResult(
                result.item, result.completed, output
            )
        while (
            next_result := pending.pop(len(entry.results), None)
        ) is not None:
            entry.results.append(next_result)
            entry.finished_items.add(next_result.item)
            _remove_body(entry, next_result.item)
        if not pending:
            del self._out_of_order[key]


def _remove_body(entry: Entry, item: int) -> None:
    body = entry.bodies.pop(item, None)
    if body is not None:
        body.release()
