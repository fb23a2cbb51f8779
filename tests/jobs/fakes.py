"""Fakes for tests of jobs: a compacted log in memory, and a scheduler."""

import collections

import trio

from lacewingwood.jobs import item_tasks
from lacewingwood.jobs import records
from lacewingwood.jobs import scheduler as schedulers
from lacewingwood.log import compacted
from lacewingwood.log import errors
from lacewingwood.platform import store as wire
from standins import keyed_store

PARTITION = compacted.Partition("jobs-0", 0)


class MemoryLog:
    """`compacted.CompactedLog` over the state of the stand-in server.

    Attributes:
        core: The state.
        down: If true, all calls fail without an effect.
        lost_answers: Number of the next appends that are executed, but
            reported as having an unknown outcome.
        delayed_appends: Number of the next appends that are reported as
            having an unknown outcome and executed by `execute_delayed`.
        silent_appends: Number of the next appends that are executed, but
            never answered.
        max_read_kb: Most that one read returns, if it is several records.
    """

    def __init__(self) -> None:
        self.core = keyed_store.Core()
        self.down = False
        self.lost_answers = 0
        self.delayed_appends = 0
        self.silent_appends = 0
        self.max_read_kb = 1_024
        self._delayed: collections.deque[tuple[dict[str, str], bytes]]
        self._delayed = collections.deque()

    async def snapshot(
        self, partition: compacted.Partition
    ) -> compacted.Snapshot:
        """Returns the newest record of each key."""
        found: list[compacted.Record] = []
        end = await self.scan(partition, found.extend)
        return compacted.Snapshot(found, end)

    async def scan(
        self, partition: compacted.Partition, on_records: compacted.OnRecords
    ) -> int:
        """Passes on the newest record of each key, in pages of two records."""
        await trio.lowlevel.checkpoint()
        self._check_up()
        part = self.core.partition(partition.topic, partition.number)
        end = part.end
        found = [
            compacted.Record(key, value, offset)
            for key, (offset, value) in sorted(part.newest.items())
        ]
        for start in range(0, len(found), 2):
            on_records(found[start : start + 2])
        return end

    async def find(
        self, partition: compacted.Partition, key: str
    ) -> compacted.Record | None:
        """Returns the newest record of a key."""
        await trio.lowlevel.checkpoint()
        self._check_up()
        part = self.core.partition(partition.topic, partition.number)
        if key not in part.newest:
            return None
        offset, value = part.newest[key]
        return compacted.Record(key, value, offset)

    async def read(
        self,
        partition: compacted.Partition,
        start: int,
        wait_ms: float,
        max_bytes: int | None = None,
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
            "max_kb": str(
                self.max_read_kb if max_bytes is None else -(-max_bytes // 1024)
            ),
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
        expected_end: int | None = None,
    ) -> None:
        """Appends records, all or none."""
        await trio.lowlevel.checkpoint()
        self._check_up()
        query = {"topic": partition.topic, "part": str(partition.number)}
        if fence is not None:
            query["producer"] = fence.producer
            query["epoch"] = str(fence.epoch)
            query["seq"] = str(fence.sequence)
        if expected_end is not None:
            query["at"] = str(expected_end)
        body = b"".join([wire._encode_record(record) for record in batch])
        if self.delayed_appends:
            self.delayed_appends -= 1
            self._delayed.append((query, body))
            raise errors.UnavailableError("no answer", True)
        status, _ = self.core.append(query, body)
        if self.silent_appends:
            self.silent_appends -= 1
            await trio.sleep_forever()
        if self.lost_answers:
            self.lost_answers -= 1
            raise errors.UnavailableError("the answer was lost", True)
        if status == 409:
            raise compacted.FencedError("fenced")
        if status == 412:
            raise compacted.ConflictError("the partition has grown")

    def execute_delayed(self) -> None:
        """Executes the delayed appends."""
        while self._delayed:
            self.core.append(*self._delayed.popleft())

    def _check_up(self) -> None:
        if self.down:
            raise errors.UnavailableError("down", False)


class FakeScheduler:
    """Holds items until the test completes them."""

    def __init__(self) -> None:
        self.tasks: dict[item_tasks.ItemTask, schedulers.OnResult] = {}

    def add(
        self, task: item_tasks.ItemTask, on_result: schedulers.OnResult
    ) -> None:
        """Adds an item."""
        self.tasks[task] = on_result

    def remove(self, task: item_tasks.ItemTask) -> None:
        """Removes an item."""
        self.tasks.pop(task, None)

    def complete(self, task: item_tasks.ItemTask, output: bytes) -> None:
        """Completes an item with an output."""
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
    """Returns the log records of a submission."""
    key = records.job_key(submission.job.customer, submission.job.id)
    return records.submission_records(key, submission.job, submission.bodies)
