"""Tests of the weight store's client."""

import contextlib

import pytest
import trio

from lacewingwood.weights import client
from lacewingwood.weights import errors
from standins import weights as standin
from tests.standins import serving

_SIZE_BYTES = 200_000


async def _start(
    nursery: trio.Nursery, bytes_per_s: float = 1e12
) -> client.WeightsClient:
    store = standin.WeightStore({"m/1": _SIZE_BYTES}, bytes_per_s, downloads=1)
    address = await serving.start(nursery, store.handle)
    return client.WeightsClient(f"http://{address}")


async def test_download_is_complete_and_verified(nursery: trio.Nursery) -> None:
    """Guards against loading weights that are incomplete."""
    reader = await _start(nursery)
    size = sum([len(chunk) async for chunk in reader.download("m/1")])
    assert size == _SIZE_BYTES == (await reader.list_artifacts())["m/1"].size
    with pytest.raises(errors.NotFoundError):
        await anext(reader.download("m/2"))


async def test_second_download_is_refused_while_the_first_is_open(
    nursery: trio.Nursery,
) -> None:
    """Guards against treating the store's limit as a failure of the store."""
    reader = await _start(nursery, bytes_per_s=1e5)
    async with contextlib.aclosing(reader.download("m/1")) as first:
        await anext(first)
        with pytest.raises(errors.RateLimitedError) as info:
            await anext(reader.download("m/1"))
        assert info.value.retry_after_ms == 1000


@pytest.mark.parametrize(
    ("response", "error"),
    [
        (b"content-length: 2\r\nx-sha256: 00\r\n\r\nab", errors.CorruptError),
        (b"content-length: 9\r\n\r\nab", errors.UnavailableError),
    ],
)
async def test_corrupt_or_truncated_contents_raise(
    nursery: trio.Nursery, response: bytes, error: type[errors.WeightsError]
) -> None:
    """Guards against loading weights damaged or truncated in transit."""
    head = b"HTTP/1.1 200 OK\r\n"
    address = await serving.start_script(nursery, [head + response])
    reader = client.WeightsClient(f"http://{address}")
    with pytest.raises(error):
        async for _ in reader.download("m/1"):
            pass
