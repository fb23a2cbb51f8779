"""Copies records that are still needed before the log's retention ends."""

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

_CHECK_INTERVAL_MS = 1_000.0
# A copy starts after three eighths of the retention time, so that a copy that
# fails or moves to another worker can be repeated before half of it has passed.
_DUE_FRACTION = 0.375
# Delay after a failed copy, as a fraction of the time between copies. It limits
# the load, because each attempt appends again what the previous one had copied.
_RETRY_FRACTION = 0.02

_log = structlog.get_logger()


class RetentionCopier:
    """Keeps the files and results of this worker's jobs on the log."""

    __slots__ = ("_copy_interval_ms", "_deps", "_due_ms", "_scope")

    def __init__(self, deps: deps_module.Deps) -> None:
        self._deps = deps
        # Wall-clock time, in ms, of the next copy of each stream.
        self._due_ms: dict[str, float] = {}
        self._copy_interval_ms = 0.0
        self._scope = trio.CancelScope()

    async def run(self) -> None:
        """Copies streams that are due until stopped."""
        with self._scope:
            while True:
                await self._check_all()
                await self._deps.clock.sleep_ms(_CHECK_INTERVAL_MS)

    def stop(self) -> None:
        """Stops copying; readers ignore an incomplete copy."""
        self._scope.cancel()

    async def _check_all(self) -> None:
        self._drop_unneeded()
        for job_id in list(self._deps.follower.view.jobs):
            try:
                await self._check(job_id)
            except base_errors.Error as exc:
                self._deps.metrics.add("batch_carry_failed")
                _log.warning(
                    "copy of job records failed", job_id=job_id, error=str(exc)
                )

    async def _check(self, job_id: str) -> None:
        state = self._deps.follower.view.jobs.get(job_id)
        name = f"job/{job_id}"
        epoch = self._deps.leases.held(name)
        if state is None or (epoch is None and not self._may_claim(name)):
            return
        running = state.status == "accepted"
        file_id = state.job.input_file
        copy_file = running and await self._is_due(files.stream_name(file_id))
        copy_results = await self._is_due(results.stream_name(job_id))
        if not (copy_file or copy_results):
            return
        if epoch is None:
            # For a job in progress, the worker that runs it claims the lease.
            if not running:
                await self._deps.leases.claim(name)
            return
        try:
            if copy_file:
                await self._copy_file(file_id)
            if copy_results:
                await self._copy_results(job_id, epoch)
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
        if stream not in self._due_ms:
            await self._find_due(stream)
        return self._deps.wall_ms() >= self._due_ms[stream]

    async def _find_due(self, stream: str) -> None:
        try:
            page = await self._deps.log.read(stream, 0, 1, 0)
        except log_errors.OffsetExpiredError as exc:
            page = await self._deps.log.read(stream, exc.first, 1, 0)
        oldest_ms = self._deps.wall_ms()
        if page.entries:
            oldest_ms = page.entries[0].time_ms
        self._copy_interval_ms = _DUE_FRACTION * page.retention_ms
        self._due_ms[stream] = oldest_ms + self._copy_interval_ms

    async def _copy_results(self, job_id: str, epoch: int) -> None:
        results_recorder = recorder.Recorder(
            self._deps.log,
            self._deps.clock,
            job_id,
            epoch,
            self._deps.node_id,
        )
        with self._rescheduling(results.stream_name(job_id)):
            await results_recorder.copy_results()

    async def _copy_file(self, file_id: str) -> None:
        store = files.FileStore(self._deps.log, self._deps.clock)
        with self._rescheduling(files.stream_name(file_id)):
            await store.copy(file_id)

    @contextlib.contextmanager
    def _rescheduling(self, stream: str) -> Iterator[None]:
        """Sets the time of a stream's next copy after the copy in its body."""
        started_ms = self._deps.wall_ms()
        try:
            yield
        except errors.CorruptError:
            # The lost records cannot be restored, so an early retry would not
            # help.
            self._due_ms[stream] = started_ms + self._copy_interval_ms
            raise
        except base_errors.Error:
            self._due_ms[stream] = (
                started_ms + self._copy_interval_ms * _RETRY_FRACTION
            )
            raise
        self._due_ms[stream] = started_ms + self._copy_interval_ms
        self._deps.metrics.add("batch_carried")

    def _drop_unneeded(self) -> None:
        """Drops the times of streams that no job needs any more."""
        needed: set[str] = set()
        for job_id, state in self._deps.follower.view.jobs.items():
            needed.add(results.stream_name(job_id))
            if state.status == "accepted":
                needed.add(files.stream_name(state.job.input_file))
        self._due_ms = {
            s: due for s, due in self._due_ms.items() if s in needed
        }
