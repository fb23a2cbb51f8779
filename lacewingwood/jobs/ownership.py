"""Which partitions this gateway owns, as the log's group decides."""

from collections.abc import Callable

import structlog
import trio

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.jobs import owner as owners
from lacewingwood.log import errors as log_errors
from lacewingwood.log import keyed

_GROUP = "job-owners"
# A member that is silent for this long loses its partitions: longer than a
# pause of the log that all members see, shorter than a job's slack.
_TTL_MS = 2_500
# Renewals within one time to live; two may be lost.
_RENEWALS = 3
_LEAVE_TIMEOUT_S = 1.0

MakeOwner = Callable[[int, keyed.Partition, int], owners.Owner]

_log = structlog.get_logger()


class Ownership:
    """Keeps this gateway's membership and starts and stops its owners."""

    __slots__ = (
        "_clock",
        "_generation",
        "_groups",
        "_make_owner",
        "_member",
        "_metrics",
        "_nursery",
        "_owners",
        "_partitions",
        "_renewed_ms",
        "_scopes",
        "_stopping",
        "_ttl_ms",
    )

    def __init__(
        self,
        groups: keyed.Groups,
        member: str,
        partitions: list[keyed.Partition],
        make_owner: MakeOwner,
        clock: clocks.Clock,
        metrics: metrics_lib.Registry,
        least_ttl_ms: int = 0,
    ) -> None:
        self._groups = groups
        self._member = member
        self._partitions = {p: n for n, p in enumerate(partitions)}
        self._make_owner = make_owner
        self._clock = clock
        self._metrics = metrics
        self._ttl_ms = max(_TTL_MS, least_ttl_ms)
        self._generation = 0
        self._renewed_ms = float("-inf")
        self._owners: dict[int, owners.Owner] = {}
        self._scopes: dict[int, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None
        self._stopping = False

    def owner(self, index: int) -> owners.Owner | None:
        """Returns the owner of a partition if it is here."""
        return self._owners.get(index)

    def epochs(self) -> dict[int, int]:
        """Returns the epochs of the partitions that are owned here."""
        return {
            index: owner.epoch
            for index, owner in self._owners.items()
            if owner.loaded.is_set() and not owner.lost.is_set()
        }

    def current(self) -> bool:
        """Returns whether the membership was renewed within its time."""
        return self._clock.now_ms() - self._renewed_ms < self._ttl_ms

    async def run(self) -> None:
        """Renews the membership until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while not self._stopping:
                await self._renew()
                await self._clock.sleep_ms(self._ttl_ms / _RENEWALS)

    async def stop(self) -> None:
        """Gives all partitions up, so that others take them over at once."""
        self._stopping = True
        for index in list(self._owners):
            self._stop_owner(index, "shutdown")
        with trio.move_on_after(_LEAVE_TIMEOUT_S):
            try:
                await self._groups.leave(_GROUP, self._member)
            except log_errors.LogError as exc:
                _log.warning("group not left", code=exc.code)

    async def _renew(self) -> None:
        sent_ms = self._clock.now_ms()
        topics = sorted({p.topic for p in self._partitions})
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
        held = {
            self._partitions[p]: p
            for p in assignment.partitions
            if p in self._partitions
        }
        self._update(held)

    def _update(self, held: dict[int, keyed.Partition]) -> None:
        for index in [i for i in self._owners if i not in held]:
            self._stop_owner(index, "reassigned")
        for index, partition in held.items():
            present = self._owners.get(index)
            if present is not None and present.lost.is_set():
                if present.epoch >= self._generation:
                    continue
                self._stop_owner(index, "fenced")
                present = None
            if present is None:
                self._start_owner(index, partition)

    def _start_owner(self, index: int, partition: keyed.Partition) -> None:
        owner = self._make_owner(index, partition, self._generation)
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
            except keyed.FencedError:
                self._metrics.add("owners_fenced")

    def _stop_owner(self, index: int, reason: str) -> None:
        owner = self._owners.pop(index)
        self._scopes.pop(index).cancel()
        _log.info(
            "owner stopped",
            partition=index,
            epoch=owner.epoch,
            reason=reason,
        )
