"""Tests that the `openai` package works with the callers' interface."""

import contextlib
from collections.abc import AsyncIterator

import openai
import pytest

from lacewingwood.limits import limiter
from tests.callers import fakes

_MESSAGES = [{"role": "user", "content": "Is stall 12 permitted?"}]


@contextlib.asynccontextmanager
async def _client(
    world: fakes.World, key: str = fakes.SECRET
) -> AsyncIterator[openai.AsyncOpenAI]:
    async with world.serve() as served:
        client = openai.AsyncOpenAI(
            api_key=key,
            base_url=f"http://127.0.0.1:{served.port}/v1",
            max_retries=0,
        )
        async with client:
            yield client


async def test_stream_contains_all_text() -> None:
    """Guards against stream framing that the client can't parse."""
    async with _client(fakes.World()) as client:
        stream = await client.chat.completions.create(
            model="sabeel", messages=_MESSAGES, stream=True
        )
        parts = [c.choices[0].delta.content async for c in stream]
    assert "".join(part or "" for part in parts) == "Hello there"


async def test_completion_and_model_list() -> None:
    """Guards against responses that lack fields which the client reads."""
    async with _client(fakes.World()) as client:
        completion = await client.chat.completions.create(
            model="sabeel", messages=_MESSAGES
        )
        models = [model.id async for model in client.models.list()]
    assert completion.choices[0].message.content == "Hello there"
    assert models == ["sabeel"]


async def test_errors_are_mapped_to_exception_classes() -> None:
    """Guards against errors that callers can't distinguish."""
    world = fakes.World()
    async with _client(world, key="sk-wrong") as client:
        with pytest.raises(openai.AuthenticationError) as denied:
            await client.models.list()
    assert denied.value.code == "invalid_api_key"
    async with _client(world) as client:
        with pytest.raises(openai.NotFoundError) as missing:
            await client.chat.completions.create(
                model="other", messages=_MESSAGES
            )
        assert missing.value.code == "model_not_found"
        world.limiter.decision = limiter.Refused(retry_after_ms=1500)
        with pytest.raises(openai.RateLimitError) as limited:
            await client.chat.completions.create(
                model="sabeel", messages=_MESSAGES
            )
    assert limited.value.response.headers["retry-after"] == "2"
    assert limited.value.body["ran"] == "not_run"
