"""Client of the weight store."""

import contextlib
import hashlib
import urllib.parse
from collections.abc import AsyncIterator
from collections.abc import Iterator

import httpcore
import msgspec

from lacewingwood.weights import errors

_KEEPALIVE_S = 4.0
_DEFAULT_RETRY_AFTER_MS = 1000.0
_TIMEOUTS = {"pool": 60.0, "connect": 1.0, "write": 5.0, "read": 30.0}


class Artifact(msgspec.Struct, frozen=True):
    """A model version's weights.

    Attributes:
        size: Length in bytes.
        sha256: Digest of the contents, in hex.
    """

    size: int
    sha256: str


class WeightsClient:
    """Lists and downloads artifacts, named `MODEL/VERSION`."""

    def __init__(self, base_url: str, connections: int = 4) -> None:
        self._url = base_url.rstrip("/") + "/artifacts"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=connections,
            keepalive_expiry=_KEEPALIVE_S,
            network_backend=httpcore.TrioBackend(),
        )

    async def artifacts(self) -> dict[str, Artifact]:
        """Returns all artifacts by name.

        Raises:
            UnavailableError: No usable answer.
        """
        async with self._get(self._url) as response:
            with _translated():
                body = await response.aread()
        try:
            return msgspec.json.decode(body, type=dict[str, Artifact])
        except msgspec.MsgspecError as exc:
            raise errors.UnavailableError(f"bad answer: {exc}") from exc

    async def download(self, name: str) -> AsyncIterator[bytes]:
        """Iterates over an artifact's contents.

        The digest is known to match only once the iterator has ended without
        an error. Close the iterator to stop early.

        Raises:
            NotFoundError: There is no such artifact.
            RateLimitedError: Too many downloads are running.
            UnavailableError: No usable answer, or the contents broke off.
            CorruptError: The contents do not match their digest.
        """
        url = f"{self._url}/{urllib.parse.quote(name)}"
        digest = hashlib.sha256()
        async with self._get(url) as response:
            headers = dict(response.headers)
            with _translated():
                async for chunk in response.aiter_stream():
                    digest.update(chunk)
                    yield chunk
        if headers.get(b"x-sha256") != digest.hexdigest().encode():
            raise errors.CorruptError(f"{name} does not match its digest")

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()

    @contextlib.asynccontextmanager
    async def _get(self, url: str) -> AsyncIterator[httpcore.Response]:
        host = urllib.parse.urlsplit(url).netloc
        request = httpcore.Request(
            "GET",
            url,
            headers={"host": host},
            extensions={"timeout": _TIMEOUTS},
        )
        with _translated():
            response = await self._pool.handle_async_request(request)
        try:
            _check(response)
            yield response
        finally:
            await response.aclose()


def _check(response: httpcore.Response) -> None:
    match response.status:
        case 200:
            return
        case 404:
            raise errors.NotFoundError("no such artifact")
        case 429:
            retry_after = dict(response.headers).get(b"retry-after", b"")
            retry_after_ms = _DEFAULT_RETRY_AFTER_MS
            if retry_after.isdigit():
                retry_after_ms = int(retry_after) * 1000.0
            raise errors.RateLimitedError("too many downloads", retry_after_ms)
    raise errors.UnavailableError(f"answered with {response.status}")


@contextlib.contextmanager
def _translated() -> Iterator[None]:
    try:
        yield
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as exc:
        raise errors.UnavailableError(f"{type(exc).__name__}: {exc}") from exc
