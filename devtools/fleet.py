"""A fleet of gateways on loopback, with stand-ins for store and replicas."""

import contextlib
import dataclasses
import http.client
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from typing import Any

from devtools import deployment

KEY = "secret-kaje"
LIMITED_CUSTOMER = "neema"
LIMITED_KEY = "secret-neema"
HOST = "h.example"
SERVICE = "sabeel-lm"


# Below the ports that the system gives to outgoing connections, which would
# take a free port before the process that it was meant for.
_PORT_RANGE = (10_000, 32_000)
# Ports that were returned before. The process that was given one may not
# listen yet, and two gateways of a fleet of 18 were given the same one.
_assigned_ports: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Returns ports on loopback that are not in use, none of them twice."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(*_PORT_RANGE)
        if port in _assigned_ports:
            continue
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _assigned_ports.add(port)
        ports.append(port)
    return ports


def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> tuple[int, bytes]:
    """Makes an HTTP call.

    Returns:
        Status and body; status 0 if no complete answer was received.
    """
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


@dataclasses.dataclass(slots=True, kw_only=True)
class Shape:
    """Size and load settings of a fleet.

    Attributes:
        gateways: Number of gateways.
        replica_zones: Zones of the replicas, in turn.
        replicas: Number of replicas.
        events: Number of events in each stream.
        step_ms: Time between events.
        rate: Limit of the first customer in requests per second, and its
            burst; 0 for no limit.
        limited_rate: Rate and burst of `LIMITED_CUSTOMER`.
        ready_s: Time within which all gateways must become ready.
        process_limits: Table `limits` of the gateways' settings files.
        client_limits: Table `limits` of the configuration.
    """

    gateways: int = 3
    replicas: int = 3
    replica_zones: tuple[str, ...] = ("a",)
    events: int = 8
    step_ms: float = 10.0
    rate: float = 0.0
    limited_rate: float = 10.0
    ready_s: float = 20.0
    process_limits: dict[str, int] = dataclasses.field(default_factory=dict)
    client_limits: dict[str, int] = dataclasses.field(default_factory=dict)


class Gateway:
    """A gateway process that can be killed and started again.

    Attributes:
        command: Program and its first arguments.
        options: Options that are added at each start.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store: str,
        log_dir: pathlib.Path,
        limits: dict[str, int],
    ) -> None:
        self.name = name
        self.command = [sys.executable, "-m", "lacewingwood"]
        self.options: list[str] = []
        # The admin listener takes the second port of `port_range`.
        front_port, ready_port, control_port, admin_port = free_ports(4)
        self.address = f"127.0.0.1:{front_port}"
        self.ready_address = f"127.0.0.1:{ready_port}"
        self.peer_address = f"127.0.0.1:{control_port}"
        self.admin_address = f"127.0.0.1:{admin_port}"
        self.log_path = log_dir / f"{name}.log"
        limit_lines = [f"{key} = {value}\n" for key, value in limits.items()]
        self._settings = log_dir / f"{name}.toml"
        self._settings.write_text(
            f'node = "{name}"\nip = "127.0.0.1"\nzone = "{zone}"\n'
            f"port_range = [{admin_port - 1}, {admin_port}]\n"
            "heartbeat_ms = 500\n"
            f'[listen]\nfront = "{self.address}"\n'
            f'ready = "{self.ready_address}"\n'
            f'control = "{self.peer_address}"\n'
            "[bounds]\ngrace_s = 8\nquota_overage = 0.1\nquota_slack = 20\n"
            f'[platform_settings]\naddress = "{store}"\n'
            f"[limits]\n{''.join(limit_lines)}",
            encoding="utf-8",
        )
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Starts the process."""
        command = [*self.command, "gateway", "--config", str(self._settings)]
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [*command, *self.options],
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )

    def ready(self) -> bool:
        """Returns whether the gateway accepts new connections."""
        status, _ = call(self.ready_address, "GET", "/-/ready", timeout_s=1)
        return status == 200

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if self.process is not None and self.running:
            self.process.send_signal(number)

    def wait(self, timeout_s: float = 15.0) -> int:
        """Waits for the end of the process; returns its exit code."""
        assert self.process is not None
        return self.process.wait(timeout_s)


