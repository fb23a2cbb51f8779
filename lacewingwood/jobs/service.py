"""Callers' operations on jobs, at whichever gateway they arrive."""

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

# Topics of the jobs; all gateways must agree on their number.
TOPICS = ("jobs-0", "jobs-1", "jobs-2")
# Time for an answer of the owner besides the wait that the caller asked for.
_PEER_TIMEOUT_MS = 800.0
_MAX_WAIT_MS = 1_000.0
_log = structlog.get_logger()


def partitions(per_topic: int) -> list[compacted.Partition]:
    """Returns all partitions of the jobs' topics, in a fixed order."""
    return [
        compacted.Partition(topic, number)
        for topic in TOPICS
        for number in range(per_topic)
    ]


class JobService:
    """Accepts, reads and ends jobs.

    A job is accepted once all its records are on the log; which gateway
    received it does not matter. Everything else is answered by the owner of
    the job's partition, here or at a peer.
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
        """Makes the service.

        Args:
            log: Where the records are.
            partitions_: All partitions, in the order of all gateways.
            ownership: What is owned here.
            network: Carries calls to owners elsewhere.
            peers: The other gateways.
            clock: Source of time.
            metrics: Where events are counted.
            max_record_bytes: Largest record that the log takes.
            max_append_bytes: Most bytes of one append.
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
        network.handle(gateway_messages.JobItemRead, self._handle_item)
        network.handle(gateway_messages.JobEnd, self._handle_end)
        network.handle(gateway_messages.JobProgress, self._handle_progress)

    async def submit(self, submission: records.Submission) -> None:
        """Accepts a job; returns once all of it is on the log.

        Raises:
            errors.InvalidJobError: The log can't take an item of this size.
            errors.NotAcceptedError: Nothing of it was accepted.
            errors.OutcomeUnknownError: It may have been accepted.
        """
        job = submission.job
        key = records.job_key(job.customer, job.id)
        index = records.partition_index(key, len(self._partitions))
        owner = self._ownership.owner(index)
        if owner is not None and owner.has_job(key):
            return
        started_ms = self._clock.now_ms()
        content = records.submission_records(key, job, submission.bodies)
        await self._appender.append(index, content)
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

        Raises:
            errors.UnknownJobError: No such job exists.
            errors.UnavailableError: Nobody could tell.
        """
        wait_ms = min(wait_ms, _MAX_WAIT_MS)
        request = gateway_messages.JobRead(customer, job_id, start, wait_ms)
        owner, address = self._locate(customer, job_id)
        if owner is not None:
            return await self._read_own(owner, request)
        answer = await self._ask(address, request, wait_ms)
        if not isinstance(answer, gateway_messages.JobResults):
            raise errors.UnavailableError(
                "the owner's answer is not understood"
            )
        return answer

    async def item_body(
        self, customer: str, job_id: str, item_id: str
    ) -> bytes:
        """Returns the body of an item that is not listed yet.

        Raises:
            errors.UnknownJobError: There is none.
            errors.UnavailableError: Nobody could tell.
        """
        owner, address = self._locate(customer, job_id)
        if owner is not None:
            return await owner.item_body(
                records.job_key(customer, job_id), item_id
            )
        request = gateway_messages.JobItemRead(customer, job_id, item_id)
        answer = await self._ask(address, request, 0)
        if not isinstance(answer, gateway_messages.JobItemBody):
            raise errors.UnavailableError(
                "the owner's answer is not understood"
            )
        return answer.body

    async def end(self, customer: str, job_id: str) -> None:
        """Ends a job; returns once that is on the log.

        Raises:
            errors.UnknownJobError: No such job exists.
            errors.UnavailableError: It could not be ended now.
        """
        key = records.job_key(customer, job_id)
        try:
            owner, address = self._locate(customer, job_id)
            if owner is not None:
                await owner.end(key)
            else:
                request = gateway_messages.JobEnd(customer, job_id)
                await self._ask(address, request, 0)
            return
        except errors.UnavailableError as exc:
            _log.info("end goes to the log", request_id=job_id, code=exc.code)
        # The owner reads it there, whichever gateway that will be.
        index = records.partition_index(key, len(self._partitions))
        try:
            await self._appender.append(index, [records.end_record(key)])
        except (errors.NotAcceptedError, errors.OutcomeUnknownError) as exc:
            raise errors.UnavailableError(exc.message) from exc

    def _locate(
        self, customer: str, job_id: str
    ) -> tuple[owners.Owner | None, str]:
        """Returns the owner if it is here, else its address."""
        key = records.job_key(customer, job_id)
        index = records.partition_index(key, len(self._partitions))
        owner = self._ownership.owner(index)
        if owner is not None and not owner.lost.is_set():
            return owner, ""
        found = self._peers.owner_at(index)
        if found is None:
            raise errors.UnavailableError(
                "the job's partition has no owner now"
            )
        return None, found[0]

    async def _ask(
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

    async def _read_own(
        self, owner: owners.Owner, request: gateway_messages.JobRead
    ) -> gateway_messages.JobResults:
        key = records.job_key(request.customer, request.job_id)
        total, found, job = await owner.read(
            key, request.start, request.wait_ms
        )
        if not found and not self._ownership.is_current():
            # Another owner may have listed more.
            raise errors.UnavailableError(
                "the ownership was not renewed in time"
            )
        return gateway_messages.JobResults(
            total,
            [
                gateway_messages.JobResult(
                    job.items[result.item].id, result.completed, result.output
                )
                for result in found
            ],
        )

    def _own(self, customer: str, job_id: str) -> owners.Owner:
        owner, _ = self._locate(customer, job_id)
        if owner is None:
            raise errors.UnavailableError("the partition is owned elsewhere")
        return owner

    async def _handle_read(
        self, request: gateway_messages.JobRead
    ) -> gateway_messages.JobResults:
        owner = self._own(request.customer, request.job_id)
        return await self._read_own(owner, request)

    async def _handle_item(
        self, request: gateway_messages.JobItemRead
    ) -> gateway_messages.JobItemBody:
        owner = self._own(request.customer, request.job_id)
        key = records.job_key(request.customer, request.job_id)
        return gateway_messages.JobItemBody(
            await owner.item_body(key, request.item_id)
        )

    async def _handle_end(
        self, request: gateway_messages.JobEnd
    ) -> messages.Ack:
        owner = self._own(request.customer, request.job_id)
        await owner.end(records.job_key(request.customer, request.job_id))
        return messages.Ack()

    async def _handle_progress(
        self, progress: gateway_messages.JobProgress
    ) -> messages.Ack:
        owner = self._own(progress.customer, progress.job_id)
        await owner.apply_progress(progress)
        return messages.Ack()
