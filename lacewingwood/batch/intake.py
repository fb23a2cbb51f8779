"""Files and batch jobs for callers: upload, creation, status and results."""

import contextlib
import hashlib
from collections.abc import AsyncIterable
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Any

import msgspec

from lacewingwood import clock as clocks
from lacewingwood import errors as base_errors
from lacewingwood.batch import deps
from lacewingwood.batch import errors
from lacewingwood.batch import files
from lacewingwood.batch import lines
from lacewingwood.batch import results
from lacewingwood.state import errors as state_errors
from lacewingwood.state import records

_WINDOW_UNITS_MS = {"m": 60_000, "h": 3_600_000, "d": 86_400_000}
_MAX_WINDOW_MS = 7 * 86_400_000
_MAX_METADATA_PAIRS = 16
_OUTPUT_PREFIX = "file-output-"
_ERRORS_PREFIX = "file-errors-"


class Status(msgspec.Struct):
    """State and progress of a job.

    Attributes:
        job: The job as accepted.
        state: `accepted`, `cancelled` or `finished`.
        progress: Counts of its items.
        cancelled_ms: Wall-clock time of its cancellation in ms, or None.
        finished_ms: Wall-clock time of its completion in ms, or None.
    """

    job: records.Job
    state: str
    progress: results.Progress
    cancelled_ms: int | None
    finished_ms: int | None


def output_file_id(job_id: str) -> str:
    """Returns the id of the output file with a job's answers."""
    return _OUTPUT_PREFIX + job_id


def errors_file_id(job_id: str) -> str:
    """Returns the id of the error file with a job's failed items."""
    return _ERRORS_PREFIX + job_id


