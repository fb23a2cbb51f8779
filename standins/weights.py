"""Stand-in for the weight store, with its limits of rate and downloads."""

import hashlib

import msgspec
import trio

from standins import server

_CHUNK_BYTES = 1 << 16


class Artifact(msgspec.Struct):
    """A model version's weights.

    Attributes:
        size: Length in bytes.
        sha256: Digest of the contents, in hex.
    """

    size: int
    sha256: str = ""


class WeightStore:
    """Artifacts under a shared rate limit; `handle` answers requests.

    The contents of an artifact are its name, repeated, so that any two
    artifacts differ.
    """

    def __init__(
        self, artifacts: dict[str, int], bytes_per_s: float, downloads: int
    ) -> None:
        self._bytes_per_s = bytes_per_s
        self._max_downloads = downloads
        self._active_downloads = 0
        self._next_send_s = 0.0
        self._artifacts = {
            name: Artifact(size, _digest(name, size))
            for name, size in artifacts.items()
        }

    async def handle(self, request: server.Request) -> None:
        """Answers one request."""
        body = await request.body()
        name = request.path.removeprefix("/artifacts/")
        if request.path == "/artifacts":
            await request.answer_json(200, self._artifacts)
        elif request.method == "PUT" and name != request.path:
            size = msgspec.json.decode(body, type=Artifact).size
            self._artifacts[name] = Artifact(size, _digest(name, size))
            await request.answer_json(200, self._artifacts[name])
        elif name not in self._artifacts:
            await request.answer(404)
        elif self._active_downloads >= self._max_downloads:
            await request.answer(429, headers={"retry-after": "1"})
        else:
            await self._send(request, name, self._artifacts[name])

    async def _send(
        self, request: server.Request, name: str, artifact: Artifact
    ) -> None:
        self._active_downloads += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_disconnect, request, nursery)
                await self._send_body(request, name, artifact)
                nursery.cancel_scope.cancel()
        finally:
            self._active_downloads -= 1

    async def _send_body(
        self, request: server.Request, name: str, artifact: Artifact
    ) -> None:
        headers = {
            "content-type": "application/octet-stream",
            "content-length": str(artifact.size),
            "x-sha256": artifact.sha256,
        }
        await request.start(200, headers)
        for chunk in _contents(name, artifact.size):
            await self._wait_for_rate(len(chunk))
            await request.send(chunk)
        await request.send(b"", more=False)

    async def _wait_for_rate(self, size: int) -> None:
        now_s = trio.current_time()
        self._next_send_s = (
            max(now_s, self._next_send_s) + size / self._bytes_per_s
        )
        await trio.sleep(self._next_send_s - now_s)


async def _cancel_on_disconnect(
    request: server.Request, nursery: trio.Nursery
) -> None:
    await request.disconnected()
    nursery.cancel_scope.cancel()


def _contents(name: str, size: int) -> list[bytes]:
    unit = name.encode() + b"\n"
    chunk = (unit * (_CHUNK_BYTES // len(unit) + 1))[:_CHUNK_BYTES]
    whole, rest = divmod(size, _CHUNK_BYTES)
    return [chunk] * whole + ([chunk[:rest]] if rest else [])


def _digest(name: str, size: int) -> str:
    digest = hashlib.sha256()
    for chunk in _contents(name, size):
        digest.update(chunk)
    return digest.hexdigest()
