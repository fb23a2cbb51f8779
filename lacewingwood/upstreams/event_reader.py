"""Reads the events of a run and notices when the run stalls."""

from lacewingwood import clock as clocks
from lacewingwood.upstreams import errors
from lacewingwood.upstreams import event_stream
from lacewingwood.upstreams import runs


class EventReader:
    """Reads the events of one run.

    Only a numbered event is progress. A replica that sends a byte or a comment
    now and then has stalled, while one whose events come slowly has not. The
    time that the reader's caller takes between two calls does not count.

    Attributes:
        timing: When the events came.
    """

    __slots__ = (
        "_clock",
        "_returned_ms",
        "_run",
        "_splitter",
        "_stalled_ms",
        "timing",
    )

    def __init__(
        self,
        run: runs.Run,
        splitter: event_stream.Splitter,
        clock: clocks.Clock,
    ) -> None:
        self._run = run
        self._splitter = splitter
        self._clock = clock
        self._stalled_ms = 0.0
        # When events were last returned.
        self._returned_ms = 0.0
        self.timing = runs.Timing()

    async def next_events(self, timeout_ms: float) -> bytes:
        """Returns the next complete events, empty at the end of the stream.

        Args:
            timeout_ms: Longest wait for a numbered event since the last one.

        Raises:
            errors.TimeoutError: None came in time.
            errors.BrokenError: The stream broke or ended within an event.
            errors.InvalidResponseError: The stream is malformed.
        """
        started_ms = self._clock.now_ms()
        if self.timing.first_ms:
            self.timing.paused_ms += started_ms - self._returned_ms
        while True:
            chunk = await self._run.next_chunk(
                max(0.0, timeout_ms - self._stalled_ms)
            )
            if not chunk:
                break
            now_ms = self._clock.now_ms()
            self._stalled_ms += now_ms - started_ms
            started_ms = now_ms
            last_id = self._splitter.last_id
            events = self._splitter.feed(chunk)
            if self._splitter.last_id != last_id:
                self._stalled_ms = 0.0
                self._note_events(last_id, now_ms)
            if events:
                self._returned_ms = now_ms
                return events
        if not self._splitter.between_events:
            raise errors.BrokenError("the stream ended within an event")
        return b""

    def _note_events(self, before: int | None, now_ms: float) -> None:
        timing = self.timing
        if not timing.first_ms:
            timing.first_ms = timing.last_ms = now_ms
            return
        timing.gaps += (self._splitter.last_id or 0) - (before or 0)
        timing.last_ms = now_ms
