"""Runs a deployment under load and failures and checks it (`make demo`)."""

import dataclasses
import json
import pathlib
import random
import signal
import sys
import tempfile
import time
from typing import Any

import openai
import trio

from devtools import deployment
from devtools import load
from devtools import up

_SEED = 20261204
_DURATION_S = 18.0
_BATCH_ITEMS = 300
_FAILING_ITEM_INTERVAL = 60
_BATCH_TIMEOUT_S = 20.0
_WITHDRAWAL_LIMIT_S = 5.0
# Rate limit in requests per second and burst of each customer.
_CUSTOMERS: dict[str, tuple[float, int]] = {
    "tanta-office": (60, 120),
    "mahalla-vendors": (40, 80),
    "kafr-inspectors": (20, 40),
    "zifta-night-desk": (20, 40),
    "guest-cart": (20, 40),
}
# Online load in requests per second of each customer that sends any.
_RATES = {
    "tanta-office": 12.0,
    "mahalla-vendors": 8.0,
    "kafr-inspectors": 4.0,
}


@dataclasses.dataclass(slots=True)
class Batch:
    """Outcome of the demo's batch job: its status and counts of items."""

    items: int = 0
    done: int = 0
    failed: int = 0
    duplicated: int = 0
    lost: int = 0
    status: str = ""


@dataclasses.dataclass(slots=True)
class Report:
    """Results of the demo and the guarantees that were broken."""

    outcomes: list[load.Outcome] = dataclasses.field(default_factory=list)
    batch: Batch = dataclasses.field(default_factory=Batch)
    withdrawn_after_s: float | None = None
    broken: list[str] = dataclasses.field(default_factory=list)


def _print_status(text: str) -> None:
    print(f"demo: {text}", flush=True)


def batch_lines(model: str) -> tuple[bytes, set[str]]:
    """Returns a batch file and the ids of its items that always fail."""
    lines: list[str] = []
    failing_ids: set[str] = set()
    for index in range(_BATCH_ITEMS):
        custom_id = f"renewal-{index}"
        content = f"renew permit {index}"
        if index % _FAILING_ITEM_INTERVAL == _FAILING_ITEM_INTERVAL - 1:
            content = f"BAD-ITEM {index}"
            failing_ids.add(custom_id)
        body = {
            "model": model,
            "messages": [{"role": "user", "content": content}],
            "max_tokens": 24,
        }
        item = {
            "custom_id": custom_id,
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": body,
        }
        lines.append(json.dumps(item))
    return "\n".join(lines).encode(), failing_ids


class Demo:
    """One run of the demo on a running deployment."""

    def __init__(
        self, running: deployment.Deployment, keys: list[dict[str, str]]
    ) -> None:
        self.running = running
        self.keys = {key["name"]: key for key in keys}
        self.report = Report()
        self._rng = random.Random(_SEED)

    async def run(self) -> Report:
        """Sends load, injects failures and checks the outcomes."""
        target = load.Target(self.running.base_urls, self._rng)
        callers = [
            load.Caller(customer=name, key=self.keys[name]["key"], rate=rate)
            for name, rate in _RATES.items()
        ]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._load, target, callers)
            nursery.start_soon(self._batch)
            nursery.start_soon(self._inject_failures, target)
            nursery.start_soon(self._withdraw, target)
        self._check()
        return self.report

    async def _load(
        self, target: load.Target, callers: list[load.Caller]
    ) -> None:
        self.report.outcomes = await load.run(
            target, callers, _DURATION_S, self.running.shape.model, self._rng
        )
        _print_status(
            f"online load ended: {len(self.report.outcomes)} requests"
        )

    async def _inject_failures(self, target: load.Target) -> None:
        """Kills one entry and stops another while streams are running."""
        await trio.sleep(_DURATION_S * 0.35)
        killed, stopped = self.running.entries[0], self.running.entries[1]
        urls = self.running.base_urls
        _print_status(f"SIGKILL to {killed.name}")
        killed.signal(signal.SIGKILL)
        target.remove(urls[0])
        await trio.sleep(_DURATION_S * 0.25)
        _print_status(f"SIGTERM to {stopped.name} while it has streams")
        stopped.signal(signal.SIGTERM)
        await trio.sleep(self.running.shape.drain_ms / 2000)
        target.remove(urls[1])
        code = await trio.to_thread.run_sync(stopped.wait)
        _print_status(f"{stopped.name} ended with exit code {code}")
        if code != 0:
            self.report.broken.append(f"planned stop exited with {code}")

    async def _withdraw(self, target: load.Target) -> None:
        """Withdraws a key and measures how long it is still accepted."""
        await trio.sleep(_DURATION_S * 0.15)
        key = self.keys["guest-cart"]
        caller = load.Caller(
            customer="guest-cart", key=key["key"], rate=1, tokens=2
        )
        if not await self._accepted(target, caller):
            self.report.broken.append("a valid key was refused")
        _print_status("withdrawing the key of guest-cart")
        await trio.to_thread.run_sync(
            self.running.operate, "key", "withdraw", key["key_id"]
        )
        started = time.perf_counter()
        refusals = 0
        while refusals < 10:
            if await self._accepted(target, caller):
                refusals = 0
            else:
                refusals += 1
                if refusals == 1:
                    self.report.withdrawn_after_s = (
                        time.perf_counter() - started
                    )
            if time.perf_counter() - started > _WITHDRAWAL_LIMIT_S + 5:
                self.report.broken.append("a withdrawn key went on working")
                return
            await trio.sleep(0.1)
        _print_status("the withdrawn key is refused")

    async def _accepted(self, target: load.Target, caller: load.Caller) -> bool:
        outcome = load.Outcome(customer=caller.customer, prompt="permit?")
        await load.request(target, caller, self.running.shape.model, outcome)
        return outcome.status == 200

    async def _batch(self) -> None:
        key = self.keys["zifta-night-desk"]["key"]
        await trio.to_thread.run_sync(self._run_batch, key)

    def _run_batch(self, key: str) -> None:
        """Runs a batch job through the OpenAI client, as a customer would."""
        client = openai.OpenAI(
            api_key=key, base_url=self.running.base_urls[-1], timeout=20
        )
        content, failing_ids = batch_lines(self.running.shape.model)
        file = client.files.create(
            file=("items.jsonl", content), purpose="batch"
        )
        job = client.batches.create(
            input_file_id=file.id,
            endpoint="/v1/chat/completions",
            completion_window="24h",
        )
        _print_status(f"batch {job.id} with {_BATCH_ITEMS} items accepted")
        deadline = time.monotonic() + _DURATION_S + _BATCH_TIMEOUT_S
        while job.status not in ("completed", "failed", "cancelled"):
            if time.monotonic() > deadline:
                break
            time.sleep(0.5)
            job = client.batches.retrieve(job.id)
        _print_status(f"batch ended as {job.status}: {job.request_counts}")
        self.report.batch = self._read_batch(client, job, failing_ids)

    def _read_batch(
        self, client: openai.OpenAI, job: Any, failing_ids: set[str]
    ) -> Batch:
        done = _custom_ids(client, job.output_file_id)
        failed = _custom_ids(client, job.error_file_id)
        ended = set(done) | set(failed)
        batch = Batch(items=_BATCH_ITEMS, status=job.status)
        batch.done, batch.failed = len(set(done)), len(set(failed))
        batch.duplicated = len(done) + len(failed) - len(ended)
        batch.lost = _BATCH_ITEMS - len(ended)
        if set(failed) != failing_ids:
            wrong = sorted(set(failed) ^ failing_ids)[:5]
            self.report.broken.append(f"wrong items ended as failed: {wrong}")
        return batch

    def _check(self) -> None:
        report = self.report
        if report.batch.lost or report.batch.duplicated:
            report.broken.append(f"batch items lost or doubled: {report.batch}")
        cut = [o for o in report.outcomes if o.status == 200 and not o.complete]
        if cut:
            report.broken.append(f"{len(cut)} streams ended before the end")
        late = report.withdrawn_after_s
        if late is None or late > _WITHDRAWAL_LIMIT_S:
            report.broken.append(f"withdrawn key refused after {late} s")
        refused = [o for o in report.outcomes if o.status == 429]
        if len(refused) > 0.001 * len(report.outcomes):
            report.broken.append(
                f"{len(refused)} refusals inside the customers' rates"
            )


