"""Appends changes to `control`, with retries on lost answers and outages."""

import random
from typing import TYPE_CHECKING

import trio

from lacewingwood.log import errors as log_errors
from lacewingwood.state import entities
from lacewingwood.state import errors
from lacewingwood.state import ports
from lacewingwood.state import records

if TYPE_CHECKING:
    from lacewingwood.state import follower as follower_lib

TIMEOUT_MS = 15_000.0

_MIN_RETRY_MS = 100.0
_MAX_RETRY_MS = 2000.0


class _PendingChange:
    """A change that is being published.

    Attributes:
        data: The encoded record.
        has_failed: True once the attempt to publish was given up.
        may_have_taken_effect: True if the log may have stored the record.
        record_id: Identity of the record.
        too_large: True if the record exceeds the log's size limit.
    """

    __slots__ = (
        "data",
        "has_failed",
        "may_have_taken_effect",
        "record_id",
        "too_large",
    )

    def __init__(self, record_id: str, data: bytes) -> None:
        self.record_id = record_id
        self.data = data
        self.has_failed = False
        self.may_have_taken_effect = False
        self.too_large = False


class Publisher:
    """Appends records to the log and waits until they are in the view."""

    def __init__(
        self, follower: "follower_lib.Follower", log_client: ports.Log
    ) -> None:
        self._follower = follower
        self._log = log_client

    async def publish(self, record: records.Record, timeout_ms: float) -> int:
        """Publishes a change and returns its offset; see `Follower.publish`."""
        pending = _PendingChange(record.id, records.encode(record))
        if self._result(pending) is None:
            await self._append_and_wait(pending, timeout_ms)
        return self._applied_offset(pending)

    async def _append_and_wait(
        self, pending: _PendingChange, timeout_ms: float
    ) -> None:
        """Appends a change and returns once it is in the view or has failed."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._append, pending)
            nursery.start_soon(self._time_out, pending, timeout_ms)
            await self._follower.wait_until(
                lambda: pending.has_failed or self._result(pending) is not None
            )
            nursery.cancel_scope.cancel()

    async def _append(self, pending: _PendingChange) -> None:
        """Retries an append until the log has certainly stored it."""
        retry_ms = _MIN_RETRY_MS
        while not await self._append_once(pending):
            await self._follower.clock.sleep_ms(
                retry_ms * random.uniform(0.5, 1)
            )
            retry_ms = min(2 * retry_ms, _MAX_RETRY_MS)

    async def _append_once(self, pending: _PendingChange) -> bool:
        before = pending.may_have_taken_effect
        pending.may_have_taken_effect = True
        try:
            await self._log.append(ports.CONTROL, pending.data)
        except log_errors.UnavailableError as exc:
            pending.may_have_taken_effect = before or exc.may_have_taken_effect
            return False
        except log_errors.RecordTooLargeError:
            pending.may_have_taken_effect = before
            pending.too_large = True
            self._fail(pending)
        except log_errors.LogError:
            pending.may_have_taken_effect = before
            return False
        return True

    async def _time_out(
        self, pending: _PendingChange, timeout_ms: float
    ) -> None:
        await self._follower.clock.sleep_ms(timeout_ms)
        self._fail(pending)

    def _fail(self, pending: _PendingChange) -> None:
        pending.has_failed = True
        self._follower.notify()

    def _result(self, pending: _PendingChange) -> entities.RecordResult | None:
        return self._follower.view.result_of(pending.record_id)

    def _applied_offset(self, pending: _PendingChange) -> int:
        result = self._result(pending)
        if result is None and pending.too_large:
            raise errors.TooLargeError("record exceeds the log's size limit")
        if result is None:
            raise errors.UnavailableError(
                "change was not seen on the log in time",
                pending.may_have_taken_effect,
            )
        if result.outcome is entities.Outcome.VOID:
            raise errors.ConflictError("change conflicts with an earlier one")
        return result.offset
