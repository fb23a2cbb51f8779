"""Scheduling of the batch items of all jobs that one process owns.

Start-time fair queueing divides the capacity among customers by weight,
counted in tokens. Among the jobs of one customer, the earliest deadline comes
first. This module does no I/O.
"""

import dataclasses
import heapq
from collections.abc import Callable

# A job is reported as late only when its estimated end exceeds the deadline by
# this fraction of the time left, so that its status does not flap.
_LATE_MARGIN = 0.1
# An item fails permanently after this many runs that failed because of the item
# itself.
MAX_FAULTS = 3
# An item fails permanently after this many replicas died while they ran it.
MAX_CRASHES = 2


@dataclasses.dataclass(slots=True)
class Item:
    """A batch item that has no result yet.

    Attributes:
        job_id: Id of the item's job.
        index: Index of the item in its job.
        custom_id: The caller's id of the item.
        body: Request body, JSON.
        model: Model that the body names.
        cost_tokens: Expected number of tokens in the prompt and the answer.
        partial_text: Text that earlier runs produced, from which the next run
            resumes.
        faults: Number of runs that failed because of the item itself.
        crashed_on: Replicas that died while they ran the item.
    """

    job_id: str
    index: int
    custom_id: str
    body: bytes
    model: str
    cost_tokens: float = 1.0
    partial_text: str = ""
    faults: int = 0
    crashed_on: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True, frozen=True)
class ItemFault:
    """The engine rejected the item or gave an unusable answer to it."""

    code: str
    message: str


@dataclasses.dataclass(slots=True, frozen=True)
class ReplicaCrashed:
    """The replica died while it ran the item.

    Attributes:
        replica: Id of the replica.
        text: Text produced so far, or empty.
    """

    replica: str
    text: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Interrupted:
    """The run ended for a reason unrelated to the item.

    Attributes:
        text: Text produced so far, or empty.
    """

    text: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class PermanentFailure:
    """The item failed and must not be run again."""

    code: str
    message: str


def apply_outcome(
    item: Item, outcome: ItemFault | ReplicaCrashed | Interrupted
) -> PermanentFailure | None:
    """Updates an item after a run that gave no answer.

    Returns:
        The failure to record for the item, or None if the item is to be run
        again.
    """
    match outcome:
        case Interrupted(text=text):
            item.partial_text = text or item.partial_text
        case ReplicaCrashed(replica=replica, text=text):
            item.partial_text = text or item.partial_text
            item.crashed_on.add(replica)
            if len(item.crashed_on) >= MAX_CRASHES:
                return PermanentFailure(
                    "replica_crashed",
                    f"{MAX_CRASHES} replicas died while running the item",
                )
        case ItemFault(code=code, message=message):
            item.partial_text = ""
            item.faults += 1
            if item.faults >= MAX_FAULTS:
                return PermanentFailure(code, message)
    return None


class FairShares:
    """Virtual times of customers for start-time fair queueing, in tokens."""

    __slots__ = ("_finish_times", "_virtual_time")

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._finish_times: dict[str, float] = {}

    def virtual_start(self, customer: str) -> float:
        """Returns the virtual start time of the customer's next item."""
        return max(self._virtual_time, self._finish_times.get(customer, 0.0))

    def charge(self, customer: str, tokens: float, weight: float) -> None:
        """Charges a customer for an item of `tokens` that was started."""
        start = self.virtual_start(customer)
        self._virtual_time = start
        self._finish_times[customer] = start + tokens / weight

    def adjust(self, customer: str, tokens: float, weight: float) -> None:
        """Charges tokens that an item used beyond its estimated cost.

        A negative number is a refund.
        """
        finish = self._finish_times.get(customer)
        if finish is not None:
            self._finish_times[customer] = finish + tokens / weight

    def discard_idle(self, customer: str) -> None:
        """Drops a customer whose usage no longer affects its order.

        This bounds memory.
        """
        if self._finish_times.get(customer, 0.0) <= self._virtual_time:
            self._finish_times.pop(customer, None)


def allocate(
    total: int, demands: dict[str, int], weight: Callable[[str], float]
) -> dict[str, int]:
    """Divides `total` slots by weight; no share exceeds its demand.

    Slots that one name does not need go to the others. Slots left over by
    rounding go to the names that come first in `demands`.

    Args:
        total: Number of slots.
        demands: Number of slots wanted, by name of the customer or owner.
        weight: Returns the weight of a name.
    """
    shares = dict.fromkeys(demands, 0)
    unmet = [name for name, demand in demands.items() if demand > 0]
    while total > 0 and unmet:
        weights = sum(map(weight, unmet))
        available = total
        for name in unmet:
            fair = int(available * weight(name) / weights)
            share = min(fair, demands[name] - shares[name], total)
            shares[name] += share
            total -= share
        if total == available:
            for name in unmet[:total]:
                shares[name] += 1
                total -= 1
        unmet = [n for n in unmet if shares[n] < demands[n]]
    return shares


