"""Callers' and operators' view of a running deployment."""

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

WAIT_S = 20.0
# A view that is older may not be used for keys, leases and limits.
FRESHNESS_S = 3.0
_POLL_S = 0.02
_EXIT_EVICTED = 75
_CHAT = "/v1/chat/completions"


class Answer:
    """An HTTP answer as a caller sees it.

    `events` are the payloads of a stream; `broken` says that the connection
    ended before the answer did.
    """

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.broken = False
        self.first_byte = threading.Event()
        self.ended = threading.Event()

    def __repr__(self) -> str:
        return f"<{self.status} {self.body[-300:]!r} broken={self.broken}>"

    @property
    def json(self) -> Any:
        return json.loads(self.body) if self.body else None

    @property
    def error(self) -> dict[str, Any]:
        """The error in the body or in one of the events, or {}."""
        if not self.body.startswith(b"data:"):
            return (self.json or {}).get("error") or {}
        errors = [e["error"] for e in self._values() if "error" in e]
        return errors[0] if errors else {}

    @property
    def refused(self) -> bool:
        return self.status >= 400 and self.error.get("ran") == "not_run"

    @property
    def done(self) -> bool:
        return b"data: [DONE]" in self.body

    @property
    def text(self) -> str:
        deltas = [
            choice.get("delta") or {}
            for value in self._values()
            for choice in value.get("choices", [])
        ]
        return "".join(delta.get("content") or "" for delta in deltas)

    def _values(self) -> list[dict[str, Any]]:
        payloads = [
            event[6:]
            for event in self.body.split(b"\n\n")[:-1]
            if event.startswith(b"data: ")
        ]
        return [json.loads(p) for p in payloads if p != b"[DONE]"]


