"""Tests of errors as callers receive them."""

import pytest

from lacewingwood import errors as base_errors
from lacewingwood.batch import errors as batch_errors
from lacewingwood.callers import errors
from lacewingwood.callers import files_api

_MAY_HAVE_RUN = base_errors.Ran.MAY_HAVE_RUN


@pytest.mark.parametrize("status", sorted(errors.NOT_RUN_STATUSES))
def test_status_agrees_with_what_is_known_of_the_run(status: int) -> None:
    """Guards against a status that promises what the body takes back."""
    refused = errors.CallerError(status, "c", "m", retry_after_ms=1_000)
    assert (refused.status, refused.retry_after_ms) == (status, 1_000)
    failed = refused.note_earlier_attempts(_MAY_HAVE_RUN)
    assert (failed.status, failed.retry_after_ms) == (502, None)
    failed = errors.CallerError(
        status, "c", "m", ran=_MAY_HAVE_RUN, retry_after_ms=1_000
    )
    assert (failed.status, failed.retry_after_ms) == (502, None)
    assert failed.ran is _MAY_HAVE_RUN


@pytest.mark.parametrize("status", [400, 401, 404, 409, 413, 500, 502, 504])
def test_other_statuses_stay(status: int) -> None:
    """Guards against a denial or a failure that is told as another one."""
    failed = errors.CallerError(status, "c", "m", ran=_MAY_HAVE_RUN)
    assert failed.status == status


def test_job_that_may_have_been_accepted_is_not_refused() -> None:
    """Guards against a 503 and Retry-After for a job that may run."""
    exc = files_api.caller_error(
        batch_errors.UnavailableError("no answer", _MAY_HAVE_RUN)
    )
    assert (exc.status, exc.ran, exc.retry_after_ms) == (
        502,
        _MAY_HAVE_RUN,
        None,
    )
