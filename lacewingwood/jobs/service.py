"""Callers' operations on jobs, available at every gateway."""

from collections.abc import Callable

import msgspec
import structlog

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import admission
from lacewingwood.jobs import appending
from lacewingwood.jobs import errors
from lacewingwood.jobs import limited
from lacewingwood.jobs import owner as owners
from lacewingwood.jobs import ownership as ownerships
from lacewingwood.jobs import payloads
from lacewingwood.jobs import records
from lacewingwood.jobs import table as tables
from lacewingwood.log import compacted
from lacewingwood.log import errors as log_errors
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
# How long a read waits until the job's partition has an owner that answers, and
# how often it looks. Callers wait longer than this for an answer.
_OWNER_WAIT_MS = 1_000.0
_OWNER_POLL_MS = 50.0
# Most bytes of outputs in one answer, unless a single one is larger. Callers of
# the platform get up to 1 MB, with the ids and the encoding.
_MAX_RESULTS_BYTES = 900_000
# Position after all results of any job.
_NO_RESULT = 1 << 31
# Makes the request to the owner of a partition.
MakeRequest = Callable[[int], messages.Message]

_log = structlog.get_logger()


class JobName(msgspec.Struct, frozen=True):
    """Names a job in a caller's request.

    Attributes:
        customer: Customer to whom the job belongs.
        id: The job's id.
        limited: True if its route may limit the customer's waiting tokens. Jobs
            on such routes are in their customer's partition, others in one of
            their own.
    """

    customer: str
    id: str
    limited: bool = False


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
        "_find_route",
        "_limited",
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
        find_route: admission.FindRoute,
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
            find_route: Returns the route of a host and a path, if any.
            clock: Source of monotonic time.
            metrics: Registry of counters.
            max_record_bytes: Size of the largest record that the log accepts.
            max_append_bytes: Size of the largest append to the log.
        """
        self._find_route = find_route
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
        self._limited = limited.LimitedSubmitter(
            log, partitions_, self._locate, network, find_route
        )
        network.handle(gateway_messages.JobRead, self._handle_request)
        network.handle(gateway_messages.JobItemRead, self._handle_request)
        network.handle(gateway_messages.JobEnd, self._handle_request)
        network.handle(gateway_messages.JobAdmission, self._handle_admission)
        network.handle(gateway_messages.JobProgress, self._handle_progress)

    async def submit(
        self, submission: records.Submission, waiting_limit: int = 0
    ) -> None:
        """Accepts a job; returns once all of it is on the log.

        Args:
            submission: The job.
            waiting_limit: Most tokens of the customer's unfinished items on the
                job's route, this job included; 0 for no limit.

        Raises:
            errors.InvalidJobError: The job's id is invalid, or a record is
                too large for the log.
            errors.OverLimitError: The job does not fit the limit.
            errors.NotAcceptedError: The job was not accepted.
            errors.OutcomeUnknownError: The job may have been accepted.
        """
        job = submission.job
        key = records.job_key(job.customer, job.id)
        started_ms = self._clock.now_ms()
        if waiting_limit:
            index = self._customer_partition(job.customer)
            batches = self._appender.split(
                records.submission_records(key, job, submission.bodies)
            )
            await self._limited.submit(
                index, submission, batches, waiting_limit
            )
        else:
            index = records.partition_index(key, len(self._partitions))
            owner = self._ownership.owner(index)
            if owner is not None and owner.has_job(key):
                return
            new_records = records.submission_records(
                key, job, submission.bodies
            )
            await self._appender.append(index, new_records)
        _log.info(
            "job accepted",
            request_id=job.id,
            customer=job.customer,
            partition=index,
            items=len(job.items),
            limit=waiting_limit,
            ms=round(self._clock.now_ms() - started_ms),
        )

    async def read(
        self, job: JobName, start: int, wait_ms: float
    ) -> gateway_messages.JobResults:
        """Returns some of a job's results, from position `start` on.

        These are as many as fit an answer, but at least one. Waits for a
        result if none exists yet, for at most `wait_ms`.

        Raises:
            errors.UnknownJobError: No such job exists.
            errors.UnavailableError: The owner gave no usable answer.
        """
        wait_ms = min(wait_ms, _MAX_READ_WAIT_MS)
        answer = await self._ask_owner(
            job,
            lambda index: gateway_messages.JobRead(
                job.customer, job.id, start, wait_ms, index
            ),
            wait_ms,
        )
        if not isinstance(answer, gateway_messages.JobResults):
            raise errors.UnavailableError("the owner sent an unexpected answer")
        return answer

    async def exists(self, job: JobName) -> bool:
        """Returns whether a job was accepted; does not wait for an owner.

        Raises:
            errors.UnavailableError: The owner gave no usable answer.
        """
        try:
            await self._ask_partitions(
                job,
                lambda index: gateway_messages.JobRead(
                    job.customer, job.id, _NO_RESULT, 0.0, index
                ),
                0.0,
            )
        except errors.UnknownJobError:
            return False
        return True

    async def item_body(self, job: JobName, item_id: str) -> bytes:
        """Returns the body of an item that has no result yet.

        Raises:
            errors.UnknownJobError: No such job or item exists, the item has a
                result, or the job has ended.
            errors.UnavailableError: The owner gave no usable answer.
        """
        answer = await self._ask_owner(
            job,
            lambda index: gateway_messages.JobItemRead(
                job.customer, job.id, item_id, index
            ),
        )
        if not isinstance(answer, gateway_messages.JobItemBody):
            raise errors.UnavailableError("the owner sent an unexpected answer")
        return answer.body

    async def end(self, job: JobName) -> None:
        """Ends a job; returns once its end record is on the log.

        Raises:
            errors.UnknownJobError: No such job exists.
            errors.UnavailableError: The job was not ended.
            errors.OutcomeUnknownError: The job may have been ended.
        """
        try:
            await self._ask_partitions(
                job,
                lambda index: gateway_messages.JobEnd(
                    job.customer, job.id, index
                ),
                0,
            )
            return
        except errors.UnavailableError as exc:
            # An owner whose answer is lost may have ended the job.
            may_have_ended = not isinstance(exc, errors.NoOwnerError)
            _log.info(
                "owner unavailable; appending the end record",
                request_id=job.id,
                code=exc.code,
            )
        # The present or next owner reads the end record from the log.
        key = records.job_key(job.customer, job.id)
        try:
            for index in self._partitions_of(job):
                await self._appender.append(index, [records.end_record(key)])
                may_have_ended = True
        except errors.NotAcceptedError as exc:
            if may_have_ended:
                raise errors.OutcomeUnknownError(exc.message) from exc
            raise errors.UnavailableError(exc.message) from exc

    async def _ask_owner(
        self, job: JobName, make: MakeRequest, wait_ms: float = 0.0
    ) -> messages.Message:
        """Asks the job's owner; waits a short time for one if there is none.

        Right after a start or the loss of a gateway, partitions have no owner
        that this gateway knows of.

        Raises:
            errors.UnknownJobError: No such job exists.
            errors.UnavailableError: No owner gave a usable answer.
        """
        deadline_ms = self._clock.now_ms() + _OWNER_WAIT_MS
        while True:
            try:
                return await self._ask_partitions(job, make, wait_ms)
            except errors.UnavailableError:
                if self._clock.now_ms() >= deadline_ms:
                    raise
            await self._clock.sleep_ms(_OWNER_POLL_MS)

    async def _ask_partitions(
        self, job: JobName, make: MakeRequest, wait_ms: float
    ) -> messages.Message:
        """Asks the owners of all partitions that may hold a job."""
        unknown = errors.UnknownJobError("no such job")
        for index in self._partitions_of(job):
            try:
                return await self._ask_partition(index, make(index), wait_ms)
            except errors.UnknownJobError as exc:
                unknown = exc
        raise unknown

    async def _ask_partition(
        self, index: int, request: messages.Message, wait_ms: float
    ) -> messages.Message:
        owner, address = self._locate(index)
        if owner is not None:
            return await self._answer_locally(owner, request)
        return await self._call_owner(address, request, wait_ms)

    def _partitions_of(self, job: JobName) -> list[int]:
        """Returns the partitions that may hold a job, the likeliest first."""
        key = records.job_key(job.customer, job.id)
        indexes = [
            records.partition_index(key, len(self._partitions)),
            self._customer_partition(job.customer),
        ]
        if job.limited:
            indexes.reverse()
        return list(dict.fromkeys(indexes))

    def _customer_partition(self, customer: str) -> int:
        return records.partition_index(customer, len(self._partitions))

    def _locate(self, index: int) -> tuple[owners.Owner | None, str]:
        """Returns a partition's owner if it is here, else its address.

        Raises:
            errors.NoOwnerError: No owner is known.
        """
        owner = self._ownership.owner(index)
        if owner is not None and not owner.lost.is_set():
            return owner, ""
        reported = self._peers.owner_at(index)
        if reported is None:
            raise errors.NoOwnerError("the job's partition has no known owner")
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
        page = _first_page(results)
        try:
            outputs = await payloads.load_all([r.output for r in page])
        except log_errors.LogError as exc:
            raise errors.UnavailableError(exc.message) from exc
        return gateway_messages.JobResults(
            total,
            [
                gateway_messages.JobResult(
                    job.items[result.item].id, result.completed, output
                )
                for result, output in zip(page, outputs, strict=True)
            ],
        )

    async def _answer_locally(
        self, owner: owners.Owner, request: messages.Message
    ) -> messages.Message:
        match request:
            case gateway_messages.JobRead():
                return await self._read_local(owner, request)
            case gateway_messages.JobItemRead(customer, job_id, item_id):
                key = records.job_key(customer, job_id)
                body = await owner.item_body(key, item_id)
                return gateway_messages.JobItemBody(body)
            case gateway_messages.JobEnd(customer, job_id):
                await owner.end(records.job_key(customer, job_id))
                return messages.Ack()
            case _:
                raise AssertionError("not a request to an owner")

    async def _handle_request(
        self,
        request: gateway_messages.JobRead
        | gateway_messages.JobItemRead
        | gateway_messages.JobEnd,
    ) -> messages.Message:
        owner = self._require_local_owner(
            request.customer, request.job_id, request.partition
        )
        return await self._answer_locally(owner, request)

    async def _handle_admission(
        self, request: gateway_messages.JobAdmission
    ) -> messages.Ack:
        owner, _ = self._locate(request.partition)
        if owner is None:
            raise errors.UnavailableError("the partition is not owned here")
        job = records.decode_job(request.job)
        key = records.job_key(job.customer, job.id)
        batches = self._appender.split(
            records.submission_records(key, job, request.bodies)
        )
        await owner.admit(job, batches, request.limit, self._find_route)
        return messages.Ack()

    async def _handle_progress(
        self, progress: gateway_messages.JobProgress
    ) -> messages.Ack:
        owner = self._require_local_owner(
            progress.customer, progress.job_id, progress.partition
        )
        await owner.apply_progress(progress)
        return messages.Ack()

    def _require_local_owner(
        self, customer: str, job_id: str, index: int
    ) -> owners.Owner:
        if index < 0:
            key = records.job_key(customer, job_id)
            index = records.partition_index(key, len(self._partitions))
        owner, _ = self._locate(index)
        if owner is None:
            raise errors.UnavailableError("the partition is not owned here")
        return owner


def _first_page(
    results: list[tables.ListedResult],
) -> list[tables.ListedResult]:
    """Returns the first results, up to the size of one answer."""
    size = 0
    for index, result in enumerate(results):
        size += result.output.size
        if size > _MAX_RESULTS_BYTES and index:
            return results[:index]
    return results
