"""Open-loop load of streamed requests, as sent through a load balancer."""

import dataclasses
import json
import random
import time
from collections.abc import AsyncIterator
from typing import Any

import httpcore
import trio

_MAX_TRIES = 3


@dataclasses.dataclass(slots=True, kw_only=True)
class Caller:
    """One customer's part of the load.

    Attributes:
        customer: Name of the customer.
        key: Secret of the customer's API key.
        rate: Requests per second.
        tokens: `max_tokens` of each request.
    """

    customer: str
    key: str
    rate: float
    tokens: int = 16


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """How one request ended.

    Attributes:
        customer: Name of the customer.
        status: HTTP status, 0 if no answer was received.
        code: Code of the error, or an empty string.
        ran: `not_run` or `may_have_run`, from the error.
        complete: Whether the whole answer was received.
        first_token_ms: Time from sending the last try to the first token.
        gaps_ms: Times between tokens.
        text: Text of the answer.
        prompt: Prompt of the request.
        tries: Number of requests sent, the caller's retries included.
        sent_s: Time at which the last try was sent (`time.perf_counter`).
        answered_s: Time at which its response began, 0 if there was none.
    """

    customer: str
    prompt: str
    status: int = 0
    code: str = ""
    ran: str = ""
    complete: bool = False
    first_token_ms: float | None = None
    gaps_ms: list[float] = dataclasses.field(default_factory=list)
    text: str = ""
    tries: int = 0
    sent_s: float = 0.0
    answered_s: float = 0.0


class Target:
    """The entries that a load balancer would choose from."""

    def __init__(self, base_urls: list[str], rng: random.Random) -> None:
        self._urls = list(base_urls)
        self._rng = rng
        # A pool scans all its connections at each request, so a single pool
        # for all entries would take most of this process's time.
        self._pools = {url: _make_pool() for url in base_urls}

    def remove(self, base_url: str) -> None:
        """Stops sending to an entry that has ended or is not ready."""
        self._urls = [url for url in self._urls if url != base_url]

    def pick(self) -> str:
        """Returns the URL of an entry, chosen at random."""
        return self._rng.choice(self._urls)

    def pool(self, base_url: str) -> httpcore.AsyncConnectionPool:
        """Returns the connection pool of an entry."""
        return self._pools[base_url]


def _make_pool() -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=500, max_keepalive_connections=100
    )


async def run(
    target: Target,
    callers: list[Caller],
    duration_s: float,
    model: str,
    rng: random.Random,
) -> list[Outcome]:
    """Sends requests at the callers' rates and returns all outcomes."""
    outcomes: list[Outcome] = []
    async with trio.open_nursery() as nursery:
        for caller in callers:
            nursery.start_soon(
                _send_at_rate,
                nursery,
                target,
                caller,
                duration_s,
                model,
                random.Random(rng.random()),
                outcomes,
            )
    return outcomes


async def _send_at_rate(
    nursery: trio.Nursery,
    target: Target,
    caller: Caller,
    duration_s: float,
    model: str,
    rng: random.Random,
    outcomes: list[Outcome],
) -> None:
    """Sends requests as a Poisson process, without waiting for answers."""
    due_s = trio.current_time()
    end_s = due_s + duration_s
    count = 0
    while True:
        due_s += rng.expovariate(caller.rate)
        if due_s >= end_s:
            return
        await trio.sleep_until(due_s)
        count += 1
        prompt = f"question {count} of {caller.customer}: {rng.random()}"
        outcome = Outcome(customer=caller.customer, prompt=prompt)
        outcomes.append(outcome)
        nursery.start_soon(request, target, caller, model, outcome)


async def request(
    target: Target, caller: Caller, model: str, outcome: Outcome
) -> None:
    """Sends one request; retries at another entry if a connection fails."""
    while outcome.tries < _MAX_TRIES:
        outcome.tries += 1
        try:
            await _stream(target, caller, model, outcome)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            outcome.status, outcome.text = 0, ""
            continue
        return


async def _stream(
    target: Target, caller: Caller, model: str, outcome: Outcome
) -> None:
    body = {
        "model": model,
        "messages": [{"role": "user", "content": outcome.prompt}],
        "max_tokens": caller.tokens,
        "stream": True,
    }
    headers = [
        (b"authorization", b"Bearer " + caller.key.encode()),
        (b"content-type", b"application/json"),
    ]
    url = target.pick()
    started_s = outcome.sent_s = time.perf_counter()
    async with target.pool(url).stream(
        "POST",
        url + "/chat/completions",
        headers=headers,
        content=json.dumps(body).encode(),
    ) as response:
        outcome.answered_s = time.perf_counter()
        outcome.status = response.status
        if response.status != 200:
            _record_error(outcome, json.loads(await response.aread()))
            return
        await _read_events(response, started_s, outcome)


async def _read_events(
    response: httpcore.Response, started_s: float, outcome: Outcome
) -> None:
    last_s = started_s
    async for payload in events(response):
        now_s = time.perf_counter()
        if payload == b"[DONE]":
            outcome.complete = True
            continue
        value = json.loads(payload)
        if "error" in value:
            _record_error(outcome, value)
            continue
        text = _text(value)
        if not text:
            continue
        if outcome.first_token_ms is None:
            outcome.first_token_ms = (now_s - started_s) * 1000
        else:
            outcome.gaps_ms.append((now_s - last_s) * 1000)
        last_s = now_s
        outcome.text += text


async def events(response: httpcore.Response) -> AsyncIterator[bytes]:
    """Yields the payload of each server-sent event."""
    buffer = b""
    async for chunk in response.aiter_stream():
        *whole, buffer = (buffer + chunk).split(b"\n\n")
        for event in whole:
            if event.startswith(b"data: "):
                yield event[6:]


def _text(value: dict[str, Any]) -> str:
    choices = value.get("choices") or [{}]
    return (choices[0].get("delta") or {}).get("content") or ""


def _record_error(outcome: Outcome, value: dict[str, Any]) -> None:
    error = value.get("error") or {}
    outcome.code = str(error.get("code", ""))
    outcome.ran = str(error.get("ran", ""))


def percentile(values: list[float], share: float) -> float | None:
    """Returns the percentile of `values` at `share`, 0 to 1."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
