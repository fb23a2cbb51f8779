"""Asks peers what they have applied and fetches what is missing here."""

import random
from collections.abc import Callable
from collections.abc import Iterable
from typing import TYPE_CHECKING

import trio

from lacewingwood import errors as errors_lib
from lacewingwood.peers import messages
from lacewingwood.state import errors
from lacewingwood.state import freshness
from lacewingwood.state import membership
from lacewingwood.state import records
from lacewingwood.state import view as view_lib

if TYPE_CHECKING:
    from lacewingwood.state import follower as follower_lib

_INTERVAL_MS = 500.0
_TIMEOUT_MS = 1000.0
_FETCH_TIMEOUT_MS = 5000.0

# Older evidence from the log means that it is down or slow: two empty polls
# make it one second old.
_LOG_AGE_MS = 1200.0

# Of a larger region only a majority and a quarter more are asked at a time.
_ASK_ALL = 16
_SPARE = 1.25


class Prober:
    """Exchanges offsets and records with peers.

    Attributes:
        seeds: Peer addresses to try while no member is known.
        listeners: Called after each attempt with the member's node id and its
            offset, None if it didn't answer.
        regions_to_ask: Regions whose majority is needed by others.
    """

    def __init__(self, follower: "follower_lib.Follower") -> None:
        self.seeds: list[str] = []
        self.listeners: list[Callable[[str, int | None], None]] = []
        self.regions_to_ask: set[str] = set()
        self._follower = follower
        self._asked: set[str] = set()
        self._fetching = False

    async def run(self) -> None:
        """Asks peers in rounds until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for member in self._targets():
                    if member.node_id not in self._asked:
                        nursery.start_soon(self._ask, member)
                if self._follower.loading and self._log_is_late():
                    nursery.start_soon(self._fetch_first_view)
                await self._follower.clock.sleep_ms(_INTERVAL_MS)

    async def ping(self, member: records.Member) -> bool:
        """Returns whether a member answers, and takes what it says."""
        sent_ms = self._follower.clock.now_ms()
        offset = await self._offset_of(member)
        if offset is not None:
            self._note(member.node_id, sent_ms, offset)
        for listener in self.listeners:
            listener(member.node_id, offset)
        if offset is not None and offset > self._follower.view.offset:
            await self._fetch(member, offset)
        return offset is not None

    def _note(self, node_id: str, sent_ms: float, offset: int) -> None:
        freshness_of = self._follower.freshness
        self._follower.note_evidence(
            lambda: freshness_of.answer(node_id, sent_ms, offset)
        )

    async def _ask(self, member: records.Member) -> None:
        self._asked.add(member.node_id)
        try:
            await self.ping(member)
        finally:
            self._asked.discard(member.node_id)

    async def _offset_of(self, member: records.Member) -> int | None:
        follower = self._follower
        ping = messages.Ping(follower.node_id, follower.view.offset)
        try:
            answer = await follower.network.call(
                member.address, ping, _TIMEOUT_MS
            )
        except errors_lib.Error:
            return None
        if not isinstance(answer, messages.Pong):
            return None
        return answer.offset if answer.node_id == member.node_id else None

    def _log_is_late(self) -> bool:
        return self._follower.log_age_ms() > _LOG_AGE_MS

    def _targets(self) -> list[records.Member]:
        """Returns the members to ask in this round."""
        follower = self._follower
        members = follower.view.members
        quorum_sets = follower.quorum_sets()
        own = [n for n, m in members.items() if m.region == follower.region]
        chosen = set(membership.successors(follower.node_id, own))
        regions = set(self.regions_to_ask)
        if self._log_is_late():
            regions.add(follower.region)
        for region in regions:
            chosen |= self._sample(quorum_sets.get(region, frozenset()))
        return [members[n] for n in chosen if n != follower.node_id]

    def _sample(self, quorum_set: frozenset[str]) -> set[str]:
        if len(quorum_set) <= _ASK_ALL:
            return set(quorum_set)
        count = int(freshness.majority(quorum_set) * _SPARE)
        return set(random.sample(sorted(quorum_set), count))

    async def _fetch(self, member: records.Member, wanted: int) -> None:
        """Gets missing records from a peer unless the log brings them."""
        if self._fetching or not self._log_is_late():
            return
        self._fetching = True
        try:
            while self._follower.view.offset < wanted:
                if not await self._fetch_once(member.address):
                    break
        finally:
            self._fetching = False

    async def _fetch_once(self, address: str) -> bool:
        """Returns whether the view has come further."""
        before = self._follower.view.offset
        request = messages.FetchRecords(before)
        answer = await self._call(address, request)
        if isinstance(answer, messages.Records) and answer.data:
            self._follower.apply(enumerate(answer.data, answer.start))
        elif answer is not None:
            await self._fetch_view(address)
        return self._follower.view.offset > before

    async def _fetch_view(self, address: str) -> None:
        answer = await self._call(address, messages.FetchView())
        if not isinstance(answer, messages.EncodedView):
            return
        try:
            view = view_lib.decode(answer.data)
        except errors.BadRecordError:
            self._follower.metrics.add("state_bad_views")
            return
        self._follower.install(view)

    async def _fetch_first_view(self) -> None:
        if self._fetching:
            return
        self._fetching = True
        try:
            for address in self._known_addresses():
                if self._follower.loading:
                    await self._fetch_view(address)
        finally:
            self._fetching = False

    def _known_addresses(self) -> Iterable[str]:
        members = self._follower.view.members
        itself = members.get(self._follower.node_id)
        addresses = {*self.seeds, *(m.address for m in members.values())}
        if itself is not None:
            addresses.discard(itself.address)
        return random.sample(sorted(addresses), len(addresses))

    async def _call(
        self, address: str, request: messages.Message
    ) -> messages.Message | None:
        try:
            return await self._follower.network.call(
                address, request, _FETCH_TIMEOUT_MS
            )
        except errors_lib.Error:
            return None
