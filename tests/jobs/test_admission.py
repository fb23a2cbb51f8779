"""Tests of the limit of a customer's waiting tokens.

Each item of the fake jobs has 100 tokens, and each job three items.
"""

import msgspec
import pytest
import trio

from lacewingwood import configuration
from lacewingwood.jobs import admission
from lacewingwood.jobs import errors
from lacewingwood.jobs import owner as owners
from lacewingwood.jobs import records
from tests.jobs import fakes
from tests.jobs import test_owner

_LIMIT = 1_000


def _find_route(host: str, path: str) -> configuration.Route | None:
    """Returns a route by the first part of the path."""
    name = path.split("/")[1]
    return configuration.Route(
        name, host, f"/{name}/", configuration.RouteKind.BATCH, ()
    )


async def _admit_at(
    owner: owners.Owner, submission: records.Submission
) -> None:
    batches = [fakes.submission_records(submission)]
    await owner.admit(submission.job, batches, _LIMIT, _find_route)


async def _admit_from_snapshot(
    log: fakes.MemoryLog,
    submission: records.Submission,
    batch_size: int = 100,
) -> None:
    written = fakes.submission_records(submission)
    batches = [
        written[n : n + batch_size] for n in range(0, len(written), batch_size)
    ]
    view = admission.SnapshotView(log, fakes.PARTITION)
    await admission.Admission(
        log,
        fakes.PARTITION,
        view,
        submission.job,
        batches,
        _LIMIT,
        _find_route,
    ).run()


def _waiting(log: fakes.MemoryLog) -> int:
    """Returns the waiting tokens of the customer, by what is on the log."""
    table = test_owner.read_table(log)
    job = fakes.make_job().job
    return admission.waiting_tokens(table.entries(), job, _find_route)


async def test_gateways_that_accept_at_once_keep_the_limit() -> None:
    """Guards against a sum over the limit when each gateway sees room.

    An owner and four gateways that count from snapshots accept jobs at the same
    moment. All jobs that fit are accepted.
    """
    log = fakes.MemoryLog()
    accepted: list[str] = []

    async def submit(job_id: str, owner: owners.Owner | None) -> None:
        submission = fakes.make_job(job_id)
        try:
            if owner is not None:
                await _admit_at(owner, submission)
            else:
                await _admit_from_snapshot(log, submission)
        except errors.OverLimitError:
            return
        accepted.append(job_id)

    async with trio.open_nursery() as nursery:
        owner = test_owner.make_owner(log, fakes.FakeScheduler())
        await test_owner.start(nursery, owner)
        async with trio.open_nursery() as submitters:
            for n in range(10):
                at = owner if n % 2 else None
                submitters.start_soon(submit, f"job-{n}", at)
        nursery.cancel_scope.cancel()
    assert len(accepted) == 3
    assert _waiting(log) == 900


async def test_finished_and_ended_items_make_room() -> None:
    """Guards against refusing a job that fits."""
    log, scheduler = fakes.MemoryLog(), fakes.FakeScheduler()
    async with trio.open_nursery() as nursery:
        owner = test_owner.make_owner(log, scheduler)
        await test_owner.start(nursery, owner)
        for n in range(3):
            await _admit_at(owner, fakes.make_job(f"job-{n}"))
        with pytest.raises(errors.OverLimitError):
            await _admit_at(owner, fakes.make_job("job-3"))
        await test_owner.until(lambda: len(scheduler.tasks) == 9)
        for task in list(scheduler.tasks)[:2]:
            scheduler.complete(task, b"x")
        await test_owner.until(lambda: _waiting(log) == 700)
        await _admit_at(owner, fakes.make_job("job-3"))
        await owner.end("kaje/job-2")
        await _admit_at(owner, fakes.make_job("job-4"))
        nursery.cancel_scope.cancel()
    assert _waiting(log) == 1_000


