"""Prompt text and hashes of its prefixes, computed as engines report them."""

from typing import Any

import xxhash

# Engines cache and report prefixes in blocks of this many prompt bytes.
BLOCK_BYTES = 256


def prompt(body: dict[str, Any]) -> bytes:
    """Returns the prompt of a completion or chat completion request.

    Args:
        body: The decoded request; content parts that are not text are omitted.
    """
    messages = body.get("messages")
    if not isinstance(messages, list):
        return str(body.get("prompt", "")).encode()
    lines = [
        f"{message.get('role', '')}: {_text(message.get('content'))}\n"
        for message in messages
        if isinstance(message, dict)
    ]
    return "".join(lines).encode()


def block_digests(model: str, prompt_bytes: bytes) -> list[str]:
    """Returns the hash of each prefix that ends at a whole block."""
    digest = xxhash.xxh3_64(model.encode() + b"\0")
    hashes = []
    for end in range(BLOCK_BYTES, len(prompt_bytes) + 1, BLOCK_BYTES):
        digest.update(prompt_bytes[end - BLOCK_BYTES : end])
        hashes.append(digest.hexdigest())
    return hashes


def _text(content: Any) -> str:
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return "".join(
            str(part.get("text", ""))
            for part in content
            if isinstance(part, dict)
        )
    return ""
