"""Acceptance of jobs on routes that limit a customer's waiting tokens.

All jobs of a customer on such routes are in one partition. Whoever accepts a
job knows all of that partition and appends the job on the condition that
nothing else has been appended meanwhile, so that the count is exact whichever
gateways accept jobs at the same moment.
"""

import dataclasses
from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

import structlog

from lacewingwood import configuration
from lacewingwood.jobs import errors
from lacewingwood.jobs import payloads
from lacewingwood.jobs import records
from lacewingwood.jobs import table as tables
from lacewingwood.log import compacted
from lacewingwood.log import errors as log_errors

# Tries that may fail since something else was appended meanwhile. Each takes a
# read and an append, some 10 ms.
_MAX_TRIES = 20

FindRoute = Callable[[str, str], configuration.Route | None]

_log = structlog.get_logger()


class View(Protocol):
    """A partition's jobs, which can be brought up to date."""

    @property
    def table(self) -> tables.Table:
        """The jobs as of the last refresh or later."""

    async def refresh(self) -> int:
        """Reads all records; returns the offset at which the partition ends.

        Raises:
            log_errors.LogError: The log gave no usable answer.
        """


class SnapshotView:
    """The jobs of a partition that this gateway does not own."""

    def __init__(
        self, log: compacted.CompactedLog, partition: compacted.Partition
    ) -> None:
        self.table = _table_without_payloads()
        self._log = log
        self._partition = partition

    async def refresh(self) -> int:
        """Reads a new snapshot; see `View`."""
        table = _table_without_payloads()
        next_offset = await self._log.scan(self._partition, table.load)
        self.table = table
        return next_offset


def _table_without_payloads() -> tables.Table:
    """Returns a table that counts items and does not hold their contents."""
    return tables.Table(lambda record, value: payloads.Payload(b""))


def waiting_tokens(
    entries: Iterable[tables.Entry], job: records.Job, find_route: FindRoute
) -> int:
    """Returns the tokens of a customer's unfinished items on a job's route."""
    route = _route_name(job, find_route)
    tokens = 0
    for entry in entries:
        other = entry.job
        if other is None or not entry.open or other.customer != job.customer:
            continue
        if _route_name(other, find_route) == route:
            tokens += sum(
                other.items[index].tokens for index in entry.unfinished_items()
            )
    return tokens


@dataclasses.dataclass(slots=True, eq=False)
class Admission:
    """The acceptance of one job that has to fit a limit.

    Attributes:
        log: The log that stores the records.
        partition: The partition of the customer's jobs.
        view: The jobs of the partition.
        job: The job.
        batches: Its records; it exists once the last batch is on the log.
        limit: Most tokens of the customer that may wait on the job's route.
        find_route: Returns the route of a host and a path, if any.
    """

    log: compacted.CompactedLog
    partition: compacted.Partition
    view: View
    job: records.Job
    batches: list[list[compacted.Record]]
    limit: int
    find_route: FindRoute
    _bodies_appended: bool = False
    _outcome_unknown: bool = False

    async def run(self) -> None:
        """Accepts the job; returns once it is on the log.

        Raises:
            errors.OverLimitError: The job does not fit, and was not accepted.
            errors.NotAcceptedError: The job was not accepted.
            errors.OutcomeUnknownError: The job may have been accepted.
        """
        try:
            for _ in range(_MAX_TRIES):
                if await self._try_once():
                    return
        except errors.OverLimitError:
            await self._remove_bodies()
            raise
        except log_errors.LogError as exc:
            raise self._failure(exc.message) from exc
        raise self._failure("other records were appended each time")

    async def _try_once(self) -> bool:
        """Returns whether the job is on the log, False to try again."""
        try:
            end = await self.view.refresh()
            key = records.job_key(self.job.customer, self.job.id)
            if self.view.table.get(key) is not None:
                return True
            self._check_limit()
            return await self._append(end)
        except compacted.ConflictError:
            return False
        except log_errors.UnavailableError as exc:
            if not exc.may_have_taken_effect:
                raise
            # The append fails later on if anything else has been appended
            # meanwhile; if nothing has, the next one counts the same tokens.
            self._outcome_unknown = True
            return False

    async def _append(self, end: int) -> bool:
        """Appends the next batches; returns whether the job is complete."""
        if len(self.batches) > 1 and not self._bodies_appended:
            self._bodies_appended = True
            for batch in self.batches[:-1]:
                await self.log.append(self.partition, batch)
            return False
        await self.log.append(
            self.partition, self.batches[-1], expected_end=end
        )
        return True

    def _check_limit(self) -> None:
        job = self.job
        entries = self.view.table.entries()
        waiting = waiting_tokens(entries, job, self.find_route)
        tokens = sum(item.tokens for item in job.items)
        if waiting + tokens <= self.limit:
            return
        _log.info(
            "job refused",
            request_id=job.id,
            customer=job.customer,
            reason="waiting tokens",
            waiting=waiting,
            tokens=tokens,
            limit=self.limit,
        )
        raise errors.OverLimitError(
            f"{waiting} tokens wait on the route; {tokens} more exceed the"
            f" limit of {self.limit}"
        )

    async def _remove_bodies(self) -> None:
        """Removes the bodies of a job that was not accepted."""
        if not self._bodies_appended:
            return
        keys = [record.key for batch in self.batches for record in batch]
        removals = [compacted.Record(key, None) for key in keys]
        try:
            await self.log.append(self.partition, removals)
        except log_errors.LogError as exc:
            _log.warning("bodies not removed", job=self.job.id, code=exc.code)

    def _failure(self, detail: str) -> errors.JobError:
        if self._outcome_unknown:
            return errors.OutcomeUnknownError(detail)
        return errors.NotAcceptedError(detail)


def _route_name(job: records.Job, find_route: FindRoute) -> str | None:
    route = find_route(job.host, job.path)
    return route.name if route is not None else None
