"""Retry policy: whether a failed attempt is repeated on another upstream."""

import dataclasses

from lacewingwood import errors
from lacewingwood.routing import outcomes

_MAX_RETRIES = 2
# Attempts that could not connect put no load on any upstream, so they do not
# count against the budget. A request may try several dead replicas before all
# of them are ejected.
_MAX_UNREACHABLE = 6
# Retries as a share of recent requests; more would amplify an overload.
_BUDGET_SHARE = 0.1
# Retries that are always allowed, for entries with little traffic.
_MIN_BUDGET = 3.0
_WINDOW_MS = 10_000.0
# With less time until the deadline than this, no further attempt is made.
_MIN_REMAINING_MS = 50.0


@dataclasses.dataclass(slots=True, frozen=True)
class Retry:
    """Another attempt is to be made."""


@dataclasses.dataclass(slots=True, frozen=True)
class GiveUp:
    """No further attempt is to be made; `reason` is a stable identifier."""

    reason: str


Decision = Retry | GiveUp


class Budget:
    """Limits retries to a share of the requests of the last 10 to 20 s."""

    __slots__ = ("_current", "_previous", "_window")

    def __init__(self) -> None:
        self._window = 0
        self._current = [0, 0]
        self._previous = [0, 0]

    def note_request(self, now_ms: float) -> None:
        """Counts one request; its retries are counted by `take`."""
        self._advance(now_ms)
        self._current[0] += 1

    def allows(self, now_ms: float) -> bool:
        """Returns whether one more retry is within the budget."""
        self._advance(now_ms)
        requests = self._current[0] + self._previous[0]
        retries = self._current[1] + self._previous[1]
        return retries + 1 <= max(_MIN_BUDGET, requests * _BUDGET_SHARE)

    def take(self, now_ms: float) -> None:
        """Counts one retry."""
        self._advance(now_ms)
        self._current[1] += 1

    def _advance(self, now_ms: float) -> None:
        window = int(now_ms // _WINDOW_MS)
        if window == self._window:
            return
        adjacent = window == self._window + 1
        self._previous = self._current if adjacent else [0, 0]
        self._current = [0, 0]
        self._window = window


@dataclasses.dataclass(slots=True)
class Attempts:
    """The attempts made for one request.

    Attributes:
        idempotent: Whether the request may run more than once.
        deadline_ms: Time after which its caller no longer waits.
        retries: Retries granted after attempts that reached an upstream.
        unreachable: Attempts that could not connect.
        ran: Whether any attempt can have had an effect.
    """

    idempotent: bool
    deadline_ms: float
    retries: int = 0
    unreachable: int = 0
    ran: errors.Ran = errors.Ran.NOT_RUN

    def after(
        self, outcome: outcomes.Outcome, budget: Budget, now_ms: float
    ) -> Decision:
        """Decides whether to retry after an attempt that ended with `outcome`.

        A granted retry is counted in these attempts and in `budget`.
        """
        if _may_have_run(outcome):
            self.ran = errors.Ran.MAY_HAVE_RUN
        if now_ms + _MIN_REMAINING_MS > self.deadline_ms:
            return GiveUp("deadline")
        if isinstance(outcome, outcomes.Unreachable):
            return self._decide_unreachable()
        reason = self._non_retryable_reason(outcome) or self._limit_reason(
            budget, now_ms
        )
        if reason:
            return GiveUp(reason)
        self.retries += 1
        budget.take(now_ms)
        return Retry()

    def _decide_unreachable(self) -> Decision:
        self.unreachable += 1
        if self.unreachable > _MAX_UNREACHABLE:
            return GiveUp("unreachable")
        return Retry()

    def _non_retryable_reason(self, outcome: outcomes.Outcome) -> str:
        match outcome:
            case outcomes.Completed() | outcomes.Cancelled():
                return "ended"
            case outcomes.Rejected():
                return "rejected"
            case outcomes.Refused():
                return ""
            case _:
                harmless = self.idempotent or not _may_have_run(outcome)
                return "" if harmless else "may_have_run"

    def _limit_reason(self, budget: Budget, now_ms: float) -> str:
        if self.retries >= _MAX_RETRIES:
            return "retries"
        return "" if budget.allows(now_ms) else "budget"


def _may_have_run(outcome: outcomes.Outcome) -> bool:
    match outcome:
        case (
            outcomes.Broken(ran=ran)
            | outcomes.Malformed(ran=ran)
            | outcomes.TimedOut(ran=ran)
        ):
            return ran is errors.Ran.MAY_HAVE_RUN
        case _:
            return isinstance(outcome, outcomes.Completed | outcomes.Cancelled)
