"""Starts the project's gateways as the deploy file does, and calls them."""

import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "nony24.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "kaje80"
SERVICE = "sabeel-lm"
_PORTS = (10_000, 32_000)
_used: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Returns ports on loopback that nothing listens on."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(*_PORTS)
        if port in _used:
            continue
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _used.add(port)
        ports.append(port)
    return ports


class Gateway:
    """One machine with its gateway process."""

    def __init__(
        self,
        name: str,
        zone: str,
        store: str,
        folder: pathlib.Path,
        memory_mb: int = 320,
    ) -> None:
        self.name, self.memory_mb = name, memory_mb
        front, ready, control, first, self._metrics_port = free_ports(5)
        self.address = f"127.0.0.1:{front}"
        self.ready_address = f"127.0.0.1:{ready}"
        self.control = f"127.0.0.1:{control}"
        self._first_port = first
        self._store, self._zone = store, zone
        self.settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self, seeds: list[str]) -> None:
        """Writes the settings file with the figures of the sheets."""
        self.settings.write_text(
            f'node = "{self.name}"\nrole = "gateway"\n'
            'machine_class = "front"\nserves = ["front","control"]\n'
            f'ip = "127.0.0.1"\nzone = "{self._zone}"\n'
            'region = "delta-north"\n'
            f"port_range = [{self._first_port},{self._first_port}]\n"
            f"seeds = {json.dumps(seeds)}\n"
            "bootstrap = true\nfault_counted = false\n"
            'discovery = "platform"\nentry = "vip"\nheartbeat_ms = 1200\n'
            'contracts = ["base","drain","config","cost","recover","batch",'
            '"stream","engine","tenants","quota","platform"]\n'
            f'[zones]\n{self._zone} = "delta-north"\n'
            f'[listen]\nfront = "{self.address}"\n'
            f'ready = "{self.ready_address}"\ncontrol = "{self.control}"\n'
            "[limits]\ncpu_share = 0.717\ncores = 3\n"
            f"memory_mb = {self.memory_mb}\n"
            "max_fds = 8200\nlink_mbps = 1000.0\ndisk_mb = 0\n"
            "[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n"
            "[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\n"
            "ack_ms = 4000\ncatch_up_s = 4.5\ndrain_ms = 2000\ngrace_s = 8\n"
            "loss_slack_ms = 200\nconfig_apply_ms = 2000\n"
            "rollback_slack_ms = 250\nmax_stretch_ms = 5000\n"
            "revoke_fail_closed = false\nrevoke_ms = 5000\n"
            "quota_window_s = 5\nquota_overage = 0.1\nquota_slack = 20\n"
            "recovery_s = 12\npass_ms = 120\nagain_s = 0\nfinish_s = 18\n"
            "status_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\n"
            f'[platform_settings]\naddress = "{self._store}"\nform = "log"\n'
            "writes_per_s = 800\nreads_per_s = 2000\nparts = 8\n"
            "append_ms = 4.0\npart_mb_s = 20.0\nread_mb_s = 80.0\n"
            "record_bytes = 262144\ncall_bytes = 2097152\n"
            "retention_s = 300\npart_mb = 200\nttl_min_ms = 1000\n",
            encoding="utf-8",
        )

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        environ = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environ["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environ["LACEWINGWOOD_CONFIG"] = str(self.settings)
        environ["LACEWINGWOOD_METRICS_PORT"] = str(self._metrics_port)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "lacewingwood", "gateway"],
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if self.process is not None and self.running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once."""
        if self.process is not None and self.running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def ready(self) -> bool:
        """Returns whether it answers the balancer's check with 200."""
        return (
            call(self.ready_address, "GET", "/-/ready", timeout_s=1)[0] == 200
        )

    def lines(self, event: str) -> list[dict[str, object]]:
        """Returns the lines of its log for one event."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            if f'"{event}"' in line:
                try:
                    found.append(json.loads(line))
                except ValueError:
                    continue
        return found


def call(
    address: str,
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, bytes]:
    """Makes a call on a new connection; status 0 without a whole answer."""
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        conn.request(method, target, body or None, headers or {})
        response = conn.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        conn.close()


def configuration(
    version: int,
    *,
    batch_route: bool = True,
    attempts: int = 3,
    rate: float = 0.0,
    burst: float = 0.0,
) -> bytes:
    """Returns a configuration of the operator; a rate of 0 is no limit."""
    common = {
        "host": HOST,
        "service": SERVICE,
        "timeout_ms": 5_000,
        "target_latency_ms": 300,
        "priority": 0,
        "max_attempts": 2,
        "gap_aim_ms": 200,
        "sticky": True,
    }
    routes = [
        {
            "name": "vendor-query",
            "path_prefix": "/lohu930/",
            **common,
            "kind": "streaming",
            "resumable": True,
        },
        {
            "name": "documents",
            "path_prefix": "/docs/",
            **common,
            "kind": "idempotent",
        },
        {
            "name": "inspector-check",
            "path_prefix": "/wuny96/",
            **common,
            "kind": "streaming",
            "max_attempts": 1,
        },
    ]
    if batch_route:
        routes.append(
            {
                "name": "renewal-batch",
                "path_prefix": "/pule252/",
                **common,
                "kind": "batch",
                "timeout_ms": 15_000,
                "target_latency_ms": 500,
                "priority": 2,
                "max_attempts": attempts,
                "result_deadline_ms": 18_000,
                "retention_s": 60,
            }
        )
    document = {
        "version": version,
        "routes": routes,
        "services": [{"name": SERVICE, "health_path": "/health"}],
        "tenants": [
            {
                "name": TENANT,
                "api_keys": [KEY],
                "rate_per_s": rate,
                "burst": burst,
            }
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 10_000,
            "idle_timeout_ms": 30_000,
        },
    }
    return json.dumps(document).encode()


def wait_ready(gateways: list[Gateway], limit_s: float = 25.0) -> bool:
    """Waits until all gateways are ready; returns whether they are."""
    end = time.monotonic() + limit_s
    while not all(gateway.ready() for gateway in gateways):
        if time.monotonic() > end:
            return False
        time.sleep(0.05)
    return True
