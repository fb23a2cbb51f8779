"""Stand-in for the rate-limited weight store."""

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
    """Artifacts and the shared rate limit; `handle` answers requests.

    Weights are made of the artifact's name, repeated, so that any two
    artifacts differ.
    """

    def __init__(
        self, artifacts: dict[str, int], bytes_per_s: float, downloads: int
    ) -> None:
        self._bytes_per_s = bytes_per_s
        self._downloads = downloads
        self._running = 0
        self._free_s = 0.0
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
        elif self._running >= self._downloads:
            await request.answer(429, headers={"retry-after": "1"})
        else:
            await self._send(request, name, self._artifacts[name])

    async def _send(
        self, request: server.Request, name: str, artifact: Artifact
    ) -> None:
        self._running += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_disconnect, request, nursery)
                await self._send_body(request, name, artifact)
                nursery.cancel_scope.cancel()
        finally:
            self._running -= 1

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
            await self._wait(len(chunk))
            await request.send(chunk)
        await request.send(b"", more=False)

    async def _wait(self, size: int) -> None:
        now_s = trio.current_time()
        self._free_s = max(now_s, self._free_s) + size / self._bytes_per_s
        await trio.sleep(self._free_s - now_s)


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
