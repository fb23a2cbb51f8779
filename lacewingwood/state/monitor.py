"""Detects members that have failed and declares them as left."""

import trio

from lacewingwood import errors as errors_lib
from lacewingwood.peers import messages
from lacewingwood.state import errors
from lacewingwood.state import follower as follower_lib
from lacewingwood.state import freshness
from lacewingwood.state import membership
from lacewingwood.state import records

_CHECK_INTERVAL_MS = 250.0
_MIN_SILENCE_MS = 1000.0
_MIN_FAILED_PINGS = 2

# A peer pings the member before it answers, which takes up to a second.
_VOTE_TIMEOUT_MS = 2000.0

# Pause after a vote before this process starts another one on the same member.
# The loss of a whole zone makes many members start votes at once.
_VOTE_INTERVAL_MS = 1000.0


class Monitor:
    """Monitors the successors of this process on the ring of its region.

    A silent member is declared as left only if more than half of the region's
    members, this process included, can't reach it.
    """

    __slots__ = ("_failures", "_follower", "_last_answer_ms", "_next_vote_ms")

    def __init__(self, follower: follower_lib.Follower) -> None:
        self._follower = follower
        self._failures: dict[str, int] = {}
        self._last_answer_ms: dict[str, float] = {}
        self._next_vote_ms: dict[str, float] = {}
        follower.prober.listeners.append(self._on_ping_result)

    async def run(self) -> None:
        """Monitors until cancelled."""
        self._follower.network.handle(messages.Reachable, self._on_reachable)
        async with trio.open_nursery() as nursery:
            while True:
                await self._follower.clock.sleep_ms(_CHECK_INTERVAL_MS)
                self._forget_departed()
                for member in self._silent_members():
                    self._next_vote_ms[member.node_id] = float("inf")
                    nursery.start_soon(self._declare_left, member)

    def _on_ping_result(self, node_id: str, offset: int | None) -> None:
        now_ms = self._follower.clock.now_ms()
        self._last_answer_ms.setdefault(node_id, now_ms)
        if offset is None:
            self._failures[node_id] = self._failures.get(node_id, 0) + 1
        else:
            self._failures[node_id] = 0
            self._last_answer_ms[node_id] = now_ms

    def _forget_departed(self) -> None:
        members = self._follower.view.members
        for table in (self._failures, self._last_answer_ms, self._next_vote_ms):
            for node_id in table.keys() - members.keys():
                del table[node_id]

    def _silent_members(self) -> list[records.Member]:
        """Returns the monitored members on which a vote is due."""
        follower = self._follower
        if follower.node_id not in follower.quorum_set():
            return []
        monitored = membership.successors(
            follower.node_id, follower.quorum_set()
        )
        members = follower.view.members
        return [members[n] for n in monitored if self._is_vote_due(n)]

    def _is_vote_due(self, node_id: str) -> bool:
        now_ms = self._follower.clock.now_ms()
        if now_ms < self._next_vote_ms.get(node_id, float("-inf")):
            return False
        if self._failures.get(node_id, 0) < _MIN_FAILED_PINGS:
            return False
        return now_ms - self._last_answer_ms[node_id] >= _MIN_SILENCE_MS

    async def _declare_left(self, member: records.Member) -> None:
        try:
            if await self._majority_agrees(member):
                await self._publish_left(member)
        finally:
            now_ms = self._follower.clock.now_ms()
            self._next_vote_ms[member.node_id] = now_ms + _VOTE_INTERVAL_MS

    async def _publish_left(self, member: records.Member) -> None:
        version = self._follower.view.version("member", member.node_id)
        if version < 0 or not self._follower.fresh():
            return
        try:
            await self._follower.publish(
                records.MemberLeft(member.node_id), based_on=version
            )
            self._follower.metrics.add("members_declared_left")
        except errors.StateError as exc:
            self._follower.metrics.add("member_errors", code=exc.code)

    async def _majority_agrees(self, member: records.Member) -> bool:
        """Returns whether a majority of the quorum set can't reach a member.

        The vote fails if this process has reached the member meanwhile.
        """
        quorum_set = self._follower.quorum_set()
        votes = {self._follower.node_id}
        async with trio.open_nursery() as nursery:
            for node_id in quorum_set - {member.node_id, *votes}:
                peer = self._follower.view.members[node_id]
                nursery.start_soon(
                    self._request_vote, peer, member.node_id, votes
                )
        recovered = self._failures.get(member.node_id, 0) == 0
        is_majority = len(votes) >= freshness.majority(quorum_set)
        return is_majority and not recovered

    async def _request_vote(
        self, peer: records.Member, node_id: str, votes: set[str]
    ) -> None:
        try:
            answer = await self._follower.network.call(
                peer.address, messages.Reachable(node_id), _VOTE_TIMEOUT_MS
            )
        except errors_lib.Error:
            return
        match answer:
            case messages.Reached(about, reached) if about == node_id:
                if not reached:
                    votes.add(peer.node_id)

    async def _on_reachable(
        self, request: messages.Reachable
    ) -> messages.Message:
        """Pings a member and answers whether it was reached."""
        member = self._follower.view.members.get(request.node_id)
        if member is None:
            return messages.Refused("unknown_member", "no such member")
        if request.node_id == self._follower.node_id:
            return messages.Reached(request.node_id, True)
        reached = await self._follower.prober.ping(member)
        return messages.Reached(request.node_id, reached)
