"""Requests in progress.

A request is cancelled when its caller disconnects, when its API key is
withdrawn, or when this process can no longer tell whether the key is valid.
"""

import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable

import trio

from lacewingwood.callers import auth
from lacewingwood.callers import dependencies
from lacewingwood.callers import errors
from lacewingwood.callers import http


@dataclasses.dataclass(slots=True, eq=False)
class _RunningRequest:
    """One request in progress.

    Attributes:
        caller: The authenticated caller, None on open routes.
        scope: Cancel scope of the request.
        error: Why the request was cancelled, None if it was not.
    """

    caller: auth.Caller | None
    scope: trio.CancelScope
    error: Exception | None = None

    def cancel(self, error: Exception) -> None:
        if self.error is None:
            self.error = error
            self.scope.cancel()


class RunningRequests:
    """All requests in progress."""

    __slots__ = ("_deps", "_running", "_stale_since_ms")

    def __init__(self, deps: dependencies.Dependencies) -> None:
        self._deps = deps
        self._running: set[_RunningRequest] = set()
        self._stale_since_ms: float | None = None

    def __len__(self) -> int:
        return len(self._running)

    async def run(
        self,
        req: http.Request,
        caller: auth.Caller | None,
        work: Callable[[], Awaitable[None]],
    ) -> None:
        """Runs `work` until it completes or the request is cancelled.

        Raises:
            errors.CallerError: `work` failed, the API key was withdrawn, or
                this process has been stale for too long.
            http.DisconnectedError: The caller disconnected.
        """
        entry = _RunningRequest(caller, trio.CancelScope())
        self._running.add(entry)
        try:
            error = await _run_until_disconnect(req, entry, work)
        finally:
            self._running.discard(entry)
        if entry.error is not None and entry.scope.cancelled_caught:
            raise entry.error
        if error is not None:
            raise error

    async def check_forever(self) -> None:
        """Checks all running requests at intervals."""
        while True:
            await self._deps.clock.sleep_ms(
                self._deps.settings.check_interval_ms
            )
            self.check()

    def check(self) -> None:
        """Cancels requests whose API key is no longer known to be valid."""
        stale = self._stale_for_too_long()
        for entry in list(self._running):
            if entry.caller is None:
                continue
            if stale:
                entry.cancel(_stale_error())
            elif not self._key_is_valid(entry.caller):
                entry.cancel(_key_withdrawn_error())

    def _key_is_valid(self, caller: auth.Caller) -> bool:
        view = self._deps.state.view
        return view.authenticate(caller.digest) == caller.customer

    def _stale_for_too_long(self) -> bool:
        now_ms = self._deps.clock.now_ms()
        if self._deps.state.fresh():
            self._stale_since_ms = None
            return False
        if self._stale_since_ms is None:
            self._stale_since_ms = now_ms
        stale_ms = now_ms - self._stale_since_ms
        return stale_ms >= self._deps.settings.stale_grace_ms


async def _run_until_disconnect(
    req: http.Request,
    entry: _RunningRequest,
    work: Callable[[], Awaitable[None]],
) -> Exception | None:
    error: Exception | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_disconnect, req, entry)
        with entry.scope:
            try:
                await work()
            except (errors.CallerError, http.DisconnectedError) as exc:
                error = exc
        nursery.cancel_scope.cancel()
    return error


async def _cancel_on_disconnect(
    req: http.Request, entry: _RunningRequest
) -> None:
    await req.body_read.wait()
    await req.wait_disconnect()
    entry.cancel(http.DisconnectedError())


def _key_withdrawn_error() -> errors.CallerError:
    message = "the API key was withdrawn while the request was running"
    return errors.CallerError(
        401, "key_withdrawn", message, ran=errors.Ran.MAY_HAVE_RUN
    )


def _stale_error() -> errors.CallerError:
    message = "this host can no longer check whether the API key is valid"
    # No 503 and no Retry-After, which would ask the caller to send a request
    # again that may have run.
    return errors.CallerError(
        502, "stale", message, ran=errors.Ran.MAY_HAVE_RUN
    )
