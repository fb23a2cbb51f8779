"""Harness that uses a deployment as callers and operators do."""

import concurrent.futures
import contextlib
import http.client
import json
import signal
import threading
import time
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

from devtools import deployment
from standins import batching

TIMEOUT_S = 20.0
# An entry may not use a view of the log that is older than this to check keys,
# leases and limits.
MAX_VIEW_AGE_S = 3.0
_POLL_INTERVAL_S = 0.02
_EVICTED_EXIT_CODE = 75
_CHAT_PATH = "/v1/chat/completions"


class Response:
    """An HTTP response as a caller sees it.

    Attributes:
        status: HTTP status, 0 until the response starts.
        body: Bytes of the body received so far.
        broken: True if the connection failed before the response was complete.
        first_byte_received: Set once a part of the body has been received.
        finished: Set once the response is complete or the connection failed.
    """

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.broken = False
        self.first_byte_received = threading.Event()
        self.finished = threading.Event()

    def __repr__(self) -> str:
        return f"<{self.status} {self.body[-300:]!r} broken={self.broken}>"

    @property
    def json(self) -> Any:
        """The decoded body, or None if it is empty."""
        return json.loads(self.body) if self.body else None

    @property
    def error(self) -> dict[str, Any]:
        """The error in the body or the first one in the events, or {}."""
        if not self.body.startswith(b"data:"):
            return (self.json or {}).get("error") or {}
        errors = [e["error"] for e in self._decoded_events() if "error" in e]
        return errors[0] if errors else {}

    @property
    def refused_as_not_run(self) -> bool:
        """Whether the response is an error that reports `not_run`."""
        return self.status >= 400 and self.error.get("ran") == "not_run"

    @property
    def complete(self) -> bool:
        """Whether the stream contains its final `[DONE]` event."""
        return b"data: [DONE]" in self.body

    @property
    def text(self) -> str:
        """The text of all events of a streamed completion."""
        deltas = [
            choice.get("delta") or {}
            for event in self._decoded_events()
            for choice in event.get("choices", [])
        ]
        return "".join(delta.get("content") or "" for delta in deltas)

    def _decoded_events(self) -> list[dict[str, Any]]:
        payloads = [
            event[6:]
            for event in self.body.split(b"\n\n")[:-1]
            if event.startswith(b"data: ")
        ]
        return [json.loads(p) for p in payloads if p != b"[DONE]"]


