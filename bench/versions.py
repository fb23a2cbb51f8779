"""Starts the system or the naive version, on stand-ins of the same kind."""

import contextlib
import functools
import json
import pathlib
import random
import secrets
from collections.abc import Iterator

import openai
import trio

from bench import phases
from bench import workload
from devtools import deployment


@contextlib.contextmanager
def system(
    org: workload.Organisation, directory: pathlib.Path
) -> Iterator[phases.Version]:
    """Runs entries and workers."""
    with deployment.running(org.shape, directory) as running:
        keys = _configure(org, running, directory)

        async def start_batch() -> None:
            submit = functools.partial(_submit, org, running, keys)
            await trio.to_thread.run_sync(submit)

        yield phases.Version(org, running, running.base_urls, keys, start_batch)


def _configure(
    org: workload.Organisation,
    running: deployment.Deployment,
    directory: pathlib.Path,
) -> dict[str, str]:
    """Applies the configuration; returns each customer's key."""
    keys = {
        name: f"{name}-{secrets.token_urlsafe(32)}" for name in org.customers
    }
    document: dict[str, list[dict[str, object]]] = {
        "customers": [
            {"name": name, "rate": rate, "burst": burst}
            for name, (rate, burst) in org.limits().items()
        ],
        "keys": [
            {"key_id": f"key-{name}", "customer": name, "secret": secret}
            for name, secret in keys.items()
        ],
        "models": [
            {
                "name": org.shape.model,
                "service": org.shape.service,
                "version": "1",
            }
        ],
    }
    path = directory / "config.toml"
    path.write_text(_to_toml(document))
    running.operate("config", "apply", str(path))
    return keys


def _to_toml(document: dict[str, list[dict[str, object]]]) -> str:
    """Encodes arrays of flat tables; JSON's scalars are valid TOML."""
    lines = ["schema_version = 1"]
    for section, tables in document.items():
        for table in tables:
            lines.append(f"[[{section}]]")
            lines += [f"{k} = {json.dumps(v)}" for k, v in table.items()]
    return "\n".join(lines)


def _submit(
    org: workload.Organisation,
    running: deployment.Deployment,
    keys: dict[str, str],
) -> None:
    """Submits a batch job through the OpenAI client, as a customer would."""
    client = openai.OpenAI(
        api_key=keys[org.customers[1]],
        base_url=running.base_urls[0],
        timeout=30,
    )
    rng = random.Random(workload.SEED)
    lines = [
        json.dumps(
            {
                "custom_id": f"item-{index}",
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": {
                    "model": org.shape.model,
                    "messages": [
                        {"role": "user", "content": f"{index} {rng.random()}"}
                    ],
                    "max_tokens": workload.ITEM_TOKENS,
                },
            }
        )
        for index in range(workload.BATCH_ITEMS)
    ]
    file = client.files.create(
        file=("items.jsonl", "\n".join(lines).encode()), purpose="batch"
    )
    client.batches.create(
        input_file_id=file.id,
        endpoint="/v1/chat/completions",
        completion_window="24h",
    )


@contextlib.contextmanager
def naive(
    org: workload.Organisation, directory: pathlib.Path
) -> Iterator[phases.Version]:
    """Runs the relays of `bench.naive` in place of entries and workers."""
    running = deployment.Deployment(org.shape, directory)
    try:
        running.start()
        keys = {name: f"sk-naive-{name}" for name in org.customers}
        path = directory / "naive.json"
        path.write_text(json.dumps(_naive_settings(org, running, keys)))
        entries = [
            running.launch(f"entry-{n}", "bench.naive", ["entry", str(path)])
            for n in range(org.shape.entries)
        ]
        launch = functools.partial(
            running.launch, "worker-0", "bench.naive", ["batch", str(path)]
        )

        async def start_batch() -> None:
            await trio.to_thread.run_sync(launch)

        urls = [f"http://{e.info['address']}/v1" for e in entries]
        yield phases.Version(org, running, urls, keys, start_batch)
    finally:
        running.stop()


def _naive_settings(
    org: workload.Organisation,
    running: deployment.Deployment,
    keys: dict[str, str],
) -> dict[str, object]:
    limits = org.limits()
    return {
        "engines": running.engine_addresses,
        "entries": org.shape.entries,
        "keys": {keys[name]: limits[name] for name in org.customers},
        "concurrency": org.shape.replicas * workload.SLOTS,
        "item_tokens": workload.ITEM_TOKENS,
        "model": org.shape.model,
        "seed": workload.SEED,
    }
