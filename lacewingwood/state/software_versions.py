"""The software versions that may have begun streams, kept on the log.

A replica is used only once its version is on the log. So a gateway that has
read the log up to now knows all versions at which streams can have begun, also
those whose replicas have left, and also if it has just started. Where there is
one, a stream that is taken up again has begun there.
"""

import random
from collections.abc import Callable
from collections.abc import Iterable

import msgspec
import structlog
import trio
import xxhash

from lacewingwood import clock as clocks
from lacewingwood import metrics as metrics_lib
from lacewingwood.log import compacted
from lacewingwood.log import errors
from lacewingwood.log import follow
from lacewingwood.routing import load
from lacewingwood.routing import origins

VERSIONS = compacted.Partition("versions", 0)

# Changes are rare, and whoever needs the newest state reads it (`confirm`).
_READ_WAIT_MS = 5_000.0
_READ_PAUSE_MS = 50.0
_RETRY_MS = 100.0
_UPKEEP_MS = 5_000.0
# A version that is listed is recorded again after this time, and one that is
# not is forgotten after the longer one. A stream is taken up again within
# seconds. A gateway that sees a version for the first time, and finds a record
# older than the first time, records it anew, so that it can't be forgotten just
# then.
_RENEW_MS = 300_000.0
_FORGET_MS = 900_000.0

_log = structlog.get_logger()


class _Record(msgspec.Struct, array_like=True):
    """Value of a record; `at_ms` is the Unix time of the last renewal."""

    origin: origins.Origin
    at_ms: int


