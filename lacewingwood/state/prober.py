"""Pings peers for their offsets and fetches records that are missing here."""

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

_PING_INTERVAL_MS = 500.0
_PING_TIMEOUT_MS = 1000.0
_FETCH_TIMEOUT_MS = 5000.0

# If the log's evidence is older, the log is down or slow. Two empty polls make
# it one second old in normal operation.
_MAX_LOG_AGE_MS = 1200.0

# In a region with more members, each round pings only a random sample: a
# majority and a quarter more.
_MAX_UNSAMPLED = 16
_SAMPLE_FACTOR = 1.25


class Prober:
    """Exchanges offsets and records with peers.

    Attributes:
        seeds: Peer addresses to fetch the first view from, in addition to
            those of known members.
        listeners: Called after each ping with the member's node id and its
            offset, None if it didn't answer.
        regions_to_ask: Regions of which a majority has to acknowledge this
            process's claims.
    """

    def __init__(self, follower: "follower_lib.Follower") -> None:
        self.seeds: list[str] = []
        self.listeners: list[Callable[[str, int | None], None]] = []
        self.regions_to_ask: set[str] = set()
        self._follower = follower
        self._pending_pings: set[str] = set()
        self._is_fetching = False

    async def run(self) -> None:
        """Pings peers in rounds until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for member in self._members_to_ping():
                    if member.node_id not in self._pending_pings:
                        nursery.start_soon(self._ping_unless_pending, member)
                if self._follower.loading and self._is_log_late():
                    nursery.start_soon(self._fetch_first_view)
                await self._follower.clock.sleep_ms(_PING_INTERVAL_MS)

    async def ping(self, member: records.Member) -> bool:
        """Pings a member and fetches records if it has applied more.

        Returns:
            Whether the member answered.
        """
        sent_ms = self._follower.clock.now_ms()
        offset = await self._request_offset(member)
        if offset is not None:
            self._note_answer(member.node_id, sent_ms, offset)
        for listener in self.listeners:
            listener(member.node_id, offset)
        if offset is not None and offset > self._follower.view.offset:
            await self._fetch_missing(member, offset)
        return offset is not None

    def _note_answer(self, node_id: str, sent_ms: float, offset: int) -> None:
        evidence = self._follower.freshness
        self._follower.note_evidence(
            lambda: evidence.note_answer(node_id, sent_ms, offset)
        )

    async def _ping_unless_pending(self, member: records.Member) -> None:
        self._pending_pings.add(member.node_id)
        try:
            await self.ping(member)
        finally:
            self._pending_pings.discard(member.node_id)

    async def _request_offset(self, member: records.Member) -> int | None:
        follower = self._follower
        ping = messages.Ping(follower.node_id, follower.view.offset)
        try:
            answer = await follower.network.call(
                member.address, ping, _PING_TIMEOUT_MS
            )
        except errors_lib.Error:
            return None
        if not isinstance(answer, messages.Pong):
            return None
        return answer.offset if answer.node_id == member.node_id else None

    def _is_log_late(self) -> bool:
        return self._follower.log_age_ms() > _MAX_LOG_AGE_MS

    def _members_to_ping(self) -> list[records.Member]:
        """Returns the members to ping in this round."""
        follower = self._follower
        members = follower.view.members
        quorum_sets = follower.quorum_sets()
        own = [n for n, m in members.items() if m.region == follower.region]
        targets = set(membership.successors(follower.node_id, own))
        regions = set(self.regions_to_ask)
        if self._is_log_late():
            regions.add(follower.region)
        for region in regions:
            targets |= self._sample(quorum_sets.get(region, frozenset()))
        return [members[n] for n in targets if n != follower.node_id]

    def _sample(self, quorum_set: frozenset[str]) -> set[str]:
        if len(quorum_set) <= _MAX_UNSAMPLED:
            return set(quorum_set)
        count = int(freshness.majority(quorum_set) * _SAMPLE_FACTOR)
        return set(random.sample(sorted(quorum_set), count))

    async def _fetch_missing(
        self, member: records.Member, end_offset: int
    ) -> None:
        """Fetches missing records from a peer if the log is late.

        Args:
            member: The peer.
            end_offset: Offset up to which to fetch.
        """
        if self._is_fetching or not self._is_log_late():
            return
        self._is_fetching = True
        try:
            while self._follower.view.offset < end_offset:
                if not await self._fetch_records(member.address):
                    break
        finally:
            self._is_fetching = False

    async def _fetch_records(self, address: str) -> bool:
        """Fetches records once, or else the whole view.

        Returns:
            Whether the view has advanced.
        """
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
        if self._is_fetching:
            return
        self._is_fetching = True
        try:
            for address in self._known_addresses():
                if self._follower.loading:
                    await self._fetch_view(address)
        finally:
            self._is_fetching = False

    def _known_addresses(self) -> Iterable[str]:
        members = self._follower.view.members
        own_member = members.get(self._follower.node_id)
        addresses = {*self.seeds, *(m.address for m in members.values())}
        if own_member is not None:
            addresses.discard(own_member.address)
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
