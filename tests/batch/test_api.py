"""Compatibility of files and batches with the unmodified `openai` client."""

import contextlib
import json
from typing import Any

import hypothesis
import openai
import pytest
import trio
from hypothesis import strategies as st

from lacewingwood.batch import intake as intakes
from lacewingwood.batch import worker as workers
from lacewingwood.callers import app as apps
from lacewingwood.callers import batch_api
from lacewingwood.callers import errors
from lacewingwood.callers import files_api
from lacewingwood.callers import http
from lacewingwood.callers import server
from lacewingwood.clock import MonotonicClock
from tests.batch import fakes
from tests.callers import fakes as caller_fakes


@contextlib.asynccontextmanager
async def _client():
    """Yields a client of a server with one worker and one fake engine."""
    world = caller_fakes.World()
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        batch = fakes.Environment(nursery)
        deps = fakes.Deps(batch, "w1")
        deps.clock = MonotonicClock()
        world.deps.batch_intake = intakes.Intake(
            batch.log, deps.follower, deps.clock, deps.wall_ms, 1 << 20
        )
        world.deps.batch_handlers = {
            "/v1/files": files_api.handle,
            "/v1/batches": batch_api.handle,
        }
        nursery.start_soon(workers.Worker(deps).run)

        async def serve(
            task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
        ) -> None:
            app = apps.make_app(world.deps)
            await server.serve(
                app, "127.0.0.1", 0, shutdown, 0, task_status=task_status
            )

        port = await nursery.start(serve)
        client = openai.AsyncOpenAI(
            api_key=caller_fakes.SECRET,
            base_url=f"http://127.0.0.1:{port}/v1",
            max_retries=0,
        )
        async with client:
            yield client, batch
        nursery.cancel_scope.cancel()


async def test_batch_from_upload_to_output() -> None:
    """Guards against responses without the fields that the client reads."""
    lines = b"".join(fakes.line(f"q{n}") for n in range(5))
    lines += fakes.line("bad", refuse=True)
    async with _client() as (client, batch):
        stored = await client.files.create(
            file=("in.jsonl", lines), purpose="batch"
        )
        assert (stored.bytes, stored.filename) == (len(lines), "in.jsonl")
        content = await client.files.content(stored.id)
        assert content.content == lines
        made = await client.batches.create(
            input_file_id=stored.id,
            endpoint="/v1/chat/completions",
            completion_window="24h",
            metadata={"office": "tanta"},
        )
        assert (made.status, made.metadata) == (
            "in_progress",
            {"office": "tanta"},
        )
        with trio.fail_after(20):
            while batch.control.jobs[made.id].status != "finished":
                await batch.control.changed.wait()
        done = await client.batches.retrieve(made.id)
        assert done.status == "completed"
        assert done.request_counts is not None
        assert done.request_counts.completed == 5
        output = await client.files.content(done.output_file_id or "")
        found = [json.loads(line) for line in output.text.splitlines()]
        assert {item["custom_id"] for item in found} == {
            f"q{n}" for n in range(5)
        }
        failures = await client.files.content(done.error_file_id or "")
        assert json.loads(failures.text)["custom_id"] == "bad"
        assert [b.id async for b in client.batches.list()] == [made.id]


async def test_errors_raise_the_clients_exceptions() -> None:
    """Guards against errors that callers cannot tell apart."""
    async with _client() as (client, batch):
        with pytest.raises(openai.BadRequestError):
            await client.files.create(file=("f", b"x"), purpose="fine-tune")
        with pytest.raises(openai.APIStatusError) as large:
            await client.files.create(
                file=("f", bytes(3 << 20)), purpose="batch"
            )
        assert large.value.status_code == 413
        with pytest.raises(openai.NotFoundError):
            await client.files.content("file-output-none")
        stored = await client.files.create(file=("f", b"{}"), purpose="batch")
        with pytest.raises(openai.BadRequestError) as bad:
            await client.batches.create(
                input_file_id=stored.id,
                endpoint="/v1/chat/completions",
                completion_window="24h",
            )
        assert "line 1" in bad.value.message
        batch.log.down = True
        with pytest.raises(openai.InternalServerError) as down:
            await client.files.content(stored.id)
        assert down.value.status_code == 503
        assert down.value.body["ran"] == "not_run"  # type: ignore[index]


def _request(body: bytes, size: int) -> http.Request:
    pieces = [body[i : i + size] for i in range(0, len(body), size)] or [b""]
    left: list[dict[str, Any]] = [
        {"type": "http.request", "body": piece, "more_body": True}
        for piece in pieces
    ]
    left[-1]["more_body"] = False
    kind = b'multipart/form-data; boundary="b-1"'
    scope = {
        "method": "POST",
        "path": "/v1/files",
        "headers": [(b"content-type", kind)],
    }

    async def receive() -> dict[str, Any]:
        return left.pop(0)

    async def send(message: dict[str, Any]) -> None:
        raise AssertionError(message)

    return http.Request(scope, receive, send, "r")


def _form(content: bytes, purpose_first: bool) -> bytes:
    purpose = (
        b'--b-1\r\nContent-Disposition: form-data; name="purpose"\r\n\r\n'
        b"batch\r\n"
    )
    file = (
        b'--b-1\r\nContent-Disposition: form-data; name="file"; '
        b'filename="a b.jsonl"\r\nContent-Type: text/plain\r\n\r\n'
        + content
        + b"\r\n"
    )
    parts = [purpose, file] if purpose_first else [file, purpose]
    return b"".join(parts) + b"--b-1--\r\n"


@hypothesis.given(
    content=st.lists(
        st.sampled_from([b"\r\n", b"--b-1", b"--", b"\r\n--b-", b"x", b"\n"]),
        max_size=8,
    ).map(b"".join),
    size=st.integers(1, 40),
    purpose_first=st.booleans(),
    cut=st.integers(0, 30),
)
def test_form_is_read_in_pieces_of_any_size(
    content: bytes, size: int, purpose_first: bool, cut: int
) -> None:
    """Guards against content changed or truncated where body pieces meet."""
    hypothesis.assume(b"\r\n--b-1" not in b"\r\n" + content)
    whole = _form(content, purpose_first)

    async def read(body: bytes) -> tuple[str, bytes]:
        form = files_api._FormReader(_request(body, size), b"b-1", 10_000)
        name = await form.find_file()
        return name, b"".join([p async for p in form.read_file()])

    assert trio.run(read, whole) == ("a b.jsonl", content)
    if cut > 4:
        with pytest.raises(errors.CallerError):
            trio.run(read, whole[:-cut])
