"""Membership of this process, and periodic snapshots of the shared state."""

import random
import uuid

import trio

from lacewingwood.state import errors
from lacewingwood.state import follower as follower_lib
from lacewingwood.state import lease_manager as lease_manager_lib
from lacewingwood.state import records
from lacewingwood.state import snapshot

_RETRY_MS = 1000.0

# A snapshot is due after a quarter of the retention time. Each worker adds a
# random time of up to a tenth of it, so that usually only one writes.
_DUE_FRACTION = 0.25
_JITTER_FRACTION = 0.1


class Presence:
    """Joins this process to the members and removes it when it leaves.

    Attributes:
        evicted: Set when other processes declared this one as left, or when a
            later process took its address or its role on its host. This
            process must then restart with another node id.
    """

    __slots__ = ("_follower", "_leases", "_leaving", "_member", "evicted")

    def __init__(
        self,
        follower: follower_lib.Follower,
        leases: lease_manager_lib.LeaseManager,
        member: records.Member,
    ) -> None:
        self.evicted = trio.Event()
        self._follower = follower
        self._leases = leases
        self._member = member
        self._leaving = False

    async def run(self) -> None:
        """Joins, with retries, then waits until this process is removed."""
        await self._join()
        await self._follower.wait_until(self._has_left)
        if not self._leaving:
            self._follower.metrics.add("member_evicted")
            self.evicted.set()

    async def leave(self) -> dict[str, int]:
        """Ends the use of all leases and publishes that this process leaves.

        Returns:
            Offsets at which leases were released, by name of the lease.

        Raises:
            errors.UnavailableError: A change was not seen on the log in time;
                other processes will detect that this one stopped.
        """
        self._leaving = True
        released = await self._leases.stop()
        held = self._leases.claimed_names()
        try:
            offset = await self._follower.publish(
                records.MemberLeft(self._member.node_id)
            )
        except errors.ConflictError:
            return released
        return {**dict.fromkeys(held, offset), **released}

    async def _join(self) -> None:
        record_id = uuid.uuid4().hex
        while not self._leaving:
            try:
                await self._follower.publish(
                    records.MemberJoined(self._member), record_id=record_id
                )
                return
            except errors.ConflictError:
                return
            except errors.StateError as exc:
                self._follower.metrics.add("member_errors", code=exc.code)
                await self._follower.clock.sleep_ms(_RETRY_MS)

    def _has_left(self) -> bool:
        return self._member.node_id not in self._follower.view.members


class SnapshotWriter:
    """Writes a snapshot when the last one on the log has become old."""

    __slots__ = ("_follower", "_jitter", "_last_snapshot", "_last_snapshot_ms")

    def __init__(self, follower: follower_lib.Follower) -> None:
        self._follower = follower
        self._last_snapshot = -1
        self._last_snapshot_ms = follower.clock.now_ms()
        self._jitter = random.random()

    async def run(self) -> None:
        """Writes snapshots until cancelled."""
        while True:
            await self._follower.clock.sleep_ms(_RETRY_MS)
            if not self._is_due():
                continue
            try:
                await self.write()
            except errors.StateError as exc:
                self._follower.metrics.add("snapshot_errors", code=exc.code)

    async def write(self) -> None:
        """Writes a snapshot of the current view.

        Raises:
            errors.StateError: A part couldn't be written. Readers ignore the
                parts of an incomplete snapshot.
        """
        for part in snapshot.split(self._follower.view, uuid.uuid4().hex):
            await self._follower.publish(part)
        self._follower.metrics.add("snapshots_written")

    def _is_due(self) -> bool:
        now_ms = self._follower.clock.now_ms()
        last = self._follower.view.last_snapshot
        if last != self._last_snapshot:
            self._last_snapshot = last
            self._last_snapshot_ms = now_ms
        if not self._follower.fresh() or not self._follower.retention_ms:
            return False
        fraction = _DUE_FRACTION + self._jitter * _JITTER_FRACTION
        if last < 0 or last < self._follower.first_log_offset:
            fraction = 0.0
        return now_ms - self._last_snapshot_ms >= (
            fraction * self._follower.retention_ms
        )
