"""Notices members that have died and has them declared as left."""

import trio

from lacewingwood import errors as errors_lib
from lacewingwood.peers import messages
from lacewingwood.state import errors
from lacewingwood.state import follower as follower_lib
from lacewingwood.state import freshness
from lacewingwood.state import membership
from lacewingwood.state import records

_ROUND_MS = 250.0
_SILENT_MS = 1000.0
_SILENT_ATTEMPTS = 2

# A peer that is asked tries the member itself, which takes up to a second.
_QUESTION_TIMEOUT_MS = 2000.0

# A whole zone's loss makes many ask at once; answers are shared for this long.
_REUSE_MS = 1000.0


class Monitor:
    """Watches this member's successors on the ring of its region.

    A silent one is declared as left only if more than half of the region's
    members say that they don't reach it either.
    """

    __slots__ = ("_asking", "_failures", "_follower", "_last_answer_ms")

    def __init__(self, follower: follower_lib.Follower) -> None:
        self._follower = follower
        self._failures: dict[str, int] = {}
        self._last_answer_ms: dict[str, float] = {}
        self._asking: dict[str, float] = {}
        follower.prober.listeners.append(self._on_attempt)

    async def run(self) -> None:
        """Watches until cancelled."""
        self._follower.network.handle(messages.Reachable, self._on_question)
        async with trio.open_nursery() as nursery:
            while True:
                await self._follower.clock.sleep_ms(_ROUND_MS)
                self._forget_gone()
                for member in self._silent():
                    self._asking[member.node_id] = float("inf")
                    nursery.start_soon(self._declare, member)

    def _on_attempt(self, node_id: str, offset: int | None) -> None:
        now_ms = self._follower.clock.now_ms()
        self._last_answer_ms.setdefault(node_id, now_ms)
        if offset is None:
            self._failures[node_id] = self._failures.get(node_id, 0) + 1
        else:
            self._failures[node_id] = 0
            self._last_answer_ms[node_id] = now_ms

    def _forget_gone(self) -> None:
        members = self._follower.view.members
        for table in (self._failures, self._last_answer_ms, self._asking):
            for node_id in table.keys() - members.keys():
                del table[node_id]

    def _silent(self) -> list[records.Member]:
        """Returns the watched members that should be asked about now."""
        follower = self._follower
        if follower.node_id not in follower.quorum_set():
            return []
        watched = membership.successors(follower.node_id, follower.quorum_set())
        members = follower.view.members
        return [members[n] for n in watched if self._is_silent(n)]

    def _is_silent(self, node_id: str) -> bool:
        now_ms = self._follower.clock.now_ms()
        if now_ms < self._asking.get(node_id, float("-inf")):
            return False
        if self._failures.get(node_id, 0) < _SILENT_ATTEMPTS:
            return False
        return now_ms - self._last_answer_ms[node_id] >= _SILENT_MS

    async def _declare(self, member: records.Member) -> None:
        try:
            if await self._majority_agrees(member):
                await self._publish(member)
        finally:
            now_ms = self._follower.clock.now_ms()
            self._asking[member.node_id] = now_ms + _REUSE_MS

    async def _publish(self, member: records.Member) -> None:
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
        """Returns whether more than half don't reach `member`."""
        quorum_set = self._follower.quorum_set()
        votes = {self._follower.node_id}
        async with trio.open_nursery() as nursery:
            for node_id in quorum_set - {member.node_id, *votes}:
                peer = self._follower.view.members[node_id]
                nursery.start_soon(self._ask, peer, member.node_id, votes)
        recovered = self._failures.get(member.node_id, 0) == 0
        enough = len(votes) >= freshness.majority(quorum_set)
        return enough and not recovered

    async def _ask(
        self, peer: records.Member, node_id: str, votes: set[str]
    ) -> None:
        try:
            answer = await self._follower.network.call(
                peer.address, messages.Reachable(node_id), _QUESTION_TIMEOUT_MS
            )
        except errors_lib.Error:
            return
        match answer:
            case messages.Reached(about, reached) if about == node_id:
                if not reached:
                    votes.add(peer.node_id)

    async def _on_question(
        self, question: messages.Reachable
    ) -> messages.Message:
        """Tries the member, unless an attempt was made a moment ago."""
        member = self._follower.view.members.get(question.node_id)
        if member is None:
            return messages.Refused("unknown_member", "no such member")
        if question.node_id == self._follower.node_id:
            return messages.Reached(question.node_id, True)
        reached = await self._follower.prober.ping(member)
        return messages.Reached(question.node_id, reached)
