"""A small deployment on loopback: stand-ins, entries and workers."""

import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.request
from collections.abc import Iterator
from typing import Any

_READY_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 20.0
_POLL_S = 0.02
REGION = "delta-north"


class DeploymentError(Exception):
    """A process of the deployment failed to start, to run or to stop."""


class Process:
    """A child process that logs a line of JSON when it is ready.

    Attributes:
        name: Name of the process and of its log file.
        info: Fields of the ready line, such as addresses; empty before it.
    """

    def __init__(
        self, name: str, module: str, args: list[str], log_dir: pathlib.Path
    ) -> None:
        self.name = name
        self.info: dict[str, Any] = {}
        self._log_path = log_dir / f"{name}.log"
        self._log = self._log_path.open("wb")
        self._popen = subprocess.Popen(
            [sys.executable, "-m", module, *args],
            stdout=self._log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self._popen.poll() is None

    def wait_ready(self) -> None:
        """Waits for the ready line, a line of JSON with `"ready": true`."""
        deadline = time.monotonic() + _READY_TIMEOUT_S
        while not (ready := self._find_ready_line()):
            if not self.running:
                raise DeploymentError(
                    self._describe("ended before it was ready")
                )
            if time.monotonic() > deadline:
                raise DeploymentError(self._describe("did not become ready"))
            time.sleep(_POLL_S)
        self.info = ready

    def _find_ready_line(self) -> dict[str, Any]:
        """Returns the fields of the ready line, empty if there is none yet."""
        for line in self._log_path.read_bytes().splitlines(keepends=True):
            if b'"ready"' not in line or not line.endswith(b"\n"):
                continue
            fields: dict[str, Any] = json.loads(line)
            if fields.get("ready") is True:
                return fields
        return {}

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if self.running:
            self._popen.send_signal(number)

    def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Waits for the end of the process and returns its exit code."""
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self._popen.kill()
            self._popen.wait()
            raise DeploymentError(self._describe("did not stop")) from None
        finally:
            self._log.close()

    def _describe(self, problem: str) -> str:
        tail = self._log_path.read_text(errors="replace")[-2_000:]
        return f"{self.name} {problem}; its log ends:\n{tail}"


@dataclasses.dataclass(slots=True, kw_only=True)
class Shape:
    """Size and settings of a deployment."""

    service: str = "sabeel-lm"
    model: str = "sabeel-lm"
    zones: tuple[str, ...] = ("tanta-a", "mahalla-b")
    region: str = REGION
    replicas: int = 3
    entries: int = 3
    workers: int = 2
    slots: int = 16
    step_ms: float = 20.0
    drain_ms: int = 1_000
    engine_args: tuple[str, ...] = ()
    log_args: tuple[str, ...] = ()


class Deployment:
    """Processes of one deployment."""

    def __init__(self, shape: Shape, log_dir: pathlib.Path) -> None:
        self.shape = shape
        self.entries: list[Process] = []
        self.workers: list[Process] = []
        self.engines: list[Process] = []
        self.processes: list[Process] = []
        self._log_dir = log_dir
        self._start_count = 0

    def start(self) -> None:
        """Starts the stand-ins, those that others depend on first."""
        self.log = self._start_standin("log", *self.shape.log_args)
        self.hostlist = self._start_standin("hostlist", "--lag-ms", "500")
        self.weights = self._start_standin("weights")
        _wait_ready([self.log, self.hostlist, self.weights])
        for index in range(self.shape.replicas):
            self.engines.append(self._start_engine(index))
        self.plain = self._start_standin("plain")
        _wait_ready([*self.engines, self.plain])
        for index, engine in enumerate(self.engines):
            self._register_replica(f"replica-{index}", engine, "engine", index)
        self._register_replica("plain-0", self.plain, "plain", 0, "inspections")

    def start_nodes(self) -> None:
        """Starts the entries and workers and waits until they are ready."""
        for index in range(self.shape.entries):
            self.entries.append(self.spawn("entry", index))
        for index in range(self.shape.workers):
            self.workers.append(self.spawn("worker", index))
        _wait_ready([*self.entries, *self.workers])

    def spawn(self, role: str, index: int) -> Process:
        """Starts an entry or a worker without waiting until it is ready."""
        host = f"host-{index}"
        args = [
            role,
            *("--log-url", self.log_url),
            *("--hostlist-url", f"http://{self.hostlist.info['address']}"),
            *("--host", host),
            *("--zone", self.shape.zones[index % len(self.shape.zones)]),
            *("--region", self.shape.region),
            *("--drain-ms", str(self.shape.drain_ms)),
        ]
        if role == "entry":
            args += ["--bind", "127.0.0.1:0"]
        self._register_host(host, "127.0.0.1:0", "entry", index, "")
        return self._start(f"{role}-{index}", "lacewingwood", args)

    def restart_engine(self, index: int) -> None:
        """Starts a new engine in place of one that has ended."""
        engine = self._start_engine(index)
        engine.wait_ready()
        self.engines[index] = engine
        self._register_replica(f"replica-{index}", engine, "engine", index)

    def launch(self, name: str, module: str, args: list[str]) -> Process:
        """Starts another program, which is stopped with the deployment."""
        process = self._start(name, module, args)
        process.wait_ready()
        return process

    @property
    def engine_addresses(self) -> list[str]:
        """Addresses of the engines."""
        return [engine.info["address"] for engine in self.engines]

    @property
    def log_url(self) -> str:
        """URL of the log service."""
        return f"http://{self.log.info['address']}"

    @property
    def hostlist_url(self) -> str:
        """URL of the host list."""
        return f"http://{self.hostlist.info['address']}"

    @property
    def base_urls(self) -> list[str]:
        """URLs of the callers' API, one for each entry."""
        return [f"http://{e.info['address']}/v1" for e in self.entries]

    def operate(self, *args: str) -> Any:
        """Runs an operator command; returns the JSON that it prints."""
        command = [sys.executable, "-m", "lacewingwood", *args]
        env = {**os.environ, "LACEWINGWOOD_LOG_URL": self.log_url}
        done = subprocess.run(
            command, env=env, capture_output=True, check=False, timeout=60
        )
        if done.returncode != 0:
            stderr = done.stderr.decode(errors="replace")
            raise DeploymentError(f"lacewingwood {' '.join(args)}: {stderr}")
        return json.loads(done.stdout)

    def stop(self) -> None:
        """Stops the nodes, then all other processes.

        Paused nodes are resumed first, so that they can handle SIGTERM.

        Raises:
            DeploymentError: A process did not stop in time and was killed.
        """
        nodes = [*self.entries, *self.workers]
        for process in nodes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        failed: list[DeploymentError] = []
        for process in nodes:
            failed += _wait_stopped(process)
        for process in self.processes:
            process.signal(signal.SIGTERM)
        for process in self.processes:
            failed += _wait_stopped(process)
        if failed:
            raise failed[0]

    def _start(self, name: str, module: str, args: list[str]) -> Process:
        self._start_count += 1
        unique = f"{name}.{self._start_count}"
        process = Process(unique, module, args, self._log_dir)
        self.processes.append(process)
        return process

    def _start_standin(self, name: str, *args: str) -> Process:
        bind = ["--bind", "127.0.0.1:0"]
        return self._start(name, "standins", [name, *bind, *args])

    def _start_engine(self, index: int) -> Process:
        args = [
            *("--slots", str(self.shape.slots)),
            *("--step-ms", str(self.shape.step_ms)),
            *("--service", self.shape.service),
            *("--model", self.shape.model),
            *self.shape.engine_args,
        ]
        return self._start(
            f"engine-{index}",
            "standins",
            ["engine", "--bind", "127.0.0.1:0", *args],
        )

    def _register_replica(
        self,
        host: str,
        process: Process,
        kind: str,
        index: int,
        service: str | None = None,
    ) -> None:
        address = process.info["address"]
        self._register_host(
            host, address, kind, index, service or self.shape.service
        )

    def _register_host(
        self, host: str, address: str, kind: str, index: int, service: str
    ) -> None:
        """Adds a host to the host list, as the platform does."""
        body = {
            "id": host,
            "address": address,
            "kind": kind,
            "service": service,
            "zone": self.shape.zones[index % len(self.shape.zones)],
            "region": self.shape.region,
            "state": "live",
        }
        url = f"http://{self.hostlist.info['address']}/hosts/{host}"
        request_json("PUT", url, body)


def request_json(method: str, url: str, body: Any = None) -> Any:
    """Sends a JSON request to a stand-in and returns its JSON answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    request.add_header("content-type", "application/json")
    with urllib.request.urlopen(request, timeout=10) as response:
        content = response.read()
    return json.loads(content) if content else None


def _wait_ready(processes: list[Process]) -> None:
    for process in processes:
        process.wait_ready()


def _wait_stopped(process: Process) -> list[DeploymentError]:
    try:
        process.wait()
    except DeploymentError as exc:
        return [exc]
    return []


@contextlib.contextmanager
def running(shape: Shape, log_dir: pathlib.Path) -> Iterator[Deployment]:
    """Runs stand-ins, entries and workers; stops all of them at the end."""
    deployment = Deployment(shape, log_dir)
    try:
        deployment.start()
        deployment.start_nodes()
        yield deployment
    finally:
        deployment.stop()