class Intake:
    """Accepts files and jobs of callers and returns status and results.

    Attributes:
        max_file_bytes: Size limit of an uploaded file.
    """

    __slots__ = (
        "_files",
        "_follower",
        "_log",
        "_wall_ms",
        "max_file_bytes",
    )

    def __init__(
        self,
        log: deps.Log,
        follower: deps.Follower,
        clock: clocks.Clock,
        wall_ms: Callable[[], int],
        max_file_bytes: int = files.MAX_FILE_BYTES,
    ) -> None:
        self._log = log
        self._follower = follower
        self._wall_ms = wall_ms
        self.max_file_bytes = max_file_bytes
        self._files = files.FileStore(log, clock, max_file_bytes)

    async def store_file(
        self,
        customer: str,
        filename: str,
        purpose: str,
        pieces: AsyncIterable[bytes],
    ) -> files.File:
        """Stores a file; see `files.FileStore.store`."""
        now_ms = self._wall_ms()
        return await self._files.store(
            customer, filename, purpose, pieces, now_ms
        )

    async def file_info(self, customer: str, file_id: str) -> files.File:
        """Returns a file of the customer.

        The output and errors of an ended job are files too. Their size is not
        known and given as -1.

        Raises:
            errors.NotFoundError: The customer has no such file.
        """
        self._check_fresh()
        for prefix in (_OUTPUT_PREFIX, _ERRORS_PREFIX):
            if file_id.startswith(prefix):
                job_id = file_id.removeprefix(prefix)
                return self._results_file(customer, file_id, job_id)
        found = await self._files.info(file_id)
        if found.customer != customer:
            raise errors.NotFoundError(f"file {file_id} not found")
        return found

    async def file_content(
        self, customer: str, file_id: str
    ) -> AsyncIterator[bytes]:
        """Returns an iterator over a file, which may hold a job's results.

        Raises:
            errors.NotFoundError: The customer has no such file.
        """
        await self.file_info(customer, file_id)
        if file_id.startswith(_OUTPUT_PREFIX):
            return self.output(customer, file_id.removeprefix(_OUTPUT_PREFIX))
        if file_id.startswith(_ERRORS_PREFIX):
            return self.errors(customer, file_id.removeprefix(_ERRORS_PREFIX))
        return self._files.read(file_id)

    async def create_job(
        self,
        customer: str,
        input_file: str,
        endpoint: str,
        completion_window: str,
        *,
        metadata: dict[str, str] | None = None,
        idempotency_key: str = "",
    ) -> Status:
        """Creates a job, or returns the job that an earlier attempt created.

        Returns only once the job's acceptance is on the log. Attempts are the
        same if they have the same idempotency key or, without a key, the same
        input file.

        Raises:
            errors.InvalidError: The request or an input line is invalid;
                nothing runs.
            errors.NotFoundError: The customer has no such file.
            errors.ConflictError: The key was used for a different job.
            errors.UnavailableError: The log is down.
        """
        self._check_fresh()
        window_ms = _parse_window(completion_window)
        _validate_request(endpoint, metadata or {})
        job_id = _job_id(customer, idempotency_key, input_file)
        if job_id not in self._follower.view.jobs:
            await self.file_info(customer, input_file)
            items = await self._validate_lines(input_file, endpoint)
            now_ms = self._wall_ms()
            job = records.Job(
                job_id,
                customer,
                input_file,
                endpoint,
                items,
                now_ms + window_ms,
                now_ms,
                metadata or {},
            )
            await self._publish_accepted(job)
        return await self._find_created(customer, job_id, input_file, endpoint)

    async def get(self, customer: str, job_id: str) -> Status:
        """Returns a job of the customer.

        Raises:
            errors.NotFoundError: The customer has no such job.
            errors.UnavailableError: This process's state may be out of date.
        """
        state = self._find_job(customer, job_id)
        job = state.job
        progress = results.Progress(state.completed, state.failed)
        if state.status != "finished":
            progress = await self._progress(job_id)
        return Status(
            job,
            state.status,
            progress,
            state.cancelled_ms,
            state.finished_ms,
        )

    async def list(
        self, customer: str, after: str = "", limit: int = 20
    ) -> tuple[list[Status], bool]:
        """Returns jobs, newest first, and whether there are more.

        Args:
            customer: Customer whose jobs are listed.
            after: Id of the last job of the previous page, or empty.
            limit: Largest number of jobs to return.
        """
        self._check_fresh()
        jobs = self._follower.view.jobs.values()
        own = [s.job for s in jobs if s.job.customer == customer]
        own.sort(key=lambda job: (-job.created_ms, job.job_id))
        ids = [job.job_id for job in own]
        if after:
            ids = ids[ids.index(after) + 1 :] if after in ids else []
        page = [await self.get(customer, job_id) for job_id in ids[:limit]]
        return page, len(ids) > limit

    async def cancel(self, customer: str, job_id: str) -> Status:
        """Cancels a job; has no effect on a job that has ended.

        Raises:
            errors.NotFoundError: The customer has no such job.
            errors.UnavailableError: The log is down.
        """
        state = self._find_job(customer, job_id)
        if state.status == "accepted":
            body = records.JobCancelled(job_id, self._wall_ms())
            # A conflict means that the job has ended in the meantime.
            with contextlib.suppress(state_errors.ConflictError):
                await self._publish(body, None)
        return await self.get(customer, job_id)

    async def output(self, customer: str, job_id: str) -> AsyncIterator[bytes]:
        """Iterates over the answers of a job as JSON lines."""
        self._find_job(customer, job_id)
        async for item in results.read_results(self._log, job_id):
            if not item.failed:
                yield output_line(job_id, item)

    async def errors(self, customer: str, job_id: str) -> AsyncIterator[bytes]:
        """Iterates over the failed items of a job as JSON lines."""
        self._find_job(customer, job_id)
        async for item in results.read_results(self._log, job_id):
            if item.failed:
                yield output_line(job_id, item)

    async def _progress(self, job_id: str) -> results.Progress:
        # The counts are informative; while the log is down, a job is returned
        # without them.
        try:
            return await results.read_progress(self._log, job_id)
        except errors.BatchError:
            return results.Progress()

    def _check_fresh(self) -> None:
        if not self._follower.fresh():
            raise errors.UnavailableError(
                "this process's view of the jobs is out of date"
            )

    def _results_file(
        self, customer: str, file_id: str, job_id: str
    ) -> files.File:
        state = self._find_job(customer, job_id)
        if state.status == "accepted":
            # A caller could not tell partial results from complete ones.
            raise errors.NotFoundError(f"batch {job_id} has not ended")
        ended_ms = state.finished_ms or state.cancelled_ms or 0
        name = f"{file_id}.jsonl"
        return files.File(
            file_id, customer, name, "batch_output", -1, "", 0, 0, ended_ms
        )

    def _find_job(self, customer: str, job_id: str) -> deps.JobState:
        self._check_fresh()
        state = self._follower.view.jobs.get(job_id)
        if state is None or state.job.customer != customer:
            raise errors.NotFoundError(f"batch {job_id} not found")
        return state

    async def _find_created(
        self, customer: str, job_id: str, input_file: str, endpoint: str
    ) -> Status:
        found = await self.get(customer, job_id)
        job = found.job
        if job.input_file != input_file or job.endpoint != endpoint:
            raise errors.ConflictError(
                "the idempotency key belongs to a batch with another input"
            )
        return found

    async def _publish_accepted(self, job: records.Job) -> None:
        try:
            await self._publish(records.JobAccepted(job), -1)
        except state_errors.ConflictError:
            # The same job was accepted through another process.
            return

    async def _publish(self, body: records.Body, based_on: int | None) -> None:
        try:
            await self._follower.publish(body, based_on=based_on)
        except state_errors.UnavailableError as exc:
            ran = base_errors.Ran.NOT_RUN
            if exc.may_have_taken_effect:
                ran = base_errors.Ran.MAY_HAVE_RUN
            raise errors.UnavailableError(exc.message, ran) from exc
        except state_errors.StaleError as exc:
            raise errors.UnavailableError(exc.message) from exc
        except state_errors.TooLargeError as exc:
            raise errors.InvalidError(exc.message, param="metadata") from exc

    async def _validate_lines(self, file_id: str, endpoint: str) -> int:
        """Validates every line and returns the number of items."""
        checker = lines.Checker(endpoint, self._follower.view.models)
        async for number, line in self._files.read_numbered(file_id):
            checker.check(number, line)
        if not checker.count:
            raise errors.InvalidError("the file has no lines")
        return checker.count


