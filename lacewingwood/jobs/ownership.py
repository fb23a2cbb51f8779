"""This gateway's share of the partitions, as assigned by the log's group."""

from collections.abc import Awaitable
from collections.abc import Callable

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import errors
from lacewingwood.jobs import owner as owners
from lacewingwood.jobs import writer as writers
from lacewingwood.log import compacted
from lacewingwood.log import errors as log_errors
from lacewingwood.peers import gateway_messages

_GROUP = "job-owners"
# A member that does not renew for this long loses its partitions. The time is
# longer than pauses of the log that affect all members, and shorter than the
# slack before a job's deadline.
_TTL_MS = 2_500
# Renewals sent in each time to live; two of them may be lost.
_RENEWALS_PER_TTL = 3
_LEAVE_TIMEOUT_S = 1.0

# How often a retiring owner, which still runs its items, checks for the next
# owner, and for how long.
_RETIRE_POLL_MS = 50.0
_RETIRE_TIMEOUT_MS = 3_000.0

# Creates an owner from a partition's index, the partition and the lowest epoch.
MakeOwner = Callable[[int, compacted.Partition, int], owners.Owner]
# Returns the address and epoch of a partition's owner, as reported by peers.
FindOwner = Callable[[int], tuple[str, int] | None]
# Sends an item's progress to the owner at an address.
HandOver = Callable[[str, gateway_messages.JobProgress], Awaitable[None]]

_log = structlog.get_logger()


