"""Keeps the platform's host list at hand."""

from collections.abc import Callable
from collections.abc import Iterable

from lacewingwood import clock as clock_lib
from lacewingwood import metrics as metrics_lib
from lacewingwood.hostlist import client as client_lib
from lacewingwood.hostlist import errors
from lacewingwood.hostlist import types

_INTERVAL_MS = 1_000.0

Listener = Callable[[Iterable[types.Host]], None]


class HostWatcher:
    """The host list as last fetched; it stays as it was while it is down.

    Attributes:
        listeners: Called with the whole list each time it was fetched.
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
        """Returns the hosts, in the list's order."""
        return self._hosts

    async def run(self) -> None:
        """Fetches the list again and again until cancelled."""
        while True:
            await self.fetch()
            await self._clock.sleep_ms(_INTERVAL_MS)

    async def fetch(self) -> None:
        """Fetches the list once, if it can be had."""
        try:
            self._hosts = await self._client.fetch()
        except errors.UnavailableError:
            self._metrics.add("hostlist_errors")
            return
        for listener in self.listeners:
            listener(self._hosts)
