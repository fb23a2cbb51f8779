"""Order of batch items over all jobs of one process.

Customers share capacity by weight, counted in tokens, by start-time fair
queueing; among one customer's jobs the earliest deadline comes first. No I/O.
"""

import dataclasses
import heapq
from collections.abc import Callable

# A job is announced as late only when the estimate passes its deadline by this
# share of the time left, so that the status does not flicker.
_LATE_MARGIN = 0.1
MAX_FAULTS = 3
MAX_CRASHES = 2


@dataclasses.dataclass(slots=True)
class Item:
    """One item that has no result yet.

    Attributes:
        job_id: The job.
        index: Index of the item in its job.
        custom_id: The caller's name of the item.
        body: Request body, JSON.
        model: Model that the body names.
        cost: Expected tokens, prompt and answer.
        text: Text that earlier runs produced.
        tries: Failed runs that were the item's own fault.
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
    """The item was refused or answered wrongly through its own fault."""

    code: str
    message: str


@dataclasses.dataclass(slots=True, frozen=True)
class ReplicaCrashed:
    """The replica died while it ran the item."""

    replica: str
    text: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Interrupted:
    """The run ended for a reason that has nothing to do with the item."""

    text: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class PermanentFailure:
    """The item is not to be run again."""

    code: str
    message: str


def apply_outcome(
    item: Item, outcome: ItemFault | ReplicaCrashed | Interrupted
) -> PermanentFailure | None:
    """Notes how a run without an answer ended.

    Returns:
        The failure that ends the item, or None if it is to be run again.
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
    """Weighted shares of customers in tokens, by start-time fair queueing."""

    __slots__ = ("_finish", "_virtual")

    def __init__(self) -> None:
        self._virtual = 0.0
        self._finish: dict[str, float] = {}

    def virtual_start(self, customer: str) -> float:
        """Returns the virtual start time of the customer's next item."""
        return max(self._virtual, self._finish.get(customer, 0.0))

    def charge(self, customer: str, tokens: float, weight: float) -> None:
        """Notes that an item of `tokens` was started."""
        start = self.virtual_start(customer)
        self._virtual = start
        self._finish[customer] = start + tokens / weight

    def adjust(self, customer: str, tokens: float, weight: float) -> None:
        """Adds tokens that an item used beyond what was charged."""
        finish = self._finish.get(customer)
        if finish is not None:
            self._finish[customer] = finish + tokens / weight

    def discard_idle(self, customer: str) -> None:
        """Drops a customer without debts, to bound memory."""
        if self._finish.get(customer, 0.0) <= self._virtual:
            self._finish.pop(customer, None)


def allocate(
    total: int, wants: dict[str, int], weight: Callable[[str], float]
) -> dict[str, int]:
    """Divides `total` places over customers by weight, none above its want.

    Places that one customer does not want go to the others; the remainder
    goes to those named first.
    """
    parts = dict.fromkeys(wants, 0)
    open_names = [name for name, want in wants.items() if want > 0]
    while total > 0 and open_names:
        weights = sum(map(weight, open_names))
        left = total
        for name in open_names:
            fair = int(left * weight(name) / weights)
            part = min(fair, wants[name] - parts[name], total)
            parts[name] += part
            total -= part
        if total == left:
            for name in open_names[:total]:
                parts[name] += 1
                total -= 1
        open_names = [n for n in open_names if parts[n] < wants[n]]
    return parts


@dataclasses.dataclass(slots=True)
class _Job:
    customer: str
    due_ms: float
    waiting: list[tuple[int, int, Item]]


class Schedule:
    """Waiting items of several jobs."""

    __slots__ = ("_jobs", "_serial", "_shares", "_weight")

    def __init__(self, weight: Callable[[str], float]) -> None:
        """Makes an empty schedule.

        Args:
            weight: Gives a customer's current weight.
        """
        self._weight = weight
        self._shares = FairShares()
        self._jobs: dict[str, _Job] = {}
        self._serial = 0

    def add_job(self, job_id: str, customer: str, due_ms: float) -> None:
        """Adds a job without items."""
        self._jobs[job_id] = _Job(customer, due_ms, [])

    def remove_job(self, job_id: str) -> None:
        """Drops a job and its waiting items."""
        job = self._jobs.pop(job_id, None)
        if job is not None:
            self._shares.discard_idle(job.customer)

    def add_item(self, item: Item) -> None:
        """Adds an item to its job; dropped if the job is gone."""
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
        """Returns waiting items by customer, of jobs whose next item can run.

        Args:
            can_run: Whether an item may run at the place in question.
        """
        wants: dict[str, int] = {}
        for job in self._jobs.values():
            if job.waiting and can_run(job.waiting[0][2]):
                count = wants.get(job.customer, 0) + len(job.waiting)
                wants[job.customer] = count
        return wants

    def pop_next(self, can_run: Callable[[Item], bool]) -> Item | None:
        """Removes and returns the item that comes next, None if none can run.

        Args:
            can_run: Whether an item may run at the place in question.
        """
        best: tuple[float, float, str] | None = None
        for job_id, job in self._jobs.items():
            if not job.waiting or not can_run(job.waiting[0][2]):
                continue
            start = self._shares.virtual_start(job.customer)
            key = (start, job.due_ms, job_id)
            best = key if best is None else min(best, key)
        return None if best is None else self._take(self._jobs[best[2]])

    def adjust_cost(self, item: Item, used_tokens: float) -> None:
        """Charges the customer what the item used beyond its cost."""
        job = self._jobs.get(item.job_id)
        if job is not None:
            weight = self._weight(job.customer)
            extra = used_tokens - item.cost_tokens
            self._shares.adjust(job.customer, extra, weight)

    def _take(self, job: _Job) -> Item:
        item = heapq.heappop(job.waiting)[2]
        weight = self._weight(job.customer)
        self._shares.charge(job.customer, item.cost_tokens, weight)
        return item


class DeadlineEstimate:
    """Estimates whether a job ends in time."""

    __slots__ = ("_done", "_since_ms")

    def __init__(self, now_ms: float) -> None:
        self._since_ms = now_ms
        self._done = 0

    def item_ended(self) -> None:
        """Notes that an item has ended."""
        self._done += 1

    def is_late(self, now_ms: float, due_ms: float, remaining: int) -> bool:
        """Returns whether `remaining` items will end after `due_ms`."""
        if not remaining:
            return False
        left_ms = due_ms - now_ms
        if left_ms <= 0:
            return True
        spent_ms = now_ms - self._since_ms
        if not self._done:
            return spent_ms > left_ms
        needed_ms = remaining * spent_ms / self._done
        return needed_ms > left_ms * (1 + _LATE_MARGIN)
