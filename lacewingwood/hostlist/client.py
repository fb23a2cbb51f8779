"""HTTP client of the platform's host list."""

import httpcore
import msgspec

from lacewingwood.hostlist import errors
from lacewingwood.hostlist import types

_KEEPALIVE_S = 4.0
_TIMEOUTS_S = {"pool": 2.0, "connect": 1.0, "write": 2.0, "read": 2.0}


class HostListClient:
    """Fetches the platform's host list.

    Args:
        base_url: URL of the host list's service, without the path `/hosts`.
    """

    def __init__(self, base_url: str) -> None:
        self._url = base_url.rstrip("/") + "/hosts"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=2,
            keepalive_expiry=_KEEPALIVE_S,
            network_backend=httpcore.TrioBackend(),
        )

    async def fetch(self) -> list[types.Host]:
        """Returns all hosts.

        Raises:
            errors.UnavailableError: The request failed, a step of it took
                longer than its timeout of at most 2 s, or the response was
                malformed.
        """
        try:
            response = await self._pool.request(
                "GET", self._url, extensions={"timeout": _TIMEOUTS_S}
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as exc:
            raise errors.UnavailableError(
                f"{type(exc).__name__}: {exc}"
            ) from exc
        if response.status != 200:
            raise errors.UnavailableError(
                f"host list returned status {response.status}"
            )
        return _decode_hosts(response.content)

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()


def _decode_hosts(body: bytes) -> list[types.Host]:
    try:
        return msgspec.json.decode(body, type=list[types.Host])
    except msgspec.MsgspecError as exc:
        raise errors.UnavailableError(f"malformed host list: {exc}") from exc
