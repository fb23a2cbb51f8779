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

ChooseHolder = Callable[
    [str, Iterable[records.Member], str], records.Member | None
]

# The names of leases also depend on the host list, which can change when the
# view does not, so they are checked again at this interval.
_CHECK_INTERVAL_MS = 1000.0


class LeaseManager:
    """Manages the leases that this process claims.

    Claims that have to wait take effect only while `run` runs.
    """

    __slots__ = ("_claims", "_follower", "_releasing", "_stopped")

    def __init__(self, follower: follower_lib.Follower) -> None:
        self._follower = follower
        self._claims = leases.Claims(follower.node_id)
        self._releasing: dict[str, int] = {}
        self._stopped = False
        follower.prober.listeners.append(self._on_ping_result)

    def held(self, name: str) -> int | None:
        """Returns the epoch of a lease, None if it may not be used here now.

        The result is valid only until the caller awaits.
        """
        lease = self._own_lease(name)
        if lease is None or self._stopped:
            return None
        if self._releasing.get(name) == lease.epoch:
            return None
        usable = self._claims.is_usable(
            lease, self._follower.clock.now_ms(), self._follower.fresh()
        )
        return lease.epoch if usable else None

    def holder(self, name: str) -> records.Member | None:
        """Returns the member that last claimed a lease, None if it left."""
        view = self._follower.view
        lease = view.leases.get(name)
        return view.members.get(lease.holder) if lease is not None else None

    async def claim(self, name: str) -> int:
        """Claims a lease and returns its epoch.

        The lease may be used once `held` returns its epoch.

        Raises:
            errors.ConflictError: Another process claimed it first, or this
                process is releasing it or stopping.
            errors.UnavailableError: The claim was not seen on the log in time;
                the log may still have stored it.
            errors.StaleError: This process's view may be out of date.
        """
        if self._stopped:
            raise errors.ConflictError("this process is stopping")
        self._follower.require_fresh()
        lease = self._own_lease(name)
        if lease is not None and self._releasing.get(name) == lease.epoch:
            raise errors.ConflictError("the lease is being released")
        if lease is not None:
            return lease.epoch
        return await self._follower.publish(
            records.LeaseClaimed(name, self._follower.node_id),
            based_on=self._follower.view.version("lease", name),
        )

    async def release(self, name: str) -> None:
        """Releases a lease, which this process may no longer use.

        Its use ends at the start of the call, even if the call fails.

        Raises:
            errors.UnavailableError: The release was not seen on the log in
                time; `run` retries it.
        """
        lease = self._own_lease(name)
        if lease is not None:
            self._releasing[name] = lease.epoch
            await self._publish_release(lease)

    async def stop(self) -> dict[str, int]:
        """Ends the use of all leases before this process leaves.

        The record of the process's leaving also frees leases whose claims took
        effect at once. The others are released here, as only this process
        knows whether their wait is over.

        Returns:
            Offsets of the releases made here, by name of the lease.

        Raises:
            errors.UnavailableError: A release was not seen on the log in time.
        """
        self._stopped = True
        released: dict[str, int] = {}
        for lease in self._own_leases():
            if lease.waits_on:
                offset = await self._publish_release(lease)
                if offset is not None:
                    released[lease.name] = offset
        return released

    def claimed_names(self) -> list[str]:
        """Returns the names of all leases that this process has claimed."""
        return [lease.name for lease in self._own_leases()]

    async def claim_assigned(
        self,
        names: Callable[[], Iterable[str]],
        role: str,
        choose: ChooseHolder = placement.preferred,
    ) -> None:
        """Claims free leases that are assigned to this process.

        Runs until cancelled.

        Args:
            names: Returns the names of the leases that should have holders.
            role: Role of the members that share the leases.
            choose: Returns the member that should hold a lease, given its
                name, all members and `role`.
        """
        while True:
            change = self._follower.next_change()
            try:
                for name in list(names()):
                    if self._should_claim(name, role, choose):
                        await self._claim_if_free(name)
                await self._follower.wait_for(change, _CHECK_INTERVAL_MS)
            except errors.StateError as exc:
                self._follower.metrics.add("lease_errors", code=exc.code)
                await self._follower.clock.sleep_ms(_RETRY_MS)

    async def run(self) -> None:
        """Tracks claims until they take effect and retries failed releases."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._repeat_releases)
            while True:
                change = self._follower.next_change()
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

    def _on_ping_result(self, node_id: str, offset: int | None) -> None:
        if offset is None:
            return
        self._claims.note_answer(node_id, offset)
        if self._claims.waiting_regions():
            self._update()

    def _own_lease(self, name: str) -> entities.Lease | None:
        lease = self._follower.view.leases.get(name)
        mine = lease is not None and lease.holder == self._follower.node_id
        return lease if mine else None

    def _own_leases(self) -> list[entities.Lease]:
        node_id = self._follower.node_id
        all_leases = self._follower.view.leases.values()
        return [lease for lease in all_leases if lease.holder == node_id]

    def _should_claim(self, name: str, role: str, choose: ChooseHolder) -> bool:
        """Returns whether a lease is free and assigned to this process."""
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
        """Publishes a release.

        Returns:
            The offset of the release, None if it had no effect.
        """
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
            for name, epoch in list(self._releasing.items()):
                lease = self._own_lease(name)
                if lease is None or lease.epoch != epoch:
                    self._releasing.pop(name, None)
                    continue
                try:
                    await self._publish_release(lease)
                except errors.StateError as exc:
                    self._follower.metrics.add("lease_errors", code=exc.code)
