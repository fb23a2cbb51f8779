"""Callers' operations on jobs, available at every gateway."""

import structlog

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import appending
from lacewingwood.jobs import errors
from lacewingwood.jobs import owner as owners
from lacewingwood.jobs import ownership as ownerships
from lacewingwood.jobs import records
from lacewingwood.log import compacted
from lacewingwood.peers import errors as peer_errors
from lacewingwood.peers import gateway_messages
from lacewingwood.peers import messages
from lacewingwood.peers import network as network_lib

# The job topics. All gateways must use the same number of topics, since it
# determines the partition of a job.
TOPICS = ("jobs-0", "jobs-1", "jobs-2")
# Timeout of the owner's answer, in addition to the wait that the caller
# requested.
_PEER_TIMEOUT_MS = 800.0
_MAX_READ_WAIT_MS = 1_000.0
_log = structlog.get_logger()


def partitions(per_topic: int) -> list[compacted.Partition]:
    """Returns all partitions of the job topics, in a fixed order."""
    return [
        compacted.Partition(topic, number)
        for topic in TOPICS
        for number in range(per_topic)
    ]


class JobService:
    """Accepts, reads and ends jobs.

    Any gateway can accept a job; it is accepted once all of its records are on
    the log. All other operations are answered by the owner of the job's
    partition, at this gateway or at a peer.
    """

    __slots__ = (
        "_appender",
        "_clock",
        "_network",
        "_ownership",
        "_partitions",
        "_peers",
    )

    def __init__(
        self,
        log: compacted.CompactedLog,
        partitions_: list[compacted.Partition],
        ownership: ownerships.Ownership,
        network: network_lib.Network,
        peers: appending.Peers,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
        *,
        max_record_bytes: int,
        max_append_bytes: int,
    ) -> None:
        """Creates the service and registers its message handlers.

        Args:
            log: The log that stores the records.
            partitions_: All partitions, in the order of `partitions`.
            ownership: The partitions that this gateway owns.
            network: Carries calls to the other gateways.
            peers: This gateway's view of the other gateways.
            clock: Source of monotonic time.
            metrics: Registry of counters.
            max_record_bytes: Size of the largest record that the log accepts.
            max_append_bytes: Size of the largest append to the log.
        """
        self._partitions = partitions_
        self._ownership = ownership
        self._network = network
        self._peers = peers
        self._clock = clock
        self._appender = appending.Appender(
            log,
            partitions_,
            network,
            peers,
            clock,
            metrics,
            max_record_bytes=max_record_bytes,
            max_append_bytes=max_append_bytes,
        )
        network.handle(gateway_messages.JobRead, self._handle_read)
        network.handle(gateway_messages.JobItemRead, self._handle_item_read)
        network.handle(gateway_messages.JobEnd, self._handle_end)
        network.handle(gateway_messages.JobProgress, self._handle_progress)

    async def submit(self, submission: records.Submission) -> None:
        """Accepts a job; returns once all of it is on the log.

        Raises:
            errors.InvalidJobError: The job's id is invalid, or a record is
                too large for the log.
            errors.NotAcceptedError: The job was not accepted.
            errors.OutcomeUnknownError: The job may have been accepted.
        """
        job = submission.job
        key = records.job_key(job.customer, job.id)
        index = records.partition_index(key, len(self._partitions))
        owner = self._ownership.owner(index)
        if owner is not None and owner.has_job(key):
            return
        started_ms = self._clock.now_ms()
        new_records = records.submission_records(key, job, submission.bodies)
        await self._appender.append(index, new_records)
        _log.info(
            "job accepted",
            request_id=job.id,
            customer=job.customer,
            partition=index,
            items=len(job.items),
            ms=round(self._clock.now_ms() - started_ms),
        )

    async def read(
        self, customer: str, job_id: str, start: int, wait_ms: float
    ) -> gateway_messages.JobResults:
        """Returns a job's results from position `start` on.

        Waits for a result if none exists yet, for at most `wait_ms`.

        Raises:
            errors.UnknownJobError: No such job exists.
            errors.UnavailableError: The owner gave no usable answer.
        """
        wait_ms = min(wait_ms, _MAX_READ_WAIT_MS)
        request = gateway_messages.JobRead(customer, job_id, start, wait_ms)
        owner, address = self._locate(customer, job_id)
        if owner is not None:
            return await self._read_local(owner, request)
        answer = await self._call_owner(address, request, wait_ms)
        if not isinstance(answer, gateway_messages.JobResults):
            raise errors.UnavailableError("the owner sent an unexpected answer")
        return answer

    async def item_body(
        self, customer: str, job_id: str, item_id: str
    ) -> bytes:
        """Returns the body of an item that has no result yet.

        Raises:
            errors.UnknownJobError: No such job or item exists, the item has a
                result, or the job has ended.
            errors.UnavailableError: The owner gave no usable answer.
        """
        owner, address = self._locate(customer, job_id)
        if owner is not None:
            return await owner.item_body(
                records.job_key(customer, job_id), item_id
            )
        request = gateway_messages.JobItemRead(customer, job_id, item_id)
        answer = await self._call_owner(address, request, 0)
        if not isinstance(answer, gateway_messages.JobItemBody):
            raise errors.UnavailableError("the owner sent an unexpected answer")
        return answer.body

    async def end(self, customer: str, job_id: str) -> None:
        """Ends a job; returns once its end record is on the log.

        Raises:
            errors.UnknownJobError: No such job exists.
            errors.UnavailableError: The end record may not have been appended.
        """
        key = records.job_key(customer, job_id)
        try:
            owner, address = self._locate(customer, job_id)
            if owner is not None:
                await owner.end(key)
            else:
                request = gateway_messages.JobEnd(customer, job_id)
                await self._call_owner(address, request, 0)
            return
        except errors.UnavailableError as exc:
            _log.info(
                "owner unavailable; appending the end record",
                request_id=job_id,
                code=exc.code,
            )
        # The present or next owner reads the end record from the log.
        index = records.partition_index(key, len(self._partitions))
        try:
            await self._appender.append(index, [records.end_record(key)])
        except (errors.NotAcceptedError, errors.OutcomeUnknownError) as exc:
            raise errors.UnavailableError(exc.message) from exc

    def _locate(
        self, customer: str, job_id: str
    ) -> tuple[owners.Owner | None, str]:
        """Returns the job's owner if it is here, else the owner's address.

        Raises:
            errors.UnavailableError: No owner is known.
        """
        key = records.job_key(customer, job_id)
        index = records.partition_index(key, len(self._partitions))
        owner = self._ownership.owner(index)
        if owner is not None and not owner.lost.is_set():
            return owner, ""
        reported = self._peers.owner_at(index)
        if reported is None:
            raise errors.UnavailableError(
                "the job's partition has no known owner"
            )
        return None, reported[0]

    async def _call_owner(
        self, address: str, request: messages.Message, wait_ms: float
    ) -> messages.Message:
        timeout_ms = _PEER_TIMEOUT_MS + wait_ms
        try:
            return await self._network.call(address, request, timeout_ms)
        except peer_errors.RefusedError as exc:
            if exc.reason == errors.UnknownJobError.code:
                raise errors.UnknownJobError(exc.message) from exc
            raise errors.UnavailableError(exc.message) from exc
        except peer_errors.PeerError as exc:
            raise errors.UnavailableError(exc.message) from exc

    async def _read_local(
        self, owner: owners.Owner, request: gateway_messages.JobRead
    ) -> gateway_messages.JobResults:
        key = records.job_key(request.customer, request.job_id)
        total, results, job = await owner.read(
            key, request.start, request.wait_ms
        )
        if not results and not self._ownership.is_current():
            # A later owner may have written more results.
            raise errors.UnavailableError("the group membership has expired")
        return gateway_messages.JobResults(
            total,
            [
                gateway_messages.JobResult(
                    job.items[result.item].id, result.completed, result.output
                )
                for result in results
            ],
        )

    def _require_local_owner(self, customer: str, job_id: str) -> owners.Owner:
        owner, _ = self._locate(customer, job_id)
        if owner is None:
            raise errors.UnavailableError("the partition is not owned here")
        return owner

    async def _handle_read(
        self, request: gateway_messages.JobRead
    ) -> gateway_messages.JobResults:
        owner = self._require_local_owner(request.customer, request.job_id)
        return await self._read_local(owner, request)

    async def _handle_item_read(
        self, request: gateway_messages.JobItemRead
    ) -> gateway_messages.JobItemBody:
        owner = self._require_local_owner(request.customer, request.job_id)
        key = records.job_key(request.customer, request.job_id)
        return gateway_messages.JobItemBody(
            await owner.item_body(key, request.item_id)
        )

    async def _handle_end(
        self, request: gateway_messages.JobEnd
    ) -> messages.Ack:
        owner = self._require_local_owner(request.customer, request.job_id)
        await owner.end(records.job_key(request.customer, request.job_id))
        return messages.Ack()

    async def _handle_progress(
        self, progress: gateway_messages.JobProgress
    ) -> messages.Ack:
        owner = self._require_local_owner(progress.customer, progress.job_id)
        await owner.apply_progress(progress)
        return messages.Ack()
