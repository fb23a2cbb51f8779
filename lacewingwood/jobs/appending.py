"""Appends job records to the log, directly or through another gateway."""

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

# Timeout of a peer's answer to a request to append.
_PEER_TIMEOUT_MS = 800.0
# Delay between attempts to append a batch.
_RETRY_DELAY_MS = 120.0
# After this time the submission fails, and the caller tries another gateway.
_SUBMIT_TIMEOUT_MS = 2_500.0

# An append without an answer after this time is also tried through a peer.
_HEDGE_DELAY_MS = 100.0
# Timeout of a submission at a gateway that can't reach the other gateways:
# short, so that the caller finds another gateway within the latency objective.
_ISOLATED_TIMEOUT_MS = 100.0


class Peers(Protocol):
    """This gateway's view of the other gateways."""

    def owner_at(self, partition: int) -> tuple[str, int] | None:
        """Returns the address and epoch of a partition's owner."""

    def peers_reaching_log(self) -> list[str]:
        """Returns addresses of gateways that can currently reach the log."""

    def log_lost(self) -> bool:
        """Returns whether this gateway currently can't reach the log."""

    def isolated(self) -> bool:
        """Returns whether no other gateway can be heard."""


_log = structlog.get_logger()


class Appender:
    """Appends records for which a repeated append has no further effect."""

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

    async def append(
        self, index: int, new_records: list[compacted.Record]
    ) -> None:
        """Appends records to a partition; returns once all are on the log.

        The records are appended in several batches if one append can't hold
        them. The earlier batches have no effect without the last one.

        Args:
            index: Index of the partition.
            new_records: The records, in order.

        Raises:
            errors.InvalidJobError: A record is too large for the log.
            errors.NotAcceptedError: The last batch was not appended.
            errors.OutcomeUnknownError: The last batch may have been appended.
        """
        batches = self.split(new_records)
        started_ms = self._clock.now_ms()
        for batch in batches:
            is_last = batch is batches[-1]
            await self._append_batch(index, batch, started_ms, is_last)

    def split(
        self, new_records: list[compacted.Record]
    ) -> list[list[compacted.Record]]:
        """Splits records into batches that each fit into one append.

        Raises:
            errors.InvalidJobError: A record is too large for the log.
        """
        batches: list[list[compacted.Record]] = [[]]
        batch_bytes = 0
        for record in new_records:
            record_bytes = len(record.value or b"") + len(record.key) + 5
            if record_bytes > self._max_record_bytes:
                raise errors.InvalidJobError("the job is too large")
            if batches[-1] and (
                batch_bytes + record_bytes > self._max_append_bytes
            ):
                batches.append([])
                batch_bytes = 0
            batches[-1].append(record)
            batch_bytes += record_bytes
        return batches

    async def _append_batch(
        self,
        index: int,
        batch: list[compacted.Record],
        started_ms: float,
        is_last: bool,
    ) -> None:
        """Repeats the append of one batch until it succeeds or times out."""
        outcome_unknown = False
        while True:
            attempt = _Attempt()
            async with trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(self._append_directly, index, batch, attempt)
                nursery.start_soon(
                    self._append_through_peer, index, batch, attempt
                )
                await attempt.wait_until_settled(scope)
            if attempt.succeeded:
                return
            outcome_unknown = outcome_unknown or (
                is_last and attempt.outcome_unknown
            )
            if attempt.log_full:
                raise _submission_error(outcome_unknown, attempt.detail)
            if self._clock.now_ms() - started_ms > self._timeout_ms():
                raise _submission_error(outcome_unknown, attempt.detail)
            await self._clock.sleep_ms(_RETRY_DELAY_MS)

    def _timeout_ms(self) -> float:
        return (
            _ISOLATED_TIMEOUT_MS
            if self._peers.isolated()
            else _SUBMIT_TIMEOUT_MS
        )

    async def _append_directly(
        self, index: int, batch: list[compacted.Record], attempt: "_Attempt"
    ) -> None:
        try:
            await self._log.append(self._partitions[index], batch)
        except compacted.FullError as exc:
            attempt.log_full = True
            attempt.fail(exc.message, False)
        except log_errors.UnavailableError as exc:
            self._metrics.add("submit_appends_failed", code=exc.code)
            attempt.fail(exc.message, exc.may_have_taken_effect)
        else:
            attempt.succeed()

    async def _append_through_peer(
        self, index: int, batch: list[compacted.Record], attempt: "_Attempt"
    ) -> None:
        """Asks a peer that reaches the log to append a batch.

        Starts at once if this gateway knows that it can't reach the log, else
        after the direct append has failed or the hedge delay has passed.
        """
        if not self._peers.log_lost():
            await attempt.wait_for_failure(_HEDGE_DELAY_MS)
        addresses = self._peers.peers_reaching_log()
        if not addresses:
            attempt.fail(attempt.detail, False)
            return
        request = gateway_messages.JobAppend(
            index,
            [record.key for record in batch],
            [record.value or b"" for record in batch],
        )
        address = random.choice(addresses)
        try:
            await self._network.call(address, request, _PEER_TIMEOUT_MS)
        except peer_errors.PeerError as exc:
            self._metrics.add("peer_appends_failed", code=exc.code)
            # The peer's append may have taken effect without an answer.
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
    """State of one hedged append: a direct call and a call to a peer.

    The attempt succeeds if one of the two calls does.

    Attributes:
        succeeded: True once the records are on the log.
        log_full: True if the log has no room for the records.
        outcome_unknown: True if a failed call may have taken effect.
        detail: Message of the newest failure.
    """

    __slots__ = (
        "_changed",
        "_failures",
        "detail",
        "log_full",
        "outcome_unknown",
        "succeeded",
    )

    def __init__(self) -> None:
        self.succeeded = self.log_full = self.outcome_unknown = False
        self.detail = "no answer"
        self._failures = 0
        self._changed = trio.Event()

    def succeed(self) -> None:
        """Records that one of the calls has succeeded."""
        self.succeeded = True
        self._notify()

    def fail(self, detail: str, outcome_unknown: bool) -> None:
        """Records that one of the calls has failed."""
        self.detail, self.outcome_unknown = (
            detail,
            self.outcome_unknown or outcome_unknown,
        )
        self._failures += 1
        self._notify()

    async def wait_for_failure(self, limit_ms: float) -> None:
        """Waits until a call has failed, for at most `limit_ms`."""
        with trio.move_on_after(limit_ms / 1000):
            while not self._failures:
                await self._changed.wait()

    async def wait_until_settled(self, scope: trio.CancelScope) -> None:
        """Waits for one success or two failures, then cancels `scope`."""
        while not self.succeeded and self._failures < 2:
            await self._changed.wait()
        scope.cancel()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _submission_error(outcome_unknown: bool, detail: str) -> errors.JobError:
    if outcome_unknown:
        return errors.OutcomeUnknownError(detail)
    return errors.NotAcceptedError(detail)
