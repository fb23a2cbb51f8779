"""HTTP client of the platform's weight store."""

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
_TIMEOUTS_S = {"pool": 60.0, "connect": 1.0, "write": 5.0, "read": 30.0}


class Artifact(msgspec.Struct, frozen=True):
    """Metadata of a model version's weights.

    Attributes:
        size: Length of the weights in bytes.
        sha256: SHA-256 digest of the weights, in hex.
    """

    size: int
    sha256: str


class WeightsClient:
    """Lists and downloads artifacts, which are named `MODEL/VERSION`.

    Args:
        base_url: URL of the weight store, without the path `/artifacts`.
        max_connections: Limit of concurrent connections to the weight store.
    """

    def __init__(self, base_url: str, max_connections: int = 4) -> None:
        self._url = base_url.rstrip("/") + "/artifacts"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            keepalive_expiry=_KEEPALIVE_S,
            network_backend=httpcore.TrioBackend(),
        )

    async def list_artifacts(self) -> dict[str, Artifact]:
        """Returns the metadata of all artifacts by name.

        Raises:
            errors.UnavailableError: The request failed or the response was
                malformed.
        """
        async with self._get(self._url) as response:
            with _translate_transport_errors():
                body = await response.aread()
        try:
            return msgspec.json.decode(body, type=dict[str, Artifact])
        except msgspec.MsgspecError as exc:
            raise errors.UnavailableError(
                f"malformed list of artifacts: {exc}"
            ) from exc

    async def download(self, name: str) -> AsyncIterator[bytes]:
        """Iterates over an artifact's contents.

        The digest is checked after the last chunk, so that the contents are
        verified only once the iterator has ended without an error. Close the
        iterator to stop early.

        Args:
            name: Name of the artifact.

        Raises:
            errors.NotFoundError: The weight store has no such artifact.
            errors.RateLimitedError: Too many downloads are running.
            errors.UnavailableError: The request failed, or the contents were
                truncated.
            errors.CorruptError: The contents do not match their digest.
        """
        url = f"{self._url}/{urllib.parse.quote(name)}"
        digest = hashlib.sha256()
        async with self._get(url) as response:
            headers = dict(response.headers)
            with _translate_transport_errors():
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
            extensions={"timeout": _TIMEOUTS_S},
        )
        with _translate_transport_errors():
            response = await self._pool.handle_async_request(request)
        try:
            _check_status(response)
            yield response
        finally:
            await response.aclose()


def _check_status(response: httpcore.Response) -> None:
    match response.status:
        case 200:
            return
        case 404:
            raise errors.NotFoundError("weight store has no such artifact")
        case 429:
            retry_after = dict(response.headers).get(b"retry-after", b"")
            retry_after_ms = _DEFAULT_RETRY_AFTER_MS
            if retry_after.isdigit():
                retry_after_ms = int(retry_after) * 1000.0
            raise errors.RateLimitedError(
                "too many downloads are running", retry_after_ms
            )
    raise errors.UnavailableError(
        f"weight store returned status {response.status}"
    )


@contextlib.contextmanager
def _translate_transport_errors() -> Iterator[None]:
    try:
        yield
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as exc:
        raise errors.UnavailableError(f"{type(exc).__name__}: {exc}") from exc
