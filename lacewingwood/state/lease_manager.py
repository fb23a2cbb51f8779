"""Claims, uses and releases leases for this process."""

from collections.abc import Callable
from collections.abc import Iterable

import trio

from lacewingwood.state import entities
from lacewingwood.state import errors
from lacewingwood.state import follower as follower_lib
from lacewingwood.state import leases
from lacewingwood.state import placement
from lacewingwood.state import records

_RETRY_MS = 500.0

Choose = Callable[[str, Iterable[records.Member], str], records.Member | None]

# Names come and go with the host list, which changes without the view.
_CHECK_MS = 1000.0


class LeaseManager:
    """The leases of this process.

    `run` must be running for claims to take effect that have to wait.
    """

    __slots__ = ("_claims", "_follower", "_let_go", "_stopped")

    def __init__(self, follower: follower_lib.Follower) -> None:
        self._follower = follower
        self._claims = leases.Claims(follower.node_id)
        self._let_go: dict[str, int] = {}
        self._stopped = False
        follower.prober.listeners.append(self._on_answer)

    def held(self, name: str) -> int | None:
        """Returns the epoch of a lease that may be used now, None if not.

        The answer holds at this moment; ask again after each wait.
        """
        lease = self._mine(name)
        if lease is None or self._stopped:
            return None
        if self._let_go.get(name) == lease.epoch:
            return None
        usable = self._claims.usable(
            lease, self._follower.clock.now_ms(), self._follower.fresh()
        )
        return lease.epoch if usable else None

    def holder(self, name: str) -> records.Member | None:
        """Returns the member that last claimed a lease, None if it is gone."""
        view = self._follower.view
        lease = view.leases.get(name)
        return view.members.get(lease.holder) if lease is not None else None

    async def claim(self, name: str) -> int:
        """Claims a lease and returns its epoch; `held` tells when it is usable.

        Raises:
            errors.ConflictError: Another process claimed it first.
            errors.UnavailableError: The log is down; the claim may be on it.
            errors.StaleError: This process can't know who holds it.
        """
        if self._stopped:
            raise errors.ConflictError("this process is leaving")
        self._follower.require_fresh()
        lease = self._mine(name)
        if lease is not None and self._let_go.get(name) == lease.epoch:
            raise errors.ConflictError("the lease is being released")
        if lease is not None:
            return lease.epoch
        return await self._follower.publish(
            records.LeaseClaimed(name, self._follower.node_id),
            based_on=self._follower.view.version("lease", name),
        )

    async def release(self, name: str) -> None:
        """Releases a lease; it is unusable here from the start of the call.

        Raises:
            errors.UnavailableError: The log is down; `run` tries again.
        """
        lease = self._mine(name)
        if lease is not None:
            self._let_go[name] = lease.epoch
            await self._publish_release(lease)

    async def stop(self) -> dict[str, int]:
        """Ends the use of all leases before this process leaves.

        Leaving frees the leases whose claims were effective at once; the
        others are released here, as only this process knows that their wait
        is over.

        Returns:
            Offsets of the releases made here, by name of the lease.

        Raises:
            errors.UnavailableError: The log is down.
        """
        self._stopped = True
        released: dict[str, int] = {}
        for lease in self._all_mine():
            if lease.waits_on:
                offset = await self._publish_release(lease)
                if offset is not None:
                    released[lease.name] = offset
        return released

    def names(self) -> list[str]:
        """Returns the names of all leases that this process has claimed."""
        return [lease.name for lease in self._all_mine()]

    async def claim_assigned(
        self,
        names: Callable[[], Iterable[str]],
        role: str,
        choose: Choose = placement.preferred,
    ) -> None:
        """Claims free leases that placement gives to this process.

        Args:
            names: Returns the names of the leases that should be held.
            role: Role of the processes that share them.
            choose: Returns which of them should hold a lease.
        """
        while True:
            change = self._follower.change()
            try:
                for name in list(names()):
                    if self._should_claim(name, role, choose):
                        await self._claim_if_free(name)
                await self._follower.wait_for(change, _CHECK_MS)
            except errors.StateError as exc:
                self._follower.metrics.add("lease_errors", code=exc.code)
                await self._follower.clock.sleep_ms(_RETRY_MS)

    async def run(self) -> None:
        """Follows claims until they take effect; repeats failed releases."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._repeat_releases)
            while True:
                change = self._follower.change()
                self._update()
                await change.wait()

    def _update(self) -> None:
        follower = self._follower
        self._claims.update(
            follower.view.leases.values(),
            follower.quorum_sets(),
            follower.clock.now_ms(),
        )
        follower.prober.regions_to_ask = self._claims.waiting_regions()

    def _on_answer(self, node_id: str, offset: int | None) -> None:
        if offset is None:
            return
        self._claims.answer(node_id, offset)
        if self._claims.waiting_regions():
            self._update()

    def _mine(self, name: str) -> entities.Lease | None:
        lease = self._follower.view.leases.get(name)
        mine = lease is not None and lease.holder == self._follower.node_id
        return lease if mine else None

    def _all_mine(self) -> list[entities.Lease]:
        node_id = self._follower.node_id
        all_leases = self._follower.view.leases.values()
        return [lease for lease in all_leases if lease.holder == node_id]

    def _should_claim(self, name: str, role: str, choose: Choose) -> bool:
        """Returns whether a lease is free and this process's to claim."""
        if self._stopped or not self._follower.fresh():
            return False
        if self.holder(name) is not None:
            return False
        members = self._follower.view.members.values()
        chosen = choose(name, members, role)
        return chosen is not None and chosen.node_id == self._follower.node_id

    async def _claim_if_free(self, name: str) -> None:
        try:
            await self.claim(name)
        except errors.ConflictError:
            self._follower.metrics.add("lease_conflicts")

    async def _publish_release(self, lease: entities.Lease) -> int | None:
        """Returns the offset of the release, None if it has no effect."""
        now_ms = self._follower.clock.now_ms()
        effective = now_ms >= self._claims.effective_ms(lease)
        release = records.LeaseReleased(
            lease.name, self._follower.node_id, effective
        )
        try:
            return await self._follower.publish(release, based_on=lease.epoch)
        except errors.ConflictError:
            self._follower.metrics.add("lease_conflicts")
            return None

    async def _repeat_releases(self) -> None:
        while True:
            await self._follower.clock.sleep_ms(_RETRY_MS)
            for name, epoch in list(self._let_go.items()):
                lease = self._mine(name)
                if lease is None or lease.epoch != epoch:
                    self._let_go.pop(name, None)
                    continue
                try:
                    await self._publish_release(lease)
                except errors.StateError as exc:
                    self._follower.metrics.add("lease_errors", code=exc.code)