def output_line(job_id: str, item: results.Result) -> bytes:
    """Returns an item's line in the output or error file."""
    name = f"{job_id}-{item.index}"
    response: dict[str, Any] | None = None
    if item.status:
        response = {
            "status_code": item.status,
            "request_id": name,
            "body": msgspec.Raw(item.response or b"null"),
        }
    error: dict[str, str] | None = None
    if item.failed:
        error = {"code": item.error_code, "message": item.error_message}
    line = {
        "id": name,
        "custom_id": item.custom_id,
        "response": response,
        "error": error,
    }
    return msgspec.json.encode(line) + b"\n"


def _validate_request(endpoint: str, metadata: dict[str, str]) -> None:
    if endpoint not in lines.ENDPOINTS:
        raise errors.InvalidError(
            f"endpoint must be one of {', '.join(lines.ENDPOINTS)}",
            param="endpoint",
        )
    if len(metadata) > _MAX_METADATA_PAIRS:
        raise errors.InvalidError(
            f"metadata has more than {_MAX_METADATA_PAIRS} pairs",
            param="metadata",
        )


def _parse_window(window: str) -> int:
    number, unit = window[:-1], window[-1:]
    if not number.isdecimal() or unit not in _WINDOW_UNITS_MS:
        raise errors.InvalidError(
            "completion_window must be a number with m, h or d, such as 24h",
            param="completion_window",
        )
    window_ms = int(number) * _WINDOW_UNITS_MS[unit]
    if not 0 < window_ms <= _MAX_WINDOW_MS:
        raise errors.InvalidError(
            "completion_window is out of range", param="completion_window"
        )
    return window_ms


def _job_id(customer: str, idempotency_key: str, input_file: str) -> str:
    kind = "key" if idempotency_key else "file"
    name = idempotency_key or input_file
    digest = hashlib.sha256(msgspec.json.encode([customer, kind, name]))
    return "batch_" + digest.hexdigest()[:32]
