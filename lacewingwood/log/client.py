"""Client of the log service."""

import urllib.parse

import httpcore
import msgspec

from lacewingwood.log import errors
from lacewingwood.log import types

# Less than the keep-alive timeout of the log service, so that requests rarely
# use a connection that the service is closing.
_KEEPALIVE_TIMEOUT_S = 4.0
_CONNECT_TIMEOUT_S = 1.0
_ANSWER_TIMEOUT_S = 5.0
_APPEND_CONNECTIONS = 16
_READ_CONNECTIONS = 64


class _Appended(msgspec.Struct):
    offset: int


class _Expired(msgspec.Struct):
    first: int


class LogClient:
    """Appends records to streams of the log service and reads them.

    Reads use connections of their own, so that long polls never delay an
    append.
    """

    def __init__(
        self, base_url: str, answer_timeout_s: float = _ANSWER_TIMEOUT_S
    ) -> None:
        """Creates a client; it connects with the first request.

        Args:
            base_url: URL of the service, such as `http://127.0.0.1:7000`.
            answer_timeout_s: Time allowed for an answer, in addition to the
                `wait_ms` of a long poll.
        """
        self._base_url = base_url.rstrip("/")
        self._answer_timeout_s = answer_timeout_s
        self._append_pool = _make_pool(_APPEND_CONNECTIONS)
        self._read_pool = _make_pool(_READ_CONNECTIONS)

    async def append(self, stream: str, data: bytes) -> int:
        """Appends a record and returns its offset in the stream.

        Raises:
            UnavailableError: The log gave no usable answer; it may have stored
                the record.
            RateLimitedError: The log accepts no more appends for now; nothing
                was appended.
            RecordTooLargeError: The record exceeds the size limit; nothing was
                appended.
        """
        response = await self._request(
            self._append_pool, "POST", self._url(stream), data, 0
        )
        match response.status:
            case 200:
                return _decode_appended(response.content)
            case 413:
                raise errors.RecordTooLargeError(
                    f"record of {len(data)} bytes exceeds the log's limit"
                )
            case 429:
                raise errors.RateLimitedError(
                    "the log accepts no more appends for now"
                )
        raise errors.UnavailableError(
            f"append failed with HTTP status {response.status}",
            may_have_taken_effect=response.status != 503,
        )

    async def read(
        self, stream: str, start: int, limit: int = 1000, wait_ms: float = 0
    ) -> types.Page:
        """Returns the records from offset `start` on, at most `limit`.

        Args:
            stream: Name of the stream.
            start: Offset of the first record to return.
            limit: Largest number of records to return.
            wait_ms: How long the log waits for a record if there is none at
                `start` yet.

        Raises:
            UnavailableError: The log gave no usable answer.
            OffsetExpiredError: The log no longer keeps the record at `start`.
        """
        query = f"?start={start}&limit={limit}&wait_ms={wait_ms:.0f}"
        response = await self._request(
            self._read_pool, "GET", self._url(stream) + query, b"", wait_ms
        )
        match response.status:
            case 200:
                return _decode_page(response.content)
            case 410:
                first = _decode_expired(response.content)
                raise errors.OffsetExpiredError(
                    f"offset {start} of {stream} has expired", first
                )
        raise errors.UnavailableError(
            f"read failed with HTTP status {response.status}", False
        )

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._append_pool.aclose()
        await self._read_pool.aclose()

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


def _make_pool(connections: int) -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=connections,
        keepalive_expiry=_KEEPALIVE_TIMEOUT_S,
        network_backend=httpcore.TrioBackend(),
    )


def _describe(exc: Exception) -> str:
    return f"{type(exc).__name__}: {exc}"


def _decode_appended(body: bytes) -> int:
    """Returns the offset of the appended record."""
    try:
        return msgspec.json.decode(body, type=_Appended).offset
    except msgspec.MsgspecError as exc:
        raise errors.UnavailableError(
            f"invalid response from the log: {exc}", True
        ) from exc


def _decode_page(body: bytes) -> types.Page:
    try:
        return msgspec.msgpack.decode(body, type=types.Page)
    except msgspec.MsgspecError as exc:
        raise errors.UnavailableError(
            f"invalid response from the log: {exc}", False
        ) from exc


def _decode_expired(body: bytes) -> int:
    """Returns the earliest offset that the log still keeps."""
    try:
        return msgspec.json.decode(body, type=_Expired).first
    except msgspec.MsgspecError as exc:
        raise errors.UnavailableError(
            f"invalid response from the log: {exc}", False
        ) from exc
