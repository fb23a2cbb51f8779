"""Copies records that are still needed before they fall off the log."""

import contextlib
from collections.abc import Iterator

import structlog
import trio

from lacewingwood import errors as base_errors
from lacewingwood.batch import deps as deps_module
from lacewingwood.batch import errors
from lacewingwood.batch import files
from lacewingwood.batch import recorder
from lacewingwood.batch import results
from lacewingwood.log import errors as log_errors
from lacewingwood.state import placement

_CHECK_MS = 1_000.0
# Copies start after three eighths of the retention time, so that one that
# fails or changes hands can be made again before half of it has passed.
_DUE_FRACTION = 0.375
# Pause after a failed copy, as a fraction of the time between copies; each
# attempt appends again what the one before had copied.
_RETRY_FRACTION = 0.02

_log = structlog.get_logger()


class RetentionCopier:
    """Keeps the files and results of this worker's jobs readable."""

    __slots__ = ("_deps", "_due", "_scope", "_wait_ms")

    def __init__(self, deps: deps_module.Deps) -> None:
        self._deps = deps
        # Wall-clock time, ms, at which a stream is to be copied.
        self._due: dict[str, float] = {}
        self._wait_ms = 0.0
        self._scope = trio.CancelScope()

    async def run(self) -> None:
        """Copies what is due until stopped."""
        with self._scope:
            while True:
                await self._check_all()
                await self._deps.clock.sleep_ms(_CHECK_MS)

    def stop(self) -> None:
        """Stops; a copy that is not complete is harmless."""
        self._scope.cancel()

    async def _check_all(self) -> None:
        self._forget()
        for job_id in list(self._deps.follower.view.jobs):
            try:
                await self._check(job_id)
            except base_errors.Error as exc:
                self._deps.metrics.add("batch_carry_failed")
                _log.warning("carry failed", job_id=job_id, error=str(exc))

    async def _check(self, job_id: str) -> None:
        state = self._deps.follower.view.jobs.get(job_id)
        name = f"job/{job_id}"
        epoch = self._deps.leases.held(name)
        if state is None or (epoch is None and not self._may_claim(name)):
            return
        running = state.status == "accepted"
        file_id = state.job.input_file
        carry_file = running and await self._is_due(files.stream_name(file_id))
        carry_results = await self._is_due(results.stream_name(job_id))
        if not (carry_file or carry_results):
            return
        if epoch is None:
            # The job's runner claims the lease of a job in progress.
            if not running:
                await self._deps.leases.claim(name)
            return
        try:
            if carry_file:
                await self._carry_file(file_id)
            if carry_results:
                await self._carry_results(job_id, epoch)
        finally:
            if not running and self._deps.leases.held(name) == epoch:
                await self._deps.leases.release(name)

    def _may_claim(self, name: str) -> bool:
        if self._deps.leases.holder(name) is not None:
            return False
        members = self._deps.follower.view.members.values()
        workers = [m for m in members if m.role == "worker"]
        chosen = placement.preferred(name, workers, "worker")
        return chosen is not None and chosen.node_id == self._deps.node_id

    async def _is_due(self, stream: str) -> bool:
        if stream not in self._due:
            await self._find_due(stream)
        return self._deps.wall_ms() >= self._due[stream]

    async def _find_due(self, stream: str) -> None:
        try:
            page = await self._deps.log.read(stream, 0, 1, 0)
        except log_errors.OffsetExpiredError as exc:
            page = await self._deps.log.read(stream, exc.first, 1, 0)
        oldest_ms = self._deps.wall_ms()
        if page.entries:
            oldest_ms = page.entries[0].time_ms
        self._wait_ms = _DUE_FRACTION * page.retention_ms
        self._due[stream] = oldest_ms + self._wait_ms

    async def _carry_results(self, job_id: str, epoch: int) -> None:
        copier = recorder.Recorder(
            self._deps.log,
            self._deps.clock,
            job_id,
            epoch,
            self._deps.node_id,
        )
        with self._noting(results.stream_name(job_id)):
            await copier.copy_results()

    async def _carry_file(self, file_id: str) -> None:
        store = files.FileStore(self._deps.log, self._deps.clock)
        with self._noting(files.stream_name(file_id)):
            await store.copy(file_id)

    @contextlib.contextmanager
    def _noting(self, stream: str) -> Iterator[None]:
        """Sets when the stream is due again after one copy of it."""
        started_ms = self._deps.wall_ms()
        try:
            yield
        except errors.CorruptError:
            # What is lost stays lost; another attempt soon would not help.
            self._due[stream] = started_ms + self._wait_ms
            raise
        except base_errors.Error:
            self._due[stream] = started_ms + self._wait_ms * _RETRY_FRACTION
            raise
        self._due[stream] = started_ms + self._wait_ms
        self._deps.metrics.add("batch_carried")

    def _forget(self) -> None:
        """Drops the times of streams whose job is gone."""
        needed: set[str] = set()
        for job_id, state in self._deps.follower.view.jobs.items():
            needed.add(results.stream_name(job_id))
            if state.status == "accepted":
                needed.add(files.stream_name(state.job.input_file))
        self._due = {s: due for s, due in self._due.items() if s in needed}