class System:
    """The system under test: a deployment with one customer, `acme`.

    Attributes:
        deployment: The running processes.
        operate: Runs the operators' command-line client.
        executor: Threads for concurrent requests.
        model: Name of the model that the deployment serves.
        key: API key of `acme`.
    """

    def __init__(self, running: deployment.Deployment) -> None:
        self.deployment = running
        self.executor = concurrent.futures.ThreadPoolExecutor(64)
        self.model = running.shape.model
        self.operate = running.operate
        self.operate(
            *("model", "put", self.model),
            *("--service", running.shape.service, "--version", "1"),
        )
        self.operate(
            *("route", "put", "inspections"),
            *("--prefix", "/", "--service", "inspections"),
        )
        self.key = self.create_customer("acme", 500, 1000)["secret"]
        self.wait_until_key_is_accepted(self.key)

    @property
    def entries(self) -> list[deployment.Process]:
        """The entry processes of the deployment."""
        return self.deployment.entries

    def create_customer(
        self, name: str, rate: float, burst: int
    ) -> dict[str, str]:
        """Creates a customer and returns the id and secret of a new API key."""
        self.operate(
            *("customer", "put", name),
            *("--rate", str(rate), "--burst", str(burst)),
        )
        return self.operate("key", "give", name)

    def restart_evicted_nodes(self) -> None:
        """Restarts nodes that exited after an eviction, as a supervisor does.

        The other nodes evict a node that a test paused for too long.
        """
        for nodes, role in (
            (self.entries, "entry"),
            (self.deployment.workers, "worker"),
        ):
            for index, node in enumerate(nodes):
                wait_for(lambda n=node: not n.running or _is_ready(n))
                if node.running:
                    continue
                assert node.wait() == _EVICTED_EXIT_CODE, node.name
                nodes[index] = self.deployment.spawn(role, index)
                nodes[index].wait_ready()

    def wait_until_key_is_accepted(self, key: str) -> None:
        """Waits until every entry accepts an API key."""
        for entry in self.entries:
            wait_for(lambda e=entry: self.chat(e, key, "ready?").status == 200)

    def chat(
        self,
        entry: deployment.Process,
        key: str,
        prompt: str,
        tokens: int = 1,
        stream: bool = False,
        response: Response | None = None,
    ) -> Response:
        """Sends one chat completion request and returns the response.

        `response`, if given, receives the data while it arrives.
        """
        body = {
            "model": self.model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        }
        return self.call(
            entry, "POST", _CHAT_PATH, key, body, response=response
        )

    def start_stream(
        self, entry: deployment.Process, key: str, prompt: str, tokens: int
    ) -> Response:
        """Starts a streamed chat completion and waits for its first bytes."""
        response = Response()
        self.executor.submit(
            self.chat, entry, key, prompt, tokens, True, response
        )
        assert response.first_byte_received.wait(TIMEOUT_S), (
            "the stream sent no data"
        )
        return response

    def call(
        self,
        entry: deployment.Process,
        method: str,
        path: str,
        key: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        response: Response | None = None,
    ) -> Response:
        """Sends a request on a new connection and returns the response."""
        conn = connect(entry)
        with contextlib.closing(conn):
            return send(conn, method, path, key, body, headers, response)

    def upload(
        self, entry: deployment.Process, key: str, lines: list[dict[str, Any]]
    ) -> str:
        """Uploads a batch input file and returns its id."""
        content = "\n".join(json.dumps(line) for line in lines)
        form = (
            '--edge\r\ncontent-disposition: form-data; name="purpose"\r\n\r\n'
            "batch\r\n--edge\r\ncontent-disposition: form-data;"
            ' name="file"; filename="items.jsonl"\r\n\r\n'
            f"{content}\r\n--edge--\r\n"
        )
        headers = {"content-type": "multipart/form-data; boundary=edge"}
        response = self.call(
            entry, "POST", "/v1/files", key, form.encode(), headers
        )
        assert response.status == 200, response.body
        return response.json["id"]

    def batch_lines(self, prefix: str, count: int, tokens: int) -> list[Any]:
        """Returns the lines of a batch input file."""
        return [
            {
                "custom_id": f"{prefix}-{index}",
                "method": "POST",
                "url": _CHAT_PATH,
                "body": {
                    "model": self.model,
                    "messages": [
                        {"role": "user", "content": f"{prefix} item {index}"}
                    ],
                    "max_tokens": tokens,
                },
            }
            for index in range(count)
        ]

    def create_job(
        self, entry: deployment.Process, key: str, file_id: str
    ) -> Response:
        """Requests a batch job for an uploaded file."""
        body = {
            "input_file_id": file_id,
            "endpoint": _CHAT_PATH,
            "completion_window": "24h",
        }
        return self.call(entry, "POST", "/v1/batches", key, body)

    def get_job(self, entry: deployment.Process, key: str, job_id: str) -> Any:
        """Returns a job, or {} if the entry does not return it."""
        response = self.call(entry, "GET", f"/v1/batches/{job_id}", key)
        return response.json if response.status == 200 else {}

    def get_output(
        self, entry: deployment.Process, key: str, file_id: str | None
    ) -> list[Any]:
        """Returns the lines of an output file, none without a file id."""
        if not file_id:
            return []
        path = f"/v1/files/{file_id}/content"
        response = self.call(entry, "GET", path, key)
        assert response.status == 200, response.body
        return [json.loads(line) for line in response.body.splitlines()]

    def set_faults(self, process: deployment.Process, **changes: Any) -> None:
        """Changes the faults that a stand-in injects."""
        url = f"http://{process.info['address']}/faults"
        deployment.request_json("POST", url, changes)

    def get_stats(self, process: deployment.Process) -> Any:
        """Returns the statistics of a stand-in."""
        url = f"http://{process.info['address']}/stats"
        return deployment.request_json("GET", url)

    def get_runs(self) -> list[Any]:
        """Returns the requests that all running engines have received."""
        engines = [e for e in self.deployment.engines if e.running]
        return [run for e in engines for run in self.get_stats(e)["runs"]]

    @contextlib.contextmanager
    def paused(self, *processes: deployment.Process) -> Iterator[None]:
        """Pauses processes with SIGSTOP for the duration of the block."""
        for process in processes:
            process.signal(signal.SIGSTOP)
        try:
            yield
        finally:
            for process in processes:
                process.signal(signal.SIGCONT)

    @contextlib.contextmanager
    def log_unavailable(self) -> Iterator[None]:
        """Makes the log unavailable for the duration of the block."""
        self.set_faults(self.deployment.log, down=True)
        try:
            yield
        finally:
            self.set_faults(self.deployment.log, down=False)


