"""Client of the host list."""

import httpcore
import msgspec

from lacewingwood.hostlist import errors
from lacewingwood.hostlist import types

_KEEPALIVE_S = 4.0
_TIMEOUTS = {"pool": 2.0, "connect": 1.0, "write": 2.0, "read": 2.0}


class HostListClient:
    """Reads the platform's list of hosts."""

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
            UnavailableError: No usable answer within 2 s.
        """
        try:
            response = await self._pool.request(
                "GET", self._url, extensions={"timeout": _TIMEOUTS}
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
            raise errors.UnavailableError(f"answered with {response.status}")
        return _decode(response.content)

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()


def _decode(body: bytes) -> list[types.Host]:
    try:
        return msgspec.json.decode(body, type=list[types.Host])
    except msgspec.MsgspecError as exc:
        raise errors.UnavailableError(f"bad answer: {exc}") from exc
