"""Tests of the host list's client."""

import httpcore
import msgspec
import pytest
import trio

from lacewingwood.hostlist import client
from lacewingwood.hostlist import errors
from lacewingwood.hostlist import types
from standins import hostlist as standin
from tests.standins import serving


def _host(host_id: str, state: str = "live") -> types.Host:
    return types.Host(host_id, "127.0.0.1:1", "engine", "lm", "a", "r", state)


async def _put(address: str, host: types.Host) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        url = f"http://{address}/hosts/{host.id}"
        await pool.request("PUT", url, content=msgspec.json.encode(host))


async def _delete(address: str, host_id: str) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        await pool.request("DELETE", f"http://{address}/hosts/{host_id}")


async def test_changes_appear_after_the_lag(nursery: trio.Nursery) -> None:
    """Guards against a stand-in whose list never lags behind changes."""
    host_list = standin.HostList(lag_ms=0)
    address = await serving.start(nursery, host_list.handle)
    reader = client.HostListClient(f"http://{address}")
    await _put(address, _host("e1"))
    await _put(address, _host("e2"))
    assert await reader.fetch() == [_host("e1"), _host("e2")]
    host_list.lag_ms = 1e9
    await _put(address, _host("e1", "leaving"))
    await _delete(address, "e2")
    assert await reader.fetch() == [_host("e1"), _host("e2")]
    host_list.lag_ms = 0
    await _put(address, _host("e3"))
    assert await reader.fetch() == [_host("e1", "leaving"), _host("e3")]


@pytest.mark.parametrize(
    "response",
    [
        b"",
        b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n[]",
        b'HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n[{"a":1}',
    ],
)
async def test_malformed_response_raises_unavailable(
    nursery: trio.Nursery, response: bytes
) -> None:
    """Guards against taking a malformed response for an empty host list."""
    address = await serving.start_script(nursery, [response])
    with pytest.raises(errors.UnavailableError):
        await client.HostListClient(f"http://{address}").fetch()
