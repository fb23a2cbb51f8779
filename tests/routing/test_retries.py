"""Tests of the retry policy."""

import pytest

from lacewingwood import errors
from lacewingwood.routing import outcomes
from lacewingwood.routing import retries
from lacewingwood.upstreams import errors as upstream_errors

_NOT_RUN = errors.Ran.NOT_RUN
_MAY_HAVE_RUN = errors.Ran.MAY_HAVE_RUN


@pytest.mark.parametrize(
    ("exc", "idempotent", "expected"),
    [
        (upstream_errors.ConnectError("x"), False, retries.Retry()),
        (upstream_errors.RefusedError("x", 503, b""), False, retries.Retry()),
        (
            upstream_errors.RefusedError("x", 400, b""),
            True,
            retries.GiveUp("rejected"),
        ),
        (
            upstream_errors.BrokenError("x"),
            False,
            retries.GiveUp("may_have_run"),
        ),
        (upstream_errors.BrokenError("x"), True, retries.Retry()),
        (
            upstream_errors.InvalidResponseError("x"),
            False,
            retries.GiveUp("may_have_run"),
        ),
        (
            upstream_errors.TimeoutError("x", _MAY_HAVE_RUN),
            False,
            retries.GiveUp("may_have_run"),
        ),
        (upstream_errors.TimeoutError("x", _NOT_RUN), False, retries.Retry()),
    ],
)
def test_only_safe_attempts_are_retried(
    exc: upstream_errors.UpstreamError,
    idempotent: bool,
    expected: retries.Decision,
) -> None:
    """Guards against running a non-idempotent request twice."""
    attempts = retries.Attempts(idempotent, deadline_ms=10_000)
    outcome = outcomes.of_error(exc)
    assert attempts.after(outcome, retries.Budget(), 0) == expected


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_request_that_did_not_run_is_sent_elsewhere(status: int) -> None:
    """Guards against failing a request that another upstream would accept."""
    exc = upstream_errors.RefusedError("x", status, b"")
    attempts = retries.Attempts(False, deadline_ms=10_000)
    outcome = outcomes.of_error(exc)
    assert attempts.after(outcome, retries.Budget(), 0) == retries.Retry()
    assert attempts.ran is errors.Ran.NOT_RUN


def test_leaving_is_recognized_in_a_refusal() -> None:
    """Guards against further requests to a replica that is leaving."""
    body = b'{"error": {"code": "leaving"}}'
    exc = upstream_errors.RefusedError("x", 503, body)
    assert outcomes.of_error(exc) == outcomes.Refused(leaving=True)


def test_unreachable_replicas_do_not_use_the_budget() -> None:
    """Guards against a budget exhausted by connection failures."""
    budget = retries.Budget()
    failed = outcomes.Unreachable()
    for _ in range(20):
        attempts = retries.Attempts(False, deadline_ms=10_000)
        decisions = [attempts.after(failed, budget, 0) for _ in range(7)]
        assert decisions == [retries.Retry()] * 6 + [
            retries.GiveUp("unreachable")
        ]
        assert attempts.ran is errors.Ran.NOT_RUN
    assert budget.allows(0)


def test_retries_stop_at_limit_and_deadline() -> None:
    """Guards against retries after the caller has stopped waiting."""
    budget = retries.Budget()
    attempts = retries.Attempts(True, deadline_ms=1000)
    failed = outcomes.of_error(upstream_errors.BrokenError("x"))
    assert attempts.after(failed, budget, 0) == retries.Retry()
    late = attempts.after(failed, budget, 990)
    assert late == retries.GiveUp("deadline")
    assert attempts.after(failed, budget, 0) == retries.Retry()
    assert attempts.after(failed, budget, 0) == retries.GiveUp("retries")


def test_budget_holds_over_any_window() -> None:
    """Guards against retry storms when all upstreams fail."""
    budget = retries.Budget()
    granted = 0
    for i in range(2000):
        now_ms = i * 25.0
        budget.note_request(now_ms)
        if budget.allows(now_ms):
            budget.take(now_ms)
            granted += 1
    assert 150 <= granted <= 200 + 3
