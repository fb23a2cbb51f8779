"""Follows the stream `control` and keeps the view up to date."""

import uuid
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import trio

from lacewingwood import clock as clock_lib
from lacewingwood import metrics as metrics_lib
from lacewingwood.log import errors as log_errors
from lacewingwood.log import types as log_types
from lacewingwood.peers import messages
from lacewingwood.state import catchup
from lacewingwood.state import errors
from lacewingwood.state import freshness as freshness_lib
from lacewingwood.state import membership
from lacewingwood.state import ports
from lacewingwood.state import prober as prober_lib
from lacewingwood.state import publisher
from lacewingwood.state import records
from lacewingwood.state import view as view_lib

_READ_LIMIT = 1000

# An empty poll proves freshness only from before it was sent, so that evidence
# is up to two polls old; this leaves most of the window for a slow answer.
_POLL_MS = 500

_RETRY_MS = 200.0


class Follower:
    """This process's copy of the shared state.

    Attributes:
        node_id: Node id of this process.
        region: Region of this process.
        clock: Monotonic time.
        metrics: Counters of this process.
        network: Transport to the peers.
        freshness: Evidence that the view is current.
        prober: The exchange with the peers.
        retention_ms: How long the log keeps records, 0 while unknown.
        log_first: Earliest offset that the log still keeps, by the last read.
    """

    def __init__(
        self,
        log_client: ports.Log,
        network: ports.Network,
        clock: clock_lib.Clock,
        node_id: str,
        region: str,
        metrics: metrics_lib.Registry,
    ) -> None:
        self.node_id = node_id
        self.region = region
        self.clock = clock
        self.metrics = metrics
        self.network = network
        self.freshness = freshness_lib.Freshness(node_id)
        self.retention_ms = 0
        self.log_first = 0
        self._log = log_client
        self._view = view_lib.View()
        self._loader: catchup.Loader | None = catchup.Loader(0)
        self._loaded = False
        self._ready = False
        self._history = catchup.History()
        self._change = trio.Event()
        self._hosts: frozenset[str] | None = None
        self._quorum_sets: dict[str, frozenset[str]] = {}
        self._quorum_offset = -1
        self._publisher = publisher.Publisher(self, log_client)
        self.prober = prober_lib.Prober(self)

    @property
    def view(self) -> view_lib.View:
        """The present view; read it again after each wait."""
        return self._view

    @property
    def ready(self) -> bool:
        """Whether the view has been complete at least once."""
        return self._ready

    @property
    def loading(self) -> bool:
        """Whether a snapshot or a peer's view is needed to go on."""
        return self._loader is not None

    def fresh(self) -> bool:
        """Returns whether keys, leases and limits may be relied on."""
        return self._loaded and self.freshness.fresh(self.clock.now_ms())

    def fresh_until_ms(self) -> float:
        """Returns the monotonic time until which `fresh` is sure to hold."""
        if not self._loaded:
            return float("-inf")
        return self.freshness.fresh_until_ms()

    def require_fresh(self) -> None:
        """Raises errors.StaleError unless the view is fresh."""
        if not self.fresh():
            raise errors.StaleError("the shared state may be out of date")

    def log_age_ms(self) -> float:
        """Returns the age of the log's evidence, inf if there is none."""
        return self.clock.now_ms() - self.freshness.log_evidence_ms

    def set_hosts(self, hosts: Iterable[str] | None) -> None:
        """Takes the ids on the host list, None while it isn't known."""
        self._hosts = None if hosts is None else frozenset(hosts)
        self._quorum_offset = -1

    def quorum_sets(self) -> Mapping[str, frozenset[str]]:
        """Returns for each region the members that count for a majority."""
        if self._quorum_offset != self._view.offset:
            members = list(self._view.members.values())
            self._quorum_sets = {
                region: membership.quorum_set(members, region, self._hosts)
                for region in {self.region, *(m.region for m in members)}
            }
            self._quorum_offset = self._view.offset
        return self._quorum_sets

    def quorum_set(self) -> frozenset[str]:
        """Returns the members of the own region that count."""
        return self.quorum_sets().get(self.region, frozenset())

    async def run(self) -> None:
        """Follows the log and the peers until cancelled."""
        self.network.handle(messages.Ping, self._on_ping)
        self.network.handle(messages.FetchRecords, self._on_fetch_records)
        self.network.handle(messages.FetchView, self._on_fetch_view)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_log)
            nursery.start_soon(self.prober.run)

    def change(self) -> trio.Event:
        """Returns the event of the next change.

        It is set when the view changes and when it turns fresh after it was
        stale; turning stale and the passing of time set nothing.
        """
        return self._change

    async def wait_change(self) -> None:
        """Waits for the event that `change` returns now."""
        await self._change.wait()

    async def wait_for(self, change: trio.Event, timeout_ms: float) -> None:
        """Waits for an event from `change`, or until the time has passed."""
        async with trio.open_nursery() as nursery:

            async def time_out() -> None:
                await self.clock.sleep_ms(timeout_ms)
                nursery.cancel_scope.cancel()

            nursery.start_soon(time_out)
            await change.wait()
            nursery.cancel_scope.cancel()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until `condition` holds, looking again after each change."""
        while not condition():
            await self._change.wait()

    async def wait_applied(self, offset: int) -> None:
        """Waits until the record at `offset` has been applied."""
        await self.wait_until(lambda: self._view.offset > offset)

    async def publish(
        self,
        body: records.Body,
        based_on: int | None = None,
        record_id: str | None = None,
        timeout_ms: float = publisher.TIMEOUT_MS,
    ) -> int:
        """Puts a change on the log and waits until it is in the view.

        Args:
            body: The change.
            based_on: Offset of the entity's last change that the caller saw,
                -1 if none, or None to change it whatever came before.
            record_id: Identity of the change, the same for a resend.
            timeout_ms: Time after which it is given up.

        Returns:
            The offset at which the change took effect.

        Raises:
            errors.ConflictError: Another change came first, or the change
                makes no sense any more; it has no effect.
            errors.UnavailableError: It wasn't seen on the log in time.
            errors.TooLargeError: The log takes no record of this size.
        """
        record = records.Record(
            record_id or uuid.uuid4().hex, self.node_id, body, based_on
        )
        return await self._publisher.publish(record, timeout_ms)

    def apply(self, entries: Iterable[tuple[int, bytes]]) -> None:
        """Applies the records among `entries` that come next."""
        applied = False
        for offset, data in entries:
            if offset == self._view.offset:
                outcome = self._view.apply(offset, data)
                self._history.add(offset, data)
                self.metrics.add("state_records", outcome=outcome.value)
                applied = True
        if applied:
            self.notify()

    def install(self, view: view_lib.View) -> None:
        """Takes a view that is further than the present one."""
        if self._loaded and view.offset <= self._view.offset:
            return
        self._view = view
        self._loaded = True
        self._loader = None
        self._quorum_offset = -1
        self.metrics.add("state_views_installed")
        self.notify()

    def notify(self) -> None:
        """Draws conclusions from a change and wakes those that wait."""
        self._judge()
        self._change.set()
        self._change = trio.Event()

    def note_evidence(self, note: Callable[[], None]) -> None:
        """Takes evidence by `note`; wakes others if the view turns fresh.

        Evidence comes several times a second and mostly changes nothing.
        """
        before = self.fresh()
        note()
        self._judge()
        if self.fresh() and not before:
            self.notify()

    def _judge(self) -> None:
        self.freshness.update(self._view.offset, self.quorum_set())
        self._ready = self._ready or self.fresh()

    async def _follow_log(self) -> None:
        while True:
            try:
                await self._read()
            except log_errors.OffsetExpiredError as exc:
                self._loader = catchup.Loader(exc.first)
                self.metrics.add("state_offset_expired")
            except log_errors.LogError as exc:
                self.metrics.add("state_log_errors", code=exc.code)
                await self.clock.sleep_ms(_RETRY_MS)

    async def _read(self) -> None:
        loader = self._loader
        start = loader.next_offset if loader else self._view.offset
        wait_ms = 0 if loader else _POLL_MS
        sent_ms = self.clock.now_ms()
        page = await self._log.read(ports.CONTROL, start, _READ_LIMIT, wait_ms)
        self.retention_ms = page.retention_ms
        self.log_first = page.first
        if loader is not None:
            await self._load(loader, page)
        else:
            self.apply((e.offset, e.data) for e in page.entries)
        self._note_read(sent_ms, page.head)

    def _note_read(self, sent_ms: float, head: int) -> None:
        """Counts a read as evidence, unless the log itself lags behind."""
        if not self._loaded:
            return
        if head < self._view.offset:
            self.metrics.add("state_log_behind")
            return
        self.note_evidence(
            lambda: self.freshness.log_read(sent_ms, head, self._view.offset)
        )

    async def _load(self, loader: catchup.Loader, page: log_types.Page) -> None:
        loader.add(page.entries)
        if loader.next_offset < page.head or self._loader is not loader:
            return
        view = loader.view()
        if view is not None:
            self.install(view)
        if self.loading:
            self.metrics.add("state_no_snapshot")
            await self.clock.sleep_ms(_RETRY_MS)

    async def _on_ping(self, ping: messages.Ping) -> messages.Message:
        age_ms = self.log_age_ms()
        return messages.Pong(
            self.node_id,
            self._view.offset if self._loaded else 0,
            -1 if age_ms == float("inf") else age_ms,
        )

    async def _on_fetch_records(
        self, request: messages.FetchRecords
    ) -> messages.Message:
        data = self._history.since(request.start)
        return messages.Records(request.start, data)

    async def _on_fetch_view(
        self, request: messages.FetchView
    ) -> messages.Message:
        if not self._loaded:
            return messages.Refused("not_ready", "no view yet")
        return messages.EncodedView(self._view.offset, self._view.encode())