class Ownership:
    """Renews this gateway's membership; starts and stops partition owners."""

    __slots__ = (
        "_clock",
        "_find_owner",
        "_generation",
        "_groups",
        "_hand_over",
        "_indexes",
        "_is_candidate",
        "_make_owner",
        "_member",
        "_metrics",
        "_nursery",
        "_owners",
        "_renewed_ms",
        "_scopes",
        "_stopping",
        "_ttl_ms",
    )

    def __init__(
        self,
        groups: compacted.Groups,
        member: str,
        partitions: list[compacted.Partition],
        make_owner: MakeOwner,
        find_owner: FindOwner,
        hand_over: HandOver,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
        min_ttl_ms: int = 0,
        is_candidate: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates an ownership without partitions; `run` joins the group.

        Args:
            groups: The groups of the log.
            member: Name of this gateway in the group.
            partitions: All partitions of the job topics.
            make_owner: Makes the owner of a partition.
            find_owner: Returns the owner that peers report.
            hand_over: Sends an item's progress to another owner.
            clock: Source of monotonic time.
            metrics: Registry of counters.
            min_ttl_ms: Shortest time to live that the log accepts.
            is_candidate: Returns whether this gateway should take partitions.
                One that should not is a member only while it holds some.
        """
        self._groups = groups
        self._member = member
        self._indexes = {p: n for n, p in enumerate(partitions)}
        self._make_owner = make_owner
        self._find_owner = find_owner
        self._hand_over = hand_over
        self._clock = clock
        self._metrics = metrics
        self._ttl_ms = max(_TTL_MS, min_ttl_ms)
        self._is_candidate = is_candidate
        self._generation = 0
        self._renewed_ms = float("-inf")
        self._owners: dict[int, owners.Owner] = {}
        self._scopes: dict[int, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None
        self._stopping = False

    def owner(self, index: int) -> owners.Owner | None:
        """Returns the owner of a partition, None if it is not owned here."""
        return self._owners.get(index)

    def epochs(self) -> dict[int, int]:
        """Returns the epoch of each partition that is owned here."""
        return {
            index: owner.epoch
            for index, owner in self._owners.items()
            if owner.loaded.is_set() and not owner.lost.is_set()
        }

    def is_current(self) -> bool:
        """Returns whether the membership was renewed within the TTL."""
        return self._clock.now_ms() - self._renewed_ms < self._ttl_ms

    async def run(self) -> None:
        """Renews the membership until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while not self._stopping:
                if self._owners or self._is_candidate():
                    await self._renew()
                    self._retire_superseded()
                await self._clock.sleep_ms(self._ttl_ms / _RENEWALS_PER_TTL)

    async def stop(self) -> None:
        """Leaves the group, so that its other members take over at once."""
        self._stopping = True
        with trio.move_on_after(_LEAVE_TIMEOUT_S):
            try:
                await self._groups.leave(_GROUP, self._member)
            except log_errors.LogError as exc:
                _log.warning("leaving the group failed", code=exc.code)
        async with trio.open_nursery() as nursery:
            for index in list(self._owners):
                nursery.start_soon(self._retire, *self._pop_owner(index))

    def _retire_superseded(self) -> None:
        """Retires owners for which a peer reports a later owner.

        While the log can't be reached, peers' reports are the only way to
        learn of a later owner.
        """
        assert self._nursery is not None
        for index, owner in list(self._owners.items()):
            reported = self._find_owner(index)
            if reported is not None and reported[1] > owner.epoch:
                self._nursery.start_soon(self._retire, *self._pop_owner(index))

    async def _renew(self) -> None:
        sent_ms = self._clock.now_ms()
        topics = sorted({p.topic for p in self._indexes})
        try:
            assignment = await self._groups.join(
                _GROUP, self._member, topics, self._ttl_ms, self._generation
            )
        except log_errors.LogError as exc:
            self._metrics.add("group_joins_failed", code=exc.code)
            return
        if self._stopping:
            return
        self._renewed_ms = sent_ms
        if assignment.generation != self._generation:
            _log.info(
                "partitions assigned",
                generation=assignment.generation,
                before=self._generation,
                partitions=len(assignment.partitions),
            )
        self._generation = assignment.generation
        assigned = {
            self._indexes[p]: p
            for p in assignment.partitions
            if p in self._indexes
        }
        self._update_owners(assigned)

    def _update_owners(self, assigned: dict[int, compacted.Partition]) -> None:
        assert self._nursery is not None
        for index in [i for i in self._owners if i not in assigned]:
            self._nursery.start_soon(self._retire, *self._pop_owner(index))
        for index, partition in assigned.items():
            owner = self._owners.get(index)
            if owner is not None and owner.lost.is_set():
                self._nursery.start_soon(self._retire, *self._pop_owner(index))
                owner = None
            if owner is None:
                self._start_owner(index, partition)

    def _start_owner(self, index: int, partition: compacted.Partition) -> None:
        owner = self._make_owner(index, partition, self._min_epoch())
        self._owners[index] = owner
        scope = self._scopes[index] = trio.CancelScope()
        assert self._nursery is not None
        self._nursery.start_soon(self._run_owner, owner, scope)

    async def _run_owner(
        self, owner: owners.Owner, scope: trio.CancelScope
    ) -> None:
        _log.info("owner started", partition=owner.index, epoch=owner.epoch)
        with scope:
            try:
                await owner.run()
            except compacted.FencedError:
                self._metrics.add("owners_fenced")

    def _min_epoch(self) -> int:
        return self._generation * writers.EPOCHS_PER_GENERATION

    def _pop_owner(self, index: int) -> tuple[owners.Owner, trio.CancelScope]:
        return self._owners.pop(index), self._scopes.pop(index)

    async def _retire(
        self, owner: owners.Owner, scope: trio.CancelScope
    ) -> None:
        """Runs a partition's items until its next owner can continue them."""
        deadline_ms = self._clock.now_ms() + _RETIRE_TIMEOUT_MS
        successor = self._successor(owner)
        while successor is None and self._clock.now_ms() <= deadline_ms:
            await self._clock.sleep_ms(_RETIRE_POLL_MS)
            successor = self._successor(owner)
        progress = owner.stop_items()
        scope.cancel()
        _log.info(
            "owner retired",
            partition=owner.index,
            topic=owner.partition.topic,
            part=owner.partition.number,
            epoch=owner.epoch,
            items=len(progress),
            successor="here" if successor is self else successor,
        )
        if successor is None:
            return
        async with trio.open_nursery() as nursery:
            for item_progress in progress:
                nursery.start_soon(
                    self._pass_progress, successor, item_progress
                )

    def _successor(self, owner: owners.Owner) -> "str | Ownership | None":
        """Returns the address of a partition's later owner, or this object.

        Returns:
            This object if the later owner is in this process, None if no later
            owner is known.
        """
        local = self._owners.get(owner.index)
        if local is not None and local.loaded.is_set():
            return self
        reported = self._find_owner(owner.index)
        if reported is not None and reported[1] > owner.epoch:
            return reported[0]
        return None

    async def _pass_progress(
        self,
        successor: "str | Ownership",
        progress: gateway_messages.JobProgress,
    ) -> None:
        if isinstance(successor, str):
            await self._hand_over(successor, progress)
            return
        local = self._owners.get(progress.partition)
        if local is None:
            return
        try:
            await local.apply_progress(progress)
        except errors.UnavailableError as exc:
            # Without the progress, the new owner runs the item from the start.
            self._metrics.add("hand_overs_failed", code=exc.code)
