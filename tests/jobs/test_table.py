"""Tests of the table of one partition's jobs."""

import random

from lacewingwood.jobs import records
from lacewingwood.jobs import table as tables
from lacewingwood.log import compacted
from tests.jobs import fakes

KEY = "kaje/job"


def _result(item: int, output: bytes = b"out") -> records.Result:
    return records.Result(item, True, output)


def _contents(entry: tables.Entry) -> list[tuple[int, bool, bytes | None]]:
    return [(r.item, r.completed, r.output.value) for r in entry.results]


def test_job_exists_only_with_its_specification() -> None:
    """Guards against running a job whose submission is incomplete."""
    table = tables.Table()
    for record in fakes.submission_records(fakes.make_job())[:-1]:
        table.apply(record)
    assert table.get(KEY) is None


def test_snapshot_in_any_order_gives_the_same_positions() -> None:
    """Guards against positions that depend on the order of keys."""
    job_records = fakes.submission_records(fakes.make_job(items=12))
    for position, item in enumerate(reversed(range(12))):
        job_records += records.result_records(KEY, position, _result(item))
    for seed in range(20):
        shuffled = job_records.copy()
        random.Random(seed).shuffle(shuffled)
        table = tables.Table()
        table.load(shuffled)
        entry = table.get(KEY)
        assert entry is not None
        assert [r.item for r in entry.results] == list(reversed(range(12)))
        assert not entry.bodies


def test_position_keeps_its_first_result() -> None:
    """Guards against a result that changes after it was read."""
    table = tables.Table()
    table.load(fakes.submission_records(fakes.make_job()))
    table.apply(records.result_records(KEY, 0, _result(1, b"first"))[0])
    table.apply(records.result_records(KEY, 0, _result(2, b"second"))[0])
    entry = table.get(KEY)
    assert entry is not None
    assert _contents(entry) == [(1, True, b"first")]


def test_resubmission_changes_nothing() -> None:
    """Guards against a resubmission that moves the deadline or reruns items."""
    table = tables.Table()
    table.load(fakes.submission_records(fakes.make_job(submitted_ms=5)))
    for record in records.result_records(KEY, 0, _result(0)):
        table.apply(record)
    for record in fakes.submission_records(fakes.make_job(submitted_ms=9)):
        table.apply(record)
    entry = table.get(KEY)
    assert entry is not None
    assert entry.job is not None
    assert entry.job.submitted_ms == 5
    assert entry.unfinished_items() == [1, 2]
    assert 0 not in entry.bodies


def test_end_survives_a_resubmission() -> None:
    """Guards against running the items of an ended job again."""
    table = tables.Table()
    table.apply(records.end_record(KEY))
    table.load(fakes.submission_records(fakes.make_job()))
    entry = table.get(KEY)
    assert entry is not None
    assert not entry.open


def test_malformed_records_are_skipped() -> None:
    """Guards against a crash on records of another writer."""
    table = tables.Table()
    for key in ("j/a/b", "r/a/b/x", "b/a/b/1", "zzz", "r/", ""):
        table.apply(compacted.Record(key, b"\xff\xfe"))
    assert not list(table.entries())


def test_empty_body_is_kept() -> None:
    """Guards against an item that never runs because its body is empty."""
    submission = fakes.make_job(items=1)
    table = tables.Table()
    table.load(
        records.submission_records(KEY, submission.job, [b""]),
    )
    entry = table.get(KEY)
    assert entry is not None
    assert {n: body.value for n, body in entry.bodies.items()} == {0: b""}
