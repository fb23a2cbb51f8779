"""Client of the log service."""

import urllib.parse

import httpcore
import msgspec

from lacewingwood.log import errors
from lacewingwood.log import types

# Below the log's own keep-alive, so that requests rarely meet a connection
# that is just being closed.
_KEEPALIVE_S = 4.0
_CONNECT_TIMEOUT_S = 1.0
_ANSWER_TIMEOUT_S = 5.0
_APPEND_CONNECTIONS = 16
_READ_CONNECTIONS = 64


class _Appended(msgspec.Struct):
    offset: int


class _Expired(msgspec.Struct):
    first: int


class LogClient:
    """Appends to and reads streams of the log service.

    Reads have their own connections, so that long polls never hold up an
    append.
    """

    def __init__(
        self, base_url: str, answer_timeout_s: float = _ANSWER_TIMEOUT_S
    ) -> None:
        """Makes a client; nothing is connected yet.

        Args:
            base_url: Such as `http://127.0.0.1:7000`.
            answer_timeout_s: Time allowed for an answer, besides the wait of a
                long poll.
        """
        self._base_url = base_url.rstrip("/")
        self._answer_timeout_s = answer_timeout_s
        self._appends = _pool(_APPEND_CONNECTIONS)
        self._reads = _pool(_READ_CONNECTIONS)

    async def append(self, stream: str, data: bytes) -> int:
        """Appends a record and returns its offset in the stream.

        Raises:
            UnavailableError: No usable answer; the record may be on the log.
            RateLimitedError: The log takes no more for now; not appended.
            RecordTooLargeError: Not appended.
        """
        response = await self._request(
            self._appends, "POST", self._url(stream), data, 0
        )
        match response.status:
            case 200:
                return _decode_appended(response.content)
            case 413:
                raise errors.RecordTooLargeError(f"{len(data)} bytes")
            case 429:
                raise errors.RateLimitedError("the log takes no more appends")
        raise errors.UnavailableError(
            f"append answered with {response.status}",
            may_have_taken_effect=response.status != 503,
        )

    async def read(
        self, stream: str, start: int, limit: int = 1000, wait_ms: float = 0
    ) -> types.Page:
        """Returns the records from offset `start` on, at most `limit`.

        Args:
            stream: Name of the stream.
            start: First offset wanted.
            limit: Largest number of records.
            wait_ms: Time to wait for a record if there is none at `start`.

        Raises:
            UnavailableError: No usable answer.
            OffsetExpiredError: The log no longer keeps `start`.
        """
        query = f"?start={start}&limit={limit}&wait_ms={wait_ms:.0f}"
        response = await self._request(
            self._reads, "GET", self._url(stream) + query, b"", wait_ms
        )
        match response.status:
            case 200:
                return _decode_page(response.content)
            case 410:
                expired = _decode_expired(response.content)
                raise errors.OffsetExpiredError(
                    f"offset {start} of {stream} has expired", expired
                )
        raise errors.UnavailableError(
            f"read answered with {response.status}", False
        )

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._appends.aclose()
        await self._reads.aclose()

    def _url(self, stream: str) -> str:
        name = urllib.parse.quote(stream, safe="")
        return f"{self._base_url}/streams/{name}"

    async def _request(
        self,
        pool: httpcore.AsyncConnectionPool,
        method: str,
        url: str,
        body: bytes,
        wait_ms: float,
    ) -> httpcore.Response:
        answer_s = self._answer_timeout_s + wait_ms / 1000
        timeouts = {
            "pool": self._answer_timeout_s,
            "connect": _CONNECT_TIMEOUT_S,
            "write": self._answer_timeout_s,
            "read": answer_s,
        }
        try:
            return await pool.request(
                method, url, content=body, extensions={"timeout": timeouts}
            )
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            httpcore.PoolTimeout,
        ) as exc:
            raise errors.UnavailableError(_describe(exc), False) from exc
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as exc:
            raise errors.UnavailableError(
                _describe(exc), may_have_taken_effect=method == "POST"
            ) from exc


def _pool(connections: int) -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=connections,
        keepalive_expiry=_KEEPALIVE_S,
        network_backend=httpcore.TrioBackend(),
    )


def _describe(exc: Exception) -> str:
    return f"{type(exc).__name__}: {exc}"


def _decode_appended(body: bytes) -> int:
    try:
        return msgspec.json.decode(body, type=_Appended).offset
    except msgspec.MsgspecError as exc:
        raise errors.UnavailableError(f"bad answer: {exc}", True) from exc


def _decode_page(body: bytes) -> types.Page:
    try:
        return msgspec.msgpack.decode(body, type=types.Page)
    except msgspec.MsgspecError as exc:
        raise errors.UnavailableError(f"bad answer: {exc}", False) from exc


def _decode_expired(body: bytes) -> int:
    try:
        return msgspec.json.decode(body, type=_Expired).first
    except msgspec.MsgspecError as exc:
        raise errors.UnavailableError(f"bad answer: {exc}", False) from exc