def _custom_ids(client: openai.OpenAI, file_id: str | None) -> list[str]:
    if not file_id:
        return []
    text = client.files.content(file_id).text
    return [json.loads(line)["custom_id"] for line in text.splitlines()]


def _summary(report: Report) -> dict[str, Any]:
    customers = {}
    for name in _RATES:
        own_outcomes = [o for o in report.outcomes if o.customer == name]
        first = [
            o.first_token_ms
            for o in own_outcomes
            if o.first_token_ms is not None
        ]
        customers[name] = {
            "requests": len(own_outcomes),
            "served": sum(o.complete for o in own_outcomes),
            "refused": sum(o.status == 429 for o in own_outcomes),
            "failed": sum(
                not o.complete and o.status != 429 for o in own_outcomes
            ),
            "first_token_ms": {
                f"p{share * 100:g}": load.percentile(first, share)
                for share in (0.5, 0.95, 0.99)
            },
        }
    return {
        "ok": not report.broken,
        "customers": customers,
        "batch": dataclasses.asdict(report.batch),
        "withdrawn_after_s": report.withdrawn_after_s,
        "broken": report.broken,
        "seed": _SEED,
    }


def _print_table(summary: dict[str, Any]) -> None:
    print(f"{'customer':18}{'served':>8}{'refused':>9}{'failed':>8}", end="")
    print(f"{'p50 ms':>9}{'p95 ms':>9}{'p99 ms':>9}")
    for name, row in summary["customers"].items():
        print(f"{name:18}{row['served']:>8}{row['refused']:>9}", end="")
        print(f"{row['failed']:>8}", end="")
        for value in row["first_token_ms"].values():
            print(f"{'-' if value is None else f'{value:.1f}':>9}", end="")
        print()
    batch = summary["batch"]
    print(
        f"batch: {batch['done']} done, {batch['failed']} failed,"
        f" {batch['duplicated']} duplicated, {batch['lost']} lost"
        f" of {batch['items']}"
    )
    for line in summary["broken"]:
        print(f"BROKEN: {line}")


def main() -> int:
    """Runs the demo; returns 1 if a guarantee broke."""
    with tempfile.TemporaryDirectory(prefix="lacewingwood-") as directory:
        try:
            shape = deployment.Shape()
            with deployment.running(shape, pathlib.Path(directory)) as running:
                _print_status(
                    "three entries and two workers are ready in two zones"
                )
                keys = up.configure(running, _CUSTOMERS)
                _print_status(
                    "customers, keys, a route and a model are configured"
                )
                report = trio.run(Demo(running, keys).run)
        except deployment.DeploymentError as exc:
            print(f"demo: {exc}", file=sys.stderr)
            return 1
    summary = _summary(report)
    _print_table(summary)
    print(json.dumps(summary))
    return 0 if summary["ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
