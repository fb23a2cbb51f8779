"""A small deployment on loopback: gateways, store, replicas and operator.

The gateways are the project's own program, started with the command of the
deploy file. Store and replicas are the project's stand-ins. Each machine has a
loopback address of its own.
"""

import contextlib
import dataclasses
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "nony24.example"
KEY = "i9n73hh2b9wu3fexd9dn"
SERVICE = "tanggul-lm"
BATCH_PATH = "/pule252/1"
CALL_HEADERS = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
# The platform restarts a process after a short delay.
RESTART_DELAY_S = 1.0
_WATCH_INTERVAL_S = 0.02
_READY_TIMEOUT_S = 30.0


@dataclasses.dataclass(slots=True, frozen=True)
class Sheet:
    """What a deployment's sheet says of its machines; MB and milliseconds."""

    memory_mb: int
    max_fds: int
    contact_ms: int
    drain_ms: int
    config_apply_ms: int


SABEEL = Sheet(320, 8200, 3000, 2000, 2000)
KALITANGGUL = Sheet(170, 8200, 3000, 2000, 2000)
# The smallest machines of kalitanggul-serve-grown.
KALITANGGUL_GROWN = Sheet(128, 4100, 4000, 3000, 3000)


class CannotRunError(Exception):
    """The case can't run on this machine."""


def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> tuple[int, bytes]:
    """Makes an HTTP call; returns status and body, status 0 on a failure."""
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        conn.request(method, path, body, headers or {})
        response = conn.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        conn.close()


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def note(self, text: str) -> None:
        """Writes one line to the record and to standard output."""
        line = f"{time.monotonic() - self._start:8.3f} {text}"
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()
            print(line, flush=True)


def free_port(ip: str) -> int:
    """Returns a port that is free on a loopback address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


def private_memory_mb(pid: int) -> float:
    """Returns the memory of a process without mapped files, 0 if it ended."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text("ascii")
    except OSError:
        return 0.0
    for line in status.splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0