async def test_resent_job_is_accepted_although_it_fills_the_limit() -> None:
    """Guards against a refusal of a job that has been accepted."""
    log = fakes.MemoryLog()
    full = fakes.make_job(items=10)
    await _admit_from_snapshot(log, full)
    await _admit_from_snapshot(log, full)
    async with trio.open_nursery() as nursery:
        owner = test_owner.make_owner(log, fakes.FakeScheduler())
        await test_owner.start(nursery, owner)
        await _admit_at(owner, full)
        nursery.cancel_scope.cancel()
    assert _waiting(log) == 1_000


async def test_owner_that_was_frozen_counts_what_others_accepted() -> None:
    """Guards against a count from before a freeze."""
    log = fakes.MemoryLog()
    async with trio.open_nursery() as nursery:
        owner = test_owner.make_owner(log, fakes.FakeScheduler())
        await test_owner.start(nursery, owner)
        for n in range(3):
            await _admit_from_snapshot(log, fakes.make_job(f"job-{n}"))
        with pytest.raises(errors.OverLimitError):
            await _admit_at(owner, fakes.make_job("late"))
        nursery.cancel_scope.cancel()
    assert _waiting(log) == 900


async def test_lost_and_late_answers_of_the_log_change_no_count() -> None:
    """Guards against a job that is counted twice or refused after its append.

    The log executes an append without answering, or seconds later.
    """
    log = fakes.MemoryLog()
    log.lost_answers = 1
    await _admit_from_snapshot(log, fakes.make_job("lost"))
    log.delayed_appends = 1
    await _admit_from_snapshot(log, fakes.make_job("delayed"))
    log.execute_delayed()
    assert _waiting(log) == 600
    log.silent_appends = 1
    with trio.move_on_after(0.05):
        await _admit_from_snapshot(log, fakes.make_job("silent"))
    await _admit_from_snapshot(log, fakes.make_job("silent"))
    assert _waiting(log) == 900


async def test_other_routes_and_customers_are_counted_apart() -> None:
    """Guards against one customer's jobs filling the limit of another."""
    log = fakes.MemoryLog()
    for n in range(3):
        await _admit_from_snapshot(log, fakes.make_job(f"job-{n}"))
    other = fakes.make_job("other")
    renamed = msgspec.structs.replace(other.job, customer="mora")
    await _admit_from_snapshot(log, records.Submission(renamed, other.bodies))
    moved = msgspec.structs.replace(other.job, path="/q/")
    await _admit_from_snapshot(log, records.Submission(moved, other.bodies))
    with pytest.raises(errors.OverLimitError):
        await _admit_from_snapshot(log, fakes.make_job("job-3"))


async def test_refused_job_leaves_no_bodies() -> None:
    """Guards against bodies that stay on the log after a refusal.

    Another gateway accepts a job after this one has written the bodies.
    """
    log = fakes.MemoryLog()
    await _admit_from_snapshot(log, fakes.make_job("job-0", items=7))
    append = log.append

    async def append_after_another(*args: object, **kwargs: object) -> None:
        log.append = append  # type: ignore[method-assign]
        await append(*args, **kwargs)  # type: ignore[arg-type]
        await _admit_from_snapshot(log, fakes.make_job("job-1"))

    log.append = append_after_another  # type: ignore[method-assign]
    with pytest.raises(errors.OverLimitError):
        await _admit_from_snapshot(log, fakes.make_job("job-2"), batch_size=2)
    part = log.core.partition(fakes.PARTITION.topic, fakes.PARTITION.number)
    assert not [key for key in part.newest if "job-2" in key]


async def test_owner_without_the_route_counts_no_tokens() -> None:
    """Guards against refusing a job at an owner without a configuration.

    It would count the tokens of all of the customer's routes.
    """
    async with trio.open_nursery() as nursery:
        owner = test_owner.make_owner(fakes.MemoryLog(), fakes.FakeScheduler())
        await test_owner.start(nursery, owner)
        submission = fakes.make_job()
        batches = [fakes.submission_records(submission)]
        with pytest.raises(errors.UnavailableError):
            await owner.admit(
                submission.job, batches, _LIMIT, lambda host, path: None
            )
        nursery.cancel_scope.cancel()
