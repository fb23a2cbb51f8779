"""Polls the platform's host list."""

from collections.abc import Callable
from collections.abc import Iterable

from lacewingwood import clock as clock_lib
from lacewingwood import metrics as metrics_lib
from lacewingwood.hostlist import client as client_lib
from lacewingwood.hostlist import errors
from lacewingwood.hostlist import types

_POLL_INTERVAL_MS = 1_000.0

Listener = Callable[[Iterable[types.Host]], None]


class HostWatcher:
    """Keeps the last host list that was fetched, also during an outage.

    Attributes:
        listeners: Called with the whole list after each fetch.
    """

    __slots__ = ("_client", "_clock", "_hosts", "_metrics", "listeners")

    def __init__(
        self,
        client: client_lib.HostListClient,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Registry,
    ) -> None:
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._hosts: list[types.Host] = []
        self.listeners: list[Listener] = []

    def hosts(self) -> list[types.Host]:
        """Returns the hosts in the order of the list."""
        return self._hosts

    async def run(self) -> None:
        """Fetches the list periodically until cancelled."""
        while True:
            await self.fetch()
            await self._clock.sleep_ms(_POLL_INTERVAL_MS)

    async def fetch(self) -> None:
        """Fetches the list; keeps the previous list on failure."""
        try:
            self._hosts = await self._client.fetch()
        except errors.UnavailableError:
            self._metrics.add("hostlist_errors")
            return
        for listener in self.listeners:
            listener(self._hosts)