class Gateway:
    """A machine with one gateway process.

    Attributes:
        name: Name of the machine.
        address: Where clients connect.
        sheet: What the sheet says of the machine.
        ended: How often its process ended by itself.
        peak_mb: Most memory of a process since its last start.
        started: When its process was last started.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        store: str,
        folder: pathlib.Path,
        sheet: Sheet,
    ) -> None:
        self.name = name
        self.address = f"{ip}:{free_port(ip)}"
        self.ready_address = f"{ip}:{free_port(ip)}"
        self.control_address = f"{ip}:{free_port(ip)}"
        self.sheet = sheet
        self.ended = 0
        self.peak_mb = 0.0
        self.started = 0.0
        self.process: subprocess.Popen[bytes] | None = None
        self._ip = ip
        self._log = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        self._store = store

    def write_settings(self, seeds: list[str]) -> None:
        """Writes the settings file as the platform does."""
        first_port = free_port(self._ip)
        sheet = self.sheet
        self._settings.write_text(
            f'node = "{self.name}"\nip = "{self._ip}"\nzone = "semarang"\n'
            'region = "jawa-utara"\nrole = "gateway"\n'
            f"port_range = [{first_port}, {first_port + 1}]\n"
            f"seeds = {json.dumps(seeds)}\nheartbeat_ms = 1200\n"
            'contracts = ["base", "drain", "config", "cost", "recover",'
            ' "batch", "stream", "engine", "tenants", "quota", "platform"]\n'
            f'[listen]\nfront = "{self.address}"\n'
            f'ready = "{self.ready_address}"\n'
            f'control = "{self.control_address}"\n'
            f"[limits]\nmemory_mb = {sheet.memory_mb}\n"
            f"max_fds = {sheet.max_fds}\n"
            f"[bounds]\ncontact_ms = {sheet.contact_ms}\n"
            f"drain_ms = {sheet.drain_ms}\ngrace_s = 8\n"
            f"config_apply_ms = {sheet.config_apply_ms}\n"
            "quota_overage = 0.1\nquota_slack = 20\n"
            "status_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\n"
            f'[platform_settings]\naddress = "{self._store}"\nform = "log"\n'
            "parts = 8\nrecord_bytes = 262144\ncall_bytes = 2097152\n"
            "ttl_min_ms = 1000\n",
            encoding="utf-8",
        )

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        role = deploy["roles"]["gateway"]
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env={
                    **_environment(),
                    **role["env"],
                    "LACEWINGWOOD_CONFIG": str(self._settings),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.peak_mb = 0.0
        self.started = time.monotonic()

    def is_ready(self) -> bool:
        """Returns whether the machine says that it is ready."""
        status, _ = call(self.ready_address, "GET", "/-/ready", timeout_s=1)
        return status == 200

    def stop(self) -> None:
        """Ends the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Deployment:
    """The machines, the platform's store, replicas and the operator."""

    def __init__(self, record: Record, sheet: Sheet) -> None:
        self.record = record
        self._sheet = sheet
        self.gateways: list[Gateway] = []
        self.replicas: list[str] = []
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self._standins: list[subprocess.Popen[bytes]] = []
        self._store = ""
        self._removed: set[str] = set()
        self._watching = True
        self._watcher = threading.Thread(target=self._watch)

    def start_platform(self, gateways: int, events: int, replicas: int) -> None:
        """Starts store and replicas, and lists the machines."""
        self._store = self._start_standin("review.lib3.store")
        self._put_configuration()
        for _ in range(replicas):
            self.replicas.append(
                self._start_standin(
                    "standins",
                    *("stream-replica", "--bind", "127.0.0.1:0"),
                    *("--store", self._store, "--service", SERVICE),
                    *("--events", str(events), "--step-ms", "1"),
                    *("--zone", "semarang"),
                )
            )
        # Addresses of their own, since the deploy file sets the metrics port.
        subnet = ".".join(str(random.randint(1, 250)) for _ in range(2))
        for n in range(gateways):
            ip = f"127.{subnet}.{n + 1}"
            name = f"front-semarang-{n + 1}"
            gateway = Gateway(name, ip, self._store, self._folder, self._sheet)
            self.gateways.append(gateway)

    def start_machines(self) -> None:
        """Starts the machines."""
        seeds = [gateway.control_address for gateway in self.gateways]
        for gateway in self.gateways:
            gateway.write_settings(seeds)
            gateway.start()
        self._watcher.start()

    def start(self) -> None:
        """Starts the machines; returns once all are ready."""
        self.start_machines()
        self.wait_ready()

    def wait_ready(self) -> None:
        """Waits until all machines are ready."""
        deadline = time.monotonic() + _READY_TIMEOUT_S
        while not all(gateway.is_ready() for gateway in self.gateways):
            if time.monotonic() > deadline:
                raise CannotRunError("a machine does not get ready")
            time.sleep(0.1)

    def remove(self, gateway: Gateway) -> None:
        """Takes a machine away for good, without a signal before."""
        self._removed.add(gateway.name)
        gateway.stop()

    def put_replica(self, replica_id: str, entry: dict[str, object]) -> None:
        """Writes the entry of a replica that the case plays itself."""
        path = f"/put?topic=keyed.servers&key={replica_id}"
        call(self._store, "POST", path, json.dumps(entry).encode())

    def stop(self) -> None:
        """Ends all processes."""
        self._watching = False
        if self._watcher.is_alive():
            self._watcher.join()
        for gateway in self.gateways:
            gateway.stop()
        for standin in self._standins:
            standin.kill()
            standin.wait()
        shutil.rmtree(self._folder, ignore_errors=True)

    def _watch(self) -> None:
        """Does what the platform does: limits memory, restarts what ended."""
        due: dict[str, float] = {}
        while self._watching:
            now = time.monotonic()
            for gateway in self.gateways:
                if gateway.name in self._removed:
                    continue
                if gateway.name in due:
                    if now >= due[gateway.name]:
                        del due[gateway.name]
                        gateway.start()
                    continue
                if self._has_ended(gateway):
                    due[gateway.name] = now + RESTART_DELAY_S
            time.sleep(_WATCH_INTERVAL_S)

    def _has_ended(self, gateway: Gateway) -> bool:
        process = gateway.process
        assert process is not None
        used_mb = private_memory_mb(process.pid)
        gateway.peak_mb = max(gateway.peak_mb, used_mb)
        if used_mb > gateway.sheet.memory_mb:
            process.send_signal(signal.SIGKILL)
            process.wait()
            why = f"it used {used_mb:.0f} MB of {gateway.sheet.memory_mb} MB"
        elif process.poll() is not None:
            why = f"exit code {process.returncode}"
        else:
            return False
        gateway.ended += 1
        self.record.note(f"{gateway.name}: process ended, {why}")
        return True

    def _put_configuration(self) -> None:
        route = {
            "host": HOST,
            "service": SERVICE,
            "auth_exempt": False,
            "sticky": True,
            "target_latency_ms": 300,
        }
        document = {
            "version": 7,
            "routes": [
                {
                    **route,
                    "name": "r-batch",
                    "path_prefix": "/pule252/",
                    "kind": "batch",
                    "timeout_ms": 15000,
                    "priority": 2,
                    "max_attempts": 3,
                    "result_deadline_ms": 18000,
                    "retention_s": 60,
                    "resumable": True,
                },
                {
                    **route,
                    "name": "r-once",
                    "path_prefix": "/pufi791/",
                    "kind": "streaming",
                    "timeout_ms": 5000,
                    "priority": 0,
                    "max_attempts": 1,
                    "resumable": False,
                    "gap_aim_ms": 250,
                },
                {
                    **route,
                    "name": "r-stream",
                    "path_prefix": "/lohu930/",
                    "kind": "streaming",
                    "timeout_ms": 5000,
                    "priority": 0,
                    "max_attempts": 2,
                    "resumable": True,
                    "gap_aim_ms": 250,
                },
            ],
            "services": [{"name": SERVICE, "health_path": "/health"}],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [
                {
                    "name": "kaje80",
                    "api_keys": [KEY],
                    "rate_per_s": 0,
                    "burst": 0,
                }
            ],
        }
        body = json.dumps(document).encode()
        call(self._store, "POST", "/put?topic=keyed.op&key=config", body)

    def _start_standin(self, module: str, *args: str) -> str:
        """Starts a stand-in; returns its address."""
        process = subprocess.Popen(
            [sys.executable, "-m", module, *args],
            cwd=ROOT,
            env=_environment(),
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        self._standins.append(process)
        assert process.stdout is not None
        line = process.stdout.readline()
        if not line:
            raise CannotRunError(f"the stand-in {module} does not start")
        return str(json.loads(line)["address"])


def _environment() -> dict[str, str]:
    kept = ("PATH", "HOME", "LANG")
    return {
        **{name: os.environ[name] for name in kept if name in os.environ},
        "PYTHONPATH": str(ROOT / "target/deps"),
    }


@contextlib.contextmanager
def running(
    record: Record,
    gateways: int,
    events: int,
    replicas: int = 3,
    sheet: Sheet = KALITANGGUL,
    started: bool = True,
):
    """Runs a deployment for the duration of a `with` block.

    With `started` false, the case starts the machines itself. All processes are
    ended as well if the case is told to stop.
    """
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    deployment = Deployment(record, sheet)
    try:
        deployment.start_platform(gateways, events, replicas)
        if started:
            deployment.start()
        yield deployment
    finally:
        deployment.stop()
