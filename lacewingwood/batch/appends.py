"""Appends to the log that are sent again until they are known to be there."""

from lacewingwood import clock as clocks
from lacewingwood.batch import deps
from lacewingwood.batch import errors
from lacewingwood.log import errors as log_errors

_FIRST_PAUSE_MS = 50.0
_LONGEST_PAUSE_MS = 1_000.0


async def append(
    log: deps.Log,
    clock: clocks.Clock,
    stream: str,
    data: bytes,
    give_up_ms: float,
) -> int:
    """Appends a record whose repetition is harmless; returns its offset.

    Raises:
        errors.UnavailableError: It was not acknowledged within `give_up_ms`.
        errors.TooLargeError: The log takes no record of this size.
    """
    end_ms = clock.now_ms() + give_up_ms
    pause_ms = _FIRST_PAUSE_MS
    while True:
        try:
            return await log.append(stream, data)
        except log_errors.RecordTooLargeError as exc:
            raise errors.TooLargeError(exc.message) from exc
        except log_errors.LogError as exc:
            if clock.now_ms() + pause_ms > end_ms:
                raise errors.UnavailableError(
                    f"the log does not acknowledge: {exc.message}"
                ) from exc
        await clock.sleep_ms(pause_ms)
        pause_ms = min(pause_ms * 2, _LONGEST_PAUSE_MS)
