"""Submits jobs on routes that limit a customer's waiting tokens."""

from collections.abc import Callable

import structlog
import trio

from lacewingwood.jobs import admission
from lacewingwood.jobs import errors
from lacewingwood.jobs import owner as owners
from lacewingwood.jobs import records
from lacewingwood.log import compacted
from lacewingwood.peers import errors as peer_errors
from lacewingwood.peers import gateway_messages
from lacewingwood.peers import network as network_lib

# Timeout of an owner's answer to a submission. Reading the partition oneself
# then still ends within the usual latency objective of 400 ms.
_OWNER_TIMEOUT_MS = 200.0
# Timeout of a submission that is counted from a snapshot.
_SNAPSHOT_TIMEOUT_MS = 2_500.0

# Returns a partition's owner if it is here, else its address; raises
# `errors.UnavailableError` if no owner is known.
Locate = Callable[[int], tuple[owners.Owner | None, str]]

_log = structlog.get_logger()


class LimitedSubmitter:
    """Submits a job through the owner of its customer's partition.

    While no owner answers, this gateway counts from a snapshot itself.
    """

    __slots__ = ("_find_route", "_locate", "_log", "_network", "_partitions")

    def __init__(
        self,
        log: compacted.CompactedLog,
        partitions: list[compacted.Partition],
        locate: Locate,
        network: network_lib.Network,
        find_route: admission.FindRoute,
    ) -> None:
        self._log = log
        self._partitions = partitions
        self._locate = locate
        self._network = network
        self._find_route = find_route

    async def submit(
        self,
        index: int,
        submission: records.Submission,
        batches: list[list[compacted.Record]],
        limit: int,
    ) -> None:
        """Accepts a job; returns once it is on the log.

        Args:
            index: Index of the customer's partition.
            submission: The job.
            batches: Its records; it exists once the last batch is on the log.
            limit: Most tokens of the customer that may wait on the job's route.

        Raises:
            errors.OverLimitError: The job does not fit, and was not accepted.
            errors.NotAcceptedError: The job was not accepted.
            errors.OutcomeUnknownError: The job may have been accepted.
        """
        outcome_unknown = False
        try:
            await self._submit_to_owner(index, submission, batches, limit)
            return
        except errors.OutcomeUnknownError as exc:
            # An owner that did not answer may still accept the job. A second
            # copy of its records changes nothing.
            outcome_unknown, detail = True, exc.message
        except (errors.NotAcceptedError, errors.UnavailableError) as exc:
            detail = exc.message
        job = submission.job
        _log.info(
            "owner unavailable; counting waiting tokens from the log",
            request_id=job.id,
            partition=index,
            detail=detail[:80],
        )
        try:
            await self._submit_from_snapshot(index, job, batches, limit)
        except (errors.NotAcceptedError, errors.OverLimitError) as exc:
            if outcome_unknown:
                raise errors.OutcomeUnknownError(exc.message) from exc
            raise

    async def _submit_to_owner(
        self,
        index: int,
        submission: records.Submission,
        batches: list[list[compacted.Record]],
        limit: int,
    ) -> None:
        owner, address = self._locate(index)
        job = submission.job
        if owner is not None:
            await owner.admit(job, batches, limit, self._find_route)
            return
        request = gateway_messages.JobAdmission(
            index, records.encode_job(job), submission.bodies, limit
        )
        try:
            await self._network.call(address, request, _OWNER_TIMEOUT_MS)
        except peer_errors.RefusedError as exc:
            if exc.reason == errors.OverLimitError.code:
                raise errors.OverLimitError(exc.message) from exc
            if exc.reason == errors.OutcomeUnknownError.code:
                raise errors.OutcomeUnknownError(exc.message) from exc
            raise errors.UnavailableError(exc.message) from exc
        except peer_errors.PeerError as exc:
            raise errors.OutcomeUnknownError(exc.message) from exc

    async def _submit_from_snapshot(
        self,
        index: int,
        job: records.Job,
        batches: list[list[compacted.Record]],
        limit: int,
    ) -> None:
        partition = self._partitions[index]
        view = admission.SnapshotView(self._log, partition)
        with trio.move_on_after(_SNAPSHOT_TIMEOUT_MS / 1000) as scope:
            await admission.Admission(
                self._log,
                partition,
                view,
                job,
                batches,
                limit,
                self._find_route,
            ).run()
        if scope.cancelled_caught:
            raise errors.OutcomeUnknownError("the log did not answer in time")
