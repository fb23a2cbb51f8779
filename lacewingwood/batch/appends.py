"""Appends to the log that are retried until the log acknowledges them."""

from lacewingwood import clock as clocks
from lacewingwood.batch import deps
from lacewingwood.batch import errors
from lacewingwood.log import errors as log_errors

_INITIAL_DELAY_MS = 50.0
_MAX_DELAY_MS = 1_000.0


async def append(
    log: deps.Log,
    clock: clocks.Clock,
    stream: str,
    data: bytes,
    timeout_ms: float,
) -> int:
    """Appends a record and returns its offset.

    A retry may append the record twice, so that duplicates must be harmless to
    readers.

    Raises:
        errors.UnavailableError: The log did not acknowledge the record within
            `timeout_ms`.
        errors.TooLargeError: The record is too large for the log.
    """
    deadline_ms = clock.now_ms() + timeout_ms
    delay_ms = _INITIAL_DELAY_MS
    while True:
        try:
            return await log.append(stream, data)
        except log_errors.RecordTooLargeError as exc:
            raise errors.TooLargeError(exc.message) from exc
        except log_errors.LogError as exc:
            if clock.now_ms() + delay_ms > deadline_ms:
                raise errors.UnavailableError(
                    f"the log did not acknowledge a record: {exc.message}"
                ) from exc
        await clock.sleep_ms(delay_ms)
        delay_ms = min(delay_ms * 2, _MAX_DELAY_MS)
