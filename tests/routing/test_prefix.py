"""Tests of the estimate of replicas' prefix caches."""

from lacewingwood.routing import prefix
from lacewingwood.upstreams import types as upstream_types

_PROMPT = b"x" * 1024


def _event(serial: int, stored: bool, block: int) -> upstream_types.CacheEvent:
    return upstream_types.CacheEvent(serial, stored, f"{block:016x}")


def test_blocks_cover_all_text_before_them() -> None:
    """Guards against regarding equal text after different text as cached."""
    one = prefix.block_hashes("m", b"a" * 256 + _PROMPT)
    two = prefix.block_hashes("m", b"b" * 256 + _PROMPT)
    assert len(one) == 5
    assert not set(one) & set(two)
    assert one != prefix.block_hashes("other", b"a" * 256 + _PROMPT)
    assert one[:4] == prefix.block_hashes("m", b"a" * 256 + _PROMPT[:768])


def test_events_correct_estimates_from_routing() -> None:
    """Guards against preferring a replica that has evicted the prefix."""
    affinity = prefix.Affinity()
    affinity.note_routed("e1", (1, 2, 3))
    assert affinity.preferred((1, 2, 9)) == "e1"
    affinity.apply_events("e1", [_event(5, False, 2)])
    assert affinity.cached_tokens("e1", (1, 2, 3)) == prefix.TOKENS_PER_BLOCK
    affinity.apply_events("e1", [_event(5, True, 2), _event(4, True, 2)])
    assert affinity.cached_tokens("e1", (1, 2)) == prefix.TOKENS_PER_BLOCK


def test_long_serial_gap_drops_estimates() -> None:
    """Guards against preferring a replica whose evictions were missed."""
    affinity = prefix.Affinity()
    affinity.apply_events("e1", [_event(1, True, 1), _event(2, True, 2)])
    affinity.note_routed("e2", (1,))
    affinity.apply_events("e1", [_event(2000, True, 7)])
    assert affinity.cached_tokens("e1", (1, 2)) == 0
    assert affinity.cached_tokens("e1", (7,)) == prefix.TOKENS_PER_BLOCK
    assert affinity.preferred((1, 2)) == "e2"


def test_single_lost_events_are_tolerated() -> None:
    """Guards against losing all affinity because of normal event loss."""
    affinity = prefix.Affinity()
    serials = [i for i in range(1, 300) if i % 50]
    affinity.apply_events("e1", [_event(i, True, i) for i in serials])
    blocks = tuple(serials)
    cached = affinity.cached_tokens("e1", blocks)
    assert cached == len(blocks) * prefix.TOKENS_PER_BLOCK


def test_memory_is_bounded() -> None:
    """Guards against memory growth with the number of different prompts."""
    affinity = prefix.Affinity(capacity=10)
    affinity.note_routed("e1", tuple(range(50)))
    assert len(affinity) == 10
    assert affinity.preferred((49,)) == "e1"
