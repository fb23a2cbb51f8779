"""Callers' operations on jobs, at whichever gateway they arrive."""

import random
from typing import Protocol

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import errors
from lacewingwood.jobs import owner as owners
from lacewingwood.jobs import ownership as ownerships
from lacewingwood.jobs import records
from lacewingwood.log import compacted
from lacewingwood.log import errors as log_errors
from lacewingwood.peers import errors as peer_errors
from lacewingwood.peers import gateway_messages
from lacewingwood.peers import messages
from lacewingwood.peers import network as network_lib

# Topics of the jobs; all gateways must agree on their number.
TOPICS = ("jobs-0", "jobs-1", "jobs-2")
# Time for an answer of the owner besides the wait that the caller asked for.
_PEER_TIMEOUT_MS = 800.0
# Pause between attempts to append a job.
_RETRY_MS = 120.0
_MAX_WAIT_MS = 1_000.0
# Longest time to try; after it the caller tries another gateway.
_SUBMIT_MS = 2_500.0

# An append that has no answer after this time is tried through a peer as well.
_HEDGE_MS = 100.0
# A gateway that alone can't reach the log refuses after this time, so that the
# caller finds another one within the objective.
_ALONE_MS = 100.0


class Peers(Protocol):
    """What is known of the other gateways."""

    def owner_at(self, partition: int) -> tuple[str, int] | None:
        """Returns address and epoch of a partition's owner."""

    def log_reachers(self) -> list[str]:
        """Returns addresses of gateways that the log answered lately."""

    def log_lost(self) -> bool:
        """Returns whether the log has not answered this gateway lately."""

    def isolated(self) -> bool:
        """Returns whether none of the other gateways is heard."""


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
        "_clock",
        "_log",
        "_max_append_bytes",
        "_max_record_bytes",
        "_metrics",
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
        peers: Peers,
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
        self._log = log
        self._partitions = partitions_
        self._ownership = ownership
        self._network = network
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._max_record_bytes = max_record_bytes
        self._max_append_bytes = max_append_bytes
        network.handle(gateway_messages.JobRead, self._handle_read)
        network.handle(gateway_messages.JobItemRead, self._handle_item)
        network.handle(gateway_messages.JobEnd, self._handle_end)
        network.handle(gateway_messages.JobAppend, self._handle_append)
        network.handle(gateway_messages.JobProgress, self._handle_progress)

    async def submit(self, submission: records.Submission) -> None:
        """Accepts a job; returns once all of it is on the log.

        Raises:
            errors.InvalidJobError: The log can't take an item of this size.
            errors.NotAcceptedError: Nothing of it was accepted.
            errors.UnclearError: It may have been accepted.
        """
        job = submission.job
        key = records.job_key(job.customer, job.id)
        index = records.partition_index(key, len(self._partitions))
        owner = self._ownership.owner(index)
        if owner is not None and owner.knows(key):
            return
        calls = self._split(records.submission(key, job, submission.bodies))
        started_ms = self._clock.now_ms()
        for call in calls:
            # Only the last call makes the job exist.
            last = call is calls[-1]
            await self._append(index, call, started_ms, last)
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
            errors.UnsureError: Nobody could tell.
        """
        wait_ms = min(wait_ms, _MAX_WAIT_MS)
        request = gateway_messages.JobRead(customer, job_id, start, wait_ms)
        owner, address = self._locate(customer, job_id)
        if owner is not None:
            return await self._read_own(owner, request)
        answer = await self._ask(address, request, wait_ms)
        if not isinstance(answer, gateway_messages.JobResults):
            raise errors.UnsureError("the owner's answer is not understood")
        return answer

    async def item_body(
        self, customer: str, job_id: str, item_id: str
    ) -> bytes:
        """Returns the body of an item that is not listed yet.

        Raises:
            errors.UnknownJobError: There is none.
            errors.UnsureError: Nobody could tell.
        """
        owner, address = self._locate(customer, job_id)
        if owner is not None:
            return await owner.body(records.job_key(customer, job_id), item_id)
        request = gateway_messages.JobItemRead(customer, job_id, item_id)
        answer = await self._ask(address, request, 0)
        if not isinstance(answer, gateway_messages.JobItemBody):
            raise errors.UnsureError("the owner's answer is not understood")
        return answer.body

    async def end(self, customer: str, job_id: str) -> None:
        """Ends a job; returns once that is on the log.

        Raises:
            errors.UnknownJobError: No such job exists.
            errors.UnsureError: It could not be ended now.
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
        except errors.UnsureError as exc:
            _log.info("end goes to the log", request_id=job_id, code=exc.code)
        # The owner reads it there, whichever gateway that will be.
        index = records.partition_index(key, len(self._partitions))
        call = [records.end(key)]
        try:
            await self._append(index, call, self._clock.now_ms(), last=True)
        except (errors.NotAcceptedError, errors.UnclearError) as exc:
            raise errors.UnsureError(exc.message) from exc

    def _split(
        self, all_records: list[compacted.Record]
    ) -> list[list[compacted.Record]]:
        """Returns the records in groups that fit into one append each."""
        groups: list[list[compacted.Record]] = [[]]
        size = 0
        for record in all_records:
            length = len(record.value or b"") + len(record.key) + 5
            if length > self._max_record_bytes:
                raise errors.InvalidJobError("the job is too large")
            if groups[-1] and size + length > self._max_append_bytes:
                groups.append([])
                size = 0
            groups[-1].append(record)
            size += length
        return groups

    async def _append(
        self,
        index: int,
        call: list[compacted.Record],
        started_ms: float,
        last: bool,
    ) -> None:
        """Appends until it is certain; repeating changes nothing."""
        unclear = False
        while True:
            attempt = _Attempt()
            async with trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(self._append_here, index, call, attempt)
                nursery.start_soon(self._append_at_peer, index, call, attempt)
                await attempt.done_or_failed(scope)
            if attempt.done:
                return
            unclear = unclear or (last and attempt.unclear)
            if attempt.full:
                raise _submission_error(unclear, attempt.detail)
            if self._clock.now_ms() - started_ms > self._patience_ms():
                raise _submission_error(unclear, attempt.detail)
            await self._clock.sleep_ms(_RETRY_MS)

    def _patience_ms(self) -> float:
        return _ALONE_MS if self._peers.isolated() else _SUBMIT_MS

    async def _append_here(
        self, index: int, call: list[compacted.Record], attempt: "_Attempt"
    ) -> None:
        try:
            await self._log.append(self._partitions[index], call)
        except compacted.FullError as exc:
            attempt.full = True
            attempt.fail(exc.message, False)
        except log_errors.UnavailableError as exc:
            self._metrics.add("submit_appends_failed", code=exc.code)
            attempt.fail(exc.message, exc.may_have_taken_effect)
        else:
            attempt.succeed()

    async def _append_at_peer(
        self, index: int, call: list[compacted.Record], attempt: "_Attempt"
    ) -> None:
        """Has records appended by a peer that reaches the log.

        At once if this gateway is known not to reach it, else after a while.
        """
        if not self._peers.log_lost():
            await attempt.wait_failure(_HEDGE_MS)
        reachers = self._peers.log_reachers()
        if not reachers:
            attempt.fail(attempt.detail, False)
            return
        request = gateway_messages.JobAppend(
            index,
            [record.key for record in call],
            [record.value or b"" for record in call],
        )
        address = random.choice(reachers)
        try:
            await self._network.call(address, request, _PEER_TIMEOUT_MS)
        except peer_errors.PeerError as exc:
            self._metrics.add("peer_appends_failed", code=exc.code)
            # Its own append may have taken effect without an answer.
            attempt.fail(exc.message, True)
            return
        _log.info("appended by a peer", partition=index, peer=address)
        attempt.succeed()

    async def _handle_append(
        self, request: gateway_messages.JobAppend
    ) -> messages.Ack:
        batch = [
            compacted.Record(key, value or None)
            for key, value in zip(request.keys, request.values, strict=True)
        ]
        partition = self._partitions[request.partition]
        await self._log.append(partition, batch)
        return messages.Ack()

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
            raise errors.UnsureError("the job's partition has no owner now")
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
            raise errors.UnsureError(exc.message) from exc
        except peer_errors.PeerError as exc:
            raise errors.UnsureError(exc.message) from exc

    async def _read_own(
        self, owner: owners.Owner, request: gateway_messages.JobRead
    ) -> gateway_messages.JobResults:
        key = records.job_key(request.customer, request.job_id)
        total, found, job = await owner.read(
            key, request.start, request.wait_ms
        )
        if not found and not self._ownership.current():
            # Another owner may have listed more.
            raise errors.UnsureError("the ownership was not renewed in time")
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
            raise errors.UnsureError("the partition is owned elsewhere")
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
            await owner.body(key, request.item_id)
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
        await owner.adopt(progress)
        return messages.Ack()


class _Attempt:
    """Two ways of one append, of which one has to succeed."""

    __slots__ = ("_changed", "_failures", "detail", "done", "full", "unclear")

    def __init__(self) -> None:
        self.done = self.full = self.unclear = False
        self.detail = "no answer"
        self._failures = 0
        self._changed = trio.Event()

    def succeed(self) -> None:
        """Notes that the records are on the log."""
        self.done = True
        self._notify()

    def fail(self, detail: str, unclear: bool) -> None:
        """Notes that one way has failed."""
        self.detail, self.unclear = detail, self.unclear or unclear
        self._failures += 1
        self._notify()

    async def wait_failure(self, limit_ms: float) -> None:
        """Waits until the other way has failed, at most so long."""
        with trio.move_on_after(limit_ms / 1000):
            while not self._failures:
                await self._changed.wait()

    async def done_or_failed(self, scope: trio.CancelScope) -> None:
        """Waits until one way has succeeded or both have failed."""
        while not self.done and self._failures < 2:
            await self._changed.wait()
        scope.cancel()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _submission_error(unclear: bool, detail: str) -> errors.JobError:
    if unclear:
        return errors.UnclearError(detail)
    return errors.NotAcceptedError(detail)
