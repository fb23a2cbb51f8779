"""Tests that each check of the soak reports violations."""

from typing import Any

import pytest

from soak import checks

EVENTS = 3


def _sent(**changes: Any) -> checks.SentRequest:
    fields = {
        "request_id": "r",
        "path": "/s/x",
        "status": 200,
        "body": checks.complete_stream("r", EVENTS),
        "complete": True,
        **changes,
    }
    return checks.SentRequest(**fields)


def _run(request_id: str = "r", **changes: Any) -> dict[str, Any]:
    return {
        "request_id": request_id,
        "customer": "kaje",
        "key_seen": False,
        **changes,
    }


def _names(broken: list[str]) -> set[str]:
    return {text.split()[0] for text in broken}


def test_correct_history_breaks_nothing() -> None:
    """Guards against checks that report violations where there are none."""
    sent = _sent()
    assert not checks.check_answer(sent, EVENTS)
    assert not checks.check_runs([sent], [_run()])
    assert not checks.check_answer(_sent(complete=False, body=b"id"), EVENTS)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        checks.complete_stream("other", EVENTS),
        checks.complete_stream("r", EVENTS - 1),
        checks.complete_stream("r", EVENTS) + b"x",
    ],
)
def test_wrong_body_is_noticed(body: bytes) -> None:
    """Guards against a check of answers that reports no violation."""
    assert _names(checks.check_answer(_sent(body=body), EVENTS)) == {"MIXED"}


@pytest.mark.parametrize(
    ("sent", "runs", "name"),
    [
        (_sent(status=503), [_run()], "REFUSED"),
        (_sent(status=429), [_run()], "REFUSED"),
        (_sent(status=401), [_run()], "ROUTE"),
        (_sent(path="/o/x"), [_run(), _run()], "TWICE"),
        (_sent(), [_run(), _run(), _run()], "BUDGET"),
        (_sent(), [_run(customer="other")], "UNASKED"),
        (_sent(), [_run(key_seen=True)], "UNASKED"),
    ],
)
def test_wrong_runs_are_noticed(
    sent: checks.SentRequest, runs: list[dict[str, Any]], name: str
) -> None:
    """Guards against checks of runs that report no violation."""
    assert _names(checks.check_runs([sent], runs)) == {name}


def _job() -> checks.JobRecord:
    return checks.JobRecord("j", ["a", "b"], accepted=True, refused=False)


def _result(item: str, text: str | None = None) -> dict[str, str]:
    full_output = "\n".join(f"{item} {n}" for n in range(1, EVENTS + 1))
    output = full_output if text is None else text
    return {"id": item, "state": "completed", "output": output}


def test_changed_positions_and_texts_are_noticed() -> None:
    """Guards against checks of results that report no violation."""
    job = _job()
    assert not checks.check_read(job, 0, [_result("a")], EVENTS)
    assert _names(checks.check_read(job, 0, [_result("b")], EVENTS)) == {
        "TWICE"
    }
    assert _names(checks.check_read(job, 1, [_result("a")], EVENTS)) == {
        "TWICE"
    }
    cut = _result("b", "b 1\nb 3")
    assert _names(checks.check_read(_job(), 0, [cut], EVENTS)) == {"ORDER"}


def test_lost_and_refused_jobs_are_noticed() -> None:
    """Guards against checks of jobs that report no violation."""
    assert _names(checks.check_jobs([_job()], [])) == {"LOST"}
    refused = checks.JobRecord("j", ["a"])
    assert _names(checks.check_jobs([refused], [_run("a")])) == {"REFUSED"}
    assert not checks.check_jobs([refused], [])


def test_more_than_the_agreed_rate_is_noticed() -> None:
    """Guards against a check of rates that reports no violation."""
    runs = [_run(f"r{n}", at=n * 0.4) for n in range(20)]
    again = [_run("r0", at=0.1)]
    assert not checks.check_rate(runs + again, "kaje", 13)
    assert _names(checks.check_rate(runs, "kaje", 12)) == {"QUOTA"}
    assert not checks.check_rate(runs, "other", 0)


def test_items_given_up_without_failures_are_found() -> None:
    """Guards against a soak that takes items that were given up for done."""
    job = _job()
    job.results_by_position = {0: ("a", "dead_letter", "")}
    assert _names(checks.check_given_up([job], 2)) == {"MIXED:"}
    assert not checks.check_given_up([job], 3)
