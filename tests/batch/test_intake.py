"""Files and jobs as callers see them, with a log that fails."""

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


class Scene:
    """An intake over fakes."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.world = fakes.World(nursery)
        self.deps = fakes.Deps(self.world, "e1")
        self.intake = self.make(files.MAX_FILE_BYTES)

    def make(self, limit: int) -> intakes.Intake:
        return intakes.Intake(
            self.world.log,
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
async def scene():
    async with trio.open_nursery() as nursery:
        yield Scene(nursery)


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
    """Guards against repeated chunks that end up in the file twice."""

    async def run() -> None:
        async with scene() as here:
            left = list(losses)
            here.world.log.lose = lambda: bool(left) and left.pop()
            content = b"".join(data)
            stored = await here.store(content)
            kept = files.FileStore(here.world.log, here.deps.clock)
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


async def test_upload_that_breaks_off_leaves_no_file(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against half a file that can be used for a job."""
    async with scene() as here:

        async def broken():
            yield b"x" * files.CHUNK_BYTES
            raise ConnectionError

        with pytest.raises(ConnectionError):
            await here.intake.store_file(fakes.CUSTOMER, "f", "batch", broken())
        (stream,) = here.world.log.streams
        with pytest.raises(errors.NotFoundError):
            await here.create(stream.removeprefix("file/"))
        with pytest.raises(errors.TooLargeError):
            await here.make(10).store_file(
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
async def test_bad_line_is_named_and_nothing_runs(
    bad: bytes, word: str
) -> None:
    """Guards against a job of which only the lines before a bad one run."""
    async with scene() as here:
        stored = await here.store(_GOOD + b"\n\n" + bad + fakes.line("z"))
        with pytest.raises(errors.InvalidError) as caught:
            await here.create(stored.file_id)
        assert caught.value.line == 4
        assert "line 4" in caught.value.message
        assert word in caught.value.message
        assert not here.world.control.jobs


async def test_resent_job_is_found_and_others_are_not() -> None:
    """Guards against a resend that runs twice, and against mixed customers."""
    async with scene() as here:
        stored = await here.store(_GOOD)
        first = await here.create(stored.file_id, "k1")
        again = await here.create(stored.file_id, "k1")
        assert again.job == first.job
        assert len(here.world.control.jobs) == 1
        other = await here.store(_GOOD)
        with pytest.raises(errors.ConflictError):
            await here.create(other.file_id, "k1")
        assert (await here.create(other.file_id)).job != first.job
        listed, more = await here.intake.list(fakes.CUSTOMER, limit=1)
        assert len(listed) == 1
        assert more
        rest, more = await here.intake.list(
            fakes.CUSTOMER, listed[0].job.job_id
        )
        assert len(rest) == 1
        assert not more
        job_id = first.job.job_id
        for attempt in (
            here.intake.get("another", job_id),
            here.intake.cancel("another", job_id),
            here.intake.file_info("another", stored.file_id),
            here.intake.file_content("another", intakes.output_file_id(job_id)),
            here.intake.create_job("another", stored.file_id, _ENDPOINT, "1h"),
        ):
            with pytest.raises(errors.NotFoundError):
                await attempt


async def test_refusals_during_an_outage_are_true(
    autojump_clock: trio_testing.MockClock,
) -> None:
    """Guards against `not_run` for a job that may be accepted all the same."""
    async with scene() as here:
        stored = await here.store(_GOOD)
        here.world.log.down = True
        for attempt in (here.store(_GOOD), here.create(stored.file_id)):
            with pytest.raises(errors.UnavailableError) as caught:
                await attempt
            assert caught.value.ran is base_errors.Ran.NOT_RUN
        here.world.log.down = False
        for may_have in (True, False):
            error = state_errors.UnavailableError("lost", may_have)
            here.deps.follower.error = error
            with pytest.raises(errors.UnavailableError) as caught:
                await here.create(stored.file_id)
            not_run = caught.value.ran is base_errors.Ran.NOT_RUN
            assert not_run != may_have
        here.deps.follower.is_fresh = False
        with pytest.raises(errors.UnavailableError):
            await here.create(stored.file_id)