@dataclasses.dataclass(slots=True)
class _Job:
    """A job with its waiting items.

    Attributes:
        customer: Customer to whom the job belongs.
        due_ms: Deadline on the monotonic clock.
        waiting: Heap of (index, serial number, item); the serial numbers keep
            items from being compared.
    """

    customer: str
    due_ms: float
    waiting: list[tuple[int, int, Item]]


class Schedule:
    """Waiting items of the jobs that one process owns."""

    __slots__ = ("_jobs", "_serial", "_shares", "_weight")

    def __init__(self, weight: Callable[[str], float]) -> None:
        """Creates an empty schedule.

        Args:
            weight: Returns a customer's current weight.
        """
        self._weight = weight
        self._shares = FairShares()
        self._jobs: dict[str, _Job] = {}
        self._serial = 0

    def add_job(self, job_id: str, customer: str, due_ms: float) -> None:
        """Adds a job without items."""
        self._jobs[job_id] = _Job(customer, due_ms, [])

    def remove_job(self, job_id: str) -> None:
        """Removes a job and its waiting items."""
        job = self._jobs.pop(job_id, None)
        if job is not None:
            self._shares.discard_idle(job.customer)

    def add_item(self, item: Item) -> None:
        """Adds an item to its job; does nothing if the job was removed."""
        job = self._jobs.get(item.job_id)
        if job is not None:
            self._serial += 1
            heapq.heappush(job.waiting, (item.index, self._serial, item))

    def waiting_count(self, job_id: str) -> int:
        """Returns the number of a job's waiting items."""
        job = self._jobs.get(job_id)
        return len(job.waiting) if job is not None else 0

    def waiting_by_customer(
        self, can_run: Callable[[Item], bool]
    ) -> dict[str, int]:
        """Returns the number of waiting items by customer.

        Only jobs whose next item can run are counted.

        Args:
            can_run: Returns whether an item may run on a certain replica.
        """
        counts: dict[str, int] = {}
        for job in self._jobs.values():
            if job.waiting and can_run(job.waiting[0][2]):
                count = counts.get(job.customer, 0) + len(job.waiting)
                counts[job.customer] = count
        return counts

    def pop_next(self, can_run: Callable[[Item], bool]) -> Item | None:
        """Removes and returns the item to run next, or None if none can run.

        Args:
            can_run: Returns whether an item may run on a certain replica.
        """
        best: tuple[float, float, str] | None = None
        for job_id, job in self._jobs.items():
            if not job.waiting or not can_run(job.waiting[0][2]):
                continue
            start = self._shares.virtual_start(job.customer)
            key = (start, job.due_ms, job_id)
            best = key if best is None else min(best, key)
        return None if best is None else self._pop(self._jobs[best[2]])

    def adjust_cost(self, item: Item, used_tokens: float) -> None:
        """Charges the customer for tokens used beyond the estimated cost."""
        job = self._jobs.get(item.job_id)
        if job is not None:
            weight = self._weight(job.customer)
            extra = used_tokens - item.cost_tokens
            self._shares.adjust(job.customer, extra, weight)

    def _pop(self, job: _Job) -> Item:
        item = heapq.heappop(job.waiting)[2]
        weight = self._weight(job.customer)
        self._shares.charge(job.customer, item.cost_tokens, weight)
        return item


class DeadlineEstimate:
    """Estimates whether a job completes before its deadline."""

    __slots__ = ("_ended_items", "_started_ms")

    def __init__(self, now_ms: float) -> None:
        self._started_ms = now_ms
        self._ended_items = 0

    def item_ended(self) -> None:
        """Counts an item that has ended."""
        self._ended_items += 1

    def is_late(self, now_ms: float, due_ms: float, remaining: int) -> bool:
        """Returns whether `remaining` items are expected to miss `due_ms`."""
        if not remaining:
            return False
        left_ms = due_ms - now_ms
        if left_ms <= 0:
            return True
        spent_ms = now_ms - self._started_ms
        if not self._ended_items:
            return spent_ms > left_ms
        needed_ms = remaining * spent_ms / self._ended_items
        return needed_ms > left_ms * (1 + _LATE_MARGIN)