def _is_ready(node: deployment.Process) -> bool:
    url = f"http://{node.info['admin']}/readyz"
    try:
        return deployment.request_json("GET", url)["ready"]
    except OSError:
        return False


def connect(entry: deployment.Process) -> http.client.HTTPConnection:
    """Returns a new connection to an entry."""
    host, port = entry.info["address"].rsplit(":", 1)
    return http.client.HTTPConnection(host, int(port), timeout=30)


def send(
    conn: http.client.HTTPConnection,
    method: str,
    path: str,
    key: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    response: Response | None = None,
) -> Response:
    """Sends a request and returns its response.

    If the connection fails, the response is marked as broken and contains the
    data received until then. `response`, if given, receives the data while it
    arrives.
    """
    response = response or Response()
    fields = {"content-type": "application/json", **(headers or {})}
    if key:
        fields.setdefault("authorization", f"Bearer {key}")
    data = body if isinstance(body, bytes | None) else json.dumps(body)
    try:
        conn.request(method, path, data, fields)
        raw = conn.getresponse()
        response.status = raw.status
        while chunk := raw.read1(65536):
            response.body += chunk
            response.first_byte_received.set()
        # Marks the response as read, so that the connection can be reused.
        raw.read()
    except (OSError, http.client.HTTPException):
        response.broken = True
        conn.close()
    response.finished.set()
    return response


def wait_for(condition: Callable[[], Any], timeout_s: float = TIMEOUT_S) -> Any:
    """Polls a condition until it is true and returns its value."""
    deadline = time.monotonic() + timeout_s
    while not (value := condition()):
        assert time.monotonic() < deadline, (
            f"condition did not hold within {timeout_s} s"
        )
        time.sleep(_POLL_INTERVAL_S)
    return value


def check_holds(condition: Callable[[], Any], duration_s: float) -> None:
    """Polls a condition and checks that it is true for the whole duration."""
    end = time.monotonic() + duration_s
    while time.monotonic() < end:
        assert condition(), "condition no longer holds"
        time.sleep(_POLL_INTERVAL_S)


def expected_text(prompt: str, tokens: int) -> str:
    """Returns the text that stand-in engines generate for a user message."""
    sequence = batching.Sequence(
        "", "", f"user: {prompt}\n".encode(), tokens, 0
    )
    return batching.text(sequence.seed, sequence.length)


def long_prompt(prefix: str) -> str:
    """Returns a prompt for which engines generate at least 240 tokens."""
    for index in range(1_000):
        prompt = f"{prefix} {index}"
        if len(expected_text(prompt, 1_000).split()) >= 240:
            return prompt
    raise AssertionError("found no prompt that yields 240 tokens")
