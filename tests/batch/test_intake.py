"""Uploads and job creation, with a log that fails."""

import contextlib
import hashlib

import hypothesis
import pytest
import trio
from hypothesis import strategies as st
from trio import testing as trio_testing

from lacewingwood import errors as base_errors
from lacewingwood.batch import errors
from lacewingwood.batch import files
from lacewingwood.batch import intake as intakes
from lacewingwood.state import errors as state_errors
from tests.batch import fakes

_ENDPOINT = "/v1/chat/completions"


class Fixture:
    """An intake that uses fakes."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.env = fakes.Environment(nursery)
        self.deps = fakes.Deps(self.env, "e1")
        self.intake = self.make(files.MAX_FILE_BYTES)

    def make(self, limit: int) -> intakes.Intake:
        return intakes.Intake(
            self.env.log,
            self.deps.follower,
            self.deps.clock,
            self.deps.wall_ms,
            limit,
        )

    async def store(self, data: bytes) -> files.File:
        return await self.intake.store_file(
            fakes.CUSTOMER, "in.jsonl", "batch", fakes.pieces(data, 300_000)
        )

    async def create(self, file_id: str, key: str = "") -> intakes.Status:
        return await self.intake.create_job(
            fakes.CUSTOMER, file_id, _ENDPOINT, "24h", idempotency_key=key
        )


@contextlib.asynccontextmanager
async def running_fixture():
    async with trio.open_nursery() as nursery:
        yield Fixture(nursery)


@hypothesis.given(
    data=st.lists(
        st.sampled_from(
            [b"x" * 400_000, b"a\n", b"\n", b" \n", b"\r\n", b"yy"]
        ),
        max_size=12,
    ),
    losses=st.lists(st.booleans(), max_size=6),
)
@hypothesis.settings(max_examples=40)
def test_file_survives_lost_answers(
    data: list[bytes], losses: list[bool]
) -> None:
    """Guards against retried chunks that appear in the file twice."""

    async def run() -> None:
        async with running_fixture() as fixture:
            left = list(losses)
            fixture.env.log.loses_answer = lambda: bool(left) and left.pop()
            content = b"".join(data)
            stored = await fixture.store(content)
            kept = files.FileStore(fixture.env.log, fixture.deps.clock)
            read = b"".join([p async for p in kept.read(stored.file_id)])
            assert read == content
            assert stored.sha256 == hashlib.sha256(content).hexdigest()
            expected = [
                (number, line)
                for number, line in enumerate(content.split(b"\n"), 1)
                if line.strip()
            ]
            assert stored.lines == len(expected)
            if all(len(line) <= files.MAX_LINE_BYTES for _, line in expected):
                numbered = kept.read_numbered(stored.file_id)
                assert [pair async for pair in numbered] == expected

    trio.run(run, clock=trio_testing.MockClock(autojump_threshold=0))


async def test_aborted_upload_leaves_no_file(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against a job that uses a partly uploaded file."""
    async with running_fixture() as fixture:

        async def broken():
            yield b"x" * files.CHUNK_BYTES
            raise ConnectionError

        with pytest.raises(ConnectionError):
            await fixture.intake.store_file(
                fakes.CUSTOMER, "f", "batch", broken()
            )
        (stream,) = fixture.env.log.streams
        with pytest.raises(errors.NotFoundError):
            await fixture.create(stream.removeprefix("file/"))
        with pytest.raises(errors.TooLargeError):
            await fixture.make(10).store_file(
                fakes.CUSTOMER, "f", "batch", fakes.pieces(b"x" * 11)
            )


_GOOD = fakes.line("a")


@pytest.mark.parametrize(
    ("bad", "word"),
    [
        (b"{not json}\n", "JSON"),
        (b"\xff\xfe\n", "line 4"),
        (fakes.line("a"), "used twice"),
        (fakes.line(""), "custom_id"),
        (fakes.line("b").replace(b"POST", b"GET"), "method"),
        (fakes.line("b").replace(b"/v1/chat", b"/v2/chat"), "url"),
        (fakes.line("b", model="other"), "model"),
        (fakes.line("b", model=7), "model"),
        (b'{"custom_id": "b", "method": "POST"}\n', "url"),
    ],
)
async def test_invalid_line_rejects_the_job(bad: bytes, word: str) -> None:
    """Guards against a job that runs only the lines before an invalid one."""
    async with running_fixture() as fixture:
        stored = await fixture.store(_GOOD + b"\n\n" + bad + fakes.line("z"))
        with pytest.raises(errors.InvalidError) as caught:
            await fixture.create(stored.file_id)
        assert caught.value.line == 4
        assert "line 4" in caught.value.message
        assert word in caught.value.message
        assert not fixture.env.control.jobs


async def test_resent_job_is_found() -> None:
    """Guards against a resent job that runs twice.

    Also guards against access to the files and jobs of another customer.
    """
    async with running_fixture() as fixture:
        stored = await fixture.store(_GOOD)
        first = await fixture.create(stored.file_id, "k1")
        again = await fixture.create(stored.file_id, "k1")
        assert again.job == first.job
        assert len(fixture.env.control.jobs) == 1
        other = await fixture.store(_GOOD)
        with pytest.raises(errors.ConflictError):
            await fixture.create(other.file_id, "k1")
        assert (await fixture.create(other.file_id)).job != first.job
        listed, more = await fixture.intake.list(fakes.CUSTOMER, limit=1)
        assert len(listed) == 1
        assert more
        rest, more = await fixture.intake.list(
            fakes.CUSTOMER, listed[0].job.job_id
        )
        assert len(rest) == 1
        assert not more
        job_id = first.job.job_id
        for attempt in (
            fixture.intake.get("another", job_id),
            fixture.intake.cancel("another", job_id),
            fixture.intake.file_info("another", stored.file_id),
            fixture.intake.file_content(
                "another", intakes.output_file_id(job_id)
            ),
            fixture.intake.create_job(
                "another", stored.file_id, _ENDPOINT, "1h"
            ),
        ):
            with pytest.raises(errors.NotFoundError):
                await attempt


async def test_errors_during_outage_state_whether_job_may_run(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against `not_run` for a job that may have been accepted."""
    async with running_fixture() as fixture:
        stored = await fixture.store(_GOOD)
        fixture.env.log.down = True
        for attempt in (fixture.store(_GOOD), fixture.create(stored.file_id)):
            with pytest.raises(errors.UnavailableError) as caught:
                await attempt
            assert caught.value.ran is base_errors.Ran.NOT_RUN
        fixture.env.log.down = False
        for may_have in (True, False):
            error = state_errors.UnavailableError("lost", may_have)
            fixture.deps.follower.error = error
            with pytest.raises(errors.UnavailableError) as caught:
                await fixture.create(stored.file_id)
            not_run = caught.value.ran is base_errors.Ran.NOT_RUN
            assert not_run != may_have
        fixture.deps.follower.is_fresh = False
        with pytest.raises(errors.UnavailableError):
            await fixture.create(stored.file_id)
