"""Applies the records of the stream `control` to a local view."""

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

_MAX_READ_RECORDS = 1000

# An empty poll shows only that the view was complete when the poll was sent,
# so the evidence is up to two polls old. This interval leaves most of the
# freshness window for slow answers.
_POLL_MS = 500

_RETRY_MS = 200.0


class Follower:
    """Keeps this process's view of the shared state up to date.

    Attributes:
        node_id: Node id of this process.
        region: Region of this process.
        clock: Monotonic clock.
        metrics: Counters of this process.
        network: Transport to the peers.
        freshness: Evidence that the view is current.
        prober: Pings the peers and fetches records from them.
        retention_ms: How long the log keeps records, 0 while unknown.
        first_log_offset: Earliest offset that the log still kept at the last
            read.
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
        self.first_log_offset = 0
        self._log = log_client
        self._view = view_lib.View()
        self._loader: catchup.Loader | None = catchup.Loader(0)
        self._loaded = False
        self._ready = False
        self._history = catchup.History()
        self._next_change = trio.Event()
        self._host_ids: frozenset[str] | None = None
        self._quorum_sets: dict[str, frozenset[str]] = {}
        self._quorum_offset = -1
        self._publisher = publisher.Publisher(self, log_client)
        self.prober = prober_lib.Prober(self)

    @property
    def view(self) -> view_lib.View:
        """The current view; it may be replaced while the caller awaits."""
        return self._view

    @property
    def ready(self) -> bool:
        """Whether the view has been fresh at least once."""
        return self._ready

    @property
    def loading(self) -> bool:
        """Whether a view must first be loaded from the log or from a peer."""
        return self._loader is not None

    def fresh(self) -> bool:
        """Returns whether the view is known to be current."""
        return self._loaded and self.freshness.fresh(self.clock.now_ms())

    def fresh_until_ms(self) -> float:
        """Returns the monotonic time until which the view stays fresh."""
        if not self._loaded:
            return float("-inf")
        return self.freshness.fresh_until_ms()

    def require_fresh(self) -> None:
        """Checks that the view is fresh.

        Raises:
            errors.StaleError: The view is not known to be current.
        """
        if not self.fresh():
            raise errors.StaleError("shared state may be out of date")

    def log_age_ms(self) -> float:
        """Returns the age of the newest evidence from the log.

        It is inf if there is none.
        """
        return self.clock.now_ms() - self.freshness.log_evidence_ms

    def set_hosts(self, hosts: Iterable[str] | None) -> None:
        """Sets the ids on the host list, None while it is unknown."""
        self._host_ids = None if hosts is None else frozenset(hosts)
        self._quorum_offset = -1

    def quorum_sets(self) -> Mapping[str, frozenset[str]]:
        """Returns, by region, the node ids of which a majority must answer."""
        if self._quorum_offset != self._view.offset:
            members = list(self._view.members.values())
            self._quorum_sets = {
                region: membership.quorum_set(members, region, self._host_ids)
                for region in {self.region, *(m.region for m in members)}
            }
            self._quorum_offset = self._view.offset
        return self._quorum_sets

    def quorum_set(self) -> frozenset[str]:
        """Returns the quorum set of this process's region."""
        return self.quorum_sets().get(self.region, frozenset())

    async def run(self) -> None:
        """Reads the log and exchanges records with peers until cancelled."""
        self.network.handle(messages.Ping, self._on_ping)
        self.network.handle(messages.FetchRecords, self._on_fetch_records)
        self.network.handle(messages.FetchView, self._on_fetch_view)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_log)
            nursery.start_soon(self.prober.run)

    def next_change(self) -> trio.Event:
        """Returns the event that is set at the next change.

        A change is a record applied, a new view installed, a publication that
        failed, or a stale view that became fresh. A view that becomes stale
        sets no event.
        """
        return self._next_change

    async def wait_change(self) -> None:
        """Waits for the next change."""
        await self._next_change.wait()

    async def wait_for(
        self, next_change: trio.Event, timeout_ms: float
    ) -> None:
        """Waits for an event of `next_change`, at most for `timeout_ms`."""
        async with trio.open_nursery() as nursery:

            async def time_out() -> None:
                await self.clock.sleep_ms(timeout_ms)
                nursery.cancel_scope.cancel()

            nursery.start_soon(time_out)
            await next_change.wait()
            nursery.cancel_scope.cancel()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until `condition` holds; checks it after each change."""
        while not condition():
            await self._next_change.wait()

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
        """Appends a change to the log and waits until it is in the view.

        Args:
            body: The change.
            based_on: Offset of the entity's last change that the caller saw,
                -1 if there was none, or None to make the change whatever came
                before.
            record_id: Identity of the change; a resend must use the same one.
            timeout_ms: Time after which to give up.

        Returns:
            The offset at which the change took effect.

        Raises:
            errors.ConflictError: Another change came first, or the change is
                no longer allowed; it has no effect.
            errors.UnavailableError: The change wasn't seen on the log in time.
            errors.TooLargeError: The record exceeds the log's size limit.
        """
        record = records.Record(
            record_id or uuid.uuid4().hex, self.node_id, body, based_on
        )
        return await self._publisher.publish(record, timeout_ms)

    def apply(self, entries: Iterable[tuple[int, bytes]]) -> None:
        """Applies the records that continue the view; skips all others.

        Args:
            entries: Offsets and data of records.
        """
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
        """Replaces the view if the new one covers more of the log."""
        if self._loaded and view.offset <= self._view.offset:
            return
        self._view = view
        self._loaded = True
        self._loader = None
        self._quorum_offset = -1
        self.metrics.add("state_views_installed")
        self.notify()

    def notify(self) -> None:
        """Updates the freshness and wakes all tasks that await a change."""
        self._update_freshness()
        self._next_change.set()
        self._next_change = trio.Event()

    def note_evidence(self, add: Callable[[], None]) -> None:
        """Adds evidence; notifies waiting tasks only if the view became fresh.

        Evidence arrives several times a second and mostly changes nothing.

        Args:
            add: Adds the evidence to `freshness`.
        """
        was_fresh = self.fresh()
        add()
        self._update_freshness()
        if self.fresh() and not was_fresh:
            self.notify()

    def _update_freshness(self) -> None:
        self.freshness.update(self._view.offset, self.quorum_set())
        self._ready = self._ready or self.fresh()

    async def _follow_log(self) -> None:
        while True:
            try:
                await self._read_log()
            except log_errors.OffsetExpiredError as exc:
                self._loader = catchup.Loader(exc.first)
                self.metrics.add("state_offset_expired")
            except log_errors.LogError as exc:
                self.metrics.add("state_log_errors", code=exc.code)
                await self.clock.sleep_ms(_RETRY_MS)

    async def _read_log(self) -> None:
        loader = self._loader
        start = loader.next_offset if loader else self._view.offset
        wait_ms = 0 if loader else _POLL_MS
        sent_ms = self.clock.now_ms()
        page = await self._log.read(
            ports.CONTROL, start, _MAX_READ_RECORDS, wait_ms
        )
        self.retention_ms = page.retention_ms
        self.first_log_offset = page.first
        if loader is not None:
            await self._load_page(loader, page)
        else:
            self.apply((e.offset, e.data) for e in page.entries)
        self._note_log_read(sent_ms, page.head)

    def _note_log_read(self, sent_ms: float, head: int) -> None:
        """Uses a read as evidence, unless the log lags behind the view."""
        if not self._loaded:
            return
        if head < self._view.offset:
            self.metrics.add("state_log_behind")
            return
        self.note_evidence(
            lambda: self.freshness.note_log_read(
                sent_ms, head, self._view.offset
            )
        )

    async def _load_page(
        self, loader: catchup.Loader, page: log_types.Page
    ) -> None:
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
