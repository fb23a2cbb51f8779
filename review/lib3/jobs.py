"""Batch jobs of the cases: submission, progress and reads."""

import base64
import json
import time

from review.lib3 import deployment


def submit(
    address: str,
    job_id: str,
    count: int,
    body_bytes: int,
    timeout_s: float,
    prompt_prefix: str = "9c2e41:300,5d07b8:240",
) -> int:
    """Submits a job of items of one size; returns the status."""
    body = base64.b64encode(b"z" * body_bytes).decode()
    # The replicas repeat the id in each event, 65 bytes with its number.
    items = [
        {
            "id": f"{job_id}-{n:03}".ljust(60, "e"),
            "path": deployment.BATCH_PATH,
            "headers": {
                "Model-Id": "m",
                "Token-Count": "540,400",
                "Prompt-Prefix": prompt_prefix,
            },
            "body": body,
            "tokens": 940,
        }
        for n in range(count)
    ]
    status, _ = deployment.call(
        address,
        "POST",
        deployment.BATCH_PATH,
        json.dumps({"items": items}).encode(),
        {
            **deployment.CALL_HEADERS,
            "Request-Id": job_id,
            "Content-Type": "application/json",
        },
        timeout_s,
    )
    return status


def read(address: str, job_id: str, after: int) -> tuple[int, int, int]:
    """Reads results; returns status, next position and size of the answer."""
    status, body = deployment.call(
        address,
        "GET",
        f"/-/lots/{job_id}?after={after}",
        b"",
        deployment.CALL_HEADERS,
        5.0,
    )
    if status != 200:
        return status, after, len(body)
    return status, json.loads(body)["next_token"], len(body)


def wait_done(address: str, job_id: str, count: int, timeout_s: float) -> bool:
    """Reads a job until all its results were read once."""
    deadline = time.monotonic() + timeout_s
    position = 0
    while position < count and time.monotonic() < deadline:
        _, after, _ = read(address, job_id, position)
        if after == position:
            time.sleep(0.3)
        position = after
    return position >= count
