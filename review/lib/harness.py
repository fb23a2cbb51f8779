"""Processes, stand-ins and callers that the scripts of the review share.

Gateways run as separate processes with the command of the deploy file. The
store is a stand-in in a process of its own (`store.py`), and the replicas are
stand-ins in this process.
"""

import asyncio
import base64
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "h.example"
KEY = "secret-kaje"
SERVICE = "sabeel-lm"
PLAIN_SERVICE = "permits"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
_HEARTBEAT_S = 0.5
# Longer than any case runs.
_SILENT_S = 3600.0
# Below the ports that the system gives to outgoing connections.
_PORT_RANGE = (10_000, 32_000)


class CouldNotRunError(Exception):
    """The case could not be set up."""


def free_ports(count: int) -> list[int]:
    """Returns ports on loopback that are not in use."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(*_PORT_RANGE)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def note(self, text: str) -> None:
        """Writes one line with the time since the start."""
        line = f"{time.monotonic() - self._start:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller got: status 0 if the answer was not complete."""

    status: int
    body: bytes
    took_ms: float
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    error: str = ""

    @property
    def json(self) -> Any:
        """The decoded body."""
        return json.loads(self.body)


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *rest = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in rest:
        name, sep, value = line.partition(":")
        if sep:
            fields[name.strip().lower()] = value.strip()
    return first, fields


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int(await reader.readline(), 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> Answer:
    """Makes one HTTP call on a new connection."""
    started = time.monotonic()
    writer = None
    status = 0
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {"Host": address, **(headers or {})}
            fields["Content-Length"] = str(len(body))
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(
                f"{k}: {v}\r\n" for k, v in fields.items()
            )
            writer.write(head.encode("latin-1") + b"\r\n" + body)
            first, answer_headers = await _read_head(reader)
            status = int(first.split()[1])
            answer_body = await _read_body(reader, answer_headers)
            took_ms = (time.monotonic() - started) * 1000
            return Answer(status, answer_body, took_ms, answer_headers)
    except (OSError, ValueError, asyncio.IncompleteReadError) as exc:
        took_ms = (time.monotonic() - started) * 1000
        name = type(exc).__name__
        return Answer(0, b"", took_ms, error=f"{name} after status {status}")
    finally:
        if writer is not None:
            writer.close()


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One run of a request at a replica."""

    replica: str
    request_id: str
    path: str
    customer: str
    first: int
    at: float
    last: int = 0
    outcome: str = "running"
    ended: float = 0.0


@dataclasses.dataclass(slots=True)
class Fault:
    """What a replica does with one request in place of a sound answer.

    Attributes:
        lose_answer: It runs the request and closes the connection without an
            answer.
        lose_silently: It runs the request and sends no answer; the connection
            stays open.
        status: It answers with this status.
        delay_s: It takes this much longer.
    """

    lose_answer: bool = False
    lose_silently: bool = False
    status: int = 0
    delay_s: float = 0.0


ChooseFault = Callable[["Replica", dict[str, str], str], Fault | None]


class Replica:
    """A sound replica by the users' pages, but for the faults it is given."""

    def __init__(
        self,
        name: str,
        store: str,
        record: Record,
        *,
        service: str = SERVICE,
        slots: int = 8,
        events: int = 8,
        step_s: float = 0.02,
        text_bytes: int = 0,
        work_s: float | None = None,
        first_s: float | None = None,
    ) -> None:
        """Creates a replica.

        Args:
            name: Part of its id.
            store: Address of the store.
            record: Where to note its runs.
            service: Its service.
            slots: Requests that it runs at once.
            events: Events of each stream.
            step_s: Time between two events.
            text_bytes: Size of the data of each event.
            work_s: For a plain service, the time that a request takes; None
                for a service that streams.
            first_s: Time to the first event, None for `step_s`.
        """
        self.id = f"i-{name}-{random.SystemRandom().randrange(16**6):06x}"
        self.service = service
        self.runs: list[Run] = []
        self.choose_fault: ChooseFault = lambda replica, headers, path: None
        self.draining = False
        self.address = ""
        self.quiet = False
        self._store = store
        self._record = record
        self._slots = slots
        self._events = events
        self._step_s = step_s
        self._text_bytes = text_bytes
        self._work_s = work_s
        self._first_s = step_s if first_s is None else first_s
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._seq = 0
        self._born = time.time_ns() // 1_000_000
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listens and registers itself."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 22
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        await self._beat()
        self._beats = asyncio.create_task(self._beat_forever())

    async def stop(self) -> None:
        """Stops listening."""
        if self._beats:
            self._beats.cancel()
        if self._server:
            self._server.close()

    async def _beat_forever(self) -> None:
        while True:
            await asyncio.sleep(_HEARTBEAT_S)
            await self._beat()

    async def _beat(self) -> None:
        self._seq += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": self._slots,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "seq": self._seq,
            "born": self._born,
        }
        path = f"/put?topic=keyed.servers&key={self.id}"
        await call(
            self._store, "POST", path, json.dumps(entry).encode(), timeout_s=2
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, headers = await _read_head(reader)
                await _read_body(reader, headers)
                if not await self._answer(first, headers, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        first: str,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers one request; returns whether the connection is kept."""
        request_id = headers.get("request-id", "")
        echoed = f"Request-Id: {request_id}\r\n"
        expected = headers.get("expected-instance", self.id)
        full = self._waiting >= 24
        if expected != self.id or full:
            status = "503 Full" if full else "421 Misdirected"
            writer.write(
                f"HTTP/1.1 {status}\r\n{echoed}Not-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        left = asyncio.create_task(reader.read(1))
        work = asyncio.create_task(self._run(first, headers, echoed, writer))
        await asyncio.wait((left, work), return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            # The caller has closed the connection: the request is dropped.
            work.cancel()
            await asyncio.gather(left, work, return_exceptions=True)
            return False
        left.cancel()
        await asyncio.gather(left, return_exceptions=True)
        return work.result()

    async def _run(
        self,
        first: str,
        headers: dict[str, str],
        echoed: str,
        writer: asyncio.StreamWriter,
    ) -> bool:
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        path = first.split()[1]
        after = int(headers.get("last-event-id", "0"))
        run = Run(
            self.id,
            headers.get("request-id", ""),
            path,
            headers.get("tenant-id", ""),
            after + 1,
            time.monotonic(),
        )
        self.runs.append(run)
        if not self.quiet:
            self._record.note(
                f"replica {self.id} runs {run.request_id} {path} from event"
                f" {after + 1}, Deadline-Ms {headers.get('deadline-ms')}"
            )
        # A sound replica stops work at the deadline that it was given.
        left_s = int(headers.get("deadline-ms", "60000")) / 1000
        try:
            async with asyncio.timeout(left_s):
                kept = await self._work(run, headers, echoed, writer)
        except TimeoutError:
            kept = await self._answer_deadline(run, echoed, writer)
        except asyncio.CancelledError:
            run.outcome += ", then the caller closed the connection"
            raise
        except OSError:
            run.outcome += ", then the connection was reset"
            return False
        finally:
            run.ended = time.monotonic()
            self._free.release()
            if not self.quiet or run.outcome.startswith("lost"):
                self._record.note(
                    f"replica {self.id} ended {run.request_id}: {run.outcome}"
                )
        return kept

    async def _answer_deadline(
        self, run: Run, echoed: str, writer: asyncio.StreamWriter
    ) -> bool:
        """Ends a run at its deadline; returns whether the connection is kept.

        A lost answer stays lost.
        """
        if run.outcome.startswith("lost"):
            await asyncio.sleep(_SILENT_S)
        if run.last:
            run.outcome = "broken off at its deadline"
            return False
        run.outcome = "answered 504 at its deadline"
        writer.write(
            f"HTTP/1.1 504 Deadline\r\n{echoed}"
            f"Response-Seal: seal.{run.request_id}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        return True

    async def _work(
        self,
        run: Run,
        headers: dict[str, str],
        echoed: str,
        writer: asyncio.StreamWriter,
    ) -> bool:
        fault = self.choose_fault(self, headers, run.path) or Fault()
        if fault.delay_s:
            await asyncio.sleep(fault.delay_s)
        if fault.lose_answer or fault.lose_silently:
            await asyncio.sleep(self._work_s or self._first_s)
            run.outcome = "lost: it ran, and its answer was not sent"
            if fault.lose_silently:
                await asyncio.sleep(_SILENT_S)
            return False
        head = f"{echoed}Response-Seal: seal.{run.request_id}\r\n"
        if fault.status:
            run.outcome = f"answered {fault.status}"
            writer.write(
                f"HTTP/1.1 {fault.status} Fault\r\n{head}"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        if self._work_s is not None:
            await asyncio.sleep(self._work_s)
            body = f"done {run.request_id}".encode()
            writer.write(
                f"HTTP/1.1 200 OK\r\n{head}"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            await writer.drain()
            run.outcome = "answered 200"
            return True
        await asyncio.sleep(self._first_s)
        writer.write(
            f"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(run.first, self._events + 1):
            text = self.text(run.request_id, number)
            event = f"id: {number}\ndata: {text}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            run.last = number
            await asyncio.sleep(self._step_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run.outcome = "answered in full"
        return True

    def text(self, request_id: str, number: int) -> str:
        """Returns the data of one event."""
        return f"{request_id} {number}".ljust(self._text_bytes, ".")


class Gateway:
    """A gateway process, started as the deploy file says."""

    def __init__(
        self, name: str, zone: str, store: str, folder: pathlib.Path
    ) -> None:
        self.name = name
        front, ready, control, admin, spare = free_ports(5)
        self.address = f"127.0.0.1:{front}"
        self.ready_address = f"127.0.0.1:{ready}"
        self.peer_address = f"127.0.0.1:{control}"
        self._admin = admin
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._text = (
            f'node = "{name}"\nrole = "gateway"\nmachine_class = "front"\n'
            f'serves = ["front", "control"]\nip = "127.0.0.1"\n'
            f'zone = "{zone}"\nregion = "r"\n'
            f"port_range = [{spare}, {spare}]\nheartbeat_ms = 500\n"
            f"seeds = @SEEDS@\nbootstrap = true\n"
            f'[listen]\nfront = "{self.address}"\n'
            f'ready = "{self.ready_address}"\n'
            f'control = "{self.peer_address}"\n'
            "[limits]\nmemory_mb = 320\nmax_fds = 8200\n"
            "[bounds]\ncontact_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\n"
            "config_apply_ms = 2000\nquota_overage = 0.1\nquota_slack = 20\n"
            "status_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\n"
            f'[platform_settings]\naddress = "{store}"\nparts = 8\n'
            "record_bytes = 262144\ncall_bytes = 2097152\nttl_min_ms = 1000\n"
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, seeds: list[str]) -> None:
        """Starts the process."""
        text = self._text.replace("@SEEDS@", json.dumps(seeds))
        self._settings.write_text(text, encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "LACEWINGWOOD_CONFIG": str(self._settings),
            "LACEWINGWOOD_METRICS_PORT": str(self._admin),
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.running:
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Returns the resident memory of the process."""
        if self.process is None or not self.running:
            return 0.0
        try:
            path = pathlib.Path(f"/proc/{self.process.pid}/statm")
            pages = int(path.read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def log_text(self) -> str:
        """Returns what the process has written."""
        return self._log.read_text(errors="replace")

    async def ready(self) -> bool:
        """Returns whether the gateway says that it is ready."""
        answer = await call(
            self.ready_address, "GET", "/-/ready", timeout_s=1.0
        )
        return answer.status == 200


class Fleet:
    """Store, replicas and gateways of one case."""

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        self.record = record
        self.store = ""
        self.gateways: list[Gateway] = []
        self.replicas: list[Replica] = []
        self.routes: list[dict[str, Any]] = []
        self.tenants: list[dict[str, Any]] = [
            {"name": "kaje", "api_keys": [KEY]}
        ]
        self._version = 0
        self._folder = folder
        self._store_process: subprocess.Popen[bytes] | None = None

    async def start_store(self) -> None:
        """Starts the stand-in for the platform's store."""
        (port,) = free_ports(1)
        self.store = f"127.0.0.1:{port}"
        env = {**os.environ, "PYTHONPATH": f"{ROOT}:{ROOT / 'target/deps'}"}
        with (self._folder / "store.log").open("ab") as log:
            self._store_process = subprocess.Popen(
                [
                    sys.executable,
                    str(ROOT / "review/lib/store.py"),
                    self.store,
                ],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        for _ in range(200):
            answer = await call(
                self.store, "POST", "/faults", b"{}", timeout_s=1
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CouldNotRunError("the store did not start")

    async def set_store_faults(self, **faults: Any) -> None:
        """Sets the store's faults; those that are not given end."""
        body = json.dumps(faults).encode()
        self.record.note(f"store faults: {faults}")
        await call(self.store, "POST", "/faults", body, timeout_s=2)

    async def configure(self) -> int:
        """Publishes routes and tenants as a new version."""
        self._version += 3
        document = {
            "version": self._version,
            "routes": self.routes,
            "services": [{"name": SERVICE}, {"name": PLAIN_SERVICE}],
            "tenants": self.tenants,
            "limits": {"max_body_bytes": 4 << 20},
        }
        answer = await call(
            self.store,
            "POST",
            "/put?topic=keyed.op&key=config",
            json.dumps(document).encode(),
        )
        names = [r["name"] for r in self.routes]
        self.record.note(
            f"configuration {self._version} acknowledged: {answer.status},"
            f" routes {names}"
        )
        return self._version

    async def add_replicas(self, count: int, **options: Any) -> None:
        """Starts replicas."""
        for _ in range(count):
            name = f"{len(self.replicas)}"
            replica = Replica(name, self.store, self.record, **options)
            await replica.start()
            self.replicas.append(replica)

    def make_gateway(self, name: str, zone: str) -> Gateway:
        """Adds a gateway without starting it."""
        gateway = Gateway(name, zone, self.store, self._folder)
        self.gateways.append(gateway)
        return gateway

    async def add_gateways(self, count: int) -> None:
        """Starts gateways and waits until all are ready."""
        for n in range(count):
            self.make_gateway(f"front-{n}", f"zone-{n % 2}")
        for gateway in self.gateways:
            gateway.start(self.seeds)
        await self.wait_ready()

    @property
    def seeds(self) -> list[str]:
        """Peer addresses of the first gateways."""
        return [g.peer_address for g in self.gateways[:3]]

    async def wait_ready(self, timeout_s: float = 30.0) -> None:
        """Waits until all gateways are ready."""
        deadline = time.monotonic() + timeout_s
        for gateway in self.gateways:
            while not await gateway.ready():
                if time.monotonic() > deadline:
                    raise CouldNotRunError(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)

    def runs(self, request_id: str = "") -> list[Run]:
        """Returns all runs at the replicas, or those of one request."""
        return [
            run
            for replica in self.replicas
            for run in replica.runs
            if request_id in ("", run.request_id)
        ]

    async def stop(self) -> None:
        """Ends all processes that the case has started."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.running:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        for replica in self.replicas:
            await replica.stop()
        if self._store_process is not None:
            self._store_process.kill()
            self._store_process.wait()


def route(name: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Returns a route under the path of its name."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": SERVICE,
        "timeout_ms": 5_000,
        "target_latency_ms": 300,
        "priority": 0,
        "max_attempts": 2,
        **fields,
    }


def caller_headers(request_id: str, **fields: str) -> dict[str, str]:
    """Returns the headers of a caller's request."""
    headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
    if request_id:
        headers["Request-Id"] = request_id
    return {**headers, **{k.replace("_", "-"): v for k, v in fields.items()}}


BATCH = {
    "max_attempts": 3,
    "timeout_ms": 15_000,
    "target_latency_ms": 400,
    "result_deadline_ms": 18_000,
    "retention_s": 60,
    "priority": 2,
}


async def submit(
    gateway: Gateway,
    job_id: str,
    item_ids: list[str],
    headers: dict[str, str] | None = None,
    host: str = HOST,
) -> Answer:
    """Submits a batch job on the route `b`.

    Args:
        gateway: The gateway that gets it.
        job_id: Id of the job.
        item_ids: Ids of its items.
        headers: Further headers of the items.
        host: Host of the route.
    """
    fields = {"Model-Id": "m", "Token-Count": "40,80", **(headers or {})}
    items = [
        {
            "id": item_id,
            "path": f"/b/{n}",
            "headers": fields,
            "body": base64.b64encode(item_id.encode()).decode(),
            "tokens": 120,
        }
        for n, item_id in enumerate(item_ids)
    ]
    body = json.dumps({"items": items}).encode()
    fields = {**caller_headers(job_id, Deadline_Ms="4000"), "Host": host}
    return await call(gateway.address, "POST", "/b/lot", body, fields)


async def read_job(
    gateway: Gateway, job_id: str, after: int = 0, wait_ms: int = 0
) -> Answer:
    """Reads a job's results from a position on."""
    headers = caller_headers("")
    if wait_ms:
        headers["Wait-Ms"] = str(wait_ms)
    path = f"/-/lots/{job_id}?after={after}"
    return await call(gateway.address, "GET", path, b"", headers)


Case = Callable[[Fleet, bool], Awaitable[bool]]


def main(case: Case, folder: pathlib.Path) -> None:
    """Runs a case and exits with 1 if the rule was broken, 0 if it held.

    Args:
        case: Gets a fleet without processes and whether the disruption
            happens; returns whether the rule held.
        folder: Folder of the case, for its record.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.note(f"TROUBLE={int(trouble)}")

    async def run() -> int:
        # The processes are ended, too, if the script is told to stop.
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        with tempfile.TemporaryDirectory() as name:
            fleet = Fleet(record, pathlib.Path(name))
            try:
                async with asyncio.timeout(110):
                    await fleet.start_store()
                    held = await case(fleet, trouble)
                return HELD if held else BROKEN
            except (
                CouldNotRunError,
                TimeoutError,
                asyncio.CancelledError,
            ) as exc:
                record.note(f"could not run: {exc!r}")
                return COULD_NOT_RUN
            finally:
                await fleet.stop()

    code = asyncio.run(run())
    record.note(f"exit {code}")
    sys.exit(code)
