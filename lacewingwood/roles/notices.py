"""Messages between an entry and other processes about replicas.

An entry sends its counts of online requests to workers and its crash suspects
to other entries; it receives replicas' state and other entries' suspects.
"""

from lacewingwood import clock as clock_lib
from lacewingwood.peers import messages
from lacewingwood.peers import network as network_lib
from lacewingwood.routing import router as router_lib
from lacewingwood.routing import suspects as suspects_lib
from lacewingwood.state import follower as follower_lib
from lacewingwood.state import lease_manager

# A replica's worker considers an entry silent after a second without a message.
_REPEAT_INTERVAL_MS = 400.0


class Notices:
    """Sends and receives an entry's messages about replicas.

    The count of online requests at a replica goes to the worker that holds
    the replica's lease. A count above zero is repeated, so that the worker
    knows that the entry is alive; a count of zero is sent once.
    """

    __slots__ = (
        "_clock",
        "_counts",
        "_follower",
        "_leases",
        "_network",
        "_router",
        "_serial",
        "_suspects",
    )

    def __init__(
        self,
        follower: follower_lib.Follower,
        leases: lease_manager.LeaseManager,
        network: network_lib.Network,
        router: router_lib.Router,
        suspects: suspects_lib.Suspects,
        clock: clock_lib.Clock,
    ) -> None:
        self._follower = follower
        self._leases = leases
        self._network = network
        self._router = router
        self._suspects = suspects
        self._clock = clock
        self._counts: dict[str, int] = {}
        self._serial = 0
        network.handle(messages.ReplicaWord, self._on_word)
        network.handle(messages.CrashSuspect, self._on_suspect)
        network.handle(messages.CrashCleared, self._on_cleared)

    async def run(self) -> None:
        """Repeats counts above zero periodically until cancelled."""
        while True:
            await self._clock.sleep_ms(_REPEAT_INTERVAL_MS)
            for replica_id, running in self._counts.items():
                self._send_count(replica_id, running)

    def online_count(self, replica_id: str, running: int) -> None:
        """Tells a replica's worker how many requests of this entry run there.

        Args:
            replica_id: The replica.
            running: Number of running online requests.
        """
        if running:
            self._counts[replica_id] = running
        else:
            self._counts.pop(replica_id, None)
        self._send_count(replica_id, running)

    def crash_suspect(self, message: messages.CrashSuspect) -> None:
        """Tells the other entries of a crash."""
        self._broadcast_to_entries(message)

    def crash_cleared(self, message: messages.CrashCleared) -> None:
        """Tells the other entries that a suspect has completed."""
        self._broadcast_to_entries(message)

    def _send_count(self, replica_id: str, running: int) -> None:
        holder = self._leases.holder(f"replica/{replica_id}")
        if holder is None:
            return
        self._serial += 1
        self._network.send(
            holder.address,
            messages.OnlineCount(
                self._follower.node_id, replica_id, running, self._serial
            ),
        )

    def _broadcast_to_entries(self, message: messages.Message) -> None:
        for member in self._follower.view.members.values():
            is_self = member.node_id == self._follower.node_id
            if member.role == "entry" and not is_self:
                self._network.send(member.address, message)

    async def _on_word(self, word: messages.ReplicaWord) -> messages.Message:
        self._router.fleet.apply_holder_report(word, self._clock.now_ms())
        return messages.Ack()

    async def _on_suspect(
        self, message: messages.CrashSuspect
    ) -> messages.Message:
        now_ms = self._clock.now_ms()
        self._suspects.crashed(message.replica, message.fingerprints, now_ms)
        return messages.Ack()

    async def _on_cleared(
        self, message: messages.CrashCleared
    ) -> messages.Message:
        self._suspects.completed(message.fingerprint)
        return messages.Ack()