class Fleet:
    """Processes of a fleet; `configure` publishes their configuration."""

    def __init__(self, shape: Shape, log_dir: pathlib.Path) -> None:
        self.shape = shape
        self.gateways: list[Gateway] = []
        self.replicas: list[deployment.Process] = []
        self.store: deployment.Process
        self._log_dir = log_dir
        self._version = 0
        self._standins: list[deployment.Process] = []

    @property
    def store_address(self) -> str:
        """Address of the store."""
        return str(self.store.info["address"])

    def start(self) -> None:
        """Starts everything and waits until all gateways are ready."""
        self.store = self._start_standin("store", "keyed-store")
        self.configure()
        for _ in range(self.shape.replicas):
            self.add_replica()
        for n in range(self.shape.gateways):
            self.add_gateway(f"gateway-{n}", f"zone-{n % 2}")
        self.wait_ready()

    def add_replica(self, version: str = "v1") -> deployment.Process:
        """Starts one more replica of a software version."""
        name = f"replica-{len(self.replicas)}"
        zones = self.shape.replica_zones
        replica = self._start_standin(
            name,
            "stream-replica",
            *("--store", self.store_address),
            *("--service", SERVICE),
            *("--events", str(self.shape.events)),
            *("--step-ms", str(self.shape.step_ms)),
            *("--version", version),
            *("--zone", zones[len(self.replicas) % len(zones)]),
        )
        self.replicas.append(replica)
        return replica

    def make_gateway(self, name: str, zone: str, store: str = "") -> Gateway:
        """Adds a gateway without starting it.

        Args:
            name: Node name of the gateway.
            zone: Zone of the gateway.
            store: Address at which the gateway reaches the store; empty for
                the store's own.
        """
        store = store or self.store_address
        gateway = Gateway(
            name, zone, store, self._log_dir, self.shape.process_limits
        )
        self.gateways.append(gateway)
        return gateway

    def add_gateway(self, name: str, zone: str) -> Gateway:
        """Starts one more gateway."""
        gateway = self.make_gateway(name, zone)
        gateway.start()
        return gateway

    def wait_ready(self) -> None:
        """Waits until all running gateways are ready."""
        deadline = time.monotonic() + self.shape.ready_s
        for gateway in self.gateways:
            while gateway.running and not gateway.ready():
                if time.monotonic() > deadline:
                    raise deployment.DeploymentError(
                        f"{gateway.name} did not become ready"
                    )
                time.sleep(0.05)

    def configure(
        self,
        keys: tuple[str, ...] = (KEY,),
        waiting_limit: int = 0,
        cold_per_s: float = 0.0,
        **route: Any,
    ) -> int:
        """Publishes a configuration; returns its version.

        Args:
            keys: The customer's API keys.
            waiting_limit: Most tokens of a customer that wait on the batch
                route, 0 for no limit.
            cold_per_s: Requests a second that a cold replica takes, 0 if the
                service has no cold replicas.
            **route: Fields of the routes of streams.
        """
        self._version += 1
        common = {
            "host": HOST,
            "service": SERVICE,
            "timeout_ms": 5_000,
            "target_latency_ms": 300,
            "priority": 0,
            "max_attempts": 2,
            "gap_aim_ms": 200,
        }
        stream = {**common, "kind": "streaming", "resumable": True, **route}
        single_attempt = {**stream, "resumable": False, "max_attempts": 1}
        batch = {
            **common,
            "kind": "batch",
            "max_attempts": 3,
            "result_deadline_ms": 18_000,
            "retention_s": 60,
            "cap": waiting_limit,
        }
        document = {
            "version": self._version,
            "routes": [
                {"name": "s", "path_prefix": "/s/", **stream},
                {"name": "o", "path_prefix": "/o/", **single_attempt},
                {"name": "b", "path_prefix": "/b/", **batch},
            ],
            "services": [
                {"name": SERVICE, "cold_start_s": 3, "cold_per_s": cold_per_s}
            ],
            "tenants": [
                {
                    "name": "kaje",
                    "api_keys": list(keys),
                    "rate_per_s": self.shape.rate,
                    "burst": self.shape.rate,
                },
                {
                    "name": LIMITED_CUSTOMER,
                    "api_keys": [LIMITED_KEY],
                    "rate_per_s": self.shape.limited_rate,
                    "burst": self.shape.limited_rate,
                },
            ],
            "limits": self.shape.client_limits,
        }
        body = json.dumps(document).encode()
        path = "/put?topic=keyed.op&key=config"
        call(self.store_address, "POST", path, body)
        return self._version

    def evacuate(self, zone: str) -> None:
        """Asks that nothing more is sent to the replicas of a zone."""
        path = f"/put?topic=keyed.op&key=evacuate/{zone}"
        call(self.store_address, "POST", path, b"{}")

    def set_faults(self, process: deployment.Process, **faults: Any) -> None:
        """Sets a stand-in's faults; those that are not given are reset."""
        body = json.dumps(faults).encode()
        call(str(process.info["address"]), "POST", "/faults", body)

    def runs(self) -> list[dict[str, Any]]:
        """Returns the runs that the running replicas report."""
        runs: list[dict[str, Any]] = []
        for replica in self.replicas:
            if replica.running:
                address = str(replica.info["address"])
                status, body = call(address, "GET", "/runs")
                runs += json.loads(body) if status == 200 else []
        return runs

    def arrivals(self, replica: deployment.Process) -> list[float]:
        """Returns the Unix times of all requests that a replica got."""
        address = str(replica.info["address"])
        status, body = call(address, "GET", "/arrivals")
        times: list[float] = json.loads(body) if status == 200 else []
        return times

    def stop(self) -> None:
        """Ends all processes that this fleet started."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.running:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        for standin in self._standins:
            standin.signal(signal.SIGCONT)
            standin.signal(signal.SIGKILL)
            standin.wait()

    def _start_standin(self, name: str, *args: str) -> deployment.Process:
        command = [*args, "--bind", "127.0.0.1:0"]
        standin = deployment.Process(name, "standins", command, self._log_dir)
        self._standins.append(standin)
        standin.wait_ready()
        return standin


@contextlib.contextmanager
def running(shape: Shape, log_dir: pathlib.Path) -> Iterator[Fleet]:
    """Runs a fleet for the duration of a `with` block."""
    fleet = Fleet(shape, log_dir)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.stop()