class System:
    """A deployment with one customer, `acme`, and helpers for its tests."""

    def __init__(self, running: deployment.Deployment) -> None:
        self.running = running
        self.threads = concurrent.futures.ThreadPoolExecutor(64)
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
        self.key = self.customer("acme", 500, 1000)["secret"]
        self.wait_until_served(self.key)

    @property
    def entries(self) -> list[deployment.Process]:
        return self.running.entries

    def customer(self, name: str, rate: float, burst: int) -> dict[str, str]:
        """Creates a customer and returns a new key of it."""
        self.operate(
            *("customer", "put", name),
            *("--rate", str(rate), "--burst", str(burst)),
        )
        return self.operate("key", "give", name)

    def restart_evicted(self) -> None:
        """Plays the supervisor: restarts nodes that ended as evicted.

        The others declare a node as left that was paused for too long.
        """
        for nodes, role in (
            (self.entries, "entry"),
            (self.running.workers, "worker"),
        ):
            for index, node in enumerate(nodes):
                wait_for(lambda n=node: not n.running or _ready(n))
                if node.running:
                    continue
                assert node.wait() == _EXIT_EVICTED, node.name
                nodes[index] = self.running.spawn(role, index)
                nodes[index].wait_ready()

    def wait_until_served(self, key: str) -> None:
        """Waits until every entry serves a key."""
        for entry in self.entries:
            wait_for(lambda e=entry: self.chat(e, key, "ready?").status == 200)

    def chat(
        self,
        entry: deployment.Process,
        key: str,
        prompt: str,
        tokens: int = 1,
        stream: bool = False,
        answer: Answer | None = None,
    ) -> Answer:
        """Sends one chat completion and returns the whole answer."""
        body = {
            "model": self.model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        }
        return self.call(entry, "POST", _CHAT, key, body, answer=answer)

    def start_stream(
        self, entry: deployment.Process, key: str, prompt: str, tokens: int
    ) -> Answer:
        """Starts a streamed completion and waits for its first bytes."""
        answer = Answer()
        self.threads.submit(self.chat, entry, key, prompt, tokens, True, answer)
        assert answer.first_byte.wait(WAIT_S), "no first byte"
        return answer

    def call(
        self,
        entry: deployment.Process,
        method: str,
        path: str,
        key: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        answer: Answer | None = None,
    ) -> Answer:
        """Sends a request on a connection of its own."""
        conn = connect(entry)
        with contextlib.closing(conn):
            return send(conn, method, path, key, body, headers, answer)

    def upload(
        self, entry: deployment.Process, key: str, lines: list[dict[str, Any]]
    ) -> str:
        """Stores a batch file and returns its id."""
        content = "\n".join(json.dumps(line) for line in lines)
        form = (
            '--edge\r\ncontent-disposition: form-data; name="purpose"\r\n\r\n'
            "batch\r\n--edge\r\ncontent-disposition: form-data;"
            ' name="file"; filename="items.jsonl"\r\n\r\n'
            f"{content}\r\n--edge--\r\n"
        )
        kind = {"content-type": "multipart/form-data; boundary=edge"}
        answer = self.call(entry, "POST", "/v1/files", key, form.encode(), kind)
        assert answer.status == 200, answer.body
        return answer.json["id"]

    def items(self, prefix: str, count: int, tokens: int) -> list[Any]:
        """Returns the lines of a batch file."""
        return [
            {
                "custom_id": f"{prefix}-{index}",
                "method": "POST",
                "url": _CHAT,
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
    ) -> Answer:
        """Asks for a batch job."""
        body = {
            "input_file_id": file_id,
            "endpoint": _CHAT,
            "completion_window": "24h",
        }
        return self.call(entry, "POST", "/v1/batches", key, body)

    def job(self, entry: deployment.Process, key: str, job_id: str) -> Any:
        """Returns the state of a job, {} if it can't be had now."""
        answer = self.call(entry, "GET", f"/v1/batches/{job_id}", key)
        return answer.json if answer.status == 200 else {}

    def output(
        self, entry: deployment.Process, key: str, file_id: str | None
    ) -> list[Any]:
        """Returns the lines of a result file."""
        if not file_id:
            return []
        path = f"/v1/files/{file_id}/content"
        answer = self.call(entry, "GET", path, key)
        assert answer.status == 200, answer.body
        return [json.loads(line) for line in answer.body.splitlines()]

    def fault(self, process: deployment.Process, **changes: Any) -> None:
        """Sets faults of a stand-in."""
        url = f"http://{process.info['address']}/faults"
        deployment.request_json("POST", url, changes)

    def stats(self, process: deployment.Process) -> Any:
        """Returns the statistics of a stand-in."""
        url = f"http://{process.info['address']}/stats"
        return deployment.request_json("GET", url)

    def runs(self) -> list[Any]:
        """Returns the requests that all live engines have seen."""
        engines = [e for e in self.running.engines if e.running]
        return [run for e in engines for run in self.stats(e)["runs"]]

    @contextlib.contextmanager
    def paused(self, *processes: deployment.Process) -> Iterator[None]:
        """Pauses processes with SIGSTOP."""
        for process in processes:
            process.signal(signal.SIGSTOP)
        try:
            yield
        finally:
            for process in processes:
                process.signal(signal.SIGCONT)

    @contextlib.contextmanager
    def log_down(self) -> Iterator[None]:
        """Makes the log refuse everything."""
        self.fault(self.running.log, down=True)
        try:
            yield
        finally:
            self.fault(self.running.log, down=False)


def _ready(node: deployment.Process) -> bool:
    url = f"http://{node.info['admin']}/readyz"
    try:
        return deployment.request_json("GET", url)["ready"]
    except OSError:
        return False


def connect(entry: deployment.Process) -> http.client.HTTPConnection:
    """Returns a connection to an entry."""
    host, port = entry.info["address"].rsplit(":", 1)
    return http.client.HTTPConnection(host, int(port), timeout=30)


def send(
    conn: http.client.HTTPConnection,
    method: str,
    path: str,
    key: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    answer: Answer | None = None,
) -> Answer:
    """Sends a request and reads its answer, broken connections included."""
    answer = answer or Answer()
    fields = {"content-type": "application/json", **(headers or {})}
    if key:
        fields.setdefault("authorization", f"Bearer {key}")
    data = body if isinstance(body, bytes | None) else json.dumps(body)
    try:
        conn.request(method, path, data, fields)
        response = conn.getresponse()
        answer.status = response.status
        while chunk := response.read1(65536):
            answer.body += chunk
            answer.first_byte.set()
        # Marks the answer as read, so that the connection can be used again.
        response.read()
    except (OSError, http.client.HTTPException):
        answer.broken = True
        conn.close()
    answer.ended.set()
    return answer


def wait_for(condition: Callable[[], Any], within_s: float = WAIT_S) -> Any:
    """Polls until a condition holds and returns its value."""
    deadline = time.monotonic() + within_s
    while not (value := condition()):
        assert time.monotonic() < deadline, f"not so within {within_s} s"
        time.sleep(_POLL_S)
    return value


def stays(condition: Callable[[], Any], for_s: float) -> None:
    """Checks again and again that a condition holds all the time."""
    end = time.monotonic() + for_s
    while time.monotonic() < end:
        assert condition(), "no longer so"
        time.sleep(_POLL_S)


def expected_text(prompt: str, tokens: int) -> str:
    """Returns the stand-in's answer to one user message."""
    sequence = batching.Sequence(
        "", "", f"user: {prompt}\n".encode(), tokens, 0
    )
    return batching.text(sequence.seed, sequence.length)


def long_prompt(prefix: str) -> str:
    """Returns a prompt whose answer has at least 240 tokens."""
    for index in range(1_000):
        prompt = f"{prefix} {index}"
        if len(expected_text(prompt, 1_000).split()) >= 240:
            return prompt
    raise AssertionError("no prompt has a long answer")
