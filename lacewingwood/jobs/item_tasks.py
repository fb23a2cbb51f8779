"""Items of jobs that are scheduled or run, and what is known of their runs."""

import dataclasses
import enum

import trio

from lacewingwood.jobs import payloads
from lacewingwood.jobs import records
from lacewingwood.peers import gateway_messages
from lacewingwood.routing import origins
from lacewingwood.routing import slots as slots_lib
from lacewingwood.upstreams import errors as upstream_errors
from lacewingwood.upstreams import event_stream

# Largest output of an item; a result has to fit into a record of the log.
_MAX_OUTPUT_BYTES = 240 << 10


class State(enum.Enum):
    """Scheduling state of an item."""

    WAITING = 0
    RUNNING = 1
    DONE = 2


@dataclasses.dataclass(slots=True, eq=False)
class ItemTask:
    """One item that is scheduled or runs.

    Attributes:
        job: The item's job.
        index: Index of the item in its job.
        body: The decoded body, which may have to be read from the log.
        state: The scheduling state.
        events: Splitter of the event stream; its last id is where the next
            run resumes.
        origin: Service and software version that wrote the events received so
            far, None if there are none.
        output: Data of the events received so far.
        output_bytes: Size of `output`.
        failures: Number of answers that count as failed attempts.
        failed_replica_ids: Replicas that gave such answers while the item was
            scheduled by this gateway.
        breaks: Number of runs in a row that broke without an event.
        not_before_ms: Earliest monotonic time of the next run.
        slot: The slot of the present run, None if the item does not run.
        scope: Cancels the present run.
        preempted: True if the newest run was cancelled to free its slot.
    """

    job: records.Job
    index: int
    body: payloads.Payload
    state: State = State.WAITING
    events: event_stream.Splitter = dataclasses.field(
        default_factory=event_stream.Splitter
    )
    origin: origins.Origin | None = None
    output: list[bytes] = dataclasses.field(default_factory=list)
    output_bytes: int = 0
    failures: int = 0
    failed_replica_ids: set[str] = dataclasses.field(default_factory=set)
    breaks: int = 0
    not_before_ms: float = 0.0
    slot: slots_lib.Slot | None = None
    scope: trio.CancelScope | None = None
    preempted: bool = False

    @property
    def item(self) -> records.Item:
        """The item's specification."""
        return self.job.items[self.index]

    def is_behind(self, progress: gateway_messages.JobProgress) -> bool:
        """Returns whether another owner has got further with the item."""
        if progress.completed is not None or progress.failures > self.failures:
            return True
        return (progress.last_event or 0) > (self.events.last_id or 0)

    def add_output(self, lines: list[bytes]) -> None:
        """Adds the data of further events.

        Raises:
            upstream_errors.InvalidResponseError: The output is too large for a
                record of the log.
        """
        self.output += lines
        self.output_bytes += sum(len(line) + 1 for line in lines)
        if self.output_bytes > _MAX_OUTPUT_BYTES:
            self.restart()
            raise upstream_errors.InvalidResponseError(
                "the item's output is too large"
            )

    def restart(self) -> None:
        """Drops all events, so that the next run starts from the beginning."""
        self.output, self.output_bytes = [], 0
        self.events = event_stream.Splitter()
        self.origin = None

    def result(self, completed: bool) -> records.Result:
        """Returns the item's result; a given-up item has no output."""
        output = b"\n".join(self.output) if completed else b""
        return records.Result(self.index, completed, output)
