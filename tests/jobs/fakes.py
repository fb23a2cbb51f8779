"""A keyed log in memory, with the failures of the real one."""

import collections

import trio

from lacewingwood.jobs import records
from lacewingwood.jobs import running
from lacewingwood.jobs import scheduler as schedulers
from lacewingwood.log import compacted
from lacewingwood.log import errors
from lacewingwood.platform import store as wire
from standins import keyed_store

PARTITION = compacted.Partition("jobs-0", 0)


class MemoryLog:
    """`compacted.CompactedLog` over the stand-in's state.

    Attributes:
        core: The state.
        down: Nothing is done and all calls fail.
        lose: So many of the next appends are done and reported as unclear.
        late: So many of the next appends are reported as unclear and done
            only by `do_late`.
    """

    def __init__(self) -> None:
        self.core = keyed_store.Core()
        self.down = False
        self.lose = 0
        self.late = 0
        self._late: collections.deque[tuple[dict[str, str], bytes]]
        self._late = collections.deque()

    async def snapshot(
        self, partition: compacted.Partition
    ) -> compacted.Snapshot:
        """Returns the newest record of each key."""
        await trio.lowlevel.checkpoint()
        self._check_up()
        part = self.core.partition(partition.topic, partition.number)
        found = [
            compacted.Record(key, value, offset)
            for key, (offset, value) in sorted(part.newest.items())
        ]
        return compacted.Snapshot(found, part.end)

    async def read(
        self, partition: compacted.Partition, start: int, wait_ms: float
    ) -> compacted.Page:
        """Returns records from `start` on."""
        part = self.core.partition(partition.topic, partition.number)
        if start >= part.end:
            with trio.move_on_after(wait_ms / 1000):
                await part.changed.wait()
        await trio.lowlevel.checkpoint()
        self._check_up()
        query = {
            "topic": partition.topic,
            "part": str(partition.number),
            "from": str(start),
        }
        status, body = self.core.read(query)
        if status == 410:
            raise errors.OffsetExpiredError("expired", part.first)
        return wire._decode_page(body, start)

    async def append(
        self,
        partition: compacted.Partition,
        batch: list[compacted.Record],
        fence: compacted.Fence | None = None,
    ) -> None:
        """Appends records, all or none."""
        await trio.lowlevel.checkpoint()
        self._check_up()
        query = {"topic": partition.topic, "part": str(partition.number)}
        if fence is not None:
            query["producer"] = fence.producer
            query["epoch"] = str(fence.epoch)
            query["seq"] = str(fence.sequence)
        body = b"".join([wire._encode_record(record) for record in batch])
        if self.late:
            self.late -= 1
            self._late.append((query, body))
            raise errors.UnavailableError("no answer", True)
        status, _ = self.core.append(query, body)
        if self.lose:
            self.lose -= 1
            raise errors.UnavailableError("the answer was lost", True)
        if status == 409:
            raise compacted.FencedError("fenced")

    def do_late(self) -> None:
        """Executes the appends that were held back."""
        while self._late:
            self.core.append(*self._late.popleft())

    def _check_up(self) -> None:
        if self.down:
            raise errors.UnavailableError("down", False)


class FakeScheduler:
    """Holds items until a test says how they end."""

    def __init__(self) -> None:
        self.tasks: dict[running.ItemTask, schedulers.OnResult] = {}

    def add(
        self, task: running.ItemTask, on_result: schedulers.OnResult
    ) -> None:
        """Takes an item."""
        self.tasks[task] = on_result

    def remove(self, task: running.ItemTask) -> None:
        """Forgets an item."""
        self.tasks.pop(task, None)

    def complete(self, task: running.ItemTask, output: bytes) -> None:
        """Ends an item with a result."""
        on_result = self.tasks.pop(task)
        on_result(task, records.Result(task.index, True, output))


def make_job(
    job_id: str = "job", items: int = 3, submitted_ms: int = 0
) -> records.Submission:
    """Returns a submission with small bodies."""
    job = records.Job(
        customer="kaje",
        id=job_id,
        host="h.example",
        path="/p/",
        submitted_ms=submitted_ms,
        due_ms=submitted_ms + 18_000,
        expires_ms=submitted_ms + 60_000,
        items=[
            records.Item(f"{job_id}-{n}", f"/p/{n}", [], 100)
            for n in range(items)
        ],
    )
    return records.Submission(job, [b"body %d" % n for n in range(items)])


def submission_records(
    submission: records.Submission,
) -> list[compacted.Record]:
    """Returns the records of a submission."""
    key = records.job_key(submission.job.customer, submission.job.id)
    return records.submission(key, submission.job, submission.bodies)
