"""Appends jobs' records by two ways: directly, and through another gateway."""

import random
from typing import Protocol

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import errors
from lacewingwood.log import compacted
from lacewingwood.log import errors as log_errors
from lacewingwood.peers import errors as peer_errors
from lacewingwood.peers import gateway_messages
from lacewingwood.peers import messages
from lacewingwood.peers import network as network_lib

# Time for an answer of the gateway that appends for this one.
_PEER_TIMEOUT_MS = 800.0
# Pause between attempts to append a job.
_RETRY_MS = 120.0
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


class Appender:
    """Appends records that may be appended again without effect."""

    __slots__ = (
        "_clock",
        "_log",
        "_max_append_bytes",
        "_max_record_bytes",
        "_metrics",
        "_network",
        "_partitions",
        "_peers",
    )

    def __init__(
        self,
        log: compacted.CompactedLog,
        partitions: list[compacted.Partition],
        network: network_lib.Network,
        peers: Peers,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
        *,
        max_record_bytes: int,
        max_append_bytes: int,
    ) -> None:
        self._log = log
        self._partitions = partitions
        self._network = network
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._max_record_bytes = max_record_bytes
        self._max_append_bytes = max_append_bytes
        network.handle(gateway_messages.JobAppend, self._handle_append)

    async def append(self, index: int, content: list[compacted.Record]) -> None:
        """Appends records to a partition; returns once all are on the log.

        Only the last call makes the others count.

        Raises:
            errors.InvalidJobError: The log can't take a record of this size.
            errors.NotAcceptedError: The last call was not appended.
            errors.OutcomeUnknownError: It may have been appended.
        """
        calls = self.split(content)
        started_ms = self._clock.now_ms()
        for call in calls:
            last = call is calls[-1]
            await self._append_call(index, call, started_ms, last)

    def split(
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

    async def _append_call(
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
        return errors.OutcomeUnknownError(detail)
    return errors.NotAcceptedError(detail)
