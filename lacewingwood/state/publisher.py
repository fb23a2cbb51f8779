"""Puts changes on `control` in spite of lost answers and outages."""

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

_RETRY_MS = 100.0
_RETRY_MAX_MS = 2000.0


class _Publication:
    """A change on its way to the log."""

    __slots__ = (
        "data",
        "ended",
        "may_have_taken_effect",
        "record_id",
        "too_large",
    )

    def __init__(self, record_id: str, data: bytes) -> None:
        self.record_id = record_id
        self.data = data
        self.ended = False
        self.may_have_taken_effect = False
        self.too_large = False


class Publisher:
    """Appends records and waits until they are in the view."""

    def __init__(
        self, follower: "follower_lib.Follower", log_client: ports.Log
    ) -> None:
        self._follower = follower
        self._log = log_client

    async def publish(self, record: records.Record, timeout_ms: float) -> int:
        """Returns the offset of a change; see `Follower.publish`."""
        publication = _Publication(record.id, records.encode(record))
        if self._seen(publication) is None:
            await self._record(publication, timeout_ms)
        return self._published(publication)

    async def _record(
        self, publication: _Publication, timeout_ms: float
    ) -> None:
        """Returns once a change is in the view, or can't be in time."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._append, publication)
            nursery.start_soon(self._give_up, publication, timeout_ms)
            await self._follower.wait_until(
                lambda: publication.ended or self._seen(publication) is not None
            )
            nursery.cancel_scope.cancel()

    async def _append(self, publication: _Publication) -> None:
        """Repeats an append until the log has certainly taken it."""
        retry_ms = _RETRY_MS
        while not await self._append_once(publication):
            await self._follower.clock.sleep_ms(
                retry_ms * random.uniform(0.5, 1)
            )
            retry_ms = min(2 * retry_ms, _RETRY_MAX_MS)

    async def _append_once(self, publication: _Publication) -> bool:
        before = publication.may_have_taken_effect
        publication.may_have_taken_effect = True
        try:
            await self._log.append(ports.CONTROL, publication.data)
        except log_errors.UnavailableError as exc:
            publication.may_have_taken_effect = (
                before or exc.may_have_taken_effect
            )
            return False
        except log_errors.RecordTooLargeError:
            publication.may_have_taken_effect = before
            publication.too_large = True
            self._end(publication)
        except log_errors.LogError:
            publication.may_have_taken_effect = before
            return False
        return True

    async def _give_up(
        self, publication: _Publication, timeout_ms: float
    ) -> None:
        await self._follower.clock.sleep_ms(timeout_ms)
        self._end(publication)

    def _end(self, publication: _Publication) -> None:
        publication.ended = True
        self._follower.notify()

    def _seen(self, publication: _Publication) -> entities.Seen | None:
        return self._follower.view.seen(publication.record_id)

    def _published(self, publication: _Publication) -> int:
        seen = self._seen(publication)
        if seen is None and publication.too_large:
            raise errors.TooLargeError("the log takes no record of this size")
        if seen is None:
            raise errors.UnavailableError(
                "the change was not seen on the log in time",
                publication.may_have_taken_effect,
            )
        if seen.outcome is entities.Outcome.VOID:
            raise errors.ConflictError("another change came first")
        return seen.offset