class SoftwareVersions:
    """Versions of all services by the log and by the list of replicas.

    Sets `version_pending` of replicas.

    Attributes:
        on_new: Called with each version that is used from now on.
    """

    def __init__(
        self,
        log: compacted.CompactedLog,
        clock: clocks.Clock,
        wall_ms: Callable[[], int],
        metrics: metrics_lib.Registry,
    ) -> None:
        """Creates an empty set; `run` reads and maintains it.

        Args:
            log: Log with the records.
            clock: Source of monotonic time.
            wall_ms: Returns Unix time.
            metrics: Counts failed writes.
        """
        self.on_new: Callable[[origins.Origin], None] = lambda origin: None
        self._log = log
        self._clock = clock
        self._wall_ms = wall_ms
        self._metrics = metrics
        # When each recorded version was last renewed, in Unix time.
        self._recorded: dict[origins.Origin, int] = {}
        self._replicas: list[load.Replica] = []
        self._listed: set[origins.Origin] = set()
        self._usable: set[origins.Origin] = set()
        # When this gateway last saw a replica of a version.
        self._last_listed_ms: dict[origins.Origin, float] = {}
        self._changed = trio.Event()
        self._follower = follow.Follower(
            log,
            VERSIONS,
            self._apply_snapshot,
            self._apply,
            clock,
            metrics,
            wait_ms=_READ_WAIT_MS,
            pause_ms=_READ_PAUSE_MS,
        )

    def update(self, replicas: Iterable[load.Replica]) -> None:
        """Records the versions of the replicas that are listed now."""
        self._replicas = list(replicas)
        self._listed = {load.origin_of(replica) for replica in self._replicas}
        self._usable &= self._listed
        now_ms = self._clock.now_ms()
        self._last_listed_ms.update(dict.fromkeys(self._listed, now_ms))
        self._note_usable()

    def of_services(self, services: Iterable[str]) -> set[origins.Origin]:
        """Returns the versions of services that are recorded or listed."""
        wanted = set(services)
        return {
            origin
            for origin in self._recorded.keys() | self._listed
            if origin.service in wanted
        }

    async def confirm(self) -> bool:
        """Reads the records up to now; returns whether the log answered."""
        try:
            await self._follower.catch_up()
        except errors.LogError as exc:
            _log.info("versions not confirmed", code=exc.code)
            return False
        return True

    def copy(self) -> list[tuple[origins.Origin, int]]:
        """Returns the records, for a gateway that can't reach the log."""
        return list(self._recorded.items())

    def add_copy(self, records: Iterable[tuple[origins.Origin, int]]) -> None:
        """Adds the records that a peer knows."""
        for origin, at_ms in records:
            self._recorded.setdefault(origin, at_ms)
        self._note_usable()

    async def run(self) -> None:
        """Reads and maintains the records until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._maintain)

    async def _maintain(self) -> None:
        await self._follower.ready.wait()
        while True:
            self._changed = trio.Event()
            pause_ms = _UPKEEP_MS
            try:
                await self._record(self._listed - self._usable)
                await self._renew_and_forget()
            except errors.LogError as exc:
                self._metrics.add("version_records_failed", code=exc.code)
                pause_ms = _RETRY_MS
            with trio.move_on_after(pause_ms / 1000):
                await self._changed.wait()
                continue

    async def _record(self, wanted: set[origins.Origin]) -> None:
        """Writes records of versions and uses these from then on."""
        if not wanted:
            return
        at_ms = self._wall_ms()
        records = [
            compacted.Record(
                _key(origin), msgspec.msgpack.encode(_Record(origin, at_ms))
            )
            for origin in wanted
        ]
        await self._log.append(VERSIONS, records)
        self._recorded.update(dict.fromkeys(wanted, at_ms))
        self._note_usable()

    async def _renew_and_forget(self) -> None:
        now_ms, wall_ms = self._clock.now_ms(), self._wall_ms()
        # Not all gateways at the same time; the others see the new record.
        renew_ms = _RENEW_MS * random.uniform(1.0, 1.5)
        await self._record(
            {
                origin
                for origin in self._usable
                if wall_ms - self._recorded.get(origin, 0) > renew_ms
            }
        )
        ended = [
            origin
            for origin, at_ms in self._recorded.items()
            if wall_ms - at_ms > _FORGET_MS
            and origin not in self._listed
            and now_ms - self._last_listed_ms.setdefault(origin, now_ms)
            > _FORGET_MS
        ]
        if not ended:
            return
        records = [compacted.Record(_key(origin), None) for origin in ended]
        # A gateway that lists the version again has recorded it anew.
        position = self._follower.position
        try:
            await self._log.append(VERSIONS, records, expected_end=position)
        except compacted.ConflictError:
            return
        for origin in ended:
            self._recorded.pop(origin, None)
            _log.info("version forgotten", **_describe(origin))

    def _apply_snapshot(self, records: list[compacted.Record]) -> None:
        self._recorded.clear()
        self._apply(records)

    def _apply(self, records: list[compacted.Record]) -> None:
        keys = {_key(origin): origin for origin in self._recorded}
        for record in records:
            if record.value is None:
                if origin := keys.get(record.key):
                    self._recorded.pop(origin, None)
                continue
            try:
                value = msgspec.msgpack.decode(record.value, type=_Record)
            except msgspec.MsgspecError:
                self._metrics.add("version_records_malformed")
                continue
            self._recorded[value.origin] = value.at_ms
            keys[record.key] = value.origin
        self._note_usable()

    def _note_usable(self) -> None:
        """Uses what is listed and has a record that can't be forgotten now."""
        wall_ms = self._wall_ms()
        for origin in self._listed - self._usable:
            at_ms = self._recorded.get(origin)
            if at_ms is not None and wall_ms - at_ms < _RENEW_MS:
                self._usable.add(origin)
                _log.info("version used", **_describe(origin))
                self.on_new(origin)
        for replica in self._replicas:
            replica.version_pending = (
                load.origin_of(replica) not in self._usable
            )
        if self._listed - self._usable:
            self._changed.set()


def _key(origin: origins.Origin) -> str:
    name = f"{origin.service}\0{origin.version}".encode()
    return str(xxhash.xxh3_128_hexdigest(name))


def _describe(origin: origins.Origin) -> dict[str, str]:
    return {"service": origin.service, "version": origin.version}
